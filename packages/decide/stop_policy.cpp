#include "decide/stop_policy.h"

namespace mimosadale::decide {

namespace {

// Averages over about the last ten streams.
constexpr double LatestSampleWeight = 0.1;

} // namespace

void StreamTimeEstimator::onEnded(double Tokens, Duration Elapsed) {
  if (Tokens <= 0)
    return;
  const double Latest = seconds(Elapsed) / Tokens;
  m_SecondsPerToken =
      m_SecondsPerToken ? *m_SecondsPerToken +
                              LatestSampleWeight * (Latest - *m_SecondsPerToken)
                        : Latest;
}

std::optional<Duration> StreamTimeEstimator::expected(double Tokens) const {
  if (!m_SecondsPerToken)
    return std::nullopt;
  return fromSeconds(*m_SecondsPerToken * Tokens);
}

bool endsAfterStop(std::optional<Duration> Expected, Duration UntilStop) {
  return Expected && *Expected > UntilStop;
}

} // namespace mimosadale::decide
