// Storage of declarations on the platform: the sections are objects, and one
// table row lists their names.
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

/// Key of the row that lists the sections of the current configuration.
inline constexpr const char *GenerationKey = "config/current";

/// Key prefix of the rows that hold operators' drains.
inline constexpr const char *DrainPrefix = "drain/";

/// The row of the current configuration and its version in the table.
struct StoredGeneration {
  schema::GenerationRow m_Row;
  std::uint64_t m_Version = 0;
};

/// Splits a declaration into one serialized message per field, each with only
/// that field set. Safe from any thread.
std::vector<std::string> splitSections(const schema::Declaration &Full);

/// Merges the sections of a declaration. \throws StoreError when one does not
/// parse. Safe from any thread.
schema::Declaration joinSections(const std::vector<std::string> &Sections);

/// Reads and writes the current configuration.
///
/// \par Thread safety
/// Safe from any thread.
class ConfigStore {
public:
  /// \pre Both clients outlive this object.
  ConfigStore(TableClient &Table, ObjectClient &Objects);

  /// The current row; none before the first apply. \throws StoreError.
  boost::asio::awaitable<std::optional<StoredGeneration>> current();

  /// Loads the declaration whose sections \p Row lists. \throws StoreError.
  boost::asio::awaitable<schema::Declaration> load(schema::GenerationRow Row);

  /// Writes \p Next as the successor of generation \p Base, if \p Base is still
  /// current. If the response is lost, reads the row back to find the outcome.
  /// \returns the current generation: that of \p Next, or the one that another
  /// operator applied first. \throws StoreError when nothing was written or the
  /// outcome stays unknown.
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
