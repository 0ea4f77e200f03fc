// Whether a router takes its own cut for the loss of all endpoints.
#include "decide/own_reach.h"

#include <doctest/doctest.h>

using namespace mimosadale;
using namespace mimosadale::decide;
using namespace std::chrono_literals;

namespace {

constexpr Instant T0{1000s};

EndpointId endpoint(int Number) { return EndpointId(std::to_string(Number)); }

// Each of \p Count endpoints answers every 400 ms, but from \p LostAt on those
// below \p Lost fail instead, until \p BackAt.
struct Polls {
  int m_Count = 12;
  int m_Lost = 0;
  Instant m_LostAt = T0 + 2s;
  Instant m_BackAt = T0 + 6s;

  void play(OwnReach &Reach, Instant From, Instant To) const {
    for (Instant Now = From; Now < To; Now += 10ms)
      for (int I = 0; I < m_Count; ++I) {
        if ((Now - T0) % 400ms != (I * 30ms) % 400ms)
          continue;
        if (I < m_Lost && Now >= m_LostAt && Now < m_BackAt) {
          Reach.onUnanswered(endpoint(I), Now);
        } else {
          // Polls of a router that is cut off use new connections.
          if (Reach.cutOff())
            Reach.onConnected(endpoint(I), Now);
          Reach.onAnswered(endpoint(I), Now);
        }
      }
  }
};

} // namespace

// Guards against a router that is cut off ordering layers as if all endpoints
// were dead.
TEST_CASE("all endpoints fail for one router: it is cut off within a second, "
          "and no longer once they answer") {
  OwnReach Reach;
  const Polls All{12, 12};
  All.play(Reach, T0, T0 + 2s);
  CHECK_FALSE(Reach.cutOff());
  All.play(Reach, T0 + 2s, T0 + 3s);
  CHECK(Reach.cutOff());
  All.play(Reach, T0 + 3s, T0 + 6s);
  CHECK(Reach.cutOff());
  All.play(Reach, T0 + 6s, T0 + 7s);
  CHECK_FALSE(Reach.cutOff());
}

TEST_CASE("some endpoints crash, or those of a data centre: the router is not "
          "cut off") {
  for (const int Lost : {1, 2, 3, 4}) {
    CAPTURE(Lost);
    OwnReach Reach;
    const Polls Some{12, Lost};
    Some.play(Reach, T0, T0 + 3s);
    CHECK_FALSE(Reach.cutOff());
    Some.play(Reach, T0 + 3s, T0 + 5s);
    CHECK_FALSE(Reach.cutOff());
  }
}

TEST_CASE("a router starts cut off: it knows by the third failure") {
  OwnReach Reach;
  Reach.onConnectFailed(endpoint(1), T0);
  Reach.onConnectFailed(endpoint(2), T0 + 300ms);
  CHECK_FALSE(Reach.cutOff());
  Reach.onConnectFailed(endpoint(3), T0 + 350ms);
  CHECK(Reach.cutOff());
}

TEST_CASE("endpoints refuse new connections and answer over open ones: the "
          "router is cut off until they take connections") {
  OwnReach Reach;
  const Polls Open{12, 0};
  Open.play(Reach, T0, T0 + 1s);
  for (int I = 0; I < 2; ++I)
    Reach.onConnectFailed(endpoint(I), T0 + 1s + I * 10ms);
  Reach.onAnswered(endpoint(5), T0 + 1100ms);
  Reach.onAnswered(endpoint(6), T0 + 1100ms);
  CHECK_FALSE(Reach.cutOff());
  Reach.onAnswered(endpoint(0), T0 + 1200ms);
  CHECK_FALSE(Reach.cutOff());
  Reach.onAnswered(endpoint(1), T0 + 1200ms);
  CHECK(Reach.cutOff());
  Reach.onAnswered(endpoint(2), T0 + 1300ms);
  CHECK(Reach.cutOff());
  for (int I = 0; I < 2; ++I)
    Reach.onConnected(endpoint(I), T0 + 2s);
  CHECK_FALSE(Reach.cutOff());
}

