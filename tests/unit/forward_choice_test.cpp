// Where a request goes without a chain, what an answer means, and how often
// engines are asked.
#include "decide/answer_rule.h"
#include "decide/chain_router.h"
#include "decide/plain_router.h"
#include "decide/report_schedule.h"
#include "decide/row_cache.h"

#include "engine_fixture.h"

#include <doctest/doctest.h>
#include <set>

using namespace mimosadale;
using namespace mimosadale::decide;
using namespace std::chrono_literals;

namespace {

constexpr Instant T0{std::chrono::seconds(1000)};
const ServiceId Booking("booking");

Fleet endpoints() {
  Fleet Made;
  for (const std::string Name : {"near", "far", "other"}) {
    EndpointRecord Record;
    Record.m_Id = EndpointId(Name);
    Record.m_Service = ServiceId(Name == "other" ? "other" : "booking");
    Record.m_DataCentre = DataCentreId(Name == "far" ? "y" : "x");
    Made.put(Record, T0);
  }
  return Made;
}

std::string chosen(const Fleet &Of, const EndpointSet &Avoid = {},
                   Instant Now = T0) {
  Random Rng(7);
  const FleetEndpoint *Found =
      choosePlainEndpoint(Of, Booking, DataCentreId("x"), Avoid, Now, Rng);
  return Found ? Found->m_Record.m_Id.str() : "";
}

} // namespace

TEST_CASE("a plain service: the least busy endpoint, the near one of equals") {
  Fleet Made = endpoints();
  CHECK(chosen(Made) == "near");
  Made.adjustInFlight(EndpointId("near"), 1);
  CHECK(chosen(Made) == "far");
  Made.suspect(EndpointId("far"), "test", T0);
  CHECK(chosen(Made) == "near");
  CHECK(chosen(Made, {EndpointId("near")}) == "far");
  Made.remove(EndpointId("near"), T0);
  CHECK(chosen(Made) == "far");
  Made.remove(EndpointId("far"), T0);
  CHECK(chosen(Made).empty());
}

TEST_CASE(
    "a plain service: an endpoint that asked for a pause gets nothing until "
    "it is over") {
  Fleet Made = endpoints();
  Made.onPaused(EndpointId("near"), T0 + 2s);
  CHECK(chosen(Made) == "far");
  CHECK(chosen(Made, {}, T0 + 1999ms) == "far");
  CHECK(chosen(Made, {}, T0 + 2s) == "near");
  // A shorter pause does not end a longer one.
  Made.onPaused(EndpointId("near"), T0 + 1s);
  CHECK(chosen(Made, {}, T0 + 1500ms) == "far");
  Made.onPaused(EndpointId("far"), T0 + 2s);
  CHECK(chosen(Made, {}, T0 + 1500ms).empty());
}

TEST_CASE("an endpoint that says in an answer that it leaves stays so until a "
          "later start, whatever its entry says") {
  Fleet Made = endpoints();
  EndpointRecord Near = Made.find(EndpointId("near"))->m_Record;
  CHECK(Made.onAnnouncedLeaving(EndpointId("near"), T0));
  CHECK_FALSE(Made.onAnnouncedLeaving(EndpointId("near"), T0));
  CHECK(chosen(Made) == "far");
  Made.put(Near, T0 + 1s); // as the registry has it
  CHECK(chosen(Made) == "far");
  // Its entry expires, and is back with the store some minutes later.
  Made.remove(EndpointId("near"), T0 + 2s);
  for (int Second = 2; Second < 300; ++Second)
    Made.onTick(T0 + std::chrono::seconds(Second));
  Made.put(Near, T0 + 300s);
  CHECK(chosen(Made) == "far");
  Made.replaceAll({Near}, T0 + 301s);
  CHECK(chosen(Made).empty());
  Near.m_StartedMs = 7;
  Made.put(Near, T0 + 302s);
  CHECK(chosen(Made).empty()); // its first word of a start is of this one
  Near.m_StartedMs = 8;
  Made.put(Near, T0 + 303s);
  CHECK(chosen(Made) == "near");
}

TEST_CASE("an engine that asked for a pause: no chain leads through it") {
  for (const char *Paused : {"first", "last"}) {
    Fleet Engines;
    Engines.put(tests::engine("first", "a100s", {0, 40}), T0);
    Engines.put(tests::engine("last", "a100s", {40, 80}), T0);
    Engines.put(tests::engine("whole", "h100", {0, 80}, "away"), T0);
    EngineModel Model = tests::model();
    Model.m_Kinds["a100s"].m_MemoryMb = 80000;
    Model.m_Kinds["h100"] = {200000, 1, 1};
    ChainRouter Chains;
    Chains.rebuild(Engines, tests::Llm, Model);
    REQUIRE(Chains.chains().size() == 2);
    Engines.onPaused(EndpointId(Paused), T0 + 1s);
    Random Rng(7);
    const auto First = [&](Instant Now) {
      std::set<std::string> Found;
      for (int I = 0; I < 50; ++I)
        if (const Chain *Chosen = Chains.choose(
                Engines, {100, 100, 100}, DataCentreId("dc"), {}, Now, Rng))
          Found.insert(Chosen->m_Stages.front().m_Endpoint.str());
      return Found;
    };
    CHECK(First(T0) == std::set<std::string>{"whole"});
    CHECK(First(T0 + 1s).contains("first"));
  }
}

