// Tilings of a model's layers by engines that hold ranges of them.
#ifndef MIMOSADALE_DECIDE_TILING_H
#define MIMOSADALE_DECIDE_TILING_H

#include "decide/path.h"

#include <vector>

namespace mimosadale::decide {

/// The tiling of [0, \p Layers) by parts of what \p Held says engines hold,
/// with the fewest stages; empty when there is none. Safe from any thread.
Path fewestStages(const std::vector<StagePlan> &Held, std::uint32_t Layers);

/// The tiling that uses the layers of \p Lent as little as it can beside those
/// of \p Own, no engine twice; empty when there is none. Safe from any thread.
Path fewestBorrowed(const std::vector<StagePlan> &Own,
                    const std::vector<StagePlan> &Lent, std::uint32_t Layers);

/// As many tilings as can be found one after the other without using an engine
/// twice. \p Held is left with the engines that none of them uses. Safe from
/// any thread.
std::vector<Path> disjointTilings(std::vector<StagePlan> &Held,
                                  std::uint32_t Layers);

} // namespace mimosadale::decide

#endif
