// Orders to engines that are due while others are in progress, and the lease
// that allows a router to give them.
#include "decide/layer_orders.h"
#include "decide/lease_backoff.h"
#include "decide/order_lease.h"

#include "engine_fixture.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <set>

using namespace mimosadale;
using namespace mimosadale::decide;
using namespace mimosadale::tests;
using namespace std::chrono_literals;

namespace {

// A chain of four engines, and one engine that holds no layers.
Fleet chainWithSpare() {
  Fleet Engines;
  Engines.put(engine("a", "a100s", {0, 20}), T0);
  Engines.put(engine("b", "a100s", {20, 40}), T0);
  Engines.put(engine("c", "a100s", {40, 60}), T0);
  Engines.put(engine("d", "a100s", {60, 80}), T0);
  Engines.put(engine("e", "a100s"), T0);
  return Engines;
}

// A version of a store that states no era.
StoreVersion numbered(std::uint64_t Number) { return {StoreEra{}, Number}; }

} // namespace

TEST_CASE("while an order is under way no engine is told to release layers for "
          "another one") {
  Fleet Engines = chainWithSpare();
  LayerOrderTracker Orders;
  const auto FirstOrders = Orders.dueOrders(Engines, Llm, model(), T0);
  REQUIRE(FirstOrders.size() == 1);
  Orders.onSent(FirstOrders[0], model(), T0);
  for (const LayerOrder &Order :
       Orders.dueOrders(Engines, Llm, model(), T0 + 200ms)) {
    const LayerRange HeldLayers =
        Engines.find(Order.m_Engine)->m_Record.m_Layers;
    const bool KeepsLayers = HeldLayers.m_First >= HeldLayers.m_End ||
                             (Order.m_Layers.m_First <= HeldLayers.m_First &&
                              Order.m_Layers.m_End >= HeldLayers.m_End);
    CHECK(KeepsLayers);
  }
}

TEST_CASE("an order without an answer is planned again after a short backoff") {
  Fleet Engines;
  for (int I = 0; I < 4; ++I)
    Engines.put(
        engine(std::string(1, static_cast<char>('a' + I)), "a100s",
               {static_cast<std::uint32_t>(20 * I),
                static_cast<std::uint32_t>(20 * I + (I == 3 ? 15 : 20))}),
        T0);
  Engines.put(engine("idle", "a100s"), T0);
  LayerOrderTracker Orders;
  const auto FirstOrders = Orders.dueOrders(Engines, Llm, model(), T0);
  REQUIRE(!FirstOrders.empty());
  for (const LayerOrder &Order : FirstOrders) {
    Orders.onSent(Order, model(), T0);
    Orders.onAnswerLost(Order.m_Engine, T0);
  }
  CHECK(Orders.dueOrders(Engines, Llm, model(), T0 + 1s).empty());
  CHECK_FALSE(Orders.dueOrders(Engines, Llm, model(), T0 + 2s).empty());
}

// An order can take 8 s, as seen with 42 engines of which several were lost:
// the load shares the rate of the store with others, and streams still pass
// through the layers that the engine releases.
TEST_CASE("an order that takes long is not abandoned while its engine reports "
          "it in progress, nor its layers assigned to others") {
  Fleet Engines;
  Engines.put(engine("a", "a100s", {0, 20}), T0);
  Engines.put(engine("b", "a100s", {20, 40}), T0);
  Engines.put(engine("c", "a100s", {40, 60}), T0);
  Engines.put(engine("idle", "a100s"), T0);
  Engines.put(engine("spare", "l4"), T0);
  LayerOrderTracker Orders;
  const auto FirstOrders = Orders.dueOrders(Engines, Llm, model(), T0);
  REQUIRE(!FirstOrders.empty());
  for (const LayerOrder &Order : FirstOrders)
    Orders.onSent(Order, model(), T0);
  CHECK(Orders.awaitedEngines().size() == FirstOrders.size());
  const auto ReportAll = [&](bool InProgress, Instant At) {
    for (const LayerOrder &Order : FirstOrders) {
      EngineLoadReport Load;
      Load.m_OrderInProgress = InProgress;
      Engines.onReport(Order.m_Engine, Load, At);
    }
  };
  for (auto Now = T0 + 200ms; Now < T0 + 9s; Now += 200ms) {
    if ((Now - T0) % 1s == 0ms)
      ReportAll(true, Now);
    CHECK(Orders.dueOrders(Engines, Llm, model(), Now).empty());
    CHECK(Orders.hasPending());
  }
  // The order ends without effect. It is planned again after a backoff, in
  // which the registry may still show the new layers.
  ReportAll(false, T0 + 9s);
  CHECK(Orders.dueOrders(Engines, Llm, model(), T0 + 10s).empty());
  CHECK_FALSE(Orders.dueOrders(Engines, Llm, model(), T0 + 12s).empty());
  // An engine that reports the order in progress without end is not awaited
  // without end.
  ReportAll(true, T0 + 40s);
  Orders.dueOrders(Engines, Llm, model(), T0 + 40s);
  CHECK_FALSE(Orders.hasPending());
}

