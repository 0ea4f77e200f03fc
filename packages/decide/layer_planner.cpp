#include "decide/layer_planner.h"

#include "decide/layer_balance.h"

#include <algorithm>
#include <map>

namespace mimosadale::decide {

namespace {

// Part of a data centre's memory that layers may take; the rest holds requests.
constexpr double MostLayerShare = 0.62;

// Engines that one chain may have: the longest path that an engine accepts.
constexpr std::size_t MostStages = 32;

// Free part of its memory that an engine keeps at least.
constexpr double LeastFree = 0.05;

using Holders = std::vector<LayerHolder>;

// The chains that a data centre's memory can carry with room for requests.
std::size_t chainCount(const Holders &All, const EngineModel &Model) {
  double Memory = 0;
  for (const LayerHolder &Each : All)
    Memory += Each.m_MemoryMb;
  const double OneChain = Model.m_Layers * Model.m_LayerMb;
  const auto ByMemory =
      static_cast<std::size_t>(Memory * MostLayerShare / OneChain);
  const std::size_t ByLength = (All.size() + MostStages - 1) / MostStages;
  if (Memory < OneChain)
    return 0;
  return std::max<std::size_t>({1, ByMemory, ByLength});
}

// Deals the engines, largest first, to the chain with the least memory.
std::vector<Holders> deal(Holders All, std::size_t Chains) {
  std::stable_sort(All.begin(), All.end(),
                   [](const LayerHolder &A, const LayerHolder &B) {
                     return A.m_MemoryMb > B.m_MemoryMb;
                   });
  std::vector<Holders> Dealt(Chains);
  std::vector<double> Memory(Chains, 0);
  for (const LayerHolder &Each : All) {
    const auto Least = std::min_element(Memory.begin(), Memory.end());
    *Least += Each.m_MemoryMb;
    Dealt[static_cast<std::size_t>(Least - Memory.begin())].push_back(Each);
  }
  return Dealt;
}

// The first layers of engines that hold none yet: whole chains, each split by
// memory.
Holders dealFresh(const Holders &All, const EngineModel &Model) {
  Holders Placed;
  if (chainCount(All, Model) == 0)
    return Placed;
  for (const Holders &Chain : deal(All, chainCount(All, Model))) {
    std::vector<double> Memory;
    for (const LayerHolder &Each : Chain)
      Memory.push_back(Each.m_MemoryMb * (1 - LeastFree));
    const auto Ranges = splitByMemory(Memory, Model.m_Layers, Model.m_LayerMb);
    for (std::size_t I = 0; I < Ranges.size(); ++I) {
      Placed.push_back(Chain[I]);
      if (Ranges[I].m_First < Ranges[I].m_End)
        Placed.back().m_Held = Ranges[I];
    }
  }
  return Placed;
}

// The next order on the way from \p Held to \p Wanted. Layers are added at
// once, but given up only when no request passes through them any more; so what
// fits is added first, and nothing is given up with it, unless no whole path is
// left (\p Broken), since then nothing passes.
LayerRange towards(LayerRange Wanted, const LayerHolder &Now, bool Broken,
                   const EngineModel &Model) {
  const LayerRange Held = Now.m_Held;
  if (Now.layers() == 0 || Wanted.m_First >= Held.m_End ||
      Held.m_First >= Wanted.m_End)
    return Wanted;
  const std::uint32_t Most = mostLayers(Now.m_MemoryMb, Model);
  LayerRange Added = Held;
  while (Added.m_End - Added.m_First < Most && Added.m_First > Wanted.m_First)
    --Added.m_First;
  while (Added.m_End - Added.m_First < Most && Added.m_End < Wanted.m_End)
    ++Added.m_End;
  if (Added != Held)
    return Added;
  if (Broken)
    return Wanted;
  return {std::max(Held.m_First, Wanted.m_First),
          std::min(Held.m_End, Wanted.m_End)};
}

std::vector<PlaceOrder> planDataCentre(const Holders &Now,
                                       const EngineModel &Model) {
  const bool Empty =
      std::all_of(Now.begin(), Now.end(),
                  [](const LayerHolder &Each) { return Each.layers() == 0; });
  std::vector<PlaceOrder> Orders;
  if (Empty) {
    for (const LayerHolder &Each : balanceLayers(dealFresh(Now, Model), Model))
      if (Each.layers() > 0)
        Orders.push_back({Each.m_Id, Each.m_Held});
    return Orders;
  }
  const Holders Wanted = balanceLayers(Now, Model);
  std::vector<bool> Held(Model.m_Layers, false);
  for (const LayerHolder &Each : Now)
    for (std::uint32_t L = Each.m_Held.m_First; L < Each.m_Held.m_End; ++L)
      Held[L] = true;
  const bool Broken = std::find(Held.begin(), Held.end(), false) != Held.end();
  for (std::size_t I = 0; I < Now.size(); ++I)
    if (Wanted[I].m_Held != Now[I].m_Held)
      Orders.push_back(
          {Now[I].m_Id, towards(Wanted[I].m_Held, Now[I], Broken, Model)});
  return Orders;
}

} // namespace

std::vector<LayerRange> splitByMemory(const std::vector<double> &MemoryMb,
                                      std::uint32_t Layers, double LayerMb) {
  std::vector<std::uint32_t> Count(MemoryMb.size(), 0);
  for (std::uint32_t L = 0; L < Layers; ++L) {
    std::size_t Best = MemoryMb.size();
    double BestRoom = 0;
    for (std::size_t I = 0; I < MemoryMb.size(); ++I) {
      if ((Count[I] + 1) * LayerMb > MemoryMb[I])
        continue;
      const double Room = MemoryMb[I] / (Count[I] + 1);
      if (Room > BestRoom) {
        BestRoom = Room;
        Best = I;
      }
    }
    if (Best == MemoryMb.size())
      return {};
    ++Count[Best];
  }
  std::vector<LayerRange> Ranges;
  std::uint32_t First = 0;
  for (const std::uint32_t Each : Count) {
    Ranges.push_back({First, First + Each});
    First += Each;
  }
  return Ranges;
}

std::vector<PlaceOrder> planLayers(const Fleet &Engines,
                                   const ServiceId &Service,
                                   const EngineModel &Model) {
  std::map<DataCentreId, Holders> ByDataCentre;
  for (const auto &[Id, Known] : Engines.all()) {
    const auto Kind = Model.m_Kinds.find(Known.m_Record.m_Accelerator);
    if (Known.m_Record.m_Service != Service || Kind == Model.m_Kinds.end() ||
        !Known.usable())
      continue;
    ByDataCentre[Known.m_Record.m_DataCentre].push_back(
        {Id, Kind->second.m_MemoryMb, Known.m_Record.m_Layers});
  }
  std::vector<PlaceOrder> Orders;
  for (const auto &[DataCentre, All] : ByDataCentre)
    for (PlaceOrder &Each : planDataCentre(All, Model))
      Orders.push_back(std::move(Each));
  return Orders;
}

} // namespace mimosadale::decide
