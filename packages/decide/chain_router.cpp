#include "decide/chain_router.h"

#include "decide/answer_rule.h"
#include "decide/tiling.h"

#include <algorithm>
#include <limits>

namespace mimosadale::decide {

namespace {

// Part of a chain's room that a chain of another data centre must be emptier
// by, since the caller's bytes then cross between data centres.
constexpr double CrossDataCentrePenalty = 0.05;

// Age from which on a report tells less of an engine's memory than the number
// of requests on its chain: beyond the longest interval between reports.
constexpr Duration MaxReportAge = std::chrono::milliseconds(2500);

// Age up to which an engine's report explains its refusal.
constexpr Duration RefusalReportAge = std::chrono::milliseconds(500);

// Part of its answer that a running request has written, on average.
constexpr double MeanAnswerProgress = 0.5;

// A broken chain with its gap lent by other engines of the data centre; empty
// when it would be lent more than it brings.
Path completeWithBorrowed(const std::vector<StagePlan> &Broken,
                          const std::vector<StagePlan> &All,
                          std::uint32_t Layers) {
  if (Broken.empty())
    return {};
  Path Stages = fewestBorrowed(Broken, All, Layers);
  std::uint32_t Own = 0;
  for (const StagePlan &Each : Stages)
    for (const StagePlan &One : Broken)
      if (One.m_Endpoint == Each.m_Endpoint)
        Own += Each.m_Layers.m_End - Each.m_Layers.m_First;
  if (2 * Own < Layers || Stages.size() > MaxPathStages)
    return {};
  return Stages;
}

bool usesAny(const Path &Stages, const EndpointSet &Avoid) {
  return std::any_of(Stages.begin(), Stages.end(), [&](const StagePlan &Each) {
    return Avoid.contains(Each.m_Endpoint);
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
  for (const auto &[Id, Known] : Engines.all()) {
    const LayerRange Held = Known.m_Record.m_Layers;
    // What the model does not have no engine holds: the entry is another's.
    if (Known.m_Record.m_Service != Service || Held.m_First >= Held.m_End ||
        Held.m_End > Model.m_Layers)
      continue;
    if (Known.m_Refusing && Known.usable())
      Refusing.push_back({Id, Held});
    if (!Known.routable())
      continue;
    auto &Here = Known.usable() ? ByDataCentre : Leaving;
    Here[Known.m_Record.m_DataCentre].push_back({Id, Held});
    All.push_back({Id, Held});
  }
  const auto Add = [&](Path Stages) {
    Chain Fresh;
    Fresh.m_DataCentre =
        Engines.find(Stages.front().m_Endpoint)->m_Record.m_DataCentre;
    Fresh.m_CapacityTokens = std::numeric_limits<double>::max();
    for (const StagePlan &Each : Stages) {
      const EndpointRecord &Record = Engines.find(Each.m_Endpoint)->m_Record;
      Fresh.m_CrossesDataCentres |= Record.m_DataCentre != Fresh.m_DataCentre;
      const std::uint32_t Held =
          Record.m_Layers.m_End - Record.m_Layers.m_First;
      const std::uint32_t Used = Each.m_Layers.m_End - Each.m_Layers.m_First;
      const double Room = kvCapacity(Model, Record.m_Accelerator, Held) / Used;
      Fresh.m_CapacityTokens = std::min(Fresh.m_CapacityTokens, Room);
      m_UsesByEngine[Each.m_Endpoint].push_back({m_Chains.size(), Used});
    }
    Fresh.m_Stages = std::move(Stages);
    m_Chains.push_back(std::move(Fresh));
  };
  const auto Whole = ByDataCentre;
  for (auto &[DataCentre, Left] : ByDataCentre) {
    for (Path &Stages : disjointTilings(Left, Model.m_Layers))
      Add(std::move(Stages));
    // What is left may still make a chain with engines that are leaving, or
    // with a few layers of engines of the whole chains.
    const auto &Going = Leaving[DataCentre];
    Left.insert(Left.end(), Going.begin(), Going.end());
    for (Path &Stages : disjointTilings(Left, Model.m_Layers))
      Add(std::move(Stages));
    if (Path Stages =
            completeWithBorrowed(Left, Whole.at(DataCentre), Model.m_Layers);
        !Stages.empty())
      Add(std::move(Stages));
  }
  if (m_Chains.empty())
    if (Path Stages = fewestStages(All, Model.m_Layers); !Stages.empty())
      Add(std::move(Stages));
  // Better a path that may be refused than none.
  All.insert(All.end(), Refusing.begin(), Refusing.end());
  if (m_Chains.empty() && !Refusing.empty())
    if (Path Stages = fewestStages(All, Model.m_Layers); !Stages.empty())
      Add(std::move(Stages));
}

double ChainRouter::utilization(const Fleet &Engines, const Chain &Of,
                                Instant Now) const {
  const FleetEndpoint *First = Engines.find(Of.m_Stages.front().m_Endpoint);
  if (!First || Now < First->m_FullUntil || First->paused(Now))
    return 1;
  const unsigned Running = runningRequests(*First);
  double Most = m_Model.m_FirstStageSlots > 0
                    ? static_cast<double>(Running) / m_Model.m_FirstStageSlots
                    : 0;
  for (const StagePlan &Each : Of.m_Stages) {
    const FleetEndpoint *Known = Engines.find(Each.m_Endpoint);
    if (!Known || Now < Known->m_FullUntil || Known->paused(Now))
      return 1;
    Most = std::max(Most, expectedUtilization(Engines, *Known, Now));
  }
  return Most;
}

unsigned ChainRouter::runningRequests(const FleetEndpoint &First) {
  const unsigned Reported = First.m_Load ? First.m_Load->m_Running +
                                               First.m_Load->m_Queued +
                                               First.m_SentSinceReport
                                         : 0;
  return std::max(Reported, First.m_InFlight);
}

double ChainRouter::expectedUtilization(const Fleet &Engines,
                                        const FleetEndpoint &Of,
                                        Instant Now) const {
  const double Known = memoryUtilization(Of);
  const auto Parts = m_UsesByEngine.find(Of.m_Record.m_Id);
  if (Parts == m_UsesByEngine.end() ||
      (Of.m_Load && Now - Of.m_LoadAt < MaxReportAge))
    return Known;
  const double Usual = m_Model.m_MeanPromptTokens +
                       MeanAnswerProgress * m_Model.m_MeanAnswerTokens;
  double Expected = 0;
  for (const ChainUse &Each : Parts->second)
    if (const FleetEndpoint *First =
            Engines.find(m_Chains[Each.m_Chain].m_Stages.front().m_Endpoint))
      Expected += runningRequests(*First) * Usual * Each.m_Layers;
  const double Room = memoryCapacity(Of);
  return Room > 0 ? std::max(Known, Expected / Room) : 1;
}

double ChainRouter::memoryCapacity(const FleetEndpoint &Of) const {
  if (Of.m_Load && Of.m_Load->m_KvTotal > 0)
    return Of.m_Load->m_KvTotal;
  const LayerRange Held = Of.m_Record.m_Layers;
  return kvCapacity(m_Model, Of.m_Record.m_Accelerator,
                    Held.m_End - Held.m_First);
}

double ChainRouter::memoryUtilization(const FleetEndpoint &Of) const {
  const double Room = memoryCapacity(Of);
  const double Reported =
      Of.m_Load ? Of.m_Load->m_KvUsed + Of.m_KvSinceReport : 0;
  return Room > 0 ? std::max(Reported, Of.m_KvInFlight) / Room : 1;
}

bool ChainRouter::refusesItsStage(const Fleet &Engines, const FleetEndpoint &Of,
                                  unsigned Status, Instant Now) const {
  std::optional<double> Told;
  if (Of.m_Load && Now - Of.m_LoadAt < RefusalReportAge)
    Told = memoryUtilization(Of);
  return refusesStage(Status, Told, expectedUtilization(Engines, Of, Now));
}

EndpointId ChainRouter::mostLoadedEngine(const Fleet &Engines, const Chain &Of,
                                         Instant Now) const {
  EndpointId Found = Of.m_Stages.front().m_Endpoint;
  double Most = -1;
  for (const StagePlan &Each : Of.m_Stages)
    if (const FleetEndpoint *Known = Engines.find(Each.m_Endpoint))
      if (const double Taken = expectedUtilization(Engines, *Known, Now);
          Taken > Most) {
        Most = Taken;
        Found = Each.m_Endpoint;
      }
  return Found;
}

const Chain *ChainRouter::choose(const Fleet &Engines, const RequestSize &Size,
                                 const DataCentreId &Here,
                                 const EndpointSet &Avoid, Instant Now,
                                 Random &Rng) const {
  struct Option {
    const Chain *m_Chain;
    double m_Fill;
  };
  std::vector<Option> Options;
  std::vector<double> Free;
  const auto Answers = [&](const Chain &Of) {
    return std::none_of(
        Of.m_Stages.begin(), Of.m_Stages.end(), [&](const StagePlan &Each) {
          const FleetEndpoint *Known = Engines.find(Each.m_Endpoint);
          return Known && Known->reportOverdue(Now);
        });
  };
  const bool AnyAnswers =
      std::any_of(m_Chains.begin(), m_Chains.end(), [&](const Chain &Each) {
        return !usesAny(Each.m_Stages, Avoid) && Answers(Each);
      });
  for (const Chain &Each : m_Chains) {
    if (AnyAnswers && !Answers(Each))
      continue;
    if (usesAny(Each.m_Stages, Avoid) || Size.tokens() > Each.m_CapacityTokens)
      continue;
    const double Fill = utilization(Engines, Each, Now);
    if (Fill >= 1 || (1 - Fill) * Each.m_CapacityTokens < Size.m_Prompt)
      continue;
    Options.push_back({&Each, Fill});
    Free.push_back(std::max(0.01, 1 - Fill) * Each.m_CapacityTokens);
  }
  if (Options.empty())
    return nullptr;
  std::discrete_distribution<std::size_t> Draw(Free.begin(), Free.end());
  const auto Cost = [&](const Option &Each) {
    return Each.m_Fill +
           (Each.m_Chain->m_DataCentre == Here ? 0 : CrossDataCentrePenalty);
  };
  const Option &First = Options[Draw(Rng)];
  const Option &Second = Options[Draw(Rng)];
  return Cost(Second) < Cost(First) ? Second.m_Chain : First.m_Chain;
}

} // namespace mimosadale::decide
