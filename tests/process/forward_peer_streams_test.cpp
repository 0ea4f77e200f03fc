// Streams that another router serves for one that reaches no endpoint, when the
// other router, its endpoints or the retry budget fail as well.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "platform/cut_off_router.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <thread>

using namespace mimosadale;
using namespace mimosadale::tests;
using namespace std::chrono_literals;

namespace {

// Silence of another router after which a router moves its streams by itself.
constexpr auto MaxPeerSilence = 1600ms;

// Deadline of a caller, shorter than the default.
harness::Headers shortHeaders(const std::string &RequestId) {
  harness::Headers Headers = requestHeaders(RequestId, "key", 400);
  for (net::HttpHeader &Header : Headers)
    if (Header.m_Name == "X-Mimosadale-Deadline-Ms")
      Header.m_Value = "4000";
  return Headers;
}

bool isEngine(const std::string &Id) { return Id.front() != 'b'; }

} // namespace

// Guards against repeats that are charged to no retry budget: a router that was
// cut off handed a stream under way to one router after the other.
TEST_CASE("a stream that another router serves is broken off, and the retry "
          "budget is empty: no endpoint gets it again") {
  CutOffRouter Routers(NoRetryBudget);
  ForwardRouter Third(Routers.m_Sound, "r3", NoRetryBudget);
  Routers.add(Third);
  Routers.cut();
  Routers.sendUntilNoticed();
  Routers.m_Sound.setEventInterval(50ms);
  harness::EventStream Stream(Routers.m_First->callerAddress(), "/guide/x",
                              shortHeaders("broken"), "x");
  REQUIRE(Stream.next());
  for (const std::string &Id : DefaultEndpoints)
    if (isEngine(Id)) {
      Routers.m_Sound.abortStreams(Id);
      Routers.m_Sound.refuseWithRetryAfter(Id, 0s);
    }
  while (Stream.next())
    continue;
  CAPTURE(Routers.m_First->log());
  CHECK_FALSE(Stream.isComplete());
  CHECK(Routers.m_Sound.runCount("broken") == 1);
}

// Guards against streams that are abandoned before their repeat is charged:
// without one they could not continue, although their endpoints did.
TEST_CASE("all endpoints of a router are silent for less than a second, and "
          "the retry budget is empty: its streams go on where they are") {
  CutOffRouter Routers(NoRetryBudget);
  Routers.m_Cut.setEventInterval(20ms);
  constexpr int StreamCount = 6;
  Streams Open;
  for (int I = 0; I < StreamCount; ++I) {
    Open.push_back(std::make_unique<harness::EventStream>(
        Routers.m_First->callerAddress(), "/guide/x",
        requestHeaders("s" + std::to_string(I), "key", 100), "x"));
    REQUIRE(Open.back()->next());
  }
  Routers.cut();
  std::this_thread::sleep_for(900ms);
  Routers.restore(CutKind::Hang);
  CAPTURE(Routers.m_First->log());
  for (const auto &Stream : Open) {
    CHECK(readInOrder(*Stream, 1) == 100);
    CHECK(Stream->isComplete());
  }
  for (int I = 0; I < StreamCount; ++I) {
    const std::string Id = "s" + std::to_string(I);
    CHECK(Routers.m_Cut.runCount(Id) + Routers.m_Sound.runCount(Id) == 1);
  }
}

// Guards against callers that leave a silent stream: a router that had lost its
// way to the endpoints held the streams that it served for another router.
TEST_CASE("a router that serves another one's streams is cut off as well: they "
          "go on at a third router before its silence is noticed") {
  CutOffRouter Routers;
  FakePlatform ThirdPlatform;
  addDefaultEndpoints(ThirdPlatform);
  ForwardRouter Third(ThirdPlatform, "r3");
  Routers.add(Third);
  Routers.cut();
  Routers.sendUntilNoticed();
  Routers.m_Sound.setEventInterval(20ms);
  ThirdPlatform.setEventInterval(20ms);
  constexpr int StreamCount = 4;
  Streams Open;
  for (int I = 0; I < StreamCount; ++I) {
    Open.push_back(std::make_unique<harness::EventStream>(
        Routers.m_First->callerAddress(), "/guide/x",
        requestHeaders("s" + std::to_string(I), "key", 200), "x"));
    REQUIRE(Open.back()->next());
  }
  FakePlatform &Lost = Routers.m_Sound.activeStreamCount() >= StreamCount / 2
                           ? Routers.m_Sound
                           : ThirdPlatform;
  const auto CutAt = std::chrono::steady_clock::now();
  for (const std::string &Id : DefaultEndpoints)
    Lost.stopResponding(Id);
  CAPTURE(Routers.m_First->log());
  for (const auto &Stream : Open) {
    auto LastAt = CutAt;
    auto LongestGap = 0ns;
    unsigned Events = 1;
    while (Stream->next()) {
      const auto Now = std::chrono::steady_clock::now();
      LongestGap = std::max(LongestGap, Now - std::max(LastAt, CutAt));
      LastAt = std::max(Now, CutAt);
      ++Events;
    }
    CHECK(Stream->isComplete());
    CHECK(Events == 200);
    // Streams are read one after the other: only the first gap is its own.
    if (Stream == Open.front())
      CHECK(LongestGap < MaxPeerSilence);
  }
}

