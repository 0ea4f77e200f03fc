// Placement of layers and choice of chains, with engines that are lost, full,
// low on memory, leaving or refusing requests.
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
Fleet twoDataCentres() {
  Fleet Engines;
  for (const std::string DataCentre : {"x", "y"})
    for (std::uint32_t I = 0; I < 4; ++I)
      Engines.put(engine(DataCentre + std::to_string(I), "a100s",
                         {20 * I, 20 * I + 20}, DataCentre),
                  T0);
  return Engines;
}

// Returns how many of 100 requests from data centre x \p Router sends to a
// chain of data centre y.
int countRemoteChoices(const ChainRouter &Router, const Fleet &Engines) {
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

void applyOrders(Fleet &Engines, const std::vector<LayerOrder> &Orders) {
  for (const LayerOrder &Order : Orders)
    Engines.onLayersConfirmed(Order.m_Engine, Order.m_Layers);
}

// Applies plans until none is left. \returns the number of rounds, or -1 if
// there are still orders after 50.
int placeUntilStable(Fleet &Engines) {
  for (int Round = 0; Round < 50; ++Round) {
    const auto Orders = planLayers(Engines, Llm, model());
    if (Orders.empty())
      return Round;
    applyOrders(Engines, Orders);
  }
  return -1;
}

double memoryMb(const FleetEndpoint &Engine) {
  return model().m_Kinds.at(Engine.m_Record.m_Accelerator).m_MemoryMb;
}

// Returns the least fraction of memory that any usable engine has free.
double minFreeFraction(const Fleet &Engines) {
  double MinFree = 1;
  for (const auto &[Id, Engine] : Engines.all())
    if (Engine.usable())
      MinFree = std::min(MinFree, 1 - (Engine.m_Record.m_Layers.m_End -
                                       Engine.m_Record.m_Layers.m_First) *
                                          model().m_LayerMb / memoryMb(Engine));
  return MinFree;
}

std::size_t chainCount(const Fleet &Engines) {
  ChainRouter Router;
  Router.rebuild(Engines, Llm, model());
  return Router.chains().size();
}

} // namespace

TEST_CASE("layers are split so that the engine with the least free memory "
          "keeps as much as possible") {
  const auto Ranges = splitByMemory({36000, 21600, 14400}, 20, 1750);
  REQUIRE(Ranges.size() == 3);
  CHECK(Ranges[0] == LayerRange{0, 10});
  CHECK(Ranges[1] == LayerRange{10, 16});
  CHECK(Ranges[2] == LayerRange{16, 20});
  CHECK(splitByMemory({14400}, 9, 1750).empty());
}

TEST_CASE("engines without layers become one chain over all engines of their "
          "data centre") {
  Fleet Engines = mixedFleet();
  CHECK(placeUntilStable(Engines) == 1);
  CHECK(chainCount(Engines) == 1);
  CHECK(minFreeFraction(Engines) > 0.38);
}

TEST_CASE("engines that are together too small for the model get no orders") {
  Fleet Engines;
  Engines.put(engine("only", "t4"), T0);
  CHECK(planLayers(Engines, Llm, model()).empty());
}

TEST_CASE("lost engines: after any two losses the chain is complete again, "
          "with free memory for requests") {
  // If only the two neighbours took over the lost layers, they would have a
  // twentieth of their memory left.
  std::vector<EndpointId> Ids;
  const Fleet Initial = mixedFleet();
  for (const auto &[Id, Engine] : Initial.all())
    Ids.push_back(Id);
  for (const EndpointId &First : Ids)
    for (const EndpointId &Second : Ids) {
      Fleet Engines = mixedFleet();
      placeUntilStable(Engines);
      Engines.suspect(First, "test", T0);
      Engines.suspect(Second, "test", T0);
      CAPTURE(First.str());
      CAPTURE(Second.str());
      CHECK(placeUntilStable(Engines) >= 0);
      CHECK(chainCount(Engines) == 1);
      CHECK(minFreeFraction(Engines) > 0.15);
    }
}

