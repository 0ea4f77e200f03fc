// Placement of layers and choice of chains under the losses that made them
// fail.
#include "decide/chain_router.h"
#include "decide/layer_planner.h"
#include "decide/tiling.h"

#include "engine_fixture.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <random>
#include <set>

using namespace mimosadale;
using namespace mimosadale::decide;
using namespace mimosadale::tests;
using namespace std::chrono_literals;

namespace {

// Two data centres, x and y, with a chain of four engines each.
Fleet twoCentres() {
  Fleet Made;
  for (const std::string Centre : {"x", "y"})
    for (std::uint32_t I = 0; I < 4; ++I)
      Made.put(engine(Centre + std::to_string(I), "a100s",
                      {20 * I, 20 * I + 20}, Centre),
               T0);
  return Made;
}

// How often of 100 times \p Router chooses a chain of the data centre y, for
// callers of x.
int chosenElsewhere(const ChainRouter &Router, const Fleet &Engines) {
  Random Rng(7);
  int Count = 0;
  for (int I = 0; I < 100; ++I) {
    const Chain *Chosen =
        Router.choose(Engines, {700, 200, 170}, DataCentreId("x"), {}, T0, Rng);
    REQUIRE(Chosen);
    Count += Chosen->m_DataCentre.str() == "y";
  }
  return Count;
}

void carryOut(Fleet &On, const std::vector<LayerOrder> &Orders) {
  for (const LayerOrder &Each : Orders)
    On.onLayersConfirmed(Each.m_Engine, Each.m_Layers);
}

// Carries out plans until none is left. \returns the number of rounds.
int settle(Fleet &On) {
  for (int Round = 0; Round < 50; ++Round) {
    const auto Orders = planLayers(On, Llm, model());
    if (Orders.empty())
      return Round;
    carryOut(On, Orders);
  }
  return -1;
}

double memoryOf(const FleetEndpoint &Of) {
  return model().m_Kinds.at(Of.m_Record.m_Accelerator).m_MemoryMb;
}

// Least free part of the memory of an engine that is in a chain.
double leastFree(const Fleet &Of) {
  double Least = 1;
  for (const auto &[Id, Known] : Of.all())
    if (Known.usable())
      Least = std::min(Least, 1 - (Known.m_Record.m_Layers.m_End -
                                   Known.m_Record.m_Layers.m_First) *
                                      model().m_LayerMb / memoryOf(Known));
  return Least;
}

std::size_t chains(const Fleet &Of) {
  ChainRouter Router;
  Router.rebuild(Of, Llm, model());
  return Router.chains().size();
}

} // namespace

TEST_CASE("layers are split so that the tightest engine has the most room") {
  const auto Ranges = splitByMemory({36000, 21600, 14400}, 20, 1750);
  REQUIRE(Ranges.size() == 3);
  CHECK(Ranges[0] == LayerRange{0, 10});
  CHECK(Ranges[1] == LayerRange{10, 16});
  CHECK(Ranges[2] == LayerRange{16, 20});
  CHECK(splitByMemory({14400}, 9, 1750).empty());
}

TEST_CASE("an empty data centre becomes one chain over all its engines") {
  Fleet Made = dataCentre();
  CHECK(settle(Made) == 1);
  CHECK(chains(Made) == 1);
  CHECK(leastFree(Made) > 0.38);
}

TEST_CASE("engines that cannot hold the model together get no orders") {
  Fleet Made;
  Made.put(engine("only", "t4"), T0);
  CHECK(planLayers(Made, Llm, model()).empty());
}

TEST_CASE("lost engines: the chain is whole again with room for requests") {
  // Each pair of losses; the two neighbours alone would be left with a
  // twentieth of their memory.
  std::vector<EndpointId> Names;
  const Fleet Whole = dataCentre();
  for (const auto &[Id, Known] : Whole.all())
    Names.push_back(Id);
  for (const EndpointId &First : Names)
    for (const EndpointId &Second : Names) {
      Fleet Made = dataCentre();
      settle(Made);
      Made.suspect(First, "test", T0);
      Made.suspect(Second, "test", T0);
      CAPTURE(First.str());
      CAPTURE(Second.str());
      CHECK(settle(Made) >= 0);
      CHECK(chains(Made) == 1);
      CHECK(leastFree(Made) > 0.15);
    }
}

