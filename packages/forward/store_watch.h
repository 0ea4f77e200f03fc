// Follows configuration and registry in the platform's store.
#ifndef MIMOSADALE_FORWARD_STORE_WATCH_H
#define MIMOSADALE_FORWARD_STORE_WATCH_H

#include "forward/forward_state.h"

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <map>
#include <set>
#include <string>

namespace mimosadale::forward {

/// Keeps one feed open for each table; reads a table anew when the store has
/// forgotten the changes since.
///
/// \par Thread safety
/// None; runs in the router's thread.
class StoreWatch {
public:
  /// \param OnConfig called after a newer configuration was adopted.
  StoreWatch(ForwardState &Shared, std::function<void()> OnConfig);

  /// Follows the operator's table until the router ends.
  boost::asio::awaitable<void> followConfig();

  /// Follows the registry until the router ends.
  boost::asio::awaitable<void> followRegistry();

  /// Registers this router, and follows how many there are, until the router
  /// ends: they share budgets.
  boost::asio::awaitable<void> followRouters();

private:
  using Apply = std::function<void(const platform::Rows &, bool Whole)>;

  struct Feed {
    std::string m_Table;
    Duration m_Wait{};                 // of one call, for a change
    std::function<Duration()> m_Pause; // between calls
  };

  boost::asio::awaitable<void> follow(Feed From, Apply Take);
  boost::asio::awaitable<bool> registerSelf();
  void takeConfig(const platform::Rows &Changes);
  void takeRegistry(const platform::Rows &Changes, bool Whole);
  void takeRouters(const platform::Rows &Changes, bool Whole);
  void noteStore(const std::string &Table, bool Reachable,
                 const std::string &Detail);

  ForwardState &m_Shared;
  std::function<void()> m_OnConfig;
  std::map<std::string, bool> m_Reachable; // by table
  std::set<std::string> m_RouterNames;
};

} // namespace mimosadale::forward

#endif
