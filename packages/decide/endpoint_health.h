// What a router believes of one endpoint.
#ifndef MIMOSADALE_DECIDE_ENDPOINT_HEALTH_H
#define MIMOSADALE_DECIDE_ENDPOINT_HEALTH_H

#include "base/units.h"
#include "decide/path_chooser.h"
#include "schema/generated/engine.pb.h"

#include <map>
#include <optional>

namespace mimosadale::decide {

/// Who says that an endpoint is leaving. Any one of them is enough.
enum class LeaveSource { HostList, Endpoint, Operator };

/// Passive health of one endpoint: replies carry load and prove life, faults
/// make it suspect, probes settle a suspicion.
///
/// \par Thread safety
/// None.
class EndpointHealth {
public:
  enum class State { Usable, Suspect, Dead };

  /// A call was sent. \pre None.
  void onCallStarted() { ++m_InFlight; }

  /// A call over \p Positions positions ended with a reply after \p Latency.
  void onReply(std::uint64_t Positions, Duration Latency,
               const schema::Load *Load, Instant Now);

  /// A call ended without a reply. \param ConnectFailed whether nothing
  /// listened; one such fault is enough, others must be confirmed by a probe.
  void onFault(bool ConnectFailed, Instant Now);

  /// A probe on a new connection ended.
  void onProbe(bool Answered, const schema::Load *Load, Instant Now);

  /// Another router found it dead or alive. \pre None.
  void onPeerReport(bool Suspect, Instant Now);

  /// \p Source says whether it leaves. \pre None.
  void setLeaving(LeaveSource Source, bool Leaving);

  /// Whether new work may be given. \pre None.
  bool usable() const { return m_State == State::Usable && !leaving(); }

  bool leaving() const;

  /// Whether \p Source says that it leaves. \pre None.
  bool leavingAccordingTo(LeaveSource Source) const;

  State state() const { return m_State; }
  unsigned inFlight() const { return m_InFlight; }

  /// Load for path choice. \pre None.
  EngineLoad load(Instant Now) const;

  /// How long a call over \p Positions positions may stay without a reply
  /// before its connection is taken for silent: the smoothed latency of a
  /// single position plus four deviations, as TCP sets its retransmission time
  /// (RFC 6298), and the time that the further positions take at the declared
  /// rate, within the bounds given.
  Duration replyTimeout(std::uint64_t Positions, double TokensPerSecond,
                        Duration Least, Duration Most) const;

  /// Whether a probe is due now; if so the next one is due later.
  bool takeDueProbe(Instant Now);

  /// Whether nothing was heard for \p Quiet.
  bool idleFor(Duration Quiet, Instant Now) const;

private:
  void updateLoad(const schema::Load *Load, Instant Now);
  void updateLatency(Duration Latency);

  State m_State = State::Usable;
  std::map<LeaveSource, bool> m_Leaving;
  unsigned m_InFlight = 0;
  schema::Load m_Load;
  std::optional<Instant> m_ReportedAt;
  std::optional<Instant> m_LastReplyAt;
  Instant m_NextProbeAt{};
  Duration m_ProbeBackoff{};
  double m_SmoothedLatency = 0;  // seconds
  double m_LatencyDeviation = 0; // seconds
};

} // namespace mimosadale::decide

#endif
