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
  const auto Digest = digestOf(Reader, T0 + 1300ms);
  REQUIRE(Digest.engines_size() == 1);
  // The answer took 200 ms: the report is at least as old as it was then.
  takeDigest(Told, Digest, T0 + 1300ms);
  REQUIRE(Told.find(A)->m_Load);
  CHECK(Told.find(A)->m_Load->m_KvUsed == 400);
  CHECK(Told.find(A)->m_Load->m_Running == 3);
  CHECK(Told.find(A)->m_LoadAt == T0 + 1s);
  Told.onReport(A, load(700), T0 + 2s);
  takeDigest(Told, Digest, T0 + 2100ms); // a late copy: it is of T0 + 1.8 s
  CHECK(Told.find(A)->m_Load->m_KvUsed == 700);
  // What an engine said before it took other layers is of those before.
  Fleet Changed = oneEngine();
  Changed.put(tests::engine("a", "l4", {8, 16}), T0 + 5s);
  takeDigest(Changed, Digest, T0 + 5100ms);
  CHECK_FALSE(Changed.find(A)->m_Load);
}

TEST_CASE("old reports are not passed on") {
  Fleet Reader = oneEngine();
  Reader.onReport(A, load(400), T0);
  CHECK(digestOf(Reader, T0 + 2400ms).engines_size() == 1);
  CHECK(digestOf(Reader, T0 + 2600ms).engines_size() == 0);
}

TEST_CASE("a distrusted engine is trusted again by a report that is of later") {
  Fleet Reader = oneEngine();
  Fleet Told = oneEngine();
  Told.suspect(A, "silent", T0 + 1s);
  Reader.onReport(A, load(1), T0 + 1200ms); // may be of before
  CHECK(takeDigest(Told, digestOf(Reader, T0 + 1300ms), T0 + 1300ms).empty());
  Reader.onReport(A, load(1), T0 + 1800ms);
  const auto Back =
      takeDigest(Told, digestOf(Reader, T0 + 1900ms), T0 + 1900ms);
  CHECK(Back == std::vector<EndpointId>{A});
}

TEST_CASE(
    "a router counts as told for three missed digests, then asks itself") {
  LoadSource Source;
  CHECK_FALSE(Source.told(T0));
  Source.onDigest(T0);
  CHECK(Source.told(T0 + 2 * LoadSource::pause()));
  CHECK_FALSE(Source.told(T0 + 3 * LoadSource::pause()));
}

// A calm minute of 195 routers in five data centres before 216 engines: each
// chain's first and fullest engine are asked by every router that is not told.
TEST_CASE(
    "a fleet of hundreds: questions for loads grow with data centres, not "
    "with routers") {
  const auto Asked = [](Askers Of, ReportReason Why) {
    ReportSchedule Schedule;
    unsigned Count = 0;
    for (auto Now = T0; Now < T0 + 60s; Now += 25ms)
      Count += Schedule.due(A, Why, Of, Now);
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
  CHECK(Asked({Routers, false, true}, ReportReason::WaitedFor) ==
        Asked({Routers}, ReportReason::WaitedFor));
}
