#include "router/service_call.h"

#include "router/claim_run.h"
#include "router/claim_store.h"
#include "router/context.h"
#include "router/log.h"
#include "router/replies.h"
#include "router/service_client.h"
#include "store/digest.h"
#include "store/store_error.h"

#include <algorithm>

namespace mimosadale::router {

namespace asio = boost::asio;

namespace {

// A claimed call is sent within this time of its arrival, or not at all. The
// arrival precedes the insertion of the claim row.
constexpr Duration DispatchTimeout = std::chrono::seconds(2);

constexpr std::size_t MaxKeyBytes = 255;
constexpr unsigned MaxDispatches = 3;
constexpr Duration UnavailableRetryAfter = std::chrono::seconds(1);

// RFC 9110, section 9.2.1.
bool isSafe(const std::string &Method) {
  return Method == "GET" || Method == "HEAD" || Method == "OPTIONS";
}

net::HttpResponse toResponse(const RequestId &Request,
                             const decide::ClaimDispatchResult &Dispatch) {
  net::HttpResponse Response;
  Response.m_Status = Dispatch.m_Status;
  Response.m_Headers.push_back({"Mimosadale-Request", Request.str()});
  if (!Dispatch.m_ContentType.empty())
    Response.m_Headers.push_back({"Content-Type", Dispatch.m_ContentType});
  Response.m_Body = Dispatch.m_Body;
  return Response;
}

} // namespace

ServiceCall::ServiceCall(Context &Ctx, ClaimStore &Claims,
                         const HolderQuery &QueryHolder,
                         net::HttpExchange &Exchange, Caller TheCaller)
    : m_Context(Ctx), m_Claims(Claims), m_QueryHolder(QueryHolder),
      m_Exchange(Exchange), m_Caller(std::move(TheCaller)),
      m_RequestId(Ctx.newRequestId()), m_Arrived(Context::now()) {}

net::HttpRequest ServiceCall::endpointRequest(const std::string &Path) const {
  const net::HttpRequest &CallerRequest = m_Exchange.request();
  net::HttpRequest Request;
  Request.m_Method = CallerRequest.m_Method;
  Request.m_Target = Path;
  Request.m_Body = CallerRequest.m_Body;
  for (const char *Name : {"Content-Type", "Accept", "Idempotency-Key"}) {
    const std::string Value = net::findHeader(CallerRequest.m_Headers, Name);
    if (!Value.empty())
      Request.m_Headers.push_back({Name, Value});
  }
  Request.m_Headers.push_back({"Mimosadale-Request", m_RequestId.str()});
  Request.m_Headers.push_back(
      {"Mimosadale-Workspace", m_Caller.m_Workspace.name()});
  return Request;
}

Duration ServiceCall::serviceTimeout(const schema::Service &Service) const {
  return std::chrono::milliseconds(Service.timeout_ms());
}

asio::awaitable<void> ServiceCall::serve(std::string ServiceName,
                                         std::string Path) {
  const net::HttpRequest &Request = m_Exchange.request();
  const schema::Service *Service = m_Caller.m_Config->findService(ServiceName);
  if (!Service) {
    const std::string Detail =
        "service \"" + ServiceName + "\" is not declared";
    co_await refuse(notRunRefusal(schema::NOT_FOUND, Detail));
    co_return;
  }
  std::string ErrorText;
  try {
    m_Deadline = m_Arrived + requestTimeout(m_Context, Request.m_Headers);
  } catch (const Error &Err) {
    ErrorText = Err.what();
  }
  const std::string Key = net::findHeader(Request.m_Headers, "Idempotency-Key");
  if (Key.size() > MaxKeyBytes)
    ErrorText = "Idempotency-Key: allowed: up to 255 bytes";
  if (!ErrorText.empty()) {
    co_await refuse(notRunRefusal(schema::BAD_REQUEST, ErrorText));
    co_return;
  }
  m_EndpointRequest = endpointRequest(Path);
  m_Context.m_Requests.open(m_RequestId,
                            WorkspaceId(m_Caller.m_Workspace.name()),
                            ServiceName, m_Arrived);
  const bool NeedsClaim =
      Service->calls() == schema::AT_MOST_ONCE && !isSafe(Request.m_Method);
  if (NeedsClaim && Key.empty()) {
    const std::string Detail =
        "calls of \"" + ServiceName + "\" need the header Idempotency-Key";
    co_await refuse(notRunRefusal(schema::IDEMPOTENCY_KEY_MISSING, Detail));
  } else if (NeedsClaim) {
    co_await serveClaimed(*Service, Key);
  } else {
    co_await serveRepeatable(*Service);
  }
}

// Serves a call that its service or method allows to be repeated. An endpoint
// cannot recognise the repetition of a deduplicated call without a key, so such
// a call is sent again only if it provably did not run.
asio::awaitable<void>
ServiceCall::serveRepeatable(const schema::Service &Service) {
  const bool MayRepeat =
      Service.calls() != schema::DEDUPLICATED ||
      isSafe(m_Exchange.request().m_Method) ||
      !net::findHeader(m_EndpointRequest.m_Headers, "Idempotency-Key").empty();
  decide::RunTracker Tracker;
  decide::EndpointSet Avoid;
  ServiceClient Services(m_Context);
  m_Context.m_Requests.onFirstAttempt();
  for (unsigned Attempt = 0;
       Attempt < MaxDispatches && Context::now() < m_Deadline; ++Attempt) {
    const Duration Remaining = m_Deadline - Context::now();
    Tracker.beforeDispatch();
    const ServiceDispatch Dispatch = co_await Services.send(
        ServiceId(Service.name()), m_EndpointRequest,
        std::min(serviceTimeout(Service), Remaining), Avoid);
    using Kind = decide::ClaimDispatchResult::Kind;
    if (Dispatch.m_Result.m_Kind == Kind::Answered) {
      m_Context.m_Requests.close(m_RequestId, "complete", Context::now());
      net::HttpResponse Response = toResponse(m_RequestId, Dispatch.m_Result);
      co_await m_Exchange.respond(std::move(Response));
      co_return;
    }
    const bool NotSent = Dispatch.m_Result.m_Kind == Kind::NeverSent;
    if (NotSent)
      Tracker.dispatchNeverSent();
    if (Dispatch.m_Result.m_Kind == Kind::ReportedNotRun)
      Tracker.endpointReportedNotRun(Service.trusted_not_run());
    if (Dispatch.m_Endpoint.empty() || (!MayRepeat && !Tracker.notRunProof()) ||
        !m_Context.m_Requests.takeRetry())
      break;
    Avoid.insert(Dispatch.m_Endpoint);
    m_Context.m_Metrics.countRetry(NotSent ? schema::SERVICE_NOT_SENT
                                           : schema::SERVICE_REPEATABLE);
  }
  co_await refuse(decide::Refusal::forRun(
      Tracker,
      Tracker.notRunProof() ? schema::NO_ENDPOINT : schema::ENDPOINT_FAILED,
      "no endpoint of \"" + Service.name() + "\" gave a whole answer",
      UnavailableRetryAfter));
}

asio::awaitable<void> ServiceCall::serveClaimed(const schema::Service &Service,
                                                std::string Key) {
  decide::ClaimParams Start;
  Start.m_Workspace = WorkspaceId(m_Caller.m_Workspace.name());
  Start.m_Service = ServiceId(Service.name());
  Start.m_Key = std::move(Key);
  Start.m_BodyHash = store::sha256Hex(m_EndpointRequest.m_Method + "\n" +
                                      m_EndpointRequest.m_Target + "\n" +
                                      m_EndpointRequest.m_Body);
  Start.m_Attempt = AttemptId(m_RequestId.str());
  Start.m_Holder = PeerId(m_Context.m_Settings.name());
  Start.m_HolderIncarnation = m_Context.m_Incarnation;
  Start.m_Deadline = m_Deadline;
  Start.m_DispatchDeadline = std::min(m_Deadline, m_Arrived + DispatchTimeout);
  Start.m_TrustNotRun = Service.trusted_not_run();
  const auto Run = std::make_shared<ClaimRun>(
      m_Context, m_Claims, m_QueryHolder, std::move(Start), m_EndpointRequest,
      serviceTimeout(Service));
  const ClaimAnswer Answer = co_await Run->answer();
  m_Context.m_Metrics.recordDuration(Timing::Claim, Context::now() - m_Arrived);
  if (const auto *Refusal = std::get_if<decide::RefuseCall>(&Answer))
    co_await refuse(Refusal->m_Refusal);
  else
    co_await respond(std::get<decide::AnswerCall>(Answer));
}

asio::awaitable<void> ServiceCall::respond(const decide::AnswerCall &Answer) {
  net::HttpResponse Response;
  Response.m_Status = Answer.m_Status;
  Response.m_Headers.push_back({"Mimosadale-Request", m_RequestId.str()});
  Response.m_Body = Answer.m_Body;
  std::string ErrorText;
  if (!Answer.m_ObjectName.empty()) {
    try {
      Response.m_Body = co_await m_Context.m_Objects.get(Answer.m_ObjectName);
    } catch (const store::StoreError &Err) {
      ErrorText = Err.what();
    }
  }
  if (!ErrorText.empty()) {
    decide::RunTracker Tracker;
    Tracker.beforeDispatch();
    Tracker.markRan();
    co_await refuse(decide::Refusal::forRun(
        Tracker, schema::PLATFORM_UNAVAILABLE,
        "the call ran; its recorded answer cannot be read now",
        UnavailableRetryAfter));
    co_return;
  }
  if (!Answer.m_ContentType.empty())
    Response.m_Headers.push_back({"Content-Type", Answer.m_ContentType});
  if (Answer.m_IsReplay)
    Response.m_Headers.push_back({"Mimosadale-Repeated", "true"});
  m_Context.m_Requests.close(m_RequestId, "complete", Context::now());
  co_await m_Exchange.respond(std::move(Response));
}

asio::awaitable<void> ServiceCall::refuse(const decide::Refusal &Refusal) {
  const std::string Reason = reasonName(Refusal.reason());
  m_Context.m_Metrics.countRefusal(Refusal.reason());
  m_Context.m_Requests.close(m_RequestId, Reason, Context::now());
  logEvent(schema::INFO, "call_refused",
           {{"request", m_RequestId.str()},
            {"reason", Reason},
            {"run_state", runStateName(Refusal.runState())}});
  net::HttpResponse Response = refusalResponse(Refusal);
  Response.m_Headers.push_back({"Mimosadale-Request", m_RequestId.str()});
  co_await m_Exchange.respond(std::move(Response));
}

} // namespace mimosadale::router
