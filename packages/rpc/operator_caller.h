// Client of the operators' JSON-RPC interface, based on libjsonrpccpp.
//
// The library's client headers use dynamic exception specifications, which
// C++17 removed. The implementation is therefore compiled as C++14, and this
// header must stay valid C++14.
#ifndef MIMOSADALE_RPC_OPERATOR_CALLER_H
#define MIMOSADALE_RPC_OPERATOR_CALLER_H

#include <functional>
#include <stdexcept>
#include <string>

namespace mimosadale {
namespace rpc {

/// The call failed or returned an error.
class RpcError : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

/// Sends a serialized request and returns the serialized response. Throws any
/// std::exception on failure. May block.
using Transport = std::function<std::string(const std::string &)>;

/// The methods of packages/schema/operator.json. Each method throws RpcError
/// on failure.
///
/// \par Thread safety
/// As the transport.
class OperatorCaller {
public:
  explicit OperatorCaller(Transport Send) : m_Send(std::move(Send)) {}

  /// The router's status as JSON text; \p Detail asks for the detailed form.
  std::string status(bool Detail);

  /// The recorded events of a request, as JSON text.
  std::string explain(const std::string &Request);

  /// Whether the router is still processing the claim of this attempt.
  bool claimInProgress(const std::string &Attempt);

  /// The section of the router's declaration with this hash, in base64; empty
  /// if the router does not have it.
  std::string section(const std::string &Hash);

  /// The router's generation row, in base64; empty if it has none.
  std::string generation();

private:
  Transport m_Send;
};

} // namespace rpc
} // namespace mimosadale

#endif
