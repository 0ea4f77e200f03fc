// Tracks whether a request may have run, and proves that it has not.
#ifndef MIMOSADALE_DECIDE_RUN_STATE_H
#define MIMOSADALE_DECIDE_RUN_STATE_H

#include "schema/generated/reason.pb.h"

#include <optional>

namespace mimosadale::decide {

/// Proof that a request had no effect. Only a `RunTracker` creates one, so code
/// without proof cannot report "not run".
class NotRunProof {
private:
  friend class RunTracker;
  NotRunProof() = default;
};

/// Tracks whether a request may have had an effect. The state only moves
/// forward, except in the two cases in which a dispatch is known to have had no
/// effect (docs/design/requests.md).
///
/// \par Thread safety
/// None; owned by one state machine.
class RunTracker {
public:
  schema::RunState state() const { return m_State; }

  /// Records that a dispatch is about to be written. \pre Called before the
  /// write is attempted, not after it succeeded.
  void beforeDispatch();

  /// Records that the last dispatch never sent a byte. \pre The transport
  /// proves it: the connection was never established.
  void dispatchNeverSent();

  /// Records that the endpoint answered "not run" to the last dispatch.
  /// \param Trusted whether this endpoint's "not run" is declared trustworthy;
  /// otherwise the state does not change.
  void endpointReportedNotRun(bool Trusted);

  /// Records that the request ran. \pre None.
  void markRan() { m_State = schema::RAN; }

  /// Proof that the request had no effect; none when it may have run.
  /// \pre None.
  std::optional<NotRunProof> notRunProof() const;

private:
  schema::RunState m_State = schema::NOT_RUN;
  // A dispatch before the last one may have run.
  bool m_EarlierMayHaveRun = false;
};

} // namespace mimosadale::decide

#endif
