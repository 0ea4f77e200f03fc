// Which orders to engines are due while others are under way.
#include "decide/layer_orders.h"
#include "decide/order_lease.h"
#include "decide/order_turn.h"

#include "engine_fixture.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <set>

using namespace mimosadale;
using namespace mimosadale::decide;
using namespace mimosadale::tests;
using namespace std::chrono_literals;

namespace {

// A chain of four engines, and one that holds nothing.
Fleet chainWithSpare() {
  Fleet Engines;
  Engines.put(engine("a", "a100s", {0, 20}), T0);
  Engines.put(engine("b", "a100s", {20, 40}), T0);
  Engines.put(engine("c", "a100s", {40, 60}), T0);
  Engines.put(engine("d", "a100s", {60, 80}), T0);
  Engines.put(engine("e", "a100s"), T0);
  return Engines;
}

} // namespace

TEST_CASE("while an order is under way nothing is given up for it") {
  Fleet Engines = chainWithSpare();
  LayerOrders Orders;
  const auto FirstOrders = Orders.due(Engines, Llm, model(), T0);
  REQUIRE(FirstOrders.size() == 1);
  Orders.onSent(FirstOrders[0], model(), T0);
  for (const PlaceOrder &Order :
       Orders.due(Engines, Llm, model(), T0 + 200ms)) {
    const LayerRange HeldLayers =
        Engines.find(Order.m_Engine)->m_Record.m_Layers;
    const bool KeepsLayers = HeldLayers.m_First >= HeldLayers.m_End ||
                             (Order.m_Layers.m_First <= HeldLayers.m_First &&
                              Order.m_Layers.m_End >= HeldLayers.m_End);
    CHECK(KeepsLayers);
  }
}

TEST_CASE("an order without an answer is planned again soon") {
  Fleet Engines;
  for (int I = 0; I < 4; ++I)
    Engines.put(
        engine(std::string(1, static_cast<char>('a' + I)), "a100s",
               {static_cast<std::uint32_t>(20 * I),
                static_cast<std::uint32_t>(20 * I + (I == 3 ? 15 : 20))}),
        T0);
  Engines.put(engine("idle", "a100s"), T0);
  LayerOrders Orders;
  const auto FirstOrders = Orders.due(Engines, Llm, model(), T0);
  REQUIRE(!FirstOrders.empty());
  for (const PlaceOrder &Order : FirstOrders) {
    Orders.onSent(Order, model(), T0);
    Orders.onUnanswered(Order.m_Engine, T0);
  }
  CHECK(Orders.due(Engines, Llm, model(), T0 + 1s).empty());
  CHECK_FALSE(Orders.due(Engines, Llm, model(), T0 + 2s).empty());
}

TEST_CASE("an order that takes long is not given up while the engine is at it, "
          "and its layers are not dealt to others") {
  Fleet Engines;
  Engines.put(engine("a", "a100s", {0, 20}), T0);
  Engines.put(engine("b", "a100s", {20, 40}), T0);
  Engines.put(engine("c", "a100s", {40, 60}), T0);
  Engines.put(engine("idle", "a100s"), T0);
  Engines.put(engine("spare", "l4"), T0);
  LayerOrders Orders;
  const auto FirstOrders = Orders.due(Engines, Llm, model(), T0);
  REQUIRE(!FirstOrders.empty());
  for (const PlaceOrder &Order : FirstOrders)
    Orders.onSent(Order, model(), T0);
  CHECK(Orders.awaited().size() == FirstOrders.size());
  const auto ReportAll = [&](bool InProgress, Instant At) {
    for (const PlaceOrder &Order : FirstOrders) {
      EngineLoadReport Load;
      Load.m_OrderInProgress = InProgress;
      Engines.onReport(Order.m_Engine, Load, At);
    }
  };
  for (auto Now = T0 + 200ms; Now < T0 + 9s; Now += 200ms) {
    if ((Now - T0) % 1s == 0ms)
      ReportAll(true, Now);
    CHECK(Orders.due(Engines, Llm, model(), Now).empty());
    CHECK(Orders.pending());
  }
  // It ends without effect: planned anew after a moment, for the registry.
  ReportAll(false, T0 + 9s);
  CHECK(Orders.due(Engines, Llm, model(), T0 + 10s).empty());
  CHECK_FALSE(Orders.due(Engines, Llm, model(), T0 + 12s).empty());
  // An engine that says so for ever is not waited for for ever.
  ReportAll(true, T0 + 40s);
  Orders.due(Engines, Llm, model(), T0 + 40s);
  CHECK_FALSE(Orders.pending());
}

