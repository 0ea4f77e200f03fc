#include "decide/write_batcher.h"

#include <algorithm>
#include <set>

namespace mimosadale::decide {

namespace {

// Transactions that may be sent at once after a quiet time, in seconds of the
// rate.
constexpr double BurstSeconds = 0.1;

// One lost answer is settled by writing again; only more in a row are an
// outage.
constexpr unsigned UnansweredBeforeDown = 2;

} // namespace

void WriteBatcher::setRate(double TransactionsPerSecond) {
  m_Limits.m_TransactionsPerSecond = TransactionsPerSecond;
}

WriteBatcher::AddResult WriteBatcher::add(PendingWrite Write) {
  if (Write.m_Urgent && m_Down)
    return AddResult::StoreDown;
  if (Write.m_Urgent && m_UrgentCount >= m_Limits.m_MaxUrgent)
    return AddResult::QueueFull;
  m_UrgentCount += Write.m_Urgent ? 1 : 0;
  m_Waiting.push_back(std::move(Write));
  return AddResult::Queued;
}

void WriteBatcher::refill(Instant Now) {
  const double Rate = m_Limits.m_TransactionsPerSecond;
  const double Most = std::max(1.0, Rate * BurstSeconds);
  if (m_RefilledAt != Instant())
    m_Tokens = std::min(Most, m_Tokens + seconds(Now - m_RefilledAt) * Rate);
  m_RefilledAt = Now;
}

bool WriteBatcher::batchReady(Instant Now) const {
  return m_UrgentCount > 0 || m_Waiting.size() >= m_Limits.m_BatchRows ||
         Now >= m_Waiting.front().m_QueuedAt + m_Limits.m_BatchWindow;
}

std::vector<PendingWrite> WriteBatcher::takeBatch(Instant Now) {
  refill(Now);
  if (m_InProgress || m_Waiting.empty() || !batchReady(Now) || m_Tokens < 1 ||
      (m_Down && Now < m_NextAttemptAt))
    return {};
  std::vector<PendingWrite> Batch;
  std::deque<PendingWrite> Rest;
  std::set<std::string> Keys;
  // Urgent writes first, so that a backlog of others does not hold them up.
  std::stable_partition(m_Waiting.begin(), m_Waiting.end(),
                        [](const PendingWrite &Each) { return Each.m_Urgent; });
  for (PendingWrite &Each : m_Waiting) {
    const bool Fits =
        Batch.size() < m_Limits.m_BatchRows && Keys.insert(Each.m_Key).second;
    if (Fits) {
      m_UrgentCount -= Each.m_Urgent ? 1 : 0;
      Batch.push_back(std::move(Each));
    } else {
      Rest.push_back(std::move(Each));
    }
  }
  m_Waiting = std::move(Rest);
  m_Tokens -= 1;
  m_InProgress = true;
  return Batch;
}

Duration WriteBatcher::timeToNextToken() const {
  if (m_Tokens >= 1)
    return {};
  return fromSeconds((1 - m_Tokens) / m_Limits.m_TransactionsPerSecond);
}

std::optional<Instant> WriteBatcher::nextBatchAt(Instant Now) const {
  if (m_InProgress || m_Waiting.empty())
    return std::nullopt;
  Instant When = batchReady(Now)
                     ? Now
                     : m_Waiting.front().m_QueuedAt + m_Limits.m_BatchWindow;
  When = std::max(When, m_RefilledAt + timeToNextToken());
  return m_Down ? std::max(When, m_NextAttemptAt) : When;
}

void WriteBatcher::onDone(bool Answered, Instant Now) {
  m_InProgress = false;
  m_Unanswered = Answered ? 0 : m_Unanswered + 1;
  m_Down = m_Unanswered >= UnansweredBeforeDown;
  if (m_Down)
    m_NextAttemptAt = Now + m_Limits.m_OutageBackoff;
}

void WriteBatcher::requeue(std::vector<PendingWrite> Writes) {
  for (auto It = Writes.rbegin(); It != Writes.rend(); ++It) {
    m_UrgentCount += It->m_Urgent ? 1 : 0;
    m_Waiting.push_front(std::move(*It));
  }
}

} // namespace mimosadale::decide
