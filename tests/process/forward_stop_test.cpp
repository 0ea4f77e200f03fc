// Planned stops of a forwarding router under load.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "harness/raw_connection.h"
#include "platform/forward_case.h"

#include <csignal>
#include <doctest/doctest.h>
#include <thread>

using namespace mimosadale;
using namespace mimosadale::tests;
using namespace std::chrono_literals;
using Router = ForwardRouter;

TEST_CASE("a kept connection is not used for new requests after SIGTERM") {
  Estate Platform;
  fill(Platform);
  Router At(Platform);
  waitServing(At);
  harness::RawConnection Kept(At.callers());
  const auto Ask = [&](const std::string &Id) {
    return Kept.send("/look/a", headers(Id)) ? Kept.receive() : 0u;
  };
  CHECK(Ask("before") == 200);
  At.process().signal(SIGTERM);
  std::this_thread::sleep_for(2700ms);
  CHECK(Ask("after") == 0);
  CHECK(Platform.runs("after") == 0);
}

TEST_CASE("a planned stop under load: connections that are opened but not yet "
          "accepted when the router closes its listener get their answers") {
  Estate Platform;
  fill(Platform);
  Router At(Platform);
  waitServing(At);
  At.process().signal(SIGTERM);
  std::this_thread::sleep_for(1900ms);
  // The router stands still while they come, across the moment of its close.
  At.process().signal(SIGSTOP);
  std::vector<std::unique_ptr<harness::RawConnection>> Open;
  for (int I = 0; I < 40; ++I) {
    Open.push_back(std::make_unique<harness::RawConnection>(At.callers()));
    REQUIRE(Open.back()->send("/look/a", headers("a" + std::to_string(I))));
  }
  std::this_thread::sleep_for(600ms);
  At.process().signal(SIGCONT);
  int Answered = 0;
  for (const auto &Each : Open)
    Answered += Each->receive() == 200;
  CHECK(Answered == 40);
  CHECK(At.process().wait() == 0);
}

TEST_CASE("a planned stop under load: streams that it would cut are refused as "
          "not run, with when to come back") {
  Estate Platform;
  fill(Platform);
  Platform.setEventPause(10ms);
  Router At(Platform);
  waitServing(At);
  {
    harness::EventStream Short(At.callers(), "/guide/x", headers("s0"), "x");
    CHECK(readOrdered(Short) == 40); // 10 ms a token
  }
  At.process().signal(SIGTERM);
  std::this_thread::sleep_for(500ms);
  const auto Long = harness::http("POST", At.callers(), "/guide/seat",
                                  headers("s1", "key", 2000), "x");
  CHECK(Long.m_Status == 503);
  CHECK_FALSE(net::findHeader(Long.m_Headers, "Retry-After").empty());
  CHECK(Platform.runs("s1") == 0);
  harness::EventStream Short(At.callers(), "/guide/x", headers("s2"), "x");
  CHECK(Short.status() == 200);
  CHECK(readOrdered(Short) == 40);
  CHECK(Short.whole());
}

TEST_CASE("SIGTERM: not ready at once, the stream in progress ends whole, and "
          "the process leaves") {
  Estate Platform;
  fill(Platform);
  Platform.setEventPause(40ms);
  Router At(Platform);
  waitServing(At);
  harness::EventStream Stream(At.callers(), "/guide/seat",
                              headers("s1", "key", 80), "x");
  REQUIRE(Stream.next());
  At.process().signal(SIGTERM);
  CHECK(harness::eventually([&] { return At.readiness() != 200; }, 1s));
  CHECK(readOrdered(Stream, 1) == 80);
  CHECK(Stream.whole());
  CHECK(At.process().wait() == 0);
}