TEST_CASE("an engine that returns empty relieves the tightest one") {
  Fleet Made = dataCentre();
  settle(Made);
  Made.suspect(EndpointId("l4-0"), "test", T0);
  Made.suspect(EndpointId("l4-1"), "test", T0);
  settle(Made);
  const double Before = leastFree(Made);
  Made.put(engine("fresh", "l4"), T0);
  CHECK(settle(Made) >= 0);
  CHECK(chains(Made) == 1);
  CHECK(leastFree(Made) >= Before);
}

// As on a day of 42 engines with several lost: the engine takes 8 s, since its
// load shares the rate of the store and streams pass through what it gives up.
TEST_CASE("a report that lags does not take back what the registry says") {
  Fleet Made;
  Made.put(engine("a", "a100s", {0, 20}), T0);
  Made.onReport(EndpointId("a"), EngineLoadReport{}, T0);
  CHECK(Made.find(EndpointId("a"))->m_Record.m_Layers == LayerRange{0, 20});
}

TEST_CASE("a restart under the same id forgets trust and layers") {
  Fleet Made;
  EndpointRecord Record = engine("a", "a100s", {0, 20});
  Record.m_StartedMs = 1;
  Made.put(Record, T0);
  Made.suspect(Record.m_Id, "test", T0);
  Record.m_StartedMs = 2;
  Record.m_Layers = {};
  Made.put(Record, T0);
  CHECK(Made.find(Record.m_Id)->usable());
  CHECK(Made.find(Record.m_Id)->m_Record.m_Layers == LayerRange{});
}

TEST_CASE(
    "a chain whose first engine is full gets nothing, the other one all") {
  Fleet Made = twoCentres();
  ChainRouter Router;
  Router.rebuild(Made, Llm, model());
  REQUIRE(Router.chains().size() == 2);
  Made.onFull(EndpointId("x0"), T0 + 1s);
  CHECK(chosenElsewhere(Router, Made) == 100);
  EngineLoadReport Full;
  Full.m_Running = 192;
  Made.onReport(EndpointId("y0"), Full, T0);
  Random Rng(7);
  CHECK(Router.choose(Made, {700, 200, 170}, DataCentreId("x"), {}, T0, Rng) ==
        nullptr);
}

