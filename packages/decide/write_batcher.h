// Gathers conditional writes of the table into transactions.
#ifndef MIMOSADALE_DECIDE_WRITE_BATCHER_H
#define MIMOSADALE_DECIDE_WRITE_BATCHER_H

#include "base/units.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace mimosadale::decide {

/// A write that waits for its transaction.
struct PendingWrite {
  std::uint64_t m_Ticket = 0;
  std::string m_Key;
  std::uint64_t m_ExpectedVersion = 0;
  std::string m_Value;
  bool m_Urgent = false; // a caller waits for it
  Instant m_QueuedAt{};
};

struct BatcherLimits {
  Duration m_BatchWindow =
      std::chrono::milliseconds(50); // for writes not urgent
  std::size_t m_BatchRows = 64;
  double m_TransactionsPerSecond = 40; // this router's share
  std::size_t m_MaxUrgent = 1024;      // urgent writes that may wait
  Duration m_OutageBackoff = std::chrono::milliseconds(200);
};

/// One transaction is in progress at a time, and writes that arrive meanwhile
/// share the next one. Urgent writes go as soon as they can and carry along
/// whatever else waits; the rest waits for company. While the table is down one
/// transaction is tried in a while and urgent writes are turned away, so that
/// nothing piles up. The ways weighed are in docs/design/claims.md.
///
/// \par Thread safety
/// None.
class WriteBatcher {
public:
  enum class AddResult { Queued, StoreDown, QueueFull };

  explicit WriteBatcher(BatcherLimits Limits) : m_Limits(Limits) {}

  /// Sets this router's share of the table's writes. \pre Greater than 0.
  void setRate(double TransactionsPerSecond);

  /// Takes a write, or says why not.
  AddResult add(PendingWrite Write);

  /// The next transaction, if one may be sent now: never two writes of a key.
  std::vector<PendingWrite> takeBatch(Instant Now);

  /// When `takeBatch` could next give something; none while a transaction is in
  /// progress or nothing waits.
  std::optional<Instant> nextBatchAt(Instant Now) const;

  /// The transaction ended. \param Answered whether the table gave an answer.
  void onDone(bool Answered, Instant Now);

  /// Puts writes of a failed transaction back in front.
  void requeue(std::vector<PendingWrite> Writes);

  /// Whether the table is taken to be down.
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
  unsigned m_Unanswered = 0; // transactions in a row
  Instant m_NextAttemptAt{};
  double m_Tokens = 1;
  Instant m_RefilledAt{};
};

} // namespace mimosadale::decide

#endif
