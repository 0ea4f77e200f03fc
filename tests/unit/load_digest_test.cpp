// Loads passed on between routers, and what a fleet of hundreds asks by itself.
#include "decide/load_digest.h"
#include "decide/report_schedule.h"

#include "engine_fixture.h"

#include <doctest/doctest.h>

using namespace mimosadale;
using namespace mimosadale::decide;
using namespace std::chrono_literals;
using tests::T0;

namespace {

const EndpointId A("a");

Fleet oneEngine() {
  Fleet Made;
  Made.put(tests::engine("a", "l4", {0, 8}), T0);
  return Made;
}

// All that a router passes on to one that asks it for the first time.
schema::LoadDigest allOf(const Fleet &Reader, Instant Now) {
  return makeDigest(Reader, {}, 1, Now);
}

EngineLoadReport load(double Used) {
  EngineLoadReport Of;
  Of.m_KvUsed = Used;
  Of.m_KvTotal = 1000;
  Of.m_Running = 3;
  return Of;
}

} // namespace

TEST_CASE("a report passed on keeps its age, and never replaces a newer one") {
  Fleet Reader = oneEngine();
  Fleet Told = oneEngine();
  Reader.onReport(A, load(400), T0 + 1s);
  const auto Digest = allOf(Reader, T0 + 1300ms);
  REQUIRE(Digest.engines_size() == 1);
  // The answer took 200 ms: the report is at least as old as it was then.
  mergeDigest(Told, Digest, T0 + 1300ms);
  REQUIRE(Told.find(A)->m_Load);
  CHECK(Told.find(A)->m_Load->m_KvUsed == 400);
  CHECK(Told.find(A)->m_Load->m_Running == 3);
  CHECK(Told.find(A)->m_LoadUpdatedAt == T0 + 1s);
  Told.onReport(A, load(700), T0 + 2s);
  mergeDigest(Told, Digest, T0 + 2100ms); // a late copy: it is of T0 + 1.8 s
  CHECK(Told.find(A)->m_Load->m_KvUsed == 700);
  // What an engine said before it took other layers is of those before.
  Fleet Changed = oneEngine();
  Changed.put(tests::engine("a", "l4", {8, 16}), T0 + 5s);
  mergeDigest(Changed, Digest, T0 + 5100ms);
  CHECK_FALSE(Changed.find(A)->m_Load);
}

TEST_CASE("old reports are not passed on") {
  Fleet Reader = oneEngine();
  Reader.onReport(A, load(400), T0);
  CHECK(allOf(Reader, T0 + 2400ms).engines_size() == 1);
  CHECK(allOf(Reader, T0 + 2600ms).engines_size() == 0);
}

TEST_CASE("a distrusted engine is trusted again by a report that is of later") {
  Fleet Reader = oneEngine();
  Fleet Told = oneEngine();
  Told.suspect(A, "silent", T0 + 1s);
  Reader.onReport(A, load(1), T0 + 1200ms); // may be of before
  CHECK(mergeDigest(Told, allOf(Reader, T0 + 1300ms), T0 + 1300ms)
            .m_Recovered.empty());
  Reader.onReport(A, load(1), T0 + 1800ms);
  const auto Back =
      mergeDigest(Told, allOf(Reader, T0 + 1900ms), T0 + 1900ms).m_Recovered;
  CHECK(Back == std::vector<EndpointId>{A});
}

TEST_CASE(
    "a router counts as told for three missed digests, then asks itself") {
  DigestTracker Source;
  CHECK_FALSE(Source.isCurrent(T0));
  Source.onDigest("r1", {}, true, T0);
  CHECK(Source.isCurrent(T0 + 2 * DigestTracker::interval()));
  CHECK_FALSE(Source.isCurrent(T0 + 3 * DigestTracker::interval()));
}

