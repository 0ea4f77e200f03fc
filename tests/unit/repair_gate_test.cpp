// A wave of streams that stand still at the same moment, for the same cause.
#include "decide/repair_gate.h"

#include <doctest/doctest.h>

using namespace mimosadale;
using namespace mimosadale::decide;
using namespace std::chrono_literals;

namespace {

constexpr Instant T0{1000s};
constexpr int Streams = 62; // of one chain, at the routers of a small site
const EndpointId X("x");
const EndpointId Y("y");

// Sends an order for each stream that may; \returns how many.
int orders(RepairGate &Gate, Instant Now) {
  const auto Unfit = Gate.unfit(Now);
  const Path Changes{{Unfit.contains(X) ? Y : X, {40, 48}}};
  int Sent = 0;
  for (int I = 0; I < Streams; ++I)
    Sent += Gate.enter(Changes, Now);
  return Sent;
}

} // namespace

TEST_CASE(
    "a wave of repairs: one order finds out that an engine can't take its "
    "part, and one that another can; then all go on at once") {
  RepairGate Gate;
  CHECK(orders(Gate, T0) == 1);
  CHECK(orders(Gate, T0 + 2ms) == 0);
  CHECK(Gate.onAnswer({{X, {40, 48}}}, false, X, T0 + 4ms));
  CHECK(orders(Gate, T0 + 4ms) == 1);
  Gate.onAnswer({{Y, {40, 48}}}, true, {}, T0 + 8ms);
  CHECK(orders(Gate, T0 + 8ms) == Streams);
  // What was learnt holds for a moment only.
  CHECK(Gate.unfit(T0 + 1s).empty());
}

TEST_CASE("a wave of repairs: an order that brings no answer holds nobody up "
          "for long") {
  RepairGate Gate;
  CHECK(orders(Gate, T0) == 1);
  CHECK(orders(Gate, T0 + 50ms) == 0);
  CHECK(orders(Gate, T0 + 100ms) == Streams);
  // An answer that blames no engine lets the next one try.
  Gate.onAnswer({{X, {40, 48}}}, false, {}, T0 + 120ms);
  CHECK(orders(Gate, T0 + 120ms) == 1);
}
