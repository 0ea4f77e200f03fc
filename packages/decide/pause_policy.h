// What to do about a request that waits for its engines.
#ifndef MIMOSADALE_DECIDE_PAUSE_POLICY_H
#define MIMOSADALE_DECIDE_PAUSE_POLICY_H

#include "base/units.h"

namespace mimosadale::decide {

/// What is known of a request at chained engines that is waited for.
struct StallState {
  Duration m_StallTime{};       // since its last event, or since it was sent
  bool m_HasEvent = false;      // of the present send
  Duration m_FirstEventLimit{}; // time within which its first event is due
  bool m_FirstLost = false;     // its first engine is gone or distrusted
  bool m_PathLost = false;      // another engine of its path is
  bool m_PathLeaving = false;   // another engine of its path is about to leave
  bool m_Repairing = false;     // an order to change its path is under way
  bool m_MayRepair = false;     // and another such order may be given
  bool m_MayReroute = false;    // it may be repeated, and sends are left
};

enum class StallAction {
  Wait,
  ProbePath, // ask the path's engines whether they are there
  Repair,    // other engines for the lost parts
  Reroute    // end this send and go on at another chain, if there is room
};

/// The step for a request as it stands. A pause alone never ends it unless it
/// can go on elsewhere. Safe from any thread.
StallAction stallAction(const StallState &Facts);

} // namespace mimosadale::decide

#endif
