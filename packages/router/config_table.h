// The configuration in force on this router.
#ifndef MIMOSADALE_ROUTER_CONFIG_TABLE_H
#define MIMOSADALE_ROUTER_CONFIG_TABLE_H

#include "base/id.h"
#include "base/ranked_mutex.h"
#include "base/units.h"
#include "decide/path.h"
#include "schema/generated/declaration.pb.h"
#include "schema/generated/rows.pb.h"

#include <memory>
#include <optional>
#include <string>

namespace mimosadale::router {

/// One adopted declaration. Immutable, so a request keeps the one it began
/// with.
struct ActiveConfig {
  schema::GenerationRow m_Row;
  schema::Declaration m_Declared;

  /// The entry of that name, or null. Safe from any thread.
  const schema::Workspace *workspace(const std::string &Name) const;
  const schema::Service *service(const std::string &Name) const;

  /// The model `name` or `name:version`; the last version declared if none is
  /// given. Null when it is not declared. Safe from any thread.
  const schema::Model *model(const std::string &Name) const;
};

/// Holds the adopted declaration.
///
/// \par Thread safety
/// Safe from any thread; rank Configuration.
class ConfigTable {
public:
  /// The declaration in force; null before the first one. \pre None.
  std::shared_ptr<const ActiveConfig> get() const;

  /// Replaces it if \p Next is of a greater generation. \returns whether it was
  /// taken.
  bool adopt(std::shared_ptr<const ActiveConfig> Next);

  /// The generation in force; 0 before the first.
  Generation generation() const;

private:
  mutable RankedMutex m_Mutex{LockRank::Configuration};
  std::shared_ptr<const ActiveConfig> m_Active;
};

} // namespace mimosadale::router

#endif
