// The right to give orders to engines, held by one router at a time.
#ifndef MIMOSADALE_DECIDE_ORDER_LEASE_H
#define MIMOSADALE_DECIDE_ORDER_LEASE_H

#include "base/id.h"
#include "base/units.h"

#include <cstdint>
#include <optional>

namespace mimosadale::decide {

/// The row of the lease as it was read.
struct LeaseRow {
  std::uint64_t m_Version = 0; // 0: there is none
  PeerId m_Holder;
  std::uint64_t m_UntilMs = 0; // on the store's clock
};

/// The row to be written, under the condition that it has `m_ExpectedVersion`
/// still.
struct LeaseWrite {
  std::uint64_t m_ExpectedVersion = 0;
  std::uint64_t m_UntilMs = 0; // on the store's clock
};

/// A lease that is taken only while there are orders to give. Its fencing
/// number is the version of its row, so a later holder's is always higher; the
/// time is counted on the store's clock by others and on this router's
/// monotonic clock, from before the read, by the holder.
///
/// \par Thread safety
/// None.
class OrderLease {
public:
  explicit OrderLease(PeerId Self) : m_Self(std::move(Self)) {}

  /// Whether it is time to read the row, given that there are orders.
  bool shouldReadRow(Instant Now) const;

  /// Takes the row as read at the store's time \p StoreMs; \p Asked is when
  /// the read was sent. \returns the write that takes or renews the lease, or
  /// none while another router holds it.
  std::optional<LeaseWrite> onRowRead(const LeaseRow &Row,
                                      std::uint64_t StoreMs, Instant Asked,
                                      Instant Now);

  /// The write succeeded with this version.
  void onWritten(std::uint64_t Version);

  /// The write or the read failed, or its answer was lost.
  void onFailed(Instant Now);

  /// An engine had seen a higher fencing number: no orders under this one.
  void onFenced(Instant Now);

  /// The fencing number for an order sent now; none when the lease is not held.
  std::optional<std::uint64_t> fence(Instant Now) const;

private:
  PeerId m_Self;
  std::uint64_t m_Fence = 0;
  Instant m_Until{};   // end of the lease held
  Instant m_Pending{}; // end of the lease that is being written
  Instant m_NotBefore{};
};

} // namespace mimosadale::decide

#endif
