// Orders engines to hold the layers that the plan assigns to them.
#ifndef MIMOSADALE_FORWARD_LAYER_CONTROL_H
#define MIMOSADALE_FORWARD_LAYER_CONTROL_H

#include "decide/layer_orders.h"
#include "decide/lease_backoff.h"
#include "decide/order_lease.h"
#include "forward/forward_state.h"
#include "forward/reach_exchange.h"

#include <boost/asio/awaitable.hpp>

namespace mimosadale::forward {

/// Plans layers, acquires the order lease while orders are due, and sends them.
///
/// \par Thread safety
/// None; runs on the router's thread.
class LayerControl {
public:
  LayerControl(ForwardState &State, ReachExchange &Reach);

  /// Runs until the router exits.
  boost::asio::awaitable<void> run();

private:
  boost::asio::awaitable<void> tick();
  boost::asio::awaitable<void> acquireLease();
  boost::asio::awaitable<void> sendOrder(decide::LayerOrder Order,
                                         decide::OrderFence Fence);
  const decide::ServiceInfo *engineService() const;
  Duration leaseBackoff();
  boost::asio::awaitable<bool> lossesAreInDoubt(ServiceId Service);

  ForwardState &m_State;
  ReachExchange &m_ReachExchange;
  // When other routers were last asked for a suspect engine.
  std::map<EndpointId, Instant> m_AskedAt;
  decide::LayerOrderTracker m_Orders;
  decide::OrderLease m_Lease;
  const Instant m_StartedAt;
  unsigned m_OrdersInProgress = 0;
  decide::LeaseBackoff m_LeaseBackoff;
};

} // namespace mimosadale::forward

#endif
