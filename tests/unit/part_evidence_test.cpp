// Several prompt parts that no answer has carried yet, of which one crashes
// engines: who is refused, who is tried out, and who is served.
#include "decide/crash_suspects.h"

#include <doctest/doctest.h>

using namespace mimosadale;
using namespace mimosadale::decide;
using namespace std::chrono_literals;

namespace {

constexpr Instant T0{1000s};

RequestMark part(const std::string &Id) { return {MarkKind::PromptPart, Id}; }

const RequestMark Template = part("template");
const RequestMark Deadly = part("deadly");
const RequestMark OtherDeadly = part("deadly2");

// A request with these parts crashes an engine 60 ms after it was sent.
void crash(CrashSuspects &Router, const RequestMarks &Parts,
           const std::string &Engine, Instant At) {
  Router.onCrash(Parts, {EndpointId(Engine), 1, At - 60ms, At}, At);
}

void tell(CrashSuspects &From, CrashSuspects &To, Instant Now) {
  schema::LimitNotice Notice;
  From.addTo(Notice, Now);
  To.merge(Notice, Now);
}

} // namespace

// Guards against a sound part being blocked for good since the first request
// with it also held a deadly one (review case 6).
TEST_CASE("the first request on a new template crashes two engines: it is "
          "refused, and the template is tried out and cleared") {
  for (const bool DeadlyFirst : {false, true}) {
    CAPTURE(DeadlyFirst);
    CrashSuspects Router;
    CrashSuspects Other;
    const RequestMarks Whole = DeadlyFirst ? RequestMarks{Deadly, Template}
                                           : RequestMarks{Template, Deadly};
    crash(Router, Whole, "a", T0);
    crash(Router, Whole, "b", T0 + 200ms);
    tell(Router, Other, T0 + 250ms);
    const Instant Now = T0 + 300ms;
    for (CrashSuspects *At : {&Router, &Other}) {
      CHECK(At->judge(Whole, Now) == MarkVerdict::Deadly);
      CHECK(At->judge({Template, part("x"), Deadly}, Now) ==
            MarkVerdict::Deadly);
      REQUIRE(At->judge({Template}, Now) == MarkVerdict::Suspect);
      CHECK(At->takeTurn({Template}, Now));
    }
    Router.onAnswerBegun({Template}, T0 + 1s);
    tell(Router, Other, T0 + 1s);
    for (CrashSuspects *At : {&Router, &Other}) {
      CHECK(At->judge({Template}, T0 + 1s) == MarkVerdict::Sound);
      CHECK(At->judge({Deadly}, T0 + 1s) == MarkVerdict::Deadly);
      CHECK(At->judge({part("old"), Deadly}, T0 + 1s) == MarkVerdict::Deadly);
      CHECK(At->blocked(MarkKind::PromptPart) == 1);
    }
  }
}

TEST_CASE("the template itself crashes engines: its trial shows it, and the "
          "part that came with it first is free") {
  CrashSuspects Router;
  crash(Router, {Deadly, part("beside")}, "a", T0);
  crash(Router, {Deadly, part("beside")}, "b", T0 + 200ms);
  REQUIRE(Router.judge({Deadly}, T0 + 1s) == MarkVerdict::Suspect);
  crash(Router, {Deadly}, "c", T0 + 1s);
  CHECK(Router.judge({Deadly}, T0 + 2s) == MarkVerdict::Deadly);
  CHECK(Router.judge({Deadly, part("new")}, T0 + 2s) == MarkVerdict::Deadly);
  CHECK(Router.judge({part("beside")}, T0 + 2s) == MarkVerdict::Suspect);
}

