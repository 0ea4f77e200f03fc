// Which streams a stopping router still accepts.
#ifndef MIMOSADALE_DECIDE_STOP_POLICY_H
#define MIMOSADALE_DECIDE_STOP_POLICY_H

#include "base/units.h"

#include <optional>

namespace mimosadale::decide {

/// Estimates the duration of streams from those that completed.
///
/// \par Thread safety
/// None.
class StreamTimeEstimator {
public:
  /// A stream with \p Tokens expected completed in \p Elapsed.
  void onEnded(double Tokens, Duration Elapsed);

  /// The expected duration of a stream of \p Tokens; none before the first
  /// stream has completed.
  std::optional<Duration> expected(double Tokens) const;

private:
  std::optional<double> m_SecondsPerToken; // exponential moving average
};

/// Whether a stream that starts now would be cut off by the stop. Its caller is
/// told to retry instead, because the retry reaches another router. False while
/// the duration is unknown: such streams are accepted. Safe from any thread.
bool endsAfterStop(std::optional<Duration> Expected, Duration UntilStop);

} // namespace mimosadale::decide

#endif
