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

constexpr Duration NotReadyRetryAfter = std::chrono::seconds(1);
constexpr Duration ConnectionLimitRetryAfter = std::chrono::milliseconds(500);

std::string bearerToken(const net::HttpRequest &Request) {
  const std::string Header =
      net::findHeader(Request.m_Headers, "Authorization");
  const std::string Scheme = "Bearer ";
  return Header.starts_with(Scheme) ? Header.substr(Scheme.size()) : "";
}

net::HttpResponse textResponse(unsigned Status, std::string Text) {
  net::HttpResponse Response;
  Response.m_Status = Status;
  Response.m_Headers = {{"Content-Type", "text/plain; charset=utf-8"}};
  Response.m_Body = std::move(Text);
  return Response;
}

net::HttpResponse jsonResponse(std::string Text) {
  net::HttpResponse Response;
  Response.m_Headers = {{"Content-Type", "application/json"}};
  Response.m_Body = std::move(Text);
  return Response;
}

std::string pathOf(const std::string &Target) {
  return Target.substr(0, Target.find('?'));
}

} // namespace

Gateway::Gateway(Context &Ctx, ClaimStore &Claims, HolderQuery QueryHolder,
                 RpcHandler HandleRpc, SealVerifier VerifySeal,
                 std::string OperatorToken)
    : m_Context(Ctx), m_Claims(Claims), m_QueryHolder(std::move(QueryHolder)),
      m_HandleRpc(std::move(HandleRpc)), m_VerifySeal(std::move(VerifySeal)),
      m_OperatorToken(std::move(OperatorToken)) {}

net::HttpResponse Gateway::refusal(schema::Reason Reason,
                                   const std::string &Detail,
                                   std::optional<Duration> RetryAfter) {
  m_Context.m_Metrics.countRefusal(Reason);
  logEvent(schema::DEBUG, "request_refused",
           {{"reason", reasonName(Reason)}, {"run_state", "not_run"}});
  return refusalResponse(notRunRefusal(Reason, Detail, RetryAfter));
}

net::HttpResponse Gateway::serverRefusal(net::ServerRefusal Reason) {
  const auto &Limits = m_Context.m_Settings.limits();
  switch (Reason) {
  case net::ServerRefusal::HeaderTooLarge:
    return refusal(schema::TOO_LARGE,
                   "header: allowed: up to " +
                       std::to_string(Limits.header_bytes()) + " bytes");
  case net::ServerRefusal::BodyTooLarge:
    return refusal(schema::TOO_LARGE, "body: allowed: up to " +
                                          std::to_string(Limits.body_bytes()) +
                                          " bytes");
  case net::ServerRefusal::SlowSender:
    return refusal(schema::SLOW_SENDER,
                   "the request took longer than " +
                       std::to_string(Limits.read_timeout_ms()) + " ms");
  case net::ServerRefusal::TooManyConnections:
    return refusal(schema::TOO_MANY_CONNECTIONS,
                   "too many connections are open", ConnectionLimitRetryAfter);
  default:
    return refusal(schema::BAD_REQUEST, "the request is not HTTP/1.1");
  }
}

// The token is `workspace.secret`, so that one hash verifies it. An unknown
// workspace costs the same hash, so that the response time does not tell which
// workspaces exist.
std::optional<Caller> Gateway::authenticate(const net::HttpRequest &Request) {
  const std::string Token = bearerToken(Request);
  const auto Config = m_Context.m_Config.get();
  const schema::Workspace *Workspace =
      Config->findWorkspace(Token.substr(0, Token.find('.')));
  const std::string Salt = Workspace ? Workspace->token_salt() : "none";
  const std::string TokenHash = store::sha256Hex(Salt + Token);
  if (!Workspace ||
      !store::equalConstantTime(TokenHash, Workspace->token_sha256()))
    return std::nullopt;
  return Caller{*Workspace, Config};
}

bool Gateway::mayCallRpc(const net::HttpRequest &Request) const {
  if (store::equalConstantTime(store::sha256Hex(bearerToken(Request)),
                               store::sha256Hex(m_OperatorToken)))
    return true;
  return m_VerifySeal(Request.m_Body,
                      net::findHeader(Request.m_Headers, "Mimosadale-Key"),
                      net::findHeader(Request.m_Headers, "Mimosadale-Mac"));
}

