// Look-ups in one accepted configuration.
#ifndef MIMOSADALE_DECIDE_ROUTE_TABLE_H
#define MIMOSADALE_DECIDE_ROUTE_TABLE_H

#include "decide/routing.h"

#include <functional>
#include <memory>
#include <string_view>
#include <unordered_map>

namespace mimosadale::decide {

/// Finds routes, services and the workspace of a key.
///
/// \par Thread safety
/// Immutable after construction; safe from any thread.
class RouteTable {
public:
  explicit RouteTable(RoutingConfig Config);
  RouteTable(const RouteTable &) = delete;
  RouteTable &operator=(const RouteTable &) = delete;

  /// The route of \p Host (without port, any case) whose prefix is the longest
  /// that begins \p Path; null when there is none. The pointer lives as long as
  /// the table.
  const Route *find(std::string_view Host, std::string_view Path) const;

  /// The service \p Name, or null.
  const ServiceInfo *service(const ServiceId &Name) const;

  /// The workspace that holds \p Key, or null.
  const WorkspaceKeys *workspaceOf(std::string_view Key) const;

  /// The service for a request: one of the route's by weight.
  /// \param Draw uniform in [0, 1).
  const ServiceId &chooseService(const Route &Of, double Draw) const;

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
  StringMap<StringMap<const Route *>> m_ByHost; // then by prefix
  StringMap<const WorkspaceKeys *> m_ByKey;
  StringMap<const ServiceInfo *> m_ByService;
};

/// Keeps the newest configuration; an older one never replaces it.
///
/// \par Thread safety
/// None.
class RouteTableHolder {
public:
  /// Takes \p Fresh if it is newer. \returns whether it was taken.
  bool adopt(RoutingConfig Fresh);

  /// The table in force, or null before the first configuration. A request
  /// keeps the one that it began with.
  const std::shared_ptr<const RouteTable> &current() const { return m_Current; }

private:
  std::shared_ptr<const RouteTable> m_Current;
};

} // namespace mimosadale::decide

#endif
