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
Fleet chainAndSpare() {
  Fleet Made;
  Made.put(engine("a", "a100s", {0, 20}), T0);
  Made.put(engine("b", "a100s", {20, 40}), T0);
  Made.put(engine("c", "a100s", {40, 60}), T0);
  Made.put(engine("d", "a100s", {60, 80}), T0);
  Made.put(engine("e", "a100s"), T0);
  return Made;
}

} // namespace

TEST_CASE("while an order is under way nothing is given up for it") {
  Fleet Made = chainAndSpare();
  LayerOrderTracker Orders;
  const auto First = Orders.dueOrders(Made, Llm, model(), T0);
  REQUIRE(First.size() == 1);
  Orders.onSent(First[0], model(), T0);
  for (const LayerOrder &Each :
       Orders.dueOrders(Made, Llm, model(), T0 + 200ms)) {
    const LayerRange Held = Made.find(Each.m_Engine)->m_Record.m_Layers;
    const bool Keeps =
        Held.m_First >= Held.m_End || (Each.m_Layers.m_First <= Held.m_First &&
                                       Each.m_Layers.m_End >= Held.m_End);
    CHECK(Keeps);
  }
}

TEST_CASE("an order without an answer is planned again soon") {
  Fleet Made;
  for (int I = 0; I < 4; ++I)
    Made.put(engine(std::string(1, static_cast<char>('a' + I)), "a100s",
                    {static_cast<std::uint32_t>(20 * I),
                     static_cast<std::uint32_t>(20 * I + (I == 3 ? 15 : 20))}),
             T0);
  Made.put(engine("idle", "a100s"), T0);
  LayerOrderTracker Orders;
  const auto First = Orders.dueOrders(Made, Llm, model(), T0);
  REQUIRE(!First.empty());
  for (const LayerOrder &Each : First) {
    Orders.onSent(Each, model(), T0);
    Orders.onAnswerLost(Each.m_Engine, T0);
  }
  CHECK(Orders.dueOrders(Made, Llm, model(), T0 + 1s).empty());
  CHECK_FALSE(Orders.dueOrders(Made, Llm, model(), T0 + 2s).empty());
}

TEST_CASE("an order that takes long is not given up while the engine is at it, "
          "and its layers are not dealt to others") {
  Fleet Made;
  Made.put(engine("a", "a100s", {0, 20}), T0);
  Made.put(engine("b", "a100s", {20, 40}), T0);
  Made.put(engine("c", "a100s", {40, 60}), T0);
  Made.put(engine("idle", "a100s"), T0);
  Made.put(engine("spare", "l4"), T0);
  LayerOrderTracker Orders;
  const auto First = Orders.dueOrders(Made, Llm, model(), T0);
  REQUIRE(!First.empty());
  for (const LayerOrder &Each : First)
    Orders.onSent(Each, model(), T0);
  CHECK(Orders.awaitedEngines().size() == First.size());
  const auto Report = [&](bool Ordered, Instant At) {
    for (const LayerOrder &Each : First) {
      EngineLoadReport Load;
      Load.m_OrderInProgress = Ordered;
      Made.onReport(Each.m_Engine, Load, At);
    }
  };
  for (auto Now = T0 + 200ms; Now < T0 + 9s; Now += 200ms) {
    if ((Now - T0) % 1s == 0ms)
      Report(true, Now);
    CHECK(Orders.dueOrders(Made, Llm, model(), Now).empty());
    CHECK(Orders.hasPending());
  }
  // It ends without effect: planned anew after a moment, for the registry.
  Report(false, T0 + 9s);
  CHECK(Orders.dueOrders(Made, Llm, model(), T0 + 10s).empty());
  CHECK_FALSE(Orders.dueOrders(Made, Llm, model(), T0 + 12s).empty());
  // An engine that says so for ever is not waited for for ever.
  Report(true, T0 + 40s);
  Orders.dueOrders(Made, Llm, model(), T0 + 40s);
  CHECK_FALSE(Orders.hasPending());
}

