// Which orders to engines are due, given those that are under way.
#ifndef MIMOSADALE_DECIDE_LAYER_ORDERS_H
#define MIMOSADALE_DECIDE_LAYER_ORDERS_H

#include "decide/layer_planner.h"

#include <map>
#include <optional>
#include <vector>

namespace mimosadale::decide {

/// Follows orders from the decision until the engine is seen to hold the
/// layers, and plans with those under way as if they were done.
///
/// \par Thread safety
/// None.
class LayerOrderTracker {
public:
  /// The orders to send now. Before the first engine holds layers, waits until
  /// no new engine has appeared for a while, since a chain that is split early
  /// would leave later engines without a part.
  std::vector<LayerOrder> dueOrders(const Fleet &Engines,
                                    const ServiceId &Service,
                                    const EngineModel &Model, Instant Now);

  /// \p Order was accepted, or may have been.
  void onSent(const LayerOrder &Order, const EngineModel &Model, Instant Now);

  /// The answer to an order of \p Engine was lost: if the engine does not show
  /// its effect soon, the order is planned anew.
  void onAnswerLost(const EndpointId &Engine, Instant Now);

  /// \p Engine refused an order: it is left alone for a while.
  void onRefused(const EndpointId &Engine, Instant Now);

  /// Whether layers are still to be seen that were ordered.
  bool hasPending() const { return !m_Pending.empty(); }

  /// The engines whose reports tell how far orders are. \pre None.
  std::vector<EndpointId> awaitedEngines() const;

private:
  struct Pending {
    LayerRange m_Layers;
    bool m_ReleasesLayers = false;
    Instant m_SentAt{};
    Instant m_AbandonAt{}; // then it is given up

    // The engine's own word, of after the order; none yet.
    std::optional<bool> inProgress(const FleetEndpoint &At) const;
  };

  void update(const Fleet &Engines, Instant Now);
  bool waitsForEngines(const Fleet &Engines, const ServiceId &Service,
                       Instant Now);

  std::map<EndpointId, Pending> m_Pending;
  // Engines that show their layers, and may still wait for the streams that
  // pass through what they gave up.
  std::map<EndpointId, Pending> m_Releasing;
  std::map<EndpointId, Instant> m_RefusedAt;
  std::size_t m_EngineCount = 0; // engines at the last call
  Instant m_EngineCountSince{};
};

} // namespace mimosadale::decide

#endif
