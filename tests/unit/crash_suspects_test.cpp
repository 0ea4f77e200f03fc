// Prompt parts that crash engines: which part is blocked after how many
// crashes, and what becomes of sound requests beside it. Fleets of routers are
// played on virtual time.
#include "decide/crash_suspects.h"

#include "decide/request_limits.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <functional>
#include <queue>

using namespace mimosadale;
using namespace mimosadale::decide;
using namespace std::chrono_literals;

namespace {

constexpr Instant T0{1000s};

RequestMark part(const std::string &Id) { return {MarkKind::PromptPart, Id}; }
RequestMark request(const std::string &Id) { return {MarkKind::Request, Id}; }

const RequestMark Shared = part("shared");
const RequestMark Deadly = part("deadly");
const RequestMark SecondDeadly = part("deadly2");
const EndpointId EngineA("a");
const EndpointId EngineB("b");

// The users' rule: this long after the fifth crash, no more than so many
// further requests with the part reach engines.
constexpr auto StableTime = 3s;
constexpr int MaxSentAfterFifth = 3;

void crash(CrashSuspects &Router, const RequestMarks &Parts,
           const std::string &Engine, Instant At) {
  Router.onCrash(Parts, {EndpointId(Engine), 1, At - 60ms, At}, At);
}

schema::LimitNotice noticeOf(CrashSuspects &Router, Instant Now) {
  schema::LimitNotice Notice;
  Router.addTo(Notice, Now);
  return Notice;
}

// Routers that exchange notices as the exchange of the forwarding router does,
// before engines that crash on some parts.
class PlayedFleet {
public:
  struct Request {
    RequestMarks m_Parts;
    bool m_Deadly = false;
  };

  PlayedFleet(std::size_t Routers, unsigned Seed)
      : m_Routers(Routers), m_Rng(Seed), m_TellAt(Routers) {
    for (std::size_t I = 0; I < Routers; ++I)
      m_TellAt[I] = T0 + randomUpTo(400ms);
  }

  // Plays requests that arrive at random routers; \p NextRequest draws each
  // one.
  void play(Duration Time, Duration Interval,
            const std::function<Request(Random &)> &NextRequest) {
    const Instant End = m_Now + Time;
    Instant NextAt = m_Now;
    for (; m_Now < End; m_Now += 5ms) {
      deliver();
      tellRouters();
      for (; NextAt <= m_Now; NextAt += Interval)
        arrive(m_Rng() % m_Routers.size(), NextRequest(m_Rng));
    }
  }

  // All engines of \p Count are lost at once while \p Parts wait at each of
  // random routers.
  void loseEngines(int Count, const std::function<Request(Random &)> &Draw) {
    for (int I = 0; I < Count; ++I)
      crash(m_Routers[m_Rng() % m_Routers.size()], Draw(m_Rng).m_Parts,
            "lost" + std::to_string(++m_Engines), m_Now + randomUpTo(100ms));
  }

  int m_Crashes = 0;
  int m_SentAfterFifth = 0; // deadly ones, once the rule binds
  int m_Sound = 0;
  int m_SoundNotSent = 0;

private:
  struct Message {
    Instant m_At;
    std::size_t m_To;
    std::shared_ptr<const schema::LimitNotice> m_Notice;
    bool operator<(const Message &Other) const { return m_At > Other.m_At; }
  };

  Duration randomUpTo(Duration Max) {
    return Duration(
        std::uniform_int_distribution<Duration::rep>(0, Max.count())(m_Rng));
  }

  void arrive(std::size_t At, const Request &Arrived) {
    CrashSuspects &Router = m_Routers[At];
    const MarkVerdict Verdict = Router.judge(Arrived.m_Parts, m_Now);
    const bool Sent = Verdict == MarkVerdict::Sound ||
                      (Verdict == MarkVerdict::Suspect &&
                       Router.takeTurn(Arrived.m_Parts, m_Now));
    if (!Arrived.m_Deadly) {
      ++m_Sound;
      m_SoundNotSent += Sent ? 0 : 1;
      if (Sent)
        Router.onAnswerBegun(Arrived.m_Parts, m_Now + 50ms);
      return;
    }
    if (!Sent)
      return;
    if (m_FifthAt && m_Now > *m_FifthAt + StableTime)
      ++m_SentAfterFifth;
    if (++m_Crashes == 5)
      m_FifthAt = m_Now;
    crash(Router, Arrived.m_Parts, "engine" + std::to_string(++m_Engines),
          m_Now + 50ms);
    m_TellAt[At] = std::min(m_TellAt[At], m_Now + 50ms);
  }

