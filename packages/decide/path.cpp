#include "decide/path.h"

namespace mimosadale::decide {

bool tilesExactly(const Path &Stages, std::uint32_t Layers) {
  std::uint32_t Next = 0;
  for (const StagePlan &Stage : Stages) {
    if (Stage.m_Layers.m_First != Next || Stage.m_Layers.m_End <= Next)
      return false;
    Next = Stage.m_Layers.m_End;
  }
  return Next == Layers && Layers > 0;
}

std::string pathText(const Path &Stages) {
  std::string Text;
  for (const StagePlan &Stage : Stages)
    Text += (Text.empty() ? "" : " ") + Stage.m_Endpoint.str() + "[" +
            std::to_string(Stage.m_Layers.m_First) + "," +
            std::to_string(Stage.m_Layers.m_End) + ")";
  return Text;
}

} // namespace mimosadale::decide
