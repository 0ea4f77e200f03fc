#include "decide/write_batcher.h"

#include <algorithm>
#include <set>

namespace mimosadale::decide {

namespace {

// Capacity of the token bucket, as the time in which it fills.
constexpr double BurstSeconds = 0.1;

// A single lost answer is resolved by a retry of the write; only consecutive
// ones indicate an outage.
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
  const double MaxTokens = std::max(1.0, Rate * BurstSeconds);
  if (m_RefilledAt != Instant())
    m_Tokens =
        std::min(MaxTokens, m_Tokens + seconds(Now - m_RefilledAt) * Rate);
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
  std::deque<PendingWrite> Remaining;
  std::set<std::string> Keys;
  // Urgent writes first, so that a backlog of other writes does not delay them.
  std::stable_partition(
      m_Waiting.begin(), m_Waiting.end(),
      [](const PendingWrite &Write) { return Write.m_Urgent; });
  for (PendingWrite &Write : m_Waiting) {
    const bool Fits =
        Batch.size() < m_Limits.m_BatchRows && Keys.insert(Write.m_Key).second;
    if (Fits) {
      m_UrgentCount -= Write.m_Urgent ? 1 : 0;
      Batch.push_back(std::move(Write));
    } else {
      Remaining.push_back(std::move(Write));
    }
  }
  m_Waiting = std::move(Remaining);
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
  Instant SendAt = batchReady(Now)
                       ? Now
                       : m_Waiting.front().m_QueuedAt + m_Limits.m_BatchWindow;
  SendAt = std::max(SendAt, m_RefilledAt + timeToNextToken());
  return m_Down ? std::max(SendAt, m_NextAttemptAt) : SendAt;
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
