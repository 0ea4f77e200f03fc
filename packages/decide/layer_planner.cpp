#include "decide/layer_planner.h"

#include <algorithm>
#include <map>

namespace mimosadale::decide {

namespace {

// Part of a data centre's memory that layers may take; the rest holds requests.
constexpr double MostLayerShare = 0.62;

// Engines that one chain may have: the longest path that an engine accepts.
constexpr std::size_t MostStages = 32;

// Part of an engine's memory that a widened range leaves for requests.
constexpr double LeastRequestShare = 0.08;

struct Member {
  EndpointId m_Id;
  double m_MemoryMb = 0;
  LayerRange m_Held;

  std::uint32_t layers() const { return m_Held.m_End - m_Held.m_First; }
};

using Members = std::vector<Member>;

std::uint32_t mostLayers(const Member &Of, double LayerMb, double Reserve) {
  return static_cast<std::uint32_t>(Of.m_MemoryMb * (1 - Reserve) / LayerMb);
}

// The chains that a data centre's memory can carry with room for requests.
std::size_t chainCount(const Members &All, const EngineModel &Model) {
  double Memory = 0;
  for (const Member &Each : All)
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
std::vector<Members> deal(Members All, std::size_t Chains) {
  std::stable_sort(All.begin(), All.end(), [](const Member &A, const Member &B) {
    return A.m_MemoryMb > B.m_MemoryMb;
  });
  std::vector<Members> Dealt(Chains);
  std::vector<double> Memory(Chains, 0);
  for (const Member &Each : All) {
    const auto Least = std::min_element(Memory.begin(), Memory.end());
    *Least += Each.m_MemoryMb;
    Dealt[static_cast<std::size_t>(Least - Memory.begin())].push_back(Each);
  }
  return Dealt;
}

void planFresh(const Members &All, const EngineModel &Model,
               std::vector<PlaceOrder> &Into) {
  const std::size_t Chains = chainCount(All, Model);
  if (Chains == 0)
    return;
  for (const Members &Chain : deal(All, Chains)) {
    std::vector<double> Memory;
    for (const Member &Each : Chain)
      Memory.push_back(Each.m_MemoryMb);
    const auto Ranges = splitByMemory(Memory, Model.m_Layers, Model.m_LayerMb);
    for (std::size_t I = 0; I < Ranges.size(); ++I)
      if (Ranges[I].m_First < Ranges[I].m_End)
        Into.push_back({Chain[I].m_Id, Ranges[I]});
  }
}

// Layers that fewer than \p Wanted engines of the data centre hold.
std::vector<LayerRange> gaps(const Members &All, std::uint32_t Layers,
                             unsigned Wanted) {
  std::vector<unsigned> Holders(Layers, 0);
  for (const Member &Each : All)
    for (std::uint32_t L = Each.m_Held.m_First;
         L < std::min(Each.m_Held.m_End, Layers); ++L)
      ++Holders[L];
  std::vector<LayerRange> Found;
  for (std::uint32_t L = 0; L < Layers; ++L) {
    if (Holders[L] >= Wanted)
      continue;
    if (!Found.empty() && Found.back().m_End == L)
      Found.back().m_End = L + 1;
    else
      Found.push_back({L, L + 1});
  }
  return Found;
}

// Fills a gap with idle engines, then by widening the engines at its two ends.
void fill(LayerRange Gap, Members &All, const EngineModel &Model,
          std::map<EndpointId, LayerRange> &Changed) {
  const auto Take = [&](Member &By, LayerRange Now) {
    By.m_Held = Now;
    Changed[By.m_Id] = Now;
  };
  for (Member &Each : All) {
    if (Gap.m_First >= Gap.m_End)
      return;
    if (Each.layers() > 0)
      continue;
    const std::uint32_t Most =
        mostLayers(Each, Model.m_LayerMb, LeastRequestShare);
    const std::uint32_t End = std::min(Gap.m_End, Gap.m_First + Most);
    if (End > Gap.m_First)
      Take(Each, {Gap.m_First, End});
    Gap.m_First = std::max(End, Gap.m_First);
  }
  while (Gap.m_First < Gap.m_End) {
    Member *Best = nullptr;
    double BestRoom = 0;
    for (Member &Each : All) {
      const bool Left = Each.layers() > 0 && Each.m_Held.m_End == Gap.m_First;
      const bool Right = Each.layers() > 0 && Each.m_Held.m_First == Gap.m_End;
      if (!Left && !Right)
        continue;
      if (Each.layers() + 1 >
          mostLayers(Each, Model.m_LayerMb, LeastRequestShare))
        continue;
      const double Room = Each.m_MemoryMb / (Each.layers() + 1);
      if (Room > BestRoom) {
        BestRoom = Room;
        Best = &Each;
      }
    }
    if (!Best)
      return;
    if (Best->m_Held.m_End == Gap.m_First)
      Take(*Best, {Best->m_Held.m_First, ++Gap.m_First});
    else
      Take(*Best, {--Gap.m_End, Best->m_Held.m_End});
  }
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
  std::map<DataCentreId, Members> ByDataCentre;
  for (const auto &[Id, Known] : Engines.all()) {
    const auto Kind = Model.m_Kinds.find(Known.m_Record.m_Accelerator);
    if (Known.m_Record.m_Service == Service && Known.usable() &&
        Kind != Model.m_Kinds.end())
      ByDataCentre[Known.m_Record.m_DataCentre].push_back(
          {Id, Kind->second.m_MemoryMb, Known.m_Record.m_Layers});
  }
  std::vector<PlaceOrder> Orders;
  for (auto &[DataCentre, All] : ByDataCentre) {
    const bool Empty =
        std::all_of(All.begin(), All.end(),
                    [](const Member &Each) { return Each.layers() == 0; });
    if (Empty) {
      planFresh(All, Model, Orders);
      continue;
    }
    std::map<EndpointId, LayerRange> Changed;
    for (const LayerRange &Gap : gaps(All, Model.m_Layers, 1))
      fill(Gap, All, Model, Changed);
    for (const auto &[Id, Range] : Changed)
      Orders.push_back({Id, Range});
  }
  return Orders;
}

} // namespace mimosadale::decide