  // Small fleets tell all, large ones some at random; who learns something new
  // tells it on at once.
  void tellRouters() {
    for (std::size_t I = 0; I < m_Routers.size(); ++I) {
      if (m_Now < m_TellAt[I])
        continue;
      const bool HasNews = m_Routers[I].hasNews(m_Now);
      m_TellAt[I] = m_Now + 300ms + randomUpTo(200ms);
      if (!m_Routers[I].roundDue(m_Now))
        continue;
      const auto Notice = std::make_shared<const schema::LimitNotice>(
          noticeOf(m_Routers[I], m_Now));
      const bool TellsAll = m_Routers.size() <= (HasNews ? 16 : 8);
      const std::size_t Told = TellsAll ? m_Routers.size() : 3;
      for (std::size_t J = 0; J < Told; ++J) {
        const std::size_t To = TellsAll ? J : m_Rng() % m_Routers.size();
        if (To != I)
          m_Messages.push({m_Now + 5ms + randomUpTo(20ms), To, Notice});
      }
    }
  }

  void deliver() {
    while (!m_Messages.empty() && m_Messages.top().m_At <= m_Now) {
      const Message Arrived = m_Messages.top();
      m_Messages.pop();
      if (!m_Routers[Arrived.m_To].merge(*Arrived.m_Notice, m_Now).empty())
        m_TellAt[Arrived.m_To] = std::min(m_TellAt[Arrived.m_To], m_Now + 50ms);
    }
  }

  std::vector<CrashSuspects> m_Routers;
  Random m_Rng;
  std::vector<Instant> m_TellAt;
  std::priority_queue<Message> m_Messages;
  Instant m_Now = T0;
  std::optional<Instant> m_FifthAt;
  int m_Engines = 0;
};

// Requests of a few callers: a shared beginning, one of some middle parts, and
// at times a deadly part.
std::function<PlayedFleet::Request(Random &)>
mixOf(double DeadlyShare, const RequestMarks &DeadlyParts) {
  return [=](Random &Rng) {
    PlayedFleet::Request Drawn;
    Drawn.m_Parts = {Shared, part("middle" + std::to_string(Rng() % 40))};
    Drawn.m_Deadly = std::uniform_real_distribution<>(0, 1)(Rng) < DeadlyShare;
    if (Drawn.m_Deadly)
      Drawn.m_Parts.push_back(DeadlyParts[Rng() % DeadlyParts.size()]);
    Drawn.m_Parts.push_back(request(std::to_string(Rng())));
    return Drawn;
  };
}

} // namespace

// Guards against requests with a deadly part crashing engines one after the
// other, and against sound requests being refused beside them.
TEST_CASE("a prompt part crashes engines: any fleet stops sending it in time, "
          "and still sends sound requests that share its other parts") {
  for (const std::size_t Routers : {2, 6, 23, 76, 195, 335})
    for (const double Share : {0.01, 0.05, 0.3})
      for (const unsigned Seed : {1u, 2u, 3u}) {
        CAPTURE(Routers);
        CAPTURE(Share);
        CAPTURE(Seed);
        PlayedFleet Fleet(Routers, Seed);
        Fleet.play(5s, 10ms, mixOf(0, {Deadly}));
        Fleet.play(30s, 10ms, mixOf(Share, {Deadly}));
        CHECK(Fleet.m_SentAfterFifth <= MaxSentAfterFifth);
        CHECK(Fleet.m_SoundNotSent * 20 <= Fleet.m_Sound);
      }
}

TEST_CASE("two prompt parts crash engines, from the first second on: both are "
          "found") {
  for (const std::size_t Routers : {6, 76, 335})
    for (const unsigned Seed : {1u, 2u, 3u}) {
      CAPTURE(Routers);
      CAPTURE(Seed);
      PlayedFleet Fleet(Routers, Seed);
      Fleet.play(20s, 10ms, mixOf(0.1, {Deadly, SecondDeadly}));
      CHECK(Fleet.m_SentAfterFifth <= MaxSentAfterFifth);
      CHECK(Fleet.m_SoundNotSent * 20 <= Fleet.m_Sound);
    }
}

