#include "decide/forward_run.h"

#include <utility>

namespace mimosadale::decide {

namespace {

// Sends of one request in all, refused ones included.
constexpr unsigned MostSends = 4;

// The same once a part of the answer is out: an engine that leaves takes its
// streams to chains that refuse for a second or two, at a few tries a second.
constexpr unsigned MostSendsStarted = 12;

// Time before the end in which a new send could not finish.
constexpr Duration LeastTimeLeft = std::chrono::milliseconds(20);

// When a caller may come back after a request that found no endpoint.
constexpr Duration ComeBack = std::chrono::milliseconds(500);

schema::RetryReason retryReason(SendFault How) {
  switch (How) {
  case SendFault::NotSent:
    return schema::SERVICE_NOT_SENT;
  case SendFault::SaidNotRun:
    return schema::STAGE_BUSY;
  case SendFault::Failed:
    return schema::SERVICE_REPEATABLE;
  case SendFault::Broken:
    return schema::STAGE_UNREACHABLE;
  case SendFault::Stalled:
    return schema::STAGE_SILENT;
  }
  return schema::RETRY_UNSPECIFIED;
}

} // namespace

bool ForwardRun::repeatable() const {
  return m_Start.m_Kind == CallKind::Idempotent ||
         (m_Start.m_Kind == CallKind::Stream && m_Start.m_Resumable);
}

void ForwardRun::beforeSend(const EndpointId &Endpoint) {
  m_Run.beforeDispatch();
  m_Tried.insert(Endpoint);
  m_Current = Endpoint;
  m_Begun = true;
  ++m_Sends;
}

ForwardStep ForwardRun::onFault(SendFault How, const EndpointSet &Lost,
                                Instant Now, const TakeRetry &Budget) {
  if (std::exchange(m_Begun, false)) {
    if (How == SendFault::NotSent)
      m_Run.dispatchNeverSent();
    if (How == SendFault::SaidNotRun)
      m_Run.endpointReportedNotRun(true);
    // An endpoint that did not run it stands in no other's way where a part of
    // the answer is out already and only a broken answer would be left.
    if (How == SendFault::NotSent ||
        (How == SendFault::SaidNotRun && m_HeadDelivered))
      m_Tried.erase(m_Current);
  }
  m_Avoided.insert(Lost.begin(), Lost.end());
  const bool May = (repeatable() || m_Run.notRunProof()) &&
                   (How != SendFault::Failed || !m_HeadDelivered);
  const bool Again = May && inTime(Now) && sendsLeft();
  // A send that never left is no second arrival at the service.
  if (Again && (How == SendFault::NotSent || Budget()))
    return SendAgain{retryReason(How)};
  if (Again && m_HeadDelivered)
    return AwaitPlace{};
  return giveUp(How);
}

bool ForwardRun::inTime(Instant Now) const {
  return Now + LeastTimeLeft < end();
}

bool ForwardRun::sendsLeft() const {
  return m_Tried.size() < m_Start.m_MaxEndpoints &&
         m_Sends < (m_HeadDelivered ? MostSendsStarted : MostSends);
}

bool ForwardRun::maySwitch(Instant Now) const {
  return repeatable() && inTime(Now) && sendsLeft();
}

ForwardStep ForwardRun::giveUp(SendFault How) const {
  if (m_HeadDelivered)
    return CutOff{schema::ENDPOINT_FAILED};
  if (How == SendFault::Failed)
    return PassOnFailure{};
  return RefuseForward{Refusal::forRun(
      m_Run,
      m_Run.notRunProof() ? schema::NO_ENDPOINT : schema::ENDPOINT_FAILED,
      "no endpoint gave a whole answer", ComeBack)};
}

ForwardStep ForwardRun::onNoEndpoint(schema::Reason Why, Duration RetryAfter,
                                     Instant Now) {
  if (m_HeadDelivered && maySwitch(Now))
    return AwaitPlace{};
  if (m_HeadDelivered)
    return CutOff{Why};
  return RefuseForward{
      Refusal::forRun(m_Run, Why, "no endpoint can take it now", RetryAfter)};
}

ForwardStep ForwardRun::onTimeout() const {
  if (m_HeadDelivered)
    return CutOff{schema::DEADLINE_PASSED};
  return RefuseForward{Refusal::forRun(m_Run, schema::DEADLINE_PASSED,
                                       "the route's time-out has passed")};
}

} // namespace mimosadale::decide
