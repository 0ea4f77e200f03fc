#include "router/gateway.h"

#include "router/claim_store.h"
#include "router/completion_call.h"
#include "router/context.h"
#include "router/log.h"
#include "router/replies.h"
#include "store/digest.h"

#include <boost/json.hpp>

namespace mimosadale::router {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::string_view ServicePrefix = "/v1/services/";

// When to come back to a router that is not ready.
constexpr Duration NotReadyHint = std::chrono::seconds(1);
constexpr Duration ConnectionsHint = std::chrono::milliseconds(500);

std::string bearerOf(const net::HttpRequest &Request) {
  const std::string Header =
      net::findHeader(Request.m_Headers, "Authorization");
  const std::string Scheme = "Bearer ";
  return Header.starts_with(Scheme) ? Header.substr(Scheme.size()) : "";
}

net::HttpResponse textPage(unsigned Status, std::string Text) {
  net::HttpResponse Response;
  Response.m_Status = Status;
  Response.m_Headers = {{"Content-Type", "text/plain; charset=utf-8"}};
  Response.m_Body = std::move(Text);
  return Response;
}

net::HttpResponse jsonPage(std::string Text) {
  net::HttpResponse Response;
  Response.m_Headers = {{"Content-Type", "application/json"}};
  Response.m_Body = std::move(Text);
  return Response;
}

std::string pathOf(const std::string &Target) {
  return Target.substr(0, Target.find('?'));
}

} // namespace

Gateway::Gateway(Context &Shared, ClaimStore &Claims, HolderHook AskHolder,
                 RpcHook Rpc, SealCheck Sealed, std::string OperatorToken)
    : m_Shared(Shared), m_Claims(Claims), m_AskHolder(std::move(AskHolder)),
      m_Rpc(std::move(Rpc)), m_Sealed(std::move(Sealed)),
      m_OperatorToken(std::move(OperatorToken)) {}

net::HttpResponse Gateway::refused(schema::Reason Why,
                                   const std::string &Detail,
                                   std::optional<Duration> RetryAfter) {
  m_Shared.m_Metrics.countRefusal(Why);
  logEvent(schema::DEBUG, "request_refused",
           {{"reason", reasonName(Why)}, {"run_state", "not_run"}});
  return refusalResponse(refuseUntouched(Why, Detail, RetryAfter));
}

net::HttpResponse Gateway::refuse(net::ServerRefusal Why) {
  const auto &Limits = m_Shared.m_Settings.limits();
  switch (Why) {
  case net::ServerRefusal::HeaderTooLarge:
    return refused(schema::TOO_LARGE,
                   "header: allowed: up to " +
                       std::to_string(Limits.header_bytes()) + " bytes");
  case net::ServerRefusal::BodyTooLarge:
    return refused(schema::TOO_LARGE, "body: allowed: up to " +
                                          std::to_string(Limits.body_bytes()) +
                                          " bytes");
  case net::ServerRefusal::SlowSender:
    return refused(schema::SLOW_SENDER,
                   "the request took longer than " +
                       std::to_string(Limits.read_timeout_ms()) + " ms");
  case net::ServerRefusal::TooManyConnections:
    return refused(schema::TOO_MANY_CONNECTIONS,
                   "too many connections are open", ConnectionsHint);
  default:
    return refused(schema::BAD_REQUEST, "the request is not HTTP/1.1");
  }
}

// The token is `workspace.secret`, so one hash settles it. An unknown workspace
// costs the same hash.
std::optional<Caller> Gateway::authenticate(const net::HttpRequest &Request) {
  const std::string Token = bearerOf(Request);
  const auto Config = m_Shared.m_Config.get();
  const schema::Workspace *Workspace =
      Config->findWorkspace(Token.substr(0, Token.find('.')));
  const std::string Salt = Workspace ? Workspace->token_salt() : "none";
  const std::string Given = store::sha256Hex(Salt + Token);
  if (!Workspace || !store::equalConstantTime(Given, Workspace->token_sha256()))
    return std::nullopt;
  return Caller{*Workspace, Config};
}

bool Gateway::operatorAllowed(const net::HttpRequest &Request) const {
  if (store::equalConstantTime(store::sha256Hex(bearerOf(Request)),
                               store::sha256Hex(m_OperatorToken)))
    return true;
  return m_Sealed(Request.m_Body,
                  net::findHeader(Request.m_Headers, "Mimosadale-Key"),
                  net::findHeader(Request.m_Headers, "Mimosadale-Mac"));
}

