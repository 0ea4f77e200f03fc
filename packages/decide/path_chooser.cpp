#include "decide/path_chooser.h"

#include <algorithm>
#include <boost/graph/adjacency_list.hpp>
#include <boost/graph/push_relabel_max_flow.hpp>
#include <cmath>

namespace mimosadale::decide {

namespace {

// Candidate paths sampled per request.
constexpr int SampledPaths = 3;

// The flow algorithm uses integers: thousandths of a token per second.
constexpr double FlowScale = 1000;

// Sampling weight of an engine without flow, which keeps it available after a
// failure until the flow is recomputed.
constexpr double IdleWeight = 1e-6;

using Traits =
    boost::adjacency_list_traits<boost::vecS, boost::vecS, boost::directedS>;
using Graph = boost::adjacency_list<
    boost::vecS, boost::vecS, boost::directedS, boost::no_property,
    boost::property<boost::edge_capacity_t, long,
                    boost::property<boost::edge_residual_capacity_t, long,
                                    boost::property<boost::edge_reverse_t,
                                                    Traits::edge_descriptor>>>>;

// Adds an edge and the reverse edge that push-relabel requires.
Traits::edge_descriptor addEdge(Graph &Net, std::size_t From, std::size_t To,
                                long Capacity) {
  const auto Forward = boost::add_edge(From, To, Net).first;
  const auto Backward = boost::add_edge(To, From, Net).first;
  boost::put(boost::edge_capacity, Net, Forward, Capacity);
  boost::put(boost::edge_capacity, Net, Backward, 0L);
  boost::put(boost::edge_reverse, Net, Forward, Backward);
  boost::put(boost::edge_reverse, Net, Backward, Forward);
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
  m_FirstEngineAt.assign(m_Layers + 1, m_Engines.size());
  for (std::size_t I = m_Engines.size(); I-- > 0;) {
    const LayerRange Range = m_Engines[I].m_Layers;
    if (Range.m_First < m_Layers)
      m_FirstEngineAt[Range.m_First] = I;
    m_ByRange[Range].push_back(I);
    m_ByEndpoint[m_Engines[I].m_Endpoint] = I;
  }
  computeFlow();
}

// Each layer boundary is a vertex; each engine is an edge from the start of its
// layer range to the end, with its throughput as the capacity.
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
    const long Flow = boost::get(boost::edge_capacity, Net, *Edges[I]) -
                      boost::get(boost::edge_residual_capacity, Net, *Edges[I]);
    m_Flow[I] = static_cast<double>(Flow) / FlowScale;
  }
}

double PathChooser::flowThrough(const EndpointId &Endpoint) const {
  const auto It = m_ByEndpoint.find(Endpoint);
  return It == m_ByEndpoint.end() ? 0 : m_Flow[It->second];
}

// For each layer boundary, whether engines outside \p Avoid cover all layers
// from there to the end. Relies on m_Engines being sorted by first layer.
std::vector<bool> PathChooser::reachesEnd(const EndpointSet &Avoid) const {
  std::vector<bool> ReachesEnd(m_Layers + 1, false);
  ReachesEnd[m_Layers] = true;
  for (std::size_t I = m_Engines.size(); I-- > 0;) {
    const LayerRange Range = m_Engines[I].m_Layers;
    if (Range.m_End <= Range.m_First || Range.m_End > m_Layers)
      continue;
    if (ReachesEnd[Range.m_End] && !Avoid.contains(m_Engines[I].m_Endpoint))
      ReachesEnd[Range.m_First] = true;
  }
  return ReachesEnd;
}

// Walks from the first layer boundary to the last; at each, picks an engine
// with a probability proportional to its flow.
std::optional<Path> PathChooser::samplePath(const std::vector<bool> &ReachesEnd,
                                            const EndpointSet &Avoid,
                                            Random &Rng) const {
  Path Sample;
  std::uint32_t Boundary = 0;
  while (Boundary != m_Layers) {
    std::vector<std::size_t> Candidates;
    std::vector<double> Weights;
    for (std::size_t I = m_FirstEngineAt[Boundary];
         I < m_Engines.size() && m_Engines[I].m_Layers.m_First == Boundary;
         ++I) {
      const LayerRange Range = m_Engines[I].m_Layers;
      if (Range.m_End <= Boundary || Range.m_End > m_Layers ||
          !ReachesEnd[Range.m_End] || Avoid.contains(m_Engines[I].m_Endpoint))
        continue;
      Candidates.push_back(I);
      Weights.push_back(m_Flow[I] + IdleWeight);
    }
    if (Candidates.empty())
      return std::nullopt;
    std::discrete_distribution<std::size_t> Distribution(Weights.begin(),
                                                         Weights.end());
    const EngineProfile &Engine = m_Engines[Candidates[Distribution(Rng)]];
    Sample.push_back({Engine.m_Endpoint, Engine.m_Layers});
    Boundary = Engine.m_Layers.m_End;
  }
  return Sample;
}

// Round trip of the link plus the time to drain the queue. Requests sent since
// the report count in full; the reported queue is assumed to have drained since
// then at the engine's rate.
Duration PathChooser::predictLatency(const EngineProfile &Engine,
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
  const std::vector<bool> ReachesEnd = reachesEnd(Avoid);
  if (m_Layers == 0 || !ReachesEnd[0])
    return std::nullopt;
  std::optional<Path> Best;
  Duration BestLatency{};
  for (int I = 0; I < SampledPaths; ++I) {
    auto Sample = samplePath(ReachesEnd, Avoid, Rng);
    if (!Sample)
      return Best;
    Duration Latency{};
    for (const StagePlan &Stage : *Sample)
      Latency +=
          predictLatency(m_Engines[m_ByEndpoint.at(Stage.m_Endpoint)], Loads);
    if (!Best || Latency < BestLatency) {
      Best = std::move(Sample);
      BestLatency = Latency;
    }
  }
  return Best;
}

std::optional<StagePlan>
PathChooser::chooseReplacement(LayerRange Layers, const LoadLookup &Loads,
                               const EndpointSet &Avoid) const {
  const auto It = m_ByRange.find(Layers);
  if (It == m_ByRange.end())
    return std::nullopt;
  std::optional<StagePlan> Best;
  Duration BestLatency{};
  for (const std::size_t I : It->second) {
    if (Avoid.contains(m_Engines[I].m_Endpoint))
      continue;
    const Duration Latency = predictLatency(m_Engines[I], Loads);
    if (!Best || Latency < BestLatency) {
      Best = StagePlan{m_Engines[I].m_Endpoint, Layers};
      BestLatency = Latency;
    }
  }
  return Best;
}

} // namespace mimosadale::decide