TEST_CASE("engines refuse to take part and the registry does not tell: paths "
          "lead around them, and no chain is given up for them") {
  // Two chains a data centre with other borders; one engine of each chain
  // leaves while the store is down.
  const auto fleet = [] {
    Fleet Made = twoCentres();
    for (const std::string Centre : {"x", "y"}) {
      const LayerRange Other[] = {
          {0, 10}, {10, 30}, {30, 50}, {50, 70}, {70, 80}};
      for (std::uint32_t I = 0; I < 5; ++I)
        Made.put(
            engine(Centre + "b" + std::to_string(I), "a100s", Other[I], Centre),
            T0);
    }
    return Made;
  };
  const EndpointId Leaving[] = {EndpointId("x1"), EndpointId("xb3"),
                                EndpointId("y0"), EndpointId("yb4")};
  Fleet Made = fleet();
  ChainRouter Router;
  Router.rebuild(Made, Llm, model());
  CHECK(Router.chains().size() == 4);
  for (const EndpointId &Each : Leaving) {
    CHECK(Made.onStageRefused(Each, T0));
    CHECK_FALSE(Made.onStageRefused(Each, T0)); // what was under way
  }
  Router.rebuild(Made, Llm, model());
  Random Rng(7);
  std::set<DataCentreId> Used;
  for (int I = 0; I < 100; ++I) {
    const Chain *Chosen =
        Router.choose(Made, {700, 200, 170}, DataCentreId("x"), {}, T0, Rng);
    REQUIRE(Chosen);
    Used.insert(Chosen->m_DataCentre);
    for (const StagePlan &Stage : Chosen->m_Stages)
      CHECK(std::find(std::begin(Leaving), std::end(Leaving),
                      Stage.m_Endpoint) == std::end(Leaving));
  }
  CHECK(Used.size() == 2);
  SUBCASE(
      "they are tried again later, the more seldom the oftener they refuse") {
    int Refused = 0;
    for (Instant Now = T0; Now < T0 + 20s; Now += 25ms) {
      Made.onTick(Now);
      if (Made.find(Leaving[0])->routable())
        Refused += Made.onStageRefused(Leaving[0], Now);
    }
    CHECK(Refused >= 2);
    CHECK(Refused <= 3);
  }
  SUBCASE("the registry's word ends it: other layers are used, and one that "
          "leaves is not used even for a moment") {
    Made.put(engine("x1", "a100s", {20, 41}, "x"), T0 + 1s);
    CHECK(Made.find(Leaving[0])->routable());
    EndpointRecord Left = engine("xb3", "a100s", {50, 70}, "x");
    Left.m_Leaving = true;
    Made.put(Left, T0 + 1s);
    Made.onTick(T0 + 10s);
    CHECK_FALSE(Made.find(Leaving[1])->routable());
  }
  SUBCASE("if there is no other path, they are tried all the same") {
    const Fleet All = fleet();
    for (const auto &[Id, Known] : All.all())
      Made.onStageRefused(Id, T0);
    Router.rebuild(Made, Llm, model());
    CHECK(Router.choose(Made, {700, 200, 170}, DataCentreId("x"), {}, T0, Rng));
  }
}

TEST_CASE("an address is taken by a later start while the old entry stays: "
          "paths come to the new one only, once") {
  // The new engine's id sorts before and after that of the ended one.
  for (const std::string Fresh : {"a", "z"})
    for (const bool FreshFirst : {false, true}) {
      CAPTURE(Fresh);
      CAPTURE(FreshFirst);
      EndpointRecord Ended = engine("m", "a100s", {0, 20});
      Ended.m_StartedMs = 1000;
      EndpointRecord Later = engine(Fresh, "a100s", {20, 40});
      Later.m_Address = Ended.m_Address;
      Later.m_StartedMs = 9000;
      Fleet Made;
      for (std::uint32_t I = 0; I < 4; ++I)
        Made.put(
            engine("o" + std::to_string(I), "a100s", {20 * I, 20 * I + 20}),
            T0);
      Made.put(FreshFirst ? Later : Ended, T0);
      Made.put(FreshFirst ? Ended : Later, T0);
      Ended.m_Layers = {0, 21}; // its entry changes once more
      Made.put(Ended, T0 + 100ms);
      CHECK(Made.findByAddress(Ended.m_Address)->m_Record.m_Id == Later.m_Id);
      CHECK_FALSE(Made.find(Ended.m_Id)->routable());
      CHECK_FALSE(Made.find(Ended.m_Id)->usable());
      CHECK(Made.find(Later.m_Id)->usable());
      ChainRouter Router;
      Router.rebuild(Made, Llm, model());
      for (const Chain &Each : Router.chains())
        for (const StagePlan &Stage : Each.m_Stages)
          CHECK(Stage.m_Endpoint != Ended.m_Id);
    }
}

