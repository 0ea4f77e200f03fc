#include "decide/tiling.h"

#include <algorithm>
#include <limits>

namespace mimosadale::decide {

namespace {

struct Offer {
  const StagePlan *m_Held;
  bool m_Parts;                                // may stop before its end
  std::function<double(std::uint32_t)> m_Cost; // of running so many layers
};

Path cheapest(const std::vector<Offer> &Offers, std::uint32_t Layers) {
  constexpr double NoPath = std::numeric_limits<double>::infinity();
  std::vector<double> Costs(Layers + 1, NoPath);
  std::vector<StagePlan> Last(Layers + 1);
  Costs[0] = 0;
  for (std::uint32_t At = 0; At < Layers; ++At) {
    if (Costs[At] == NoPath)
      continue;
    for (const Offer &Each : Offers) {
      const LayerRange Held = Each.m_Held->m_Layers;
      const std::uint32_t Most = std::min(Held.m_End, Layers);
      if (Held.m_First > At || Most <= At)
        continue;
      const std::uint32_t Least = Each.m_Parts ? At + 1 : Most;
      for (std::uint32_t End = Least; End <= Most; ++End) {
        const double Cost = Costs[At] + Each.m_Cost(End - At);
        if (Cost >= Costs[End])
          continue;
        Costs[End] = Cost;
        Last[End] = {Each.m_Held->m_Endpoint, {At, End}};
      }
    }
  }
  Path Found;
  if (Costs[Layers] == NoPath)
    return Found;
  for (std::uint32_t At = Layers; At > 0; At = Last[At].m_Layers.m_First)
    Found.push_back(Last[At]);
  std::reverse(Found.begin(), Found.end());
  return Found;
}

double oneStage(std::uint32_t) { return 1; }

// An engine that is used on both sides of others holds their layers too: it
// runs the whole span, since engines refuse a path that comes to one of them
// twice.
void joinRepeats(Path &Of) {
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
    Offers.push_back({&Each, false, oneStage});
  return cheapest(Offers, Layers);
}

Path cheapestStages(const std::vector<StagePlan> &Held, std::uint32_t Layers,
                    const StageCost &Cost) {
  std::vector<Offer> Offers;
  Offers.reserve(Held.size());
  for (const StagePlan &Each : Held)
    Offers.push_back({&Each, true, [&Each, &Cost](std::uint32_t Used) {
                        return Cost(Each.m_Endpoint, Used);
                      }});
  Path Found = cheapest(Offers, Layers);
  joinRepeats(Found);
  return Found;
}

Path fewestLent(const std::vector<StagePlan> &Own,
                const std::vector<StagePlan> &Lent, std::uint32_t Layers) {
  constexpr double LentLayer = 100; // more than a path has stages
  std::vector<Offer> Offers;
  Offers.reserve(Own.size() + Lent.size());
  for (const StagePlan &Each : Own)
    Offers.push_back({&Each, false, oneStage});
  // What costs by the layer may also be used up to any layer before its end.
  for (const StagePlan &Each : Lent)
    Offers.push_back(
        {&Each, true, [](std::uint32_t Used) { return 1 + LentLayer * Used; }});
  Path Found = cheapest(Offers, Layers);
  joinRepeats(Found);
  return Found;
}

std::vector<Path> disjointTilings(std::vector<StagePlan> &Held,
                                  std::uint32_t Layers, const StageCost &Cost) {
  std::vector<Path> Found;
  while (true) {
    Path Stages =
        Cost ? cheapestStages(Held, Layers, Cost) : fewestStages(Held, Layers);
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
