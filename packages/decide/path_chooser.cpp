#include "decide/path_chooser.h"

#include <algorithm>
#include <boost/graph/adjacency_list.hpp>
#include <boost/graph/push_relabel_max_flow.hpp>
#include <cmath>

namespace mimosadale::decide {

namespace {

// Candidate paths drawn for one request.
constexpr int DrawnPaths = 3;

// Flow is computed in whole thousandths of a token a second.
constexpr double FlowScale = 1000;

// Weight of an engine that the maximum flow leaves idle: it stays a choice for
// the time after a failure, before the flow is computed anew.
constexpr double IdleWeight = 1e-6;

using Traits =
    boost::adjacency_list_traits<boost::vecS, boost::vecS, boost::directedS>;
using Graph = boost::adjacency_list<
    boost::vecS, boost::vecS, boost::directedS, boost::no_property,
    boost::property<boost::edge_capacity_t, long,
                    boost::property<boost::edge_residual_capacity_t, long,
                                    boost::property<boost::edge_reverse_t,
                                                    Traits::edge_descriptor>>>>;

// Adds an edge and the reverse edge that the algorithm needs.
Traits::edge_descriptor addEdge(Graph &To, std::size_t From, std::size_t Until,
                                long Capacity) {
  const auto Forward = boost::add_edge(From, Until, To).first;
  const auto Backward = boost::add_edge(Until, From, To).first;
  boost::put(boost::edge_capacity, To, Forward, Capacity);
  boost::put(boost::edge_capacity, To, Backward, 0L);
  boost::put(boost::edge_reverse, To, Forward, Backward);
  boost::put(boost::edge_reverse, To, Backward, Forward);
  return Forward;
}

} // namespace

PathChooser::PathChooser(std::vector<EngineProfile> Engines,
                         std::uint32_t Layers)
    : m_Engines(std::move(Engines)), m_Layers(Layers) {
  std::sort(m_Engines.begin(), m_Engines.end(),
            [](const EngineProfile &A, const EngineProfile &B) {
              return std::tie(A.m_Layers, A.m_Endpoint) <
                     std::tie(B.m_Layers, B.m_Endpoint);
            });
  m_FirstAt.assign(m_Layers + 1, m_Engines.size());
  for (std::size_t I = m_Engines.size(); I-- > 0;) {
    const LayerRange Range = m_Engines[I].m_Layers;
    if (Range.m_First < m_Layers)
      m_FirstAt[Range.m_First] = I;
    m_ByRange[Range].push_back(I);
    m_ByEndpoint[m_Engines[I].m_Endpoint] = I;
  }
  computeFlow();
}

// Each layer boundary is a vertex, each engine an edge from the boundary where
// its layers begin to the one where they end.
void PathChooser::computeFlow() {
  m_Flow.assign(m_Engines.size(), 0);
  if (m_Layers == 0)
    return;
  Graph Net(m_Layers + 1);
  std::vector<std::optional<Traits::edge_descriptor>> Edges;
  for (const EngineProfile &Engine : m_Engines) {
    const LayerRange Range = Engine.m_Layers;
    if (Range.m_End <= Range.m_First || Range.m_End > m_Layers) {
      Edges.emplace_back();
      continue;
    }
    const long Capacity = std::lround(Engine.m_TokensPerSecond * FlowScale);
    Edges.emplace_back(addEdge(Net, Range.m_First, Range.m_End, Capacity));
  }
  const long Total = boost::push_relabel_max_flow(Net, boost::vertex(0, Net),
                                                  boost::vertex(m_Layers, Net));
  m_MaximumFlow = static_cast<double>(Total) / FlowScale;
  for (std::size_t I = 0; I < Edges.size(); ++I) {
    if (!Edges[I])
      continue;
    const long Used = boost::get(boost::edge_capacity, Net, *Edges[I]) -
                      boost::get(boost::edge_residual_capacity, Net, *Edges[I]);
    m_Flow[I] = static_cast<double>(Used) / FlowScale;
  }
}

double PathChooser::flowThrough(const EndpointId &Endpoint) const {
  const auto Found = m_ByEndpoint.find(Endpoint);
  return Found == m_ByEndpoint.end() ? 0 : m_Flow[Found->second];
}

// For each boundary, whether usable engines lead from it to the last one.
std::vector<bool> PathChooser::reachesEnd(const EndpointSet &Avoid) const {
  std::vector<bool> Reaches(m_Layers + 1, false);
  Reaches[m_Layers] = true;
  for (std::size_t I = m_Engines.size(); I-- > 0;) {
    const LayerRange Range = m_Engines[I].m_Layers;
    if (Range.m_End <= Range.m_First || Range.m_End > m_Layers)
      continue;
    if (Reaches[Range.m_End] && !Avoid.contains(m_Engines[I].m_Endpoint))
      Reaches[Range.m_First] = true;
  }
  return Reaches;
}

// Walks from the first boundary to the last, each step by the flow's shares.
std::optional<Path> PathChooser::drawPath(const std::vector<bool> &Reaches,
                                          const EndpointSet &Avoid,
                                          Random &Rng) const {
  Path Drawn;
  std::uint32_t At = 0;
  while (At != m_Layers) {
    std::vector<std::size_t> Steps;
    std::vector<double> Weights;
    for (std::size_t I = m_FirstAt[At];
         I < m_Engines.size() && m_Engines[I].m_Layers.m_First == At; ++I) {
      const LayerRange Range = m_Engines[I].m_Layers;
      if (Range.m_End <= At || Range.m_End > m_Layers ||
          !Reaches[Range.m_End] || Avoid.contains(m_Engines[I].m_Endpoint))
        continue;
      Steps.push_back(I);
      Weights.push_back(m_Flow[I] + IdleWeight);
    }
    if (Steps.empty())
      return std::nullopt;
    std::discrete_distribution<std::size_t> Draw(Weights.begin(),
                                                 Weights.end());
    const EngineProfile &Taken = m_Engines[Steps[Draw(Rng)]];
    Drawn.push_back({Taken.m_Endpoint, Taken.m_Layers});
    At = Taken.m_Layers.m_End;
  }
  return Drawn;
}

// Link both ways, then the queue. What this router sent since the report counts
// whole; the reported queue shrinks with its age at the engine's own rate.
Duration PathChooser::predict(const EngineProfile &Engine,
                              const LoadLookup &Loads) const {
  const EngineLoad Load = Loads(Engine.m_Endpoint);
  const double Rate = std::max(Engine.m_TokensPerSecond, 1e-3);
  const double Drained = seconds(Load.m_ReportAge) * Rate;
  const double Queued = std::max(0.0, Load.m_Queued - Drained);
  return 2 * Engine.m_LinkLatency +
         fromSeconds((Queued + Load.m_SentSinceReport + 1) / Rate);
}

std::optional<Path> PathChooser::choose(const LoadLookup &Loads,
                                        const EndpointSet &Avoid,
                                        Random &Rng) const {
  const std::vector<bool> Reaches = reachesEnd(Avoid);
  if (m_Layers == 0 || !Reaches[0])
    return std::nullopt;
  std::optional<Path> Best;
  Duration BestTime{};
  for (int I = 0; I < DrawnPaths; ++I) {
    auto Drawn = drawPath(Reaches, Avoid, Rng);
    if (!Drawn)
      return Best;
    Duration Time{};
    for (const StagePlan &Stage : *Drawn)
      Time += predict(m_Engines[m_ByEndpoint.at(Stage.m_Endpoint)], Loads);
    if (!Best || Time < BestTime) {
      Best = std::move(Drawn);
      BestTime = Time;
    }
  }
  return Best;
}

std::optional<StagePlan>
PathChooser::chooseReplacement(LayerRange Layers, const LoadLookup &Loads,
                               const EndpointSet &Avoid) const {
  const auto Found = m_ByRange.find(Layers);
  if (Found == m_ByRange.end())
    return std::nullopt;
  std::optional<StagePlan> Best;
  Duration BestTime{};
  for (const std::size_t I : Found->second) {
    if (Avoid.contains(m_Engines[I].m_Endpoint))
      continue;
    const Duration Time = predict(m_Engines[I], Loads);
    if (!Best || Time < BestTime) {
      Best = StagePlan{m_Engines[I].m_Endpoint, Layers};
      BestTime = Time;
    }
  }
  return Best;
}

} // namespace mimosadale::decide
