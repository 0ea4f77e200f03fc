// HTTP routes of a router's two listeners, for callers and for operators.
#ifndef MIMOSADALE_ROUTER_GATEWAY_H
#define MIMOSADALE_ROUTER_GATEWAY_H

#include "net/server.h"
#include "router/service_call.h"

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <optional>
#include <string>

namespace mimosadale::router {

class ClaimStore;
class Context;

/// Handles a JSON-RPC request. May block: it runs on the strand of its
/// connection, and holds one worker thread meanwhile.
using RpcHandler = std::function<std::string(const std::string &Request)>;

/// Checks whether a JSON-RPC body is sealed by another router.
using SealVerifier = std::function<bool(
    const std::string &Body, const std::string &KeyId, const std::string &Mac)>;

/// Authenticates requests and routes them to their handlers.
///
/// \par Thread safety
/// Safe from any thread.
class Gateway {
public:
  /// \pre All references outlive this object.
  Gateway(Context &Ctx, ClaimStore &Claims, HolderQuery QueryHolder,
          RpcHandler HandleRpc, SealVerifier VerifySeal,
          std::string OperatorToken);

  /// Serves one request of a caller. \throws net::NetError if the caller has
  /// disconnected.
  boost::asio::awaitable<void> handleCaller(net::HttpExchange &Exchange);

  /// Serves one request of an operator or another router.
  boost::asio::awaitable<void> handleOperator(net::HttpExchange &Exchange);

  /// \returns the response to a request that the HTTP server refuses before
  /// routing.
  net::HttpResponse serverRefusal(net::ServerRefusal Reason);

private:
  std::optional<Caller> authenticate(const net::HttpRequest &Request);
  bool mayCallRpc(const net::HttpRequest &Request) const;
  std::optional<net::HttpResponse> statusPage(const std::string &Target) const;
  boost::asio::awaitable<void> route(net::HttpExchange &Exchange,
                                     Caller TheCaller);
  net::HttpResponse models(const Caller &TheCaller) const;
  net::HttpResponse refusal(schema::Reason Reason, const std::string &Detail,
                            std::optional<Duration> RetryAfter = {});

  Context &m_Context;
  ClaimStore &m_Claims;
  HolderQuery m_QueryHolder;
  RpcHandler m_HandleRpc;
  SealVerifier m_VerifySeal;
  std::string m_OperatorToken;
};

} // namespace mimosadale::router

#endif
