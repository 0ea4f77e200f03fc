#include "base/ranked_mutex.h"

#include <cassert>
#include <vector>

namespace mimosadale {

namespace {

// Ranks of the mutexes that the calling thread holds, in locking order.
std::vector<LockRank> &heldRanks() {
  thread_local std::vector<LockRank> HeldRanks;
  return HeldRanks;
}

} // namespace

void RankedMutex::lock() {
  auto &HeldRanks = heldRanks();
  assert((HeldRanks.empty() || HeldRanks.back() < m_Rank) && "lock order");
  m_Mutex.lock();
  HeldRanks.push_back(m_Rank);
}

void RankedMutex::unlock() {
  auto &HeldRanks = heldRanks();
  assert(!HeldRanks.empty() && HeldRanks.back() == m_Rank);
  HeldRanks.pop_back();
  m_Mutex.unlock();
}

bool holdsRankedMutex() { return !heldRanks().empty(); }

} // namespace mimosadale
