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

// Time from before the first insert within which a claimed call may be sent.
constexpr Duration SendWindow = std::chrono::seconds(2);

constexpr std::size_t LongestKey = 255;
constexpr unsigned MostTries = 3;
constexpr Duration RepairHint = std::chrono::seconds(1);

// Methods without effect (RFC 9110, section 9.2.1).
bool isSafe(const std::string &Method) {
  return Method == "GET" || Method == "HEAD" || Method == "OPTIONS";
}

net::HttpResponse toResponse(const RequestId &Request,
                             const decide::ClaimDispatch &From) {
  net::HttpResponse To;
  To.m_Status = From.m_Status;
  To.m_Headers.push_back({"Mimosadale-Request", Request.str()});
  if (!From.m_Type.empty())
    To.m_Headers.push_back({"Content-Type", From.m_Type});
  To.m_Body = From.m_Body;
  return To;
}

} // namespace

ServiceCall::ServiceCall(Context &Shared, ClaimStore &Claims,
                         const HolderHook &AskHolder,
                         net::HttpExchange &Exchange, Caller From)
    : m_Shared(Shared), m_Claims(Claims), m_AskHolder(AskHolder),
      m_Exchange(Exchange), m_From(std::move(From)),
      m_Request(Shared.uniqueName()), m_Arrived(Context::now()) {}

net::HttpRequest ServiceCall::forwarded(const std::string &Path) const {
  const net::HttpRequest &From = m_Exchange.request();
  net::HttpRequest To;
  To.m_Method = From.m_Method;
  To.m_Target = Path;
  To.m_Body = From.m_Body;
  for (const char *Name : {"Content-Type", "Accept", "Idempotency-Key"}) {
    const std::string Value = net::findHeader(From.m_Headers, Name);
    if (!Value.empty())
      To.m_Headers.push_back({Name, Value});
  }
  To.m_Headers.push_back({"Mimosadale-Request", m_Request.str()});
  To.m_Headers.push_back({"Mimosadale-Workspace", m_From.m_Workspace.name()});
  return To;
}

Duration ServiceCall::serviceTimeout(const schema::Service &Service) const {
  return std::chrono::milliseconds(Service.timeout_ms());
}

asio::awaitable<void> ServiceCall::serve(std::string Service,
                                         std::string Path) {
  const net::HttpRequest &Request = m_Exchange.request();
  const schema::Service *Declared = m_From.m_Config->findService(Service);
  if (!Declared) {
    const std::string Detail = "service \"" + Service + "\" is not declared";
    co_await refuse(refuseUntouched(schema::NOT_FOUND, Detail));
    co_return;
  }
  std::string Fault;
  try {
    m_Deadline = m_Arrived + requestTimeout(m_Shared, Request.m_Headers);
  } catch (const Error &Wrong) {
    Fault = Wrong.what();
  }
  const std::string Key = net::findHeader(Request.m_Headers, "Idempotency-Key");
  if (Key.size() > LongestKey)
    Fault = "Idempotency-Key: allowed: up to 255 bytes";
  if (!Fault.empty()) {
    co_await refuse(refuseUntouched(schema::BAD_REQUEST, Fault));
    co_return;
  }
  m_Forwarded = forwarded(Path);
  m_Shared.m_Requests.open(m_Request, WorkspaceId(m_From.m_Workspace.name()),
                           Service, m_Arrived);
  const bool Claimed =
      Declared->calls() == schema::AT_MOST_ONCE && !isSafe(Request.m_Method);
  if (Claimed && Key.empty()) {
    const std::string Detail =
        "calls of \"" + Service + "\" need the header Idempotency-Key";
    co_await refuse(refuseUntouched(schema::IDEMPOTENCY_KEY_MISSING, Detail));
  } else if (Claimed) {
    co_await claimed(*Declared, Key);
  } else {
    co_await repeatable(*Declared);
  }
}

