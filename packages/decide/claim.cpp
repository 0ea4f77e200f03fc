#include "decide/claim.h"

#include <algorithm>
#include <utility>

namespace mimosadale::decide {

namespace {

// Backoff between writes of the same row while they fail.
constexpr Duration InitialBackoff = std::chrono::milliseconds(20);
constexpr Duration MaxBackoff = std::chrono::seconds(1);

// An insert whose answer was lost is repeated while the backoff is below this.
constexpr Duration MaxInsertBackoff = std::chrono::milliseconds(100);

// Endpoints tried while no connection can be established.
constexpr unsigned MaxDispatches = 3;

// Retry-after for a call that is in progress.
constexpr Duration InProgressRetryAfter = std::chrono::milliseconds(500);

// Retry-after when the platform or the endpoints cannot be reached.
constexpr Duration OutageRetryAfter = std::chrono::seconds(1);

ClaimActions concat(ClaimActions First, ClaimActions Second) {
  First.insert(First.end(), std::make_move_iterator(Second.begin()),
               std::make_move_iterator(Second.end()));
  return First;
}

} // namespace

Claim::Claim(ClaimParams Params) : m_Params(std::move(Params)) {}

schema::ClaimRow Claim::row(schema::ClaimState State) const {
  schema::ClaimRow Row;
  Row.set_state(State);
  Row.set_workspace(m_Params.m_Workspace.str());
  Row.set_service(m_Params.m_Service.str());
  Row.set_key(m_Params.m_Key);
  Row.set_body_sha256(m_Params.m_BodyHash);
  Row.set_attempt(m_Params.m_Attempt.str());
  Row.set_holder(m_Params.m_Holder.str());
  Row.set_holder_incarnation(raw(m_Params.m_HolderIncarnation));
  return Row;
}

Duration Claim::nextBackoff() {
  const Duration Current = m_Backoff;
  m_Backoff = std::clamp(2 * m_Backoff, InitialBackoff, MaxBackoff);
  return Current;
}

ClaimActions Claim::start(Instant Now) {
  if (Now >= m_Params.m_Deadline) {
    m_Step = Step::Finished;
    return refuse(schema::DEADLINE_PASSED, "the deadline has passed");
  }
  return insert(0, {});
}

ClaimActions Claim::insert(std::uint64_t ExpectedVersion, Duration Delay) {
  m_Step = Step::Inserting;
  m_ExpectedVersion = ExpectedVersion;
  return {WriteClaim{ExpectedVersion, row(schema::CLAIMED), Delay}};
}

ClaimActions Claim::onWrite(const ClaimWriteResult &Result, Instant Now) {
  switch (m_Step) {
  case Step::Inserting:
    if (Result.m_Kind == ClaimWriteResult::Kind::Committed)
      return onClaimed(Result.m_Version, Now);
    if (Result.m_Kind == ClaimWriteResult::Kind::Conflict)
      return onInsertConflict(Result, Now);
    return onInsertFailed(Result, Now);
  case Step::Recording:
    return onRecordWrite(Result);
  case Step::Releasing:
    return onReleaseWrite(Result);
  default:
    return {};
  }
}

// This attempt holds the claim. The caller of this function reads the clock
// right before the dispatch, so that a holder that was paused too long does not
// dispatch.
ClaimActions Claim::onClaimed(std::uint64_t Version, Instant Now) {
  m_Version = Version;
  m_InsertMayCommit = true;
  if (m_Answered)
    return release({});
  if (Now >= m_Params.m_DispatchDeadline || Now >= m_Params.m_Deadline)
    return concat(refuse(schema::DEADLINE_PASSED,
                         "the claim took longer than a call may wait"),
                  release({}));
  m_Step = Step::Dispatching;
  m_Run.beforeDispatch();
  return {DispatchCall{}};
}

// The insert met an existing row: another attempt's, or this attempt's own from
// an insert whose answer was lost.
ClaimActions Claim::onInsertConflict(const ClaimWriteResult &Result,
                                     Instant Now) {
  const schema::ClaimRow &Row = Result.m_Row;
  if (Result.m_Version != 0 && Row.attempt() == m_Params.m_Attempt.str() &&
      Row.state() == schema::CLAIMED)
    return onClaimed(Result.m_Version, Now);
  m_InsertMayCommit = false;
  if (m_Answered) {
    m_Step = Step::Finished;
    return {};
  }
  if (Result.m_Version == 0)
    return insert(0, {});
  m_Step = Step::Finished;
  const bool IsReusable =
      Row.state() == schema::RELEASED || Row.state() == schema::SETTLED_NOT_RUN;
  if (IsReusable)
    return insert(Result.m_Version, {});
  if (Row.body_sha256() != m_Params.m_BodyHash)
    return refuse(schema::IDEMPOTENCY_KEY_REUSED,
                  "this idempotency key was used with another body");
  switch (Row.state()) {
  case schema::DONE:
    m_Answered = true;
    return {AnswerCall{Row.answer_status(), Row.answer_type(),
                       Row.answer_body(), Row.answer_object(), true}};
  case schema::SETTLED_RAN:
    return refuseForEarlierAttempt(schema::ALREADY_RAN,
                                   "an operator found that this call ran: " +
                                       Row.settled_reason());
  case schema::CLAIMED:
    m_Step = Step::QueryingHolder;
    return {QueryHolder{Row}};
  default:
    return refuseForEarlierAttempt(
        schema::OUTCOME_UNKNOWN,
        "an earlier call with this key has an unknown outcome; do not repeat "
        "it, ask your operators to settle it");
  }
}

// Refuses because of an earlier attempt under the same key. The run state is
// that of the earlier attempt, which ran or may have run; this one did not.
ClaimActions
Claim::refuseForEarlierAttempt(schema::Reason Reason, std::string Detail,
                               std::optional<Duration> RetryAfter) {
  RunTracker EarlierRun;
  EarlierRun.beforeDispatch();
  if (Reason == schema::ALREADY_RAN)
    EarlierRun.markRan();
  if (std::exchange(m_Answered, true))
    return {};
  return {RefuseCall{
      Refusal::forRun(EarlierRun, Reason, std::move(Detail), RetryAfter)}};
}

ClaimActions Claim::onHolderStatus(HolderStatus Status) {
  if (m_Step != Step::QueryingHolder || m_Answered)
    return {};
  if (Status == HolderStatus::InProgress) {
    m_Step = Step::Finished;
    return refuseForEarlierAttempt(schema::CLAIM_IN_PROGRESS,
                                   "a call with this key is in progress",
                                   InProgressRetryAfter);
  }
  // Read the row once more: the holder may have recorded its answer since.
  if (!std::exchange(m_HolderQueried, true))
    return insert(0, {});
  m_Step = Step::Finished;
  return refuseForEarlierAttempt(
      schema::OUTCOME_UNKNOWN,
      "the router that held this call is gone; do not repeat it, ask your "
      "operators to settle it");
}

ClaimActions Claim::onInsertFailed(const ClaimWriteResult &Result,
                                   Instant Now) {
  if (Result.m_Kind == ClaimWriteResult::Kind::Unknown)
    m_InsertMayCommit = true;
  if (m_Answered && m_InsertMayCommit)
    return release(nextBackoff());
  const bool InTime =
      Now < m_Params.m_DispatchDeadline && Now < m_Params.m_Deadline;
  const bool AnswerLost = Result.m_Kind == ClaimWriteResult::Kind::Unknown;
  if (AnswerLost && InTime && m_Backoff < MaxInsertBackoff)
    return insert(m_ExpectedVersion, nextBackoff());
  const bool IsRateLimited =
      Result.m_Kind == ClaimWriteResult::Kind::RateLimited;
  auto Actions =
      refuse(IsRateLimited ? schema::CLAIM_RATE : schema::PLATFORM_UNAVAILABLE,
             IsRateLimited ? "too many calls are claimed at once"
                           : "the platform's table cannot be reached",
             OutageRetryAfter);
  if (m_InsertMayCommit)
    return concat(std::move(Actions), release(nextBackoff()));
  m_Step = Step::Finished;
  return Actions;
}

// Marks the row as released by an attempt that never dispatched and never will.
// A late insert of this attempt then fails on the row's version.
ClaimActions Claim::release(Duration Delay) {
  m_Step = Step::Releasing;
  m_ExpectedVersion = m_Version != 0 ? m_Version : m_ExpectedVersion;
  return {WriteClaim{m_ExpectedVersion, row(schema::RELEASED), Delay}};
}

ClaimActions Claim::onReleaseWrite(const ClaimWriteResult &Result) {
  switch (Result.m_Kind) {
  case ClaimWriteResult::Kind::Committed:
    m_Step = Step::Finished;
    return {};
  case ClaimWriteResult::Kind::Conflict:
    if (Result.m_Row.attempt() == m_Params.m_Attempt.str() &&
        Result.m_Row.state() == schema::CLAIMED) {
      m_Version = Result.m_Version;
      return release(nextBackoff());
    }
    m_Step = Step::Finished;
    return {};
  default:
    return release(nextBackoff());
  }
}

ClaimActions Claim::onDispatch(const ClaimDispatchResult &Result, Instant Now) {
  if (m_Step != Step::Dispatching)
    return {};
  m_Outcome = row(schema::UNKNOWN);
  ClaimActions Actions;
  switch (Result.m_Kind) {
  case ClaimDispatchResult::Kind::Answered:
    m_Run.markRan();
    m_Outcome.set_state(schema::DONE);
    m_Outcome.set_answer_status(Result.m_Status);
    m_Outcome.set_answer_type(Result.m_ContentType);
    m_Outcome.set_answer_body(Result.m_Body);
    if (!std::exchange(m_Answered, true))
      Actions = {AnswerCall{Result.m_Status, Result.m_ContentType,
                            Result.m_Body, "", false}};
    return concat(std::move(Actions), record({}));
  case ClaimDispatchResult::Kind::NeverSent:
    m_Run.dispatchNeverSent();
    if (!m_Answered && Now < m_Params.m_DispatchDeadline &&
        ++m_UnsentDispatches < MaxDispatches) {
      m_Run.beforeDispatch();
      return {DispatchCall{}};
    }
    break;
  case ClaimDispatchResult::Kind::ReportedNotRun:
    m_Run.endpointReportedNotRun(m_Params.m_TrustNotRun);
    break;
  case ClaimDispatchResult::Kind::Lost:
    break;
  }
  if (m_Run.notRunProof())
    return concat(refuse(schema::NO_ENDPOINT,
                         "no endpoint of the service took the call",
                         OutageRetryAfter),
                  release({}));
  return concat(refuse(schema::OUTCOME_UNKNOWN,
                       "the endpoint gave no whole answer; do not repeat the "
                       "call, ask your operators to settle it"),
                record({}));
}

ClaimActions Claim::record(Duration Delay) {
  m_Step = Step::Recording;
  return {WriteClaim{m_Version, m_Outcome, Delay}};
}

ClaimActions Claim::onRecordWrite(const ClaimWriteResult &Result) {
  const bool IsRecorded = Result.m_Kind == ClaimWriteResult::Kind::Committed ||
                          Result.m_Kind == ClaimWriteResult::Kind::Conflict;
  if (!IsRecorded)
    return record(nextBackoff());
  // A conflict means that an earlier write of this outcome committed or that an
  // operator settled the claim.
  m_Step = Step::Finished;
  return {};
}

ClaimActions Claim::refuse(schema::Reason Reason, std::string Detail,
                           std::optional<Duration> RetryAfter) {
  if (std::exchange(m_Answered, true))
    return {};
  return {RefuseCall{
      Refusal::forRun(m_Run, Reason, std::move(Detail), RetryAfter)}};
}

ClaimActions Claim::onDeadline() {
  if (m_Answered)
    return {};
  if (m_Step == Step::Dispatching)
    return refuse(schema::OUTCOME_UNKNOWN,
                  "the endpoint has not answered in time; the outcome will be "
                  "recorded under this key");
  // An insert in progress may still commit; its result leads to a release.
  if (m_Step == Step::Inserting)
    return refuse(schema::DEADLINE_PASSED, "the deadline has passed",
                  OutageRetryAfter);
  m_Step = Step::Finished;
  return refuseForEarlierAttempt(schema::CLAIM_IN_PROGRESS,
                                 "a call with this key may be in progress",
                                 InProgressRetryAfter);
}

} // namespace mimosadale::decide
