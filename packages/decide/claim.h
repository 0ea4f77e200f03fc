// The life cycle of one call that may not be repeated.
#ifndef MIMOSADALE_DECIDE_CLAIM_H
#define MIMOSADALE_DECIDE_CLAIM_H

#include "base/id.h"
#include "base/units.h"
#include "decide/refusal.h"
#include "schema/generated/rows.pb.h"

#include <optional>
#include <variant>
#include <vector>

namespace mimosadale::decide {

/// What a call asks for and who carries it.
struct ClaimParams {
  WorkspaceId m_Workspace;
  ServiceId m_Service;
  std::string m_Key;
  std::string m_BodyHash;
  AttemptId m_Attempt;
  PeerId m_Holder;
  Incarnation m_HolderIncarnation{};
  Instant m_Deadline{};         // of the caller
  Instant m_DispatchDeadline{}; // counted from before the first insert was sent
  bool m_TrustNotRun = false;
};

/// How a conditional write of the claim's row ended.
struct ClaimWriteResult {
  enum class Kind {
    Committed,  // m_Version is the row's new version
    Conflict,   // m_Version and m_Row are what stands there; 0 when none
    Unknown,    // the answer was lost
    NotApplied, // the table did not take it, and says or proves so
    RateLimited // the fleet's share of the table's writes is used up
  };
  Kind m_Kind = Kind::NotApplied;
  std::uint64_t m_Version = 0;
  schema::ClaimRow m_Row;
};

/// How the one dispatch to the endpoint ended.
struct ClaimDispatchResult {
  enum class Kind {
    Answered,       // a whole answer
    NeverSent,      // the connection was never established
    ReportedNotRun, // the endpoint says that it did nothing
    Lost            // anything else
  };
  Kind m_Kind = Kind::Lost;
  std::uint32_t m_Status = 0;
  std::string m_ContentType;
  std::string m_Body;
};

/// Write the row if its version still is \p m_ExpectedVersion.
struct WriteClaim {
  std::uint64_t m_ExpectedVersion = 0;
  schema::ClaimRow m_Row;
  Duration m_Delay{};
};

/// Ask the row's holder whether it still works on the claim.
struct QueryHolder {
  schema::ClaimRow m_Row;
};

/// Dispatch the call. At most one dispatch is ever in progress, and none
/// follows one that may have sent a byte.
struct DispatchCall {};

/// Answer the caller with what the endpoint or the row says.
struct AnswerCall {
  std::uint32_t m_Status = 0;
  std::string m_ContentType;
  std::string m_Body;
  std::string m_ObjectName; // the body is in the object store under this name
  bool m_IsReplay = false;
};

/// Refuse the caller.
struct RefuseCall {
  Refusal m_Refusal;
};

using ClaimAction =
    std::variant<WriteClaim, QueryHolder, DispatchCall, AnswerCall, RefuseCall>;
using ClaimActions = std::vector<ClaimAction>;

/// What a holder says about a claim.
enum class HolderStatus { InProgress, NotInProgress, Dead };

/// Claim, then send: only the router whose conditional insert stands dispatches
/// the call, once; a claim is never taken over, not after any time, because its
/// holder may be paused right before its write. The ways weighed are in
/// docs/design/claims.md.
///
/// \par Thread safety
/// None; owned by one coroutine.
class Claim {
public:
  explicit Claim(ClaimParams Params);

  /// Inserts the claim. \pre Called once, first.
  ClaimActions start(Instant Now);

  /// The result of the last `WriteClaim`.
  ClaimActions onWrite(const ClaimWriteResult &Result, Instant Now);

  /// The answer to `QueryHolder`.
  ClaimActions onHolderStatus(HolderStatus Status);

  /// The result of `DispatchCall`.
  ClaimActions onDispatch(const ClaimDispatchResult &Result, Instant Now);

  /// The caller's deadline passed. Refused at once; what is in progress goes
  /// on until the row tells the truth.
  ClaimActions onDeadline();

  /// Whether the caller has its final answer.
  bool answered() const { return m_Answered; }

  /// Whether nothing is left to do.
  bool finished() const { return m_Step == Step::Finished; }

  schema::RunState runState() const { return m_Run.state(); }

private:
  enum class Step {
    Inserting,
    QueryingHolder,
    Dispatching,
    Recording,
    Releasing,
    Finished
  };

  schema::ClaimRow row(schema::ClaimState State) const;
  ClaimActions insert(std::uint64_t Expect, Duration Delay);
  ClaimActions onClaimed(std::uint64_t Version, Instant Now);
  ClaimActions onInsertConflict(const ClaimWriteResult &Existing, Instant Now);
  ClaimActions release(Duration Delay);
  ClaimActions record(Duration Delay);
  ClaimActions refuse(schema::Reason Reason, std::string Detail,
                      std::optional<Duration> RetryAfter = std::nullopt);
  ClaimActions
  refuseForEarlierAttempt(schema::Reason Reason, std::string Detail,
                          std::optional<Duration> RetryAfter = std::nullopt);
  ClaimActions onInsertFailed(const ClaimWriteResult &Result, Instant Now);
  ClaimActions onReleaseWrite(const ClaimWriteResult &Result);
  ClaimActions onRecordWrite(const ClaimWriteResult &Result);
  Duration nextBackoff();

  ClaimParams m_Params;
  RunTracker m_Run;
  Step m_Step = Step::Inserting;
  std::uint64_t m_ExpectedVersion = 0; // version that the last write expected
  std::uint64_t m_Version = 0;         // of our row, once known
  bool m_InsertMayCommit = false; // an insert of ours may stand or land late
  bool m_Answered = false;
  bool m_HolderQueried = false;
  unsigned m_UnsentDispatches = 0;
  Duration m_Backoff{};
  schema::ClaimRow m_Outcome; // what is to be recorded
};

} // namespace mimosadale::decide

#endif
