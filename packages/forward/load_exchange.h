// Passes the loads of engines on between the routers of a data centre.
#ifndef MIMOSADALE_FORWARD_LOAD_EXCHANGE_H
#define MIMOSADALE_FORWARD_LOAD_EXCHANGE_H

#include "forward/forward_state.h"
#include "net/http.h"

#include <boost/asio/awaitable.hpp>

namespace mimosadale::forward {

/// The target of the question for loads, at a router's address for others.
inline constexpr const char *LoadsPath = "/loads";

/// Takes the loads from the router that reads for this data centre, as long as
/// there is one, and answers the others from what this router knows.
///
/// \par Thread safety
/// None; runs in the router's thread.
class LoadExchange {
public:
  explicit LoadExchange(ForwardState &Shared) : m_Shared(Shared) {}

  /// Asks until the router ends.
  boost::asio::awaitable<void> run();

  /// Answers another router.
  net::HttpResponse answer() const;

private:
  boost::asio::awaitable<void> ask(std::string Reader);
  void take(const std::string &Body, Instant Asked);

  ForwardState &m_Shared;
};

} // namespace mimosadale::forward

#endif
