#include "decide/order_lease.h"

namespace mimosadale::decide {

namespace {

// Time for which the lease is taken: long enough to give a data centre its
// orders, short enough that a dead holder delays a repair little.
constexpr Duration LeaseDuration = std::chrono::milliseconds(2500);

// Part of the hold time left at which it is renewed, and at which the holder
// stops to order.
constexpr Duration RenewMargin = std::chrono::milliseconds(1200);
constexpr Duration StopMargin = std::chrono::milliseconds(400);

// Pause after a failed read or write.
constexpr Duration FailureBackoff = std::chrono::milliseconds(800);

std::uint64_t millis(Duration Time) {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(Time).count());
}

} // namespace

bool OrderLease::shouldReadRow(Instant Now) const {
  return Now >= m_NotBefore && (m_Fence == 0 || Now + RenewMargin >= m_Until);
}

std::optional<LeaseWrite> OrderLease::onRowRead(const LeaseRow &Row,
                                                std::uint64_t StoreMs,
                                                Instant Asked, Instant Now) {
  if (Row.m_Version != 0 && Row.m_Holder != m_Self && Row.m_UntilMs > StoreMs) {
    m_Fence = 0;
    m_NotBefore = Now + std::chrono::milliseconds(Row.m_UntilMs - StoreMs);
    return std::nullopt;
  }
  m_Pending = Asked + LeaseDuration;
  return LeaseWrite{Row.m_Version, StoreMs + millis(LeaseDuration)};
}

void OrderLease::onWritten(std::uint64_t Version) {
  m_Fence = Version;
  m_Until = m_Pending;
}

void OrderLease::onFailed(Instant Now) { m_NotBefore = Now + FailureBackoff; }

void OrderLease::onFenced(Instant Now) {
  m_Fence = 0;
  m_NotBefore = Now + LeaseDuration;
}

std::optional<std::uint64_t> OrderLease::fence(Instant Now) const {
  if (m_Fence == 0 || Now + StopMargin >= m_Until)
    return std::nullopt;
  return m_Fence;
}

} // namespace mimosadale::decide
