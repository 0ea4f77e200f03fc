// Batches conditional writes to the table of claims into transactions.
#ifndef MIMOSADALE_DECIDE_WRITE_BATCHER_H
#define MIMOSADALE_DECIDE_WRITE_BATCHER_H

#include "base/units.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace mimosadale::decide {

/// A write that waits to be sent in a transaction.
struct PendingWrite {
  std::uint64_t m_Ticket = 0;
  std::string m_Key;
  std::uint64_t m_ExpectedVersion = 0;
  std::string m_Value;
  bool m_Urgent = false; // a caller is waiting for it
  Instant m_QueuedAt{};
};

struct BatcherLimits {
  Duration m_BatchWindow = std::chrono::milliseconds(50); // non-urgent writes
  std::size_t m_BatchRows = 64;
  double m_TransactionsPerSecond = 40; // share of this router
  std::size_t m_MaxUrgent = 1024;      // queued urgent writes
  Duration m_OutageBackoff = std::chrono::milliseconds(200);
};

/// Only one transaction is in progress at a time; writes that arrive meanwhile
/// share the next one. An urgent write is sent as soon as possible, together
/// with other queued writes; without one, writes wait until the batch window
/// ends or the batch is full. While the table is down, one transaction per
/// outage backoff is attempted and urgent writes are rejected, so that the
/// queue does not grow. The alternatives are discussed in
/// docs/design/claims.md.
///
/// \par Thread safety
/// None.
class WriteBatcher {
public:
  enum class AddResult { Queued, StoreDown, QueueFull };

  explicit WriteBatcher(BatcherLimits Limits) : m_Limits(Limits) {}

  /// Sets the share of the table's transaction rate that this router may use.
  /// \pre Greater than 0.
  void setRate(double TransactionsPerSecond);

  /// Queues a write, or returns why it was rejected.
  AddResult add(PendingWrite Write);

  /// The writes of the next transaction, at most one per key; empty if none may
  /// be sent now. Marks the transaction as in progress until `onDone`.
  std::vector<PendingWrite> takeBatch(Instant Now);

  /// When `takeBatch` may return a batch next; none while a transaction is in
  /// progress or no write is queued.
  std::optional<Instant> nextBatchAt(Instant Now) const;

  /// The transaction ended. \param Answered whether the table answered.
  void onDone(bool Answered, Instant Now);

  /// Puts writes of a failed transaction back at the head of the queue.
  void requeue(std::vector<PendingWrite> Writes);

  /// Whether the table is considered down.
  bool isDown() const { return m_Down; }

  std::size_t waiting() const { return m_Waiting.size(); }

private:
  void refill(Instant Now);
  bool batchReady(Instant Now) const;
  Duration timeToNextToken() const;

  BatcherLimits m_Limits;
  std::deque<PendingWrite> m_Waiting;
  std::size_t m_UrgentCount = 0;
  bool m_InProgress = false;
  bool m_Down = false;
  unsigned m_Unanswered = 0; // consecutive transactions
  Instant m_NextAttemptAt{};
  double m_Tokens = 1;
  Instant m_RefilledAt{};
};

} // namespace mimosadale::decide

#endif
