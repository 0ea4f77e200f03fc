// Polls of chains whose streams stand still, on virtual time.
#include "decide/event_interval.h"
#include "decide/path_chooser.h"
#include "decide/stall_policy.h"

#include <doctest/doctest.h>

using namespace mimosadale;
using namespace mimosadale::decide;
using namespace std::chrono_literals;

namespace {

constexpr Duration Target = 250ms;
constexpr Duration Tick = 25ms;

// A chain whose streams write an event every \p Mean, half of it more or less.
Duration drawInterval(Duration Mean, Random &Rng) {
  return std::chrono::duration_cast<Duration>(
      Mean * std::uniform_real_distribution<double>(0.5, 1.5)(Rng));
}

// Ticks at which a stream that waits for \p Interval has its engines polled.
unsigned countPolls(const EventInterval &Chain, Duration Interval) {
  StallState Stall;
  Stall.m_HasEvent = true;
  Stall.m_MayReroute = true;
  Stall.m_ProbeStall = probeStall(Chain.bound(), Target);
  unsigned Polls = 0;
  for (Stall.m_StallTime = Tick; Stall.m_StallTime < Interval;
       Stall.m_StallTime += Tick)
    Polls += stallAction(Stall) == StallAction::ProbePath ? 1 : 0;
  return Polls;
}

} // namespace

// Guards against chains that are polled all the time because their usual
// interval is near a constant limit.
TEST_CASE("chains of any speed serve streams: those that work are hardly "
          "polled, and a stall is polled for before it counts as late") {
  Random Rng(7);
  for (const Duration Mean : {10ms, 35ms, 80ms, 120ms, 150ms}) {
    CAPTURE(Mean.count());
    EventInterval Chain;
    unsigned Polls = 0;
    constexpr unsigned Events = 2000;
    for (unsigned I = 0; I < Events; ++I) {
      const Duration Interval = drawInterval(Mean, Rng);
      Polls += countPolls(Chain, Interval);
      Chain.onInterval(Interval);
    }
    CHECK(Polls * 100 < Events);
    CHECK(countPolls(Chain, Target) > 0);
  }
}

TEST_CASE("the stall before a poll: never below 125 ms, never so late that the "
          "answer comes after the pause that callers accept") {
  CHECK(probeStall(0ms, Target) == 125ms);
  CHECK(probeStall(40ms, Target) == 125ms);
  CHECK(probeStall(180ms, Target) == 180ms);
  CHECK(probeStall(900ms, Target) == 200ms);
  // No pause is stated, or one that leaves no room.
  CHECK(probeStall(900ms, 0ms) == 125ms);
  CHECK(probeStall(900ms, 100ms) == 125ms);
}

// Guards against an estimate that one long stall leaves useless.
TEST_CASE("a chain stands still once: its bound returns to what is usual") {
  EventInterval Chain;
  for (int I = 0; I < 100; ++I)
    Chain.onInterval(40ms);
  CHECK(Chain.bound() < 60ms);
  Chain.onInterval(1500ms);
  CHECK(Chain.bound() > 250ms);
  for (int I = 0; I < 40; ++I)
    Chain.onInterval(40ms);
  CHECK(Chain.bound() < 125ms);
}
