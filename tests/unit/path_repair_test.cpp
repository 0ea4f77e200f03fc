// What becomes of running streams whose engines are lost.
#include "decide/path_repair.h"
#include "decide/pause_policy.h"

#include "engine_fixture.h"

#include <doctest/doctest.h>

using namespace mimosadale;
using namespace mimosadale::decide;
using namespace mimosadale::tests;
using namespace std::chrono_literals;

namespace {

void add(Fleet &To, const std::string &Name, const std::string &Kind,
         LayerRange Held, const std::string &Centre = "dc") {
  To.put(engine(Name, Kind, Held, Centre), T0);
}

// A chain of 4 a100s, a0 to a3, and one of 8 l4, b0 to b7.
Fleet twoChains() {
  Fleet Made;
  for (std::uint32_t I = 0; I < 4; ++I)
    add(Made, "a" + std::to_string(I), "a100s", {20 * I, 20 * I + 20});
  for (std::uint32_t I = 0; I < 8; ++I)
    add(Made, "b" + std::to_string(I), "l4", {10 * I, 10 * I + 10});
  return Made;
}

Path firstChain() {
  Path Of;
  for (std::uint32_t I = 0; I < 4; ++I)
    Of.push_back({EndpointId("a" + std::to_string(I)), {20 * I, 20 * I + 20}});
  return Of;
}

Path repair(const Fleet &Engines, const EndpointSet &Lost,
            const EndpointSet &Unfit = {}, double Tokens = 1000,
            RepairScope Reach = RepairScope::SameDataCentre) {
  ChainRouter Chains;
  Chains.rebuild(Engines, Llm, model());
  return repairPath(Engines, Chains, firstChain(), Lost, Unfit, Tokens, Reach,
                    T0);
}

bool has(const Path &Of, const std::string &Engine) {
  for (const StagePlan &Each : Of)
    if (Each.m_Endpoint.str() == Engine)
      return true;
  return false;
}

} // namespace

TEST_CASE("lost chain: its streams go on over engines of the other one") {
  Fleet Engines = twoChains();
  Engines.suspect(EndpointId("a1"), "test", T0);
  const Path Fresh = repair(Engines, {EndpointId("a1")});
  REQUIRE(tilesExactly(Fresh, 80));
  CHECK(Fresh.front().m_Endpoint.str() == "a0");
  CHECK(has(Fresh, "b2"));
  CHECK(has(Fresh, "b3"));
  CHECK_FALSE(has(Fresh, "a1"));
  CHECK(Fresh.size() == 5);
}

// As on a day of 42 engines: layers had moved since the streams began, then an
// engine was lost; 62 streams of one chain could not be repaired.
TEST_CASE("an engine of the path gave layers up since: the new path does not "
          "lead through them") {
  Fleet Engines = twoChains();
  add(Engines, "a2", "a100s", {44, 60}); // 40 to 44 were given up
  Engines.suspect(EndpointId("a1"), "test", T0);
  const Path Fresh = repair(Engines, {EndpointId("a1")});
  REQUIRE(tilesExactly(Fresh, 80));
  for (const StagePlan &Each : Fresh) {
    const LayerRange Held = Engines.find(Each.m_Endpoint)->m_Record.m_Layers;
    CHECK(Held.m_First <= Each.m_Layers.m_First);
    CHECK(Each.m_Layers.m_End <= Held.m_End);
  }
  CHECK(has(Fresh, "a2"));
  CHECK(has(Fresh, "b4")); // for 40 to 44
  // The first engine keeps its part as it is, or there is no new path.
  add(Engines, "a0", "a100s", {0, 18});
  CHECK(repair(Engines, {EndpointId("a1")}).empty());
  // One that gave all up is as good as lost.
  Engines = twoChains();
  add(Engines, "a2", "a100s", {});
  Engines.suspect(EndpointId("a1"), "test", T0);
  const Path Without = repair(Engines, {EndpointId("a1")});
  REQUIRE(tilesExactly(Without, 80));
  CHECK_FALSE(has(Without, "a2"));
}

TEST_CASE(
    "any set of lost engines: each layer once, no engine twice, or none") {
  const Fleet Whole = twoChains();
  std::vector<EndpointId> Names;
  for (const auto &[Id, Known] : Whole.all())
    Names.push_back(Id);
  unsigned Repaired = 0;
  for (unsigned Mask = 1; Mask < 1u << Names.size(); ++Mask) {
    Fleet Engines = twoChains();
    EndpointSet Lost;
    for (std::size_t I = 0; I < Names.size(); ++I)
      if (Mask >> I & 1) {
        Engines.suspect(Names[I], "test", T0);
        Lost.insert(Names[I]);
      }
    const Path Fresh = repair(Engines, Lost);
    if (Fresh.empty())
      continue;
    ++Repaired;
    bool Sound =
        tilesExactly(Fresh, 80) && Fresh.front().m_Endpoint.str() == "a0";
    EndpointSet Seen;
    for (const StagePlan &Each : Fresh)
      Sound = Sound && !Lost.contains(Each.m_Endpoint) &&
              Seen.insert(Each.m_Endpoint).second;
    REQUIRE(Sound);
  }
  // a0 stands, and for each of a1 to a3 both engines beside it or itself:
  // (2^2 + 1)^3 ways, times the 4 states of b0 and b1, less the whole path.
  CHECK(Repaired == 4 * 125 - 1);
}

