// Choice of an endpoint of a service that needs no chain.
#ifndef MIMOSADALE_DECIDE_PLAIN_ROUTER_H
#define MIMOSADALE_DECIDE_PLAIN_ROUTER_H

#include "decide/fleet.h"
#include "decide/path_chooser.h"

namespace mimosadale::decide {

/// The endpoint of \p Service with the fewest requests of this router that does
/// not leave, asked for no pause and is not among \p Avoid; one of data centre
/// \p Here where two are alike, a distrusted one only if there is no other.
/// Null if there is none. Safe from any thread.
const FleetEndpoint *choosePlainEndpoint(const Fleet &Endpoints,
                                         const ServiceId &Service,
                                         const DataCentreId &Here,
                                         const EndpointSet &Avoid, Instant Now,
                                         Random &Rng);

} // namespace mimosadale::decide

#endif
