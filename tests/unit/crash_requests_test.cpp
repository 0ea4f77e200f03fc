// Whole requests that crash each endpoint which begins to run them: fleets of
// routers on virtual time, before endpoints that come back empty, with sound
// requests that lie on the same endpoints.
#include "decide/crash_suspects.h"
#include "decide/path_chooser.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <list>
#include <set>

using namespace mimosadale;
using namespace mimosadale::decide;
using namespace std::chrono_literals;

namespace {

constexpr Instant T0{1000s};
constexpr Duration Step = 5ms;

// The users' rule: this long after the third crash, no more than so many
// further sends of the request.
constexpr Duration StableTime = 3s;
constexpr int MaxSentAfterThird = 3;

constexpr Duration BeginDelay = 60ms;  // from a send to the beginning
constexpr Duration AnswerDelay = 40ms; // from there until the answer goes on
constexpr Duration CrashDelay = 30ms;  // from there until the crash
constexpr Duration RestartTime = 3s;

RequestMark requestMark(const std::string &Id) {
  return {MarkKind::Request, Id};
}

struct World {
  std::size_t m_Routers = 6;
  std::size_t m_Endpoints = 3;
  std::size_t m_DeadlyRequests = 1;
  int m_SoundPerSecond = 60;
  unsigned m_Seed = 1;
  bool m_Rack = false; // all endpoints but one are lost at times
};

// Plays requests: each is sent by a router, repeated there once after a crash,
// and comes back to any router 0.1 to 2 s later, as its caller would.
class PlayedDay {
public:
  explicit PlayedDay(const World &Setup)
      : m_Setup(Setup), m_Rng(Setup.m_Seed), m_Routers(Setup.m_Routers),
        m_TellAt(Setup.m_Routers, T0), m_Endpoints(Setup.m_Endpoints) {
    for (std::size_t I = 0; I < Setup.m_DeadlyRequests; ++I)
      m_Deadly.push_back({"deadly" + std::to_string(I), 0, std::nullopt, 0});
  }

  void play(Duration Time) {
    const Instant End = m_Now + Time;
    Instant NextSound = m_Now;
    for (std::size_t I = 0; I < m_Deadly.size(); ++I)
      m_Returns.push_back({T0 + randomUpTo(1s), deadlyId(I), I});
    Instant NextRack = T0 + 4s;
    for (; m_Now < End; m_Now += Step) {
      deliver();
      tellRouters();
      runEndpoints();
      for (; NextSound <= m_Now; NextSound += 1000ms / m_Setup.m_SoundPerSecond)
        send(drawRouter(), "sound" + std::to_string(++m_SoundCount), NotDeadly,
             0);
      returnCallers();
      if (m_Setup.m_Rack && m_Now >= NextRack) {
        NextRack = m_Now + 5s;
        for (std::size_t I = 1; I < m_Endpoints.size(); ++I)
          crash(I);
      }
    }
  }

  struct DeadlyRequest {
    std::string m_Id;
    int m_Crashes = 0;
    std::optional<Instant> m_ThirdAt;
    int m_SentAfterThird = 0;
  };
  std::vector<DeadlyRequest> m_Deadly;
  int m_SoundCount = 0;
  int m_SoundHeldBack = 0;
  std::set<std::string> m_SoundBlocked;

private:
  static constexpr std::size_t NotDeadly = SIZE_MAX;

  struct Run {
    std::string m_Id;
    std::size_t m_Router = 0;
    std::size_t m_DeadlyIndex = NotDeadly;
    int m_Sends = 0;
    Instant m_SentAt{};
    std::shared_ptr<const void> m_Turn;
  };
  struct Endpoint {
    std::list<Run> m_Running;
    Instant m_DownUntil{};
    std::uint64_t m_Start = 1;
  };
  struct Return {
    Instant m_At{};
    std::string m_Id;
    std::size_t m_DeadlyIndex = NotDeadly;
  };
  struct Message {
    Instant m_At{};
    std::size_t m_To = 0;
    std::shared_ptr<const schema::LimitNotice> m_Notice;
  };

  std::string deadlyId(std::size_t Index) const { return m_Deadly[Index].m_Id; }
  std::size_t drawRouter() { return m_Rng() % m_Routers.size(); }
  Duration randomUpTo(Duration Max) {
    return Duration(
        std::uniform_int_distribution<Duration::rep>(0, Max.count())(m_Rng));
  }

