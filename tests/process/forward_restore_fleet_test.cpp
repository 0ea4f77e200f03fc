// A store that comes back from an older copy, before a fleet in which few
// routers read it for the others.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "platform/forward_helpers.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <thread>

using namespace mimosadale;
using namespace mimosadale::tests;
using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

namespace {

// The users' bounds: a configuration is in force this long after it was
// acknowledged, a leaving endpoint gets no more requests this long after its
// leaving was, and what the store acknowledges this long after its return binds
// at once.
constexpr auto ConfigBound = 2s;
constexpr auto DrainBound = 2s;
constexpr auto StableTime = 3s;

// By this long before that, the configuration is written.
constexpr auto RewriteDelay = 300ms;

} // namespace

// Guards against a fleet whose readers keep the era before for the others.
TEST_CASE(
    "seventeen routers, of which two read for the others: the store comes "
    "back from an older copy, and all follow it in time") {
  constexpr int RouterCount = 17;
  FakePlatform Platform;
  Platform.setEra(1);
  addDefaultEndpoints(Platform);
  std::vector<std::unique_ptr<ForwardRouter>> Routers;
  for (int I = 0; I < RouterCount; ++I)
    Routers.push_back(
        std::make_unique<ForwardRouter>(Platform, "r" + std::to_string(I)));
  for (const auto &Router : Routers) {
    waitUntilServing(*Router);
    REQUIRE(harness::waitUntil(
        [&] { return knownRouterCount(*Router) == RouterCount; }));
  }
  std::this_thread::sleep_for(1s); // until all read from their reader
  const auto Copy = Platform.copyStore();
  writeUnrelatedRows(Platform);
  Platform.setKeys({"fresh"});
  Platform.configure(5);
  const auto allRefuse = [&](const std::string &Key) {
    return harness::waitUntil(
        [&] {
          return std::all_of(Routers.begin(), Routers.end(),
                             [&](const auto &Router) {
                               return lookStatus(*Router, Key) == 401;
                             });
        },
        ConfigBound);
  };
  REQUIRE(allRefuse("key"));
  restoreAfter(Platform, Copy);
  const auto Back = Clock::now();
  while (Clock::now() < Back + 1s)
    for (const auto &Router : Routers)
      CHECK(lookStatus(*Router, "key") == 401);
  Platform.configure(5); // the operator writes again what was lost
  std::this_thread::sleep_until(Back + StableTime - RewriteDelay);
  Platform.setKeys({"newest"});
  Platform.configure(7);
  Platform.drain("b1");
  const bool InForce = allRefuse("fresh");
  std::this_thread::sleep_for(DrainBound);
  const int ReceivedBefore = Platform.receivedRequests("b1");
  for (const auto &Router : Routers) {
    CAPTURE(Router->log());
    CHECK(lookStatus(*Router, "newest") == 200);
  }
  CHECK(InForce);
  CHECK(Platform.receivedRequests("b1") == ReceivedBefore);
}
