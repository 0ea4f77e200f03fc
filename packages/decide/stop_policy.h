// What a router that stops still takes.
#ifndef MIMOSADALE_DECIDE_STOP_POLICY_H
#define MIMOSADALE_DECIDE_STOP_POLICY_H

#include "base/units.h"

#include <optional>

namespace mimosadale::decide {

/// How long streams take, by those that ended.
///
/// \par Thread safety
/// None.
class StreamTimeEstimator {
public:
  /// A stream that was expected to bring \p Tokens ended whole after \p Took.
  void onEnded(double Tokens, Duration Took);

  /// The time that one of \p Tokens is expected to take; none while no stream
  /// has ended.
  std::optional<Duration> expected(double Tokens) const;

private:
  std::optional<double> m_SecondsPerToken; // mean, the latest weigh most
};

/// Whether a stream that begins now would be cut off by the stop: its caller is
/// better told at once to come back, since its next try reaches another router.
/// What is not known to take longer is taken. Safe from any thread.
bool endsAfterStop(std::optional<Duration> Expected, Duration UntilStop);

} // namespace mimosadale::decide

#endif
