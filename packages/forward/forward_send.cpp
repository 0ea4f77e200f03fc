// One send of a request, from the connection to the end of the answer.
#include "decide/answer_rule.h"
#include "forward/forward_call.h"
#include "router/log.h"

namespace mimosadale::forward {

namespace asio = boost::asio;
using decide::ForwardStep;
using decide::SendFault;

namespace {

// Idle time up to which a connection is used again for calls that may be
// repeated, and for those that may not.
constexpr Duration MostIdle = std::chrono::seconds(8);
constexpr Duration MostIdleOnce = std::chrono::milliseconds(300);

// Whole answers longer than this are not taken in one piece.
constexpr std::size_t MostAnswerBytes = 16u << 20;

} // namespace

asio::awaitable<std::optional<ForwardStep>> ForwardCall::sendTo(Target To) {
  m_Target = To;
  m_Ended = Ended::No;
  m_EventSeen = false;
  m_Repairing = false;
  m_Repairs = 0;
  m_Unfit.clear();
  m_Events.dropPartial();
  m_SentAt = m_LastProgress = ForwardState::now();
  m_Waiting = true;
  if (!std::exchange(m_Charged, false))
    charge(m_Target, 1);
  std::optional<ForwardStep> Step;
  std::string Fault;
  try {
    Step = co_await exchange(std::move(To));
  } catch (const net::NetError &Wrong) {
    Fault = Wrong.what();
    if (m_CallerGone) {
      Step = decide::CutOff{schema::CALLER_GONE};
    } else if (Wrong.phase() == net::Phase::Connect) {
      if (m_Ended == Ended::No || m_Ended == Ended::EngineLost) {
        m_Shared.suspect(m_Target.m_Endpoint, "connect: " + Fault);
        Step = fault(SendFault::NotSent, {m_Target.m_Endpoint});
      } else {
        m_Run->onFault(SendFault::NotSent, {}, ForwardState::now(),
                       [] { return false; });
        Step = ended();
      }
    } else if (m_Ended != Ended::No) {
      Step = ended();
    } else {
      Step = fault(SendFault::Broken, {m_Target.m_Endpoint});
    }
  }
  m_Waiting = false;
  m_Connecting = false;
  m_Cancel = nullptr;
  charge(m_Target, -1);
  co_return Step;
}

// What follows from a send that this router ended.
ForwardStep ForwardCall::ended() {
  if (m_Ended == Ended::EngineLost) {
    const Instant Now = ForwardState::now();
    decide::EndpointSet Lost;
    for (const decide::StagePlan &Each : m_Target.m_Path) {
      const auto *Known = m_Shared.m_Fleet.find(Each.m_Endpoint);
      if (!Known || !Known->usable() || Known->unanswered(Now))
        Lost.insert(Each.m_Endpoint);
    }
    if (Lost.empty())
      Lost.insert(m_Target.m_Endpoint);
    return fault(SendFault::Stalled, Lost);
  }
  return m_Run->onTimeout();
}

ForwardStep ForwardCall::fault(SendFault How, const decide::EndpointSet &Lost) {
  return m_Run->onFault(How, Lost, ForwardState::now(), [this] {
    return std::exchange(m_RetryTaken, false) ||
           m_Shared.budgetOf(m_Service).take(ForwardState::now(),
                                             m_Shared.m_Routers);
  });
}

// An engine of the path refused the request, or could not be reached from the
// one before it.
ForwardStep ForwardCall::faultAt(const std::string &Address, unsigned Status) {
  decide::EndpointSet Lost;
  const auto *At = m_Shared.m_Fleet.findByAddress(Address);
  logRefusal(At, Address, Status);
  if (At) {
    const EndpointId Id = At->m_Record.m_Id;
    Lost.insert(Id);
    // A refusal after a stall is that of a lost engine; one at once may mean
    // that it is full or changes its layers, which its report will tell.
    if (decide::meansLost(Status, ForwardState::now() - m_SentAt))
      m_Shared.suspect(Id, "refused after a stall");
    else
      m_Shared.m_Accused.insert(Id);
    onRefusal(*At, Status);
  } else {
    // Its own queue is full: this request goes elsewhere, others may fit.
    Lost.insert(m_Target.m_Endpoint);
    if (!m_Target.m_Path.empty())
      m_Shared.m_Fleet.onFull(m_Target.m_Endpoint,
                              ForwardState::now() + decide::pauseOfFull());
  }
  return fault(SendFault::SaidNotRun, Lost);
}

// Keeps an engine that refused its part out of paths: for a moment if it is
// full, until more is known if it refuses the part itself.
void ForwardCall::onRefusal(const decide::FleetEndpoint &At, unsigned Status) {
  const Instant Now = ForwardState::now();
  const EndpointId Id = At.m_Record.m_Id;
  const decide::ChainRouter *Chains = m_Shared.chainsOf(m_Service);
  const bool Refuses =
      Chains && Chains->refusesItsPart(m_Shared.m_Fleet, At, Status, Now);
  if (!Refuses)
    m_Shared.m_Fleet.onFull(Id, Now + decide::pauseOfFull());
  else if (m_Shared.m_Fleet.onRefusedPart(Id, Now))
    logRefusing(At);
}

// What was believed of the engine that refused, beside its refusal.
void ForwardCall::logRefusal(const decide::FleetEndpoint *At,
                             const std::string &Address,
                             unsigned Status) const {
  const decide::ChainRouter *Chains = m_Shared.chainsOf(m_Service);
  const Instant Now = ForwardState::now();
  router::logEvent(
      schema::INFO, "endpoint_refused",
      {{"request", m_Facts.m_Id.str()},
       {"first", m_Target.m_Endpoint.str()},
       {"refused_by", At ? At->m_Record.m_Id.str() : Address},
       {"status", std::to_string(Status)},
       {"after_ms", router::millisText(Now - m_SentAt)},
       {"taken", At && Chains ? router::percentText(Chains->memoryTaken(*At))
                              : "unknown"},
       {"report_age_ms",
        At && At->m_Load ? router::millisText(Now - At->m_LoadAt) : "none"}});
}

void ForwardCall::logRefusing(const decide::FleetEndpoint &At) const {
  m_Shared.m_Metrics.counted("endpoint_refusing");
  router::logEvent(schema::INFO, "endpoint_refusing",
                   {{"endpoint", At.m_Record.m_Id.str()},
                    {"times", std::to_string(At.m_Refusals)},
                    {"for_ms", router::millisText(At.m_RefusingUntil -
                                                  ForwardState::now())}});
}

net::HttpRequest ForwardCall::encode(const Target &To) const {
  platform::ForwardHeaders Added;
  Added.m_Left = m_Run->end() - ForwardState::now();
  Added.m_Endpoint = To.m_Endpoint;
  if (m_Workspace)
    Added.m_Workspace = m_Workspace->m_Name.str();
  if (!To.m_Path.empty())
    Added.m_Path = platform::encodePath(m_Shared.m_Fleet, To.m_Path);
  Added.m_LastEvent = m_Events.lastId();
  return platform::encodeForward(m_Exchange.request(), Added);
}

asio::awaitable<std::optional<ForwardStep>> ForwardCall::exchange(Target To) {
  const Duration Idle =
      m_Route->m_Kind == decide::CallKind::AtMostOnce ? MostIdleOnce : MostIdle;
  m_Connecting = true;
  std::function<void(std::function<void()>)> Begun =
      [this](std::function<void()> Cancel) { m_Cancel = std::move(Cancel); };
  const std::unique_ptr<net::UpstreamExchange> Open =
      co_await m_Shared.m_Pool->open(To.m_Address, Idle, std::move(Begun));
  m_Connecting = false;
  m_Cancel = [Exchange = Open.get()] { Exchange->cancel(); };
  if (m_Ended != Ended::No)
    throw net::NetError(net::Phase::Connect, true, "ended while connecting");
  m_Run->beforeSend(To.m_Endpoint);
  net::HttpRequest Request = encode(To);
  co_await Open->send(std::move(Request));
  std::function<bool(const net::HttpResponse &)> IsOurs =
      [this, Kept = Open->connectionReused()](const net::HttpResponse &Each) {
        return isOurs(Each, Kept);
      };
  net::HttpResponse Head = co_await Open->readHead(std::move(IsOurs));
  m_LastProgress = ForwardState::now();
  net::UpstreamExchange &From = *Open;
  co_return co_await passOn(From, std::move(Head));
}

bool ForwardCall::isOurs(const net::HttpResponse &Head, bool Kept) const {
  const auto Owner = decide::answerOwner(
      platform::decodeAnswer(Head).m_RequestId, m_Facts.m_Id.str(), Kept);
  if (Owner == decide::AnswerOwner::Ours)
    return true;
  m_Shared.m_Metrics.counted("foreign_answer");
  router::logEvent(schema::WARN, "foreign_answer",
                   {{"request", m_Facts.m_Id.str()},
                    {"endpoint", m_Target.m_Endpoint.str()},
                    {"status", std::to_string(Head.m_Status)}});
  if (Owner == decide::AnswerOwner::Unknown)
    throw net::NetError(net::Phase::Read, false,
                        "an answer without id on a kept connection");
  return false;
}

asio::awaitable<std::optional<ForwardStep>>
ForwardCall::passOn(net::UpstreamExchange &From, net::HttpResponse Head) {
  const platform::AnswerFacts Told = platform::decodeAnswer(Head);
  m_Shared.onAnswer(m_Target.m_Endpoint, Told);
  decide::AnswerFacts Facts;
  Facts.m_Status = Head.m_Status;
  Facts.m_Events = Told.m_Events;
  Facts.m_SaidNotRun = Told.m_SaidNotRun;
  Facts.m_HeadDelivered = m_Run->headDelivered();
  const auto Judged = decide::judge(Facts, m_Route->m_Kind);
  const auto *To = std::get_if<decide::Delivery>(&Judged);
  net::HttpResponse Answer = platform::encodeAnswerHead(Head);
  if (To && *To == decide::Delivery::Events) {
    if (!m_Run->headDelivered()) {
      m_Run->onHeadDelivered();
      co_await toCaller(m_Exchange.startStream(std::move(Answer)));
    }
    co_return co_await passOnEvents(From);
  }
  while (co_await From.readSome(Answer.m_Body))
    if (Answer.m_Body.size() > MostAnswerBytes)
      throw net::NetError(net::Phase::Read, false, "answer too large");
  if (To) {
    logOutcome("answered", Head.m_Status);
    m_Waiting = false;
    co_await toCaller(m_Exchange.respond(std::move(Answer)));
    co_return std::nullopt;
  }
  const SendFault How = std::get<SendFault>(Judged);
  if (How == SendFault::SaidNotRun)
    co_return faultAt(Told.m_FaultAddress, Head.m_Status);
  if (How == SendFault::Failed)
    m_Failure = std::move(Answer);
  co_return fault(How, {m_Target.m_Endpoint});
}

asio::awaitable<std::optional<ForwardStep>>
ForwardCall::passOnEvents(net::UpstreamExchange &From) {
  while (co_await From.readSome(m_Events.buffer())) {
    std::string Whole = m_Events.takeWhole();
    if (Whole.empty())
      continue; // bytes without an event are no progress
    m_LastProgress = ForwardState::now();
    if (m_FirstEvent)
      m_LongestPause = std::max(m_LongestPause, m_LastProgress - m_LastEvent);
    m_LastEvent = m_LastProgress;
    if (!m_FirstEvent) {
      m_FirstEvent = m_LastProgress;
      m_Shared.m_Metrics.timed(router::Timing::FirstToken,
                               m_LastProgress - m_Arrived);
    }
    m_EventSeen = true;
    ++m_EventCount;
    co_await toCaller(m_Exchange.write(std::move(Whole)));
  }
  if (std::string Rest = m_Events.takeRest(); !Rest.empty())
    co_await toCaller(m_Exchange.write(std::move(Rest)));
  co_await toCaller(m_Exchange.finish());
  if (m_Facts.m_Size && m_Facts.m_LastEvent.empty())
    m_Shared.m_Pace.onEnded(m_Facts.m_Size->m_LikelyAnswer,
                            ForwardState::now() - m_Arrived);
  logOutcome("answered", 200);
  co_return std::nullopt;
}

// Tells a failed write to the caller from one to the endpoint.
asio::awaitable<void> ForwardCall::toCaller(asio::awaitable<void> Write) {
  try {
    co_await std::move(Write);
  } catch (const net::NetError &) {
    m_CallerGone = true;
    throw;
  }
}

} // namespace mimosadale::forward
