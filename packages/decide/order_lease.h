// The lease under which one router at a time sends orders to engines.
#ifndef MIMOSADALE_DECIDE_ORDER_LEASE_H
#define MIMOSADALE_DECIDE_ORDER_LEASE_H

#include "base/id.h"
#include "base/units.h"
#include "decide/store_version.h"

#include <cstdint>
#include <optional>

namespace mimosadale::decide {

/// Number of a lease, carried by the orders given under it. An engine refuses
/// one that is lower than another that it has seen.
enum class OrderFence : std::uint64_t {};

/// The fencing token of a lease whose row has \p Version: higher than those of
/// all earlier eras. Safe from any thread.
OrderFence orderFence(StoreVersion Version);

/// The lease row as read from the store.
struct LeaseRow {
  StoreVersion m_Version; // zero: no row exists
  PeerId m_Holder;
  std::uint64_t m_UntilMs = 0; // on the store's clock
};

/// A write of the lease row, conditional on its version being
/// `m_ExpectedVersion`.
struct LeaseWrite {
  StoreVersion m_ExpectedVersion;
  std::uint64_t m_UntilMs = 0; // on the store's clock
};

/// A lease that is held only while orders are due. Its fencing token is derived
/// from the version of its row, so that of a later holder is always higher.
/// Other routers measure its expiry on the store's clock; the holder measures
/// it on its own monotonic clock from before the read was sent, so that it
/// stops first. After the store was restored from a copy, which may lack the
/// lease in force, nobody takes it before that one has expired.
///
/// \par Thread safety
/// None.
class OrderLease {
public:
  explicit OrderLease(PeerId Self) : m_Self(std::move(Self)) {}

  /// Whether the row is to be read now, given that orders are due.
  bool shouldReadRow(Instant Now) const;

  /// An answer of the store stated \p Era.
  void onEra(StoreEra Era, Instant Now);

  /// Processes the row as read at the store's time \p StoreMs.
  /// \param ReadSentAt when the read was sent.
  /// \returns the write that takes or renews the lease, or none while another
  /// router holds it.
  std::optional<LeaseWrite> onRowRead(const LeaseRow &Row,
                                      std::uint64_t StoreMs, Instant ReadSentAt,
                                      Instant Now);

  /// The write succeeded and gave the row \p Version. If that is of another era
  /// than the row read, its condition was checked against another row, and the
  /// lease is not held. \returns whether it is held.
  bool onWritten(StoreVersion Version, Instant Now);

  /// The read or write failed, or its answer was lost.
  void onFailed(Instant Now);

  /// An engine has seen a higher fencing number, so that this lease is void.
  void onFenced(Instant Now);

  /// The fencing token for an order sent now; none if the lease is not held or
  /// is about to expire.
  std::optional<OrderFence> fence(Instant Now) const;

private:
  PeerId m_Self;
  std::optional<OrderFence> m_Fence;
  std::optional<StoreEra> m_Era; // latest one known
  StoreEra m_ReadEra{};          // of the row read last
  Instant m_HeldUntil{};         // expiry of the lease held
  Instant m_PendingUntil{};      // expiry of the lease being written
  Instant m_NextReadAt{};
};

} // namespace mimosadale::decide

#endif
