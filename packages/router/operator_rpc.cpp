#include "router/operator_rpc.h"

#include "router/context.h"
#include "schema/generated/operator_server.h"
#include "store/digest.h"

#include <jsoncpp/json/reader.h>
#include <mutex>

namespace mimosadale::router {

namespace {

const char *stateName(decide::EndpointHealth::State State) {
  switch (State) {
  case decide::EndpointHealth::State::Usable:
    return "usable";
  case decide::EndpointHealth::State::Suspect:
    return "suspect";
  default:
    return "dead";
  }
}

Json::Value parseJson(const std::string &Text) {
  Json::Value Parsed;
  Json::Reader().parse(Text, Parsed);
  return Parsed;
}

Json::Value::Int64 toMillis(Duration Value) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Value).count();
}

} // namespace

// Passes request and response texts to and from libjsonrpccpp. Requests arrive
// through the HTTP listener for operators, so that addresses, TLS and limits
// are handled in one place; this connector does not listen itself.
class OperatorRpc::Connector : public jsonrpc::AbstractServerConnector {
public:
  bool StartListening() override { return true; }
  bool StopListening() override { return true; }
  bool SendResponse(const std::string &Response, void *Output) override {
    *static_cast<std::string *>(Output) = Response;
    return true;
  }
};

class OperatorRpc::Methods : public schema::OperatorServer {
public:
  Methods(jsonrpc::AbstractServerConnector &Server, Context &Ctx,
          PeerStatusHook PeerStatus)
      : schema::OperatorServer(Server), m_Context(Ctx),
        m_PeerStatus(std::move(PeerStatus)) {}

  Json::Value status(bool Detail) override {
    Json::Value Report;
    Report["name"] = m_Context.m_Settings.name();
    Report["data_centre"] = m_Context.m_Settings.data_centre();
    Report["draining"] = m_Context.m_Draining.load();
    Report["requests_in_progress"] =
        static_cast<Json::UInt64>(m_Context.m_Requests.openRequests());
    Report["requests_queued"] =
        static_cast<Json::UInt64>(m_Context.m_Requests.queuedRequests());
    Report["claims_in_progress"] =
        static_cast<Json::UInt64>(m_Context.m_Requests.openClaims());
    if (const auto Config = m_Context.m_Config.get()) {
      Report["generation"] =
          static_cast<Json::UInt64>(Config->m_Row.generation());
      Report["author"] = Config->m_Row.author();
      Report["reason"] = Config->m_Row.reason();
    }
    Report["peers"] = parseJson(m_PeerStatus());
    addEndpoints(Report, Detail);
    return Report;
  }

  Json::Value explain(const std::string &Request) override {
    Json::Value Report(Json::objectValue);
    const auto Record = m_Context.m_Requests.find(RequestId(Request));
    Report["found"] = Record.has_value();
    if (!Record)
      return Report;
    Report["request"] = Request;
    Report["workspace"] = Record->m_Workspace.str();
    Report["asked"] = Record->m_Target;
    Report["outcome"] =
        Record->m_Outcome.empty() ? "in progress" : Record->m_Outcome;
    for (const RequestEvent &RecordedEvent : Record->m_Events) {
      Json::Value Event;
      Event["after_ms"] = toMillis(RecordedEvent.m_Elapsed);
      Event["what"] = RecordedEvent.m_Text;
      Report["events"].append(Event);
    }
    return Report;
  }

  bool claimInProgress(const std::string &Attempt) override {
    return m_Context.m_Requests.claimInProgress(AttemptId(Attempt));
  }

  std::string section(const std::string &Hash) override {
    const auto Config = m_Context.m_Config.get();
    if (!Config)
      return "";
    for (const std::string &Section :
         store::splitSections(Config->m_Declaration))
      if (store::sha256Hex(Section) == Hash)
        return store::encodeBase64(Section);
    return "";
  }

  std::string generation() override {
    const auto Config = m_Context.m_Config.get();
    return Config ? store::encodeBase64(Config->m_Row.SerializeAsString()) : "";
  }

private:
  void addEndpoints(Json::Value &Report, bool Detail) {
    const auto Endpoints = m_Context.m_Endpoints.withLock(
        [](decide::EndpointDirectory &Directory) {
          return Directory.status();
        });
    unsigned UsableCount = 0;
    Json::Value EndpointList(Json::arrayValue);
    for (const decide::EndpointStatus &Endpoint : Endpoints) {
      const bool IsUsable =
          Endpoint.m_State == decide::EndpointHealth::State::Usable &&
          !Endpoint.m_Leaving;
      UsableCount += IsUsable ? 1 : 0;
      if (IsUsable && !Detail)
        continue;
      Json::Value Entry;
      Entry["name"] = Endpoint.m_Endpoint.str();
      Entry["state"] = stateName(Endpoint.m_State);
      Entry["leaving"] = Endpoint.m_Leaving;
      Entry["in_flight"] = Endpoint.m_InFlight;
      EndpointList.append(Entry);
    }
    Report["endpoints_usable"] = UsableCount;
    Report["endpoints"] = EndpointList;
  }

  Context &m_Context;
  PeerStatusHook m_PeerStatus;
};

OperatorRpc::OperatorRpc(Context &Ctx, PeerStatusHook PeerStatus)
    : m_Connector(std::make_unique<Connector>()),
      m_Methods(std::make_unique<Methods>(*m_Connector, Ctx,
                                          std::move(PeerStatus))) {}

OperatorRpc::~OperatorRpc() = default;

std::string OperatorRpc::handle(const std::string &Request) {
  std::string Response;
  m_Connector->OnRequest(Request, &Response);
  return Response;
}

} // namespace mimosadale::router
