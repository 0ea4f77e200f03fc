#include "decide/chain_router.h"

#include "decide/answer_rule.h"
#include "decide/tiling.h"

#include <algorithm>
#include <limits>

namespace mimosadale::decide {

namespace {

// By how much the utilization of a chain in another data centre must be lower,
// since request and answer then cross between data centres.
constexpr double CrossDataCentrePenalty = 0.05;

// Age from which a report is less accurate than an estimate from the number of
// requests on the chains: above the longest interval between reports.
constexpr Duration MaxReportAge = std::chrono::milliseconds(2500);

// Age up to which an engine's report is used to explain its refusal.
constexpr Duration RefusalReportAge = std::chrono::milliseconds(500);

// Mean share of its answer that a running request has written.
constexpr double MeanAnswerProgress = 0.5;

// A chain with gaps, completed by layers borrowed from other engines of the
// data centre; empty if it would borrow more layers than it has.
Path completeWithBorrowed(const std::vector<StagePlan> &Incomplete,
                          const std::vector<StagePlan> &All,
                          std::uint32_t Layers) {
  if (Incomplete.empty())
    return {};
  Path Stages = fewestBorrowed(Incomplete, All, Layers);
  std::uint32_t OwnLayers = 0;
  for (const StagePlan &Stage : Stages)
    for (const StagePlan &Own : Incomplete)
      if (Own.m_Endpoint == Stage.m_Endpoint)
        OwnLayers += Stage.m_Layers.m_End - Stage.m_Layers.m_First;
  if (2 * OwnLayers < Layers || Stages.size() > MaxPathStages)
    return {};
  return Stages;
}

bool usesAny(const Path &Stages, const EndpointSet &Avoid) {
  return std::any_of(Stages.begin(), Stages.end(), [&](const StagePlan &Stage) {
    return Avoid.contains(Stage.m_Endpoint);
  });
}

} // namespace

double kvCapacity(const EngineModel &Model, const std::string &Accelerator,
                  std::uint32_t Layers) {
  const auto Kind = Model.m_Kinds.find(Accelerator);
  if (Kind == Model.m_Kinds.end() || Model.m_KvBytesPerToken <= 0)
    return 0;
  const double FreeBytes =
      (Kind->second.m_MemoryMb - Layers * Model.m_LayerMb) * 1e6;
  return FreeBytes / (Model.m_KvBytesPerToken / Model.m_Layers);
}

void ChainRouter::rebuild(const Fleet &Engines, const ServiceId &Service,
                          const EngineModel &Model) {
  m_Model = Model;
  m_Chains.clear();
  m_UsesByEngine.clear();
  std::map<DataCentreId, std::vector<StagePlan>> ByDataCentre;
  std::map<DataCentreId, std::vector<StagePlan>> Leaving;
  std::vector<StagePlan> All;
  std::vector<StagePlan> Refusing;
  for (const auto &[Id, Engine] : Engines.all()) {
    const LayerRange Held = Engine.m_Record.m_Layers;
    // Layers beyond those of the model: the entry belongs to another model.
    if (Engine.m_Record.m_Service != Service || Held.m_First >= Held.m_End ||
        Held.m_End > Model.m_Layers)
      continue;
    if (Engine.m_Refusing && Engine.usable())
      Refusing.push_back({Id, Held});
    if (!Engine.routable())
      continue;
    auto &Group = Engine.usable() ? ByDataCentre : Leaving;
    Group[Engine.m_Record.m_DataCentre].push_back({Id, Held});
    All.push_back({Id, Held});
  }
  const auto Add = [&](Path Stages) {
    Chain NewChain;
    NewChain.m_DataCentre =
        Engines.find(Stages.front().m_Endpoint)->m_Record.m_DataCentre;
    NewChain.m_CapacityTokens = std::numeric_limits<double>::max();
    for (const StagePlan &Stage : Stages) {
      const EndpointRecord &Record = Engines.find(Stage.m_Endpoint)->m_Record;
      NewChain.m_CrossesDataCentres |=
          Record.m_DataCentre != NewChain.m_DataCentre;
      const std::uint32_t HeldLayers =
          Record.m_Layers.m_End - Record.m_Layers.m_First;
      const std::uint32_t UsedLayers =
          Stage.m_Layers.m_End - Stage.m_Layers.m_First;
      const double Capacity =
          kvCapacity(Model, Record.m_Accelerator, HeldLayers) / UsedLayers;
      NewChain.m_CapacityTokens = std::min(NewChain.m_CapacityTokens, Capacity);
      m_UsesByEngine[Stage.m_Endpoint].push_back({m_Chains.size(), UsedLayers});
    }
    NewChain.m_Stages = std::move(Stages);
    m_Chains.push_back(std::move(NewChain));
  };
  const auto Complete = ByDataCentre;
  for (auto &[DataCentre, Unused] : ByDataCentre) {
    for (Path &Stages : disjointTilings(Unused, Model.m_Layers))
      Add(std::move(Stages));
    // The engines left may still form a chain with leaving engines, or with
    // layers borrowed from the engines of complete chains.
    const auto &LeavingHere = Leaving[DataCentre];
    Unused.insert(Unused.end(), LeavingHere.begin(), LeavingHere.end());
    for (Path &Stages : disjointTilings(Unused, Model.m_Layers))
      Add(std::move(Stages));
    if (Path Stages = completeWithBorrowed(Unused, Complete.at(DataCentre),
                                           Model.m_Layers);
        !Stages.empty())
      Add(std::move(Stages));
  }
  if (m_Chains.empty())
    if (Path Stages = fewestStages(All, Model.m_Layers); !Stages.empty())
      Add(std::move(Stages));
  // A path that may be refused is better than none.
  All.insert(All.end(), Refusing.begin(), Refusing.end());
  if (m_Chains.empty() && !Refusing.empty())
    if (Path Stages = fewestStages(All, Model.m_Layers); !Stages.empty())
      Add(std::move(Stages));
}

double ChainRouter::utilization(const Fleet &Engines, const Chain &Candidate,
                                Instant Now) const {
  const FleetEndpoint *First =
      Engines.find(Candidate.m_Stages.front().m_Endpoint);
  if (!First || Now < First->m_FullUntil || First->paused(Now) ||
      !First->admits(Now))
    return 1;
  const unsigned Running = runningRequests(*First);
  double Highest =
      m_Model.m_FirstStageSlots > 0
          ? static_cast<double>(Running) / m_Model.m_FirstStageSlots
          : 0;
  for (const StagePlan &Stage : Candidate.m_Stages) {
    const FleetEndpoint *Engine = Engines.find(Stage.m_Endpoint);
    if (!Engine || Now < Engine->m_FullUntil || Engine->paused(Now))
      return 1;
    Highest = std::max(Highest, expectedUtilization(Engines, *Engine, Now));
  }
  return Highest;
}

unsigned ChainRouter::runningRequests(const FleetEndpoint &First) {
  const unsigned Reported = First.m_Load ? First.m_Load->m_Running +
                                               First.m_Load->m_Queued +
                                               First.m_SentSinceReport
                                         : 0;
  return std::max(Reported, First.m_InFlight);
}

double ChainRouter::expectedUtilization(const Fleet &Engines,
                                        const FleetEndpoint &Engine,
                                        Instant Now) const {
  const double Current = memoryUtilization(Engine);
  const auto Uses = m_UsesByEngine.find(Engine.m_Record.m_Id);
  if (Uses == m_UsesByEngine.end() ||
      (Engine.m_Load && Now - Engine.m_LoadUpdatedAt < MaxReportAge))
    return Current;
  const double MeanTokens = m_Model.m_MeanPromptTokens +
                            MeanAnswerProgress * m_Model.m_MeanAnswerTokens;
  double Expected = 0;
  for (const ChainUse &Use : Uses->second)
    if (const FleetEndpoint *First =
            Engines.find(m_Chains[Use.m_Chain].m_Stages.front().m_Endpoint))
      Expected += runningRequests(*First) * MeanTokens * Use.m_Layers;
  const double Capacity = memoryCapacity(Engine);
  return Capacity > 0 ? std::max(Current, Expected / Capacity) : 1;
}

double ChainRouter::memoryCapacity(const FleetEndpoint &Engine) const {
  if (Engine.m_Load && Engine.m_Load->m_KvTotal > 0)
    return Engine.m_Load->m_KvTotal;
  const LayerRange Held = Engine.m_Record.m_Layers;
  return kvCapacity(m_Model, Engine.m_Record.m_Accelerator,
                    Held.m_End - Held.m_First);
}

double ChainRouter::memoryUtilization(const FleetEndpoint &Engine) const {
  const double Capacity = memoryCapacity(Engine);
  const double Reported =
      Engine.m_Load ? Engine.m_Load->m_KvUsed + Engine.m_KvSinceReport : 0;
  return Capacity > 0 ? std::max(Reported, Engine.m_KvInFlight) / Capacity : 1;
}

bool ChainRouter::refusesItsStage(const Fleet &Engines,
                                  const FleetEndpoint &Engine, unsigned Status,
                                  Instant Now) const {
  std::optional<double> Reported;
  if (Engine.m_Load && Now - Engine.m_LoadUpdatedAt < RefusalReportAge)
    Reported = memoryUtilization(Engine);
  return refusesStage(Status, Reported,
                      expectedUtilization(Engines, Engine, Now));
}

EndpointId ChainRouter::mostLoadedEngine(const Fleet &Engines,
                                         const Chain &Candidate,
                                         Instant Now) const {
  EndpointId MostLoaded = Candidate.m_Stages.front().m_Endpoint;
  double Highest = -1;
  for (const StagePlan &Stage : Candidate.m_Stages)
    if (const FleetEndpoint *Engine = Engines.find(Stage.m_Endpoint))
      if (const double Utilization = expectedUtilization(Engines, *Engine, Now);
          Utilization > Highest) {
        Highest = Utilization;
        MostLoaded = Stage.m_Endpoint;
      }
  return MostLoaded;
}

const Chain *ChainRouter::choose(const Fleet &Engines, const RequestSize &Size,
                                 const DataCentreId &LocalDataCentre,
                                 const EndpointSet &Avoid, Instant Now,
                                 Random &Rng) const {
  struct Option {
    const Chain *m_Chain;
    double m_Utilization;
  };
  std::vector<Option> Options;
  std::vector<double> FreeTokens;
  const auto Responds = [&](const Chain &Candidate) {
    return std::none_of(Candidate.m_Stages.begin(), Candidate.m_Stages.end(),
                        [&](const StagePlan &Stage) {
                          const FleetEndpoint *Engine =
                              Engines.find(Stage.m_Endpoint);
                          return Engine && Engine->reportOverdue(Now);
                        });
  };
  const bool AnyResponds = std::any_of(
      m_Chains.begin(), m_Chains.end(), [&](const Chain &Candidate) {
        return !usesAny(Candidate.m_Stages, Avoid) && Responds(Candidate);
      });
  for (const Chain &Candidate : m_Chains) {
    if (AnyResponds && !Responds(Candidate))
      continue;
    if (usesAny(Candidate.m_Stages, Avoid) ||
        Size.tokens() > Candidate.m_CapacityTokens)
      continue;
    const double ChainUtilization = utilization(Engines, Candidate, Now);
    if (ChainUtilization >= 1 ||
        (1 - ChainUtilization) * Candidate.m_CapacityTokens < Size.m_Prompt)
      continue;
    Options.push_back({&Candidate, ChainUtilization});
    FreeTokens.push_back(std::max(0.01, 1 - ChainUtilization) *
                         Candidate.m_CapacityTokens);
  }
  if (Options.empty())
    return nullptr;
  std::discrete_distribution<std::size_t> Draw(FreeTokens.begin(),
                                               FreeTokens.end());
  const auto Cost = [&](const Option &Candidate) {
    return Candidate.m_Utilization +
           (Candidate.m_Chain->m_DataCentre == LocalDataCentre
                ? 0
                : CrossDataCentrePenalty);
  };
  const Option &First = Options[Draw(Rng)];
  const Option &Second = Options[Draw(Rng)];
  return Cost(Second) < Cost(First) ? Second.m_Chain : First.m_Chain;
}

} // namespace mimosadale::decide
