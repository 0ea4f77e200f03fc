#include "decide/endpoint_health.h"

#include <algorithm>
#include <cmath>

namespace mimosadale::decide {

namespace {

constexpr Duration MinProbeBackoff = std::chrono::milliseconds(100);
constexpr Duration MaxProbeBackoff = std::chrono::seconds(2);

// Gains and factor of RFC 6298, section 2.
constexpr double SmoothingGain = 1.0 / 8;
constexpr double DeviationGain = 1.0 / 4;
constexpr double DeviationFactor = 4;

// Margin for engines whose rate is below the declared one.
constexpr double RateMargin = 4;

// Calls of at most this many positions count as decode steps: one position,
// plus the one that an empty prompt counts as.
constexpr std::uint64_t MaxDecodePositions = 2;

} // namespace

void EndpointHealth::onReply(std::uint64_t Positions, Duration Latency,
                             const schema::Load *Load, Instant Now) {
  m_InFlight -= std::min(1u, m_InFlight);
  m_State = State::Usable;
  m_ProbeBackoff = {};
  updateLoad(Load, Now);
  if (Positions <= MaxDecodePositions)
    updateLatency(Latency);
}

void EndpointHealth::updateLatency(Duration Latency) {
  const double Sample = seconds(Latency);
  if (m_SmoothedLatency == 0) {
    m_SmoothedLatency = Sample;
    m_LatencyDeviation = Sample / 2;
  } else {
    m_LatencyDeviation +=
        DeviationGain *
        (std::abs(m_SmoothedLatency - Sample) - m_LatencyDeviation);
    m_SmoothedLatency += SmoothingGain * (Sample - m_SmoothedLatency);
  }
}

void EndpointHealth::updateLoad(const schema::Load *Load, Instant Now) {
  m_LastReplyAt = Now;
  if (!Load)
    return;
  m_Load = *Load;
  m_ReportedAt = Now;
  setLeaving(LeaveSource::Endpoint, Load->leaving());
}

void EndpointHealth::onFault(bool ConnectFailed, Instant Now) {
  m_InFlight -= std::min(1u, m_InFlight);
  if (m_State == State::Dead)
    return;
  m_State = ConnectFailed ? State::Dead : State::Suspect;
  m_NextProbeAt = Now;
}

void EndpointHealth::onProbe(bool Answered, const schema::Load *Load,
                             Instant Now) {
  if (!Answered) {
    m_State = State::Dead;
    return;
  }
  m_State = State::Usable;
  m_ProbeBackoff = {};
  updateLoad(Load, Now);
}

void EndpointHealth::onPeerReport(bool Suspect, Instant Now) {
  if (Suspect == (m_State != State::Usable))
    return;
  m_State = Suspect ? State::Suspect : State::Usable;
  m_NextProbeAt = Now;
}

void EndpointHealth::setLeaving(LeaveSource Source, bool Leaving) {
  m_Leaving[Source] = Leaving;
}

bool EndpointHealth::leaving() const {
  return std::any_of(m_Leaving.begin(), m_Leaving.end(),
                     [](const auto &Entry) { return Entry.second; });
}

bool EndpointHealth::leavingAccordingTo(LeaveSource Source) const {
  const auto It = m_Leaving.find(Source);
  return It != m_Leaving.end() && It->second;
}

EngineLoad EndpointHealth::load(Instant Now) const {
  EngineLoad Load;
  Load.m_Queued = m_Load.queued();
  Load.m_SentSinceReport = m_InFlight;
  if (m_ReportedAt)
    Load.m_ReportAge = Now - *m_ReportedAt;
  return Load;
}

Duration EndpointHealth::replyTimeout(std::uint64_t Positions,
                                      double TokensPerSecond, Duration Min,
                                      Duration Max) const {
  if (m_SmoothedLatency == 0)
    return Max;
  const double PositionsTime =
      TokensPerSecond > 0 ? static_cast<double>(Positions) / TokensPerSecond
                          : 0;
  const Duration Timeout =
      fromSeconds(m_SmoothedLatency + DeviationFactor * m_LatencyDeviation +
                  RateMargin * PositionsTime);
  return std::clamp(Timeout, Min, Max);
}

bool EndpointHealth::takeDueProbe(Instant Now) {
  if (m_State == State::Usable || Now < m_NextProbeAt)
    return false;
  m_ProbeBackoff =
      std::clamp(2 * m_ProbeBackoff, MinProbeBackoff, MaxProbeBackoff);
  m_NextProbeAt = Now + m_ProbeBackoff;
  return true;
}

bool EndpointHealth::idleFor(Duration Time, Instant Now) const {
  return !m_LastReplyAt || Now - *m_LastReplyAt >= Time;
}

} // namespace mimosadale::decide
