#include "forward/forward_call.h"

#include "forward/pause.h"
#include "platform/names.h"
#include "router/log.h"
#include "router/replies.h"

namespace mimosadale::forward {

namespace asio = boost::asio;
using decide::ForwardStep;

namespace {

// When callers may come back after a refusal for want of an endpoint: after a
// hole in a chain is filled, spread so that they do not return all at once.
constexpr Duration ComeBackFirst = std::chrono::milliseconds(1500);
constexpr Duration ComeBackLast = std::chrono::milliseconds(4000);

// The same after a refusal by a router that stops: the next try reaches another
// one, which the balancer chooses.
constexpr Duration ComeBackAtStop = std::chrono::milliseconds(50);

// Pause between two looks for a chain that can go on with a stream: a fraction
// of the shortest pause that counts as late.
constexpr Duration PlacePause = std::chrono::milliseconds(50);

} // namespace

ForwardCall::ForwardCall(ForwardState &Shared, net::HttpExchange &Exchange)
    : m_Shared(Shared), m_Calls(Shared.m_Calls), m_Exchange(Exchange),
      m_Arrived(ForwardState::now()),
      m_Facts(platform::decodeRequestHeaders(Exchange.request())) {
  m_Calls->insert(this);
}

ForwardCall::~ForwardCall() { m_Calls->erase(this); }

// When this caller may come back.
Duration ForwardCall::comeBack() {
  std::uniform_int_distribution<Duration::rep> Spread(ComeBackFirst.count(),
                                                      ComeBackLast.count());
  return Duration(Spread(m_Shared.m_Random));
}

// Finds route, workspace and service. \returns whether the request may go on;
// otherwise the refusal is set.
bool ForwardCall::prepare() {
  const Duration ComeBack = comeBack();
  const auto Refuse = [&](schema::Reason Why, const char *Detail,
                          std::optional<Duration> RetryAfter = std::nullopt) {
    m_Refused = router::refuseUntouched(Why, Detail, RetryAfter);
    return false;
  };
  m_Routes = m_Shared.m_Routes.current();
  if (!m_Shared.ready())
    return Refuse(schema::NOT_READY, "no configuration yet", ComeBack);
  m_Route = m_Routes->find(m_Facts.m_Host, m_Exchange.request().m_Target);
  if (!m_Route)
    return Refuse(schema::NOT_FOUND, "no route for this host and path");
  if (m_Routes->config().m_KeysRequired && !m_Route->m_Public) {
    m_Workspace = m_Routes->workspaceOf(m_Facts.m_WorkspaceKey);
    if (!m_Workspace)
      return Refuse(schema::UNAUTHENTICATED, "the key is not known");
  }
  if (cutByStop())
    return Refuse(schema::DRAINING, "this router stops before it would end",
                  ComeBackAtStop);
  const double Draw =
      std::uniform_real_distribution<double>(0, 1)(m_Shared.m_Random);
  m_Service = m_Routes->chooseService(*m_Route, Draw);
  decide::ForwardStart Start;
  Start.m_Kind = m_Route->m_Kind;
  Start.m_Resumable = m_Route->m_Resumable;
  Start.m_MaxEndpoints = m_Route->m_MaxEndpoints;
  Start.m_Timeout = m_Arrived + m_Route->m_Timeout;
  Start.m_Deadline =
      m_Facts.m_Deadline ? m_Arrived + *m_Facts.m_Deadline : Start.m_Timeout;
  m_Run.emplace(Start);
  return true;
}

// Whether this router stops before the stream would end.
bool ForwardCall::cutByStop() const {
  return m_Shared.m_Stopping && m_Route->m_Kind == decide::CallKind::Stream &&
         decide::endsAfterStop(
             m_Shared.m_Pace.expected(
                 m_Facts.m_Size ? m_Facts.m_Size->m_LikelyAnswer : 0),
             m_Shared.m_StopAt - m_Arrived);
}

asio::awaitable<void> ForwardCall::serve() {
  if (!prepare()) {
    decide::Refusal Why = *m_Refused;
    co_await refuse(std::move(Why));
    co_return;
  }
  m_Exchange.watchCaller([this] {
    m_CallerGone = true;
    end(Ended::CallerGone);
  });
  m_Shared.budgetOf(m_Service).onFirstTry(m_Arrived);
  bool More = true;
  while (More) {
    std::optional<Target> To = chooseTarget();
    std::optional<ForwardStep> Step;
    if (To) {
      Target Chosen = std::move(*To);
      Step = co_await sendTo(std::move(Chosen));
    } else {
      Step = m_Run->onNoEndpoint(schema::NO_ENDPOINT, comeBack(),
                                 ForwardState::now());
    }
    if (!Step)
      co_return; // the answer is out
    if (std::holds_alternative<decide::AwaitPlace>(*Step) &&
        co_await awaitPlace())
      continue;
    if (m_CallerGone) {
      logOutcome("caller_gone", 0);
      m_Exchange.abort();
      co_return;
    }
    ForwardStep Next = std::move(*Step);
    More = co_await carryOut(std::move(Next));
  }
}

// \returns whether the request is sent again.
asio::awaitable<bool> ForwardCall::carryOut(ForwardStep Step) {
  if (const auto *Again = std::get_if<decide::SendAgain>(&Step)) {
    m_Shared.m_Metrics.retried(Again->m_Why);
    router::logEvent(schema::INFO, "send_again",
                     {{"request", m_Facts.m_Id.str()},
                      {"after", m_Target.m_Endpoint.str()},
                      {"reason", schema::RetryReason_Name(Again->m_Why)},
                      {"last_event", m_Events.lastId()}});
    co_return true;
  }
  releaseReserved();
  if (auto *Refuse = std::get_if<decide::RefuseForward>(&Step)) {
    decide::Refusal Why = Refuse->m_Refusal;
    co_await refuse(std::move(Why));
  } else if (std::holds_alternative<decide::PassOnFailure>(Step)) {
    net::HttpResponse Answer = std::move(*m_Failure);
    logOutcome("endpoint_failure", Answer.m_Status);
    co_await m_Exchange.respond(std::move(Answer));
  } else {
    const auto *Cut = std::get_if<decide::CutOff>(&Step);
    m_Shared.m_Metrics.refused(Cut ? Cut->m_Why : schema::NO_ENDPOINT);
    logOutcome("cut_off", 0);
    m_Exchange.abort();
  }
  co_return false;
}

// Waits until a chain can go on with the stream, and takes its room. \returns
// false when the caller left or the time is over first.
asio::awaitable<bool> ForwardCall::awaitPlace() {
  const Instant Begun = ForwardState::now();
  m_Run->onAwaitPlace();
  while (!m_Reserved && !m_CallerGone &&
         m_Run->maySwitch(ForwardState::now())) {
    co_await pauseFor(m_Shared.m_Io, PlacePause);
    reserveWithRetry({}, ForwardState::now());
  }
  m_Shared.m_Metrics.counted(m_Reserved ? "place_found" : "place_not_found");
  router::logEvent(schema::INFO, "place_awaited",
                   {{"request", m_Facts.m_Id.str()},
                    {"outcome", m_Reserved     ? "found"
                                : m_CallerGone ? "caller left"
                                               : "time over"},
                    {"last_event", m_Events.lastId()},
                    {"ms", router::millisText(ForwardState::now() - Begun)}});
  co_return m_Reserved.has_value();
}

asio::awaitable<void> ForwardCall::refuse(decide::Refusal Why) {
  m_Shared.m_Metrics.refused(Why.reason());
  net::HttpResponse Response = router::refusalResponse(Why);
  // Only what is proved not to have run may say so.
  if (Why.runState() != schema::NOT_RUN)
    Response.m_Status = Why.reason() == schema::DEADLINE_PASSED ? 504 : 502;
  if (!m_Facts.m_Id.empty())
    Response.m_Headers.push_back(
        {platform::RequestIdHeader, m_Facts.m_Id.str()});
  logOutcome(router::reasonName(Why.reason()), Response.m_Status);
  co_await m_Exchange.respond(std::move(Response));
}

void ForwardCall::end(Ended Why) {
  if (m_Ended != Ended::No || !m_Waiting)
    return;
  m_Ended = Why;
  if (m_Cancel)
    m_Cancel();
}

void ForwardCall::logLeft() const {
  const Instant Now = ForwardState::now();
  router::logEvent(
      schema::WARN, "request_left",
      {{"request", m_Facts.m_Id.str()},
       {"ms", router::millisText(Now - m_Arrived)},
       {"events", std::to_string(m_EventCount)},
       {"since_event_ms",
        m_FirstEvent ? router::millisText(Now - m_LastEvent) : "none"}});
}

void ForwardCall::logOutcome(const std::string &Outcome, unsigned Status) {
  std::vector<router::LogField> Fields{
      {"request", m_Facts.m_Id.str()},
      {"outcome", Outcome},
      {"status", std::to_string(Status)},
      {"ms", router::millisText(ForwardState::now() - m_Arrived)}};
  if (m_Route) {
    Fields.push_back({"route", m_Route->m_Name});
    Fields.push_back({"service", m_Service.str()});
    Fields.push_back({"version", std::to_string(m_Routes->config().m_Version)});
  }
  if (m_Run) {
    Fields.push_back({"sends", std::to_string(m_Run->sends())});
    Fields.push_back({"run_state", schema::RunState_Name(m_Run->runState())});
    Fields.push_back({"endpoint", m_Target.m_Endpoint.str()});
  }
  if (m_FirstEvent) {
    Fields.push_back(
        {"first_event_ms", router::millisText(*m_FirstEvent - m_Arrived)});
    Fields.push_back({"events", std::to_string(m_EventCount)});
    Fields.push_back({"longest_pause_ms", router::millisText(m_LongestPause)});
  }
  router::logEvent(schema::INFO, "request_ended", Fields);
}

} // namespace mimosadale::forward
