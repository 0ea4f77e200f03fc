// The endpoint directory behind its mutex.
#ifndef MIMOSADALE_ROUTER_ENDPOINT_TABLE_H
#define MIMOSADALE_ROUTER_ENDPOINT_TABLE_H

#include "base/ranked_mutex.h"
#include "decide/endpoint_directory.h"

#include <mutex>

namespace mimosadale::router {

/// Gives access to the endpoint directory.
///
/// \par Thread safety
/// Safe from any thread; rank Endpoints.
class EndpointTable {
public:
  explicit EndpointTable(const DataCentreId &Here) : m_Directory(Here) {}

  /// Calls \p Use with the directory while the mutex is held. \pre \p Use does
  /// no I/O and takes no mutex of the same or an earlier rank.
  template <typename Function> auto with(Function &&Use) {
    const std::lock_guard Lock(m_Mutex);
    return Use(m_Directory);
  }

private:
  RankedMutex m_Mutex{LockRank::Endpoints};
  decide::EndpointDirectory m_Directory;
};

} // namespace mimosadale::router

#endif