TEST_CASE("requests with a new template and a deadly part crash engines at six "
          "routers at once: the template is tried out") {
  std::vector<CrashSuspects> Routers(6);
  for (std::size_t I = 0; I < Routers.size(); ++I)
    for (const auto Later : {0ms, 200ms})
      crash(Routers[I], {Template, Deadly},
            "e" + std::to_string(I) + std::to_string(Later.count()),
            T0 + Later + I * 1ms);
  for (CrashSuspects &From : Routers)
    for (CrashSuspects &To : Routers)
      tell(From, To, T0 + 1s);
  for (CrashSuspects &Router : Routers) {
    CHECK(Router.judge({Template, Deadly}, T0 + 1s) == MarkVerdict::Deadly);
    CHECK(Router.judge({Template}, T0 + 1s) == MarkVerdict::Suspect);
    CHECK(Router.judge({Deadly}, T0 + 1s) == MarkVerdict::Suspect);
  }
}

TEST_CASE("two new parts always come together: their requests are refused") {
  CrashSuspects Router;
  const RequestMarks Pair{part("one"), part("two")};
  crash(Router, Pair, "a", T0);
  crash(Router, Pair, "b", T0 + 1s);
  CHECK(Router.judge(Pair, T0 + 1s) == MarkVerdict::Deadly);
  CHECK(Router.judge({part("one"), part("x"), part("two")}, T0 + 1s) ==
        MarkVerdict::Deadly);
  CHECK(Router.blockedMark(Pair).has_value());
}

TEST_CASE("two deadly parts come on a new template: each is blocked, and the "
          "template that all crashes have in common is tried out") {
  CrashSuspects Router;
  crash(Router, {Template, Deadly}, "a", T0);
  crash(Router, {Template, Deadly}, "b", T0 + 1s);
  CHECK(Router.judge({Template, OtherDeadly}, T0 + 1s) == MarkVerdict::Suspect);
  crash(Router, {Template, OtherDeadly}, "c", T0 + 2s);
  CHECK(Router.judge({Template, Deadly}, T0 + 2s) == MarkVerdict::Deadly);
  CHECK(Router.judge({Template, OtherDeadly}, T0 + 2s) == MarkVerdict::Deadly);
  REQUIRE(Router.judge({Template}, T0 + 2s) == MarkVerdict::Suspect);
  Router.onAnswerBegun({Template}, T0 + 3s);
  CHECK(Router.judge({Template}, T0 + 3s) == MarkVerdict::Sound);
  CHECK(Router.judge({Template, Deadly}, T0 + 3s) == MarkVerdict::Deadly);
  crash(Router, {Template, OtherDeadly}, "d", T0 + 4s);
  CHECK(Router.judge({OtherDeadly}, T0 + 4s) == MarkVerdict::Deadly);
}

TEST_CASE("a deadly part comes with another new part each time: at most five "
          "engines crash before its requests are refused") {
  for (const auto Interval : {20ms, 1000ms}) {
    CAPTURE(Interval.count());
    CrashSuspects Router;
    Instant Now = T0;
    int Crashes = 0;
    for (; Crashes < 10; ++Crashes, Now += Interval) {
      const RequestMarks Marks{part("new" + std::to_string(Crashes)), Deadly};
      if (Router.judge(Marks, Now) == MarkVerdict::Deadly)
        break;
      Router.onCrash(Marks,
                     {EndpointId(std::to_string(Crashes)), 1, Now, Now + 10ms},
                     Now + 10ms);
    }
    CHECK(Crashes <= 5);
    CHECK(Router.judge({Deadly}, Now) == MarkVerdict::Deadly);
  }
}

TEST_CASE("parts that answers had cleared begin to crash engines together: a "
          "request that has one of them only is sent") {
  CrashSuspects Router;
  Router.onAnswerBegun({Template, Deadly}, T0);
  for (int I = 0; I < 6; ++I)
    crash(Router, {Template, Deadly}, "e" + std::to_string(I),
          T0 + 1s + I * 1s);
  CHECK(Router.judge({Template, Deadly}, T0 + 9s) == MarkVerdict::Deadly);
  CHECK(Router.judge({Template}, T0 + 9s) == MarkVerdict::Sound);
  Router.onAnswerBegun({Template}, T0 + 10s);
  CHECK(Router.judge({Deadly}, T0 + 10s) == MarkVerdict::Deadly);
}
