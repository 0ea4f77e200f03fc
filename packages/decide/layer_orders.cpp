#include "decide/layer_orders.h"

#include <algorithm>
#include <set>

namespace mimosadale::decide {

namespace {

// Time without a new engine after which the first layers are dealt: above the
// registry's heartbeat, so that engines which start together are all seen.
constexpr Duration SettleTime = std::chrono::milliseconds(1500);

// Time beyond the load itself after which an accepted order that shows no
// effect is given up: the registry's heartbeat and several loads at once.
constexpr Duration OrderSlack = std::chrono::milliseconds(2500);

// Time for which an order without an answer is taken as accepted.
constexpr Duration UnansweredTime = std::chrono::milliseconds(1500);

// Pause before an engine that refused an order gets another one.
constexpr Duration RefusedPause = std::chrono::seconds(1);

} // namespace

void LayerOrders::settle(const Fleet &Engines, Instant Now) {
  std::erase_if(m_Pending, [&](const auto &Each) {
    const FleetEndpoint *Known = Engines.find(Each.first);
    return !Known || Known->m_Record.m_Layers == Each.second.m_Layers ||
           Now > Each.second.m_Until;
  });
  std::erase_if(m_RefusedAt, [&](const auto &Each) {
    return Now - Each.second > RefusedPause;
  });
}

bool LayerOrders::waitsForEngines(const Fleet &Engines,
                                  const ServiceId &Service, Instant Now) {
  std::size_t Count = 0;
  bool Held = false;
  for (const auto &[Id, Known] : Engines.all())
    if (Known.m_Record.m_Service == Service) {
      ++Count;
      Held |= Known.m_Record.m_Layers.m_End > 0;
    }
  if (Count != m_Known) {
    m_Known = Count;
    m_KnownSince = Now;
  }
  return !Held && m_Pending.empty() && Now - m_KnownSince < SettleTime;
}

std::vector<PlaceOrder> LayerOrders::due(const Fleet &Engines,
                                         const ServiceId &Service,
                                         const EngineModel &Model,
                                         Instant Now) {
  settle(Engines, Now);
  if (waitsForEngines(Engines, Service, Now))
    return {};
  Fleet Expected = Engines;
  for (const auto &[Id, Each] : m_Pending) {
    EndpointRecord Record = Expected.find(Id)->m_Record;
    Record.m_Layers = Each.m_Layers;
    Expected.put(Record, Now);
  }
  std::vector<PlaceOrder> Orders = planLayers(Expected, Service, Model);
  std::set<DataCentreId> Changing;
  for (const auto &[Id, Each] : m_Pending)
    Changing.insert(Engines.find(Id)->m_Record.m_DataCentre);
  // While a data centre changes, no engine gives up what another only is about
  // to hold.
  std::erase_if(Orders, [&](const PlaceOrder &Each) {
    const EndpointRecord &Now = Engines.find(Each.m_Engine)->m_Record;
    const bool GivesUp = Now.m_Layers.m_First < Each.m_Layers.m_First ||
                         Now.m_Layers.m_End > Each.m_Layers.m_End;
    return m_RefusedAt.contains(Each.m_Engine) ||
           (GivesUp && Now.m_Layers.m_End > 0 &&
            Changing.contains(Now.m_DataCentre));
  });
  return Orders;
}

void LayerOrders::onSent(const PlaceOrder &Order, const EngineModel &Model,
                         Instant Now) {
  const double Share =
      static_cast<double>(Order.m_Layers.m_End - Order.m_Layers.m_First) /
      Model.m_Layers;
  m_Pending[Order.m_Engine] = {Order.m_Layers,
                               Now + OrderSlack +
                                   fromSeconds(Model.m_LoadSeconds * Share)};
}

void LayerOrders::onUnanswered(const EndpointId &Engine, Instant Now) {
  const auto Found = m_Pending.find(Engine);
  if (Found != m_Pending.end())
    Found->second.m_Until = Now + UnansweredTime;
}

void LayerOrders::onRefused(const EndpointId &Engine, Instant Now) {
  m_Pending.erase(Engine);
  m_RefusedAt[Engine] = Now;
}

} // namespace mimosadale::decide
