// A mutex that checks the global lock order in debug builds.
#ifndef MIMOSADALE_BASE_RANKED_MUTEX_H
#define MIMOSADALE_BASE_RANKED_MUTEX_H

#include <mutex>

namespace mimosadale {

/// The lock order of the shared tables. A thread locks their mutexes in the
/// order of this list only and holds none of them during I/O.
enum class LockRank { Configuration = 1, Peers, Endpoints, Requests };

/// A mutex with a rank in the lock order, which debug builds assert.
///
/// \par Thread safety
/// Safe from any thread.
class RankedMutex {
public:
  explicit RankedMutex(LockRank Rank) : m_Rank(Rank) {}

  /// \pre The calling thread holds no mutex of the same or a later rank;
  /// asserted in debug builds.
  void lock();

  /// \pre This is the ranked mutex that the calling thread locked last;
  /// asserted in debug builds.
  void unlock();

private:
  std::mutex m_Mutex;
  LockRank m_Rank;
};

/// Whether the calling thread holds any ranked mutex. Asserted to be false
/// before I/O. Safe from any thread.
bool holdsRankedMutex();

} // namespace mimosadale

#endif
