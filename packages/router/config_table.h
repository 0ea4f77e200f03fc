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

/// One adopted declaration. It is immutable, so that a request can use the same
/// configuration from its start to its end.
struct ActiveConfig {
  schema::GenerationRow m_Row;
  schema::Declaration m_Declaration;

  /// Returns the declared entry with this name, or null. Safe from any thread.
  const schema::Workspace *findWorkspace(const std::string &Name) const;
  const schema::Service *findService(const std::string &Name) const;

  /// Returns the model `name` or `name:version`, or null if it is not declared.
  /// Without a version, returns the version declared last. Safe from any
  /// thread.
  const schema::Model *findModel(const std::string &Name) const;
};

/// Holds the configuration in force.
///
/// \par Thread safety
/// Safe from any thread; rank Configuration.
class ConfigTable {
public:
  /// Returns the configuration in force; null before the first is adopted.
  /// \pre None.
  std::shared_ptr<const ActiveConfig> get() const;

  /// Puts \p NewConfig in force if its generation is greater than the current
  /// one. \returns whether it was adopted.
  bool adopt(std::shared_ptr<const ActiveConfig> NewConfig);

  /// Returns the generation in force; 0 before the first is adopted.
  Generation generation() const;

private:
  mutable RankedMutex m_Mutex{LockRank::Configuration};
  std::shared_ptr<const ActiveConfig> m_Active;
};

} // namespace mimosadale::router

#endif
