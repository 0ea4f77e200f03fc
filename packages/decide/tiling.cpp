#include "decide/tiling.h"

#include <algorithm>
#include <limits>

namespace mimosadale::decide {

Path fewestStages(const std::vector<StagePlan> &Held, std::uint32_t Layers) {
  constexpr unsigned NoPath = std::numeric_limits<unsigned>::max();
  std::vector<unsigned> Stages(Layers + 1, NoPath);
  std::vector<StagePlan> Last(Layers + 1);
  Stages[0] = 0;
  for (std::uint32_t At = 0; At < Layers; ++At) {
    if (Stages[At] == NoPath)
      continue;
    for (const StagePlan &Each : Held) {
      const std::uint32_t End = std::min(Each.m_Layers.m_End, Layers);
      if (Each.m_Layers.m_First > At || End <= At ||
          Stages[At] + 1 >= Stages[End])
        continue;
      Stages[End] = Stages[At] + 1;
      Last[End] = {Each.m_Endpoint, {At, End}};
    }
  }
  Path Found;
  if (Stages[Layers] == NoPath)
    return Found;
  for (std::uint32_t At = Layers; At > 0; At = Last[At].m_Layers.m_First)
    Found.push_back(Last[At]);
  std::reverse(Found.begin(), Found.end());
  return Found;
}

std::vector<Path> disjointTilings(std::vector<StagePlan> &Held,
                                  std::uint32_t Layers) {
  std::vector<Path> Found;
  while (true) {
    Path Stages = fewestStages(Held, Layers);
    if (Stages.empty())
      return Found;
    std::erase_if(Held, [&](const StagePlan &Each) {
      return std::any_of(Stages.begin(), Stages.end(), [&](const auto &Stage) {
        return Stage.m_Endpoint == Each.m_Endpoint;
      });
    });
    Found.push_back(std::move(Stages));
  }
}

} // namespace mimosadale::decide
