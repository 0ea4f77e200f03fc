// What to do about a request that waits for its engines.
#ifndef MIMOSADALE_DECIDE_PAUSE_POLICY_H
#define MIMOSADALE_DECIDE_PAUSE_POLICY_H

#include "base/units.h"

#include <optional>

namespace mimosadale::decide {

/// What is known of a request at chained engines that is waited for.
struct PauseFacts {
  Duration m_Pause{};        // since its last event, or since it was sent
  bool m_EventSeen = false;  // of the present send
  Duration m_FirstWithin{};  // time within which its first event is due
  bool m_FirstLost = false;  // its first engine is gone or distrusted
  bool m_PathLost = false;   // another engine of its path is
  bool m_PathLeaves = false; // it is its turn to be led around one that leaves
  bool m_Repairing = false;  // an order to change its path is under way
  bool m_MayRepair = false;  // and another such order may be given
  bool m_MayMove = false;    // it may be repeated, and sends are left
};

enum class PauseStep {
  Wait,
  AskPath, // ask the path's engines whether they are there
  Repair,  // other engines for the lost parts
  Move     // end this send and go on at another chain, if there is room
};

/// When a stream is led around an engine that is about to leave: each at a time
/// of its own, so that the engines that take over do not read the tokens of all
/// at once.
///
/// \par Thread safety
/// None.
class LeavingTurn {
public:
  /// Whether it is time. \param Leaves whether there is such an engine now.
  /// \param Draw uniform in [0, 1); the first one counts.
  bool comes(bool Leaves, Instant Now, double Draw);

private:
  std::optional<Instant> m_At;
};

/// The step for a request as it stands. A pause alone never ends it unless it
/// can go on elsewhere. Safe from any thread.
PauseStep stepFor(const PauseFacts &Facts);

} // namespace mimosadale::decide

#endif
