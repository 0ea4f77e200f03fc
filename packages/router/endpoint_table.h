// The endpoint directory, guarded by a mutex.
#ifndef MIMOSADALE_ROUTER_ENDPOINT_TABLE_H
#define MIMOSADALE_ROUTER_ENDPOINT_TABLE_H

#include "base/ranked_mutex.h"
#include "decide/endpoint_directory.h"

#include <mutex>

namespace mimosadale::router {

/// Serializes access to the endpoint directory.
///
/// \par Thread safety
/// Safe from any thread; rank Endpoints.
class EndpointTable {
public:
  explicit EndpointTable(const DataCentreId &LocalDataCentre)
      : m_Directory(LocalDataCentre) {}

  /// Calls \p Callback with the directory while holding the mutex, and returns
  /// its result.
  ///
  /// \pre \p Callback does no I/O and locks no mutex of the same or an earlier
  /// rank.
  template <typename Function> auto withLock(Function &&Callback) {
    const std::lock_guard Lock(m_Mutex);
    return Callback(m_Directory);
  }

private:
  RankedMutex m_Mutex{LockRank::Endpoints};
  decide::EndpointDirectory m_Directory;
};

} // namespace mimosadale::router

#endif
