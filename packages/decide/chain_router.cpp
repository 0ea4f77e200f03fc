#include "decide/chain_router.h"

#include "decide/tiling.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace mimosadale::decide {

namespace {

// Stages that a path may have.
constexpr std::size_t MostStages = 32;

// The cost of a stage, and of one at an engine that is slow or leaves.
constexpr double StageCost = 1;
constexpr double ShunnedCost = 6;

// The cost of a layer at an empty engine with room for one token times one
// layer, and how it grows with the part of its memory that is taken.
constexpr double LayerCost = 1e4;
constexpr double TakenWeight = 5;

// Spread of the costs, so that routers with the same reports choose different
// engines.
constexpr double CostNoise = 0.25;

// Part of a chain's room that a chain of another data centre must be emptier
// by, since the caller's bytes then cross between data centres.
constexpr double CrossingPenalty = 0.05;

// A broken chain with its gap lent by other engines of the data centre; empty
// when it would be lent more than it brings.
Path mended(const std::vector<StagePlan> &Broken,
            const std::vector<StagePlan> &All, std::uint32_t Layers) {
  if (Broken.empty())
    return {};
  Path Stages = fewestLent(Broken, All, Layers);
  std::uint32_t Own = 0;
  for (const StagePlan &Each : Stages)
    for (const StagePlan &One : Broken)
      if (One.m_Endpoint == Each.m_Endpoint)
        Own += Each.m_Layers.m_End - Each.m_Layers.m_First;
  if (2 * Own < Layers || Stages.size() > MostStages)
    return {};
  return Stages;
}

bool touches(const Path &Stages, const EndpointSet &Avoid) {
  return std::any_of(Stages.begin(), Stages.end(), [&](const StagePlan &Each) {
    return Avoid.contains(Each.m_Endpoint);
  });
}

} // namespace

double kvRoom(const EngineModel &Model, const std::string &Accelerator,
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
  std::map<DataCentreId, std::vector<StagePlan>> ByDataCentre;
  std::map<DataCentreId, std::vector<StagePlan>> Leaving;
  std::vector<StagePlan> All;
  for (const auto &[Id, Known] : Engines.all()) {
    const LayerRange Held = Known.m_Record.m_Layers;
    if (Known.m_Record.m_Service != Service || !Known.passable() ||
        Held.m_First >= Held.m_End)
      continue;
    auto &Here = Known.usable() ? ByDataCentre : Leaving;
    Here[Known.m_Record.m_DataCentre].push_back({Id, Held});
    All.push_back({Id, Held});
  }
  m_Stops.clear();
  for (const StagePlan &Each : All)
    m_Stops[Engines.find(Each.m_Endpoint)->m_Record.m_DataCentre].push_back(
        {Each.m_Endpoint, Each.m_Layers});
  for (auto &[DataCentre, Stops] : m_Stops)
    std::stable_sort(Stops.begin(), Stops.end(),
                     [](const Stop &A, const Stop &B) {
                       return A.m_Held.m_First < B.m_Held.m_First;
                     });
  const auto Add = [&](Path Stages) {
    m_Chains.push_back(makeChain(Engines, std::move(Stages)));
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
    if (Path Stages = mended(Left, Whole.at(DataCentre), Model.m_Layers);
        !Stages.empty())
      Add(std::move(Stages));
  }
  if (m_Chains.empty())
    if (Path Stages = fewestStages(All, Model.m_Layers); !Stages.empty())
      Add(std::move(Stages));
}

Chain ChainRouter::makeChain(const Fleet &Engines, Path Stages) const {
  Chain Fresh;
  Fresh.m_DataCentre =
      Engines.find(Stages.front().m_Endpoint)->m_Record.m_DataCentre;
  Fresh.m_RoomTokens = std::numeric_limits<double>::max();
  for (const StagePlan &Each : Stages) {
    const EndpointRecord &Record = Engines.find(Each.m_Endpoint)->m_Record;
    Fresh.m_Crosses |= Record.m_DataCentre != Fresh.m_DataCentre;
    const std::uint32_t Held = Record.m_Layers.m_End - Record.m_Layers.m_First;
    const std::uint32_t Used = Each.m_Layers.m_End - Each.m_Layers.m_First;
    const double Room = kvRoom(m_Model, Record.m_Accelerator, Held) / Used;
    Fresh.m_RoomTokens = std::min(Fresh.m_RoomTokens, Room);
  }
  Fresh.m_Stages = std::move(Stages);
  return Fresh;
}

double ChainRouter::fill(const Fleet &Engines, const Chain &Of,
                         Instant Now) const {
  const FleetEndpoint *First = Engines.find(Of.m_Stages.front().m_Endpoint);
  if (!First || Now < First->m_FullUntil)
    return 1;
  double Most = firstTaken(*First);
  for (const StagePlan &Each : Of.m_Stages) {
    const FleetEndpoint *Known = Engines.find(Each.m_Endpoint);
    if (!Known || Now < Known->m_FullUntil)
      return 1;
    Most = std::max(Most, memoryTaken(*Known));
  }
  return Most;
}

double ChainRouter::firstTaken(const FleetEndpoint &Of) const {
  if (m_Model.m_FirstStageSlots == 0)
    return 0;
  const unsigned Running =
      Of.m_Load
          ? Of.m_Load->m_Running + Of.m_Load->m_Queued + Of.m_SentSinceReport
          : 0;
  return static_cast<double>(std::max(Running, Of.m_InFlight)) /
         m_Model.m_FirstStageSlots;
}

