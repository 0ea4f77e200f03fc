// Asks other routers whether they reach endpoints that this one does not.
#ifndef MIMOSADALE_FORWARD_REACH_EXCHANGE_H
#define MIMOSADALE_FORWARD_REACH_EXCHANGE_H

#include "forward/forward_state.h"
#include "net/http.h"

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <string>
#include <vector>

namespace mimosadale::forward {

/// Request target for questions of reach, on a router's peer listener.
inline constexpr const char *ReachPath = "/reach";

/// A loss that only one router sees is no reason to change what all use. So
/// other routers are asked, and poll the endpoints before they answer.
///
/// \par Thread safety
/// None; runs on the router's thread.
class ReachExchange {
public:
  explicit ReachExchange(ForwardState &State) : m_State(State) {}

  /// Asks some other routers for these endpoints, and tells `OwnReach` what
  /// they reach. Returns once all have answered, or after a fraction of a
  /// second.
  boost::asio::awaitable<void> ask(std::vector<EndpointId> Endpoints);

  /// Answers another router's question, a serialized `ReachQuestion`.
  boost::asio::awaitable<net::HttpResponse> answer(std::string Body);

private:
  struct Round;
  boost::asio::awaitable<void> askRouter(std::string Router, std::string Body,
                                         std::shared_ptr<Round> Asked);
  boost::asio::awaitable<void> probe(EndpointId Endpoint,
                                     std::shared_ptr<Round> Asked);
  boost::asio::awaitable<void> awaitEnd(std::shared_ptr<Round> Asked,
                                        Duration Limit);

  ForwardState &m_State;
};

} // namespace mimosadale::forward

#endif
