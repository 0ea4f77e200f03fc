#include "decide/forward_run.h"

namespace mimosadale::decide {

namespace {

// Attempts of one request, including refused ones.
constexpr unsigned MaxAttempts = 4;

// The same once part of the answer was delivered: the streams of a leaving
// engine move to chains that refuse for one or two seconds, at a few attempts
// per second.
constexpr unsigned MaxAttemptsAfterHead = 12;

// A new attempt could not complete in less time.
constexpr Duration MinTimeLeft = std::chrono::milliseconds(20);

// Retry-After of a request that found no endpoint.
constexpr Duration RefusalRetryAfter = std::chrono::milliseconds(500);

schema::RetryReason retryReason(AttemptFault Fault) {
  switch (Fault) {
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
  m_SentTo.insert(Endpoint);
  m_Current = Endpoint;
  m_AttemptOpen = true;
  m_SendIsCharged = false;
  ++m_Attempts;
}

ForwardAction ForwardRun::onFault(AttemptFault Fault, const EndpointSet &Lost,
                                  Instant Now, const SpendRetry &Budget) {
  if (std::exchange(m_AttemptOpen, false)) {
    if (Fault == AttemptFault::NotSent) {
      m_RunTracker.dispatchNeverSent();
      m_SendIsCharged = true; // its charge was not used
    }
    if (Fault == AttemptFault::ReportedNotRun)
      m_RunTracker.endpointReportedNotRun(true);
    // An endpoint that did not run the request does not count against the limit
    // of distinct endpoints once part of the answer was delivered: otherwise
    // the answer would be cut off.
    if (Fault == AttemptFault::NotSent ||
        (Fault == AttemptFault::ReportedNotRun && m_HeadDelivered))
      m_Tried.erase(m_Current);
  }
  m_Avoided.insert(Lost.begin(), Lost.end());
  const bool MayRetry = (repeatable() || m_RunTracker.notRunProof()) &&
                        (Fault != AttemptFault::Failed || !m_HeadDelivered);
  const bool Retry = MayRetry && hasTimeLeft(Now) && hasAttemptsLeft();
  // An attempt that was never sent did not reach the service: what it was
  // charged with covers the next one.
  if (Retry && chargeSend(Budget))
    return RetryForward{retryReason(Fault)};
  if (Retry && m_HeadDelivered)
    return AwaitEndpoint{};
  return finalAction(Fault);
}

bool ForwardRun::chargeSend(const SpendRetry &Budget) {
  m_SendIsCharged = m_SendIsCharged || Budget();
  return m_SendIsCharged;
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

ForwardAction ForwardRun::finalAction(AttemptFault Fault) const {
  if (m_HeadDelivered)
    return CutOff{schema::ENDPOINT_FAILED};
  if (Fault == AttemptFault::Failed)
    return PassOnFailure{};
  return RefuseForward{
      Refusal::forRun(m_RunTracker,
                      m_RunTracker.notRunProof() ? schema::NO_ENDPOINT
                                                 : schema::ENDPOINT_FAILED,
                      "no endpoint gave a whole answer", RefusalRetryAfter)};
}

ForwardAction ForwardRun::onNoEndpoint(schema::Reason Reason,
                                       Duration RetryAfter, Instant Now) {
  if (m_HeadDelivered && mayReroute(Now))
    return AwaitEndpoint{};
  if (m_HeadDelivered)
    return CutOff{Reason};
  return RefuseForward{Refusal::forRun(
      m_RunTracker, Reason, "no endpoint can take it now", RetryAfter)};
}

ForwardAction ForwardRun::onBlocked(MarkKind Blocked,
                                    Duration RetryAfter) const {
  const bool IsRequest = Blocked == MarkKind::Request;
  const schema::Reason Reason =
      IsRequest ? schema::REQUEST_BLOCKED : schema::PROMPT_BLOCKED;
  if (m_HeadDelivered)
    return CutOff{Reason};
  return RefuseForward{Refusal::forRun(
      m_RunTracker, Reason,
      IsRequest ? "it crashes the endpoints that run it"
                : "a part of the prompt crashes the engines that answer it",
      RetryAfter)};
}

ForwardAction ForwardRun::onTimeout() const {
  if (m_HeadDelivered)
    return CutOff{schema::DEADLINE_PASSED};
  return RefuseForward{Refusal::forRun(m_RunTracker, schema::DEADLINE_PASSED,
                                       "the route's time-out has passed")};
}

} // namespace mimosadale::decide
