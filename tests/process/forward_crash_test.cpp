// Requests whose prompts crash the engines that begin to answer them, and sound
// requests beside them.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "platform/forward_helpers.h"

#include <doctest/doctest.h>
#include <thread>

using namespace mimosadale;
using namespace mimosadale::tests;
using namespace std::chrono_literals;

namespace {

// Sends a request with the part that crashes engines.
unsigned sendDeadly(const ForwardRouter &Router, const std::string &Id) {
  return promptStatus(Router, Id, "shared:40,deadly:300");
}

bool soundIsServed(const ForwardRouter &Router, const std::string &Id) {
  return promptStatus(Router, Id, "shared:40,sound:300") == 200;
}

} // namespace

// Guards against requests of one kind crashing engines one after the other,
// each of them at several engines and routers.
TEST_CASE("a prompt part crashes each engine that begins to answer it: two "
          "routers stop sending it, refuse it as not run, and serve sound "
          "requests that share its first part") {
  FakePlatform Platform;
  addDefaultEndpoints(Platform);
  Platform.setEngineMemory(100000);
  ForwardRouter R1(Platform, "r1");
  ForwardRouter R2(Platform, "r2");
  for (ForwardRouter *Router : {&R1, &R2}) {
    waitUntilServing(*Router);
    REQUIRE(harness::waitUntil([&] { return knownRouterCount(*Router) == 2; }));
    REQUIRE(soundIsServed(*Router, "before"));
  }
  Platform.crashOnPart("deadly");
  // At the second engine, a repeat or another request shows which part it is.
  sendDeadly(R1, "d1");
  std::this_thread::sleep_for(300ms);
  sendDeadly(R2, "d2");
  std::this_thread::sleep_for(600ms);
  const std::size_t Crashed = Platform.crashedEngines().size();
  CHECK(Crashed <= 3);
  // Their entries lapse, so that their layers are assigned to others.
  for (const std::string &Engine : Platform.crashedEngines())
    Platform.deleteEntry(Engine);
  for (int I = 0; I < 8; ++I) {
    const std::string Id = "again" + std::to_string(I);
    CHECK(sendDeadly(I % 2 ? R1 : R2, Id) == 503);
    CHECK(Platform.runCount(Id) == 0);
  }
  for (ForwardRouter *Router : {&R1, &R2}) {
    const bool Served = harness::waitUntil(
        [&] { return soundIsServed(*Router, "sound"); }, 15s);
    CAPTURE(Router->log());
    CHECK(Served);
    CHECK(sendDeadly(*Router, "last") == 503);
  }
  CHECK(Platform.crashedEngines().size() == Crashed);
}

// Guards against sound requests on a new template being refused for good since
// the first request with it also held a deadly part (review case 6).
TEST_CASE("the first request on a new template crashes engines: sound requests "
          "on it are served by all routers, and the deadly part is refused") {
  FakePlatform Platform;
  addDefaultEndpoints(Platform);
  Platform.setEngineMemory(100000);
  Platform.restartCrashed(500ms);
  ForwardRouter R1(Platform, "r1");
  ForwardRouter R2(Platform, "r2");
  for (ForwardRouter *Router : {&R1, &R2}) {
    waitUntilServing(*Router);
    REQUIRE(harness::waitUntil([&] { return knownRouterCount(*Router) == 2; }));
  }
  Platform.crashOnPart("deadly");
  promptStatus(R1, "first", "new:40,deadly:300");
  REQUIRE(Platform.crashedEngines().size() == 2);
  for (const ForwardRouter *Router : {&R1, &R2}) {
    CAPTURE(Router->log());
    CHECK(harness::waitUntil(
        [&] { return promptStatus(*Router, "sound", "new:40") == 200; }, 15s));
  }
  const std::size_t Crashed = Platform.crashedEngines().size();
  for (const ForwardRouter *Router : {&R1, &R2}) {
    CHECK(promptStatus(*Router, "again", "new:40,deadly:300") == 503);
    CHECK(promptStatus(*Router, "other", "old:40,deadly:300") == 503);
  }
  CHECK(Platform.crashedEngines().size() == Crashed);
}

// Guards against a deadly part being cleared by its second event (review case
// 10).
TEST_CASE("engines write some events before they crash: the part is refused, "
          "and sound streams beside it end whole") {
  FakePlatform Platform;
  addDefaultEndpoints(Platform);
  Platform.setEngineMemory(100000);
  Platform.restartCrashed(500ms);
  ForwardRouter R1(Platform, "r1");
  ForwardRouter R2(Platform, "r2");
  for (ForwardRouter *Router : {&R1, &R2}) {
    waitUntilServing(*Router);
    REQUIRE(harness::waitUntil([&] { return knownRouterCount(*Router) == 2; }));
    REQUIRE(soundIsServed(*Router, "before"));
  }
  Platform.crashOnPart("deadly");
  Platform.crashAfterEvents(3);
  for (const ForwardRouter *Router : {&R1, &R2}) {
    CAPTURE(Router->log());
    CHECK(harness::waitUntil(
        [&] {
          return sendDeadly(*Router, "deadly") == 503 &&
                 stateValue(*Router, "blocked_prompt_parts") == 1;
        },
        15s));
  }
  // The users' rule: five crashes, and three requests some seconds after them.
  const std::size_t Crashed = Platform.crashedEngines().size();
  CHECK(Crashed <= 5 + 3);
  for (const ForwardRouter *Router : {&R1, &R2}) {
    CHECK(sendDeadly(*Router, "again") == 503);
    CHECK(harness::waitUntil([&] { return soundIsServed(*Router, "sound"); },
                             15s));
  }
  CHECK(Platform.crashedEngines().size() == Crashed);
}

// Guards against a deadly part behind many others being taken for absent
// (review case 9).
TEST_CASE("a deadly part is the 60th of a prompt: it is refused") {
  FakePlatform Platform;
  addDefaultEndpoints(Platform);
  Platform.setEngineMemory(100000);
  Platform.restartCrashed(500ms);
  ForwardRouter Router(Platform, "r1");
  waitUntilServing(Router);
  std::string Before;
  for (int I = 0; I < 59; ++I)
    Before += "part" + std::to_string(I) + ":5,";
  REQUIRE(promptStatus(Router, "before", Before + "sound:5") == 200);
  Platform.crashOnPart("deadly");
  CAPTURE(Router.log());
  CHECK(harness::waitUntil(
      [&] {
        return promptStatus(Router, "deadly", Before + "deadly:5") == 503 &&
               stateValue(Router, "blocked_prompt_parts") == 1;
      },
      15s));
  CHECK(Platform.crashedEngines().size() <= 5 + 3); // the users' rule
  CHECK(harness::waitUntil(
      [&] { return promptStatus(Router, "sound", Before + "sound:5") == 200; },
      15s));
}
