// Services whose endpoints name limits: which endpoints count, and whether
// limits alone keep a request waiting.
#ifndef MIMOSADALE_DECIDE_LIMITED_SERVICE_H
#define MIMOSADALE_DECIDE_LIMITED_SERVICE_H

#include "decide/chain_router.h"

#include <vector>

namespace mimosadale::decide {

// The functions of this header are safe from any thread.

/// The endpoints of \p Service that are sent requests directly: the first
/// engines of \p Chains, or all usable endpoints of a plain service, for which
/// \p Chains is null.
std::vector<EndpointId> directEndpoints(const Fleet &Endpoints,
                                        const ServiceId &Service,
                                        const ChainRouter *Chains);

/// Those of \p Direct whose limits leave this router no room now.
std::vector<EndpointId> endpointsWithoutRoom(const Fleet &Endpoints,
                                             std::vector<EndpointId> Direct,
                                             Instant Now);

/// Whether limits are the only reason that none of \p Direct takes a request,
/// apart from those in \p Avoided.
bool onlyLimitsRefuse(const Fleet &Endpoints,
                      const std::vector<EndpointId> &Direct,
                      const EndpointSet &Avoided, Instant Now);

} // namespace mimosadale::decide

#endif
