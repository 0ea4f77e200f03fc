#include "decide/path_repair.h"

#include <algorithm>
#include <limits>
#include <optional>

namespace mimosadale::decide {

namespace {

// Costs in addition to 1 per stage: of an engine at full utilization, and of a
// hop that leaves the data centre of the path.
constexpr double UtilizationCost = 4;
constexpr double CrossDataCentreCost = 2;

// Cost of a stage at an engine that is on the path: it has already
// processed the prompt.
constexpr double ReuseCost = 0.5;

struct Candidate {
  EndpointId m_Engine;
  LayerRange m_Held;
  double m_FreeTokens; // tokens times layers
  double m_Cost;       // of a stage at this engine
};

bool containsEngine(const Path &Stages, const EndpointId &Engine) {
  return std::any_of(Stages.begin(), Stages.end(), [&](const StagePlan &Stage) {
    return Stage.m_Endpoint == Engine;
  });
}

std::vector<Candidate> findCandidates(const Fleet &Engines,
                                      const ChainRouter &Chains,
                                      const Path &Broken,
                                      const EndpointSet &Excluded,
                                      RepairScope Scope, Instant Now) {
  const FleetEndpoint *First = Engines.find(Broken.front().m_Endpoint);
  std::vector<Candidate> Candidates;
  for (const auto &[Id, Engine] : Engines.all()) {
    const EndpointRecord &Record = Engine.m_Record;
    const bool OnPath = containsEngine(Broken, Id);
    if (OnPath || Excluded.contains(Id) || !Engine.usable() || Engine.slow() ||
        Engine.m_Refusing || Engine.reportOverdue(Now) || Engine.paused(Now) ||
        Record.m_Service != First->m_Record.m_Service ||
        Record.m_Layers.m_First >= Record.m_Layers.m_End)
      continue;
    const double Utilization = Chains.expectedUtilization(Engines, Engine, Now);
    if (Utilization >= 1)
      continue;
    const bool Crosses = Record.m_DataCentre != First->m_Record.m_DataCentre;
    if (Crosses && Scope == RepairScope::SameDataCentre)
      continue;
    Candidates.push_back({Id, Record.m_Layers,
                          (1 - Utilization) * Chains.memoryCapacity(Engine),
                          1 + UtilizationCost * Utilization +
                              (Crosses ? CrossDataCentreCost : 0)});
  }
  return Candidates;
}

// The cheapest cover of \p Gap; empty if there is none. No engine is used
// twice: continuing at an engine is always cheaper than using another one in
// between.
Path cover(LayerRange Gap, const std::vector<Candidate> &Candidates,
           double Tokens) {
  constexpr double NoPath = std::numeric_limits<double>::max();
  const std::uint32_t Length = Gap.m_End - Gap.m_First;
  std::vector<double> Cost(Length + 1, NoPath);
  std::vector<StagePlan> Last(Length + 1);
  Cost[0] = 0;
  for (std::uint32_t From = Gap.m_First; From < Gap.m_End; ++From) {
    if (Cost[From - Gap.m_First] == NoPath)
      continue;
    for (const Candidate &Option : Candidates) {
      if (Option.m_Held.m_First > From || Option.m_Held.m_End <= From)
        continue;
      const std::uint32_t End = std::min(Option.m_Held.m_End, Gap.m_End);
      const double Sum = Cost[From - Gap.m_First] + Option.m_Cost;
      if (Option.m_FreeTokens < Tokens * (End - From) ||
          Sum >= Cost[End - Gap.m_First])
        continue;
      Cost[End - Gap.m_First] = Sum;
      Last[End - Gap.m_First] = {Option.m_Engine, {From, End}};
    }
  }
  Path Cover;
  if (Cost[Length] == NoPath)
    return Cover;
  for (std::uint32_t At = Gap.m_End; At > Gap.m_First;
       At = Cover.back().m_Layers.m_First)
    Cover.push_back(Last[At - Gap.m_First]);
  std::reverse(Cover.begin(), Cover.end());
  return Cover;
}

bool holds(const FleetEndpoint &Engine, LayerRange Part) {
  const LayerRange &Held = Engine.m_Record.m_Layers;
  return Held.m_First <= Part.m_First && Part.m_End <= Held.m_End;
}

// An engine of the path that has since released layers of its stage. Requests
// in progress may still use these layers, new paths may not. The engine keeps
// the layers that it still holds.
std::optional<Candidate> reuseCandidate(const FleetEndpoint &Engine,
                                        double Tokens) {
  const LayerRange &Held = Engine.m_Record.m_Layers;
  if (Held.m_First >= Held.m_End)
    return std::nullopt;
  return Candidate{Engine.m_Record.m_Id, Held,
                   Tokens * (Held.m_End - Held.m_First), ReuseCost};
}

} // namespace

PathState pathState(const Fleet &Engines, const Path &Stages, Instant Now) {
  PathState State;
  for (const StagePlan &Stage : Stages) {
    const FleetEndpoint *Engine = Engines.find(Stage.m_Endpoint);
    const bool Lost =
        !Engine || Engine->m_Suspect || Engine->reportOverdue(Now);
    const bool Leaving = !Lost && Engine->m_LeavingGraceOver;
    if (Lost || Leaving)
      State.m_Lost.insert(Stage.m_Endpoint);
    if (&Stage == &Stages.front()) {
      State.m_FirstLost = Lost;
      continue;
    }
    State.m_OtherLost |= Lost;
    State.m_OtherLeaving |= Leaving;
  }
  return State;
}

Path repairPath(const Fleet &Engines, const ChainRouter &Chains,
                const Path &Broken, const EndpointSet &Lost,
                const EndpointSet &Excluded, double Tokens, RepairScope Scope,
                Instant Now) {
  if (Broken.empty() || Lost.contains(Broken.front().m_Endpoint))
    return {};
  // The first engine receives the repair order.
  const FleetEndpoint *First = Engines.find(Broken.front().m_Endpoint);
  if (!First || First->paused(Now))
    return {};
  std::vector<Candidate> Candidates =
      findCandidates(Engines, Chains, Broken, Excluded, Scope, Now);
  if (!holds(*First, Broken.front().m_Layers))
    return {}; // the first stage must not change
  Path Repaired;
  LayerRange Gap;
  // Covers the gap since the last stage that is kept.
  const auto CoverGap = [&] {
    const Path Replacement = cover(Gap, Candidates, Tokens);
    for (const StagePlan &Substitute : Replacement) {
      Repaired.push_back(Substitute);
      std::erase_if(Candidates, [&](const Candidate &Used) {
        return Used.m_Engine == Substitute.m_Endpoint;
      });
    }
    const bool Covered = Gap.m_First == Gap.m_End || !Replacement.empty();
    Gap.m_First = Gap.m_End;
    return Covered;
  };
  for (const StagePlan &Stage : Broken) {
    const FleetEndpoint *Engine = Engines.find(Stage.m_Endpoint);
    const bool IsLost = Lost.contains(Stage.m_Endpoint) || !Engine;
    if (!IsLost && holds(*Engine, Stage.m_Layers)) {
      if (!CoverGap())
        return {};
      Repaired.push_back(Stage);
      Gap = {Stage.m_Layers.m_End, Stage.m_Layers.m_End};
      continue;
    }
    Gap.m_End = Stage.m_Layers.m_End;
    if (!IsLost)
      if (const auto Reused = reuseCandidate(*Engine, Tokens))
        Candidates.push_back(*Reused);
  }
  if (!CoverGap())
    return {};
  return Repaired.size() <= MaxPathStages ? Repaired : Path();
}

} // namespace mimosadale::decide