TEST_CASE("an engine that returns without layers leaves no engine of the chain "
          "lower on memory than before") {
  Fleet Engines = mixedFleet();
  placeUntilStable(Engines);
  Engines.suspect(EndpointId("l4-0"), "test", T0);
  Engines.suspect(EndpointId("l4-1"), "test", T0);
  placeUntilStable(Engines);
  const double Before = minFreeFraction(Engines);
  Engines.put(engine("fresh", "l4"), T0);
  CHECK(placeUntilStable(Engines) >= 0);
  CHECK(chainCount(Engines) == 1);
  CHECK(minFreeFraction(Engines) >= Before);
}

TEST_CASE("a stale load report does not overwrite the layers that the registry "
          "shows") {
  Fleet Engines;
  Engines.put(engine("a", "a100s", {0, 20}), T0);
  Engines.onReport(EndpointId("a"), EngineLoadReport{}, T0);
  CHECK(Engines.find(EndpointId("a"))->m_Record.m_Layers == LayerRange{0, 20});
}

TEST_CASE("a restart under the same id clears suspicion and layers") {
  Fleet Engines;
  EndpointRecord Record = engine("a", "a100s", {0, 20});
  Record.m_StartedMs = 1;
  Engines.put(Record, T0);
  Engines.suspect(Record.m_Id, "test", T0);
  Record.m_StartedMs = 2;
  Record.m_Layers = {};
  Engines.put(Record, T0);
  CHECK(Engines.find(Record.m_Id)->usable());
  CHECK(Engines.find(Record.m_Id)->m_Record.m_Layers == LayerRange{});
}

TEST_CASE("a chain whose first engine is full gets no requests, the other "
          "chain gets all") {
  Fleet Engines = twoDataCentres();
  ChainRouter Router;
  Router.rebuild(Engines, Llm, model());
  REQUIRE(Router.chains().size() == 2);
  Engines.onFull(EndpointId("x0"), T0 + 1s);
  CHECK(countRemoteChoices(Router, Engines) == 100);
  EngineLoadReport Full;
  Full.m_Running = 192;
  Engines.onReport(EndpointId("y0"), Full, T0);
  Random Rng(7);
  CHECK(Router.choose(Engines, {700, 200, 170}, DataCentreId("x"), {}, T0,
                      Rng) == nullptr);
}

TEST_CASE("engines refuse to take part and the registry does not show it: "
          "paths route around them, and both data centres stay in use") {
  // Two chains per data centre, split at different layers. One engine of each
  // chain leaves while the store is down.
  const auto MakeFleet = [] {
    Fleet Engines = twoDataCentres();
    for (const std::string DataCentre : {"x", "y"}) {
      const LayerRange Borders[] = {
          {0, 10}, {10, 30}, {30, 50}, {50, 70}, {70, 80}};
      for (std::uint32_t I = 0; I < 5; ++I)
        Engines.put(engine(DataCentre + "b" + std::to_string(I), "a100s",
                           Borders[I], DataCentre),
                    T0);
    }
    return Engines;
  };
  const EndpointId Leaving[] = {EndpointId("x1"), EndpointId("xb3"),
                                EndpointId("y0"), EndpointId("yb4")};
  Fleet Engines = MakeFleet();
  ChainRouter Router;
  Router.rebuild(Engines, Llm, model());
  CHECK(Router.chains().size() == 4);
  for (const EndpointId &Id : Leaving) {
    CHECK(Engines.onStageRefused(Id, T0));
    CHECK_FALSE(Engines.onStageRefused(Id, T0)); // already in flight
  }
  Router.rebuild(Engines, Llm, model());
  Random Rng(7);
  std::set<DataCentreId> UsedDataCentres;
  for (int I = 0; I < 100; ++I) {
    const Chain *Chosen =
        Router.choose(Engines, {700, 200, 170}, DataCentreId("x"), {}, T0, Rng);
    REQUIRE(Chosen);
    UsedDataCentres.insert(Chosen->m_DataCentre);
    for (const StagePlan &Stage : Chosen->m_Stages)
      CHECK(std::find(std::begin(Leaving), std::end(Leaving),
                      Stage.m_Endpoint) == std::end(Leaving));
  }
  CHECK(UsedDataCentres.size() == 2);
  SUBCASE("they are tried again after a backoff that grows with each refusal") {
    int Refusals = 0;
    for (Instant Now = T0; Now < T0 + 20s; Now += 25ms) {
      Engines.onTick(Now);
      if (Engines.find(Leaving[0])->routable())
        Refusals += Engines.onStageRefused(Leaving[0], Now);
    }
    CHECK(Refusals >= 2);
    CHECK(Refusals <= 3);
  }
  SUBCASE("a registry change ends it: other layers are used at once, and an "
          "engine that leaves is never used") {
    Engines.put(engine("x1", "a100s", {20, 41}, "x"), T0 + 1s);
    CHECK(Engines.find(Leaving[0])->routable());
    EndpointRecord LeavingRecord = engine("xb3", "a100s", {50, 70}, "x");
    LeavingRecord.m_Leaving = true;
    Engines.put(LeavingRecord, T0 + 1s);
    Engines.onTick(T0 + 10s);
    CHECK_FALSE(Engines.find(Leaving[1])->routable());
  }
  SUBCASE("they are tried anyway if there is no other path") {
    const Fleet Initial = MakeFleet();
    for (const auto &[Id, Engine] : Initial.all())
      Engines.onStageRefused(Id, T0);
    Router.rebuild(Engines, Llm, model());
    CHECK(Router.choose(Engines, {700, 200, 170}, DataCentreId("x"), {}, T0,
                        Rng));
  }
}

