#include "decide/order_lease.h"

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

std::uint64_t millis(Duration Time) {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(Time).count());
}

} // namespace

bool OrderLease::shouldReadRow(Instant Now) const {
  return Now >= m_NextReadAt &&
         (m_Fence == 0 || Now + RenewMargin >= m_HeldUntil);
}

std::optional<LeaseWrite> OrderLease::onRowRead(const LeaseRow &Row,
                                                std::uint64_t StoreMs,
                                                Instant ReadSentAt,
                                                Instant Now) {
  if (Row.m_Version != 0 && Row.m_Holder != m_Self && Row.m_UntilMs > StoreMs) {
    m_Fence = 0;
    m_NextReadAt = Now + std::chrono::milliseconds(Row.m_UntilMs - StoreMs);
    return std::nullopt;
  }
  m_PendingUntil = ReadSentAt + LeaseDuration;
  return LeaseWrite{Row.m_Version, StoreMs + millis(LeaseDuration)};
}

void OrderLease::onWritten(std::uint64_t Version) {
  m_Fence = Version;
  m_HeldUntil = m_PendingUntil;
}

void OrderLease::onFailed(Instant Now) { m_NextReadAt = Now + FailureBackoff; }

void OrderLease::onFenced(Instant Now) {
  m_Fence = 0;
  m_NextReadAt = Now + LeaseDuration;
}

std::optional<std::uint64_t> OrderLease::fence(Instant Now) const {
  if (m_Fence == 0 || Now + StopMargin >= m_HeldUntil)
    return std::nullopt;
  return m_Fence;
}

} // namespace mimosadale::decide
