// Blocked prompt parts outlast the routers that found them.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "platform/forward_helpers.h"
#include "platform/names.h"

#include <csignal>
#include <doctest/doctest.h>
#include <memory>

using namespace mimosadale;
using namespace mimosadale::tests;
using namespace std::chrono_literals;

namespace {

constexpr const char *DeadlyPrompt = "shared:40,deadly:300";

// Two routers that have blocked a part after it crashed engines, which are
// back.
struct BlockingFleet {
  BlockingFleet() {
    addDefaultEndpoints(m_Platform);
    m_Platform.setEngineMemory(100000);
    m_Platform.restartCrashed(300ms);
    m_First = std::make_unique<ForwardRouter>(m_Platform, "r1");
    m_Second = std::make_unique<ForwardRouter>(m_Platform, "r2");
    for (ForwardRouter *Router : {m_First.get(), m_Second.get()}) {
      waitUntilServing(*Router);
      REQUIRE(
          harness::waitUntil([&] { return knownRouterCount(*Router) == 2; }));
      REQUIRE(promptStatus(*Router, "before", "shared:40,sound:300") == 200);
    }
  }

  // Lets the part crash engines until both routers refuse it and the row is
  // written.
  void block() {
    m_Platform.crashOnPart("deadly");
    for (ForwardRouter *Router : {m_First.get(), m_Second.get()})
      REQUIRE(harness::waitUntil(
          [&] { return promptStatus(*Router, "d", DeadlyPrompt) == 503; }));
    CHECK(harness::waitUntil([&] { return writes() > 0; }));
    m_Crashed = m_Platform.crashedEngines().size();
  }

  unsigned writes() const {
    return eventCount(*m_First, "blocks_written") +
           eventCount(*m_Second, "blocks_written");
  }

  void killAll() {
    for (ForwardRouter *Router : {m_First.get(), m_Second.get()}) {
      Router->process().signal(SIGKILL);
      Router->process().wait();
    }
  }

  // Both routers refuse the part, and no further engine has crashed.
  void checkBlocked() {
    for (const ForwardRouter *Router : {m_First.get(), m_Second.get()}) {
      CAPTURE(Router->log());
      CHECK(promptStatus(*Router, "again", DeadlyPrompt) == 503);
    }
    CHECK(m_Platform.crashedEngines().size() == m_Crashed);
  }

  FakePlatform m_Platform;
  std::unique_ptr<ForwardRouter> m_First;
  std::unique_ptr<ForwardRouter> m_Second;
  std::size_t m_Crashed = 0;
};

} // namespace

// Guards against blocked parts being forgotten when all routers end at once
// (review case 8).
TEST_CASE("all routers are killed at once: started again, they refuse the part "
          "that was blocked, and no engine crashes") {
  BlockingFleet Fleet;
  Fleet.block();
  Fleet.killAll();
  Fleet.m_First->start();
  Fleet.m_Second->start();
  waitUntilServing(*Fleet.m_First);
  waitUntilServing(*Fleet.m_Second);
  Fleet.checkBlocked();
}

TEST_CASE("the store does not answer for the blocked parts: routers serve "
          "nevertheless, and know them once it answers") {
  BlockingFleet Fleet;
  Fleet.block();
  Fleet.killAll();
  Fleet.m_Platform.limitStoreModeTo(platform::BlockedMarksTable);
  Fleet.m_Platform.setStoreMode(StoreMode::Silent);
  Fleet.m_First->start();
  Fleet.m_Second->start();
  waitUntilServing(*Fleet.m_First);
  waitUntilServing(*Fleet.m_Second);
  Fleet.m_Platform.setStoreMode(StoreMode::Available);
  for (const ForwardRouter *Router :
       {Fleet.m_First.get(), Fleet.m_Second.get()})
    REQUIRE(harness::waitUntil(
        [&] { return stateValue(*Router, "blocked_prompt_parts") == 1; }));
  Fleet.checkBlocked();
}

TEST_CASE("the store comes back from a copy from before the block: living "
          "routers write it again") {
  BlockingFleet Fleet;
  Fleet.m_Platform.setEra(1);
  const auto Copy = Fleet.m_Platform.copyStore();
  writeUnrelatedRows(Fleet.m_Platform);
  Fleet.block();
  const unsigned WritesBefore = Fleet.writes();
  restoreAfter(Fleet.m_Platform, Copy);
  REQUIRE(harness::waitUntil([&] { return Fleet.writes() > WritesBefore; }));
  Fleet.killAll();
  Fleet.m_First->start();
  Fleet.m_Second->start();
  waitUntilServing(*Fleet.m_First);
  waitUntilServing(*Fleet.m_Second);
  Fleet.checkBlocked();
}