TEST_CASE("an address is taken by a later start while the old entry stays: "
          "paths use the new engine only") {
  // The new engine's id sorts before or after that of the ended one.
  for (const std::string NewId : {"a", "z"})
    for (const bool NewFirst : {false, true}) {
      CAPTURE(NewId);
      CAPTURE(NewFirst);
      EndpointRecord EndedRecord = engine("m", "a100s", {0, 20});
      EndedRecord.m_StartedMs = 1000;
      EndpointRecord NewRecord = engine(NewId, "a100s", {20, 40});
      NewRecord.m_Address = EndedRecord.m_Address;
      NewRecord.m_StartedMs = 9000;
      Fleet Engines;
      for (std::uint32_t I = 0; I < 4; ++I)
        Engines.put(
            engine("o" + std::to_string(I), "a100s", {20 * I, 20 * I + 20}),
            T0);
      Engines.put(NewFirst ? NewRecord : EndedRecord, T0);
      Engines.put(NewFirst ? EndedRecord : NewRecord, T0);
      EndedRecord.m_Layers = {0, 21}; // the old entry changes once more
      Engines.put(EndedRecord, T0 + 100ms);
      CHECK(Engines.findByAddress(EndedRecord.m_Address)->m_Record.m_Id ==
            NewRecord.m_Id);
      CHECK_FALSE(Engines.find(EndedRecord.m_Id)->routable());
      CHECK_FALSE(Engines.find(EndedRecord.m_Id)->usable());
      CHECK(Engines.find(NewRecord.m_Id)->usable());
      ChainRouter Router;
      Router.rebuild(Engines, Llm, model());
      for (const Chain &Candidate : Router.chains())
        for (const StagePlan &Stage : Candidate.m_Stages)
          CHECK(Stage.m_Endpoint != EndedRecord.m_Id);
    }
}

