// Where the layers of the engines of one data centre should lie.
#ifndef MIMOSADALE_DECIDE_LAYER_BALANCE_H
#define MIMOSADALE_DECIDE_LAYER_BALANCE_H

#include "base/id.h"
#include "decide/path.h"
#include "decide/routing.h"

#include <vector>

namespace mimosadale::decide {

/// An engine and the layers that it holds or is to hold.
struct LayerHolder {
  EndpointId m_Id;
  double m_MemoryMb = 0;
  LayerRange m_Held; // empty when it holds none

  std::uint32_t layers() const { return m_Held.m_End - m_Held.m_First; }
};

/// Layers that an engine with \p MemoryMb may hold and still have some memory
/// for requests. Safe from any thread, like all of this header.
std::uint32_t mostLayers(double MemoryMb, const EngineModel &Model);

/// \p Holders with the layers that serve the most requests, reached from what
/// they hold by few changes: layers are moved, one at a time, while the layer
/// with the least memory for requests gains by it. Any engines that hold a
/// layer share its requests, so that chains need not be kept apart.
std::vector<LayerHolder> balanceLayers(std::vector<LayerHolder> Holders,
                                       const EngineModel &Model);

} // namespace mimosadale::decide

#endif
