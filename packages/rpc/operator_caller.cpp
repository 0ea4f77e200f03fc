#include "rpc/operator_caller.h"

#include "schema/generated/operator_client.h"

#include <jsoncpp/json/writer.h>

namespace mimosadale {
namespace rpc {

namespace {

// Adapts a Transport to the connector interface of libjsonrpccpp.
class Connector : public jsonrpc::IClientConnector {
public:
  explicit Connector(const Transport &Send) : m_Send(Send) {}

  void SendRPCMessage(const std::string &Message, std::string &Result) throw(
      jsonrpc::JsonRpcException) override {
    try {
      Result = m_Send(Message);
    } catch (const std::exception &Err) {
      throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_CLIENT_CONNECTOR,
                                      Err.what());
    }
  }

private:
  const Transport &m_Send;
};

// Invokes one method and translates the library's exceptions into RpcError.
template <typename Method>
auto callMethod(const Transport &Send, Method Invoke)
    -> decltype(Invoke(std::declval<schema::OperatorClient &>())) {
  try {
    Connector Connection(Send);
    schema::OperatorClient Client(Connection);
    return Invoke(Client);
  } catch (const jsonrpc::JsonRpcException &Err) {
    throw RpcError(Err.what());
  }
}

} // namespace

std::string OperatorCaller::status(bool Detail) {
  return callMethod(m_Send, [&](schema::OperatorClient &Client) {
    return Json::FastWriter().write(Client.status(Detail));
  });
}

std::string OperatorCaller::explain(const std::string &Request) {
  return callMethod(m_Send, [&](schema::OperatorClient &Client) {
    return Json::FastWriter().write(Client.explain(Request));
  });
}

bool OperatorCaller::claimInProgress(const std::string &Attempt) {
  return callMethod(m_Send, [&](schema::OperatorClient &Client) {
    return Client.claimInProgress(Attempt);
  });
}

std::string OperatorCaller::section(const std::string &Hash) {
  return callMethod(m_Send, [&](schema::OperatorClient &Client) {
    return Client.section(Hash);
  });
}

std::string OperatorCaller::generation() {
  return callMethod(m_Send, [](schema::OperatorClient &Client) {
    return Client.generation();
  });
}

} // namespace rpc
} // namespace mimosadale