TEST_CASE("chains of any fleet: every layer once and in order, no engine "
          "twice, no layers that the engine does not hold") {
  std::mt19937 Rng(20261204);
  for (int Round = 0; Round < 300; ++Round) {
    EngineModel Model = model();
    Model.m_MeanPromptTokens = 700;
    Model.m_MeanAnswerTokens = 170;
    Fleet Engines;
    const char *Kinds[] = {"a100s", "l4", "t4"};
    for (int I = 0; I < 30; ++I) {
      const std::uint32_t First = Rng() % 78;
      const std::uint32_t Length = 1 + Rng() % 14;
      const EndpointId Id("e" + std::to_string(I));
      Engines.put(engine(Id.str(), Kinds[Rng() % 3],
                         {First, std::min(80u, First + Length)},
                         Rng() % 2 ? "x" : "y"),
                  T0);
      if (Rng() % 8 == 0)
        Engines.onStageRefused(Id, T0);
    }
    ChainRouter Router;
    Router.rebuild(Engines, Llm, Model);
    for (const Chain &Candidate : Router.chains()) {
      std::uint32_t Next = 0;
      std::set<EndpointId> Seen;
      for (const StagePlan &Stage : Candidate.m_Stages) {
        CHECK(Stage.m_Layers.m_First == Next);
        CHECK(Seen.insert(Stage.m_Endpoint).second);
        const LayerRange HeldLayers =
            Engines.find(Stage.m_Endpoint)->m_Record.m_Layers;
        CHECK(Stage.m_Layers.m_First >= HeldLayers.m_First);
        CHECK(Stage.m_Layers.m_End <= HeldLayers.m_End);
        Next = Stage.m_Layers.m_End;
      }
      CHECK(Next == 80);
    }
  }
}

TEST_CASE("used memory counts at every stage, against the total that the "
          "engine reports") {
  Fleet Engines = twoDataCentres();
  ChainRouter Router;
  Router.rebuild(Engines, Llm, model());
  // The engine still holds layers that it is releasing, so it has less free
  // memory than its range implies.
  EngineLoadReport Report;
  Report.m_KvUsed = 9000;
  Report.m_KvTotal = 10000;
  Engines.onReport(EndpointId("x2"), Report, T0);
  const auto &Chains = Router.chains();
  const Chain &ChainX =
      Chains[0].m_DataCentre.str() == "x" ? Chains[0] : Chains[1];
  CHECK(Router.utilization(Engines, ChainX, T0) > 0.89);
  CHECK(Router.mostLoadedEngine(Engines, ChainX, T0).str() == "x2");
  Engines.onFull(EndpointId("x3"), T0 + 1s);
  CHECK(Router.utilization(Engines, ChainX, T0) == 1);
}

TEST_CASE("many routers, one engine low on memory that none of them has asked: "
          "its chain counts as full by the requests on it") {
  // An l4 with 11 layers has memory for some 30 requests, the other engines for
  // hundreds.
  Fleet Engines;
  const LayerRange Ranges[] = {{0, 10},  {10, 20}, {20, 30}, {30, 41},
                               {41, 51}, {51, 61}, {61, 71}, {71, 80}};
  for (const std::string DataCentre : {"x", "y"})
    for (std::uint32_t I = 0; I < 8; ++I) {
      const bool LowMemory = DataCentre == "x" && I == 3;
      Engines.put(engine(DataCentre + std::to_string(I),
                         LowMemory ? "l4" : "a100s", Ranges[I], DataCentre),
                  T0);
    }
  EngineModel Model = model();
  Model.m_MeanPromptTokens = 760;
  Model.m_MeanAnswerTokens = 170;
  ChainRouter Router;
  Router.rebuild(Engines, Llm, Model);
  REQUIRE(Router.chains().size() == 2);
  const auto &Chains = Router.chains();
  const Chain &ChainX =
      Chains[0].m_DataCentre.str() == "x" ? Chains[0] : Chains[1];
  // 40 requests run on each chain, few of them from this router; the first
  // engines report how many they run.
  EngineLoadReport Busy;
  Busy.m_KvTotal = 1e6;
  Busy.m_KvUsed = 2e5;
  Busy.m_Running = 40;
  Engines.onReport(EndpointId("x0"), Busy, T0);
  Engines.onReport(EndpointId("y0"), Busy, T0);
  CHECK(Router.mostLoadedEngine(Engines, ChainX, T0).str() == "x3");
  CHECK(countRemoteChoices(Router, Engines) == 100);
  // A recent report of the engine itself overrides the estimate.
  EngineLoadReport Report;
  Report.m_KvTotal = 318000;
  Report.m_KvUsed = 30000;
  Engines.onReport(EndpointId("x3"), Report, T0);
  CHECK(Router.utilization(Engines, ChainX, T0) < 0.3);
}

