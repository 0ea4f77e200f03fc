// Tilings of a model's layers by the layer ranges that engines hold.
#ifndef MIMOSADALE_DECIDE_TILING_H
#define MIMOSADALE_DECIDE_TILING_H

#include "decide/path.h"

#include <vector>

namespace mimosadale::decide {

/// The tiling of [0, \p Layers) with the fewest stages, each a part of a range
/// in \p Held; empty if there is none. Safe from any thread.
Path fewestStages(const std::vector<StagePlan> &Held, std::uint32_t Layers);

/// The tiling by ranges of \p Own that borrows the fewest layers from
/// \p Lenders and uses no engine twice; empty if there is none. Safe from any
/// thread.
Path fewestBorrowed(const std::vector<StagePlan> &Own,
                    const std::vector<StagePlan> &Lenders,
                    std::uint32_t Layers);

/// Disjoint tilings, found greedily with the fewest stages each. On return,
/// \p Held contains the engines that none of them uses. Safe from any thread.
std::vector<Path> disjointTilings(std::vector<StagePlan> &Held,
                                  std::uint32_t Layers);

} // namespace mimosadale::decide

#endif
