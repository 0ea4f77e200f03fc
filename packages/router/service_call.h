// One call of a plain service, from the caller to its answer.
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

/// What one router asks another about a claim.
using HolderHook = std::function<boost::asio::awaitable<decide::HolderStatus>(
    schema::ClaimRow Row)>;

/// Serves one call of a plain service by the kind that its declaration states.
///
/// \par Thread safety
/// None; lives in one coroutine.
class ServiceCall {
public:
  /// \pre All arguments outlive this object, and \p Claims outlives every call.
  ServiceCall(Context &Shared, ClaimStore &Claims, const HolderHook &AskHolder,
              net::HttpExchange &Exchange, Caller From);

  /// Serves the request for \p Service at \p Path.
  boost::asio::awaitable<void> serve(std::string Service, std::string Path);

private:
  boost::asio::awaitable<void> repeatable(const schema::Service &Service);
  boost::asio::awaitable<void> claimed(const schema::Service &Service,
                                       std::string Key);
  boost::asio::awaitable<void> refuse(const decide::Refusal &Why);
  boost::asio::awaitable<void> answer(const decide::AnswerCall &Answer);
  net::HttpRequest forwarded(const std::string &Path) const;
  Duration serviceTimeout(const schema::Service &Service) const;

  Context &m_Shared;
  ClaimStore &m_Claims;
  const HolderHook &m_AskHolder;
  net::HttpExchange &m_Exchange;
  Caller m_From;
  RequestId m_Request;
  Instant m_Arrived{};
  Instant m_Deadline{};
  net::HttpRequest m_Forwarded;
};

} // namespace mimosadale::router

#endif
