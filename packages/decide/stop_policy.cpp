#include "decide/stop_policy.h"

namespace mimosadale::decide {

namespace {

// Weight of the latest stream in the mean: some ten streams are remembered.
constexpr double LatestSampleWeight = 0.1;

} // namespace

void StreamTimeEstimator::onEnded(double Tokens, Duration Took) {
  if (Tokens <= 0)
    return;
  const double Latest = seconds(Took) / Tokens;
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
