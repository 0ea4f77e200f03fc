#include "decide/pause_policy.h"

namespace mimosadale::decide {

namespace {

// Pause in a stream from which on an engine that is known to be lost is taken
// for its cause: more than the usual time between two events.
constexpr Duration RepairPause = std::chrono::milliseconds(100);

// Pause in a stream after which the engines are asked; half of the shortest
// pause that counts as late, so that an answer still helps.
constexpr Duration AskPause = std::chrono::milliseconds(125);

// Pause after which a request whose path was not repaired goes elsewhere.
constexpr Duration MovePause = std::chrono::milliseconds(250);

// Pause after which a path is given up even if no engine is known to be lost:
// before callers leave, which they do after two seconds.
constexpr Duration LongestPause = std::chrono::milliseconds(1300);

} // namespace

PauseStep stepFor(const PauseFacts &Facts) {
  const Duration Slack = Facts.m_EventSeen ? Duration{} : Facts.m_FirstWithin;
  if (Facts.m_Repairing)
    return Facts.m_MayMove && Facts.m_Pause > LongestPause ? PauseStep::Move
                                                           : PauseStep::Wait;
  if (Facts.m_FirstLost && Facts.m_MayMove && Facts.m_Pause > MovePause + Slack)
    return PauseStep::Move;
  const bool Broken = Facts.m_PathLost && Facts.m_Pause > RepairPause;
  if ((Broken || Facts.m_PathLeaves) && Facts.m_MayRepair && !Facts.m_FirstLost)
    return PauseStep::Repair;
  if (Facts.m_MayMove && Facts.m_PathLost && Facts.m_Pause > MovePause + Slack)
    return PauseStep::Move;
  if (Facts.m_MayMove && Facts.m_Pause > LongestPause)
    return PauseStep::Move;
  return Facts.m_Pause > AskPause + Slack ? PauseStep::AskPath
                                          : PauseStep::Wait;
}

} // namespace mimosadale::decide
