// Client of plain services.
#ifndef MIMOSADALE_ROUTER_SERVICE_CLIENT_H
#define MIMOSADALE_ROUTER_SERVICE_CLIENT_H

#include "decide/claim.h"
#include "decide/path.h"
#include "net/http.h"

#include <boost/asio/awaitable.hpp>

namespace mimosadale::router {

class Context;

/// The result of sending a service call to one endpoint.
struct ServiceDispatch {
  decide::ClaimDispatchResult m_Result;
  EndpointId m_Endpoint; // empty if none was available
};

/// Sends a request to one endpoint of a service, without retries.
///
/// \par Thread safety
/// Safe from any thread.
class ServiceClient {
public:
  /// \pre \p Ctx outlives this object.
  explicit ServiceClient(Context &Ctx) : m_Context(Ctx) {}

  /// Chooses an endpoint outside \p Avoid and sends \p Request to it on a new
  /// connection, so that a failure to connect proves that nothing was sent.
  boost::asio::awaitable<ServiceDispatch> send(ServiceId Service,
                                               net::HttpRequest Request,
                                               Duration Timeout,
                                               decide::EndpointSet Avoid);

private:
  Context &m_Context;
};

} // namespace mimosadale::router

#endif