double ChainRouter::memoryRoom(const FleetEndpoint &Of) const {
  if (Of.m_Load && Of.m_Load->m_KvTotal > 0)
    return Of.m_Load->m_KvTotal;
  const LayerRange Held = Of.m_Record.m_Layers;
  return kvRoom(m_Model, Of.m_Record.m_Accelerator, Held.m_End - Held.m_First);
}

double ChainRouter::memoryTaken(const FleetEndpoint &Of) const {
  const double Room = memoryRoom(Of);
  const double Reported =
      Of.m_Load ? Of.m_Load->m_KvUsed + Of.m_KvSinceReport : 0;
  return Room > 0 ? std::max(Reported, Of.m_KvInFlight) / Room : 1;
}

EndpointId ChainRouter::fullest(const Fleet &Engines, const Chain &Of) const {
  EndpointId Found = Of.m_Stages.front().m_Endpoint;
  double Most = -1;
  for (const StagePlan &Each : Of.m_Stages)
    if (const FleetEndpoint *Known = Engines.find(Each.m_Endpoint))
      if (const double Taken = memoryTaken(*Known); Taken > Most) {
        Most = Taken;
        Found = Each.m_Endpoint;
      }
  return Found;
}

// The path over \p Stops whose engines have the most room for the request;
// empty when there is none.
Path ChainRouter::roomiestPath(const Fleet &Engines,
                               const std::vector<Stop> &Stops,
                               const RequestSize &Size,
                               const EndpointSet &Avoid, Instant Now,
                               Random &Rng) const {
  constexpr double NoPath = std::numeric_limits<double>::max();
  std::uniform_real_distribution<double> Noise(1 - CostNoise, 1 + CostNoise);
  std::vector<double> Cost(m_Model.m_Layers + 1, NoPath);
  std::vector<StagePlan> Last(m_Model.m_Layers + 1);
  Cost[0] = 0;
  // In the order of their first layers: what leads to a layer that an engine
  // holds begins before it, but may end after its first layer, so each engine
  // looks at all the layers at which it may be entered.
  std::vector<StopCost> Open;
  for (const Stop &Each : Stops) {
    const FleetEndpoint *Known = Engines.find(Each.m_Engine);
    if (!Known || Now < Known->m_FullUntil || Avoid.contains(Each.m_Engine))
      continue;
    const double Taken = memoryTaken(*Known);
    const double Room = memoryRoom(*Known);
    if (Taken >= 1 || Room <= 0)
      continue;
    const bool Shunned = Known->slow() || Known->m_Record.m_Leaving;
    Open.push_back({&Each, (1 - Taken) * Room,
                    Noise(Rng) * LayerCost * std::exp(TakenWeight * Taken) /
                        Room,
                    Shunned ? ShunnedCost : StageCost,
                    firstTaken(*Known) < 1});
  }
  for (std::uint32_t At = 0; At < m_Model.m_Layers; ++At) {
    if (Cost[At] == NoPath)
      continue;
    for (const StopCost &Each : Open) {
      const LayerRange Held = Each.m_Stop->m_Held;
      if (Held.m_First > At)
        break;
      const std::uint32_t End = std::min(Held.m_End, m_Model.m_Layers);
      if (End <= At || Each.m_FreeTokens < Size.tokens() * (End - At) ||
          (At == 0 && !Each.m_MayBeFirst))
        continue;
      const double Sum =
          Cost[At] + Each.m_StageCost + Each.m_LayerCost * (End - At);
      if (Sum >= Cost[End])
        continue;
      Cost[End] = Sum;
      Last[End] = {Each.m_Stop->m_Engine, {At, End}};
    }
  }
  Path Found;
  if (Cost[m_Model.m_Layers] == NoPath)
    return Found;
  for (std::uint32_t At = m_Model.m_Layers; At > 0;
       At = Found.back().m_Layers.m_First)
    Found.push_back(Last[At]);
  std::reverse(Found.begin(), Found.end());
  return Found.size() <= MostStages ? Found : Path();
}

std::optional<Chain> ChainRouter::choose(const Fleet &Engines,
                                         const RequestSize &Size,
                                         const DataCentreId &Here,
                                         const EndpointSet &Avoid, Instant Now,
                                         Random &Rng) const {
  std::vector<Chain> Options;
  std::vector<double> Fills;
  std::vector<double> Free;
  const auto Offer = [&](Path Stages) {
    if (Stages.empty())
      return;
    Chain Each = makeChain(Engines, std::move(Stages));
    const double Fill = fill(Engines, Each, Now);
    Free.push_back(std::max(0.01, 1 - Fill) * Each.m_RoomTokens);
    Fills.push_back(Fill);
    Options.push_back(std::move(Each));
  };
  for (const auto &[DataCentre, Stops] : m_Stops)
    Offer(roomiestPath(Engines, Stops, Size, Avoid, Now, Rng));
  // One that leaves its data centre, where none has a whole one.
  if (Options.empty())
    for (const Chain &Each : m_Chains)
      if (Each.m_Crosses && !touches(Each.m_Stages, Avoid) &&
          fill(Engines, Each, Now) < 1 && Size.tokens() <= Each.m_RoomTokens)
        Offer(Each.m_Stages);
  if (Options.empty())
    return std::nullopt;
  std::discrete_distribution<std::size_t> Draw(Free.begin(), Free.end());
  const auto Cost = [&](std::size_t I) {
    return Fills[I] + (Options[I].m_DataCentre == Here ? 0 : CrossingPenalty);
  };
  const std::size_t First = Draw(Rng);
  const std::size_t Second = Draw(Rng);
  return Options[Cost(Second) < Cost(First) ? Second : First];
}

} // namespace mimosadale::decide
