// Exchange of endpoints' request limits and of marks of requests that crash
// endpoints between routers.
#ifndef MIMOSADALE_FORWARD_LIMIT_EXCHANGE_H
#define MIMOSADALE_FORWARD_LIMIT_EXCHANGE_H

#include "forward/forward_state.h"
#include "net/http.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <string>

namespace mimosadale::forward {

/// Request target for limits, on a router's peer listener.
inline constexpr const char *LimitsPath = "/limits";

/// While endpoints name limits or marks are suspected of crashing them,
/// tells other routers what is known of these and of this router's demand, and
/// hears what they know: all of them in a small fleet, some drawn at random in
/// a large one, which pass it on. Sends nothing otherwise.
///
/// \par Thread safety
/// None; runs on the router's thread.
class LimitExchange {
public:
  explicit LimitExchange(ForwardState &State);

  /// Exchanges notices until the router exits.
  boost::asio::awaitable<void> run();

  /// Answers another router's notice, a serialized `LimitNotice`.
  net::HttpResponse answer(const std::string &Body);

private:
  void tellRouters();
  boost::asio::awaitable<void> tell(std::string Router);
  void merge(const std::string &Body, Instant RequestedAt);
  std::string encodeNotice(Instant Now);

  ForwardState &m_State;
  boost::asio::steady_timer m_NextRound;
  bool m_HasNews = false;
};

} // namespace mimosadale::forward

#endif
