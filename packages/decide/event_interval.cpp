#include "decide/event_interval.h"

#include <algorithm>
#include <chrono>

namespace mimosadale::decide {

namespace {

// Weights of a new interval in mean and deviation are 1/8 and 1/4.
constexpr int MeanWeight = 8;
constexpr int DeviationWeight = 4;

// Shortest stall that triggers polls, also of chains with shorter intervals:
// the polls of a shorter one would cost more than they find.
constexpr Duration MinProbeStall = std::chrono::milliseconds(125);

// Time in which an engine that is alive answers a poll, and up to which a stall
// is noticed late, as calls are checked at intervals.
constexpr Duration PollAnswerTime = std::chrono::milliseconds(50);

} // namespace

void EventInterval::onInterval(Duration Interval) {
  if (m_Mean == Duration{}) {
    m_Mean = Interval;
    m_Deviation = Interval / 2;
    return;
  }
  const Duration Difference = Interval - m_Mean;
  m_Mean += Difference / MeanWeight;
  m_Deviation += (std::chrono::abs(Difference) - m_Deviation) / DeviationWeight;
}

Duration probeStall(Duration Bound, Duration Target) {
  const Duration Latest = std::max(MinProbeStall, Target - PollAnswerTime);
  return std::clamp(Bound, MinProbeStall, Latest);
}

} // namespace mimosadale::decide