TEST_CASE("an engine that gave layers up gets no other order until the streams "
          "that pass through them have ended") {
  Fleet Made;
  Made.put(engine("a", "a100s", {0, 16}), T0);
  Made.put(engine("b", "a100s", {12, 28}), T0); // overlaps with "a"
  Made.put(engine("c", "a100s", {28, 41}), T0);
  Made.put(engine("d", "a100s", {41, 54}), T0);
  Made.put(engine("e", "a100s", {54, 67}), T0);
  Made.put(engine("f", "a100s", {67, 80}), T0);
  LayerOrderTracker Orders;
  const auto First = Orders.dueOrders(Made, Llm, model(), T0);
  REQUIRE(!First.empty());
  REQUIRE(First[0].m_ReleasesLayers);
  const EndpointId Busy = First[0].m_Engine;
  Orders.onSent(First[0], model(), T0);
  // The registry shows the new layers at once; then the next engine is lost.
  EndpointRecord Record = Made.find(Busy)->m_Record;
  Record.m_Layers = First[0].m_Layers;
  Made.put(Record, T0 + 100ms);
  Made.suspect(EndpointId(Busy.str() == "a" ? "b" : "a"), "test", T0 + 100ms);
  const auto Ordered = [&](Instant Now) {
    std::set<EndpointId> To;
    for (const LayerOrder &Each : Orders.dueOrders(Made, Llm, model(), Now))
      To.insert(Each.m_Engine);
    return To;
  };
  CHECK_FALSE(Ordered(T0 + 200ms).contains(Busy));
  CHECK_FALSE(Orders.hasPending()); // others may give up what they hold
  EngineLoadReport Load;
  Load.m_OrderInProgress = true;
  for (auto Now = T0 + 1s; Now < T0 + 9s; Now += 1s) {
    Made.onReport(Busy, Load, Now);
    CHECK_FALSE(Ordered(Now + 900ms).contains(Busy));
  }
  Load.m_OrderInProgress = false;
  Made.onReport(Busy, Load, T0 + 9s);
  CHECK(Ordered(T0 + 9s).contains(Busy));
}

TEST_CASE("an engine that says it works on an order gets no other one") {
  Fleet Made = chainAndSpare();
  LayerOrderTracker Orders;
  const auto First = Orders.dueOrders(Made, Llm, model(), T0);
  REQUIRE(First.size() == 1);
  const EndpointId Busy = First[0].m_Engine;
  const auto Due = [&](Instant Now) {
    bool Found = false;
    for (const LayerOrder &Each : Orders.dueOrders(Made, Llm, model(), Now))
      Found |= Each.m_Engine == Busy;
    return Found;
  };
  EngineLoadReport Load;
  Load.m_OrderInProgress = true; // by the router that had the lease before
  Made.onReport(Busy, Load, T0);
  CHECK_FALSE(Due(T0 + 1s));
  CHECK(Due(T0 + 4s)); // not heard of since
  Load.m_OrderInProgress = false;
  Made.onReport(Busy, Load, T0 + 5s);
  CHECK(Due(T0 + 5s));
}

TEST_CASE("first layers wait until no new engine appears") {
  Fleet Made = dataCentre();
  LayerOrderTracker Orders;
  CHECK(Orders.dueOrders(Made, Llm, model(), T0).empty());
  Made.put(engine("late", "l4"), T0 + 1s);
  CHECK(Orders.dueOrders(Made, Llm, model(), T0 + 1s).empty());
  CHECK(Orders.dueOrders(Made, Llm, model(), T0 + 2s).empty());
  CHECK(Orders.dueOrders(Made, Llm, model(), T0 + 2600ms).size() == 14);
}

TEST_CASE("the lease: one holder, a fence that rises, and time from before") {
  OrderLease First(PeerId("first"));
  OrderLease Second(PeerId("second"));
  const auto Write = First.onRowRead({}, 10000, T0, T0 + 10ms);
  REQUIRE(Write);
  CHECK(Write->m_ExpectedVersion == 0);
  CHECK_FALSE(First.fence(T0 + 20ms));
  First.onWritten(7);
  CHECK(First.fence(T0 + 20ms) == 7);
  const LeaseRow Row{7, PeerId("first"), Write->m_UntilMs};
  CHECK_FALSE(Second.onRowRead(Row, 10500, T0 + 500ms, T0 + 500ms));
  CHECK_FALSE(Second.shouldReadRow(T0 + 600ms));
  // A holder that slept past its lease orders nothing.
  CHECK_FALSE(First.fence(T0 + 2500ms));
  const auto Taken = Second.onRowRead(Row, Write->m_UntilMs, T0 + 3s, T0 + 3s);
  REQUIRE(Taken);
  CHECK(Taken->m_ExpectedVersion == 7);
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
  constexpr Duration Pauses[] = {700ms, 1400ms, 2100ms, 4100ms};
  std::vector<LeaseBackoff> Others(Routers - 1);
  for (unsigned I = 0; I < Others.size(); ++I)
    Others[I].begin(Pauses[std::min(I, 3u)], 0, T0);
  std::uint64_t Taken = 0;
  unsigned TurnsWhileServed = 0;
  Instant Now = T0;
  Instant Next = T0 + 900ms;
  for (; Now < T0 + 30s; Now += 200ms) {
    if (Now >= Next) {
      ++Taken;
      Next += 900ms;
    }
    for (unsigned I = 1; I < Others.size(); ++I)
      TurnsWhileServed += Others[I].isOver(Taken, Now) ? 1 : 0;
  }
  CHECK(TurnsWhileServed == 0);
  // The first of them comes within its pause of the last sign of the holder.
  CHECK(Others[1].isOver(Taken, Now + 1400ms));
  CHECK(Others[3].isOver(Taken, Now + 4100ms));
}