// Calls that the service or the method allows to repeat. A deduplicated call
// without a key cannot be told apart by the endpoint, so it is tried once.
asio::awaitable<void> ServiceCall::repeatable(const schema::Service &Service) {
  const bool MayRepeat =
      Service.calls() != schema::DEDUPLICATED ||
      isSafe(m_Exchange.request().m_Method) ||
      !net::findHeader(m_Forwarded.m_Headers, "Idempotency-Key").empty();
  decide::RunTracker Run;
  decide::EndpointSet Avoid;
  ServiceClient Services(m_Shared);
  m_Shared.m_Requests.onFirstTry();
  for (unsigned Try = 0; Try < MostTries && Context::now() < m_Deadline;
       ++Try) {
    const Duration Left = m_Deadline - Context::now();
    Run.beforeDispatch();
    const ServiceTry Tried =
        co_await Services.send(ServiceId(Service.name()), m_Forwarded,
                               std::min(serviceTimeout(Service), Left), Avoid);
    using Kind = decide::ClaimDispatch::Kind;
    if (Tried.m_Dispatch.m_Kind == Kind::Answered) {
      m_Shared.m_Requests.close(m_Request, "complete", Context::now());
      net::HttpResponse Response = toResponse(m_Request, Tried.m_Dispatch);
      co_await m_Exchange.respond(std::move(Response));
      co_return;
    }
    const bool Never = Tried.m_Dispatch.m_Kind == Kind::NeverSent;
    if (Never)
      Run.dispatchNeverSent();
    if (Tried.m_Dispatch.m_Kind == Kind::SaidNotRun)
      Run.endpointSaidNotRun(Service.trusted_not_run());
    if (Tried.m_Endpoint.empty() || (!MayRepeat && !Run.proof()) ||
        !m_Shared.m_Requests.takeRetry())
      break;
    Avoid.insert(Tried.m_Endpoint);
    m_Shared.m_Metrics.countRetry(Never ? schema::SERVICE_NOT_SENT
                                        : schema::SERVICE_REPEATABLE);
  }
  co_await refuse(decide::Refusal::of(
      Run, Run.proof() ? schema::NO_ENDPOINT : schema::ENDPOINT_FAILED,
      "no endpoint of \"" + Service.name() + "\" gave a whole answer",
      RepairHint));
}

asio::awaitable<void> ServiceCall::claimed(const schema::Service &Service,
                                           std::string Key) {
  decide::ClaimStart Start;
  Start.m_Workspace = WorkspaceId(m_From.m_Workspace.name());
  Start.m_Service = ServiceId(Service.name());
  Start.m_Key = std::move(Key);
  Start.m_BodyHash =
      store::sha256Hex(m_Forwarded.m_Method + "\n" + m_Forwarded.m_Target +
                       "\n" + m_Forwarded.m_Body);
  Start.m_Attempt = AttemptId(m_Request.str());
  Start.m_Holder = PeerId(m_Shared.m_Settings.name());
  Start.m_HolderIncarnation = m_Shared.m_Incarnation;
  Start.m_Deadline = m_Deadline;
  Start.m_SendBefore = std::min(m_Deadline, m_Arrived + SendWindow);
  Start.m_TrustedNotRun = Service.trusted_not_run();
  const auto Run = std::make_shared<ClaimRun>(m_Shared, m_Claims, m_AskHolder,
                                              std::move(Start), m_Forwarded,
                                              serviceTimeout(Service));
  const ClaimAnswer Answer = co_await Run->answer();
  m_Shared.m_Metrics.recordDuration(Timing::Claim, Context::now() - m_Arrived);
  if (const auto *Refused = std::get_if<decide::RefuseClaim>(&Answer))
    co_await refuse(Refused->m_Refusal);
  else
    co_await answer(std::get<decide::AnswerClaim>(Answer));
}

asio::awaitable<void> ServiceCall::answer(const decide::AnswerClaim &Answer) {
  net::HttpResponse Response;
  Response.m_Status = Answer.m_Status;
  Response.m_Headers.push_back({"Mimosadale-Request", m_Request.str()});
  Response.m_Body = Answer.m_Body;
  std::string Fault;
  if (!Answer.m_Object.empty()) {
    try {
      Response.m_Body = co_await m_Shared.m_Objects.get(Answer.m_Object);
    } catch (const store::StoreError &Wrong) {
      Fault = Wrong.what();
    }
  }
  if (!Fault.empty()) {
    decide::RunTracker Run;
    Run.beforeDispatch();
    Run.ran();
    co_await refuse(decide::Refusal::of(
        Run, schema::PLATFORM_UNAVAILABLE,
        "the call ran; its recorded answer cannot be read now", RepairHint));
    co_return;
  }
  if (!Answer.m_Type.empty())
    Response.m_Headers.push_back({"Content-Type", Answer.m_Type});
  if (Answer.m_Repeated)
    Response.m_Headers.push_back({"Mimosadale-Repeated", "true"});
  m_Shared.m_Requests.close(m_Request, "complete", Context::now());
  co_await m_Exchange.respond(std::move(Response));
}

asio::awaitable<void> ServiceCall::refuse(const decide::Refusal &Why) {
  const std::string Reason = reasonName(Why.reason());
  m_Shared.m_Metrics.countRefusal(Why.reason());
  m_Shared.m_Requests.close(m_Request, Reason, Context::now());
  logEvent(schema::INFO, "call_refused",
           {{"request", m_Request.str()},
            {"reason", Reason},
            {"run_state", runStateName(Why.runState())}});
  net::HttpResponse Response = refusalResponse(Why);
  Response.m_Headers.push_back({"Mimosadale-Request", m_Request.str()});
  co_await m_Exchange.respond(std::move(Response));
}

} // namespace mimosadale::router
