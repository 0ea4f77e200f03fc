// Which layers each engine is to hold.
#ifndef MIMOSADALE_DECIDE_LAYER_PLANNER_H
#define MIMOSADALE_DECIDE_LAYER_PLANNER_H

#include "decide/fleet.h"
#include "decide/routing.h"

#include <vector>

namespace mimosadale::decide {

/// Orders an engine to hold exactly these layers.
struct LayerOrder {
  EndpointId m_Engine;
  LayerRange m_Layers;
  bool m_ReleasesLayers = false; // some of what it holds
};

/// Layers of [0, \p Layers) for engines of these memories, in their order: the
/// split that leaves the tightest engine the most room for requests; empty when
/// they do not fit. Safe from any thread.
std::vector<LayerRange> splitByMemory(const std::vector<double> &MemoryMb,
                                      std::uint32_t Layers, double LayerMb);

/// Orders that bring the engines of \p Service closer to whole chains with room
/// for requests. Within a data centre:
/// - where nothing is held, all engines are split into chains;
/// - a gap in a chain goes to idle engines, else to the engines around it, as
///   few of them as leave room for requests;
/// - where two neighbours of a chain hold the same layers, one gives them up;
/// - an idle engine takes half of the layers of the tightest one;
/// - a tight engine hands layers to a roomier neighbour.
/// Engines that are suspect or leaving count as lost. Safe from any thread.
std::vector<LayerOrder> planLayers(const Fleet &Engines,
                                   const ServiceId &Service,
                                   const EngineModel &Model);

} // namespace mimosadale::decide

#endif
