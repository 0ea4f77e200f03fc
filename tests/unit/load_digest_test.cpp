// Load reports that routers forward to each other in digests, and the queries
// that remain in a fleet of hundreds of routers.
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
  Fleet Engines;
  Engines.put(tests::engine("a", "l4", {0, 8}), T0);
  return Engines;
}

// The digest that a router returns to one that asks it for the first time.
schema::LoadDigest fullDigest(const Fleet &Reader, Instant Now) {
  return makeDigest(Reader, {}, 1, Now);
}

EngineLoadReport loadReport(double Used) {
  EngineLoadReport Report;
  Report.m_KvUsed = Used;
  Report.m_KvTotal = 1000;
  Report.m_Running = 3;
  return Report;
}

} // namespace

TEST_CASE("a forwarded report keeps its age and never replaces a newer one") {
  Fleet Reader = oneEngine();
  Fleet Receiver = oneEngine();
  Reader.onReport(A, loadReport(400), T0 + 1s);
  const auto Digest = fullDigest(Reader, T0 + 1300ms);
  REQUIRE(Digest.engines_size() == 1);
  // The report is 300 ms old when the query is sent. The answer takes 200 ms,
  // which must not make the report look younger.
  mergeDigest(Receiver, Digest, T0 + 1300ms);
  REQUIRE(Receiver.find(A)->m_Load);
  CHECK(Receiver.find(A)->m_Load->m_KvUsed == 400);
  CHECK(Receiver.find(A)->m_Load->m_Running == 3);
  CHECK(Receiver.find(A)->m_LoadUpdatedAt == T0 + 1s);
  Receiver.onReport(A, loadReport(700), T0 + 2s);
  // A late copy, taken as a report of T0 + 1.8 s, does not replace this one.
  mergeDigest(Receiver, Digest, T0 + 2100ms);
  CHECK(Receiver.find(A)->m_Load->m_KvUsed == 700);
  // A report from before the engine changed its layers describes the old ones.
  Fleet Moved = oneEngine();
  Moved.put(tests::engine("a", "l4", {8, 16}), T0 + 5s);
  mergeDigest(Moved, Digest, T0 + 5100ms);
  CHECK_FALSE(Moved.find(A)->m_Load);
}

TEST_CASE("a report too old to be of use is not forwarded") {
  Fleet Reader = oneEngine();
  Reader.onReport(A, loadReport(400), T0);
  CHECK(fullDigest(Reader, T0 + 2400ms).engines_size() == 1);
  CHECK(fullDigest(Reader, T0 + 2600ms).engines_size() == 0);
}

TEST_CASE("a suspected engine is trusted again only by a report made after the "
          "suspicion") {
  Fleet Reader = oneEngine();
  Fleet Receiver = oneEngine();
  Receiver.suspect(A, "silent", T0 + 1s);
  // This report may be from before the suspicion.
  Reader.onReport(A, loadReport(1), T0 + 1200ms);
  CHECK(mergeDigest(Receiver, fullDigest(Reader, T0 + 1300ms), T0 + 1300ms)
            .m_Recovered.empty());
  Reader.onReport(A, loadReport(1), T0 + 1800ms);
  const auto Recovered =
      mergeDigest(Receiver, fullDigest(Reader, T0 + 1900ms), T0 + 1900ms)
          .m_Recovered;
  CHECK(Recovered == std::vector<EndpointId>{A});
}

TEST_CASE("a router that misses three digests asks the engines itself") {
  DigestTracker Source;
  CHECK_FALSE(Source.isCurrent(T0));
  Source.onDigest("r1", {}, true, T0);
  CHECK(Source.isCurrent(T0 + 2 * DigestTracker::interval()));
  CHECK_FALSE(Source.isCurrent(T0 + 3 * DigestTracker::interval()));
}

