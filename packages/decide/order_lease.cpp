#include "decide/order_lease.h"

#include <algorithm>

namespace mimosadale::decide {

namespace {

// Long enough to send the orders of a data centre, short enough that a dead
// holder delays a repair only briefly.
constexpr Duration LeaseDuration = std::chrono::milliseconds(2500);

// Time before expiry at which the lease is renewed, and at which the holder
// stops sending orders.
constexpr Duration RenewMargin = std::chrono::milliseconds(1200);
constexpr Duration StopMargin = std::chrono::milliseconds(400);

// Backoff after a failed read or write.
constexpr Duration FailureBackoff = std::chrono::milliseconds(800);

// Numbers of one era stay below 2^32, and tokens below 2^53, beyond which a
// JSON number is not exact.
constexpr unsigned EraShift = 32;

std::uint64_t millis(Duration Time) {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(Time).count());
}

} // namespace

OrderFence orderFence(StoreVersion Version) {
  return OrderFence((raw(Version.era()) << EraShift) + Version.wireNumber());
}

bool OrderLease::shouldReadRow(Instant Now) const {
  return Now >= m_NextReadAt && (!m_Fence || Now + RenewMargin >= m_HeldUntil);
}

// A lease of an earlier era was taken before the store was restored, so that it
// expires within the wait.
void OrderLease::onEra(StoreEra Era, Instant Now) {
  if (m_Era && Era > *m_Era)
    m_NextReadAt = std::max(m_NextReadAt, Now + LeaseDuration);
  m_Era = std::max(m_Era.value_or(Era), Era);
}

std::optional<LeaseWrite> OrderLease::onRowRead(const LeaseRow &Row,
                                                std::uint64_t StoreMs,
                                                Instant ReadSentAt,
                                                Instant Now) {
  if (!Row.m_Version.isZero() && Row.m_Holder != m_Self &&
      Row.m_UntilMs > StoreMs) {
    m_Fence.reset();
    // A restored store may have another clock than the one that the row is of.
    m_NextReadAt = Now + std::min<Duration>(
                             std::chrono::milliseconds(Row.m_UntilMs - StoreMs),
                             LeaseDuration);
    return std::nullopt;
  }
  m_ReadEra = Row.m_Version.era();
  m_PendingUntil = ReadSentAt + LeaseDuration;
  return LeaseWrite{Row.m_Version, StoreMs + millis(LeaseDuration)};
}

bool OrderLease::onWritten(StoreVersion Version, Instant Now) {
  if (Version.era() != m_ReadEra) {
    onFailed(Now);
    return false;
  }
  m_Fence = orderFence(Version);
  m_HeldUntil = m_PendingUntil;
  return true;
}

void OrderLease::onFailed(Instant Now) { m_NextReadAt = Now + FailureBackoff; }

void OrderLease::onFenced(Instant Now) {
  m_Fence.reset();
  m_NextReadAt = Now + LeaseDuration;
}

std::optional<OrderFence> OrderLease::fence(Instant Now) const {
  if (!m_Fence || Now + StopMargin >= m_HeldUntil)
    return std::nullopt;
  return m_Fence;
}

} // namespace mimosadale::decide