TEST_CASE(
    "chains of any fleet: every layer once and in order, no engine twice, "
    "only layers that are held") {
  std::mt19937 Draw(20261204);
  for (int Round = 0; Round < 300; ++Round) {
    EngineModel Of = model();
    Of.m_MeanPromptTokens = 700;
    Of.m_MeanAnswerTokens = 170;
    Fleet Made;
    const char *Kinds[] = {"a100s", "l4", "t4"};
    for (int I = 0; I < 30; ++I) {
      const std::uint32_t First = Draw() % 78;
      const std::uint32_t Length = 1 + Draw() % 14;
      const EndpointId Id("e" + std::to_string(I));
      Made.put(engine(Id.str(), Kinds[Draw() % 3],
                      {First, std::min(80u, First + Length)},
                      Draw() % 2 ? "x" : "y"),
               T0);
      if (Draw() % 8 == 0)
        Made.onStageRefused(Id, T0);
    }
    ChainRouter Router;
    Router.rebuild(Made, Llm, Of);
    for (const Chain &Each : Router.chains()) {
      std::uint32_t Next = 0;
      std::set<EndpointId> Seen;
      for (const StagePlan &Stage : Each.m_Stages) {
        CHECK(Stage.m_Layers.m_First == Next);
        CHECK(Seen.insert(Stage.m_Endpoint).second);
        const LayerRange Held = Made.find(Stage.m_Endpoint)->m_Record.m_Layers;
        CHECK(Stage.m_Layers.m_First >= Held.m_First);
        CHECK(Stage.m_Layers.m_End <= Held.m_End);
        Next = Stage.m_Layers.m_End;
      }
      CHECK(Next == 80);
    }
  }
}

TEST_CASE("memory in use counts at every stage, by the engine's own total") {
  Fleet Made = twoCentres();
  ChainRouter Router;
  Router.rebuild(Made, Llm, model());
  // It still holds layers that it is giving up: less room than its range says.
  EngineLoadReport Giving;
  Giving.m_KvUsed = 9000;
  Giving.m_KvTotal = 10000;
  Made.onReport(EndpointId("x2"), Giving, T0);
  const auto &Chains = Router.chains();
  const Chain &X = Chains[0].m_DataCentre.str() == "x" ? Chains[0] : Chains[1];
  CHECK(Router.utilization(Made, X, T0) > 0.89);
  CHECK(Router.mostLoadedEngine(Made, X, T0).str() == "x2");
  Made.onFull(EndpointId("x3"), T0 + 1s);
  CHECK(Router.utilization(Made, X, T0) == 1);
}

TEST_CASE(
    "many routers, one tight engine that none of them has asked: its chain "
    "is full by the requests on it") {
  // An l4 with 11 layers has room for some 30 requests, the others for
  // hundreds.
  Fleet Made;
  const LayerRange Ranges[] = {{0, 10},  {10, 20}, {20, 30}, {30, 41},
                               {41, 51}, {51, 61}, {61, 71}, {71, 80}};
  for (const std::string Centre : {"x", "y"})
    for (std::uint32_t I = 0; I < 8; ++I) {
      const bool Tight = Centre == "x" && I == 3;
      Made.put(engine(Centre + std::to_string(I), Tight ? "l4" : "a100s",
                      Ranges[I], Centre),
               T0);
    }
  EngineModel Usual = model();
  Usual.m_MeanPromptTokens = 760;
  Usual.m_MeanAnswerTokens = 170;
  ChainRouter Router;
  Router.rebuild(Made, Llm, Usual);
  REQUIRE(Router.chains().size() == 2);
  const auto &Chains = Router.chains();
  const Chain &X = Chains[0].m_DataCentre.str() == "x" ? Chains[0] : Chains[1];
  // This router has a request or two of the 40 there; the first engines tell
  // how many they run.
  EngineLoadReport Busy;
  Busy.m_KvTotal = 1e6;
  Busy.m_KvUsed = 2e5;
  Busy.m_Running = 40;
  Made.onReport(EndpointId("x0"), Busy, T0);
  Made.onReport(EndpointId("y0"), Busy, T0);
  CHECK(Router.mostLoadedEngine(Made, X, T0).str() == "x3");
  CHECK(chosenElsewhere(Router, Made) == 100);
  // Its own recent word goes before the estimate.
  EngineLoadReport Empty;
  Empty.m_KvTotal = 318000;
  Empty.m_KvUsed = 30000;
  Made.onReport(EndpointId("x3"), Empty, T0);
  CHECK(Router.utilization(Made, X, T0) < 0.3);
}

