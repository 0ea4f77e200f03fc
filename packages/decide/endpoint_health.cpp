#include "decide/endpoint_health.h"

#include <algorithm>
#include <cmath>

namespace mimosadale::decide {

namespace {

constexpr Duration FirstProbePause = std::chrono::milliseconds(100);
constexpr Duration MostProbePause = std::chrono::seconds(2);

// Gains of RFC 6298, section 2.
constexpr double SmoothedGain = 1.0 / 8;
constexpr double DeviationGain = 1.0 / 4;
constexpr double DeviationFactor = 4;

// Room for the rate of an engine to be below the declared one.
constexpr double SlackFactor = 4;

// Calls of at most this many positions count as decode steps: one position, and
// the one that an empty prompt is counted as.
constexpr std::uint64_t SinglePosition = 2;

} // namespace

void EndpointHealth::onReply(std::uint64_t Positions, Duration Latency,
                             const schema::Load *Load, Instant Now) {
  m_InFlight -= std::min(1u, m_InFlight);
  m_State = State::Usable;
  m_ProbePause = {};
  learnLoad(Load, Now);
  if (Positions <= SinglePosition)
    learnLatency(Latency);
}

void EndpointHealth::learnLatency(Duration Latency) {
  const double Sample = seconds(Latency);
  if (m_Smoothed == 0) {
    m_Smoothed = Sample;
    m_Deviation = Sample / 2;
  } else {
    m_Deviation +=
        DeviationGain * (std::abs(m_Smoothed - Sample) - m_Deviation);
    m_Smoothed += SmoothedGain * (Sample - m_Smoothed);
  }
}

void EndpointHealth::learnLoad(const schema::Load *Load, Instant Now) {
  m_HeardAt = Now;
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
  m_NextProbe = Now;
}

void EndpointHealth::onProbe(bool Answered, const schema::Load *Load,
                             Instant Now) {
  if (!Answered) {
    m_State = State::Dead;
    return;
  }
  m_State = State::Usable;
  m_ProbePause = {};
  learnLoad(Load, Now);
}

void EndpointHealth::onPeerWord(bool Suspect, Instant Now) {
  if (Suspect == (m_State != State::Usable))
    return;
  m_State = Suspect ? State::Suspect : State::Usable;
  m_NextProbe = Now;
}

void EndpointHealth::setLeaving(LeaveSource Source, bool Leaving) {
  m_Leaving[Source] = Leaving;
}

bool EndpointHealth::leaving() const {
  return std::any_of(m_Leaving.begin(), m_Leaving.end(),
                     [](const auto &Each) { return Each.second; });
}

bool EndpointHealth::leavingBy(LeaveSource Source) const {
  const auto Found = m_Leaving.find(Source);
  return Found != m_Leaving.end() && Found->second;
}

EngineLoad EndpointHealth::load(Instant Now) const {
  EngineLoad Load;
  Load.m_Queued = m_Load.queued();
  Load.m_SentSinceReport = m_InFlight;
  if (m_ReportedAt)
    Load.m_ReportAge = Now - *m_ReportedAt;
  return Load;
}

Duration EndpointHealth::silentBound(std::uint64_t Positions,
                                     double TokensPerSecond, Duration Least,
                                     Duration Most) const {
  if (m_Smoothed == 0)
    return Most;
  const double Further = TokensPerSecond > 0
                             ? static_cast<double>(Positions) / TokensPerSecond
                             : 0;
  const Duration Bound = fromSeconds(
      m_Smoothed + DeviationFactor * m_Deviation + SlackFactor * Further);
  return std::clamp(Bound, Least, Most);
}

bool EndpointHealth::takeProbe(Instant Now) {
  if (m_State == State::Usable || Now < m_NextProbe)
    return false;
  m_ProbePause = std::clamp(2 * m_ProbePause, FirstProbePause, MostProbePause);
  m_NextProbe = Now + m_ProbePause;
  return true;
}

bool EndpointHealth::quietSince(Duration Quiet, Instant Now) const {
  return !m_HeardAt || Now - *m_HeardAt >= Quiet;
}

} // namespace mimosadale::decide
