// What to do about a request that waits for its engines: wait, probe them,
// repair the path or reroute.
#ifndef MIMOSADALE_DECIDE_STALL_POLICY_H
#define MIMOSADALE_DECIDE_STALL_POLICY_H

#include "decide/event_interval.h"

namespace mimosadale::decide {

/// State of a request at chained engines that waits for its next event.
struct StallState {
  Duration m_StallTime{};       // since the last event, or since it was sent
  bool m_HasEvent = false;      // the current attempt has brought an event
  Duration m_FirstEventLimit{}; // expected time to the first event
  // Stall after which the engines are polled.
  Duration m_ProbeStall = probeStall({}, {});
  bool m_FirstLost = false;   // the first engine is gone or suspect
  bool m_PathLost = false;    // another engine of the path is gone or suspect
  bool m_PathLeaving = false; // another engine of the path is about to leave
  bool m_Repairing = false;   // an order to change the path is in progress
  bool m_MayRepair = false;   // another such order may be sent
  bool m_MayReroute = false;  // it may be repeated, and attempts are left
  bool m_CutOff = false;      // this router reaches no endpoint
};

enum class StallAction {
  Wait,
  ProbePath, // ask the engines of the path for a report
  Repair,    // replace the lost stages by other engines
  Reroute    // abandon this attempt and continue at another chain with capacity
};

/// What to do about a request that another router serves.
enum class PeerAction {
  Wait,
  PassOver, // wait, but hand it no other request while others serve
  Reroute   // abandon this attempt and continue at a third router
};

/// The action for a request that another router, to which it was handed, has
/// given no part of an answer for \p Silence. \param MayReroute it may be
/// repeated, and there is a router to continue at. Safe from any thread.
PeerAction peerAction(Duration Silence, bool MayReroute);

/// The gap after which every caller has closed a stream that brings no event,
/// for a route with these targets. Safe from any thread.
Duration callerGapLimit(Duration FirstEventTarget,
                        Duration EventIntervalTarget);

/// The action for a request in state \p State. A stall alone never ends a
/// request that cannot continue elsewhere. Safe from any thread.
StallAction stallAction(const StallState &State);

} // namespace mimosadale::decide

#endif
