#include "decide/tiling.h"

#include <algorithm>
#include <limits>

namespace mimosadale::decide {

namespace {

struct HeldRange {
  const StagePlan *m_Held;
  unsigned m_LayerCost; // per layer used, in addition to 1 per stage
};

Path cheapestTiling(const std::vector<HeldRange> &Ranges,
                    std::uint32_t Layers) {
  constexpr unsigned Unreachable = std::numeric_limits<unsigned>::max();
  std::vector<unsigned> Costs(Layers + 1, Unreachable);
  std::vector<StagePlan> Last(Layers + 1);
  Costs[0] = 0;
  for (std::uint32_t At = 0; At < Layers; ++At) {
    if (Costs[At] == Unreachable)
      continue;
    for (const HeldRange &Range : Ranges) {
      const LayerRange Held = Range.m_Held->m_Layers;
      const std::uint32_t MaxEnd = std::min(Held.m_End, Layers);
      if (Held.m_First > At || MaxEnd <= At)
        continue;
      // A range with a cost per layer may also end at any earlier layer.
      const std::uint32_t MinEnd = Range.m_LayerCost > 0 ? At + 1 : MaxEnd;
      for (std::uint32_t End = MinEnd; End <= MaxEnd; ++End) {
        const unsigned Cost = Costs[At] + 1 + Range.m_LayerCost * (End - At);
        if (Cost >= Costs[End])
          continue;
        Costs[End] = Cost;
        Last[End] = {Range.m_Held->m_Endpoint, {At, End}};
      }
    }
  }
  Path Tiling;
  if (Costs[Layers] == Unreachable)
    return Tiling;
  for (std::uint32_t At = Layers; At > 0; At = Last[At].m_Layers.m_First)
    Tiling.push_back(Last[At]);
  std::reverse(Tiling.begin(), Tiling.end());
  return Tiling;
}

// An engine that is used on both sides of others holds their layers too. It
// runs the entire span, because engines refuse a path that contains one of them
// twice.
void mergeRepeats(Path &Stages) {
  for (std::size_t I = 0; I < Stages.size(); ++I)
    for (std::size_t J = Stages.size() - 1; J > I; --J)
      if (Stages[J].m_Endpoint == Stages[I].m_Endpoint) {
        Stages[I].m_Layers.m_End = Stages[J].m_Layers.m_End;
        Stages.erase(Stages.begin() + static_cast<std::ptrdiff_t>(I) + 1,
                     Stages.begin() + static_cast<std::ptrdiff_t>(J) + 1);
        break;
      }
}

} // namespace

Path fewestStages(const std::vector<StagePlan> &Held, std::uint32_t Layers) {
  std::vector<HeldRange> Ranges;
  Ranges.reserve(Held.size());
  for (const StagePlan &Stage : Held)
    Ranges.push_back({&Stage, 0});
  return cheapestTiling(Ranges, Layers);
}

Path fewestBorrowed(const std::vector<StagePlan> &Own,
                    const std::vector<StagePlan> &Lenders,
                    std::uint32_t Layers) {
  constexpr unsigned BorrowedLayerCost =
      100; // exceeds the number of stages of a path
  std::vector<HeldRange> Ranges;
  Ranges.reserve(Own.size() + Lenders.size());
  for (const StagePlan &Stage : Own)
    Ranges.push_back({&Stage, 0});
  for (const StagePlan &Stage : Lenders)
    Ranges.push_back({&Stage, BorrowedLayerCost});
  Path Tiling = cheapestTiling(Ranges, Layers);
  mergeRepeats(Tiling);
  return Tiling;
}

std::vector<Path> disjointTilings(std::vector<StagePlan> &Held,
                                  std::uint32_t Layers) {
  std::vector<Path> Tilings;
  while (true) {
    Path Stages = fewestStages(Held, Layers);
    if (Stages.empty())
      return Tilings;
    std::erase_if(Held, [&](const StagePlan &Stage) {
      return std::any_of(Stages.begin(), Stages.end(), [&](const auto &Used) {
        return Used.m_Endpoint == Stage.m_Endpoint;
      });
    });
    Tilings.push_back(std::move(Stages));
  }
}

} // namespace mimosadale::decide
