// JSON-RPC for operators and other routers, by libjsonrpccpp.
#ifndef MIMOSADALE_ROUTER_OPERATOR_RPC_H
#define MIMOSADALE_ROUTER_OPERATOR_RPC_H

#include <functional>
#include <memory>
#include <string>

namespace mimosadale::router {

class Context;

/// Adds the peers to a status report, as a JSON object.
using PeerStatusHook = std::function<std::string()>;

/// Answers the methods of packages/schema/operator.json.
///
/// \par Thread safety
/// Safe from any thread.
class OperatorRpc {
public:
  /// \pre \p Shared outlives this object.
  OperatorRpc(Context &Shared, PeerStatusHook PeerStatus);
  ~OperatorRpc();

  /// Answers one JSON-RPC request. \pre None.
  std::string handle(const std::string &Request);

private:
  class Methods;
  class Connector;
  std::unique_ptr<Connector> m_Connector;
  std::unique_ptr<Methods> m_Methods;
};

} // namespace mimosadale::router

#endif
