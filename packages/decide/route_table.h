// Lookups of routes, services and API keys in a configuration.
#ifndef MIMOSADALE_DECIDE_ROUTE_TABLE_H
#define MIMOSADALE_DECIDE_ROUTE_TABLE_H

#include "decide/routing.h"
#include "decide/store_version.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace mimosadale::decide {

/// The name in a request's \p Host, in lower case and without its port. Safe
/// from any thread.
std::string normalizeHost(std::string_view Host);

/// Lookup tables over one accepted configuration.
///
/// \par Thread safety
/// Immutable after construction; safe from any thread.
class RouteTable {
public:
  explicit RouteTable(RoutingConfig Config);
  RouteTable(const RouteTable &) = delete;
  RouteTable &operator=(const RouteTable &) = delete;

  /// The route of \p Host with the longest prefix of \p Path, or null. Prefixes
  /// match up to a slash; the case and the port of \p Host and the query of
  /// \p Path are ignored. The pointer is valid as long as the table.
  const Route *find(std::string_view Host, std::string_view Path) const;

  /// The service with the name \p Name, or null.
  const ServiceInfo *service(const ServiceId &Name) const;

  /// The workspace with the API key \p Key, or null.
  const WorkspaceKeys *workspaceOf(std::string_view Key) const;

  /// One of the services of \p Matched, with a probability in proportion to its
  /// weight. \param Draw a random number, uniform in [0, 1).
  const ServiceId &chooseService(const Route &Matched, double Draw) const;

  const RoutingConfig &config() const { return m_Config; }

private:
  struct StringHash {
    using is_transparent = void;
    std::size_t operator()(std::string_view Text) const {
      return std::hash<std::string_view>()(Text);
    }
  };
  template <typename Value>
  using StringMap =
      std::unordered_map<std::string, Value, StringHash, std::equal_to<>>;

  RoutingConfig m_Config;
  StringMap<StringMap<const Route *>> m_ByHost; // by host, then by prefix
  StringMap<const WorkspaceKeys *> m_ByKey;
  StringMap<const ServiceInfo *> m_ByService;
};

/// Where a configuration that the store holds comes from.
enum class ConfigOrigin {
  Written,     // operators wrote it
  RestoredCopy // the store came back with it; newer ones may be lost
};

/// What became of a configuration that was read.
enum class ConfigStep {
  Adopted,
  NotNewer,
  KeptOverCopy, // a restored store holds an older one than that in force
  AwaitsNewer   // operators wrote an older one again; that in force follows
};

/// Holds the configuration in force: the one with the greatest version. It
/// never goes back, also if the store came back from an older copy: operators
/// write again what was lost, one by one, and the versions on the way to that
/// in force are not adopted, however long they stay the newest.
///
/// \par Thread safety
/// None.
class RouteTableHolder {
public:
  /// Replaces the configuration by \p Config if that has a greater version.
  /// \returns whether it was replaced.
  bool adopt(RoutingConfig Config);

  /// Decides on \p Config, read from the row with version \p Row.
  ConfigStep offer(RoutingConfig Config, StoreVersion Row, ConfigOrigin Origin);

  /// The current table, or null before the first configuration. A request keeps
  /// the table that it started with.
  const std::shared_ptr<const RouteTable> &current() const { return m_Current; }

private:
  std::shared_ptr<const RouteTable> m_Current;
  StoreVersion m_Row;     // that the current one was read from
  StoreVersion m_CopyRow; // of the configuration that a restored store held
};

} // namespace mimosadale::decide

#endif
