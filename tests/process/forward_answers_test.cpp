// What a forwarding router makes of what endpoints say beside their answers.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "platform/forward_case.h"

#include <csignal>
#include <doctest/doctest.h>
#include <thread>

using namespace mimosadale;
using namespace mimosadale::tests;
using namespace std::chrono_literals;
using Router = ForwardRouter;

TEST_CASE("an endpoint that says in its answers that it leaves gets nothing "
          "more, though its entry says otherwise and comes back") {
  Estate Platform;
  fill(Platform);
  Router At(Platform);
  waitServing(At);
  const auto Look = [&](const std::string &Id) {
    return harness::http("GET", At.callers(), "/look/a", headers(Id)).m_Status;
  };
  Platform.sayLeaving("b1");
  Platform.sayLeaving("fukuoka0");
  for (int I = 0; I < 20; ++I) // each endpoint answers some of these
    CHECK(Look("before" + std::to_string(I)) == 200);
  for (int I = 0; I < 10; ++I) {
    harness::EventStream Stream(At.callers(), "/guide/x",
                                headers("s" + std::to_string(I)), "x");
    readOrdered(Stream);
  }
  Platform.publishAgain("b1");
  Platform.dropEntry("b1");
  std::this_thread::sleep_for(1500ms);
  Platform.publishAgain("b1");
  std::this_thread::sleep_for(700ms);
  const int Reached = Platform.arrivals("b1");
  for (int I = 0; I < 12; ++I) {
    const std::string Id = "after" + std::to_string(I);
    CHECK(Look(Id) == 200);
    harness::EventStream Stream(At.callers(), "/guide/x", headers("g" + Id),
                                "x");
    CHECK(readOrdered(Stream) == 40);
    for (const std::string &Each : Platform.pathOf("g" + Id))
      CHECK(Each != "fukuoka0");
  }
  CHECK(Platform.arrivals("b1") == Reached);
}

TEST_CASE(
    "an endpoint that refuses and asks for a pause gets no request and no "
    "question until it is over") {
  Estate Platform;
  fill(Platform);
  Router At(Platform);
  waitServing(At);
  Platform.refuseFor("b1", 2s);
  Platform.refuseFor("b2", 2s);
  Platform.refuseFor("fukuoka0", 2s);
  const auto Press = [&] {
    const auto End = std::chrono::steady_clock::now() + 1200ms;
    for (int I = 0; std::chrono::steady_clock::now() < End; ++I) {
      const std::string Id = "p" + std::to_string(I);
      const auto Answer =
          harness::http("GET", At.callers(), "/look/a", headers(Id));
      CHECK(Answer.m_Status == 503);
      CHECK_FALSE(net::findHeader(Answer.m_Headers, "Retry-After").empty());
      harness::EventStream Stream(At.callers(), "/guide/x", headers("g" + Id),
                                  "x");
      readOrdered(Stream);
    }
  };
  Press();
  for (const char *Each : {"b1", "b2", "fukuoka0"}) {
    CAPTURE(Each);
    const int Reached = Platform.arrivals(Each);
    Platform.refuseFor(Each, 0s);
    if (Each[0] == 'b') // one try of each endpoint, told by its first answer
      CHECK(Reached <= 2);
  }
  CHECK(harness::eventually([&] {
    return harness::http("GET", At.callers(), "/look/a", headers("again"))
               .m_Status == 200;
  }));
}

TEST_CASE("answers come a second time, late, on connections in use again: "
          "nobody gets one that is not its own") {
  Estate Platform;
  fill(Platform);
  Platform.setEventPause(1ms);
  Router At(Platform);
  waitServing(At);
  for (const char *Each : {"b1", "b2", "fukuoka0", "fukuoka1", "fukuoka2",
                           "kumamoto0", "kumamoto1", "kumamoto2"})
    Platform.repeatAnswers(Each, 15ms);
  for (int I = 0; I < 60; ++I) {
    const std::string Id = "l" + std::to_string(I);
    const auto Look =
        harness::http("GET", At.callers(), "/look/" + Id, headers(Id));
    CHECK(Look.m_Status == 200);
    CHECK(Look.m_Body == "counter /look/" + Id + " ");
    // Reports are asked of the same engines all the while.
    harness::EventStream Stream(At.callers(), "/guide/x", headers("g" + Id),
                                "x");
    CHECK(Stream.status() == 200);
    CHECK_FALSE(Stream.header("X-Mimosadale-Server-Seal").empty());
    CHECK(readOrdered(Stream) == 40);
  }
}
