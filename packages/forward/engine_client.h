// Short calls to engines: reports and orders.
#ifndef MIMOSADALE_FORWARD_ENGINE_CLIENT_H
#define MIMOSADALE_FORWARD_ENGINE_CLIENT_H

#include "base/id.h"
#include "forward/forward_state.h"

#include <boost/asio/awaitable.hpp>

namespace mimosadale::forward {

/// Sends \p Request to the engine \p To and reads the whole answer within
/// \p Timeout. Another engine at that address does not answer for it.
/// \throws net::NetError; phase Connect proves that nothing was sent.
/// \pre Called in the router's thread.
boost::asio::awaitable<net::HttpResponse> callEngine(ForwardState &Shared,
                                                     EndpointId To,
                                                     net::HttpRequest Request,
                                                     Duration Timeout);

} // namespace mimosadale::forward

#endif