  void comeBack(const std::string &Id, std::size_t DeadlyIndex) {
    m_Returns.push_back({m_Now + 100ms + randomUpTo(1900ms), Id, DeadlyIndex});
  }

  void returnCallers() {
    std::vector<Return> Due;
    std::erase_if(m_Returns, [&](const Return &Waiting) {
      if (Waiting.m_At <= m_Now)
        Due.push_back(Waiting);
      return Waiting.m_At <= m_Now;
    });
    for (const Return &Arriving : Due)
      send(drawRouter(), Arriving.m_Id, Arriving.m_DeadlyIndex, 0);
  }

  void send(std::size_t Router, const std::string &Id, std::size_t DeadlyIndex,
            int Sends) {
    const bool IsDeadly = DeadlyIndex != NotDeadly;
    const RequestMarks Marks{requestMark(Id)};
    std::vector<std::size_t> Up;
    for (std::size_t I = 0; I < m_Endpoints.size(); ++I)
      if (m_Endpoints[I].m_DownUntil <= m_Now)
        Up.push_back(I);
    const MarkVerdict Verdict = m_Routers[Router].judge(Marks, m_Now);
    std::shared_ptr<const void> Turn;
    if (Verdict == MarkVerdict::Suspect)
      Turn = m_Routers[Router].takeTurn(Marks, m_Now);
    if (Verdict == MarkVerdict::Deadly && !IsDeadly)
      m_SoundBlocked.insert(Id);
    if (Up.empty() || Verdict == MarkVerdict::Deadly ||
        (Verdict == MarkVerdict::Suspect && !Turn)) {
      m_SoundHeldBack += !IsDeadly && !Up.empty() ? 1 : 0;
      comeBack(Id, DeadlyIndex);
      return;
    }
    if (IsDeadly && m_Deadly[DeadlyIndex].m_ThirdAt &&
        m_Now > *m_Deadly[DeadlyIndex].m_ThirdAt + StableTime)
      ++m_Deadly[DeadlyIndex].m_SentAfterThird;
    m_Endpoints[Up[m_Rng() % Up.size()]].m_Running.push_back(
        {Id, Router, DeadlyIndex, Sends + 1, m_Now, Turn});
  }

  void runEndpoints() {
    for (std::size_t I = 0; I < m_Endpoints.size(); ++I) {
      std::list<Run> &Running = m_Endpoints[I].m_Running;
      for (auto It = Running.begin(); It != Running.end();) {
        const Duration Age = m_Now - It->m_SentAt;
        if (It->m_DeadlyIndex != NotDeadly && Age >= BeginDelay + CrashDelay) {
          DeadlyRequest &Cause = m_Deadly[It->m_DeadlyIndex];
          if (++Cause.m_Crashes == 3)
            Cause.m_ThirdAt = m_Now;
          crash(I);
          break;
        }
        if (It->m_DeadlyIndex == NotDeadly && Age >= BeginDelay + AnswerDelay) {
          m_Routers[It->m_Router].onAnswerBegun({requestMark(It->m_Id)}, m_Now);
          It = Running.erase(It);
        } else {
          ++It;
        }
      }
    }
  }

  void crash(std::size_t Index) {
    Endpoint &Lost = m_Endpoints[Index];
    if (Lost.m_DownUntil > m_Now)
      return;
    Lost.m_DownUntil = m_Now + RestartTime;
    const std::list<Run> Runs = std::move(Lost.m_Running);
    Lost.m_Running.clear();
    const EndpointId Id("e" + std::to_string(Index));
    for (const Run &Broken : Runs) {
      m_Routers[Broken.m_Router].onCrash(
          {requestMark(Broken.m_Id)},
          {Id, Lost.m_Start, Broken.m_SentAt, m_Now}, m_Now);
      m_TellAt[Broken.m_Router] = m_Now;
    }
    ++Lost.m_Start;
    for (const Run &Broken : Runs)
      if (Broken.m_Sends < 2)
        send(Broken.m_Router, Broken.m_Id, Broken.m_DeadlyIndex,
             Broken.m_Sends);
      else
        comeBack(Broken.m_Id, Broken.m_DeadlyIndex);
  }

