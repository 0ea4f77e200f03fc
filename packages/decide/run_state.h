// What is known about the effect of a request, and the proof behind "not run".
#ifndef MIMOSADALE_DECIDE_RUN_STATE_H
#define MIMOSADALE_DECIDE_RUN_STATE_H

#include "schema/generated/reason.pb.h"

#include <optional>

namespace mimosadale::decide {

/// Proof that a request had no effect. Only a `RunTracker` makes one, so code
/// that cannot prove "not run" cannot say it.
class NotRunProof {
private:
  friend class RunTracker;
  NotRunProof() = default;
};

/// Follows whether a request may have had an effect. The state only moves
/// forward, but for the two cases in which a dispatch is known to be without
/// effect (docs/design/requests.md).
///
/// \par Thread safety
/// None; owned by one state machine.
class RunTracker {
public:
  /// What is known now. \pre None.
  schema::RunState state() const { return m_State; }

  /// Notes that a dispatch is about to be written. \pre Called before the
  /// write is attempted, not after it succeeded.
  void beforeDispatch();

  /// Notes that the dispatch noted last never sent a byte. \pre The transport
  /// proves it: the connection was never established.
  void dispatchNeverSent();

  /// Notes that the endpoint answered "not run" to the dispatch noted last.
  /// \param Trusted whether the endpoint's kind is declared to be trusted in
  /// this; otherwise nothing changes.
  void endpointReportedNotRun(bool Trusted);

  /// Notes that an effect was seen. \pre None.
  void markRan() { m_State = schema::RAN; }

  /// The proof, if there is one. \pre None.
  std::optional<NotRunProof> notRunProof() const;

private:
  schema::RunState m_State = schema::NOT_RUN;
  bool m_EarlierMayHaveRun =
      false; // an earlier dispatch may have had an effect
};

} // namespace mimosadale::decide

#endif