TEST_CASE("an engine that gave layers up gets no other order until the streams "
          "that pass through them have ended") {
  Fleet Engines;
  Engines.put(engine("a", "a100s", {0, 16}), T0);
  Engines.put(engine("b", "a100s", {12, 28}), T0); // overlaps with "a"
  Engines.put(engine("c", "a100s", {28, 41}), T0);
  Engines.put(engine("d", "a100s", {41, 54}), T0);
  Engines.put(engine("e", "a100s", {54, 67}), T0);
  Engines.put(engine("f", "a100s", {67, 80}), T0);
  LayerOrders Orders;
  const auto FirstOrders = Orders.due(Engines, Llm, model(), T0);
  REQUIRE(!FirstOrders.empty());
  REQUIRE(FirstOrders[0].m_GivesUp);
  const EndpointId BusyEngine = FirstOrders[0].m_Engine;
  Orders.onSent(FirstOrders[0], model(), T0);
  // The registry shows the new layers at once; then the next engine is lost.
  EndpointRecord Record = Engines.find(BusyEngine)->m_Record;
  Record.m_Layers = FirstOrders[0].m_Layers;
  Engines.put(Record, T0 + 100ms);
  Engines.suspect(EndpointId(BusyEngine.str() == "a" ? "b" : "a"), "test",
                  T0 + 100ms);
  const auto OrderedEngines = [&](Instant Now) {
    std::set<EndpointId> Ids;
    for (const PlaceOrder &Order : Orders.due(Engines, Llm, model(), Now))
      Ids.insert(Order.m_Engine);
    return Ids;
  };
  CHECK_FALSE(OrderedEngines(T0 + 200ms).contains(BusyEngine));
  CHECK_FALSE(Orders.pending()); // others may give up what they hold
  EngineLoadReport Load;
  Load.m_OrderInProgress = true;
  for (auto Now = T0 + 1s; Now < T0 + 9s; Now += 1s) {
    Engines.onReport(BusyEngine, Load, Now);
    CHECK_FALSE(OrderedEngines(Now + 900ms).contains(BusyEngine));
  }
  Load.m_OrderInProgress = false;
  Engines.onReport(BusyEngine, Load, T0 + 9s);
  CHECK(OrderedEngines(T0 + 9s).contains(BusyEngine));
}

TEST_CASE("an engine that says it works on an order gets no other one") {
  Fleet Engines = chainWithSpare();
  LayerOrders Orders;
  const auto FirstOrders = Orders.due(Engines, Llm, model(), T0);
  REQUIRE(FirstOrders.size() == 1);
  const EndpointId BusyEngine = FirstOrders[0].m_Engine;
  const auto IsDue = [&](Instant Now) {
    bool Ordered = false;
    for (const PlaceOrder &Order : Orders.due(Engines, Llm, model(), Now))
      Ordered |= Order.m_Engine == BusyEngine;
    return Ordered;
  };
  EngineLoadReport Load;
  Load.m_OrderInProgress = true; // by the router that had the lease before
  Engines.onReport(BusyEngine, Load, T0);
  CHECK_FALSE(IsDue(T0 + 1s));
  CHECK(IsDue(T0 + 4s)); // not heard of since
  Load.m_OrderInProgress = false;
  Engines.onReport(BusyEngine, Load, T0 + 5s);
  CHECK(IsDue(T0 + 5s));
}

TEST_CASE("first layers wait until no new engine appears") {
  Fleet Engines = mixedFleet();
  LayerOrders Orders;
  CHECK(Orders.due(Engines, Llm, model(), T0).empty());
  Engines.put(engine("late", "l4"), T0 + 1s);
  CHECK(Orders.due(Engines, Llm, model(), T0 + 1s).empty());
  CHECK(Orders.due(Engines, Llm, model(), T0 + 2s).empty());
  CHECK(Orders.due(Engines, Llm, model(), T0 + 2600ms).size() == 14);
}

TEST_CASE("the lease: one holder, a fence that rises, and time from before") {
  OrderLease First(PeerId("first"));
  OrderLease Second(PeerId("second"));
  const auto Write = First.onRow({}, 10000, T0, T0 + 10ms);
  REQUIRE(Write);
  CHECK(Write->m_Expect == 0);
  CHECK_FALSE(First.fence(T0 + 20ms));
  First.onWritten(7);
  CHECK(First.fence(T0 + 20ms) == 7);
  const LeaseRow Row{7, PeerId("first"), Write->m_UntilMs};
  CHECK_FALSE(Second.onRow(Row, 10500, T0 + 500ms, T0 + 500ms));
  CHECK_FALSE(Second.wantsRow(T0 + 600ms));
  // A holder that slept past its lease orders nothing.
  CHECK_FALSE(First.fence(T0 + 2500ms));
  const auto Takeover = Second.onRow(Row, Write->m_UntilMs, T0 + 3s, T0 + 3s);
  REQUIRE(Takeover);
  CHECK(Takeover->m_Expect == 7);
  Second.onWritten(9);
  CHECK(Second.fence(T0 + 3100ms) == 9);
  Second.onFenced(T0 + 3200ms);
  CHECK_FALSE(Second.fence(T0 + 3200ms));
}

TEST_CASE("orders due at many routers: while one gives them, the others leave "
          "the store alone") {
  // 68 routers; the holder's orders take effect every 900 ms for half a minute,
  // then it dies.
  constexpr unsigned Routers = 68;
  constexpr Duration Backoffs[] = {700ms, 1400ms, 2100ms, 4100ms};
  std::vector<OrderTurn> Waiting(Routers - 1);
  for (unsigned I = 0; I < Waiting.size(); ++I)
    Waiting[I].begin(Backoffs[std::min(I, 3u)], 0, T0);
  std::uint64_t AppliedOrders = 0;
  unsigned TurnsWhileHeld = 0;
  Instant Now = T0;
  Instant NextApplied = T0 + 900ms;
  for (; Now < T0 + 30s; Now += 200ms) {
    if (Now >= NextApplied) {
      ++AppliedOrders;
      NextApplied += 900ms;
    }
    for (unsigned I = 1; I < Waiting.size(); ++I)
      TurnsWhileHeld += Waiting[I].comes(AppliedOrders, Now) ? 1 : 0;
  }
  CHECK(TurnsWhileHeld == 0);
  // The first of them comes within its pause of the last sign of the holder.
  CHECK(Waiting[1].comes(AppliedOrders, Now + 1400ms));
  CHECK(Waiting[3].comes(AppliedOrders, Now + 4100ms));
}
