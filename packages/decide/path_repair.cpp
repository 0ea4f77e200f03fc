#include "decide/path_repair.h"

#include <algorithm>
#include <limits>
#include <optional>

namespace mimosadale::decide {

namespace {

// Costs beside one for each stage: of an engine whose memory is all taken, and
// of a hop that leaves the path's data centre.
constexpr double UtilizationCost = 4;
constexpr double CrossDataCentreCost = 2;

// Cost of a stage at an engine that the path leads through already: it has read
// the request.
constexpr double ReuseCost = 0.5;

struct Offer {
  EndpointId m_Engine;
  LayerRange m_Held;
  double m_FreeTokens; // times layers
  double m_Cost;       // of one stage
};

bool has(const Path &Of, const EndpointId &Engine) {
  return std::any_of(Of.begin(), Of.end(), [&](const StagePlan &Each) {
    return Each.m_Endpoint == Engine;
  });
}

std::vector<Offer> findCandidates(const Fleet &Engines,
                                  const ChainRouter &Chains, const Path &Broken,
                                  const EndpointSet &Unfit, RepairScope Reach,
                                  Instant Now) {
  const FleetEndpoint *First = Engines.find(Broken.front().m_Endpoint);
  std::vector<Offer> Offers;
  for (const auto &[Id, Known] : Engines.all()) {
    const EndpointRecord &Record = Known.m_Record;
    const bool OnPath = has(Broken, Id);
    if (OnPath || Unfit.contains(Id) || !Known.usable() || Known.slow() ||
        Known.m_Refusing || Known.reportOverdue(Now) || Known.paused(Now) ||
        Record.m_Service != First->m_Record.m_Service ||
        Record.m_Layers.m_First >= Record.m_Layers.m_End)
      continue;
    const double Taken = Chains.expectedUtilization(Engines, Known, Now);
    if (Taken >= 1)
      continue;
    const bool Crosses = Record.m_DataCentre != First->m_Record.m_DataCentre;
    if (Crosses && Reach == RepairScope::SameDataCentre)
      continue;
    Offers.push_back(
        {Id, Record.m_Layers, (1 - Taken) * Chains.memoryCapacity(Known),
         1 + UtilizationCost * Taken + (Crosses ? CrossDataCentreCost : 0)});
  }
  return Offers;
}

// The cheapest cover of \p Gap; empty when there is none. An engine that could
// go on is always cheaper than one in between, so that none comes twice.
Path cover(LayerRange Gap, const std::vector<Offer> &Offers, double Tokens) {
  constexpr double NoPath = std::numeric_limits<double>::max();
  const std::uint32_t Length = Gap.m_End - Gap.m_First;
  std::vector<double> Cost(Length + 1, NoPath);
  std::vector<StagePlan> Last(Length + 1);
  Cost[0] = 0;
  for (std::uint32_t From = Gap.m_First; From < Gap.m_End; ++From) {
    if (Cost[From - Gap.m_First] == NoPath)
      continue;
    for (const Offer &Each : Offers) {
      if (Each.m_Held.m_First > From || Each.m_Held.m_End <= From)
        continue;
      const std::uint32_t End = std::min(Each.m_Held.m_End, Gap.m_End);
      const double Sum = Cost[From - Gap.m_First] + Each.m_Cost;
      if (Each.m_FreeTokens < Tokens * (End - From) ||
          Sum >= Cost[End - Gap.m_First])
        continue;
      Cost[End - Gap.m_First] = Sum;
      Last[End - Gap.m_First] = {Each.m_Engine, {From, End}};
    }
  }
  Path Found;
  if (Cost[Length] == NoPath)
    return Found;
  for (std::uint32_t At = Gap.m_End; At > Gap.m_First;
       At = Found.back().m_Layers.m_First)
    Found.push_back(Last[At - Gap.m_First]);
  std::reverse(Found.begin(), Found.end());
  return Found;
}

bool holds(const FleetEndpoint &Engine, LayerRange Part) {
  const LayerRange &Held = Engine.m_Record.m_Layers;
  return Held.m_First <= Part.m_First && Part.m_End <= Held.m_End;
}

// An engine of the path that gave up layers of its part since: what passes goes
// on, but no new path may lead through them. With what it still holds, it goes
// on as before.
std::optional<Offer> reuseCandidate(const FleetEndpoint &Engine,
                                    double Tokens) {
  const LayerRange &Held = Engine.m_Record.m_Layers;
  if (Held.m_First >= Held.m_End)
    return std::nullopt;
  return Offer{Engine.m_Record.m_Id, Held, Tokens * (Held.m_End - Held.m_First),
               ReuseCost};
}

} // namespace

PathState pathState(const Fleet &Engines, const Path &Stages, Instant Now) {
  PathState Of;
  for (const StagePlan &Each : Stages) {
    const FleetEndpoint *Known = Engines.find(Each.m_Endpoint);
    const bool Lost = !Known || Known->m_Suspect || Known->reportOverdue(Now);
    const bool Leaves = !Lost && Known->m_LeavingGraceOver;
    if (Lost || Leaves)
      Of.m_Lost.insert(Each.m_Endpoint);
    if (&Each == &Stages.front()) {
      Of.m_FirstLost = Lost;
      continue;
    }
    Of.m_OtherLost |= Lost;
    Of.m_OtherLeaving |= Leaves;
  }
  return Of;
}

Path repairPath(const Fleet &Engines, const ChainRouter &Chains,
                const Path &Broken, const EndpointSet &Lost,
                const EndpointSet &Unfit, double Tokens, RepairScope Reach,
                Instant Now) {
  if (Broken.empty() || Lost.contains(Broken.front().m_Endpoint))
    return {};
  // The order goes to the first engine.
  const FleetEndpoint *First = Engines.find(Broken.front().m_Endpoint);
  if (!First || First->paused(Now))
    return {};
  std::vector<Offer> Offers =
      findCandidates(Engines, Chains, Broken, Unfit, Reach, Now);
  if (!holds(*First, Broken.front().m_Layers))
    return {}; // its part must stay as it is
  Path Whole;
  LayerRange Gap;
  // Covers the stages since the last one that stays.
  const auto Close = [&] {
    const Path Instead = cover(Gap, Offers, Tokens);
    for (const StagePlan &One : Instead) {
      Whole.push_back(One);
      std::erase_if(Offers, [&](const Offer &Used) {
        return Used.m_Engine == One.m_Endpoint;
      });
    }
    const bool Covered = Gap.m_First == Gap.m_End || !Instead.empty();
    Gap.m_First = Gap.m_End;
    return Covered;
  };
  for (const StagePlan &Each : Broken) {
    const FleetEndpoint *Known = Engines.find(Each.m_Endpoint);
    const bool Gone = Lost.contains(Each.m_Endpoint) || !Known;
    if (!Gone && holds(*Known, Each.m_Layers)) {
      if (!Close())
        return {};
      Whole.push_back(Each);
      Gap = {Each.m_Layers.m_End, Each.m_Layers.m_End};
      continue;
    }
    Gap.m_End = Each.m_Layers.m_End;
    if (!Gone)
      if (const auto Own = reuseCandidate(*Known, Tokens))
        Offers.push_back(*Own);
  }
  if (!Close())
    return {};
  return Whole.size() <= MaxPathStages ? Whole : Path();
}

} // namespace mimosadale::decide
