// What a forwarding router knows while the store fails it.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "platform/forward_case.h"

#include <csignal>
#include <doctest/doctest.h>
#include <thread>

using namespace mimosadale;
using namespace mimosadale::tests;
using namespace std::chrono_literals;
using Router = ForwardRouter;

TEST_CASE("the store is silent or refuses: what is loaded goes on serving, and "
          "the configuration after it is adopted") {
  Estate Platform;
  fill(Platform);
  Router At(Platform);
  waitServing(At);
  for (const auto Mode : {StoreMode::Silent, StoreMode::Refuses}) {
    Platform.setStore(Mode);
    std::this_thread::sleep_for(600ms);
    harness::EventStream Stream(At.callers(), "/guide/seat", headers("s1"),
                                "x");
    CHECK(readOrdered(Stream) == 40);
    Platform.setStore(StoreMode::Serves);
  }
  Platform.setKeys({"fresh"});
  Platform.configure(9);
  CHECK(harness::eventually([&] {
    return harness::http("GET", At.callers(), "/look/a", headers("k1", "key"))
               .m_Status == 401;
  }));
  CHECK(harness::http("GET", At.callers(), "/look/a", headers("k2", "fresh"))
            .m_Status == 200);
  // An older one is not adopted.
  Platform.setKeys({"key"});
  Platform.configure(3);
  std::this_thread::sleep_for(500ms);
  CHECK(harness::http("GET", At.callers(), "/look/a", headers("k3", "fresh"))
            .m_Status == 200);
}

TEST_CASE("the store turns one router away: it takes the configuration from "
          "another one") {
  Estate Platform;
  fill(Platform);
  Router Near(Platform, "near");
  Router Away(Platform, "away", PlentyRetries, 1);
  waitServing(Near);
  waitServing(Away);
  // Both know of each other once the routers' table was read.
  std::this_thread::sleep_for(1500ms);
  Platform.setStore(StoreMode::Refuses, 1);
  Platform.setKeys({"fresh"});
  Platform.configure(9);
  const auto Status = [&](const Router &At, const std::string &Key) {
    return harness::http("GET", At.callers(), "/look/a", headers("k", Key))
        .m_Status;
  };
  CHECK(harness::eventually([&] { return Status(Away, "key") == 401; }));
  CHECK(Status(Away, "fresh") == 200);
  CHECK(Status(Near, "fresh") == 200);
  // The registry comes the same way.
  Platform.addService("b3", "booking");
  Platform.drain("b1");
  Platform.drain("b2");
  CHECK(harness::eventually([&] {
    harness::http("GET", Away.callers(), "/look/a", headers("via", "fresh"));
    const auto Path = Platform.pathOf("via");
    return !Path.empty() && Path.front() == "b3";
  }));
}

TEST_CASE("a router's feeds fall silent and stay open: what other routers know "
          "reaches it within seconds") {
  Estate Platform;
  fill(Platform);
  bool Later = false;
  SUBCASE("of a router that is there from the beginning") {}
  SUBCASE("of a router that read its tables after a change of another one") {
    Later = true;
  }
  CAPTURE(Later);
  Router Behind(Platform, "behind", PlentyRetries, 1);
  if (Later) {
    waitServing(Behind);
    Platform.put("other", "row", "raises the version of all");
  }
  Router Near(Platform, "near");
  waitServing(Near);
  waitServing(Behind);
  REQUIRE(harness::eventually([&] { return routersKnown(Behind) == 2; }));
  Platform.setStore(StoreMode::Withholds, 1);
  Platform.setKeys({"fresh"});
  Platform.configure(9);
  Platform.addService("b3", "booking");
  Platform.drain("b1");
  Platform.drain("b2");
  const auto Status = [&](const std::string &Key) {
    return harness::http("GET", Behind.callers(), "/look/a", headers("k", Key))
        .m_Status;
  };
  const bool KeyGone =
      harness::eventually([&] { return Status("key") == 401; }, 4s);
  const bool FreshServes = harness::eventually(
      [&] {
        return Status("fresh") == 200 &&
               Platform.pathOf("k") == std::vector<std::string>{"b3"};
      },
      4s);
  CAPTURE(Behind.log());
  CAPTURE(Near.log());
  CHECK(KeyGone);
  CHECK(FreshServes);
}

TEST_CASE("entries of other writers leave the rest standing") {
  Estate Platform;
  Platform.put("servers", "odd1", "not json");
  Platform.put("servers", "odd2", R"({"Service":"booking","Address":7})");
  Platform.put("servers", "odd3",
               R"({"Service":"booking","Address":"127.0.0.1:1","Zone":"x",
                   "State":"asleep"})");
  fill(Platform);
  Router At(Platform);
  waitServing(At);
  for (int I = 0; I < 6; ++I)
    CHECK(harness::http("GET", At.callers(), "/look/a",
                        headers("l" + std::to_string(I)))
              .m_Status == 200);
  CHECK(At.log().find("registry_entry_unreadable") != std::string::npos);
}