  // As the exchange between the routers does.
  void tellRouters() {
    for (std::size_t I = 0; I < m_Routers.size(); ++I) {
      if (m_Now < m_TellAt[I])
        continue;
      m_TellAt[I] = m_Now + 300ms + randomUpTo(200ms);
      if (!m_Routers[I].roundDue(m_Now))
        continue;
      const bool TellsAll =
          m_Routers.size() <= (m_Routers[I].hasNews(m_Now) ? 16u : 8u);
      auto Notice = std::make_shared<schema::LimitNotice>();
      m_Routers[I].addTo(*Notice, m_Now);
      const std::size_t Told = TellsAll ? m_Routers.size() : 3;
      for (std::size_t J = 0; J < Told; ++J) {
        const std::size_t To = TellsAll ? J : drawRouter();
        if (To != I)
          m_Messages.push_back({m_Now + 5ms + randomUpTo(20ms), To, Notice});
      }
    }
  }

  void deliver() {
    std::vector<Message> Due;
    std::erase_if(m_Messages, [&](const Message &Sent) {
      if (Sent.m_At <= m_Now)
        Due.push_back(Sent);
      return Sent.m_At <= m_Now;
    });
    for (const Message &Arrived : Due)
      if (!m_Routers[Arrived.m_To].merge(*Arrived.m_Notice, m_Now).empty())
        m_TellAt[Arrived.m_To] = std::min(m_TellAt[Arrived.m_To], m_Now + 50ms);
  }

  World m_Setup;
  Random m_Rng;
  std::vector<CrashSuspects> m_Routers;
  std::vector<Instant> m_TellAt;
  std::vector<Endpoint> m_Endpoints;
  std::vector<Return> m_Returns;
  std::vector<Message> m_Messages;
  Instant m_Now = T0;
};

void checkDay(const World &Setup) {
  CAPTURE(Setup.m_Routers);
  CAPTURE(Setup.m_Endpoints);
  CAPTURE(Setup.m_DeadlyRequests);
  CAPTURE(Setup.m_Seed);
  PlayedDay Day(Setup);
  Day.play(25s);
  for (const PlayedDay::DeadlyRequest &Deadly : Day.m_Deadly) {
    CAPTURE(Deadly.m_Id);
    CAPTURE(Deadly.m_Crashes);
    CHECK(Deadly.m_SentAfterThird <= MaxSentAfterThird);
  }
  CHECK(Day.m_SoundBlocked.empty());
  CHECK(Day.m_SoundHeldBack * 100 <= Day.m_SoundCount);
}

} // namespace

// Guards against one request, repeated by its caller at any router, crashing
// endpoint after endpoint, and against sound requests being taken for it.
TEST_CASE("a request crashes each endpoint that runs it and comes again at any "
          "router: any fleet stops sending it, and blocks no sound request") {
  for (const std::size_t Routers : {2, 6, 23, 76, 195, 335})
    for (const std::size_t Endpoints : {3, 12})
      for (const unsigned Seed : {1u, 2u, 3u}) {
        World Setup;
        Setup.m_Routers = Routers;
        Setup.m_Endpoints = Endpoints;
        Setup.m_Seed = Seed;
        checkDay(Setup);
      }
}

TEST_CASE("several requests crash endpoints at once, beside a lost rack: each "
          "is found, and no sound request is blocked") {
  for (const std::size_t Routers : {6, 76})
    for (const bool Rack : {false, true})
      for (const unsigned Seed : {1u, 2u, 3u}) {
        CAPTURE(Rack);
        World Setup;
        Setup.m_Routers = Routers;
        Setup.m_Endpoints = 24;
        Setup.m_DeadlyRequests = 3;
        Setup.m_Rack = Rack;
        Setup.m_Seed = Seed;
        checkDay(Setup);
      }
}

