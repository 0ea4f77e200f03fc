// Engine records of three accelerator kinds and the model that they serve, for
// tests of layers and paths.
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
  EngineModel Model;
  Model.m_Layers = 80;
  Model.m_LayerMb = 1750;
  Model.m_KvBytesPerToken = 590000;
  Model.m_FirstStageSlots = 192;
  Model.m_LoadSeconds = 14;
  Model.m_MaxFullRateLoads = 6;
  Model.m_Kinds = {{"a100s", {36000, 3.1, 3.2}},
                   {"l4", {21600, 16, 8.2}},
                   {"t4", {14400, 15, 15}}};
  return Model;
}

inline EndpointRecord engine(const std::string &Name, const std::string &Kind,
                             LayerRange Layers = {},
                             const std::string &DataCentre = "dc") {
  EndpointRecord Record;
  Record.m_Id = EndpointId(Name);
  Record.m_Service = Llm;
  Record.m_Address =
      "192.0.2.1:" +
      std::to_string(1000 + std::hash<std::string>()(Name) % 50000);
  Record.m_DataCentre = DataCentreId(DataCentre);
  Record.m_Accelerator = Kind;
  Record.m_Layers = Layers;
  return Record;
}

// One data centre with 2 a100s, 4 l4 and 7 t4 engines, none of which holds
// layers.
inline Fleet mixedFleet() {
  Fleet Engines;
  const auto AddEngines = [&](const std::string &Kind, int Count) {
    for (int I = 0; I < Count; ++I)
      Engines.put(engine(Kind + "-" + std::to_string(I), Kind), T0);
  };
  AddEngines("a100s", 2);
  AddEngines("l4", 4);
  AddEngines("t4", 7);
  return Engines;
}

} // namespace mimosadale::tests

#endif
