#include "decide/stall_policy.h"

#include <algorithm>

namespace mimosadale::decide {

namespace {

// Minimum stall that is attributed to a lost engine: above the usual interval
// between two events.
constexpr Duration RepairStall = std::chrono::milliseconds(100);

// Stall after which a request whose path was not repaired is rerouted.
constexpr Duration RerouteStall = std::chrono::milliseconds(250);

// Stall after which a request is rerouted even if no engine is known to be
// lost: callers disconnect after 2 s.
constexpr Duration MaxStall = std::chrono::milliseconds(1300);

// Silence of another router after which it is passed over, and after which its
// request is rerouted: later than it reroutes the request itself, but before
// the caller disconnects.
constexpr Duration PeerSilence = std::chrono::milliseconds(1000);
constexpr Duration MaxPeerSilence = std::chrono::milliseconds(1600);
static_assert(MaxPeerSilence > MaxStall);

// Gaps after which callers close a stream, by the platform's protocol: this
// time, or so many times a target of its route.
constexpr Duration MinCallerGapLimit = std::chrono::seconds(2);
constexpr int FirstEventTargetsPerGap = 4;
constexpr int EventIntervalTargetsPerGap = 8;

} // namespace

Duration callerGapLimit(Duration FirstEventTarget,
                        Duration EventIntervalTarget) {
  return std::max({MinCallerGapLimit,
                   FirstEventTargetsPerGap * FirstEventTarget,
                   EventIntervalTargetsPerGap * EventIntervalTarget});
}

PeerAction peerAction(Duration Silence, bool MayReroute) {
  if (Silence > MaxPeerSilence && MayReroute)
    return PeerAction::Reroute;
  return Silence > PeerSilence ? PeerAction::PassOver : PeerAction::Wait;
}

StallAction stallAction(const StallState &State) {
  const Duration Allowance =
      State.m_HasEvent ? Duration{} : State.m_FirstEventLimit;
  // A repair order of this router would not reach the engine. Streams over
  // connections that live on are no reason to suspect it.
  if (State.m_CutOff && State.m_FirstLost && State.m_MayReroute &&
      State.m_StallTime > RerouteStall + Allowance)
    return StallAction::Reroute;
  if (State.m_Repairing)
    return State.m_MayReroute && State.m_StallTime > MaxStall
               ? StallAction::Reroute
               : StallAction::Wait;
  if (State.m_FirstLost && State.m_MayReroute &&
      State.m_StallTime > RerouteStall + Allowance)
    return StallAction::Reroute;
  const bool PathStalled = State.m_PathLost && State.m_StallTime > RepairStall;
  if ((PathStalled || State.m_PathLeaving) && State.m_MayRepair &&
      !State.m_FirstLost)
    return StallAction::Repair;
  if (State.m_MayReroute && State.m_PathLost &&
      State.m_StallTime > RerouteStall + Allowance)
    return StallAction::Reroute;
  if (State.m_MayReroute && State.m_StallTime > MaxStall)
    return StallAction::Reroute;
  return State.m_StallTime > State.m_ProbeStall + Allowance
             ? StallAction::ProbePath
             : StallAction::Wait;
}

} // namespace mimosadale::decide
