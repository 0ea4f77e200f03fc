#include "decide/tiling.h"

#include <algorithm>
#include <limits>

namespace mimosadale::decide {

namespace {

struct Offer {
  const StagePlan *m_Held;
  unsigned m_LayerCost; // of each layer used, beside one for the stage
};

Path cheapest(const std::vector<Offer> &Offers, std::uint32_t Layers) {
  constexpr unsigned NoPath = std::numeric_limits<unsigned>::max();
  std::vector<unsigned> Stages(Layers + 1, NoPath);
  std::vector<StagePlan> Last(Layers + 1);
  Stages[0] = 0;
  for (std::uint32_t At = 0; At < Layers; ++At) {
    if (Stages[At] == NoPath)
      continue;
    for (const Offer &Each : Offers) {
      const LayerRange Held = Each.m_Held->m_Layers;
      const std::uint32_t Most = std::min(Held.m_End, Layers);
      if (Held.m_First > At || Most <= At)
        continue;
      // What costs by the layer may also be used up to any layer before its
      // end.
      const std::uint32_t Least = Each.m_LayerCost > 0 ? At + 1 : Most;
      for (std::uint32_t End = Least; End <= Most; ++End) {
        const unsigned Cost = Stages[At] + 1 + Each.m_LayerCost * (End - At);
        if (Cost >= Stages[End])
          continue;
        Stages[End] = Cost;
        Last[End] = {Each.m_Held->m_Endpoint, {At, End}};
      }
    }
  }
  Path Found;
  if (Stages[Layers] == NoPath)
    return Found;
  for (std::uint32_t At = Layers; At > 0; At = Last[At].m_Layers.m_First)
    Found.push_back(Last[At]);
  std::reverse(Found.begin(), Found.end());
  return Found;
}

// An engine that is used on both sides of others holds their layers too: it
// runs the whole span, since engines refuse a path that comes to one of them
// twice.
void mergeRepeats(Path &Of) {
  for (std::size_t I = 0; I < Of.size(); ++I)
    for (std::size_t J = Of.size() - 1; J > I; --J)
      if (Of[J].m_Endpoint == Of[I].m_Endpoint) {
        Of[I].m_Layers.m_End = Of[J].m_Layers.m_End;
        Of.erase(Of.begin() + static_cast<std::ptrdiff_t>(I) + 1,
                 Of.begin() + static_cast<std::ptrdiff_t>(J) + 1);
        break;
      }
}

} // namespace

Path fewestStages(const std::vector<StagePlan> &Held, std::uint32_t Layers) {
  std::vector<Offer> Offers;
  Offers.reserve(Held.size());
  for (const StagePlan &Each : Held)
    Offers.push_back({&Each, 0});
  return cheapest(Offers, Layers);
}

Path fewestBorrowed(const std::vector<StagePlan> &Own,
                    const std::vector<StagePlan> &Lent, std::uint32_t Layers) {
  constexpr unsigned BorrowedLayerCost = 100; // more than a path has stages
  std::vector<Offer> Offers;
  Offers.reserve(Own.size() + Lent.size());
  for (const StagePlan &Each : Own)
    Offers.push_back({&Each, 0});
  for (const StagePlan &Each : Lent)
    Offers.push_back({&Each, BorrowedLayerCost});
  Path Found = cheapest(Offers, Layers);
  mergeRepeats(Found);
  return Found;
}

std::vector<Path> disjointTilings(std::vector<StagePlan> &Held,
                                  std::uint32_t Layers) {
  std::vector<Path> Found;
  while (true) {
    Path Stages = fewestStages(Held, Layers);
    if (Stages.empty())
      return Found;
    std::erase_if(Held, [&](const StagePlan &Each) {
      return std::any_of(Stages.begin(), Stages.end(), [&](const auto &Stage) {
        return Stage.m_Endpoint == Each.m_Endpoint;
      });
    });
    Found.push_back(std::move(Stages));
  }
}

} // namespace mimosadale::decide
