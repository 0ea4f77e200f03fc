// Exchange of engine loads between the routers of a data centre.
#ifndef MIMOSADALE_FORWARD_LOAD_EXCHANGE_H
#define MIMOSADALE_FORWARD_LOAD_EXCHANGE_H

#include "forward/forward_state.h"
#include "net/http.h"

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <string>

namespace mimosadale::forward {

/// Request target for loads, on a router's peer listener.
inline constexpr const char *LoadsPath = "/loads";

/// Fetches loads from the router that polls engines for this data centre, while
/// there is one, and serves this router's loads to others.
///
/// \par Thread safety
/// None; runs on the router's thread.
class LoadExchange {
public:
  explicit LoadExchange(ForwardState &State);

  /// Fetches loads at a fixed interval until the router exits.
  boost::asio::awaitable<void> run();

  /// Answers another router's request, a serialized `LoadQuestion`.
  net::HttpResponse answer(const std::string &Body) const;

private:
  boost::asio::awaitable<void> fetchLoads(std::string Reader);
  void applyDigest(const std::string &Reader, const std::string &Body,
                   Instant AskedAt);

  ForwardState &m_State;
  // Distinguishes this process from its predecessor; never 0.
  std::uint64_t m_ProcessTag;
};

} // namespace mimosadale::forward

#endif
