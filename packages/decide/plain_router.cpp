#include "decide/plain_router.h"

namespace mimosadale::decide {

namespace {

// Costs in requests in progress: of an endpoint in another data centre, less
// than one request so that it only decides between equals; of a distrusted one,
// more than any endpoint has; and the spread that draws among equals.
constexpr double CrossingCost = 0.5;
constexpr double SuspectCost = 1000;
constexpr double TieSpread = 0.4;

} // namespace

const FleetEndpoint *choosePlain(const Fleet &Endpoints,
                                 const ServiceId &Service,
                                 const DataCentreId &Here,
                                 const EndpointSet &Avoid, Instant Now,
                                 Random &Rng) {
  const FleetEndpoint *Best = nullptr;
  double BestCost = 0;
  std::uniform_real_distribution<double> Tie(0, TieSpread);
  for (const auto &[Id, Known] : Endpoints.all()) {
    if (Known.m_Record.m_Service != Service || Known.m_Record.m_Leaving ||
        Known.paused(Now) || Avoid.contains(Id))
      continue;
    const double Cost =
        Known.m_InFlight +
        (Known.m_Record.m_DataCentre == Here ? 0 : CrossingCost) +
        (Known.m_Suspect ? SuspectCost : 0) + Tie(Rng);
    if (!Best || Cost < BestCost) {
      Best = &Known;
      BestCost = Cost;
    }
  }
  return Best;
}

} // namespace mimosadale::decide
