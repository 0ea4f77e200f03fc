// Learns the interval between the events of streams on one chain.
#ifndef MIMOSADALE_DECIDE_EVENT_INTERVAL_H
#define MIMOSADALE_DECIDE_EVENT_INTERVAL_H

#include "base/units.h"

namespace mimosadale::decide {

/// Smoothed mean and deviation of the intervals that streams on one chain have
/// shown, as TCP estimates round-trip times (V. Jacobson, "Congestion Avoidance
/// and Control", 1988).
///
/// \par Thread safety
/// None.
class EventInterval {
public:
  /// Two events of one stream arrived \p Interval apart.
  void onInterval(Duration Interval);

  /// An interval that a working chain rarely exceeds; zero if none was seen.
  Duration bound() const { return m_Mean + 4 * m_Deviation; }

private:
  Duration m_Mean{};
  Duration m_Deviation{}; // mean absolute difference to the mean
};

/// The stall after which the engines of a chain are polled: what the chain
/// rarely exceeds by itself, but early enough that their answers arrive before
/// a pause counts as late. Safe from any thread.
/// \param Bound of the chain's intervals, see `EventInterval::bound`.
/// \param Target longest pause that counts as on time; zero: none is stated.
Duration probeStall(Duration Bound, Duration Target);

} // namespace mimosadale::decide

#endif
