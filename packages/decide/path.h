// Paths: sequences of stages whose layer ranges tile a model.
#ifndef MIMOSADALE_DECIDE_PATH_H
#define MIMOSADALE_DECIDE_PATH_H

#include "base/id.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace mimosadale::decide {

/// Layers [m_First, m_End).
struct LayerRange {
  std::uint32_t m_First = 0;
  std::uint32_t m_End = 0;

  auto operator<=>(const LayerRange &) const = default;
};

/// A model and its version.
struct ModelRef {
  std::string m_Name;
  std::string m_Version;

  auto operator<=>(const ModelRef &) const = default;
};

/// A stage: the endpoint that runs it and its layers.
struct StagePlan {
  EndpointId m_Endpoint;
  LayerRange m_Layers;

  auto operator<=>(const StagePlan &) const = default;
};

using Path = std::vector<StagePlan>;

/// Longest path of chained engines; engines refuse longer ones.
constexpr std::size_t MaxPathStages = 32;

using EndpointSet = std::set<EndpointId>;

/// Whether \p Stages tile [0, \p Layers) in order, with no gap and no overlap.
/// Safe from any thread.
bool tilesExactly(const Path &Stages, std::uint32_t Layers);

/// Formats \p Stages for the log: "a[0,20) b[20,80)". Safe from any thread.
std::string pathText(const Path &Stages);

} // namespace mimosadale::decide

#endif
