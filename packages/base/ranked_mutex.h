// A mutex that knows its place in the lock order.
#ifndef MIMOSADALE_BASE_RANKED_MUTEX_H
#define MIMOSADALE_BASE_RANKED_MUTEX_H

#include <mutex>

namespace mimosadale {

/// The one lock order of the shared tables. A thread takes them downwards in
/// this list only, and holds none of them across I/O.
enum class LockRank { Configuration = 1, Peers, Endpoints, Requests };

/// A mutex whose lock order is asserted in debug builds.
///
/// \par Thread safety
/// Safe from any thread.
class RankedMutex {
public:
  explicit RankedMutex(LockRank Rank) : m_Rank(Rank) {}

  /// Locks. \pre The thread holds no mutex of the same or a later rank;
  /// asserted in debug builds.
  void lock();

  /// Unlocks. \pre The thread holds it, and took it last.
  void unlock();

private:
  std::mutex m_Mutex;
  LockRank m_Rank;
};

/// Whether the calling thread holds any ranked mutex: asserted before I/O.
bool holdsRankedMutex();

} // namespace mimosadale

#endif
