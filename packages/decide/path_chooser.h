// Chooses the path of a request through engines on mixed accelerators.
#ifndef MIMOSADALE_DECIDE_PATH_CHOOSER_H
#define MIMOSADALE_DECIDE_PATH_CHOOSER_H

#include "base/units.h"
#include "decide/path.h"

#include <functional>
#include <map>
#include <optional>
#include <random>

namespace mimosadale::decide {

/// Properties of an engine that do not change between requests.
struct EngineProfile {
  EndpointId m_Endpoint;
  LayerRange m_Layers;
  double m_TokensPerSecond = 1; // declared for its accelerator kind
  Duration m_LinkLatency{};     // one way, from this router
};

/// Current load of an engine.
struct EngineLoad {
  unsigned m_Queued = 0;          // requests queued, as last reported
  unsigned m_SentSinceReport = 0; // requests sent by this router since then
  Duration m_ReportAge{};         // age of that report
};

using LoadLookup = std::function<EngineLoad(const EndpointId &)>;
using Random = std::mt19937_64;

/// Path choice for one model version. The long-run share of each engine is its
/// share of a maximum flow through the layers. A request takes the path with
/// the lowest predicted latency among a few sampled by those shares, so that
/// routers with equally stale reports do not all pick the same path.
/// docs/design/paths.md compares the alternatives; choosing the best of a few
/// random samples follows M. Mitzenmacher, "The Power of Two Choices in
/// Randomized Load Balancing", 2001.
///
/// \par Thread safety
/// Immutable after construction; safe from any thread.
class PathChooser {
public:
  /// Computes the maximum flow. \pre Every engine serves the same model version
  /// of \p Layers layers.
  PathChooser(std::vector<EngineProfile> Engines, std::uint32_t Layers);

  /// A path without the engines in \p Avoid; none when the remaining engines
  /// cannot cover all layers. Linear in the number of engines.
  std::optional<Path> choose(const LoadLookup &Loads, const EndpointSet &Avoid,
                             Random &Rng) const;

  /// The engine with the lowest predicted latency among those that hold exactly
  /// \p Layers; none when all of them are in \p Avoid.
  std::optional<StagePlan> chooseReplacement(LayerRange Layers,
                                             const LoadLookup &Loads,
                                             const EndpointSet &Avoid) const;

  /// Throughput of all engines together, in tokens per second.
  double maximumFlow() const { return m_MaximumFlow; }

  /// The part of the maximum flow that passes through \p Endpoint, in tokens
  /// per second.
  double flowThrough(const EndpointId &Endpoint) const;

private:
  void computeFlow();
  std::vector<bool> reachesEnd(const EndpointSet &Avoid) const;
  std::optional<Path> samplePath(const std::vector<bool> &ReachesEnd,
                                 const EndpointSet &Avoid, Random &Rng) const;
  Duration predictLatency(const EngineProfile &Engine,
                          const LoadLookup &Loads) const;

  std::vector<EngineProfile> m_Engines; // sorted by layers, then by name
  std::vector<double> m_Flow; // through each of m_Engines, tokens per second
  // By layer: index of the first engine that starts there.
  std::vector<std::size_t> m_FirstEngineAt;
  std::map<LayerRange, std::vector<std::size_t>> m_ByRange;
  std::map<EndpointId, std::size_t> m_ByEndpoint;
  std::uint32_t m_Layers;
  double m_MaximumFlow = 0;
};

} // namespace mimosadale::decide

#endif
