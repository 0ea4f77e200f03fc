#include "decide/stop_policy.h"

namespace mimosadale::decide {

namespace {

// Weight of the latest stream in the mean: some ten streams are remembered.
constexpr double LatestWeight = 0.1;

} // namespace

void StreamPace::onEnded(double Tokens, Duration Took) {
  if (Tokens <= 0)
    return;
  const double Latest = seconds(Took) / Tokens;
  m_SecondsPerToken =
      m_SecondsPerToken
          ? *m_SecondsPerToken + LatestWeight * (Latest - *m_SecondsPerToken)
          : Latest;
}

std::optional<Duration> StreamPace::expected(double Tokens) const {
  if (!m_SecondsPerToken)
    return std::nullopt;
  return fromSeconds(*m_SecondsPerToken * Tokens);
}

bool endsAfterStop(std::optional<Duration> Expected, Duration UntilStop) {
  return Expected && *Expected > UntilStop;
}

} // namespace mimosadale::decide
