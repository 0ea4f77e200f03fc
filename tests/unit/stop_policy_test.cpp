// Load at a planned stop: streams keep coming until the balancer has gone
// elsewhere, and many take longer than the stop.
#include "decide/stop_policy.h"

#include <doctest/doctest.h>

using namespace mimosadale;
using namespace mimosadale::decide;
using namespace std::chrono_literals;

TEST_CASE("a planned stop under load: streams that it would cut are refused, "
          "the others are taken") {
  StreamTimeEstimator Pace;
  CHECK_FALSE(endsAfterStop(Pace.expected(10000), 1s)); // nothing is known
  for (int I = 0; I < 20; ++I)
    Pace.onEnded(100, 5s); // 50 ms a token
  const Duration UntilStop = 7500ms;
  CHECK_FALSE(endsAfterStop(Pace.expected(100), UntilStop));
  CHECK(endsAfterStop(Pace.expected(200), UntilStop));
  CHECK(endsAfterStop(Pace.expected(100), 4s));
  // Engines turn slower: the mean follows.
  for (int I = 0; I < 40; ++I)
    Pace.onEnded(100, 10s);
  CHECK(endsAfterStop(Pace.expected(100), UntilStop));
  Pace.onEnded(0, 5s);
  CHECK(*Pace.expected(100) > 9s);
}
