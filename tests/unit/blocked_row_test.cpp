// The row in which blocked marks outlast all routers.
#include "decide/blocked_row.h"

#include "decide/crash_suspects.h"

#include <doctest/doctest.h>

using namespace mimosadale;
using namespace mimosadale::decide;
using namespace std::chrono_literals;

namespace {

constexpr Instant T0{1000s};

const RequestMark Template{MarkKind::PromptPart, "template"};
const RequestMark Deadly{MarkKind::PromptPart, "deadly"};
const RequestMark Request{MarkKind::Request, "digest"};

// The row's clock runs with the routers', from another beginning.
std::uint64_t storeMs(Instant At) {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(At - T0).count() +
      77);
}

void crash(CrashSuspects &Router, const RequestMarks &Marks,
           const std::string &Engine, Instant At) {
  Router.onCrash(Marks, {EndpointId(Engine), 1, At - 60ms, At}, At);
}

schema::BlockedMarks rowOf(const CrashSuspects &Router, Instant Now) {
  schema::BlockedMarks Row;
  Row.set_store_ms(storeMs(Now));
  Router.addBlockedTo(Row, Now);
  return Row;
}

// A router that starts at \p Now and reads \p Row.
CrashSuspects startWith(schema::BlockedMarks Row, Instant Now) {
  CrashSuspects Router;
  updateAges(Row, storeMs(Now));
  Router.merge(Row, Now);
  return Router;
}

CrashSuspects blockingRouter() {
  CrashSuspects Router;
  crash(Router, {Template, Deadly, Request}, "a", T0);
  crash(Router, {Template, Deadly, Request}, "b", T0 + 1s);
  crash(Router, {{MarkKind::PromptPart, "suspect"}}, "c", T0 + 1s);
  return Router;
}

} // namespace

// Guards against blocked parts being forgotten when all routers end at once
// (review case 8).
TEST_CASE("what is blocked outlasts all routers, with what is not known of "
          "parts that came together, but suspects do not") {
  const CrashSuspects Before = blockingRouter();
  const schema::BlockedMarks Row = rowOf(Before, T0 + 2s);
  CHECK(Row.marks_size() == 2);
  CrashSuspects After = startWith(Row, T0 + 60s);
  CHECK(After.judge({Template, Deadly}, T0 + 60s) == MarkVerdict::Deadly);
  CHECK(After.judge({Template}, T0 + 60s) == MarkVerdict::Suspect);
  CHECK(After.blocksAny());
  After.onAnswerBegun({Template}, T0 + 61s);
  CHECK(After.judge({Deadly}, T0 + 62s) == MarkVerdict::Deadly);
  // The row follows.
  schema::BlockedMarks Stored = Row;
  updateAges(Stored, storeMs(T0 + 62s));
  CHECK(isOutdated(Stored, rowOf(After, T0 + 62s)));
}

TEST_CASE("a blocked request outlasts all routers") {
  CrashSuspects Before;
  for (int I = 0; I < 3; ++I)
    crash(Before, {Request}, std::to_string(I), T0 + I * 1s);
  CrashSuspects After = startWith(rowOf(Before, T0 + 3s), T0 + 30s);
  CHECK(After.judge({Request}, T0 + 31s) == MarkVerdict::Deadly);
}

TEST_CASE("a block ends in the row as it does at routers: once no request came "
          "for ten minutes, also if the store is an older copy") {
  CrashSuspects Router = blockingRouter();
  Router.judge({Template, Deadly}, T0 + 60s);
  const schema::BlockedMarks Row = rowOf(Router, T0 + 61s);
  CHECK(startWith(Row, T0 + 9min).blocksAny());
  CHECK_FALSE(startWith(Row, T0 + 12min).blocksAny());
  Router.onTick(T0 + 12min);
  CHECK_FALSE(Router.blocksAny());
  schema::BlockedMarks Copy = Row;
  updateAges(Copy, storeMs(T0 + 12min));
  Router.merge(Copy, T0 + 12min);
  CHECK_FALSE(Router.blocksAny());
}