TEST_CASE(
    "a request is blocked by its third crash, at any router that hears of "
    "it, but not by three that one cause explains") {
  const RequestMark Deadly = requestMark("d");
  CrashSuspects First;
  CrashSuspects Second;
  const auto Crash = [&](CrashSuspects &Router, const char *Endpoint,
                         Instant At) {
    Router.onCrash({Deadly}, {EndpointId(Endpoint), 1, At - 60ms, At}, At);
  };
  for (const char *Endpoint : {"r1", "r2", "r3"})
    Crash(First, Endpoint, T0);
  CHECK(First.judge({Deadly}, T0) == MarkVerdict::Sound);
  Crash(First, "b", T0 + 1s);
  CHECK(First.judge({Deadly}, T0 + 1s) == MarkVerdict::Suspect);
  schema::LimitNotice Notice;
  First.addTo(Notice, T0 + 1s);
  Second.merge(Notice, T0 + 1s);
  Crash(Second, "c", T0 + 2s);
  // Not sent, while other routers may tell of requests beside it.
  CHECK(Second.judge({Deadly}, T0 + 2s) == MarkVerdict::Suspect);
  CHECK_FALSE(Second.takeTurn({Deadly}, T0 + 2s));
  CHECK(Second.judge({Deadly}, T0 + 2500ms) == MarkVerdict::Deadly);
  CHECK(Second.blockedMark({Deadly}) == Deadly);
  CHECK(Second.blocked(MarkKind::Request) == 1);
  CHECK(Second.judge({requestMark("other")}, T0 + 2s) == MarkVerdict::Sound);
}

TEST_CASE("a popular read lay on many crashed endpoints: it is not blocked, "
          "since it is answered in between") {
  const RequestMark Popular = requestMark("read");
  CrashSuspects Router;
  Router.onAnswerBegun({Popular}, T0);
  for (int I = 0; I < 30; ++I) {
    const Instant Now = T0 + I * 1s;
    Router.onCrash({Popular},
                   {EndpointId("e" + std::to_string(I)), 1, Now - 30ms, Now},
                   Now);
    CHECK(Router.judge({Popular}, Now) == MarkVerdict::Sound);
    Router.onAnswerBegun({Popular}, Now + 100ms);
  }
}

TEST_CASE("requests with two or more crashes are sent one at a time, so that "
          "the next crash accuses one of them only") {
  CrashSuspects Router;
  const RequestMark A = requestMark("a");
  const RequestMark B = requestMark("b");
  for (const RequestMark &Mark : {A, B}) {
    Router.onCrash({Mark}, {EndpointId("x"), 1, T0 - 60ms, T0}, T0);
    CHECK(Router.judge({Mark}, T0) == MarkVerdict::Sound);
  }
  for (const RequestMark &Mark : {A, B}) {
    Router.onCrash({Mark}, {EndpointId("y"), 1, T0 + 1s, T0 + 2s}, T0 + 2s);
    CHECK(Router.judge({Mark}, T0 + 2s) == MarkVerdict::Suspect);
  }
  auto Turn = Router.takeTurn({A}, T0 + 3s);
  REQUIRE(Turn);
  CHECK_FALSE(Router.takeTurn({B}, T0 + 3s));
  Turn.reset();
  CHECK(Router.takeTurn({B}, T0 + 3s));
}

TEST_CASE("a caller sends a new deadly request each time: memory and notices "
          "stay bounded, and a blocked request stays blocked") {
  CrashSuspects Router;
  const RequestMark Deadly = requestMark("d");
  for (int I = 0; I < 3; ++I)
    Router.onCrash({Deadly},
                   {EndpointId("x" + std::to_string(I)), 1, T0, T0 + I * 1s},
                   T0 + I * 1s);
  for (int I = 0; I < 5000; ++I)
    Router.onCrash({requestMark(std::to_string(I))},
                   {EndpointId("e" + std::to_string(I)), 1, T0, T0 + 3s},
                   T0 + 3s + I * 1ms);
  CHECK(Router.judge({Deadly}, T0 + 9s) == MarkVerdict::Deadly);
  schema::LimitNotice Notice;
  Router.addTo(Notice, T0 + 9s);
  CHECK(Notice.ByteSizeLong() < 65536);
}

TEST_CASE("long answers meet the crashes of a deadly request: they are no "
          "rivals of it, and its third crash blocks it") {
  const RequestMark Deadly = requestMark("d");
  const RequestMark Long = requestMark("long");
  CrashSuspects Router;
  Router.onAnswerBegun({Long}, T0);
  for (int I = 0; I < 3; ++I) {
    const Instant Now = T0 + 1s + I * 1s;
    const EndpointId Endpoint("e" + std::to_string(I));
    Router.onCrash({Long}, {Endpoint, 1, Now - 500ms, Now, true}, Now);
    Router.onCrash({Deadly}, {Endpoint, 1, Now - 60ms, Now}, Now);
  }
  CHECK(Router.judge({Deadly}, T0 + 4s) == MarkVerdict::Deadly);
  CHECK(Router.judge({Long}, T0 + 4s) != MarkVerdict::Deadly);
}