TEST_CASE("a digest holds what came since the last one that was taken whole") {
  const EndpointId B("b");
  Fleet Reader = oneEngine();
  Reader.put(tests::engine("b", "l4", {8, 16}), T0);
  Fleet Told = oneEngine(); // the registry's news of "b" is not here yet
  DigestTracker Source;
  std::uint64_t Start = 7;
  const auto Ask = [&](Instant Now) {
    const auto Digest = makeDigest(Reader, Source.question("r1"), Start, Now);
    const auto Taken = mergeDigest(Told, Digest, Now);
    Source.onDigest("r1", Digest, Taken.m_Complete, Now);
    return Digest.engines_size();
  };
  Reader.onReport(A, load(1), T0 + 100ms);
  CHECK(Ask(T0 + 200ms) == 1);
  CHECK(Ask(T0 + 300ms) == 0);
  Reader.onReport(B, load(2), T0 + 400ms);
  CHECK(Ask(T0 + 500ms) == 1);
  CHECK(Ask(T0 + 600ms) == 1); // it could not be taken
  Told.put(tests::engine("b", "l4", {8, 16}), T0 + 650ms);
  Reader.onReport(B, load(3), T0 + 660ms);
  CHECK(Ask(T0 + 700ms) == 1);
  REQUIRE(Told.find(B)->m_Load);
  CHECK(Told.find(B)->m_Load->m_KvUsed == 3);
  CHECK(Ask(T0 + 800ms) == 0);
  // The reader's process starts again, and counts from the beginning.
  Start = 8;
  CHECK(Ask(T0 + 900ms) == 2);
  CHECK(Ask(T0 + 1s) == 0);
  // Another router's numbers say nothing about this one's.
  CHECK(Source.question("r2").after() == 0);
}

// The load of a data centre of 34 routers and 140 engines: each engine reports
// to the reader every 2 s, each of the others asks every 0.4 s.
TEST_CASE("a large data centre: the bytes of loads passed on to each router "
          "grow with reports, not with questions") {
  Fleet Reader;
  constexpr int Engines = 140;
  const auto Name = [](int I) { return "engine-" + std::to_string(I); };
  for (int I = 0; I < Engines; ++I)
    Reader.put(tests::engine(Name(I), "l4", {0, 8}), T0);
  Fleet Told = Reader;
  DigestTracker Source;
  std::size_t Since = 0;
  std::size_t All = 0;
  int Reported = 0;
  constexpr auto Time = 20s;
  for (auto Now = T0 + 400ms; Now < T0 + Time;
       Now += DigestTracker::interval()) {
    for (int I = 0; I < Engines / 5; ++I)
      Reader.onReport(EndpointId(Name(Reported++ % Engines)), load(1000 * I),
                      Now - 10ms * I);
    const auto Digest = makeDigest(Reader, Source.question("r1"), 1, Now);
    Since += Digest.ByteSizeLong();
    All += allOf(Reader, Now).ByteSizeLong();
    Source.onDigest("r1", Digest, mergeDigest(Told, Digest, Now).m_Complete,
                    Now);
    for (const auto &[Id, Known] : Reader.all())
      CHECK(Told.find(Id)->m_LoadUpdatedAt == Known.m_LoadUpdatedAt);
  }
  CHECK(Since < All / 4);
  // 70 reports a second of 40 bytes: within the 3 KB/s of control.
  CHECK(Since / 20 < 3000);
}

// A calm minute of 195 routers in five data centres before 216 engines: each
// chain's first and fullest engine are asked by every router that is not told.
TEST_CASE(
    "a fleet of hundreds: questions for loads grow with data centres, not "
    "with routers") {
  const auto Asked = [](PollingRole Of, ReportReason Why) {
    ReportSchedule Schedule;
    unsigned Count = 0;
    for (auto Now = T0; Now < T0 + 60s; Now += 25ms)
      Count += Schedule.takeDuePoll(A, Why, Of, Now);
    return Count;
  };
  constexpr std::size_t Routers = 195;
  constexpr std::size_t DataCentres = 5;
  const unsigned Alone = Asked({Routers}, ReportReason::Load) * Routers;
  const unsigned Shared =
      Asked({Routers, true, false}, ReportReason::Load) * DataCentres +
      Asked({Routers, false, true}, ReportReason::Load) *
          (Routers - DataCentres);
  CHECK(Alone > 5000);
  CHECK(Shared < Alone / 10);
  // What streams wait for is asked for by each router as before.
  CHECK(Asked({Routers, false, true}, ReportReason::AwaitedFirst) ==
        Asked({Routers}, ReportReason::AwaitedFirst));
}
