// Chooses an endpoint of a plain service, which needs no chain of engines.
#ifndef MIMOSADALE_DECIDE_PLAIN_ROUTER_H
#define MIMOSADALE_DECIDE_PLAIN_ROUTER_H

#include "decide/fleet.h"
#include "decide/path_chooser.h"

namespace mimosadale::decide {

/// The endpoint of \p Service with the fewest requests of this router in
/// flight, among those that are neither leaving, nor paused, nor in \p Avoid.
/// Among equals an endpoint in the data centre \p LocalDataCentre is preferred;
/// a suspect endpoint is chosen only if there is no other. Null if there is
/// none. Safe from any thread.
const FleetEndpoint *choosePlainEndpoint(const Fleet &Endpoints,
                                         const ServiceId &Service,
                                         const DataCentreId &LocalDataCentre,
                                         const EndpointSet &Avoid, Instant Now,
                                         Random &Rng);

} // namespace mimosadale::decide

#endif
