#include "decide/pause_policy.h"

namespace mimosadale::decide {

namespace {

// Pause in a stream from which on an engine that is known to be lost is taken
// for its cause: more than the usual time between two events.
constexpr Duration RepairStall = std::chrono::milliseconds(100);

// Pause in a stream after which the engines are asked; half of the shortest
// pause that counts as late, so that an answer still helps.
constexpr Duration ProbeStall = std::chrono::milliseconds(125);

// Pause after which a request whose path was not repaired goes elsewhere.
constexpr Duration RerouteStall = std::chrono::milliseconds(250);

// Pause after which a path is given up even if no engine is known to be lost:
// before callers leave, which they do after two seconds.
constexpr Duration MaxStall = std::chrono::milliseconds(1300);

} // namespace

StallAction stallAction(const StallState &Facts) {
  const Duration Slack =
      Facts.m_HasEvent ? Duration{} : Facts.m_FirstEventLimit;
  if (Facts.m_Repairing)
    return Facts.m_MayReroute && Facts.m_StallTime > MaxStall
               ? StallAction::Reroute
               : StallAction::Wait;
  if (Facts.m_FirstLost && Facts.m_MayReroute &&
      Facts.m_StallTime > RerouteStall + Slack)
    return StallAction::Reroute;
  const bool Broken = Facts.m_PathLost && Facts.m_StallTime > RepairStall;
  if ((Broken || Facts.m_PathLeaving) && Facts.m_MayRepair &&
      !Facts.m_FirstLost)
    return StallAction::Repair;
  if (Facts.m_MayReroute && Facts.m_PathLost &&
      Facts.m_StallTime > RerouteStall + Slack)
    return StallAction::Reroute;
  if (Facts.m_MayReroute && Facts.m_StallTime > MaxStall)
    return StallAction::Reroute;
  return Facts.m_StallTime > ProbeStall + Slack ? StallAction::ProbePath
                                                : StallAction::Wait;
}

} // namespace mimosadale::decide
