// Other engines for the parts of a path whose engines are lost.
#ifndef MIMOSADALE_DECIDE_PATH_REPAIR_H
#define MIMOSADALE_DECIDE_PATH_REPAIR_H

#include "decide/chain_router.h"

namespace mimosadale::decide {

/// Where the other engines may be: a path that leaves its data centre loads the
/// link between data centres with each token.
enum class RepairReach { SameDataCentre, Anywhere };

/// \p Broken with the layers of its stages at \p Lost run by usable engines of
/// the same service that are not on the path yet, are not among \p Unfit and
/// have room for \p Tokens. Prefers few stages and the emptier engines.
/// \returns an empty path when the first stage is lost, which holds the
/// request, or when some layers have no engine. Safe from any thread.
Path repairPath(const Fleet &Engines, const ChainRouter &Chains,
                const Path &Broken, const EndpointSet &Lost,
                const EndpointSet &Unfit, double Tokens, RepairReach Reach);

} // namespace mimosadale::decide

#endif
