#include "decide/forward_run.h"

#include <utility>

namespace mimosadale::decide {

namespace {

// Sends of one request in all, refused ones included.
constexpr unsigned MaxAttempts = 4;

// The same once a part of the answer is out: an engine that leaves takes its
// streams to chains that refuse for a second or two, at a few tries a second.
constexpr unsigned MaxAttemptsAfterHead = 12;

// Time before the end in which a new send could not finish.
constexpr Duration MinTimeLeft = std::chrono::milliseconds(20);

// When a caller may come back after a request that found no endpoint.
constexpr Duration RefusalRetryAfter = std::chrono::milliseconds(500);

schema::RetryReason retryReason(AttemptFault How) {
  switch (How) {
  case AttemptFault::NotSent:
    return schema::SERVICE_NOT_SENT;
  case AttemptFault::ReportedNotRun:
    return schema::STAGE_BUSY;
  case AttemptFault::Failed:
    return schema::SERVICE_REPEATABLE;
  case AttemptFault::Broken:
    return schema::STAGE_UNREACHABLE;
  case AttemptFault::Stalled:
    return schema::STAGE_SILENT;
  }
  return schema::RETRY_UNSPECIFIED;
}

} // namespace

bool ForwardRun::repeatable() const {
  return m_Params.m_Kind == CallKind::Idempotent ||
         (m_Params.m_Kind == CallKind::Stream && m_Params.m_Resumable);
}

void ForwardRun::beforeAttempt(const EndpointId &Endpoint) {
  m_RunTracker.beforeDispatch();
  m_Tried.insert(Endpoint);
  m_Current = Endpoint;
  m_AttemptOpen = true;
  ++m_Attempts;
}

ForwardAction ForwardRun::onFault(AttemptFault How, const EndpointSet &Lost,
                                  Instant Now, const SpendRetry &Budget) {
  if (std::exchange(m_AttemptOpen, false)) {
    if (How == AttemptFault::NotSent)
      m_RunTracker.dispatchNeverSent();
    if (How == AttemptFault::ReportedNotRun)
      m_RunTracker.endpointSaidNotRun(true);
    // An endpoint that did not run it stands in no other's way where a part of
    // the answer is out already and only a broken answer would be left.
    if (How == AttemptFault::NotSent ||
        (How == AttemptFault::ReportedNotRun && m_HeadDelivered))
      m_Tried.erase(m_Current);
  }
  m_Avoided.insert(Lost.begin(), Lost.end());
  const bool May = (repeatable() || m_RunTracker.proof()) &&
                   (How != AttemptFault::Failed || !m_HeadDelivered);
  const bool Again = May && hasTimeLeft(Now) && hasAttemptsLeft();
  // A send that never left is no second arrival at the service.
  if (Again && (How == AttemptFault::NotSent || Budget()))
    return RetryForward{retryReason(How)};
  if (Again && m_HeadDelivered)
    return AwaitEndpoint{};
  return finalAction(How);
}

bool ForwardRun::hasTimeLeft(Instant Now) const {
  return Now + MinTimeLeft < end();
}

bool ForwardRun::hasAttemptsLeft() const {
  return m_Tried.size() < m_Params.m_MaxEndpoints &&
         m_Attempts < (m_HeadDelivered ? MaxAttemptsAfterHead : MaxAttempts);
}

bool ForwardRun::mayReroute(Instant Now) const {
  return repeatable() && hasTimeLeft(Now) && hasAttemptsLeft();
}

ForwardAction ForwardRun::finalAction(AttemptFault How) const {
  if (m_HeadDelivered)
    return CutOff{schema::ENDPOINT_FAILED};
  if (How == AttemptFault::Failed)
    return PassOnFailure{};
  return RefuseForward{Refusal::of(
      m_RunTracker,
      m_RunTracker.proof() ? schema::NO_ENDPOINT : schema::ENDPOINT_FAILED,
      "no endpoint gave a whole answer", RefusalRetryAfter)};
}

ForwardAction ForwardRun::onNoEndpoint(schema::Reason Why, Duration RetryAfter,
                                       Instant Now) {
  if (m_HeadDelivered && mayReroute(Now))
    return AwaitEndpoint{};
  if (m_HeadDelivered)
    return CutOff{Why};
  return RefuseForward{Refusal::of(m_RunTracker, Why,
                                   "no endpoint can take it now", RetryAfter)};
}

ForwardAction ForwardRun::onTimeout() const {
  if (m_HeadDelivered)
    return CutOff{schema::DEADLINE_PASSED};
  return RefuseForward{Refusal::of(m_RunTracker, schema::DEADLINE_PASSED,
                                   "the route's time-out has passed")};
}

} // namespace mimosadale::decide
