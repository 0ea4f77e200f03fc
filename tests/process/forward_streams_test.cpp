// Streams through a forwarding router while engines stand still or leave.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "platform/forward_case.h"

#include <csignal>
#include <doctest/doctest.h>
#include <thread>

using namespace mimosadale;
using namespace mimosadale::tests;
using namespace std::chrono_literals;
using Router = ForwardRouter;

TEST_CASE("an engine falls silent in the middle of streams: they go on whole") {
  Estate Platform;
  fill(Platform);
  Platform.setEventPause(10ms);
  Router At(Platform);
  waitServing(At);
  const Streams Open = openStreams(At, 8, 90);
  const auto Path = Platform.pathOf("s0");
  REQUIRE(!Path.empty());
  Platform.silence(Path.back());
  for (const auto &Each : Open) {
    CHECK(readOrdered(*Each, 1) == 90);
    CHECK(Each->whole());
  }
  CHECK(Platform.violations().empty());
}

TEST_CASE("an engine falls silent in the middle of streams: they go on over "
          "other engines of the data centre and are not sent again") {
  Estate Platform;
  for (int I = 0; I < 6; ++I) // two chains
    Platform.addEngine("fukuoka" + std::to_string(I), "fukuoka");
  Platform.configure(1);
  Platform.setEventPause(30ms);
  Router At(Platform);
  waitServing(At);
  const Streams Open = openStreams(At, 8, 60);
  const auto Path = Platform.pathOf("s0");
  REQUIRE(Path.size() > 1);
  Platform.silence(Path.back());
  for (std::size_t I = 0; I < Open.size(); ++I) {
    CHECK(readOrdered(*Open[I], 1) == 60);
    CHECK(Open[I]->whole());
    CHECK(Platform.runs("s" + std::to_string(I)) == 1);
  }
  CHECK(Platform.violations().empty());
}

TEST_CASE(
    "many streams stand still and one retry is left: the others wait, and "
    "go on when the engine does") {
  Estate Platform;
  fill(Platform);
  Platform.setEventPause(30ms);
  Platform.setRepairs(false);
  Router At(Platform, "r1", "slack = 2\nfraction = 0\nwindow_seconds = 2\n");
  waitServing(At);
  std::this_thread::sleep_for(2200ms); // the budget grows for one window
  const Streams Open = openStreams(At, 12, 60);
  standStillAndGoOn(Platform, Open, 60);
}

TEST_CASE("many streams stand still and there is room for a few elsewhere: the "
          "others wait, and go on when the engine does") {
  Estate Platform;
  fill(Platform);
  Platform.setEventPause(30ms);
  Platform.setRepairs(false);
  Router At(Platform);
  waitServing(At);
  const Streams Open = openStreams(At, 12, 120);
  // A stream takes 220 tokens of four layers at each engine: a chain of six
  // streams or more is full for others, or has room for a few.
  Platform.setMemory(7 * 220 * 4);
  std::this_thread::sleep_for(1200ms); // until the engines have told it
  standStillAndGoOn(Platform, Open, 120);
}

TEST_CASE("a stream that stands still but brings a byte now and then goes on "
          "elsewhere") {
  Estate Platform;
  fill(Platform);
  Platform.setEventPause(20ms);
  Router At(Platform);
  waitServing(At);
  harness::EventStream Stream(At.callers(), "/guide/seat",
                              headers("s1", "key", 60), "x");
  REQUIRE(Stream.next());
  Platform.dribble(Platform.pathOf("s1").front());
  CHECK(readOrdered(Stream, 1) == 60);
  CHECK(Stream.whole());
  CHECK(Platform.runs("s1") == 2);
}

TEST_CASE("a sound stream with long pauses between its events is left alone") {
  Estate Platform;
  fill(Platform);
  Router At(Platform);
  waitServing(At);
  Platform.setEventPause(700ms);
  harness::EventStream Stream(At.callers(), "/guide/seat",
                              headers("s1", "key", 6), "x");
  CHECK(readOrdered(Stream) == 6);
  CHECK(Stream.whole());
  CHECK(Platform.runs("s1") == 1);
}

TEST_CASE(
    "the engines of all chains refuse for a while: a stream that has begun "
    "waits and goes on") {
  Estate Platform;
  fill(Platform);
  Platform.setEventPause(20ms);
  Platform.setRepairs(false);
  Router At(Platform);
  waitServing(At);
  harness::EventStream Stream(At.callers(), "/guide/seat",
                              headers("s1", "key", 60), "x");
  REQUIRE(Stream.next());
  const std::string First = Platform.pathOf("s1").front();
  for (const char *Centre : {"fukuoka", "kumamoto"})
    for (int I = 0; I < 3; ++I)
      if (const std::string Id = std::string(Centre) + std::to_string(I);
          Id != First)
        Platform.refuseFor(Id, 1s);
  Platform.breakStreams(First);
  std::this_thread::sleep_for(1200ms);
  for (const char *Centre : {"fukuoka", "kumamoto"})
    for (int I = 0; I < 3; ++I)
      Platform.refuseFor(std::string(Centre) + std::to_string(I), 0s);
  CHECK(readOrdered(Stream, 1) == 60);
  CHECK(Stream.whole());
  CHECK(Platform.violations().empty());
}
