// A forwarding router, as a process, before a stand-in of the platform.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "platform/forward_case.h"

#include <csignal>
#include <doctest/doctest.h>
#include <thread>

using namespace mimosadale;
using namespace mimosadale::tests;
using namespace std::chrono_literals;
using Router = ForwardRouter;

TEST_CASE("a stream and calls come back whole; keys and routes are checked") {
  Estate Platform;
  fill(Platform);
  Router At(Platform);
  waitServing(At);
  harness::EventStream Stream(At.callers(), "/guide/seat", headers("s1"), "x");
  CHECK(Stream.status() == 200);
  CHECK_FALSE(Stream.header("X-Mimosadale-Server-Seal").empty());
  CHECK(readOrdered(Stream) == 40);
  CHECK(Stream.whole());
  const auto Book = harness::http("POST", At.callers(), "/book/a?b=c",
                                  headers("c1"), "seat 4");
  CHECK(Book.m_Status == 200);
  CHECK(Book.m_Body == "counter /book/a?b=c seat 4");
  CHECK(Platform.runs("c1") == 1);
  CHECK(harness::http("GET", At.callers(), "/look/a", headers("c2", "wrong"))
            .m_Status == 401);
  CHECK(
      harness::http("GET", At.callers(), "/other/a", headers("c3")).m_Status ==
      404);
  CHECK(Platform.runs("c2") == 0);
  CHECK(Platform.violations().empty());
}

TEST_CASE("a caller leaves while nothing is sent: the engines stop working for "
          "it") {
  Estate Platform;
  fill(Platform);
  Platform.setEventPause(30ms);
  Router At(Platform);
  waitServing(At);
  {
    harness::EventStream Stream(At.callers(), "/guide/seat",
                                headers("s1", "key", 400), "x");
    REQUIRE(Stream.next());
    Platform.setEventPause(3s);
    std::this_thread::sleep_for(100ms); // the event under way
    CHECK(Platform.streams() >= 1);
  }
  CHECK(harness::eventually([&] { return Platform.streams() == 0; }, 500ms));
}

TEST_CASE("a leaving endpoint gets nothing more, and its layers move") {
  Estate Platform;
  fill(Platform);
  Router At(Platform);
  waitServing(At);
  Platform.drain("b1");
  Platform.drain("fukuoka1");
  std::this_thread::sleep_for(1s);
  for (int I = 0; I < 12; ++I) {
    const std::string Id = "d" + std::to_string(I);
    harness::http("GET", At.callers(), "/look/a", headers(Id));
    harness::EventStream Stream(At.callers(), "/guide/x", headers("g" + Id),
                                "x");
    CHECK(readOrdered(Stream) == 40);
    for (const std::string &Each : Platform.pathOf("g" + Id))
      CHECK(Each != "fukuoka1");
    for (const std::string &Each : Platform.pathOf(Id))
      CHECK(Each != "b1");
  }
  CHECK(harness::eventually([&] {
    return Platform.layers("fukuoka0").m_End -
               Platform.layers("fukuoka0").m_First +
               Platform.layers("fukuoka2").m_End -
               Platform.layers("fukuoka2").m_First >=
           12;
  }));
  CHECK(Platform.violations().empty());
}

TEST_CASE("an address is used again by another instance: it runs nothing that "
          "is meant for the one before") {
  Estate Platform;
  fill(Platform);
  Router At(Platform);
  waitServing(At);
  Platform.reuseAddress("b1", "other");
  for (int I = 0; I < 8; ++I) {
    const std::string Id = "u" + std::to_string(I);
    CHECK(harness::http("GET", At.callers(), "/look/a", headers(Id)).m_Status ==
          200);
    CHECK(Platform.runs(Id) == 1);
    CHECK(Platform.pathOf(Id) == std::vector<std::string>{"b2"});
  }
}

TEST_CASE("an answer is lost: what may not be repeated ran once and is not "
          "called \"not run\"") {
  Estate Platform;
  fill(Platform);
  Router At(Platform);
  waitServing(At);
  Platform.loseAnswers("b1", 1);
  Platform.loseAnswers("b2", 1);
  const auto Book =
      harness::http("POST", At.callers(), "/book/a", headers("c1"), "seat 4");
  CHECK(Book.m_Status == 502);
  CHECK(Platform.runs("c1") == 1);
  Platform.loseAnswers("b1", 1);
  Platform.loseAnswers("b2", 0);
  for (int I = 0; I < 6; ++I) {
    const std::string Id = "l" + std::to_string(I);
    CHECK(harness::http("GET", At.callers(), "/look/a", headers(Id)).m_Status ==
          200);
    CHECK(Platform.runs(Id) <= 2);
  }
}
