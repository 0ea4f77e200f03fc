#include "decide/retry_budget.h"

#include <algorithm>

namespace mimosadale::decide {

namespace {

// Fraction of the shared budget that the routers use. The rest covers retries
// forgotten in a restart and inaccuracy at the edges of windows.
constexpr double UsableFraction = 0.9;

} // namespace

RetryBudget::RetryBudget(double Fraction, double Reserve)
    : m_Fraction(Fraction), m_Reserve(Reserve), m_Remaining(Reserve) {}

void RetryBudget::onFirstAttempt() {
  m_Remaining = std::min(m_Reserve, m_Remaining + m_Fraction);
}

bool RetryBudget::tryConsume() {
  if (m_Remaining < 1)
    return false;
  m_Remaining -= 1;
  return true;
}

WindowedRetryBudget::Bucket &WindowedRetryBudget::bucketAt(Instant Now) {
  const Duration BucketLength = m_Bounds.m_Window / NumBuckets;
  const std::int64_t Index = Now.time_since_epoch() / BucketLength;
  Bucket &Entry = m_Buckets[static_cast<std::size_t>(Index) % m_Buckets.size()];
  if (Entry.m_Index != Index)
    Entry = Bucket{Index, 0, 0};
  return Entry;
}

void WindowedRetryBudget::onFirstAttempt(Instant Now) {
  ++bucketAt(Now).m_FirstAttempts;
}

bool WindowedRetryBudget::allows(Instant Now, std::size_t Routers) {
  const Bucket &Current = bucketAt(Now);
  double FirstAttempts = 0;
  double Retries = 0;
  for (const Bucket &Entry : m_Buckets) {
    if (Entry.m_Index + static_cast<std::int64_t>(NumBuckets) < Current.m_Index)
      continue;
    FirstAttempts += Entry.m_FirstAttempts;
    Retries += Entry.m_Retries;
  }
  const double Ramp =
      std::min(1.0, seconds(Now - m_StartTime) / seconds(m_Bounds.m_Window));
  const double Slack = Ramp * m_Bounds.m_Slack / static_cast<double>(Routers);
  return Retries + 1 <=
         UsableFraction * (m_Bounds.m_Fraction * FirstAttempts + Slack);
}

bool WindowedRetryBudget::tryConsume(Instant Now, std::size_t Routers) {
  if (!allows(Now, Routers))
    return false;
  ++bucketAt(Now).m_Retries;
  return true;
}

} // namespace mimosadale::decide
