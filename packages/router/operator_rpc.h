// JSON-RPC server for operators and other routers, based on libjsonrpccpp.
#ifndef MIMOSADALE_ROUTER_OPERATOR_RPC_H
#define MIMOSADALE_ROUTER_OPERATOR_RPC_H

#include <functional>
#include <memory>
#include <string>

namespace mimosadale::router {

class Context;

/// Returns the states of the other routers as JSON text, for `status`.
using PeerStatusHook = std::function<std::string()>;

/// Implements the methods of packages/schema/operator.json.
///
/// \par Thread safety
/// Safe from any thread.
class OperatorRpc {
public:
  /// \pre \p Ctx outlives this object.
  OperatorRpc(Context &Ctx, PeerStatusHook PeerStatus);
  ~OperatorRpc();

  /// Handles one JSON-RPC request and returns the response text. \pre None.
  std::string handle(const std::string &Request);

private:
  class Methods;
  class Connector;
  std::unique_ptr<Connector> m_Connector;
  std::unique_ptr<Methods> m_Methods;
};

} // namespace mimosadale::router

#endif
