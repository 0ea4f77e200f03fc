// A planned stop under load: streams keep arriving until the load balancer has
// switched to other routers, and many would take longer than the stop.
#include "decide/stop_policy.h"

#include <doctest/doctest.h>

using namespace mimosadale;
using namespace mimosadale::decide;
using namespace std::chrono_literals;

TEST_CASE("a planned stop under load: streams that it would cut off are "
          "refused, the others are accepted") {
  StreamTimeEstimator Pace;
  // There is no estimate before the first stream has ended.
  CHECK_FALSE(endsAfterStop(Pace.expected(10000), 1s));
  for (int I = 0; I < 20; ++I)
    Pace.onEnded(100, 5s); // 50 ms per token
  const Duration UntilStop = 7500ms;
  CHECK_FALSE(endsAfterStop(Pace.expected(100), UntilStop));
  CHECK(endsAfterStop(Pace.expected(200), UntilStop));
  CHECK(endsAfterStop(Pace.expected(100), 4s));
  // The engines slow down, and the mean time per token follows.
  for (int I = 0; I < 40; ++I)
    Pace.onEnded(100, 10s);
  CHECK(endsAfterStop(Pace.expected(100), UntilStop));
  Pace.onEnded(0, 5s);
  CHECK(*Pace.expected(100) > 9s);
}
