#include "base/ranked_mutex.h"

#include <cassert>
#include <vector>

namespace mimosadale {

namespace {

// The ranks that this thread holds, in the order taken.
std::vector<Rank> &heldRanks() {
  thread_local std::vector<Rank> Held;
  return Held;
}

} // namespace

void RankedMutex::lock() {
  auto &Held = heldRanks();
  assert((Held.empty() || Held.back() < m_Place) && "lock order");
  m_Mutex.lock();
  Held.push_back(m_Place);
}

void RankedMutex::unlock() {
  auto &Held = heldRanks();
  assert(!Held.empty() && Held.back() == m_Place);
  Held.pop_back();
  m_Mutex.unlock();
}

bool holdsRankedMutex() { return !heldRanks().empty(); }

} // namespace mimosadale
