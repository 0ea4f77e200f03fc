#include "decide/plain_router.h"

namespace mimosadale::decide {

namespace {

// Costs in requests in flight. Another data centre costs less than one request,
// so that it decides only between equals; a suspicion costs more than the
// requests of any endpoint. The random tie-breaker is less than both.
constexpr double RemoteCost = 0.5;
constexpr double SuspectCost = 1000;
constexpr double MaxTieBreak = 0.4;

} // namespace

const FleetEndpoint *choosePlainEndpoint(const Fleet &Endpoints,
                                         const ServiceId &Service,
                                         const DataCentreId &LocalDataCentre,
                                         const EndpointSet &Avoid, Instant Now,
                                         Random &Rng) {
  const FleetEndpoint *Best = nullptr;
  double BestCost = 0;
  std::uniform_real_distribution<double> TieBreak(0, MaxTieBreak);
  for (const auto &[Id, Endpoint] : Endpoints.all()) {
    if (Endpoint.m_Record.m_Service != Service || Endpoint.m_Record.m_Leaving ||
        Endpoint.paused(Now) || !Endpoint.admits(Now) || Avoid.contains(Id))
      continue;
    const double Cost =
        Endpoint.m_InFlight +
        (Endpoint.m_Record.m_DataCentre == LocalDataCentre ? 0 : RemoteCost) +
        (Endpoint.m_Suspect ? SuspectCost : 0) + TieBreak(Rng);
    if (!Best || Cost < BestCost) {
      Best = &Endpoint;
      BestCost = Cost;
    }
  }
  return Best;
}

} // namespace mimosadale::decide
