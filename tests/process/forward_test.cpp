// A forwarding router as a process that uses the fake platform.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "platform/forward_helpers.h"

#include <csignal>
#include <doctest/doctest.h>
#include <thread>

using namespace mimosadale;
using namespace mimosadale::tests;
using namespace std::chrono_literals;
using Router = ForwardRouter;

TEST_CASE("a stream and a call are answered completely; wrong keys and unknown "
          "routes are refused and run nothing") {
  FakePlatform Platform;
  addDefaultEndpoints(Platform);
  Router R1(Platform);
  waitUntilServing(R1);
  harness::EventStream Stream(R1.callerAddress(), "/guide/seat",
                              requestHeaders("s1"), "x");
  CHECK(Stream.status() == 200);
  CHECK_FALSE(Stream.header("X-Mimosadale-Server-Seal").empty());
  CHECK(readInOrder(Stream) == 40);
  CHECK(Stream.isComplete());
  const auto Book =
      harness::sendRequest("POST", R1.callerAddress(), "/book/a?b=c",
                           requestHeaders("c1"), "seat 4");
  CHECK(Book.m_Status == 200);
  CHECK(Book.m_Body == "counter /book/a?b=c seat 4");
  CHECK(Platform.runCount("c1") == 1);
  CHECK(harness::sendRequest("GET", R1.callerAddress(), "/look/a",
                             requestHeaders("c2", "wrong"))
            .m_Status == 401);
  CHECK(harness::sendRequest("GET", R1.callerAddress(), "/other/a",
                             requestHeaders("c3"))
            .m_Status == 404);
  CHECK(Platform.runCount("c2") == 0);
  CHECK(Platform.violations().empty());
}

TEST_CASE("a caller leaves while no event is being sent: the engines stop its "
          "stream within 500 ms") {
  FakePlatform Platform;
  addDefaultEndpoints(Platform);
  Platform.setEventInterval(30ms);
  Router R1(Platform);
  waitUntilServing(R1);
  {
    harness::EventStream Stream(R1.callerAddress(), "/guide/seat",
                                requestHeaders("s1", "key", 400), "x");
    REQUIRE(Stream.next());
    Platform.setEventInterval(3s);
    // Until the event being sent has arrived.
    std::this_thread::sleep_for(100ms);
    CHECK(Platform.activeStreamCount() >= 1);
  }
  CHECK(harness::waitUntil([&] { return Platform.activeStreamCount() == 0; },
                           500ms));
}

TEST_CASE("an endpoint drains: it gets no new requests, and other engines take "
          "over its layers") {
  FakePlatform Platform;
  addDefaultEndpoints(Platform);
  Router R1(Platform);
  waitUntilServing(R1);
  Platform.drain("b1");
  Platform.drain("fukuoka1");
  std::this_thread::sleep_for(1s);
  for (int I = 0; I < 12; ++I) {
    const std::string Id = "d" + std::to_string(I);
    harness::sendRequest("GET", R1.callerAddress(), "/look/a",
                         requestHeaders(Id));
    harness::EventStream Stream(R1.callerAddress(), "/guide/x",
                                requestHeaders("g" + Id), "x");
    CHECK(readInOrder(Stream) == 40);
    for (const std::string &Engine : Platform.lastPath("g" + Id))
      CHECK(Engine != "fukuoka1");
    for (const std::string &Endpoint : Platform.lastPath(Id))
      CHECK(Endpoint != "b1");
  }
  CHECK(harness::waitUntil([&] {
    return Platform.layers("fukuoka0").m_End -
               Platform.layers("fukuoka0").m_First +
               Platform.layers("fukuoka2").m_End -
               Platform.layers("fukuoka2").m_First >=
           12;
  }));
  CHECK(Platform.violations().empty());
}

TEST_CASE("an address is used again by another instance: it does not run "
          "requests for the previous one") {
  FakePlatform Platform;
  addDefaultEndpoints(Platform);
  Router R1(Platform);
  waitUntilServing(R1);
  Platform.reuseAddress("b1", "other");
  for (int I = 0; I < 8; ++I) {
    const std::string Id = "u" + std::to_string(I);
    CHECK(harness::sendRequest("GET", R1.callerAddress(), "/look/a",
                               requestHeaders(Id))
              .m_Status == 200);
    CHECK(Platform.runCount(Id) == 1);
    CHECK(Platform.lastPath(Id) == std::vector<std::string>{"b2"});
  }
}

TEST_CASE("an answer is lost: a call that may not be repeated ran once and is "
          "not reported as not run") {
  FakePlatform Platform;
  addDefaultEndpoints(Platform);
  Router R1(Platform);
  waitUntilServing(R1);
  Platform.dropAnswers("b1", 1);
  Platform.dropAnswers("b2", 1);
  const auto Book = harness::sendRequest("POST", R1.callerAddress(), "/book/a",
                                         requestHeaders("c1"), "seat 4");
  CHECK(Book.m_Status == 502);
  CHECK(Platform.runCount("c1") == 1);
  Platform.dropAnswers("b1", 1);
  Platform.dropAnswers("b2", 0);
  for (int I = 0; I < 6; ++I) {
    const std::string Id = "l" + std::to_string(I);
    CHECK(harness::sendRequest("GET", R1.callerAddress(), "/look/a",
                               requestHeaders(Id))
              .m_Status == 200);
    CHECK(Platform.runCount(Id) <= 2);
  }
}
