// Which layers each engine is to hold.
#ifndef MIMOSADALE_DECIDE_LAYER_PLANNER_H
#define MIMOSADALE_DECIDE_LAYER_PLANNER_H

#include "decide/fleet.h"
#include "decide/routing.h"

#include <vector>

namespace mimosadale::decide {

/// Orders an engine to hold exactly these layers.
struct PlaceOrder {
  EndpointId m_Engine;
  LayerRange m_Layers;
};

/// Layers of [0, \p Layers) for engines of these memories, in their order: the
/// split that leaves the tightest engine the most room for requests. An empty
/// range means that the engine is not needed. Safe from any thread.
std::vector<LayerRange> splitByMemory(const std::vector<double> &MemoryMb,
                                      std::uint32_t Layers, double LayerMb);

/// Orders that bring the engines of \p Service closer to whole chains, moving
/// as little as possible:
/// - a data centre that holds nothing is split into chains over all its engines;
/// - where one that serves has lost layers, an idle engine takes the gap, or
///   else the engines beside it widen their ranges;
/// - an engine that serves never loses layers.
/// Engines that are suspect or leaving count as lost. Safe from any thread.
std::vector<PlaceOrder> planLayers(const Fleet &Engines,
                                   const ServiceId &Service,
                                   const EngineModel &Model);

} // namespace mimosadale::decide

#endif
