// Calls of the operators' JSON-RPC interface, by libjsonrpccpp.
//
// The library's client headers use exception specifications that C++17 removed,
// so the implementation is compiled as C++14 and this header keeps to that.
#ifndef MIMOSADALE_RPC_OPERATOR_CALLER_H
#define MIMOSADALE_RPC_OPERATOR_CALLER_H

#include <functional>
#include <stdexcept>
#include <string>

namespace mimosadale {
namespace rpc {

/// The other side gave no usable answer.
class RpcError : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

/// Sends the text of a request and returns the text of the response; throws any
/// std::exception on failure. May block.
using Transport = std::function<std::string(const std::string &)>;

/// The methods of packages/schema/operator.json. Each one throws RpcError.
///
/// \par Thread safety
/// As the transport.
class OperatorCaller {
public:
  explicit OperatorCaller(Transport Send) : m_Send(std::move(Send)) {}

  /// The router's status as JSON text. \pre None.
  std::string status(bool Detail);

  /// What happened to a request, as JSON text. \pre None.
  std::string explain(const std::string &Request);

  /// Whether the router works on the claim of this attempt. \pre None.
  bool claimInProgress(const std::string &Attempt);

  /// A section of the router's declaration, in base64; empty if it has none.
  std::string section(const std::string &Hash);

  /// The router's generation row, in base64; empty if it has none. \pre None.
  std::string generation();

private:
  Transport m_Send;
};

} // namespace rpc
} // namespace mimosadale

#endif
