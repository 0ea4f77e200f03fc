// Brings engines to hold the layers that the plan gives them.
#ifndef MIMOSADALE_FORWARD_LAYER_CONTROL_H
#define MIMOSADALE_FORWARD_LAYER_CONTROL_H

#include "decide/layer_orders.h"
#include "decide/order_lease.h"
#include "decide/order_turn.h"
#include "forward/forward_state.h"

#include <boost/asio/awaitable.hpp>

namespace mimosadale::forward {

/// Plans, takes the lease while there is something to order, and orders.
///
/// \par Thread safety
/// None; runs in the router's thread.
class LayerControl {
public:
  explicit LayerControl(ForwardState &Shared);

  /// Runs until the router ends.
  boost::asio::awaitable<void> run();

private:
  boost::asio::awaitable<void> tick();
  boost::asio::awaitable<void> takeLease();
  boost::asio::awaitable<void> order(decide::LayerOrder Order,
                                     std::uint64_t Fence);
  const decide::ServiceInfo *engineService() const;
  Duration leasePause();

  ForwardState &m_Shared;
  decide::LayerOrderTracker m_Orders;
  decide::OrderLease m_Lease;
  const Instant m_Begun;
  unsigned m_InProgress = 0;
  decide::LeaseBackoff m_Turn;
};

} // namespace mimosadale::forward

#endif