std::optional<net::HttpResponse>
Gateway::statusPage(const std::string &Target) const {
  if (Target == "/healthz")
    return textResponse(200, "alive\n");
  if (Target == "/readyz") {
    if (m_Context.m_Draining)
      return textResponse(503, "draining\n");
    if (!m_Context.m_Config.get())
      return textResponse(503,
                          "no configuration: neither the platform nor another "
                          "router could be reached\n");
    return textResponse(200, "ready\n");
  }
  if (Target == "/metrics")
    return textResponse(200, m_Context.m_Metrics.render());
  return std::nullopt;
}

asio::awaitable<void> Gateway::handleCaller(net::HttpExchange &Exchange) {
  const net::HttpRequest &Request = Exchange.request();
  if (auto Page = statusPage(pathOf(Request.m_Target))) {
    co_await Exchange.respond(std::move(*Page));
    co_return;
  }
  std::optional<net::HttpResponse> Refusal;
  std::optional<Caller> TheCaller;
  if (!m_Context.m_Config.get()) {
    Refusal = refusal(schema::NOT_READY, "this router has no configuration yet",
                      NotReadyRetryAfter);
  } else {
    TheCaller = authenticate(Request);
    if (!TheCaller)
      Refusal = refusal(schema::UNAUTHENTICATED,
                        "the header Authorization: allowed: Bearer and the "
                        "token of a workspace");
  }
  if (Refusal) {
    co_await Exchange.respond(std::move(*Refusal));
    co_return;
  }
  co_await route(Exchange, std::move(*TheCaller));
}

asio::awaitable<void> Gateway::route(net::HttpExchange &Exchange,
                                     Caller TheCaller) {
  const net::HttpRequest &Request = Exchange.request();
  const std::string Path = pathOf(Request.m_Target);
  const bool Chat = Path == "/v1/chat/completions";
  if (Chat || Path == "/v1/completions") {
    if (Request.m_Method != "POST") {
      net::HttpResponse Response =
          refusal(schema::BAD_REQUEST, "method: allowed: POST");
      co_await Exchange.respond(std::move(Response));
      co_return;
    }
    CompletionCall Call(m_Context, Exchange, std::move(TheCaller));
    co_await Call.serve(Chat);
    co_return;
  }
  if (Path.starts_with(ServicePrefix)) {
    const std::string Rest = Request.m_Target.substr(ServicePrefix.size());
    const std::size_t Slash = std::min(Rest.find_first_of("/?"), Rest.size());
    std::string ServicePath = Rest.substr(Slash);
    if (!ServicePath.starts_with("/"))
      ServicePath.insert(0, "/");
    ServiceCall Call(m_Context, m_Claims, m_QueryHolder, Exchange,
                     std::move(TheCaller));
    co_await Call.serve(Rest.substr(0, Slash), ServicePath);
    co_return;
  }
  net::HttpResponse Response =
      Path == "/v1/models"
          ? models(TheCaller)
          : refusal(schema::NOT_FOUND,
                    "path: allowed: /v1/chat/completions, /v1/completions, "
                    "/v1/models, /v1/services/NAME/...");
  co_await Exchange.respond(std::move(Response));
}

net::HttpResponse Gateway::models(const Caller &TheCaller) const {
  json::array Models;
  for (const schema::Model &Model : TheCaller.m_Config->m_Declaration.models())
    Models.push_back(json::object{{"id", Model.name() + ":" + Model.version()},
                                  {"object", "model"},
                                  {"created", 0},
                                  {"owned_by", "mimosadale"}});
  return jsonResponse(
      json::serialize(json::object{{"object", "list"}, {"data", Models}}));
}

asio::awaitable<void> Gateway::handleOperator(net::HttpExchange &Exchange) {
  const net::HttpRequest &Request = Exchange.request();
  net::HttpResponse Response;
  if (auto Page = statusPage(pathOf(Request.m_Target)))
    Response = std::move(*Page);
  else if (!mayCallRpc(Request))
    Response = refusal(schema::UNAUTHENTICATED,
                       "the header Authorization: allowed: Bearer and the "
                       "operators' token");
  else if (Request.m_Target == "/rpc" && Request.m_Method == "POST")
    Response = jsonResponse(m_HandleRpc(Request.m_Body));
  else
    Response = refusal(schema::NOT_FOUND,
                       "path: allowed: POST /rpc, /metrics, /healthz, /readyz");
  co_await Exchange.respond(std::move(Response));
}

} // namespace mimosadale::router