TEST_CASE("a rack with many engines is lost while requests wait there: no part "
          "is held back for long") {
  for (const std::size_t Routers : {2, 6, 76}) {
    CAPTURE(Routers);
    PlayedFleet Fleet(Routers, 7);
    const auto Mix = mixOf(0, {Deadly});
    Fleet.play(1s, 10ms, Mix);
    for (int Rack = 0; Rack < 3; ++Rack) {
      Fleet.loseEngines(12, Mix);
      Fleet.play(3s, 10ms, Mix);
    }
    CHECK(Fleet.m_SoundNotSent * 100 <= Fleet.m_Sound);
  }
}

TEST_CASE("a part in common of two crashes at different times is blocked, the "
          "parts beside it are not") {
  CrashSuspects Router;
  const RequestMark Beside = part("beside");
  const RequestMark Other = part("other");
  Router.onAnswerBegun({Shared, Other}, T0);
  CHECK(Router.judge({Shared, Deadly}, T0) == MarkVerdict::Sound);
  crash(Router, {Shared, Beside, Deadly}, "a", T0 + 1s);
  CHECK(Router.judge({Deadly}, T0 + 1s) == MarkVerdict::Suspect);
  CHECK(Router.judge({Beside}, T0 + 1s) == MarkVerdict::Suspect);
  CHECK(Router.judge({Shared, Other}, T0 + 1s) == MarkVerdict::Sound);
  CHECK(Router.judge({}, T0 + 1s) == MarkVerdict::Sound);
  Router.onAnswerBegun({Shared, Beside}, T0 + 2s);
  crash(Router, {Shared, Other, Deadly}, "b", T0 + 3s);
  CHECK(Router.judge({Shared, Deadly}, T0 + 3s) == MarkVerdict::Deadly);
  CHECK(Router.judge({Shared, Other}, T0 + 3s) == MarkVerdict::Sound);
  CHECK(Router.judge({Shared, Beside}, T0 + 3s) == MarkVerdict::Sound);
  CHECK(Router.blocked(MarkKind::PromptPart) == 1);
}

TEST_CASE("one crash that several requests and routers report counts once, and "
          "so do engines that are lost at once") {
  CrashSuspects Router;
  crash(Router, {Deadly}, "a", T0);
  crash(Router, {Deadly}, "a", T0 + 1s);
  CHECK(Router.judge({Deadly}, T0 + 1s) == MarkVerdict::Suspect);
  crash(Router, {Deadly}, "b", T0 + 50ms);
  CHECK(Router.judge({Deadly}, T0 + 1s) == MarkVerdict::Suspect);
  Router.onCrash({Deadly}, {EngineA, 2, T0 + 2s, T0 + 2s}, T0 + 2s);
  CHECK(Router.judge({Deadly}, T0 + 2s) == MarkVerdict::Deadly);
}

TEST_CASE("a request that was sent after one crash crashes another engine at "
          "once: its parts are blocked") {
  CrashSuspects Router;
  Router.onCrash({Deadly}, {EngineA, 1, T0, T0 + 50ms}, T0 + 50ms);
  CHECK_FALSE(Router.partsCleared({Deadly}));
  Router.onCrash({Deadly}, {EngineB, 1, T0 + 60ms, T0 + 100ms}, T0 + 100ms);
  CHECK(Router.judge({Deadly}, T0 + 100ms) == MarkVerdict::Deadly);
}

TEST_CASE("requests with a suspected part are sent one at a time until an "
          "answer clears it") {
  CrashSuspects Router;
  crash(Router, {Deadly}, "a", T0);
  auto Turn = Router.takeTurn({Shared, Deadly}, T0);
  REQUIRE(Turn);
  CHECK_FALSE(Router.takeTurn({Deadly}, T0));
  CHECK(Router.takeTurn({Shared}, T0));
  Turn.reset();
  CHECK(Router.takeTurn({Deadly}, T0));
  Router.onAnswerBegun({Shared, Deadly}, T0 + 1s);
  CHECK(Router.judge({Deadly}, T0 + 1s) == MarkVerdict::Sound);
}

TEST_CASE("a part that was sound begins to crash engines: it is blocked after "
          "more crashes, others that are cleared in between are not") {
  CrashSuspects Router;
  Router.onAnswerBegun({Shared, Deadly}, T0);
  for (int I = 0; I < 5; ++I) {
    const Instant Now = T0 + 1s + I * 500ms;
    CHECK(Router.judge({Deadly}, Now) == MarkVerdict::Sound);
    crash(Router, {Shared, Deadly}, "e" + std::to_string(I), Now);
    Router.onAnswerBegun({Shared}, Now + 100ms);
  }
  CHECK(Router.judge({Deadly}, T0 + 10s) == MarkVerdict::Deadly);
  CHECK(Router.judge({Shared}, T0 + 10s) == MarkVerdict::Sound);
}

