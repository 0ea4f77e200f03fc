// The lease under which one router at a time sends orders to engines.
#ifndef MIMOSADALE_DECIDE_ORDER_LEASE_H
#define MIMOSADALE_DECIDE_ORDER_LEASE_H

#include "base/id.h"
#include "base/units.h"

#include <cstdint>
#include <optional>

namespace mimosadale::decide {

/// The lease row as read from the store.
struct LeaseRow {
  std::uint64_t m_Version = 0; // 0: no row exists
  PeerId m_Holder;
  std::uint64_t m_UntilMs = 0; // on the store's clock
};

/// A write of the lease row, conditional on its version being
/// `m_ExpectedVersion`.
struct LeaseWrite {
  std::uint64_t m_ExpectedVersion = 0;
  std::uint64_t m_UntilMs = 0; // on the store's clock
};

/// A lease that is held only while orders are due. Its fencing number is the
/// version of its row, so that of a later holder is always higher. Other
/// routers measure its expiry on the store's clock; the holder measures it on
/// its own monotonic clock from before the read was sent, so that it stops
/// first.
///
/// \par Thread safety
/// None.
class OrderLease {
public:
  explicit OrderLease(PeerId Self) : m_Self(std::move(Self)) {}

  /// Whether the row is to be read now, given that orders are due.
  bool shouldReadRow(Instant Now) const;

  /// Processes the row as read at the store's time \p StoreMs.
  /// \param ReadSentAt when the read was sent.
  /// \returns the write that takes or renews the lease, or none while another
  /// router holds it.
  std::optional<LeaseWrite> onRowRead(const LeaseRow &Row,
                                      std::uint64_t StoreMs, Instant ReadSentAt,
                                      Instant Now);

  /// The write succeeded and gave the row \p Version.
  void onWritten(std::uint64_t Version);

  /// The read or write failed, or its answer was lost.
  void onFailed(Instant Now);

  /// An engine has seen a higher fencing number, so that this lease is void.
  void onFenced(Instant Now);

  /// The fencing number for an order sent now; none if the lease is not held or
  /// is about to expire.
  std::optional<std::uint64_t> fence(Instant Now) const;

private:
  PeerId m_Self;
  std::uint64_t m_Fence = 0;
  Instant m_HeldUntil{};    // expiry of the lease held
  Instant m_PendingUntil{}; // expiry of the lease being written
  Instant m_NextReadAt{};
};

} // namespace mimosadale::decide

#endif
