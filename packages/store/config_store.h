// Declarations in the platform: sections in the object store, one row that
// names them.
#ifndef MIMOSADALE_STORE_CONFIG_STORE_H
#define MIMOSADALE_STORE_CONFIG_STORE_H

#include "schema/generated/declaration.pb.h"
#include "schema/generated/rows.pb.h"
#include "store/objects.h"
#include "store/table.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace mimosadale::store {

/// Key of the row that names the configuration in force.
inline constexpr const char *GenerationKey = "config/current";

/// Prefix of the rows that hold operators' drains.
inline constexpr const char *DrainPrefix = "drain/";

/// The row of the configuration in force with its version in the table.
struct StoredGeneration {
  schema::GenerationRow m_Row;
  std::uint64_t m_Version = 0;
};

/// Splits a declaration into its sections, one a field, each with only that
/// field set. Safe from any thread.
std::vector<std::string> splitSections(const schema::Declaration &Full);

/// Puts sections together again. \throws StoreError when one is damaged.
schema::Declaration joinSections(const std::vector<std::string> &Sections);

/// Reads and writes the configuration in force.
///
/// \par Thread safety
/// Safe from any thread.
class ConfigStore {
public:
  /// \pre Both clients outlive this object.
  ConfigStore(TableClient &Table, ObjectClient &Objects);

  /// The row in force; none before the first apply. \throws StoreError.
  boost::asio::awaitable<std::optional<StoredGeneration>> current();

  /// The declaration that \p Row names. \throws StoreError.
  boost::asio::awaitable<schema::Declaration> load(schema::GenerationRow Row);

  /// Writes \p Next as the generation after \p Seen, if \p Seen still is in
  /// force. A lost answer is settled by reading the row back.
  /// \returns the generation now in force: of \p Next, or of the operator who
  /// came first. \throws StoreError when the outcome stays unknown.
  boost::asio::awaitable<StoredGeneration> apply(schema::Declaration Next,
                                                 StoredGeneration Base,
                                                 std::string Author,
                                                 std::string Reason);

private:
  boost::asio::awaitable<StoredGeneration>
  resolveUnknownOutcome(schema::GenerationRow Proposed);

  TableClient &m_Table;
  ObjectClient &m_Objects;
};

} // namespace mimosadale::store

#endif