TEST_CASE("routers tell each other of crashes and of cleared parts") {
  CrashSuspects First;
  CrashSuspects Second;
  CrashSuspects Late;
  crash(First, {Deadly, Shared}, "a", T0);
  crash(Second, {Deadly}, "b", T0 + 1s);
  Second.onAnswerBegun({Shared}, T0 + 1s);
  CHECK(First.hasNews(T0 + 1s));
  Second.merge(noticeOf(First, T0 + 1s), T0 + 1s);
  CHECK(Second.judge({Deadly}, T0 + 1s) == MarkVerdict::Deadly);
  CHECK(Second.judge({Shared}, T0 + 1s) == MarkVerdict::Sound);
  First.merge(noticeOf(Second, T0 + 1s), T0 + 1s);
  CHECK(First.judge({Deadly}, T0 + 1s) == MarkVerdict::Deadly);
  CHECK(First.judge({Shared}, T0 + 1s) == MarkVerdict::Sound);
  // A router that started later learns of it by the next reminder.
  CHECK(Late.judge({Deadly}, T0 + 60s) == MarkVerdict::Sound);
  CHECK_FALSE(First.hasNews(T0 + 60s));
  REQUIRE(First.roundDue(T0 + 60s));
  Late.merge(noticeOf(First, T0 + 60s), T0 + 60s);
  CHECK(Late.judge({Deadly}, T0 + 60s) == MarkVerdict::Deadly);
}

TEST_CASE("a blocked part is forgotten only after no router had requests with "
          "it for ten minutes") {
  CrashSuspects Busy;
  CrashSuspects Idle;
  crash(Busy, {Deadly}, "a", T0);
  crash(Busy, {Deadly}, "b", T0 + 1s);
  Instant Now = T0 + 1s;
  for (int Minute = 0; Minute < 30; ++Minute, Now += 60s) {
    CHECK(Busy.judge({Deadly}, Now) == MarkVerdict::Deadly);
    Idle.merge(noticeOf(Busy, Now), Now);
    Busy.onTick(Now);
    Idle.onTick(Now);
  }
  CHECK(Idle.blocked(MarkKind::PromptPart) == 1);
  Idle.onTick(Now + 9min);
  CHECK(Idle.blocked(MarkKind::PromptPart) == 1);
  Idle.onTick(Now + 11min);
  CHECK(Idle.blocked(MarkKind::PromptPart) == 0);
  CHECK_FALSE(Idle.roundDue(Now + 11min));
}

TEST_CASE("many unique parts are accused: the blocked one is kept, and memory "
          "stays bounded") {
  CrashSuspects Router;
  crash(Router, {Deadly}, "a", T0);
  crash(Router, {Deadly}, "b", T0 + 1s);
  for (int I = 0; I < 5000; ++I)
    crash(Router, {part("p" + std::to_string(I))}, "e" + std::to_string(I),
          T0 + 2s + I * 1ms);
  CHECK(Router.judge({Deadly}, T0 + 10s) == MarkVerdict::Deadly);
  CHECK(noticeOf(Router, T0 + 10s).ByteSizeLong() < 65536);
}

// Guards against parts being innocent for the place that they have in a prompt
// (review case 9).
TEST_CASE(
    "a deadly part is one of hundreds, new ones too: it is found wherever "
    "it stands, by routers that only hear of the crashes") {
  for (const int Place : {0, 36, 399}) {
    CAPTURE(Place);
    CrashSuspects First;
    CrashSuspects Second;
    const auto Prompt = [&](const std::string &Others) {
      RequestMarks Marks;
      for (int I = 0; I < 400; ++I)
        Marks.push_back(I == Place ? Deadly : part(Others + std::to_string(I)));
      return Marks;
    };
    crash(First, Prompt("new"), "a", T0);
    Second.merge(noticeOf(First, T0), T0);
    CHECK(Second.judge({Deadly}, T0) == MarkVerdict::Suspect);
    crash(First, Prompt("other"), "b", T0 + 1s);
    Second.merge(noticeOf(First, T0 + 1s), T0 + 1s);
    for (CrashSuspects *Router : {&First, &Second}) {
      CHECK(Router->judge(Prompt("new"), T0 + 1s) == MarkVerdict::Deadly);
      CHECK(Router->judge(Prompt("other"), T0 + 1s) == MarkVerdict::Deadly);
    }
  }
}
