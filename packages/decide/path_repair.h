// Repair of a path by replacing lost engines.
#ifndef MIMOSADALE_DECIDE_PATH_REPAIR_H
#define MIMOSADALE_DECIDE_PATH_REPAIR_H

#include "decide/chain_router.h"

namespace mimosadale::decide {

/// Which engines of a path are lost or about to leave.
struct PathState {
  bool m_FirstLost = false;    // gone, suspect, or its report is overdue
  bool m_OtherLost = false;    // another engine is lost
  bool m_OtherLeaving = false; // another engine is about to leave
  EndpointSet m_Lost;          // all engines that are lost or about to leave
};

/// The state of \p Stages according to \p Engines. Safe from any thread, like
/// all of this header.
PathState pathState(const Fleet &Engines, const Path &Stages, Instant Now);

/// Where replacement engines may be. A path that crosses data centres loads the
/// link between them with each token.
enum class RepairScope { SameDataCentre, Anywhere };

/// Returns \p Broken with its stages at \p Lost replaced by usable engines of
/// the same service that are not on the path, are not in \p Excluded and have
/// free memory for \p Tokens. Stages whose engines have released some of their
/// layers are replaced too, and may keep the layers that these engines still
/// hold. Prefers few stages and engines of low utilization. \returns an empty
/// path if the first stage, which holds the request, is lost or has released
/// layers, or if no engine is available for some layers.
Path repairPath(const Fleet &Engines, const ChainRouter &Chains,
                const Path &Broken, const EndpointSet &Lost,
                const EndpointSet &Excluded, double Tokens, RepairScope Scope,
                Instant Now);

} // namespace mimosadale::decide

#endif
