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
constexpr Duration OrderTimeoutSlack = std::chrono::milliseconds(2500);

// Longest time for which an engine's word that it works on an order is taken:
// twice the longest that an order was measured to take
// (docs/design/platform-results.md).
constexpr Duration MaxOrderTime = std::chrono::seconds(30);

// Age up to which a report that an order is in progress holds: three of the
// intervals at which engines that are ordered are asked.
constexpr Duration MaxProgressReportAge = std::chrono::milliseconds(3000);

// Time for which an order without an answer is taken as accepted.
constexpr Duration LostAnswerTimeout = std::chrono::milliseconds(1500);

// Pause before an engine that refused an order gets another one.
constexpr Duration RefusedOrderBackoff = std::chrono::seconds(1);

// Whether another order can be of no use now: one is in progress, by the
// engine's own word.
bool executesOrder(const FleetEndpoint &Of, Instant Now) {
  return Of.m_Load && Of.m_Load->m_OrderInProgress &&
         Now - Of.m_LoadAt < MaxProgressReportAge;
}

} // namespace

std::optional<bool>
LayerOrderTracker::Pending::inProgress(const FleetEndpoint &At) const {
  if (!At.m_Load || At.m_LoadAt <= m_SentAt + MaxReportLag)
    return std::nullopt;
  return At.m_Load->m_OrderInProgress;
}

void LayerOrderTracker::update(const Fleet &Engines, Instant Now) {
  // An engine that is still at it is not given up: its load shares the rate of
  // the weight store, and what it gives up waits for the streams that pass.
  for (auto *Orders : {&m_Pending, &m_Releasing})
    for (auto &[Id, Each] : *Orders)
      if (const FleetEndpoint *Known = Engines.find(Id);
          Known && Each.inProgress(*Known) == true)
        Each.m_AbandonAt = std::max(
            Each.m_AbandonAt, std::min(Known->m_LoadAt + OrderTimeoutSlack,
                                       Each.m_SentAt + MaxOrderTime));
  std::erase_if(m_Pending, [&](const auto &Each) {
    const FleetEndpoint *Known = Engines.find(Each.first);
    if (!Known || Now > Each.second.m_AbandonAt)
      return true;
    if (Known->m_Record.m_Layers != Each.second.m_Layers)
      return false;
    if (Each.second.m_ReleasesLayers)
      m_Releasing[Each.first] = Each.second;
    return true;
  });
  std::erase_if(m_Releasing, [&](const auto &Each) {
    const FleetEndpoint *Known = Engines.find(Each.first);
    return !Known || Now > Each.second.m_AbandonAt ||
           Each.second.inProgress(*Known) == false;
  });
  std::erase_if(m_RefusedAt, [&](const auto &Each) {
    return Now - Each.second > RefusedOrderBackoff;
  });
}

bool LayerOrderTracker::waitsForEngines(const Fleet &Engines,
                                        const ServiceId &Service, Instant Now) {
  std::size_t Count = 0;
  bool Held = false;
  for (const auto &[Id, Known] : Engines.all())
    if (Known.m_Record.m_Service == Service) {
      ++Count;
      Held |= Known.m_Record.m_Layers.m_End > 0;
    }
  if (Count != m_EngineCount) {
    m_EngineCount = Count;
    m_EngineCountSince = Now;
  }
  return !Held && m_Pending.empty() && Now - m_EngineCountSince < SettleTime;
}

std::vector<LayerOrder> LayerOrderTracker::dueOrders(const Fleet &Engines,
                                                     const ServiceId &Service,
                                                     const EngineModel &Model,
                                                     Instant Now) {
  update(Engines, Now);
  if (waitsForEngines(Engines, Service, Now))
    return {};
  Fleet Expected = Engines;
  for (const auto &[Id, Each] : m_Pending) {
    EndpointRecord Record = Expected.find(Id)->m_Record;
    Record.m_Layers = Each.m_Layers;
    Expected.put(Record, Now);
  }
  std::vector<LayerOrder> Orders = planLayers(Expected, Service, Model);
  std::set<DataCentreId> Changing;
  for (const auto &[Id, Each] : m_Pending)
    Changing.insert(Engines.find(Id)->m_Record.m_DataCentre);
  // While a data centre changes, no engine gives up what another only is about
  // to hold.
  std::erase_if(Orders, [&](LayerOrder &Each) {
    const FleetEndpoint &Engine = *Engines.find(Each.m_Engine);
    const LayerRange &Held = Engine.m_Record.m_Layers;
    Each.m_ReleasesLayers =
        Held.m_End > 0 && (Held.m_First < Each.m_Layers.m_First ||
                           Held.m_End > Each.m_Layers.m_End);
    return m_RefusedAt.contains(Each.m_Engine) ||
           m_Releasing.contains(Each.m_Engine) || executesOrder(Engine, Now) ||
           (Each.m_ReleasesLayers &&
            Changing.contains(Engine.m_Record.m_DataCentre));
  });
  return Orders;
}

void LayerOrderTracker::onSent(const LayerOrder &Order,
                               const EngineModel &Model, Instant Now) {
  const double Share =
      static_cast<double>(Order.m_Layers.m_End - Order.m_Layers.m_First) /
      Model.m_Layers;
  m_Pending[Order.m_Engine] = {Order.m_Layers, Order.m_ReleasesLayers, Now,
                               Now + OrderTimeoutSlack +
                                   fromSeconds(Model.m_LoadSeconds * Share)};
}

void LayerOrderTracker::onAnswerLost(const EndpointId &Engine, Instant Now) {
  const auto Found = m_Pending.find(Engine);
  if (Found != m_Pending.end())
    Found->second.m_AbandonAt = Now + LostAnswerTimeout;
}

void LayerOrderTracker::onRefused(const EndpointId &Engine, Instant Now) {
  m_Pending.erase(Engine);
  m_RefusedAt[Engine] = Now;
}

std::vector<EndpointId> LayerOrderTracker::awaitedEngines() const {
  std::vector<EndpointId> All;
  for (const auto &[Id, Each] : m_Pending)
    All.push_back(Id);
  for (const auto &[Id, Each] : m_Releasing)
    All.push_back(Id);
  for (const auto &[Id, Each] : m_RefusedAt)
    All.push_back(Id);
  return All;
}

} // namespace mimosadale::decide