TEST_CASE("an engine that released layers gets no other order until the "
          "streams through them have ended") {
  Fleet Engines;
  Engines.put(engine("a", "a100s", {0, 16}), T0);
  Engines.put(engine("b", "a100s", {12, 28}), T0); // overlaps with "a"
  Engines.put(engine("c", "a100s", {28, 41}), T0);
  Engines.put(engine("d", "a100s", {41, 54}), T0);
  Engines.put(engine("e", "a100s", {54, 67}), T0);
  Engines.put(engine("f", "a100s", {67, 80}), T0);
  LayerOrderTracker Orders;
  const auto FirstOrders = Orders.dueOrders(Engines, Llm, model(), T0);
  REQUIRE(!FirstOrders.empty());
  REQUIRE(FirstOrders[0].m_ReleasesLayers);
  const EndpointId BusyEngine = FirstOrders[0].m_Engine;
  Orders.onSent(FirstOrders[0], model(), T0);
  // The registry shows the new layers at once; then the neighbouring engine is
  // lost.
  EndpointRecord Record = Engines.find(BusyEngine)->m_Record;
  Record.m_Layers = FirstOrders[0].m_Layers;
  Engines.put(Record, T0 + 100ms);
  Engines.suspect(EndpointId(BusyEngine.str() == "a" ? "b" : "a"), "test",
                  T0 + 100ms);
  const auto OrderedEngines = [&](Instant Now) {
    std::set<EndpointId> Ids;
    for (const LayerOrder &Order : Orders.dueOrders(Engines, Llm, model(), Now))
      Ids.insert(Order.m_Engine);
    return Ids;
  };
  CHECK_FALSE(OrderedEngines(T0 + 200ms).contains(BusyEngine));
  CHECK_FALSE(Orders.hasPending()); // other engines may release layers
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

TEST_CASE("an engine that says it works on an order gets no other one from the "
          "next lease holder") {
  Fleet Engines = chainWithSpare();
  LayerOrderTracker Orders;
  const auto FirstOrders = Orders.dueOrders(Engines, Llm, model(), T0);
  REQUIRE(FirstOrders.size() == 1);
  const EndpointId BusyEngine = FirstOrders[0].m_Engine;
  const auto IsDue = [&](Instant Now) {
    bool Ordered = false;
    for (const LayerOrder &Order : Orders.dueOrders(Engines, Llm, model(), Now))
      Ordered |= Order.m_Engine == BusyEngine;
    return Ordered;
  };
  EngineLoadReport Load;
  Load.m_OrderInProgress = true; // given by the previous lease holder
  Engines.onReport(BusyEngine, Load, T0);
  CHECK_FALSE(IsDue(T0 + 1s));
  CHECK(IsDue(T0 + 4s)); // no report since T0
  Load.m_OrderInProgress = false;
  Engines.onReport(BusyEngine, Load, T0 + 5s);
  CHECK(IsDue(T0 + 5s));
}

TEST_CASE("the first orders wait until no new engine appears, so that engines "
          "that start late are in the first plan") {
  Fleet Engines = mixedFleet();
  LayerOrderTracker Orders;
  CHECK(Orders.dueOrders(Engines, Llm, model(), T0).empty());
  Engines.put(engine("late", "l4"), T0 + 1s);
  CHECK(Orders.dueOrders(Engines, Llm, model(), T0 + 1s).empty());
  CHECK(Orders.dueOrders(Engines, Llm, model(), T0 + 2s).empty());
  CHECK(Orders.dueOrders(Engines, Llm, model(), T0 + 2600ms).size() == 14);
}

TEST_CASE("the lease: a holder that slept past its end gives no orders, and "
          "the next holder has a higher fence") {
  OrderLease First(PeerId("first"));
  OrderLease Second(PeerId("second"));
  const auto Write = First.onRowRead({}, 10000, T0, T0 + 10ms);
  REQUIRE(Write);
  CHECK(Write->m_ExpectedVersion.isZero());
  CHECK_FALSE(First.fence(T0 + 20ms));
  CHECK(First.onWritten(numbered(7), T0));
  CHECK(First.fence(T0 + 20ms) == OrderFence(7));
  const LeaseRow Row{numbered(7), PeerId("first"), Write->m_UntilMs};
  CHECK_FALSE(Second.onRowRead(Row, 10500, T0 + 500ms, T0 + 500ms));
  CHECK_FALSE(Second.shouldReadRow(T0 + 600ms));
  // A holder that slept past the end of its lease has no fence and so gives no
  // orders.
  CHECK_FALSE(First.fence(T0 + 2500ms));
  const auto Takeover =
      Second.onRowRead(Row, Write->m_UntilMs, T0 + 3s, T0 + 3s);
  REQUIRE(Takeover);
  CHECK(Takeover->m_ExpectedVersion == numbered(7));
  CHECK(Second.onWritten(numbered(9), T0 + 3100ms));
  CHECK(Second.fence(T0 + 3100ms) == OrderFence(9));
  Second.onFenced(T0 + 3200ms);
  CHECK_FALSE(Second.fence(T0 + 3200ms));
}

// Guards against two holders, and against engines that refuse all orders since
// the numbers of a restored store are lower than those seen before.
TEST_CASE("the store is restored from a copy without the lease in force: the "
          "next holder waits for its end, and has a higher fencing token") {
  OrderLease First(PeerId("first"));
  OrderLease Second(PeerId("second"));
  const StoreEra Before{1};
  const StoreEra After{2};
  First.onEra(Before, T0);
  Second.onEra(Before, T0);
  CHECK(Second.shouldReadRow(T0));
  REQUIRE(First.onRowRead({{Before, 0}, PeerId(), 0}, 10000, T0, T0));
  REQUIRE(First.onWritten({Before, 700}, T0));
  Instant Now = T0 + 100ms;
  Second.onEra(After, Now);
  // The second one may ask for the lease only once the first one has stopped.
  while (!Second.shouldReadRow(Now))
    Now += 10ms;
  CHECK_FALSE(First.fence(Now));
  const auto Lost = First.fence(T0 + 100ms);
  REQUIRE(Second.onRowRead({{After, 0}, PeerId(), 0}, 500, Now, Now));
  REQUIRE(Second.onWritten({After, 20}, Now));
  CHECK(*Second.fence(Now) > *Lost);
}

TEST_CASE("the lease is written on the condition of a row of the era before, "
          "whose number was given out again: it is not held") {
  OrderLease Lease(PeerId("first"));
  Lease.onEra(StoreEra{1}, T0);
  REQUIRE(
      Lease.onRowRead({{StoreEra{1}, 40}, PeerId("gone"), 0}, 10000, T0, T0));
  CHECK_FALSE(Lease.onWritten({StoreEra{2}, 41}, T0 + 10ms));
  CHECK_FALSE(Lease.fence(T0 + 20ms));
}

TEST_CASE("a lease that ends far in the future of a restored store's clock is "
          "read again after the longest time that a lease lasts") {
  OrderLease Lease(PeerId("first"));
  const LeaseRow Row{numbered(7), PeerId("other"), 1'000'000'000};
  CHECK_FALSE(Lease.onRowRead(Row, 10, T0, T0));
  CHECK(Lease.shouldReadRow(T0 + 2500ms));
}

TEST_CASE("orders due at many routers: while one router's orders take effect, "
          "the others do not ask the store for the lease") {
  // 68 routers. The lease holder's orders take effect every 900 ms for 30 s,
  // then it dies.
  constexpr unsigned Routers = 68;
  constexpr Duration Backoffs[] = {700ms, 1400ms, 2100ms, 4100ms};
  std::vector<LeaseBackoff> Waiting(Routers - 1);
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
      TurnsWhileHeld += Waiting[I].isOver(AppliedOrders, Now) ? 1 : 0;
  }
  CHECK(TurnsWhileHeld == 0);
  // After the holder's last order each router asks for the lease when its own
  // backoff is over.
  CHECK(Waiting[1].isOver(AppliedOrders, Now + 1400ms));
  CHECK(Waiting[3].isOver(AppliedOrders, Now + 4100ms));
}
