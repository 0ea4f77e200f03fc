#include "decide/limited_service.h"

#include <algorithm>

namespace mimosadale::decide {

std::vector<EndpointId> directEndpoints(const Fleet &Endpoints,
                                        const ServiceId &Service,
                                        const ChainRouter *Chains) {
  std::vector<EndpointId> Direct;
  if (Chains) {
    for (const Chain &Candidate : Chains->chains())
      Direct.push_back(Candidate.m_Stages.front().m_Endpoint);
    return Direct;
  }
  for (const auto &[Id, Endpoint] : Endpoints.all())
    if (Endpoint.m_Record.m_Service == Service && Endpoint.usable())
      Direct.push_back(Id);
  return Direct;
}

std::vector<EndpointId> endpointsWithoutRoom(const Fleet &Endpoints,
                                             std::vector<EndpointId> Direct,
                                             Instant Now) {
  std::erase_if(Direct, [&](const EndpointId &Id) {
    const FleetEndpoint *Endpoint = Endpoints.find(Id);
    return !Endpoint || Endpoint->admits(Now);
  });
  return Direct;
}

bool onlyLimitsRefuse(const Fleet &Endpoints,
                      const std::vector<EndpointId> &Direct,
                      const EndpointSet &Avoided, Instant Now) {
  return std::none_of(Direct.begin(), Direct.end(), [&](const EndpointId &Id) {
    const FleetEndpoint *Endpoint = Endpoints.find(Id);
    return Endpoint && Endpoint->admits(Now) && !Avoided.contains(Id);
  });
}

} // namespace mimosadale::decide
