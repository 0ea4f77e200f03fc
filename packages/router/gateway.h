// The routes of a router's two listeners.
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

/// Answers a JSON-RPC request. May block; it is called off the workers'
/// strands.
using RpcHook = std::function<std::string(const std::string &Request)>;

/// Whether a JSON-RPC body carries the seal of another router.
using SealCheck = std::function<bool(
    const std::string &Body, const std::string &KeyId, const std::string &Mac)>;

/// Authenticates requests and hands them to whoever serves them.
///
/// \par Thread safety
/// Safe from any thread.
class Gateway {
public:
  /// \pre References outlive this object.
  Gateway(Context &Shared, ClaimStore &Claims, HolderHook AskHolder,
          RpcHook Rpc, SealCheck Sealed, std::string OperatorToken);

  /// Serves one request of a caller. \throws net::NetError when it is gone.
  boost::asio::awaitable<void> handleCaller(net::HttpExchange &Exchange);

  /// Serves one request of an operator or another router.
  boost::asio::awaitable<void> handleOperator(net::HttpExchange &Exchange);

  /// The response to a request that the server refuses itself.
  net::HttpResponse refuse(net::ServerRefusal Why);

private:
  std::optional<Caller> authenticate(const net::HttpRequest &Request);
  bool operatorAllowed(const net::HttpRequest &Request) const;
  std::optional<net::HttpResponse> plainPage(const std::string &Target) const;
  boost::asio::awaitable<void> route(net::HttpExchange &Exchange, Caller From);
  net::HttpResponse models(const Caller &From) const;
  net::HttpResponse refused(schema::Reason Why, const std::string &Detail,
                            std::optional<Duration> RetryAfter = {});

  Context &m_Shared;
  ClaimStore &m_Claims;
  HolderHook m_AskHolder;
  RpcHook m_Rpc;
  SealCheck m_Sealed;
  std::string m_OperatorToken;
};

} // namespace mimosadale::router

#endif
