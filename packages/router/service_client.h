// Calls to plain services.
#ifndef MIMOSADALE_ROUTER_SERVICE_CLIENT_H
#define MIMOSADALE_ROUTER_SERVICE_CLIENT_H

#include "decide/claim.h"
#include "decide/path.h"
#include "net/http.h"

#include <boost/asio/awaitable.hpp>

namespace mimosadale::router {

class Context;

/// One try of a service call.
struct ServiceTry {
  decide::ClaimDispatchResult m_Dispatch;
  EndpointId m_Endpoint; // empty when none could be chosen
};

/// Sends a request to an endpoint of a service, once.
///
/// \par Thread safety
/// Safe from any thread.
class ServiceClient {
public:
  /// \pre \p Shared outlives this object.
  explicit ServiceClient(Context &Shared) : m_Shared(Shared) {}

  /// Chooses an endpoint outside \p Avoid and sends \p Request to it on a new
  /// connection, so that a failure to connect proves that nothing was sent.
  boost::asio::awaitable<ServiceTry> send(ServiceId Service,
                                          net::HttpRequest Request,
                                          Duration Timeout,
                                          decide::EndpointSet Avoid);

private:
  Context &m_Shared;
};

} // namespace mimosadale::router

#endif