std::optional<net::HttpResponse>
Gateway::plainPage(const std::string &Target) const {
  if (Target == "/healthz")
    return textPage(200, "alive\n");
  if (Target == "/readyz") {
    if (m_Shared.m_Draining)
      return textPage(503, "draining\n");
    if (!m_Shared.m_Config.get())
      return textPage(503, "no configuration: neither the platform nor another "
                           "router could be reached\n");
    return textPage(200, "ready\n");
  }
  if (Target == "/metrics")
    return textPage(200, m_Shared.m_Metrics.render());
  return std::nullopt;
}

asio::awaitable<void> Gateway::handleCaller(net::HttpExchange &Exchange) {
  const net::HttpRequest &Request = Exchange.request();
  if (auto Page = plainPage(pathOf(Request.m_Target))) {
    co_await Exchange.respond(std::move(*Page));
    co_return;
  }
  std::optional<net::HttpResponse> Refused;
  std::optional<Caller> From;
  if (!m_Shared.m_Config.get()) {
    Refused = refused(schema::NOT_READY, "this router has no configuration yet",
                      NotReadyHint);
  } else {
    From = authenticate(Request);
    if (!From)
      Refused = refused(schema::UNAUTHENTICATED,
                        "the header Authorization: allowed: Bearer and the "
                        "token of a workspace");
  }
  if (Refused) {
    co_await Exchange.respond(std::move(*Refused));
    co_return;
  }
  co_await route(Exchange, std::move(*From));
}

asio::awaitable<void> Gateway::route(net::HttpExchange &Exchange, Caller From) {
  const net::HttpRequest &Request = Exchange.request();
  const std::string Path = pathOf(Request.m_Target);
  const bool Chat = Path == "/v1/chat/completions";
  if (Chat || Path == "/v1/completions") {
    if (Request.m_Method != "POST") {
      net::HttpResponse Response =
          refused(schema::BAD_REQUEST, "method: allowed: POST");
      co_await Exchange.respond(std::move(Response));
      co_return;
    }
    CompletionCall Call(m_Shared, Exchange, std::move(From));
    co_await Call.serve(Chat);
    co_return;
  }
  if (Path.starts_with(ServicePrefix)) {
    const std::string Rest = Request.m_Target.substr(ServicePrefix.size());
    const std::size_t Slash = std::min(Rest.find_first_of("/?"), Rest.size());
    std::string Inner = Rest.substr(Slash);
    if (!Inner.starts_with("/"))
      Inner.insert(0, "/");
    ServiceCall Call(m_Shared, m_Claims, m_AskHolder, Exchange,
                     std::move(From));
    co_await Call.serve(Rest.substr(0, Slash), Inner);
    co_return;
  }
  net::HttpResponse Response =
      Path == "/v1/models"
          ? models(From)
          : refused(schema::NOT_FOUND,
                    "path: allowed: /v1/chat/completions, /v1/completions, "
                    "/v1/models, /v1/services/NAME/...");
  co_await Exchange.respond(std::move(Response));
}

net::HttpResponse Gateway::models(const Caller &From) const {
  json::array List;
  for (const schema::Model &Each : From.m_Config->m_Declaration.models())
    List.push_back(json::object{{"id", Each.name() + ":" + Each.version()},
                                {"object", "model"},
                                {"created", 0},
                                {"owned_by", "mimosadale"}});
  return jsonPage(
      json::serialize(json::object{{"object", "list"}, {"data", List}}));
}

asio::awaitable<void> Gateway::handleOperator(net::HttpExchange &Exchange) {
  const net::HttpRequest &Request = Exchange.request();
  net::HttpResponse Response;
  if (auto Page = plainPage(pathOf(Request.m_Target)))
    Response = std::move(*Page);
  else if (!operatorAllowed(Request))
    Response = refused(schema::UNAUTHENTICATED,
                       "the header Authorization: allowed: Bearer and the "
                       "operators' token");
  else if (Request.m_Target == "/rpc" && Request.m_Method == "POST")
    Response = jsonPage(m_Rpc(Request.m_Body));
  else
    Response = refused(schema::NOT_FOUND,
                       "path: allowed: POST /rpc, /metrics, /healthz, /readyz");
  co_await Exchange.respond(std::move(Response));
}

} // namespace mimosadale::router