TEST_CASE("requests spread over chains by the room that they have") {
  Fleet Made = twoCentres();
  ChainRouter Router;
  Router.rebuild(Made, Llm, model());
  Random Rng(7);
  int Here = 0;
  constexpr int Requests = 120;
  for (int I = 0; I < Requests; ++I) {
    const Chain *Chosen =
        Router.choose(Made, {40, 20, 10}, DataCentreId("x"), {}, T0, Rng);
    REQUIRE(Chosen);
    Here += Chosen->m_DataCentre.str() == "x";
    Made.adjustInFlight(Chosen->m_Stages.front().m_Endpoint, 1);
  }
  CHECK(Here > Requests / 3);
  CHECK(Here < Requests * 3 / 4);
}

TEST_CASE("a path uses each layer once and in order") {
  std::vector<StagePlan> Held{{EndpointId("a"), {0, 30}},
                              {EndpointId("b"), {20, 50}},
                              {EndpointId("c"), {45, 80}},
                              {EndpointId("d"), {50, 80}}};
  const Path Found = fewestStages(Held, 80);
  CHECK(tilesExactly(Found, 80));
  CHECK(fewestStages({{EndpointId("a"), {0, 30}}}, 80).empty());
}

TEST_CASE("a lent path comes to no engine twice") {
  // What is left of a chain lies in the middle of what one large engine holds.
  const std::vector<StagePlan> Own{{EndpointId("f"), {10, 30}},
                                   {EndpointId("g"), {40, 80}}};
  const std::vector<StagePlan> Whole{{EndpointId("large"), {0, 40}},
                                     {EndpointId("rest"), {40, 80}}};
  const Path Found = fewestBorrowed(Own, Whole, 80);
  CHECK(tilesExactly(Found, 80));
  EndpointSet Seen;
  for (const StagePlan &Each : Found)
    CHECK(Seen.insert(Each.m_Endpoint).second);
}

TEST_CASE("of two chains one loses an engine: the other lends its layers") {
  Fleet Made;
  for (std::uint32_t I = 0; I < 4; ++I)
    Made.put(engine("a" + std::to_string(I), "a100s", {20 * I, 20 * I + 20}),
             T0);
  for (std::uint32_t I = 0; I < 8; ++I)
    Made.put(engine("b" + std::to_string(I), "l4", {10 * I, 10 * I + 10}), T0);
  Made.suspect(EndpointId("a1"), "test", T0);
  ChainRouter Router;
  Router.rebuild(Made, Llm, model());
  REQUIRE(Router.chains().size() == 2);
  for (const Chain &Each : Router.chains())
    CHECK(tilesExactly(Each.m_Stages, 80));
  // Nothing to mend where a chain has lost most of itself.
  Made.suspect(EndpointId("a0"), "test", T0);
  Made.suspect(EndpointId("a3"), "test", T0);
  Router.rebuild(Made, Llm, model());
  CHECK(Router.chains().size() == 1);
}

TEST_CASE(
    "an engine that leaves, announced or not, serves until its layers are "
    "held elsewhere, and no longer than a second") {
  for (const bool Announced : {true, false}) {
    Fleet Made = dataCentre();
    settle(Made);
    const EndpointId Leaver("l4-1");
    EndpointRecord Record = Made.find(Leaver)->m_Record;
    Record.m_Leaving = true;
    if (Announced)
      Made.put(Record, T0);
    else
      Made.remove(Leaver, T0);
    CHECK(chains(Made) == 1);
    Made.onTick(T0 + 1100ms);
    CHECK(chains(Made) == 0);
    CHECK(settle(Made) >= 0);
    CHECK(chains(Made) == 1);
  }
}
