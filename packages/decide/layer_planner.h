// Planning of the layers that each engine holds.
#ifndef MIMOSADALE_DECIDE_LAYER_PLANNER_H
#define MIMOSADALE_DECIDE_LAYER_PLANNER_H

#include "decide/fleet.h"
#include "decide/routing.h"

#include <vector>

namespace mimosadale::decide {

/// An order to an engine to hold exactly these layers.
struct LayerOrder {
  EndpointId m_Engine;
  LayerRange m_Layers;
  bool m_ReleasesLayers = false; // some that it holds now
};

/// Splits [0, \p Layers) over engines with these memory sizes, in their order,
/// such that the engine with the least memory per layer has as much of it as
/// possible. \returns an empty vector if the layers do not fit. Safe from any
/// thread.
std::vector<LayerRange> splitByMemory(const std::vector<double> &MemoryMb,
                                      std::uint32_t Layers, double LayerMb);

/// Orders that bring the engines of \p Service closer to complete chains with
/// free memory for requests. Within a data centre:
/// - if no engine holds layers, all engines are split into chains;
/// - a gap in a chain is assigned to idle engines, else to the engines around
///   it, to the fewest that keep free memory for requests;
/// - if two neighbours of a chain hold the same layers, one releases them;
/// - an idle engine takes part of the layers of the engine with the smallest
///   free share of memory;
/// - an engine low on memory passes layers to a neighbour with more of it.
///
/// Engines that are suspect or leaving count as lost. Safe from any thread.
std::vector<LayerOrder> planLayers(const Fleet &Engines,
                                   const ServiceId &Service,
                                   const EngineModel &Model);

} // namespace mimosadale::decide

#endif
