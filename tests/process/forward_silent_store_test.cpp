// A store that falls silent: it takes calls and never answers them, while
// their connections stay open. Guards against routers that go on waiting for
// such an answer, with old rows, long after the store is back.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "platform/forward_helpers.h"
#include "platform/names.h"
#include "platform/router_rows_codec.h"

#include <csignal>
#include <doctest/doctest.h>
#include <memory>
#include <thread>

using namespace mimosadale;
using namespace mimosadale::tests;
using namespace std::chrono_literals;
using Router = ForwardRouter;

namespace {

// Time after a disturbance of the store from which on changes must take effect
// in time again, and that time: the bounds of the smallest deployment.
constexpr auto StableAfter = 3s;
constexpr auto ApplyTime = 2s;
constexpr auto DrainTime = 2s;

constexpr auto Silence = 4500ms;

// Two routers that serve and know each other.
struct Fleet {
  Fleet() {
    addDefaultEndpoints(m_Platform);
    m_First = std::make_unique<Router>(m_Platform, "r1");
    m_Second = std::make_unique<Router>(m_Platform, "r2");
    waitUntilServing(*m_First);
    waitUntilServing(*m_Second);
    REQUIRE(harness::waitUntil([&] {
      return knownRouterCount(*m_First) == 2 &&
             knownRouterCount(*m_Second) == 2;
    }));
  }

  FakePlatform m_Platform;
  std::unique_ptr<Router> m_First;
  std::unique_ptr<Router> m_Second;
};

} // namespace

TEST_CASE("the store falls silent just after a change of the configuration: "
          "later changes are in force in time once it is back") {
  Fleet Started;
  FakePlatform &Platform = Started.m_Platform;
  const Router &R1 = *Started.m_First;
  const Router &R2 = *Started.m_Second;
  SUBCASE("for all calls") {}
  SUBCASE("for calls that name the table only") {
    Platform.limitStoreModeTo("op");
  }
  // The change ends the calls that wait; the next ones are not answered.
  Platform.setStoreMode(StoreMode::Silent);
  Platform.setKeys({"second"});
  Platform.configure(2);
  std::this_thread::sleep_for(Silence);
  Platform.setStoreMode(StoreMode::Available);
  std::this_thread::sleep_for(StableAfter);
  Platform.setKeys({"third"});
  Platform.configure(3);
  std::this_thread::sleep_for(ApplyTime);
  const unsigned Status1 = lookStatus(R1, "third");
  const unsigned Status2 = lookStatus(R2, "third");
  CAPTURE(R1.log());
  CHECK(Status1 == 200);
  CHECK(Status2 == 200);
}

TEST_CASE("the store falls silent just after a change of the registry: an "
          "endpoint that leaves after its return gets no more requests in "
          "time, and one that is added gets them") {
  Fleet Started;
  FakePlatform &Platform = Started.m_Platform;
  const Router &R1 = *Started.m_First;
  const Router &R2 = *Started.m_Second;
  SUBCASE("for all calls") {}
  SUBCASE("for calls that name the table only") {
    Platform.limitStoreModeTo("servers");
  }
  Platform.setStoreMode(StoreMode::Silent);
  Platform.republishEntry("b1");
  std::this_thread::sleep_for(Silence);
  Platform.setStoreMode(StoreMode::Available);
  std::this_thread::sleep_for(StableAfter);
  Platform.addService("b3", "booking");
  Platform.drain("b1");
  std::this_thread::sleep_for(DrainTime);
  const int Before = Platform.receivedRequests("b1");
  for (int I = 0; I < 20; ++I) {
    CHECK(lookStatus(R1, "key") == 200);
    CHECK(lookStatus(R2, "key") == 200);
  }
  CAPTURE(R1.log());
  CHECK(Platform.receivedRequests("b1") == Before);
  CHECK(Platform.receivedRequests("b3") > 0);
}

// A call for changes of the routers' table may wait for 20 s, as no change of
// it has to take effect in time.
TEST_CASE("the store falls silent while calls wait at it for long: they are "
          "sent again once it is back") {
  Fleet Started;
  FakePlatform &Platform = Started.m_Platform;
  const Router &R1 = *Started.m_First;
  const Router &R2 = *Started.m_Second;
  Platform.setStoreMode(StoreMode::Silent);
  Platform.put(
      platform::RoutersTable, "r3",
      platform::encodeRouter({"127.0.0.1:1", DataCentreId("fukuoka"), 1}));
  REQUIRE(harness::waitUntil(
      [&] { return knownRouterCount(R1) == 3 && knownRouterCount(R2) == 3; }));
  // Until the next calls have been received, and lost.
  std::this_thread::sleep_for(1500ms);
  std::this_thread::sleep_for(Silence);
  Platform.setStoreMode(StoreMode::Available);
  Platform.put(
      platform::RoutersTable, "r4",
      platform::encodeRouter({"127.0.0.1:2", DataCentreId("fukuoka"), 1}));
  const auto Known = [](const Router &Asked) {
    return harness::waitUntil([&] { return knownRouterCount(Asked) == 4; },
                              StableAfter + ApplyTime);
  };
  const bool KnownAtFirst = Known(R1);
  const bool KnownAtSecond = Known(R2);
  CAPTURE(R1.log());
  CHECK(KnownAtFirst);
  CHECK(KnownAtSecond);
}

// Guards against a planned stop that waits for an answer which never comes.
TEST_CASE("the store is silent when a router stops: it stops in time, and "
          "answers its callers until then") {
  FakePlatform Platform;
  addDefaultEndpoints(Platform);
  Router R1(Platform, "r1");
  waitUntilServing(R1);
  Platform.setStoreMode(StoreMode::Silent);
  Platform.configure(2);
  Platform.republishEntry("b1");
  std::this_thread::sleep_for(500ms);
  harness::EventStream Stream(R1.callerAddress(), "/guide/x",
                              requestHeaders("s", "key", 100), "x");
  REQUIRE(Stream.next());
  const auto Start = std::chrono::steady_clock::now();
  R1.process().signal(SIGTERM);
  CHECK(readInOrder(Stream, 1) == 100);
  CHECK(Stream.isComplete());
  CHECK(R1.process().wait() == 0);
  CHECK(std::chrono::steady_clock::now() - Start < 8s);
}

// Guards against a router that never serves because its first calls, or a page
// of a table, were lost.
TEST_CASE("the store is silent when a router starts: it serves in time once "
          "the store is back") {
  FakePlatform Platform;
  addDefaultEndpoints(Platform);
  Platform.setStoreMode(StoreMode::Silent);
  Router R1(Platform, "r1");
  std::this_thread::sleep_for(Silence);
  CHECK(R1.readinessStatus() != 200);
  Platform.setStoreMode(StoreMode::Available);
  const bool Ready = harness::waitUntil(
      [&] { return R1.readinessStatus() == 200; }, StableAfter + ApplyTime);
  CAPTURE(R1.log());
  CHECK(Ready);
  waitUntilServing(R1);
}
