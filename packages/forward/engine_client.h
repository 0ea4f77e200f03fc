// Short calls to engines: report polls and orders.
#ifndef MIMOSADALE_FORWARD_ENGINE_CLIENT_H
#define MIMOSADALE_FORWARD_ENGINE_CLIENT_H

#include "base/id.h"
#include "forward/forward_state.h"

#include <boost/asio/awaitable.hpp>

namespace mimosadale::forward {

/// Sends \p Request to the engine \p To and returns its complete response. The
/// request names the instance, so another engine that now listens at this
/// address rejects it.
/// \throws net::NetError on a failure or after \p Timeout; phase Connect proves
/// that nothing was sent.
/// \pre Called on the router's thread.
boost::asio::awaitable<net::HttpResponse> callEngine(ForwardState &State,
                                                     EndpointId To,
                                                     net::HttpRequest Request,
                                                     Duration Timeout);

} // namespace mimosadale::forward

#endif
