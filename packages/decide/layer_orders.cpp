#include "decide/layer_orders.h"

#include <algorithm>
#include <set>

namespace mimosadale::decide {

namespace {

// Time without a new engine after which the first layers are assigned: above
// the heartbeat interval of the registry, so that engines which start together
// are all seen.
constexpr Duration SettleTime = std::chrono::milliseconds(1500);

// Time beyond the load itself after which an accepted order without effect is
// considered failed: covers the heartbeat interval of the registry and several
// concurrent loads.
constexpr Duration OrderTimeoutSlack = std::chrono::milliseconds(2500);

// Longest time for which a reported order in progress extends the deadline:
// twice the longest order seen (docs/design/platform-results.md).
constexpr Duration MaxOrderTime = std::chrono::seconds(30);

// Age up to which a report of an order in progress is valid: three of the
// intervals at which engines with orders are asked for reports.
constexpr Duration MaxProgressReportAge = std::chrono::milliseconds(3000);

// Time for which an order whose answer was lost is assumed to be accepted.
constexpr Duration LostAnswerTimeout = std::chrono::milliseconds(1500);

// Backoff before an engine that refused an order gets another one.
constexpr Duration RefusedOrderBackoff = std::chrono::seconds(1);

// Whether the engine reports an order in progress, so that another one is of no
// use now.
bool executesOrder(const FleetEndpoint &Engine, Instant Now) {
  return Engine.m_Load && Engine.m_Load->m_OrderInProgress &&
         Now - Engine.m_LoadUpdatedAt < MaxProgressReportAge;
}

} // namespace

std::optional<bool>
LayerOrderTracker::Pending::inProgress(const FleetEndpoint &Engine) const {
  if (!Engine.m_Load || Engine.m_LoadUpdatedAt <= m_SentAt + MaxReportLag)
    return std::nullopt;
  return Engine.m_Load->m_OrderInProgress;
}

void LayerOrderTracker::update(const Fleet &Engines, Instant Now) {
  // The deadline of an order in progress is extended: its load shares the rate
  // of the weight store, and a release waits for the streams that use the
  // layers.
  for (auto *Tracked : {&m_Pending, &m_Releasing})
    for (auto &[Id, Order] : *Tracked)
      if (const FleetEndpoint *Engine = Engines.find(Id);
          Engine && Order.inProgress(*Engine) == true)
        Order.m_AbandonAt =
            std::max(Order.m_AbandonAt,
                     std::min(Engine->m_LoadUpdatedAt + OrderTimeoutSlack,
                              Order.m_SentAt + MaxOrderTime));
  std::erase_if(m_Pending, [&](const auto &Entry) {
    const FleetEndpoint *Engine = Engines.find(Entry.first);
    if (!Engine || Now > Entry.second.m_AbandonAt)
      return true;
    if (Engine->m_Record.m_Layers != Entry.second.m_Layers)
      return false;
    if (Entry.second.m_ReleasesLayers)
      m_Releasing[Entry.first] = Entry.second;
    return true;
  });
  std::erase_if(m_Releasing, [&](const auto &Entry) {
    const FleetEndpoint *Engine = Engines.find(Entry.first);
    return !Engine || Now > Entry.second.m_AbandonAt ||
           Entry.second.inProgress(*Engine) == false;
  });
  std::erase_if(m_RefusedAt, [&](const auto &Entry) {
    return Now - Entry.second > RefusedOrderBackoff;
  });
}

bool LayerOrderTracker::waitsForEngines(const Fleet &Engines,
                                        const ServiceId &Service, Instant Now) {
  std::size_t Count = 0;
  bool AnyHeld = false;
  for (const auto &[Id, Engine] : Engines.all())
    if (Engine.m_Record.m_Service == Service) {
      ++Count;
      AnyHeld |= Engine.m_Record.m_Layers.m_End > 0;
    }
  if (Count != m_EngineCount) {
    m_EngineCount = Count;
    m_EngineCountSince = Now;
  }
  return !AnyHeld && m_Pending.empty() && Now - m_EngineCountSince < SettleTime;
}

std::vector<LayerOrder> LayerOrderTracker::dueOrders(const Fleet &Engines,
                                                     const ServiceId &Service,
                                                     const EngineModel &Model,
                                                     Instant Now) {
  update(Engines, Now);
  if (waitsForEngines(Engines, Service, Now))
    return {};
  Fleet Expected = Engines;
  for (const auto &[Id, Order] : m_Pending) {
    EndpointRecord Record = Expected.find(Id)->m_Record;
    Record.m_Layers = Order.m_Layers;
    Expected.put(Record, Now);
  }
  std::vector<LayerOrder> Orders = planLayers(Expected, Service, Model);
  std::set<DataCentreId> Changing;
  for (const auto &[Id, Order] : m_Pending)
    Changing.insert(Engines.find(Id)->m_Record.m_DataCentre);
  // While orders are pending in a data centre, no engine there releases layers
  // that another one does not hold yet.
  std::erase_if(Orders, [&](LayerOrder &Order) {
    const FleetEndpoint &Engine = *Engines.find(Order.m_Engine);
    const LayerRange &Held = Engine.m_Record.m_Layers;
    Order.m_ReleasesLayers =
        Held.m_End > 0 && (Held.m_First < Order.m_Layers.m_First ||
                           Held.m_End > Order.m_Layers.m_End);
    return m_RefusedAt.contains(Order.m_Engine) ||
           m_Releasing.contains(Order.m_Engine) || executesOrder(Engine, Now) ||
           (Order.m_ReleasesLayers &&
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
  const auto It = m_Pending.find(Engine);
  if (It != m_Pending.end())
    It->second.m_AbandonAt = Now + LostAnswerTimeout;
}

void LayerOrderTracker::onRefused(const EndpointId &Engine, Instant Now) {
  m_Pending.erase(Engine);
  m_RefusedAt[Engine] = Now;
}

std::vector<EndpointId> LayerOrderTracker::awaitedEngines() const {
  std::vector<EndpointId> Awaited;
  for (const auto &[Id, Order] : m_Pending)
    Awaited.push_back(Id);
  for (const auto &[Id, Order] : m_Releasing)
    Awaited.push_back(Id);
  for (const auto &[Id, Order] : m_RefusedAt)
    Awaited.push_back(Id);
  return Awaited;
}

} // namespace mimosadale::decide
