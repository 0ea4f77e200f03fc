// Keeps blocked marks in the platform's store.
#ifndef MIMOSADALE_FORWARD_BLOCK_STORE_H
#define MIMOSADALE_FORWARD_BLOCK_STORE_H

#include "decide/blocked_row.h"
#include "forward/forward_state.h"

#include <boost/asio/awaitable.hpp>

namespace mimosadale::forward {

/// Reads the blocked marks when the router starts, and writes them when they
/// change, so that they outlast all routers.
///
/// \par Thread safety
/// None; runs on the router's thread.
class BlockStore {
public:
  explicit BlockStore(ForwardState &State);

  /// Follows what is blocked until the router exits.
  boost::asio::awaitable<void> run();

private:
  boost::asio::awaitable<bool> compare();
  schema::BlockedMarks readRow(const platform::RowBatch &Table,
                               decide::StoreVersion &Version) const;
  schema::BlockedMarks known(Instant Now) const;

  ForwardState &m_State;
  platform::StoreClient m_Store;
  decide::BlockedRowSchedule m_Schedule;
  decide::StoreEra m_Era{}; // of the last comparison
};

} // namespace mimosadale::forward

#endif
