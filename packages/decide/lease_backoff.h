// Backoff of a router before it asks for the order lease.
#ifndef MIMOSADALE_DECIDE_LEASE_BACKOFF_H
#define MIMOSADALE_DECIDE_LEASE_BACKOFF_H

#include "base/units.h"

#include <cstdint>
#include <optional>

namespace mimosadale::decide {

/// All routers compute the same orders, but only one can hold the lease. Each
/// waits for its own backoff before it asks for the lease. If it sees engines
/// change their layers meanwhile, another router is sending orders, and the
/// backoff restarts. So only the holder accesses the store while it is alive.
///
/// \par Thread safety
/// None.
class LeaseBackoff {
public:
  /// Orders are still due at \p Now. \param LayerChanges see
  /// `Fleet::layerChanges`. \returns whether the backoff has elapsed.
  /// \pre `begin` was called since `end`.
  bool isOver(std::uint64_t LayerChanges, Instant Now);

  bool isRunning() const { return m_Since.has_value(); }

  /// Orders became due: starts the backoff of this router, \p Backoff.
  void begin(Duration Backoff, std::uint64_t LayerChanges, Instant Now);

  /// Orders are no longer due.
  void end() { m_Since.reset(); }

private:
  std::optional<Instant> m_Since; // start, or last sign of another holder
  Duration m_Backoff{};
  std::uint64_t m_LayerChanges = 0;
};

} // namespace mimosadale::decide

#endif
