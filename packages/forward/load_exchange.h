// Passes the loads of engines on between the routers of a data centre.
#ifndef MIMOSADALE_FORWARD_LOAD_EXCHANGE_H
#define MIMOSADALE_FORWARD_LOAD_EXCHANGE_H

#include "forward/forward_state.h"
#include "net/http.h"

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <string>

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
  explicit LoadExchange(ForwardState &Shared);

  /// Asks until the router ends.
  boost::asio::awaitable<void> run();

  /// Answers another router's question, a `LoadQuestion`.
  net::HttpResponse answer(const std::string &Question) const;

private:
  boost::asio::awaitable<void> fetchLoads(std::string Reader);
  void applyDigest(const std::string &Reader, const std::string &Body,
                   Instant AskedAt);

  ForwardState &m_Shared;
  std::uint64_t m_ProcessTag; // not 0: tells this process from one before it
};

} // namespace mimosadale::forward

#endif
