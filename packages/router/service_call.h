// One call of a plain service, from its request to its response.
#ifndef MIMOSADALE_ROUTER_SERVICE_CALL_H
#define MIMOSADALE_ROUTER_SERVICE_CALL_H

#include "decide/claim.h"
#include "net/server.h"
#include "router/completion_call.h"

#include <boost/asio/awaitable.hpp>
#include <functional>

namespace mimosadale::router {

class ClaimStore;
class Context;

/// Asks the holder of a claim for the status of the claim.
using HolderQuery = std::function<boost::asio::awaitable<decide::HolderStatus>(
    schema::ClaimRow Row)>;

/// Serves one call of a plain service, according to the call kind that the
/// service declares.
///
/// \par Thread safety
/// None; used by one coroutine.
class ServiceCall {
public:
  /// \pre All references outlive this object; \p Ctx, \p Claims and \p
  /// QueryHolder also outlive every claim that it starts.
  ServiceCall(Context &Ctx, ClaimStore &Claims, const HolderQuery &QueryHolder,
              net::HttpExchange &Exchange, Caller TheCaller);

  /// Serves the request for \p ServiceName at \p Path.
  boost::asio::awaitable<void> serve(std::string ServiceName, std::string Path);

private:
  boost::asio::awaitable<void> serveRepeatable(const schema::Service &Service);
  boost::asio::awaitable<void> serveClaimed(const schema::Service &Service,
                                            std::string Key);
  boost::asio::awaitable<void> refuse(const decide::Refusal &Refusal);
  boost::asio::awaitable<void> respond(const decide::AnswerCall &Answer);
  net::HttpRequest endpointRequest(const std::string &Path) const;
  Duration serviceTimeout(const schema::Service &Service) const;

  Context &m_Context;
  ClaimStore &m_Claims;
  const HolderQuery &m_QueryHolder;
  net::HttpExchange &m_Exchange;
  Caller m_Caller;
  RequestId m_RequestId;
  Instant m_Arrived{};
  Instant m_Deadline{};
  net::HttpRequest m_EndpointRequest;
};

} // namespace mimosadale::router

#endif
