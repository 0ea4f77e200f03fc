// Other engines for the parts of a path whose engines are lost.
#ifndef MIMOSADALE_DECIDE_PATH_REPAIR_H
#define MIMOSADALE_DECIDE_PATH_REPAIR_H

#include "decide/chain_router.h"

namespace mimosadale::decide {

/// What the engines of a path are taken for, beside usable.
struct PathState {
  bool m_FirstLost = false;    // gone, distrusted, or its report is overdue
  bool m_OtherLost = false;    // another one is
  bool m_OtherLeaving = false; // another one is about to leave
  EndpointSet m_Lost;          // all of these
};

/// The state of \p Stages as \p Engines has it. Safe from any thread, like all
/// of this header.
PathState pathState(const Fleet &Engines, const Path &Stages, Instant Now);

/// Where the other engines may be: a path that leaves its data centre loads the
/// link between data centres with each token.
enum class RepairScope { SameDataCentre, Anywhere };

/// \p Broken with the layers of its stages at \p Lost run by usable engines of
/// the same service that are not on the path yet, are not among \p Unfit and
/// have room for \p Tokens. Stages whose engines gave up layers of them since
/// are made anew too, with what those still hold. Prefers few stages and the
/// emptier engines. \returns an empty path when the first stage, which holds
/// the request, is lost or gave layers up, or when some layers have no engine.
Path repairPath(const Fleet &Engines, const ChainRouter &Chains,
                const Path &Broken, const EndpointSet &Lost,
                const EndpointSet &Unfit, double Tokens, RepairScope Reach,
                Instant Now);

} // namespace mimosadale::decide

#endif
