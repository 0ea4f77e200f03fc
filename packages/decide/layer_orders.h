// Tracks layer orders to engines, and computes which are due.
#ifndef MIMOSADALE_DECIDE_LAYER_ORDERS_H
#define MIMOSADALE_DECIDE_LAYER_ORDERS_H

#include "decide/layer_planner.h"

#include <map>
#include <optional>
#include <vector>

namespace mimosadale::decide {

/// Tracks each order until the engine is seen to hold the layers. Plans as if
/// pending orders were completed.
///
/// \par Thread safety
/// None.
class LayerOrderTracker {
public:
  /// The orders to send now. Before the first engine holds layers, waits until
  /// no new engine has appeared for a while: if the layers were split early,
  /// engines that start later would get none.
  std::vector<LayerOrder> dueOrders(const Fleet &Engines,
                                    const ServiceId &Service,
                                    const EngineModel &Model, Instant Now);

  /// \p Order was accepted, or may have been accepted.
  void onSent(const LayerOrder &Order, const EngineModel &Model, Instant Now);

  /// The answer to an order to \p Engine was lost. Unless its effect is seen
  /// soon, the order is planned again.
  void onAnswerLost(const EndpointId &Engine, Instant Now);

  /// \p Engine refused an order: it gets no other one for a while.
  void onRefused(const EndpointId &Engine, Instant Now);

  /// Whether some order has not taken effect yet.
  bool hasPending() const { return !m_Pending.empty(); }

  /// The engines whose reports show the progress of orders.
  std::vector<EndpointId> awaitedEngines() const;

private:
  struct Pending {
    LayerRange m_Layers;
    bool m_ReleasesLayers = false;
    Instant m_SentAt{};
    Instant m_AbandonAt{}; // when the order is considered failed

    // Whether the engine reports an order in progress; none before its first
    // report after this order.
    std::optional<bool> inProgress(const FleetEndpoint &Engine) const;
  };

  void update(const Fleet &Engines, Instant Now);
  bool waitsForEngines(const Fleet &Engines, const ServiceId &Service,
                       Instant Now);

  std::map<EndpointId, Pending> m_Pending;
  // Engines that hold the ordered layers. They may still run streams that use
  // the layers they release.
  std::map<EndpointId, Pending> m_Releasing;
  std::map<EndpointId, Instant> m_RefusedAt;
  std::size_t m_EngineCount = 0; // number of engines at the last call
  Instant m_EngineCountSince{};
};

} // namespace mimosadale::decide

#endif
