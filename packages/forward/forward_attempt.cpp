// One attempt at an endpoint, from the connection to the end of the answer.
#include "decide/answer_rule.h"
#include "forward/forward_call.h"
#include "router/log.h"

namespace mimosadale::forward {

namespace asio = boost::asio;
using decide::AttemptFault;
using decide::ForwardAction;

namespace {

// Connections that were idle for longer are not reused. The limit is lower for
// calls that must not be repeated.
constexpr Duration MaxIdleTime = std::chrono::seconds(8);
constexpr Duration MaxIdleTimeAtMostOnce = std::chrono::milliseconds(300);

// Limit of one event of a stream.
constexpr std::size_t MaxEventBytes = 1u << 20;

} // namespace

asio::awaitable<std::optional<ForwardAction>> ForwardCall::attempt(Target To) {
  m_Target = To;
  m_AbortReason = AbortReason::None;
  m_EventSeen = false;
  m_AnswerBegun = false;
  m_Answered = false;
  m_AnswerDropped = false;
  m_PeerAnswered = false;
  m_RepairInProgress = false;
  m_RepairCount = 0;
  m_UnfitEngines.clear();
  m_Splitter.discardPartial();
  m_AttemptStartedAt = m_LastProgressAt = ForwardState::now();
  m_AttemptActive = true;
  if (!m_Target.m_Router.empty())
    m_PeersTried.insert(m_Target.m_Router);
  if (!std::exchange(m_Charged, false))
    charge(m_Target, 1);
  std::optional<ForwardAction> Step;
  try {
    Step = co_await runExchange(std::move(To));
  } catch (const net::NetError &Ex) {
    Step = stepAfterError(Ex);
  }
  m_AttemptActive = false;
  m_Connecting = false;
  m_Cancel = nullptr;
  charge(m_Target, -1);
  co_return Step;
}

// Returns the next step after the attempt has ended with an error.
ForwardAction ForwardCall::stepAfterError(const net::NetError &Err) {
  const bool Connecting = Err.phase() == net::Phase::Connect;
  if (m_CallerGone)
    return decide::CutOff{schema::CALLER_GONE};
  if (Connecting && m_AbortReason != AbortReason::None &&
      m_AbortReason != AbortReason::EngineLost) {
    m_Run->onFault(AttemptFault::NotSent, {}, ForwardState::now(),
                   [] { return false; });
    return stepAfterAbort();
  }
  if (!Connecting && m_AbortReason != AbortReason::None)
    return stepAfterAbort();
  const AttemptFault Fault =
      Connecting ? AttemptFault::NotSent : AttemptFault::Broken;
  if (!m_Target.m_Router.empty()) {
    // It breaks off an answer if its endpoint does.
    if (m_PeerAnswered)
      m_State.m_PeerChooser.onInterrupted(m_Target.m_Router,
                                          ForwardState::now());
    else
      m_State.m_PeerChooser.onFailed(m_Target.m_Router, ForwardState::now());
    if (!Connecting) // it may have been sent to an endpoint there
      m_Run->onCountedElsewhere();
    return Connecting ? onFault(Fault) : onFault(Fault, {m_Target.m_Endpoint});
  }
  if (Connecting)
    onConnectFailed(Err);
  else if (dynamic_cast<const net::OversizeError *>(&Err))
    m_State.onOversizeAnswer(m_Target.m_Endpoint, Err.what());
  else if (dynamic_cast<const net::InvalidResponseError *>(&Err))
    m_State.onInvalidAnswer(m_Target.m_Endpoint,
                            ForwardState::CallPurpose::Request, Err.what());
  else if (Err.phase() == net::Phase::Read && !m_Answered && !m_AnswerDropped)
    m_State.onBroken(m_Target.m_Endpoint,
                     {m_Marks, m_AttemptStartedAt, m_AnswerBegun});
  return onFault(Fault, {m_Target.m_Endpoint});
}

// The endpoint could not be connected to, or not in time.
void ForwardCall::onConnectFailed(const net::NetError &Err) {
  if (m_AbortReason == AbortReason::None && !Err.timedOut())
    m_State.onNoResponse(m_Target.m_Endpoint);
  m_State.onUnreached(m_Target.m_Endpoint, Err.phase());
  // Its report, over an open connection, may show that it is alive.
  m_State.m_RefusingEngines.insert(m_Target.m_Endpoint);
  m_State.suspect(m_Target.m_Endpoint, std::string("connect: ") + Err.what());
}

// Returns the next step after this router aborted the attempt.
ForwardAction ForwardCall::stepAfterAbort() {
  if (m_AbortReason == AbortReason::EngineLost && leavesToSender())
    return decide::CutOff{schema::NO_ENDPOINT};
  if (m_AbortReason == AbortReason::EngineLost) {
    const Instant Now = ForwardState::now();
    decide::EndpointSet Lost;
    for (const decide::StagePlan &Stage : m_Target.m_Path) {
      const auto *Engine = m_State.m_Fleet.find(Stage.m_Endpoint);
      if (!Engine || !Engine->usable() || Engine->reportOverdue(Now))
        Lost.insert(Stage.m_Endpoint);
    }
    if (Lost.empty())
      Lost.insert(m_Target.m_Endpoint);
    return onFault(AttemptFault::Stalled, Lost);
  }
  return m_Run->onTimeout();
}

ForwardAction ForwardCall::onFault(AttemptFault Fault,
                                   const decide::EndpointSet &Lost) {
  return m_Run->onFault(Fault, Lost, ForwardState::now(),
                        [this] { return takeRetry(); });
}

// Takes the retry that is reserved for this request, or one from the budget.
bool ForwardCall::takeRetry() {
  return std::exchange(m_RetryReserved, false) ||
         m_State.retryBudgetOf(m_Service).tryConsume(ForwardState::now(),
                                                     m_State.m_RouterCount);
}

// Makes sure that the next send is charged to a retry budget, if it is a
// repeat.
bool ForwardCall::chargeSend() {
  return m_Run->chargeSend([this] { return takeRetry(); });
}

// Handles a refusal by an engine on the path, or an engine that the previous
// stage could not reach.
ForwardAction ForwardCall::onFaultAt(const std::string &Address,
                                     unsigned Status) {
  decide::EndpointSet Lost;
  const auto *Engine = m_State.m_Fleet.findByAddress(Address);
  logRefusal(Engine, Address, Status);
  if (Engine) {
    const EndpointId Id = Engine->m_Record.m_Id;
    Lost.insert(Id);
    // A refusal after a stall means that the engine is lost. An immediate one
    // may mean that it is full or changes its layers, which its report will
    // show.
    if (decide::indicatesLostEngine(Status,
                                    ForwardState::now() - m_AttemptStartedAt))
      m_State.suspect(Id, "refused after a stall");
    else
      m_State.m_RefusingEngines.insert(Id);
    onRefusal(*Engine, Status);
  } else {
    // No engine is named: the first engine's own queue is full. This request
    // moves to another chain; other requests may still fit.
    Lost.insert(m_Target.m_Endpoint);
    if (!m_Target.m_Path.empty())
      m_State.m_Fleet.onFull(m_Target.m_Endpoint,
                             ForwardState::now() + decide::fullEngineBackoff());
  }
  return onFault(AttemptFault::ReportedNotRun, Lost);
}

// Excludes an engine that refused its stage from paths: briefly if it is full,
// with exponential backoff if it refuses the stage itself; see
// `Fleet::onStageRefused`.
void ForwardCall::onRefusal(const decide::FleetEndpoint &Engine,
                            unsigned Status) {
  const Instant Now = ForwardState::now();
  const EndpointId Id = Engine.m_Record.m_Id;
  const decide::ChainRouter *Chains = m_State.chainsOf(m_Service);
  const bool RefusesStage =
      Chains && Chains->refusesItsStage(m_State.m_Fleet, Engine, Status, Now);
  if (!RefusesStage)
    m_State.m_Fleet.onFull(Id, Now + decide::fullEngineBackoff());
  else if (m_State.m_Fleet.onStageRefused(Id, Now))
    logRefusingEngine(Engine);
}

// Logs a refusal with what this router knew of the engine.
void ForwardCall::logRefusal(const decide::FleetEndpoint *Engine,
                             const std::string &Address,
                             unsigned Status) const {
  const decide::ChainRouter *Chains = m_State.chainsOf(m_Service);
  const Instant Now = ForwardState::now();
  router::logEvent(
      schema::INFO, "endpoint_refused",
      {{"request", m_RequestHeaders.m_Id.str()},
       {"first", m_Target.m_Endpoint.str()},
       {"refused_by", Engine ? Engine->m_Record.m_Id.str() : Address},
       {"status", std::to_string(Status)},
       {"after_ms", router::formatMillis(Now - m_AttemptStartedAt)},
       {"taken", Engine && Chains
                     ? router::formatPercent(Chains->memoryUtilization(*Engine))
                     : "unknown"},
       {"report_age_ms",
        Engine && Engine->m_Load
            ? router::formatMillis(Now - Engine->m_LoadUpdatedAt)
            : "none"}});
}

void ForwardCall::logRefusingEngine(const decide::FleetEndpoint &Engine) const {
  m_State.m_Metrics.countEvent("endpoint_refusing");
  router::logEvent(schema::INFO, "endpoint_refusing",
                   {{"endpoint", Engine.m_Record.m_Id.str()},
                    {"times", std::to_string(Engine.m_ConsecutiveRefusals)},
                    {"for_ms", router::formatMillis(Engine.m_RefusingUntil -
                                                    ForwardState::now())}});
}

net::HttpRequest ForwardCall::encode(const Target &To) const {
  if (!To.m_Router.empty()) {
    net::HttpRequest HandedOver = platform::encodeHandOver(
        m_Exchange.request(), m_Run->end() - ForwardState::now(),
        m_Splitter.lastId());
    HandOverMark Mark;
    Mark.m_EndpointsLeft = m_EndpointsLeft;
    Mark.m_IsCounted = m_Run->isCounted();
    Mark.m_ConfigVersion = m_Routes->config().m_Version;
    Mark.m_Service = m_Service;
    markHandedOver(HandedOver, Mark);
    return HandedOver;
  }
  platform::ForwardHeaders Headers;
  Headers.m_TimeLeft = m_Run->end() - ForwardState::now();
  Headers.m_Endpoint = To.m_Endpoint;
  if (m_Workspace)
    Headers.m_Workspace = m_Workspace->m_Name.str();
  if (!To.m_Path.empty())
    Headers.m_Path = platform::encodePath(m_State.m_Fleet, To.m_Path);
  Headers.m_LastEventId = m_Splitter.lastId();
  net::HttpRequest Request =
      platform::encodeForwardRequest(m_Exchange.request(), Headers);
  if (m_Sender == Sender::Router)
    dropHandedOver(Request);
  return Request;
}

asio::awaitable<std::optional<ForwardAction>>
ForwardCall::runExchange(Target To) {
  Duration MaxIdle = m_Route->m_Kind == decide::CallKind::AtMostOnce
                         ? MaxIdleTimeAtMostOnce
                         : MaxIdleTime;
  // A connection in reuse may still carry an earlier answer: one to this
  // request, or one to a report poll. Polls reach all endpoints at about the
  // same time, so a request that met one such answer would meet the next.
  if (m_Run->sentBefore(To.m_Endpoint) ||
      m_Run->runState() == schema::MAY_HAVE_RUN)
    MaxIdle = Duration{};
  m_Connecting = true;
  std::function<void(std::function<void()>)> SetCancel =
      [this](std::function<void()> Cancel) { m_Cancel = std::move(Cancel); };
  const std::unique_ptr<net::UpstreamExchange> Upstream =
      co_await m_State.m_Pool->open(To.m_Address, MaxIdle,
                                    std::move(SetCancel));
  m_Connecting = false;
  m_Cancel = [this, Exchange = Upstream.get()] {
    recordAbandoned(Exchange->cancel());
  };
  // Each send passes here, whatever led to it.
  if (callerLeft())
    abortAttempt(AbortReason::CallerGone);
  if (m_AbortReason != AbortReason::None)
    throw net::NetError(net::Phase::Connect, true,
                        "attempt aborted while connecting");
  if (!chargeSend())
    co_return m_Run->onNoEndpoint(schema::NO_ENDPOINT, retryAfter(),
                                  ForwardState::now());
  m_EndpointsLeft = m_Run->endpointsLeft();
  recordSend();
  if (!To.m_Router.empty())
    m_State.m_Metrics.countEvent("handed_over");
  else
    countFirstAttempt();
  m_Run->beforeAttempt(To.m_Endpoint);
  net::HttpRequest Request = encode(To);
  co_await Upstream->send(std::move(Request));
  std::function<bool(const net::HttpResponse &)> IsOwnAnswer =
      [this, Reused = Upstream->connectionReused()](
          const net::HttpResponse &Response) {
        return isOwnAnswer(Response, Reused);
      };
  net::HttpResponse Head = co_await Upstream->readHead(std::move(IsOwnAnswer));
  m_LastProgressAt = ForwardState::now();
  net::UpstreamExchange &Source = *Upstream;
  m_PeerAnswered = !To.m_Router.empty();
  if (!m_PeerAnswered)
    m_State.onConnectionAnswered(To.m_Endpoint, Upstream->connectionReused());
  platform::ResponseHeaders Announced = platform::decodeResponseHeaders(Head);
  if (!decide::isGenuine(answerProperties(Head, Announced)))
    throw net::InvalidResponseError("not an endpoint's own");
  if (m_PeerAnswered)
    co_return co_await relayFromPeer(Source, std::move(Head),
                                     std::move(Announced));
  co_return co_await relay(Source, std::move(Head), std::move(Announced));
}

// Whether the caller has closed its connection, also if the event loop has not
// reported it yet.
bool ForwardCall::callerLeft() {
  m_CallerGone = m_CallerGone || m_Exchange.callerLeft() ||
                 outlastsCaller(ForwardState::now());
  return m_CallerGone;
}

// Whether the caller of a stream that another router handed over must have left
// after this gap. The other router's close tells so, but does not arrive if
// that router stands still or the link to it is cut.
bool ForwardCall::outlastsCaller(Instant Now) const {
  if (m_Sender == Sender::Caller || !m_Route ||
      m_Route->m_Kind != decide::CallKind::Stream)
    return false;
  const Instant LastSign = m_FirstEventAt ? m_LastEventAt : m_ArrivedAt;
  return Now - LastSign >
         decide::callerGapLimit(m_Route->m_TargetLatency,
                                m_Route->m_TargetEventInterval);
}

// Counts the send about to happen, and logs what must not occur: a repeat that
// no budget is charged for, and a send for a caller that has left.
void ForwardCall::recordSend() const {
  const bool IsRepeat = m_Run->attempts() > 0;
  m_State.m_Metrics.countEvent(IsRepeat ? "send_repeat" : "send_first");
  const auto Log = [&](const char *Event) {
    m_State.m_Metrics.countEvent(Event);
    router::logEvent(schema::WARN, Event,
                     {{"request", m_RequestHeaders.m_Id.str()},
                      {"endpoint", m_Target.m_Endpoint.str()},
                      {"sends", std::to_string(m_Run->attempts())}});
  };
  if (!m_Run->sendIsCharged())
    Log("send_uncharged");
  if (m_CallerGone)
    Log("send_after_departure");
}

// Counts and logs an abandoned send of which the endpoint's host has not
// acknowledged all: the endpoint is silent or out of reach.
void ForwardCall::recordAbandoned(std::size_t UnacknowledgedBytes) const {
  if (UnacknowledgedBytes == 0)
    return;
  m_State.m_Metrics.countEvent("send_unacknowledged");
  router::logEvent(schema::INFO, "send_unacknowledged",
                   {{"request", m_RequestHeaders.m_Id.str()},
                    {"endpoint", m_Target.m_Endpoint.str()},
                    {"bytes", std::to_string(UnacknowledgedBytes)}});
}

// Relays the answer of another router as it is, its refusals too, unless it
// hands the request back.
asio::awaitable<std::optional<ForwardAction>>
ForwardCall::relayFromPeer(net::UpstreamExchange &Upstream,
                           net::HttpResponse Head,
                           platform::ResponseHeaders Announced) {
  const std::optional<unsigned> SendsThere = parseHandedBack(Head);
  if (SendsThere != 0u)
    m_Run->onCountedElsewhere();
  net::HttpResponse Answer = platform::encodeResponseHead(Head);
  if (!SendsThere)
    m_State.m_PeerChooser.onServed(m_Target.m_Router, m_Service,
                                   ForwardState::now());
  if (Announced.m_IsEventStream && Head.m_Status == 200) {
    if (!m_Run->headDelivered()) {
      m_Run->onHeadDelivered();
      co_await writeToCaller(m_Exchange.startStream(std::move(Answer)));
    }
    co_return co_await relayEvents(Upstream);
  }
  co_await readBody(Upstream, Answer.m_Body);
  if (SendsThere) {
    m_State.m_PeerChooser.onHandedBack(m_Target.m_Router, m_Service,
                                       parseHandBackCause(Head),
                                       ForwardState::now());
    // What endpoints have refused there counts as sent.
    co_return onFault(*SendsThere == 0 ? AttemptFault::NotSent
                                       : AttemptFault::ReportedNotRun);
  }
  if (m_Run->headDelivered())
    co_return onFault(Head.m_Status == 503 ? AttemptFault::ReportedNotRun
                                           : AttemptFault::Broken);
  logOutcome("handed_over", Head.m_Status);
  m_AttemptActive = false;
  co_await writeToCaller(m_Exchange.respond(std::move(Answer)));
  co_return std::nullopt;
}

bool ForwardCall::isOwnAnswer(const net::HttpResponse &Head, bool Reused) {
  const auto Owner =
      decide::answerOwner(platform::decodeResponseHeaders(Head).m_RequestId,
                          m_RequestHeaders.m_Id.str(), Reused);
  if (Owner == decide::AnswerOwner::Ours)
    return true;
  m_State.m_Metrics.countEvent("foreign_answer");
  router::logEvent(schema::WARN, "foreign_answer",
                   {{"request", m_RequestHeaders.m_Id.str()},
                    {"endpoint", m_Target.m_Endpoint.str()},
                    {"status", std::to_string(Head.m_Status)}});
  m_AnswerDropped = Owner == decide::AnswerOwner::Unknown;
  if (m_AnswerDropped)
    throw net::NetError(net::Phase::Read, false,
                        "response without a request id on a reused connection");
  return false;
}

decide::AnswerProperties ForwardCall::answerProperties(
    const net::HttpResponse &Head,
    const platform::ResponseHeaders &Announced) const {
  decide::AnswerProperties Properties;
  Properties.m_Status = Head.m_Status;
  Properties.m_Events = Announced.m_IsEventStream;
  Properties.m_ReportedNotRun = Announced.m_NotExecuted;
  Properties.m_NamesEndpoint = Announced.m_NamesEndpoint;
  Properties.m_IsEncoded = Announced.m_IsEncoded;
  Properties.m_HeadDelivered = m_Run->headDelivered();
  return Properties;
}

asio::awaitable<std::optional<ForwardAction>>
ForwardCall::relay(net::UpstreamExchange &Upstream, net::HttpResponse Head,
                   platform::ResponseHeaders Announced) {
  m_State.onAnswer(m_Target.m_Endpoint, Announced,
                   ForwardState::CallPurpose::Request, m_AttemptStartedAt);
  const auto Verdict = decide::classifyAnswer(answerProperties(Head, Announced),
                                              m_Route->m_Kind);
  const auto *Delivery = std::get_if<decide::Delivery>(&Verdict);
  net::HttpResponse Answer = platform::encodeResponseHead(Head);
  dropHandedBack(Answer);
  if (Delivery && *Delivery == decide::Delivery::Events) {
    if (!m_Run->headDelivered()) {
      m_Run->onHeadDelivered();
      co_await writeToCaller(m_Exchange.startStream(std::move(Answer)));
    }
    co_return co_await relayEvents(Upstream);
  }
  co_await readBody(Upstream, Answer.m_Body);
  if (Delivery) {
    onAnswered();
    logOutcome("answered", Head.m_Status);
    m_AttemptActive = false;
    co_await writeToCaller(m_Exchange.respond(std::move(Answer)));
    co_return std::nullopt;
  }
  const AttemptFault Fault = std::get<AttemptFault>(Verdict);
  if (Fault == AttemptFault::ReportedNotRun)
    co_return onFaultAt(Announced.m_FaultAddress, Head.m_Status);
  if (Fault == AttemptFault::Failed)
    m_FailureAnswer = std::move(Answer);
  co_return onFault(Fault, {m_Target.m_Endpoint});
}

// Reads the rest of an answer, which is in memory until it was read as a whole.
asio::awaitable<void> ForwardCall::readBody(net::UpstreamExchange &Upstream,
                                            std::string &Body) {
  std::size_t Counted = 0;
  const std::shared_ptr<decide::AnswerMemory> Memory = m_State.m_AnswerMemory;
  const EndpointId From = m_Target.m_Endpoint;
  const std::shared_ptr<void> Release(
      nullptr,
      [&Counted, Memory, From](void *) { Memory->onReleased(From, Counted); });
  while (co_await Upstream.readSome(Body)) {
    Memory->onRead(From, Body.size() - Counted);
    Counted = Body.size();
    if (!Memory->mayGoOn(From))
      throw net::OversizeError("answers without end");
  }
}

asio::awaitable<std::optional<ForwardAction>>
ForwardCall::relayEvents(net::UpstreamExchange &Upstream) {
  const bool Resumed = m_EventCount > 0;
  while (co_await Upstream.readSome(m_Splitter.buffer())) {
    const std::string LastId = m_Splitter.lastId();
    std::string Complete = m_Splitter.takeComplete();
    if (Resumed && !EventSplitter::continueAfter(Complete, LastId)) {
      m_Splitter.restoreLastId(LastId);
      throw net::NetError(net::Phase::Read, false,
                          "the stream was resumed with other events");
    }
    if (m_Splitter.buffer().size() > MaxEventBytes)
      throw net::OversizeError("event without end");
    if (Complete.empty())
      continue; // bytes without a complete event are no progress
    m_LastProgressAt = ForwardState::now();
    m_State.onEvents(m_Target.m_Endpoint);
    if (m_EventSeen && !m_Target.m_Path.empty())
      m_State.onEventInterval(m_Target.m_Endpoint,
                              m_LastProgressAt - m_LastEventAt);
    if (m_FirstEventAt)
      m_LongestInterval =
          std::max(m_LongestInterval, m_LastProgressAt - m_LastEventAt);
    m_LastEventAt = m_LastProgressAt;
    if (!m_FirstEventAt) {
      m_FirstEventAt = m_LastProgressAt;
      m_State.m_Metrics.recordDuration(router::Timing::FirstToken,
                                       m_LastProgressAt - m_ArrivedAt);
    }
    if (std::exchange(m_EventSeen, true))
      onAnswerGoesOn();
    else
      m_FirstEventHereAt = m_LastProgressAt;
    ++m_EventCount;
    co_await writeToCaller(m_Exchange.write(std::move(Complete)));
  }
  // The end of a connection may be the end of an answer, or of its engine.
  if (!m_Splitter.takeRemainder().empty())
    throw net::NetError(net::Phase::Read, false,
                        "stream ended inside an event");
  onAnswered();
  co_await writeToCaller(m_Exchange.finish());
  if (m_RequestHeaders.m_Size && m_RequestHeaders.m_LastEventId.empty())
    m_State.m_StreamTimes.onEnded(m_RequestHeaders.m_Size->m_ExpectedAnswer,
                                  ForwardState::now() - m_ArrivedAt);
  logOutcome("answered", 200);
  co_return std::nullopt;
}

// Marks a write error as the caller's, to distinguish it from an endpoint's.
asio::awaitable<void> ForwardCall::writeToCaller(asio::awaitable<void> Write) {
  try {
    co_await std::move(Write);
  } catch (const net::NetError &) {
    m_CallerGone = true;
    throw;
  }
}

} // namespace mimosadale::forward
