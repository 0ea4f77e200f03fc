// Health and load of one endpoint as seen by this router.
#ifndef MIMOSADALE_DECIDE_ENDPOINT_HEALTH_H
#define MIMOSADALE_DECIDE_ENDPOINT_HEALTH_H

#include "base/units.h"
#include "decide/path_chooser.h"
#include "schema/generated/engine.pb.h"

#include <map>
#include <optional>

namespace mimosadale::decide {

/// Sources that report an endpoint as leaving. One report suffices.
enum class LeaveSource { HostList, Endpoint, Operator };

/// Passive health of one endpoint: replies carry its load and show that it is
/// alive, faults make it suspect, and probes confirm or clear a suspicion.
///
/// \par Thread safety
/// None.
class EndpointHealth {
public:
  enum class State { Usable, Suspect, Dead };

  void onCallStarted() { ++m_InFlight; }

  /// A call over \p Positions positions ended with a reply after \p Latency.
  /// \p Load may be null.
  void onReply(std::uint64_t Positions, Duration Latency,
               const schema::Load *Load, Instant Now);

  /// A call ended without a reply. \param ConnectFailed whether nothing
  /// listened on the address: one such fault marks the endpoint dead, while
  /// other faults must be confirmed by a probe.
  void onFault(bool ConnectFailed, Instant Now);

  /// A probe over a new connection ended. \p Load may be null.
  void onProbe(bool Answered, const schema::Load *Load, Instant Now);

  /// Another router reported the endpoint as suspect or as usable.
  void onPeerReport(bool Suspect, Instant Now);

  /// Sets whether \p Source reports the endpoint as leaving.
  void setLeaving(LeaveSource Source, bool Leaving);

  /// Whether new calls may be sent to the endpoint.
  bool usable() const { return m_State == State::Usable && !leaving(); }

  /// Whether any source reports the endpoint as leaving.
  bool leaving() const;

  /// Whether \p Source reports the endpoint as leaving.
  bool leavingAccordingTo(LeaveSource Source) const;

  State state() const { return m_State; }
  unsigned inFlight() const { return m_InFlight; }

  /// Load for path choice.
  EngineLoad load(Instant Now) const;

  /// Time after which a call over \p Positions positions without a reply counts
  /// as failed: the smoothed latency of a single position plus four deviations,
  /// like the retransmission timeout of TCP (RFC 6298), plus the time for the
  /// positions at the declared rate with a margin; limited to [\p Min, \p Max].
  /// \p Max before the latency of a single position is known.
  Duration replyTimeout(std::uint64_t Positions, double TokensPerSecond,
                        Duration Min, Duration Max) const;

  /// Whether a probe is due now; if so, schedules the next one.
  bool takeDueProbe(Instant Now);

  /// Whether there was no reply and no answered probe for at least \p Time.
  bool idleFor(Duration Time, Instant Now) const;

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