TEST_CASE("a path is not repaired with engines that are full, unfit, leaving, "
          "or too small") {
  Fleet Engines = twoChains();
  const EndpointSet Lost{EndpointId("a1")};
  CHECK(repair(Engines, Lost, {EndpointId("b2")}).empty());
  CHECK(repair(Engines, Lost, {}, 1e9).empty());
  EngineLoadReport Full;
  Full.m_KvTotal = 1000;
  Full.m_KvUsed = 1000;
  Engines.onReport(EndpointId("b3"), Full, T0);
  CHECK(repair(Engines, Lost).empty());
  CHECK(repair(Engines, {EndpointId("a0")}).empty());
}

TEST_CASE("a path leaves its data centre only where that is allowed") {
  Fleet Engines;
  for (std::uint32_t I = 0; I < 4; ++I) {
    add(Engines, "a" + std::to_string(I), "a100s", {20 * I, 20 * I + 20});
    add(Engines, "far" + std::to_string(I), "a100s", {20 * I, 20 * I + 20},
        "other");
  }
  const EndpointSet Lost{EndpointId("a2")};
  CHECK(repair(Engines, Lost).empty());
  const Path Fresh = repair(Engines, Lost, {}, 1000, RepairScope::Anywhere);
  REQUIRE(tilesExactly(Fresh, 80));
  CHECK(has(Fresh, "far2"));
}

TEST_CASE("what the engines of a path are taken for") {
  Fleet Engines = twoChains();
  const Path Chain = firstChain();
  PathState Of = pathState(Engines, Chain, T0);
  CHECK_FALSE(Of.m_FirstLost);
  CHECK_FALSE(Of.m_OtherLost);
  CHECK(Of.m_Lost.empty());
  Engines.remove(EndpointId("a2"), T0);
  CHECK_FALSE(pathState(Engines, Chain, T0).m_OtherLeaving);
  Engines.onTick(T0 + 1001ms);
  // One that the registry dropped is forgotten after that, so it is lost.
  Engines.onTick(T0 + 1100ms);
  Of = pathState(Engines, Chain, T0);
  CHECK(Of.m_OtherLost);
  CHECK(Of.m_Lost == EndpointSet{EndpointId("a2")});
  Engines.suspect(EndpointId("a0"), "test", T0);
  Of = pathState(Engines, Chain, T0);
  CHECK(Of.m_FirstLost);
  CHECK(Of.m_Lost.size() == 2);
}

TEST_CASE("an engine falls silent: streams are led around it before a pause "
          "counts as late") {
  Fleet Engines = twoChains();
  const Path Chain = firstChain();
  const EndpointId Silent("a1");
  // Asked after a pause of 125 ms; a report that is there at once changes
  // nothing.
  const Instant Asked = T0 + 125ms;
  Engines.onReportRequested(Silent, Asked);
  CHECK_FALSE(pathState(Engines, Chain, Asked + 20ms).m_OtherLost);
  const Instant Late = T0 + 200ms; // the shortest pause that counts as late
  const PathState Of = pathState(Engines, Chain, Late);
  REQUIRE(Of.m_OtherLost);
  CHECK(Of.m_Lost == EndpointSet{Silent});
  ChainRouter Chains;
  Chains.rebuild(Engines, Llm, model());
  const Path Fresh = repairPath(Engines, Chains, Chain, Of.m_Lost, {}, 1000,
                                RepairScope::SameDataCentre, Late);
  CHECK(tilesExactly(Fresh, 80));
  // Nothing is repaired with an engine that does not answer either.
  Engines.onReportRequested(EndpointId("b2"), Asked);
  CHECK(repairPath(Engines, Chains, Chain, Of.m_Lost, {}, 1000,
                   RepairScope::SameDataCentre, Late)
            .empty());
  // It is not distrusted for that: other requests are still sent to it.
  CHECK(Engines.find(Silent)->usable());
  Engines.onReportRequestEnded(Silent);
  CHECK_FALSE(pathState(Engines, Chain, Late).m_OtherLost);
}

TEST_CASE("a pause: over all facts, silence alone ends nothing") {
  for (const auto Pause : {0ms, 101ms, 126ms, 251ms, 700ms, 1301ms, 3000ms})
    for (unsigned Bits = 0; Bits < 1u << 7; ++Bits) {
      StallState Facts;
      Facts.m_StallTime = Pause;
      Facts.m_FirstEventLimit = 500ms;
      Facts.m_HasEvent = Bits & 1;
      Facts.m_FirstLost = Bits & 2;
      Facts.m_PathLost = Bits & 4;
      Facts.m_PathLeaving = Bits & 8;
      Facts.m_Repairing = Bits & 16;
      Facts.m_MayRepair = Bits & 32;
      Facts.m_MayReroute = Bits & 64;
      CAPTURE(Bits);
      CAPTURE(Pause.count());
      const StallAction Step = stallAction(Facts);
      if (Step == StallAction::Reroute) {
        CHECK(Facts.m_MayReroute);
        CHECK((Facts.m_FirstLost || Facts.m_PathLost || Pause > 1300ms));
        CHECK(Pause > 250ms);
      }
      if (Step == StallAction::Repair) {
        CHECK(Facts.m_MayRepair);
        CHECK_FALSE(Facts.m_Repairing);
        CHECK_FALSE(Facts.m_FirstLost);
        CHECK((Facts.m_PathLost || Facts.m_PathLeaving));
      }
      if (Pause == 0ms && !Facts.m_PathLeaving)
        CHECK(Step == StallAction::Wait);
    }
}

TEST_CASE("a lost engine in a stream is answered before its pause is late") {
  StallState Facts;
  Facts.m_HasEvent = true;
  Facts.m_MayRepair = true;
  Facts.m_StallTime = 126ms;
  CHECK(stallAction(Facts) == StallAction::ProbePath);
  Facts.m_PathLost = true;
  CHECK(stallAction(Facts) == StallAction::Repair);
}