TEST_CASE(
    "full endpoints refuse connections while others take them: the router "
    "is not cut off") {
  OwnReach Reach;
  for (int I = 0; I < 3; ++I) {
    Reach.onConnectFailed(endpoint(I), T0);
    Reach.onAnswered(endpoint(I), T0 + 10ms);
    Reach.onConnected(endpoint(10 + I), T0 + 20ms);
    CHECK_FALSE(Reach.cutOff());
  }
}

TEST_CASE(
    "nothing fails any more, since nothing is sent: the cut is over after "
    "a while") {
  OwnReach Reach;
  for (int I = 0; I < 3; ++I)
    Reach.onConnectFailed(endpoint(I), T0);
  REQUIRE(Reach.cutOff());
  Reach.onTick(T0 + 5s);
  CHECK(Reach.cutOff());
  Reach.onTick(T0 + 5100ms);
  CHECK_FALSE(Reach.cutOff());
}

TEST_CASE(
    "a connection is refused: the loss is in doubt until the endpoint had "
    "time to answer over an open one, and as long as it does") {
  OwnReach Reach;
  CHECK_FALSE(Reach.doubtsLoss(T0));
  Reach.onConnectFailed(endpoint(1), T0);
  CHECK(Reach.doubtsLoss(T0 + 290ms));
  CHECK_FALSE(Reach.doubtsLoss(T0 + 300ms));
  Reach.onAnswered(endpoint(1), T0 + 400ms);
  CHECK(Reach.doubtsLoss(T0 + 1s));
  Reach.onConnected(endpoint(1), T0 + 1s);
  CHECK_FALSE(Reach.doubtsLoss(T0 + 1s));
}

// Guards against layers being ordered by the cut of one link.
TEST_CASE("an endpoint that fails here answers another router: its loss is in "
          "doubt for a while, or until it answers here") {
  OwnReach Reach;
  Reach.onReachedElsewhere(endpoint(1), T0);
  CHECK_FALSE(Reach.doubtsLoss(T0));
  Reach.onUnanswered(endpoint(1), T0);
  CHECK_FALSE(Reach.doubtsLoss(T0));
  Reach.onReachedElsewhere(endpoint(1), T0 + 100ms);
  CHECK(Reach.doubtsLoss(T0 + 100ms));
  CHECK_FALSE(Reach.doubtsLoss(T0 + 100ms + OwnReach::answerLifetime()));
  CHECK_FALSE(Reach.cutOff());
  Reach.onReachedElsewhere(endpoint(1), T0 + 200ms);
  Reach.onAnswered(endpoint(1), T0 + 300ms);
  CHECK_FALSE(Reach.doubtsLoss(T0 + 300ms));
}

TEST_CASE("two endpoints that fail here answer another router, and no other "
          "one answers here: the router is cut off until they do") {
  OwnReach Reach;
  for (const int Id : {1, 2})
    Reach.onUnanswered(endpoint(Id), T0);
  Reach.onReachedElsewhere(endpoint(1), T0 + 50ms);
  CHECK_FALSE(Reach.cutOff());
  Reach.onReachedElsewhere(endpoint(2), T0 + 50ms);
  CHECK(Reach.cutOff());
  for (const int Id : {1, 2})
    Reach.onConnected(endpoint(Id), T0 + 1s);
  CHECK_FALSE(Reach.cutOff());
}

// Guards against answers that are broken off because a few engines crashed.
TEST_CASE("several endpoints crash while another one answers: the router may "
          "take itself for cut off, but not for one that reaches none") {
  const Instant Start{std::chrono::seconds(1000)};
  for (const bool AnotherAnswers : {false, true}) {
    OwnReach Reach;
    for (int I = 0; I < 6; ++I)
      Reach.onConnectFailed(EndpointId("e" + std::to_string(I)),
                            Start + I * std::chrono::milliseconds(50));
    if (AnotherAnswers)
      Reach.onAnswered(EndpointId("sound"),
                       Start + std::chrono::milliseconds(400));
    CHECK(Reach.cutOff());
    CHECK(Reach.reachesNone() == !AnotherAnswers);
  }
  CHECK_FALSE(OwnReach().reachesNone());
}
