// State machine of one call that must not run twice: claim, dispatch, record.
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

/// The call, the attempt to make it and the router that makes the attempt.
struct ClaimParams {
  WorkspaceId m_Workspace;
  ServiceId m_Service;
  std::string m_Key;
  std::string m_BodyHash;
  AttemptId m_Attempt;
  PeerId m_Holder;
  Incarnation m_HolderIncarnation{};
  Instant m_Deadline{};         // of the caller
  Instant m_DispatchDeadline{}; // measured from before the first insert
  bool m_TrustNotRun = false;   // a report of "not run" counts as proof
};

/// Result of a conditional write of the claim's row.
struct ClaimWriteResult {
  enum class Kind {
    Committed,  // m_Version is the new version of the row
    Conflict,   // m_Version and m_Row are the current row; version 0: none
    Unknown,    // the table's answer was lost
    NotApplied, // the write provably had no effect
    RateLimited // the fleet's rate limit of table writes is reached
  };
  Kind m_Kind = Kind::NotApplied;
  std::uint64_t m_Version = 0;
  schema::ClaimRow m_Row;
};

/// Result of a dispatch to an endpoint.
struct ClaimDispatchResult {
  enum class Kind {
    Answered,       // a complete answer
    NeverSent,      // the connection was never established
    ReportedNotRun, // the endpoint reports that it did not run the call
    Lost            // anything else; the call may have run
  };
  Kind m_Kind = Kind::Lost;
  std::uint32_t m_Status = 0;
  std::string m_ContentType;
  std::string m_Body;
};

/// Write the row after `m_Delay` if its version is still `m_ExpectedVersion`; 0
/// when there must be no row.
struct WriteClaim {
  std::uint64_t m_ExpectedVersion = 0;
  schema::ClaimRow m_Row;
  Duration m_Delay{};
};

/// Ask the holder named in the row whether it still processes the claim.
struct QueryHolder {
  schema::ClaimRow m_Row;
};

/// Dispatch the call to an endpoint. At most one dispatch is in progress at any
/// time, and none follows one that may have sent a byte.
struct DispatchCall {};

/// Answer the caller with the endpoint's answer or the one recorded in the row.
struct AnswerCall {
  std::uint32_t m_Status = 0;
  std::string m_ContentType;
  std::string m_Body;
  std::string m_ObjectName; // of a body kept in the object store; else empty
  bool m_IsReplay = false;  // the answer was recorded by an earlier attempt
};

struct RefuseCall {
  Refusal m_Refusal;
};

using ClaimAction =
    std::variant<WriteClaim, QueryHolder, DispatchCall, AnswerCall, RefuseCall>;
using ClaimActions = std::vector<ClaimAction>;

/// Status of a claim as its holder reports it. `Dead`: the holder is gone.
enum class HolderStatus { InProgress, NotInProgress, Dead };

/// Claims a call before dispatching it: only the router whose conditional
/// insert commits dispatches the call, once. A claim never expires and is never
/// taken over, because its holder may be paused right before it writes to the
/// endpoint. docs/design/claims.md compares the alternatives.
///
/// \par Thread safety
/// None; owned by one coroutine.
class Claim {
public:
  explicit Claim(ClaimParams Params);

  /// Inserts the claim. \pre Called once, first.
  ClaimActions start(Instant Now);

  /// Handles the result of the last `WriteClaim`.
  ClaimActions onWrite(const ClaimWriteResult &Result, Instant Now);

  /// Handles the answer to `QueryHolder`.
  ClaimActions onHolderStatus(HolderStatus Status);

  /// Handles the result of `DispatchCall`.
  ClaimActions onDispatch(const ClaimDispatchResult &Result, Instant Now);

  /// Refuses the caller, whose deadline has passed. A write or dispatch in
  /// progress continues until its outcome is recorded in the row.
  ClaimActions onDeadline();

  /// Whether the caller has its final answer.
  bool answered() const { return m_Answered; }

  /// Whether no action is pending.
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
  ClaimActions insert(std::uint64_t ExpectedVersion, Duration Delay);
  ClaimActions onClaimed(std::uint64_t Version, Instant Now);
  ClaimActions onInsertConflict(const ClaimWriteResult &Result, Instant Now);
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
  std::uint64_t m_ExpectedVersion = 0; // by the last write
  std::uint64_t m_Version = 0;         // of this attempt's row, once known
  // An insert of this attempt may have committed or may still commit.
  bool m_InsertMayCommit = false;
  bool m_Answered = false;
  bool m_HolderQueried = false;
  unsigned m_UnsentDispatches = 0;
  Duration m_Backoff{};
  schema::ClaimRow m_Outcome; // row to be recorded after the dispatch
};

} // namespace mimosadale::decide

#endif
