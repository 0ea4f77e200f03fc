// When a router that sees orders due may ask for the lease.
#ifndef MIMOSADALE_DECIDE_ORDER_TURN_H
#define MIMOSADALE_DECIDE_ORDER_TURN_H

#include "base/units.h"

#include <cstdint>
#include <optional>

namespace mimosadale::decide {

/// Routers see the same orders due, and only one can hold the lease. Each waits
/// for a pause of its own; one that sees engines take layers meanwhile knows
/// that another router gives the orders, and waits anew, so that the store is
/// asked by the holder alone while it lives.
///
/// \par Thread safety
/// None.
class LeaseBackoff {
public:
  /// Orders are due at \p Now. \param Taken rises with each change by which an
  /// engine holds other layers than none. \returns whether the wait is over.
  /// \pre `begin` was called since `end`.
  bool isOver(std::uint64_t Taken, Instant Now);

  /// Whether a wait was begun.
  bool isRunning() const { return m_Since.has_value(); }

  /// Orders are due from now on; this router's pause is \p Pause.
  void begin(Duration Pause, std::uint64_t Taken, Instant Now);

  /// No order is due any more.
  void end() { m_Since.reset(); }

private:
  std::optional<Instant> m_Since; // of the last sign of another holder
  Duration m_Pause{};
  std::uint64_t m_Taken = 0;
};

} // namespace mimosadale::decide

#endif
