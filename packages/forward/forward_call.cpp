#include "forward/forward_call.h"

#include "forward/sleep.h"
#include "platform/names.h"
#include "router/log.h"
#include "router/replies.h"
#include "store/digest.h"

namespace mimosadale::forward {

namespace asio = boost::asio;
using decide::ForwardAction;

namespace {

// Retry-After of a refusal for lack of an endpoint: longer than a gap in a
// chain takes to fill, and spread so that callers do not return all at once.
constexpr Duration MinRetryAfter = std::chrono::milliseconds(1500);
constexpr Duration MaxRetryAfter = std::chrono::milliseconds(4000);

// Retry-After while this router drains: the balancer sends the next try to
// another router.
constexpr Duration RetryAfterAtDrain = std::chrono::milliseconds(50);

// Time after its first event for which the answer to a suspect request keeps
// others waiting: an engine that it crashes has mostly done so by then.
constexpr Duration SuspectAnswerTime = std::chrono::milliseconds(300);

// Longest wait for the outcome of another suspect request: that of an answer's
// beginning. Checked at the interval below.
constexpr Duration MaxSuspectTurnWait = std::chrono::milliseconds(400);
constexpr Duration SuspectTurnCheckInterval = std::chrono::milliseconds(20);
constexpr Duration BrokenCheckInterval = std::chrono::milliseconds(5);

// Hexadecimal digits of the digest of a request: 128 bits, so that no caller
// can find another one's request with the same.
constexpr std::size_t MarkDigits = 32;

// Interval between two searches for a chain that can resume a stream: a
// fraction of the shortest stall that triggers an action.
constexpr Duration ChainCheckInterval = std::chrono::milliseconds(50);

// Why another router may serve the request that this one refuses; none if it
// may not.
std::optional<decide::HandBackCause>
handBackCause(const decide::Refusal &Refusal) {
  if (Refusal.runState() != schema::NOT_RUN)
    return std::nullopt;
  switch (Refusal.reason()) {
  case schema::NO_ENDPOINT:
    return decide::HandBackCause::Endpoint;
  case schema::NOT_READY:
  case schema::DRAINING:
    return decide::HandBackCause::Router;
  default:
    return std::nullopt;
  }
}

} // namespace

ForwardCall::ForwardCall(ForwardState &State, net::HttpExchange &Exchange,
                         Sender From)
    : m_State(State), m_Calls(State.m_Calls), m_Exchange(Exchange),
      m_Sender(From), m_ArrivedAt(ForwardState::now()),
      m_RequestHeaders(platform::decodeRequestHeaders(Exchange.request())) {
  m_Calls->insert(this);
}

ForwardCall::~ForwardCall() { m_Calls->erase(this); }

// Returns a random Retry-After for this caller.
Duration ForwardCall::retryAfter() {
  std::uniform_int_distribution<Duration::rep> Distribution(
      MinRetryAfter.count(), MaxRetryAfter.count());
  return Duration(Distribution(m_State.m_Random));
}

// Returns the next step if no endpoint can take the request. If limits of the
// endpoints are the only reason, the caller returns when they leave room.
ForwardAction ForwardCall::onNoTarget() {
  const Instant Now = ForwardState::now();
  if (!m_TurnedAwayBy.empty() &&
      m_State.onlyLimitsRefuse(m_Service, m_Run->avoided(), Now))
    if (const auto Return = m_State.m_Limits.promiseReturn(m_TurnedAwayBy, Now,
                                                           m_State.m_Random))
      return m_Run->onNoEndpoint(schema::ENDPOINT_LIMITED, *Return, Now);
  return m_Run->onNoEndpoint(schema::NO_ENDPOINT, retryAfter(), Now);
}

// Sets the refusal of a request that no endpoint was tried for. \returns false.
bool ForwardCall::refuseBeforeAttempt(schema::Reason Reason, const char *Detail,
                                      std::optional<Duration> RetryAfter) {
  m_Refusal = router::notRunRefusal(Reason, Detail, RetryAfter);
  return false;
}

// Whether the router that handed the request over admitted it by a newer
// configuration than this one knows.
bool ForwardCall::knowsOlderConfig() const {
  return m_Routes->config().m_Version < m_HandOverMark.m_ConfigVersion;
}

// Refuses the request by the configuration, unless that is older than the one
// by which another router admitted the request: then it is handed back.
bool ForwardCall::refuseByConfig(schema::Reason Reason, const char *Detail) {
  m_ConfigIsTooOld = knowsOlderConfig();
  if (m_ConfigIsTooOld)
    return refuseBeforeAttempt(schema::NOT_READY,
                               "the configuration is known in an older version",
                               retryAfter());
  return refuseBeforeAttempt(Reason, Detail);
}

// The service that the request goes to: the one that a router has drawn that
// handed it over, if the route has it; none if the configuration is too old.
std::optional<ServiceId> ForwardCall::pickService() {
  const ServiceId &Drawn = m_HandOverMark.m_Service;
  for (const decide::WeightedService &Service : m_Route->m_Services)
    if (!Drawn.empty() && Service.m_Service == Drawn)
      return Drawn;
  if (!Drawn.empty() && knowsOlderConfig())
    return std::nullopt;
  const double Draw =
      std::uniform_real_distribution<double>(0, 1)(m_State.m_Random);
  return m_Routes->chooseService(*m_Route, Draw);
}

// Finds route, workspace and service. \returns whether the request may proceed;
// if not, `m_Refusal` is set.
bool ForwardCall::admit() {
  m_Route =
      m_Routes->find(m_RequestHeaders.m_Host, m_Exchange.request().m_Target);
  if (!m_Route)
    return refuseByConfig(schema::NOT_FOUND, "no route for this host and path");
  if (m_Routes->config().m_KeysRequired && !m_Route->m_Public) {
    m_Workspace = m_Routes->workspaceOf(m_RequestHeaders.m_WorkspaceKey);
    if (!m_Workspace)
      return refuseByConfig(schema::UNAUTHENTICATED, "the key is not known");
  }
  const std::optional<ServiceId> Service = pickService();
  if (!Service)
    return refuseByConfig(schema::NOT_READY, "no configuration yet");
  m_Service = *Service;
  return true;
}

// Decides whether the request may proceed, and starts its run. \returns false
// with `m_Refusal` set if it may not.
bool ForwardCall::prepare() {
  m_Routes = m_State.m_Routes.current();
  if (!m_State.ready())
    return refuseBeforeAttempt(schema::NOT_READY, "no configuration yet",
                               retryAfter());
  if (m_Sender == Sender::Router)
    m_HandOverMark =
        parseHandedOver(m_Exchange.request()).value_or(HandOverMark{});
  if (!admit())
    return false;
  const bool TooLate =
      m_State.m_LastArrival && m_ArrivedAt > *m_State.m_LastArrival;
  if (TooLate || outlastsDrain() ||
      (m_Sender == Sender::Router && m_State.m_Draining))
    return refuseBeforeAttempt(schema::DRAINING,
                               "this router stops before it would end",
                               RetryAfterAtDrain);
  decide::ForwardParams Start;
  Start.m_Kind = m_Route->m_Kind;
  Start.m_Resumable = m_Route->m_Resumable;
  Start.m_MaxEndpoints = m_Route->m_MaxEndpoints;
  if (m_Sender == Sender::Router) {
    Start.m_MaxEndpoints =
        std::min(Start.m_MaxEndpoints, m_HandOverMark.m_EndpointsLeft);
    Start.m_IsCounted = m_HandOverMark.m_IsCounted;
  }
  Start.m_Timeout = m_ArrivedAt + m_Route->m_Timeout;
  Start.m_Deadline = m_RequestHeaders.m_Deadline
                         ? m_ArrivedAt + *m_RequestHeaders.m_Deadline
                         : Start.m_Timeout;
  m_Run.emplace(Start);
  m_Marks = makeMarks();
  return true;
}

// Counts the request for the retry budget, once over all routers.
void ForwardCall::countFirstAttempt() {
  if (!m_Run->takeFirstAttempt())
    return;
  m_State.m_Metrics.countEvent("first_attempt");
  m_State.retryBudgetOf(m_Service).onFirstAttempt(ForwardState::now());
}

// Whether the stream would still run when this router exits.
bool ForwardCall::outlastsDrain() const {
  return m_State.m_Draining && m_Route->m_Kind == decide::CallKind::Stream &&
         decide::endsAfterStop(
             m_State.m_StreamTimes.expected(
                 m_RequestHeaders.m_Size
                     ? m_RequestHeaders.m_Size->m_ExpectedAnswer
                     : 0),
             m_State.m_DrainDeadline - m_ArrivedAt);
}

asio::awaitable<void> ForwardCall::serve() {
  if (!prepare()) {
    decide::Refusal Refusal = *m_Refusal;
    co_await refuse(std::move(Refusal));
    co_return;
  }
  m_Exchange.watchCaller([this] {
    m_CallerGone = true;
    abortAttempt(AbortReason::CallerGone);
  });
  // The router that its caller chose counts a request, as that one pays for its
  // repeats.
  if (m_Sender == Sender::Caller)
    countFirstAttempt();
  bool NeedsAttempt = true;
  while (NeedsAttempt) {
    std::optional<ForwardAction> Step = co_await awaitSuspectTurn();
    std::optional<Target> NextTarget;
    if (!Step && callerLeft())
      Step = decide::CutOff{schema::CALLER_GONE};
    if (!Step)
      NextTarget = chooseTarget();
    if (Step) {
      // It is not sent.
    } else if (NextTarget) {
      Target Chosen = std::move(*NextTarget);
      Step = co_await attempt(std::move(Chosen));
    } else {
      Step = onNoTarget();
    }
    m_SuspectTurn.reset();
    if (!Step) {
      releaseReserved();
      co_return; // the answer was sent
    }
    if (std::holds_alternative<decide::AwaitEndpoint>(*Step) &&
        co_await awaitChain())
      continue;
    if (m_CallerGone) {
      releaseReserved();
      logOutcome("caller_gone", 0);
      m_Exchange.abort();
      co_return;
    }
    ForwardAction Next = std::move(*Step);
    NeedsAttempt = co_await applyStep(std::move(Next));
  }
}

// A request whose connection broke before its answer had ended waits until it
// is known whether the engine crashed, unless its prompt parts are known to be
// sound. One with a suspected mark waits while another suspect is being sent,
// whose outcome decides for both. \returns the next step if the request must
// not be sent now.
asio::awaitable<std::optional<ForwardAction>> ForwardCall::awaitSuspectTurn() {
  const Instant GiveUpAt = ForwardState::now() + MaxSuspectTurnWait;
  while (m_State.m_BrokenAt.contains(m_Target.m_Endpoint) &&
         !m_State.m_Suspects.partsCleared(m_Marks) && !m_CallerGone &&
         ForwardState::now() < GiveUpAt)
    co_await sleepFor(m_State.m_Io, BrokenCheckInterval);
  while (true) {
    const Instant Now = ForwardState::now();
    const decide::MarkVerdict Verdict = m_State.m_Suspects.judge(m_Marks, Now);
    if (Verdict == decide::MarkVerdict::Sound)
      co_return std::nullopt;
    if (Verdict == decide::MarkVerdict::Deadly)
      co_return m_Run->onBlocked(
          m_State.m_Suspects.blockedMark(m_Marks)->m_Kind,
          decide::CrashSuspects::quietTime());
    m_SuspectTurn = m_State.m_Suspects.takeTurn(m_Marks, Now);
    if (m_SuspectTurn)
      co_return std::nullopt;
    if (m_CallerGone || Now >= GiveUpAt)
      co_return m_Run->onNoEndpoint(schema::PROMPT_SUSPECTED, retryAfter(),
                                    Now);
    co_await sleepFor(m_State.m_Io, SuspectTurnCheckInterval);
  }
}

// The answer went on after its first event. Another suspect may be sent if
// nothing else is suspected.
void ForwardCall::onAnswerBegun() {
  if (std::exchange(m_AnswerBegun, true))
    return;
  const Instant Now = ForwardState::now();
  m_State.onMarksChanged(m_State.m_Suspects.onAnswerBegun(m_Marks, Now),
                         m_Target.m_Endpoint.str());
  if (m_State.m_Suspects.judge(m_Marks, Now) == decide::MarkVerdict::Sound)
    m_SuspectTurn.reset();
}

// The answer has ended, or gone on for long: an endpoint that the request
// crashes gets no further than the first events.
void ForwardCall::onAnswered() {
  if (std::exchange(m_Answered, true))
    return;
  m_State.onMarksChanged(
      m_State.m_Suspects.onAnswered(m_Marks, ForwardState::now()),
      m_Target.m_Endpoint.str());
  m_SuspectTurn.reset();
}

void ForwardCall::onAnswerGoesOn() {
  onAnswerBegun();
  const Duration Since = m_LastProgressAt - m_FirstEventHereAt;
  if (Since >= SuspectAnswerTime)
    m_SuspectTurn.reset();
  if (Since >= decide::CrashSuspects::lastingTime())
    onAnswered();
}

// The marks by which this request, or one like it, is recognized when it
// arrives again.
decide::RequestMarks ForwardCall::makeMarks() const {
  decide::RequestMarks Marks;
  for (const PromptPartId &Part : m_RequestHeaders.m_SharedParts)
    Marks.push_back({decide::MarkKind::PromptPart, Part.str()});
  const net::HttpRequest &Request = m_Exchange.request();
  const std::string Host = decide::normalizeHost(m_RequestHeaders.m_Host);
  std::string Identity;
  for (const std::string *Text :
       {&Request.m_Method, &Host, &Request.m_Target,
        &m_RequestHeaders.m_WorkspaceKey, &Request.m_Body})
    Identity += std::to_string(Text->size()) + ":" + *Text;
  Marks.push_back({decide::MarkKind::Request,
                   store::sha256Hex(Identity).substr(0, MarkDigits)});
  return Marks;
}

// \returns whether another attempt follows.
asio::awaitable<bool> ForwardCall::applyStep(ForwardAction Step) {
  if (const auto *Resend = std::get_if<decide::RetryForward>(&Step)) {
    m_State.m_Metrics.countRetry(Resend->m_Reason);
    router::logEvent(schema::INFO, "send_again",
                     {{"request", m_RequestHeaders.m_Id.str()},
                      {"after", m_Target.m_Endpoint.str()},
                      {"reason", schema::RetryReason_Name(Resend->m_Reason)},
                      {"last_event", m_Splitter.lastId()}});
    co_return true;
  }
  releaseReserved();
  if (auto *Refuse = std::get_if<decide::RefuseForward>(&Step)) {
    decide::Refusal Refusal = Refuse->m_Refusal;
    co_await refuse(std::move(Refusal));
  } else if (std::holds_alternative<decide::PassOnFailure>(Step)) {
    net::HttpResponse Answer = std::move(*m_FailureAnswer);
    logOutcome("endpoint_failure", Answer.m_Status);
    co_await m_Exchange.respond(std::move(Answer));
  } else {
    const auto *CutOff = std::get_if<decide::CutOff>(&Step);
    m_State.m_Metrics.countRefusal(CutOff ? CutOff->m_Reason
                                          : schema::NO_ENDPOINT);
    logOutcome("cut_off", 0,
               CutOff ? router::reasonName(CutOff->m_Reason)
                      : "no endpoint in time");
    m_Exchange.abort();
  }
  co_return false;
}

// Waits for a chain that can resume the stream and reserves memory and a slot
// on it. \returns false if the caller left or the time ran out first.
asio::awaitable<bool> ForwardCall::awaitChain() {
  const Instant WaitStart = ForwardState::now();
  m_Run->onAwaitEndpoint();
  bool HandOver = false;
  while (!m_ReservedTarget && !HandOver && !callerLeft() && !leavesToSender() &&
         m_Run->mayReroute(ForwardState::now())) {
    co_await sleepFor(m_State.m_Io, ChainCheckInterval);
    if (!m_State.m_Reach.cutOff())
      reserveChain({}, ForwardState::now(), [this] { return chargeSend(); });
    else
      HandOver = choosePeer().has_value() && chargeSend();
  }
  m_State.m_Metrics.countEvent(
      m_ReservedTarget || HandOver ? "place_found" : "place_not_found");
  router::logEvent(
      schema::INFO, "place_awaited",
      {{"request", m_RequestHeaders.m_Id.str()},
       {"outcome", m_ReservedTarget ? "found"
                   : HandOver       ? "another router"
                   : m_CallerGone   ? "caller left"
                                    : "time over"},
       {"last_event", m_Splitter.lastId()},
       {"ms", router::formatMillis(ForwardState::now() - WaitStart)}});
  co_return m_ReservedTarget.has_value() || HandOver;
}

asio::awaitable<void> ForwardCall::refuse(decide::Refusal Refusal) {
  m_State.m_Metrics.countRefusal(Refusal.reason());
  net::HttpResponse Response = router::refusalResponse(Refusal);
  // Only a request that is proved not to have run may be answered as such.
  if (Refusal.runState() != schema::NOT_RUN)
    Response.m_Status = Refusal.reason() == schema::DEADLINE_PASSED ? 504 : 502;
  if (!m_RequestHeaders.m_Id.empty())
    Response.m_Headers.push_back(
        {platform::RequestIdHeader, m_RequestHeaders.m_Id.str()});
  auto Cause = handBackCause(Refusal);
  if (m_ConfigIsTooOld)
    Cause = decide::HandBackCause::Configuration;
  if (m_Sender == Sender::Router && Cause) {
    m_State.m_Metrics.countEvent("handed_back");
    markHandedBack(Response, m_Run ? m_Run->attempts() : 0, *Cause);
  }
  logOutcome(router::reasonName(Refusal.reason()), Response.m_Status);
  co_await m_Exchange.respond(std::move(Response));
}

void ForwardCall::abortAttempt(AbortReason Reason) {
  if (m_AbortReason != AbortReason::None || !m_AttemptActive)
    return;
  m_AbortReason = Reason;
  if (m_Cancel)
    m_Cancel();
}

void ForwardCall::logUnfinished() const {
  const Instant Now = ForwardState::now();
  router::logEvent(
      schema::WARN, "request_left",
      {{"request", m_RequestHeaders.m_Id.str()},
       {"ms", router::formatMillis(Now - m_ArrivedAt)},
       {"events", std::to_string(m_EventCount)},
       {"since_event_ms",
        m_FirstEventAt ? router::formatMillis(Now - m_LastEventAt) : "none"}});
}

void ForwardCall::logOutcome(const std::string &Outcome, unsigned Status,
                             const std::string &Reason) {
  std::vector<router::LogField> Fields{
      {"request", m_RequestHeaders.m_Id.str()},
      {"outcome", Outcome},
      {"status", std::to_string(Status)},
      {"ms", router::formatMillis(ForwardState::now() - m_ArrivedAt)}};
  if (!Reason.empty())
    Fields.push_back({"reason", Reason});
  if (m_Route) {
    Fields.push_back({"route", m_Route->m_Name});
    Fields.push_back({"service", m_Service.str()});
    Fields.push_back({"version", std::to_string(m_Routes->config().m_Version)});
  }
  if (m_Run) {
    Fields.push_back({"sends", std::to_string(m_Run->attempts())});
    Fields.push_back({"run_state", schema::RunState_Name(m_Run->runState())});
    Fields.push_back({"endpoint", m_Target.m_Endpoint.str()});
  }
  if (m_FirstEventAt) {
    Fields.push_back({"first_event_ms",
                      router::formatMillis(*m_FirstEventAt - m_ArrivedAt)});
    Fields.push_back({"events", std::to_string(m_EventCount)});
    Fields.push_back(
        {"longest_pause_ms", router::formatMillis(m_LongestInterval)});
  }
  router::logEvent(schema::INFO, "request_ended", Fields);
}

} // namespace mimosadale::forward