TEST_CASE("a digest holds the reports since the last one that was applied "
          "completely") {
  const EndpointId B("b");
  Fleet Reader = oneEngine();
  Reader.put(tests::engine("b", "l4", {8, 16}), T0);
  Fleet Receiver = oneEngine(); // the registry entry of "b" has not arrived yet
  DigestTracker Source;
  std::uint64_t Start = 7;
  const auto Fetch = [&](Instant Now) {
    const auto Digest = makeDigest(Reader, Source.question("r1"), Start, Now);
    const auto Result = mergeDigest(Receiver, Digest, Now);
    Source.onDigest("r1", Digest, Result.m_Complete, Now);
    return Digest.engines_size();
  };
  Reader.onReport(A, loadReport(1), T0 + 100ms);
  CHECK(Fetch(T0 + 200ms) == 1);
  CHECK(Fetch(T0 + 300ms) == 0);
  Reader.onReport(B, loadReport(2), T0 + 400ms);
  CHECK(Fetch(T0 + 500ms) == 1);
  CHECK(Fetch(T0 + 600ms) == 1); // the report of "b" could not be applied
  Receiver.put(tests::engine("b", "l4", {8, 16}), T0 + 650ms);
  Reader.onReport(B, loadReport(3), T0 + 660ms);
  CHECK(Fetch(T0 + 700ms) == 1);
  REQUIRE(Receiver.find(B)->m_Load);
  CHECK(Receiver.find(B)->m_Load->m_KvUsed == 3);
  CHECK(Fetch(T0 + 800ms) == 0);
  // The reader's process restarts and numbers its reports from the beginning.
  Start = 8;
  CHECK(Fetch(T0 + 900ms) == 2);
  CHECK(Fetch(T0 + 1s) == 0);
  // The numbers are those of one router and mean nothing to another one.
  CHECK(Source.question("r2").after() == 0);
}

// A data centre of 34 routers and 140 engines: each engine reports to the
// reader every 2 s, and each other router queries the reader every 0.4 s.
TEST_CASE("a large data centre: the bytes of forwarded loads per router grow "
          "with reports, not with queries") {
  Fleet Reader;
  constexpr int Engines = 140;
  const auto Name = [](int I) { return "engine-" + std::to_string(I); };
  for (int I = 0; I < Engines; ++I)
    Reader.put(tests::engine(Name(I), "l4", {0, 8}), T0);
  Fleet Receiver = Reader;
  DigestTracker Source;
  std::size_t DeltaBytes = 0;
  std::size_t FullBytes = 0;
  int ReportCount = 0;
  constexpr auto RunTime = 20s;
  for (auto Now = T0 + 400ms; Now < T0 + RunTime;
       Now += DigestTracker::interval()) {
    for (int I = 0; I < Engines / 5; ++I)
      Reader.onReport(EndpointId(Name(ReportCount++ % Engines)),
                      loadReport(1000 * I), Now - 10ms * I);
    const auto Digest = makeDigest(Reader, Source.question("r1"), 1, Now);
    DeltaBytes += Digest.ByteSizeLong();
    FullBytes += fullDigest(Reader, Now).ByteSizeLong();
    Source.onDigest("r1", Digest, mergeDigest(Receiver, Digest, Now).m_Complete,
                    Now);
    for (const auto &[Id, Engine] : Reader.all())
      CHECK(Receiver.find(Id)->m_LoadUpdatedAt == Engine.m_LoadUpdatedAt);
  }
  CHECK(DeltaBytes < FullBytes / 4);
  // 70 reports a second of 40 bytes stay within the 3 KB/s for control
  // messages.
  CHECK(DeltaBytes / 20 < 3000);
}

// A minute without load peaks in a deployment of 195 routers in five data
// centres with 216 engines. Every router that gets no digests queries the first
// and the fullest engine of each chain.
TEST_CASE("a fleet of hundreds of routers: load queries grow with data "
          "centres, not with routers") {
  const auto CountQueries = [](PollingRole Group, ReportReason Reason) {
    ReportSchedule Schedule;
    unsigned Count = 0;
    for (auto Now = T0; Now < T0 + 60s; Now += 25ms)
      Count += Schedule.takeDuePoll(A, Reason, Group, Now);
    return Count;
  };
  constexpr std::size_t Routers = 195;
  constexpr std::size_t DataCentres = 5;
  const unsigned WithoutSharing =
      CountQueries({Routers}, ReportReason::Load) * Routers;
  const unsigned WithSharing =
      CountQueries({Routers, true, false}, ReportReason::Load) * DataCentres +
      CountQueries({Routers, false, true}, ReportReason::Load) *
          (Routers - DataCentres);
  CHECK(WithoutSharing > 5000);
  CHECK(WithSharing < WithoutSharing / 10);
  // Engines that streams wait for are still queried by each router.
  CHECK(CountQueries({Routers, false, true}, ReportReason::AwaitedFirst) ==
        CountQueries({Routers}, ReportReason::AwaitedFirst));
}
