#include "decide/layer_orders.h"

#include <algorithm>

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

namespace {

using LayerCounts = std::map<DataCentreId, std::vector<int>>;

// How many usable engines hold each layer, by data centre.
LayerCounts countHolders(const Fleet &Engines, const ServiceId &Service,
                         const EngineModel &Model) {
  LayerCounts Counts;
  for (const auto &[Id, Known] : Engines.all()) {
    if (Known.m_Record.m_Service != Service)
      continue;
    std::vector<int> &Count = Counts[Known.m_Record.m_DataCentre];
    Count.resize(Model.m_Layers, 0);
    const LayerRange Held = Known.m_Record.m_Layers;
    if (Known.usable())
      for (std::uint32_t L = Held.m_First;
           L < std::min(Held.m_End, Model.m_Layers); ++L)
        ++Count[L];
  }
  return Counts;
}

// Drops orders that give up a layer which, until all orders under way are done,
// fewer engines would hold than after that.
void dropUnsafe(const Fleet &Engines, const Fleet &Expected,
                const ServiceId &Service, const EngineModel &Model,
                std::vector<PlaceOrder> &Orders) {
  LayerCounts Now = countHolders(Engines, Service, Model);
  LayerCounts Then = countHolders(Expected, Service, Model);
  const auto Each = [](LayerRange Of, LayerRange Without, auto Do) {
    for (std::uint32_t L = Of.m_First; L < Of.m_End; ++L)
      if (L < Without.m_First || L >= Without.m_End)
        Do(L);
  };
  for (const PlaceOrder &One : Orders) {
    const EndpointRecord &Record = Expected.find(One.m_Engine)->m_Record;
    std::vector<int> &Count = Then[Record.m_DataCentre];
    Each(One.m_Layers, Record.m_Layers, [&](auto L) { ++Count[L]; });
    Each(Record.m_Layers, One.m_Layers, [&](auto L) { --Count[L]; });
  }
  std::erase_if(Orders, [&](const PlaceOrder &One) {
    const EndpointRecord &Record = Engines.find(One.m_Engine)->m_Record;
    std::vector<int> &Count = Now[Record.m_DataCentre];
    const std::vector<int> &Least = Then[Record.m_DataCentre];
    // Without a whole path nothing is lost.
    if (std::find(Count.begin(), Count.end(), 0) != Count.end())
      return false;
    bool Safe = true;
    Each(Record.m_Layers, One.m_Layers, [&](auto L) {
      Safe = Safe && Count[L] - 1 >= std::max(1, Least[L]);
    });
    if (Safe)
      Each(Record.m_Layers, One.m_Layers, [&](auto L) { --Count[L]; });
    return !Safe;
  });
}

} // namespace

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
  std::erase_if(Orders, [&](const PlaceOrder &Each) {
    return m_RefusedAt.contains(Each.m_Engine) ||
           m_Pending.contains(Each.m_Engine);
  });
  dropUnsafe(Engines, Expected, Service, Model, Orders);
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
