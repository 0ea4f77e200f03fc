// Engines of three kinds and their model, for tests of layers and paths.
#ifndef MIMOSADALE_TESTS_ENGINE_FIXTURE_H
#define MIMOSADALE_TESTS_ENGINE_FIXTURE_H

#include "decide/fleet.h"
#include "decide/routing.h"

#include <functional>
#include <string>

namespace mimosadale::tests {

using namespace decide;

constexpr Instant T0{std::chrono::seconds(1000)};
inline const ServiceId Llm("llm");

inline EngineModel model() {
  EngineModel Of;
  Of.m_Layers = 80;
  Of.m_LayerMb = 1750;
  Of.m_KvBytesPerToken = 590000;
  Of.m_FirstStageSlots = 192;
  Of.m_LoadSeconds = 14;
  Of.m_MaxFullRateLoads = 6;
  Of.m_Kinds = {{"a100s", {36000, 3.1, 3.2}},
                {"l4", {21600, 16, 8.2}},
                {"t4", {14400, 15, 15}}};
  return Of;
}

inline EndpointRecord engine(const std::string &Name, const std::string &Kind,
                             LayerRange Held = {},
                             const std::string &Centre = "dc") {
  EndpointRecord Of;
  Of.m_Id = EndpointId(Name);
  Of.m_Service = Llm;
  Of.m_Address = "192.0.2.1:" +
                 std::to_string(1000 + std::hash<std::string>()(Name) % 50000);
  Of.m_DataCentre = DataCentreId(Centre);
  Of.m_Accelerator = Kind;
  Of.m_Layers = Held;
  return Of;
}

// 2 a100s, 4 l4 and 7 t4: the engines of one data centre.
inline Fleet dataCentre() {
  Fleet Made;
  const auto Add = [&](const std::string &Kind, int Count) {
    for (int I = 0; I < Count; ++I)
      Made.put(engine(Kind + "-" + std::to_string(I), Kind), T0);
  };
  Add("a100s", 2);
  Add("l4", 4);
  Add("t4", 7);
  return Made;
}

} // namespace mimosadale::tests

#endif