// Guards against streams that are broken off although no router can continue
// them, while their endpoints only paused.
TEST_CASE("all endpoints of a router that serves another one's stream are "
          "silent for less than a second, and the stream may go to no further "
          "endpoint: it goes on where it is") {
  CutOffRouter Routers(NoRetryBudget);
  for (FakePlatform *Platform : {&Routers.m_Cut, &Routers.m_Sound}) {
    Platform->addRoute({{"Name", "single"},
                        {"Host", harness::loopbackIp()},
                        {"Prefix", "/single/"},
                        {"RouteType", "streaming"},
                        {"TimeoutMs", 20000},
                        {"TargetLatencyMs", 500},
                        {"Service", "llm"},
                        {"MaxAttempts", 1},
                        {"StreamResume", true},
                        {"GapTargetMs", 200}});
    Platform->configure(2);
  }
  Routers.cut();
  Routers.sendUntilNoticed();
  Routers.m_Sound.setEventInterval(20ms);
  harness::EventStream Stream(Routers.m_First->callerAddress(), "/single/x",
                              requestHeaders("single", "key", 100), "x");
  REQUIRE(Stream.next());
  for (const std::string &Id : DefaultEndpoints)
    Routers.m_Sound.stopResponding(Id);
  std::this_thread::sleep_for(900ms);
  for (const std::string &Id : DefaultEndpoints)
    Routers.m_Sound.resumeResponding(Id);
  CAPTURE(Routers.m_First->log());
  CAPTURE(Routers.m_Second->log());
  CHECK(readInOrder(Stream, 1) == 100);
  CHECK(Stream.isComplete());
  CHECK(Routers.m_Sound.runCount("single") == 1);
}

// Guards against a router that connects to others without pause until the
// deadline of the request.
TEST_CASE("a router is cut off, and all others refuse connections: each is "
          "tried once for a request") {
  CutOffRouter Routers;
  Routers.cut(CutKind::Refuse);
  Routers.sendUntilNoticed();
  Routers.m_Second->process().kill();
  constexpr int Requests = 5;
  for (int I = 0; I < Requests; ++I)
    CHECK(Routers.call("/look/a", "l" + std::to_string(I)).m_Status == 503);
  const std::string Log = Routers.m_First->log();
  CAPTURE(Log);
  for (int I = 0; I < Requests; ++I) {
    const std::string Sent =
        "\"request\":\"l" + std::to_string(I) + "\",\"after\":\"router:";
    std::size_t Count = 0;
    for (std::size_t Pos = Log.find(Sent); Pos != std::string::npos;
         Pos = Log.find(Sent, Pos + 1))
      ++Count;
    CHECK(Count <= 1);
  }
}

// Guards against streams under way that end because another router could not
// continue them, although a third one can.
TEST_CASE("a stream goes on at another router, whose endpoint breaks off "
          "before its answer: it goes on at a third one") {
  CutOffRouter Routers;
  FakePlatform ThirdPlatform;
  addDefaultEndpoints(ThirdPlatform);
  ForwardRouter Third(ThirdPlatform, "r3", NoRetryBudget);
  Routers.add(Third);
  FakePlatform FourthPlatform;
  addDefaultEndpoints(FourthPlatform);
  ForwardRouter Fourth(FourthPlatform, "r4", NoRetryBudget);
  Routers.add(Fourth);
  Routers.cut();
  Routers.sendUntilNoticed();
  FakePlatform *Platforms[] = {&Routers.m_Sound, &ThirdPlatform,
                               &FourthPlatform};
  for (FakePlatform *Platform : Platforms)
    Platform->setEventInterval(20ms);
  harness::EventStream Stream(Routers.m_First->callerAddress(), "/guide/x",
                              requestHeaders("moved", "key", 100), "x");
  REQUIRE(Stream.next());
  // The platform that serves it loses it, one of the others drops the next.
  FakePlatform *const Serving = *std::find_if(
      std::begin(Platforms), std::end(Platforms),
      [](FakePlatform *Platform) { return Platform->activeStreamCount() > 0; });
  FakePlatform *const Dropping =
      Serving == &ThirdPlatform ? &FourthPlatform : &ThirdPlatform;
  for (const std::string &Id : DefaultEndpoints)
    if (isEngine(Id)) {
      Dropping->dropAnswers(Id, 1);
      Serving->abortStreams(Id);
    }
  CAPTURE(Routers.m_First->log());
  CHECK(readInOrder(Stream, 1) == 100);
  CHECK(Stream.isComplete());
}
