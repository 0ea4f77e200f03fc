// Chooses the path of a request over mixed accelerators.
#ifndef MIMOSADALE_DECIDE_PATH_CHOOSER_H
#define MIMOSADALE_DECIDE_PATH_CHOOSER_H

#include "base/units.h"
#include "decide/path.h"

#include <functional>
#include <map>
#include <optional>
#include <random>

namespace mimosadale::decide {

/// What path choice knows of one engine that does not change between requests.
struct EngineProfile {
  EndpointId m_Endpoint;
  LayerRange m_Layers;
  double m_TokensPerSecond = 1; // declared by accelerator kind
  Duration m_LinkLatency{};     // one way, from this router
};

/// What path choice knows of one engine that changes all the time.
struct EngineLoad {
  unsigned m_Queued = 0;          // as reported
  unsigned m_SentSinceReport = 0; // by this router since that report
  Duration m_ReportAge{};         // how old the report is
};

using LoadLookup = std::function<EngineLoad(const EndpointId &)>;
using Random = std::mt19937_64;

/// Path choice for one model version. The long-run share of each engine is its
/// share of a maximum flow through the layers; a request takes the path with
/// the earliest predicted finish among a few drawn by those shares, so that
/// routers with equally stale reports do not all pick the same one. The ways
/// weighed are in docs/design/paths.md; drawing a few and taking the best
/// follows M. Mitzenmacher, "The Power of Two Choices in Randomized Load
/// Balancing", 2001.
///
/// \par Thread safety
/// Immutable after construction; safe from any thread.
class PathChooser {
public:
  /// Computes the shares. \pre Every engine serves the same model version of
  /// \p Layers layers.
  PathChooser(std::vector<EngineProfile> Engines, std::uint32_t Layers);

  /// The path for a request, without the engines of \p Avoid; none when the
  /// rest cannot tile the model. Cost is linear in the engines that start at
  /// the boundaries the walk meets.
  std::optional<Path> choose(const LoadLookup &Loads, const EndpointSet &Avoid,
                             Random &Rng) const;

  /// The engine with the earliest predicted finish that holds exactly
  /// \p Layers; none when all are in \p Avoid.
  std::optional<StagePlan> chooseReplacement(LayerRange Layers,
                                             const LoadLookup &Loads,
                                             const EndpointSet &Avoid) const;

  /// Tokens a second that the engines can carry together.
  double maximumFlow() const { return m_MaximumFlow; }

  /// The share of the maximum flow that \p Endpoint carries, in tokens a
  /// second.
  double flowThrough(const EndpointId &Endpoint) const;

private:
  void computeFlow();
  std::vector<bool> reachesEnd(const EndpointSet &Avoid) const;
  std::optional<Path> samplePath(const std::vector<bool> &ReachesEnd,
                                 const EndpointSet &Avoid, Random &Rng) const;
  Duration predictLatency(const EngineProfile &Engine,
                          const LoadLookup &Loads) const;

  std::vector<EngineProfile> m_Engines; // by first layer
  std::vector<double> m_Flow;           // of m_Engines, tokens a second
  std::vector<std::size_t>
      m_FirstEngineAt; // index of the first engine at a layer
  std::map<LayerRange, std::vector<std::size_t>> m_ByRange;
  std::map<EndpointId, std::size_t> m_ByEndpoint;
  std::uint32_t m_Layers;
  double m_MaximumFlow = 0;
};

} // namespace mimosadale::decide

#endif