TEST_CASE("a router that started later hears of a block: it ends there with "
          "the others, and is not told back to them") {
  CrashSuspects First = blockingRouter();
  CrashSuspects Later;
  const auto Tell = [](CrashSuspects &From, CrashSuspects &To, Instant Sent) {
    schema::LimitNotice Notice;
    From.addTo(Notice, Sent);
    To.merge(Notice, Sent + 20ms);
  };
  for (Instant Now = T0 + 5min; Now < T0 + 11min; Now += 4s) {
    Tell(First, Later, Now);
    Tell(Later, First, Now + 100ms);
    First.onTick(Now + 200ms);
    Later.onTick(Now + 1s);
  }
  CHECK_FALSE(First.blocksAny());
  CHECK_FALSE(Later.blocksAny());
}

TEST_CASE("the row is written if it lacks what a living router knows, and not "
          "for what it has") {
  CrashSuspects Router = blockingRouter();
  const schema::BlockedMarks Known = rowOf(Router, T0 + 2s);
  CHECK_FALSE(isOutdated(Known, Known));
  CHECK(isOutdated({}, Known)); // a store that came back from an older copy
  CHECK(isOutdated(Known, {})); // nothing is blocked any more
  schema::BlockedMarks Stored = Known;
  updateAges(Stored, storeMs(T0 + 60s));
  CHECK_FALSE(isOutdated(Stored, rowOf(Router, T0 + 60s)));
  // Its requests go on: the row shows it from time to time.
  Router.judge({Template, Deadly}, T0 + 70s);
  CHECK_FALSE(isOutdated(Stored, rowOf(Router, T0 + 70s)));
  Router.judge({Template, Deadly}, T0 + 4min);
  updateAges(Stored, storeMs(T0 + 4min));
  CHECK(isOutdated(Stored, rowOf(Router, T0 + 4min)));
}

TEST_CASE("a row of many parts stays below what the store accepts") {
  CrashSuspects Router;
  RequestMarks Marks;
  for (int I = 0; I < 900; ++I)
    Marks.push_back({MarkKind::PromptPart, "part" + std::to_string(I)});
  crash(Router, Marks, "a", T0);
  crash(Router, Marks, "b", T0 + 1s);
  const schema::BlockedMarks Row = rowOf(Router, T0 + 2s);
  CHECK(Row.ByteSizeLong() <= 65536);
  CHECK(startWith(Row, T0 + 3s).judge(Marks, T0 + 3s) == MarkVerdict::Deadly);
}

TEST_CASE("the row is read at the start, after failures, after changes, and at "
          "long intervals while something is blocked") {
  BlockedRowSchedule Schedule;
  const auto Nothing = [] { return false; };
  const auto Something = [] { return true; };
  CHECK(Schedule.isDue(Nothing, T0));
  Schedule.onCompared(false, T0);
  CHECK_FALSE(Schedule.isDue(Nothing, T0 + 500ms));
  CHECK(Schedule.isDue(Nothing, T0 + 1s));
  Schedule.onCompared(true, T0 + 1s);
  CHECK_FALSE(Schedule.isDue(Nothing, T0 + 1h));
  CHECK_FALSE(Schedule.isDue(Something, T0 + 30s));
  CHECK(Schedule.isDue(Something, T0 + 5min));
  // Heard of elsewhere, then seen here.
  Schedule.onChanged(2s, T0 + 10s);
  CHECK_FALSE(Schedule.isDue(Nothing, T0 + 11s));
  Schedule.onChanged(0s, T0 + 11s);
  CHECK(Schedule.isDue(Nothing, T0 + 11s));
  Schedule.onCompared(true, T0 + 11s);
  CHECK_FALSE(Schedule.isDue(Nothing, T0 + 13s));
  // A change while the row is compared is not lost.
  Schedule.onChanged(0s, T0 + 14s);
  Schedule.onCompared(true, T0 + 13s);
  CHECK(Schedule.isDue(Nothing, T0 + 14s));
}