TEST_CASE("requests spread over chains by their free capacity, and not all go "
          "to the nearest") {
  Fleet Engines = twoDataCentres();
  ChainRouter Router;
  Router.rebuild(Engines, Llm, model());
  Random Rng(7);
  int LocalCount = 0;
  constexpr int Requests = 120;
  for (int I = 0; I < Requests; ++I) {
    const Chain *Chosen =
        Router.choose(Engines, {40, 20, 10}, DataCentreId("x"), {}, T0, Rng);
    REQUIRE(Chosen);
    LocalCount += Chosen->m_DataCentre.str() == "x";
    Engines.adjustInFlight(Chosen->m_Stages.front().m_Endpoint, 1);
  }
  CHECK(LocalCount > Requests / 3);
  CHECK(LocalCount < Requests * 3 / 4);
}

TEST_CASE("a path uses each layer once and in order, and there is none with "
          "layers missing") {
  std::vector<StagePlan> Stages{{EndpointId("a"), {0, 30}},
                                {EndpointId("b"), {20, 50}},
                                {EndpointId("c"), {45, 80}},
                                {EndpointId("d"), {50, 80}}};
  const Path Result = fewestStages(Stages, 80);
  CHECK(tilesExactly(Result, 80));
  CHECK(fewestStages({{EndpointId("a"), {0, 30}}}, 80).empty());
}

TEST_CASE("a borrowed path passes through no engine twice") {
  // A remaining stage of the chain lies in the middle of the layers that one
  // large engine holds.
  const std::vector<StagePlan> Remaining{{EndpointId("f"), {10, 30}},
                                         {EndpointId("g"), {40, 80}}};
  const std::vector<StagePlan> Lender{{EndpointId("large"), {0, 40}},
                                      {EndpointId("rest"), {40, 80}}};
  const Path Result = fewestBorrowed(Remaining, Lender, 80);
  CHECK(tilesExactly(Result, 80));
  EndpointSet Seen;
  for (const StagePlan &Stage : Result)
    CHECK(Seen.insert(Stage.m_Endpoint).second);
}

TEST_CASE("of two chains one loses an engine: it borrows the missing layers "
          "from the other") {
  Fleet Engines;
  for (std::uint32_t I = 0; I < 4; ++I)
    Engines.put(engine("a" + std::to_string(I), "a100s", {20 * I, 20 * I + 20}),
                T0);
  for (std::uint32_t I = 0; I < 8; ++I)
    Engines.put(engine("b" + std::to_string(I), "l4", {10 * I, 10 * I + 10}),
                T0);
  Engines.suspect(EndpointId("a1"), "test", T0);
  ChainRouter Router;
  Router.rebuild(Engines, Llm, model());
  REQUIRE(Router.chains().size() == 2);
  for (const Chain &Candidate : Router.chains())
    CHECK(tilesExactly(Candidate.m_Stages, 80));
  // A chain that has lost most of its engines is not completed with borrowed
  // layers.
  Engines.suspect(EndpointId("a0"), "test", T0);
  Engines.suspect(EndpointId("a3"), "test", T0);
  Router.rebuild(Engines, Llm, model());
  CHECK(Router.chains().size() == 1);
}

TEST_CASE("an engine that leaves, announced or not, serves until others hold "
          "its layers, and no longer than a second") {
  for (const bool Announced : {true, false}) {
    Fleet Engines = mixedFleet();
    placeUntilStable(Engines);
    const EndpointId LeavingId("l4-1");
    EndpointRecord Record = Engines.find(LeavingId)->m_Record;
    Record.m_Leaving = true;
    if (Announced)
      Engines.put(Record, T0);
    else
      Engines.remove(LeavingId, T0);
    CHECK(chainCount(Engines) == 1);
    Engines.onTick(T0 + 1100ms);
    CHECK(chainCount(Engines) == 0);
    CHECK(placeUntilStable(Engines) >= 0);
    CHECK(chainCount(Engines) == 1);
  }
}