TEST_CASE("an answer on a kept connection is taken by its id only") {
  using enum AnswerOwner;
  CHECK(answerOwner("r1", "r1", true) == Ours);
  CHECK(answerOwner("r0", "r1", true) == Other);
  CHECK(answerOwner("r0", "r1", false) == Other);
  CHECK(answerOwner("", "r1", true) == Unknown); // a question's second answer
  CHECK(answerOwner("", "r1", false) == Ours);
  CHECK(answerOwner("", "", true) == Ours);
  CHECK(answerOwner("r0", "", true) == Other); // a request's second answer
}

TEST_CASE(
    "over all answers: no promise of \"not run\" but the endpoint's own") {
  for (const CallKind Kind :
       {CallKind::Stream, CallKind::Idempotent, CallKind::AtMostOnce})
    for (unsigned Status = 200; Status < 600; ++Status)
      for (unsigned Bits = 0; Bits < 8; ++Bits) {
        AnswerFacts Facts;
        Facts.m_Status = Status;
        Facts.m_Events = Bits & 1;
        Facts.m_ReportedNotRun = Bits & 2;
        Facts.m_HeadDelivered = Bits & 4;
        CAPTURE(Status);
        CAPTURE(Bits);
        const auto Judged = classifyAnswer(Facts, Kind);
        const auto *To = std::get_if<Delivery>(&Judged);
        if (To && *To == Delivery::Events)
          CHECK((Status < 300 && Facts.m_Events && Kind == CallKind::Stream));
        if (To && *To == Delivery::Body) {
          CHECK_FALSE(Facts.m_HeadDelivered);
          CHECK_FALSE(Facts.m_ReportedNotRun);
          CHECK(Status < 500);
          CHECK((Status != 408 && Status != 429 && Status != 503));
        }
        const auto *How = std::get_if<AttemptFault>(&Judged);
        CHECK((How && *How == AttemptFault::ReportedNotRun) ==
              (Facts.m_ReportedNotRun && !To));
        // The endpoint's own failure goes to the caller as it is.
        if (How && *How == AttemptFault::Failed)
          CHECK((Status >= 500 && Status != 503));
      }
}

TEST_CASE(
    "a refusal at once is that of a full engine, a late one of a lost one") {
  CHECK_FALSE(indicatesLostEngine(503, 50ms));
  CHECK(indicatesLostEngine(503, 2s));
  CHECK_FALSE(indicatesLostEngine(421, 2s));
}

TEST_CASE("an engine gives up a part, or lost it in a restart: many routers do "
          "not go on sending to it until the registry tells") {
  // A full engine has a place again soon; without its word it may be full.
  CHECK_FALSE(refusesStage(503, 0.97, 0.1));
  CHECK_FALSE(refusesStage(503, std::nullopt, 0.7));
  CHECK(fullEngineBackoff() < 100ms);
  // With room left it refuses the part itself.
  CHECK(refusesStage(503, 0.3, 0.9));
  CHECK(refusesStage(503, std::nullopt, 0.1));
  CHECK(refusesStage(421, std::nullopt, 1));
  // A router that sends a request a second to its chain is refused once in the
  // two seconds that a restart takes to show in the registry, not 20 times.
  Fleet Made;
  const EndpointId Engine("a");
  Made.put(tests::engine("a", "l4", {0, 5}), T0);
  unsigned Refused = 0;
  for (Instant Now = T0; Now < T0 + 2s; Now += 100ms) {
    Made.onTick(Now);
    if (Made.find(Engine)->routable())
      Refused += Made.onStageRefused(Engine, Now);
  }
  CHECK(Refused == 1);
  // The registry's word is taken at once.
  Made.put(tests::engine("a", "l4", {0, 4}), T0 + 2s);
  CHECK(Made.find(Engine)->routable());
}

TEST_CASE("engines are asked as often as the reason wants, and not more") {
  const EndpointId Engine("a");
  const auto Asked = [&](ReportReason Why, std::size_t Routers) {
    ReportSchedule Schedule;
    int Count = 0;
    for (Instant Now = T0; Now < T0 + 10s; Now += 25ms)
      Count += Schedule.takeDuePoll(Engine, Why, {Routers}, Now);
    return Count;
  };
  CHECK(Asked(ReportReason::AwaitedFirst, 6) > Asked(ReportReason::OnPath, 6));
  CHECK(Asked(ReportReason::HighUsage, 6) > Asked(ReportReason::Load, 6));
  // Many routers ask the same engines, so each asks less often; one that fills
  // up is still followed.
  CHECK(Asked(ReportReason::Load, 6) > 2 * Asked(ReportReason::Load, 68));
  CHECK(Asked(ReportReason::Load, 68) == Asked(ReportReason::Load, 340));
  for (const std::size_t Routers : {6, 16, 68, 340}) {
    CHECK(Asked(ReportReason::HighUsage, Routers) >
          Asked(ReportReason::Load, Routers));
    CHECK(Asked(ReportReason::HighUsage, Routers) >= 10);
  }
  CHECK(Asked(ReportReason::HighUsage, 6) ==
        Asked(ReportReason::HighUsage, 16));
  // At the size aimed for an engine is not asked by all of 340 routers more
  // than 400 times a second, whatever the reason but a request that waits.
  for (const ReportReason Why :
       {ReportReason::Load, ReportReason::HighUsage, ReportReason::Suspect})
    CHECK(Asked(Why, 340) * 340 <= 400 * 10);
  // One reason counts for the other.
  ReportSchedule Schedule;
  CHECK(Schedule.takeDuePoll(Engine, ReportReason::Load, {6}, T0));
  CHECK_FALSE(Schedule.takeDuePoll(Engine, ReportReason::AwaitedFirst, {6},
                                   T0 + 100ms));
  CHECK(Schedule.takeDuePoll(EndpointId("b"), ReportReason::AwaitedFirst, {6},
                             T0 + 100ms));
}
