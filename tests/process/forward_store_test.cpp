// Configuration and registry of a forwarding router while the store fails.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "platform/forward_helpers.h"

#include <csignal>
#include <doctest/doctest.h>
#include <thread>

using namespace mimosadale;
using namespace mimosadale::tests;
using namespace std::chrono_literals;
using Router = ForwardRouter;

TEST_CASE("the store stops responding or refuses calls: the router serves with "
          "its loaded configuration, and later adopts newer versions only") {
  FakePlatform Platform;
  addDefaultEndpoints(Platform);
  Router R1(Platform);
  waitUntilServing(R1);
  for (const auto Mode : {StoreMode::Unresponsive, StoreMode::Unavailable}) {
    Platform.setStoreMode(Mode);
    std::this_thread::sleep_for(600ms);
    harness::EventStream Stream(R1.callerAddress(), "/guide/seat",
                                requestHeaders("s1"), "x");
    CHECK(readInOrder(Stream) == 40);
    Platform.setStoreMode(StoreMode::Available);
  }
  Platform.setKeys({"fresh"});
  Platform.configure(9);
  CHECK(harness::waitUntil([&] {
    return harness::sendRequest("GET", R1.callerAddress(), "/look/a",
                                requestHeaders("k1", "key"))
               .m_Status == 401;
  }));
  CHECK(harness::sendRequest("GET", R1.callerAddress(), "/look/a",
                             requestHeaders("k2", "fresh"))
            .m_Status == 200);
  // An older version is not adopted.
  Platform.setKeys({"key"});
  Platform.configure(3);
  std::this_thread::sleep_for(500ms);
  CHECK(harness::sendRequest("GET", R1.callerAddress(), "/look/a",
                             requestHeaders("k3", "fresh"))
            .m_Status == 200);
}

TEST_CASE("the store refuses one router: it gets configuration and registry "
          "from another router") {
  FakePlatform Platform;
  addDefaultEndpoints(Platform);
  Router Connected(Platform, "near");
  Router CutOff(Platform, "away", LargeRetryBudget, 1);
  waitUntilServing(Connected);
  waitUntilServing(CutOff);
  // Until both have read the table of routers and know each other.
  std::this_thread::sleep_for(1500ms);
  Platform.setStoreMode(StoreMode::Unavailable, 1);
  Platform.setKeys({"fresh"});
  Platform.configure(9);
  const auto Status = [&](const Router &Asked, const std::string &Key) {
    return harness::sendRequest("GET", Asked.callerAddress(), "/look/a",
                                requestHeaders("k", Key))
        .m_Status;
  };
  CHECK(harness::waitUntil([&] { return Status(CutOff, "key") == 401; }));
  CHECK(Status(CutOff, "fresh") == 200);
  CHECK(Status(Connected, "fresh") == 200);
  // Registry changes arrive the same way.
  Platform.addService("b3", "booking");
  Platform.drain("b1");
  Platform.drain("b2");
  CHECK(harness::waitUntil([&] {
    harness::sendRequest("GET", CutOff.callerAddress(), "/look/a",
                         requestHeaders("via", "fresh"));
    const auto Path = Platform.lastPath("via");
    return !Path.empty() && Path.front() == "b3";
  }));
}

TEST_CASE("a router's feeds stay open but bring no changes: it gets the "
          "changes from other routers within 4 s") {
  FakePlatform Platform;
  addDefaultEndpoints(Platform);
  bool StartsFirst = false;
  SUBCASE("both routers start together") {}
  SUBCASE("the router reads its tables before a row of another table changes") {
    StartsFirst = true;
  }
  CAPTURE(StartsFirst);
  Router Stale(Platform, "behind", LargeRetryBudget, 1);
  if (StartsFirst) {
    waitUntilServing(Stale);
    // The row's version becomes the newest version of all tables.
    Platform.put("other", "row", "raises the version of all");
  }
  Router Connected(Platform, "near");
  waitUntilServing(Connected);
  waitUntilServing(Stale);
  REQUIRE(harness::waitUntil([&] { return knownRouterCount(Stale) == 2; }));
  Platform.setStoreMode(StoreMode::StaleFeeds, 1);
  Platform.setKeys({"fresh"});
  Platform.configure(9);
  Platform.addService("b3", "booking");
  Platform.drain("b1");
  Platform.drain("b2");
  const auto Status = [&](const std::string &Key) {
    return harness::sendRequest("GET", Stale.callerAddress(), "/look/a",
                                requestHeaders("k", Key))
        .m_Status;
  };
  const bool OldKeyRefused =
      harness::waitUntil([&] { return Status("key") == 401; }, 4s);
  const bool NewKeyServed = harness::waitUntil(
      [&] {
        return Status("fresh") == 200 &&
               Platform.lastPath("k") == std::vector<std::string>{"b3"};
      },
      4s);
  CAPTURE(Stale.log());
  CAPTURE(Connected.log());
  CHECK(OldKeyRefused);
  CHECK(NewKeyServed);
}

TEST_CASE("registry entries cannot be parsed: the router logs them and uses "
          "all others") {
  FakePlatform Platform;
  Platform.put("servers", "odd1", "not json");
  Platform.put("servers", "odd2", R"({"Service":"booking","Address":7})");
  Platform.put("servers", "odd3",
               R"({"Service":"booking","Address":"127.0.0.1:1","Zone":"x",
                   "State":"asleep"})");
  addDefaultEndpoints(Platform);
  Router R1(Platform);
  waitUntilServing(R1);
  for (int I = 0; I < 6; ++I)
    CHECK(harness::sendRequest("GET", R1.callerAddress(), "/look/a",
                               requestHeaders("l" + std::to_string(I)))
              .m_Status == 200);
  CHECK(R1.log().find("registry_entry_unreadable") != std::string::npos);
}
