// Callers that close their connection before or while their request is served.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "harness/raw_connection.h"
#include "platform/cut_off_router.h"

#include <csignal>
#include <doctest/doctest.h>
#include <thread>

using namespace mimosadale;
using namespace mimosadale::tests;
using namespace std::chrono_literals;

namespace {

// Gap after which callers close a stream, by the users' protocol.
constexpr auto CallerGapLimit = 2s;

struct OneRouter {
  OneRouter() {
    addDefaultEndpoints(m_Platform);
    m_Router = std::make_unique<ForwardRouter>(m_Platform);
    waitUntilServing(*m_Router);
  }

  FakePlatform m_Platform;
  std::unique_ptr<ForwardRouter> m_Router;
};

} // namespace

// Guards against requests that are sent although their caller closed the
// connection before they were read.
TEST_CASE("a router falls behind, and callers leave before it reads their "
          "requests: none of them reaches an endpoint") {
  OneRouter Running;
  // Connections to the endpoints are kept, so that a send takes no time.
  for (int I = 0; I < 10; ++I)
    REQUIRE(lookStatus(*Running.m_Router, "key") == 200);
  constexpr int Requests = 20;
  std::vector<std::unique_ptr<harness::RawConnection>> Callers;
  for (int I = 0; I < Requests; ++I)
    Callers.push_back(std::make_unique<harness::RawConnection>(
        Running.m_Router->callerAddress()));
  std::this_thread::sleep_for(200ms); // the connections are accepted
  Running.m_Router->process().signal(SIGSTOP);
  for (int I = 0; I < Requests; ++I)
    REQUIRE(Callers[I]->send(
        "/look/left", requestHeaders("left" + std::to_string(I), "key")));
  Callers.clear();
  Running.m_Router->process().signal(SIGCONT);
  std::this_thread::sleep_for(2 * DepartureTime);
  CAPTURE(Running.m_Router->log());
  for (int I = 0; I < Requests; ++I)
    CHECK(Running.m_Platform.runCount("left" + std::to_string(I)) == 0);
  CHECK(lookStatus(*Running.m_Router, "key") == 200);
}

// Guards against a departure that is not seen because bytes followed the
// request: endpoints worked on for callers that had left.
TEST_CASE("bytes follow a request, and the caller leaves the stream later: "
          "the engine stops, and such bytes begin the next request") {
  OneRouter Running;
  harness::RawConnection Kept(Running.m_Router->callerAddress());
  REQUIRE(Kept.send("/look/a", requestHeaders("first")));
  REQUIRE(Kept.send("/look/b", requestHeaders("second")));
  CHECK(Kept.receive() == 200);
  CHECK(Kept.receive() == 200);
  CHECK(Running.m_Platform.runCount("second") == 1);

  Running.m_Platform.setEventInterval(1000ms);
  auto Caller = std::make_unique<harness::RawConnection>(
      Running.m_Router->callerAddress());
  REQUIRE(
      Caller->send("/guide/left", requestHeaders("left-stream", "key", 400)));
  REQUIRE(harness::waitUntil(
      [&] { return Running.m_Platform.activeStreamCount() == 1; }));
  REQUIRE(Caller->send("/look/c", requestHeaders("third")));
  std::this_thread::sleep_for(100ms); // the router has received it
  Caller.reset();
  std::this_thread::sleep_for(DepartureTime);
  CAPTURE(Running.m_Router->log());
  CHECK(Running.m_Platform.activeStreamCount() == 0);
  CHECK(Running.m_Platform.runCount("third") == 0);
}

// Guards against sends for callers that left, by a router that serves the
// stream for another one: the close of that one does not reach it.
TEST_CASE("a router stands still after its caller left: the router that serves "
          "the stream for it and waits for a chain does not send it again") {
  CutOffRouter Routers;
  Routers.cut();
  Routers.sendUntilNoticed();
  Routers.m_Sound.setEventInterval(20ms);
  auto Caller = std::make_unique<harness::EventStream>(
      Routers.m_First->callerAddress(), "/guide/x",
      requestHeaders("left", "key", 400), "x");
  REQUIRE(Caller->next());
  REQUIRE(Routers.m_Sound.runCount("left") == 1);
  Routers.m_First->process().signal(SIGSTOP);
  Caller.reset();
  for (const std::string &Id : DefaultEndpoints)
    if (Id.front() != 'b') {
      Routers.m_Sound.abortStreams(Id);
      Routers.m_Sound.refuseWithRetryAfter(Id, 3s);
    }
  std::this_thread::sleep_for(CallerGapLimit + DepartureTime);
  for (const std::string &Id : DefaultEndpoints)
    Routers.m_Sound.refuseWithRetryAfter(Id, 0s);
  waitUntilServing(*Routers.m_Second);
  std::this_thread::sleep_for(2 * DepartureTime);
  CAPTURE(Routers.m_Second->log());
  CHECK(Routers.m_Sound.runCount("left") == 1);
  Routers.m_First->process().signal(SIGCONT);
}
