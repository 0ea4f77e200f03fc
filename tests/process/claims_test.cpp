// Calls that may run at most once, under faults of the table, the endpoint, the
// routers and the callers. Executions are counted by the services themselves.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "harness/harness.h"

#include <atomic>
#include <boost/json.hpp>
#include <csignal>
#include <doctest/doctest.h>
#include <thread>

using namespace mimosadale;
using harness::Fleet;
namespace json = boost::json;

namespace {

const char *const Target = "/v1/services/booking/deposits";

// Two routers and one endpoint of the booking service.
struct BookingFixture {
  BookingFixture() {
    m_Fleet.startPlatform();
    m_Fleet.startService("booking-1", "booking");
    m_Fleet.startRouter("r1");
    m_Fleet.startRouter("r2");
    m_Fleet.applyDeclaration();
    m_Fleet.waitReady();
    m_Service = m_Fleet.endpointAddress("booking-1");
  }

  net::HttpResponse call(const std::string &Router, const std::string &Key,
                         const std::string &Body = "seat 4",
                         const std::string &Workspace = "counter") {
    auto Headers = m_Fleet.authHeaders(Workspace);
    Headers.push_back({"Idempotency-Key", Key});
    return harness::sendRequest("POST", m_Fleet.callerAddress(Router), Target,
                                Headers, Body);
  }

  // Repeats a call with the same key until it is answered with 201.
  net::HttpResponse retryUntilCreated(const std::string &Router,
                                      const std::string &Key) {
    net::HttpResponse Latest;
    harness::waitUntil([&] {
      Latest = call(Router, Key);
      return Latest.m_Status == 201;
    });
    return Latest;
  }

  Fleet m_Fleet;
  std::string m_Service;
};

std::string reasonOf(const net::HttpResponse &Response) {
  return net::findHeader(Response.m_Headers, "Mimosadale-Reason");
}

std::string runStateOf(const net::HttpResponse &Response) {
  return net::findHeader(Response.m_Headers, "Mimosadale-Run-State");
}

} // namespace

TEST_CASE(
    "the platform loses or delays a claim write: the call runs exactly once") {
  BookingFixture Fixture;
  struct Case {
    std::string m_Name;
    std::string m_Fault;
    // One retry of the write succeeds; two losses in a row are an outage.
    bool m_SingleLoss;
  };
  const Case Cases[] = {
      {"insert-lost-before", R"({"lose_before": 1})", true},
      {"insert-lost-after", R"({"lose_after": 1})", true},
      {"insert-lost-twice-after", R"({"lose_after": 2})", false},
      {"lost-before-and-after", R"({"lose_before": 1, "lose_after": 1})",
       false},
      {"slow", R"({"delay_ms": 100})", true},
  };
  for (const Case &Fault : Cases) {
    CAPTURE(Fault.m_Name);
    Fixture.m_Fleet.injectFault(Fixture.m_Fleet.platformAddress(),
                                Fault.m_Fault);
    const auto First = Fixture.call("r1", Fault.m_Name);
    Fixture.m_Fleet.injectFault(
        Fixture.m_Fleet.platformAddress(),
        R"({"lose_before": 0, "lose_after": 0, "delay_ms": 0})");
    if (Fault.m_SingleLoss)
      CHECK(First.m_Status == 201);
    if (runStateOf(First) == "not_run")
      CHECK(Fixture.m_Fleet.executions(Fault.m_Name) == 0);
    CHECK(Fixture.retryUntilCreated("r2", Fault.m_Name).m_Status == 201);
    CHECK(Fixture.m_Fleet.executions(Fault.m_Name) == 1);
  }
}

TEST_CASE(
    "the table is down: a call is refused as not run, and runs once later") {
  BookingFixture Fixture;
  Fixture.m_Fleet.injectFault(Fixture.m_Fleet.platformAddress(),
                              R"({"down": 1})");
  for (int I = 0; I < 5; ++I) {
    const auto Refused = Fixture.call("r1", "during-outage");
    CHECK(Refused.m_Status == 503);
    CHECK(reasonOf(Refused) == "platform_unavailable");
    CHECK(runStateOf(Refused) == "not_run");
    CHECK_FALSE(net::findHeader(Refused.m_Headers, "Retry-After").empty());
  }
  CHECK(Fixture.m_Fleet.executions("during-outage") == 0);
  Fixture.m_Fleet.injectFault(Fixture.m_Fleet.platformAddress(),
                              R"({"down": 0})");
  CHECK(Fixture.retryUntilCreated("r2", "during-outage").m_Status == 201);
  CHECK(Fixture.m_Fleet.executions("during-outage") == 1);
}

TEST_CASE("the table is down: reads, which need no claim, are still served") {
  BookingFixture Fixture;
  Fixture.m_Fleet.injectFault(Fixture.m_Fleet.platformAddress(),
                              R"({"down": 1})");
  const auto Read =
      harness::sendRequest("GET", Fixture.m_Fleet.callerAddress("r1"), Target,
                           Fixture.m_Fleet.authHeaders());
  CHECK(Read.m_Status == 201);
}

TEST_CASE(
    "two routers get the same key at the same time: the call runs only once") {
  BookingFixture Fixture;
  constexpr unsigned Keys = 40;
  std::vector<std::thread> Callers;
  std::atomic<unsigned> Unexpected = 0;
  for (unsigned I = 0; I < Keys * 2; ++I)
    Callers.emplace_back([&, I] {
      const auto Answer =
          Fixture.call(I % 2 ? "r1" : "r2", "race-" + std::to_string(I / 2));
      if (Answer.m_Status != 201 && reasonOf(Answer) != "claim_in_progress")
        ++Unexpected;
    });
  for (std::thread &Caller : Callers)
    Caller.join();
  CHECK(Unexpected == 0);
  for (unsigned I = 0; I < Keys; ++I)
    CHECK(Fixture.m_Fleet.executions("race-" + std::to_string(I)) == 1);
}

TEST_CASE("a router is killed during a call: the outcome is unknown until an "
          "operator settles it, and the call never runs again") {
  BookingFixture Fixture;
  Fixture.m_Fleet.injectFault(Fixture.m_Service, R"({"delay_ms": 2500})");
  std::thread Caller([&] { Fixture.call("r1", "killed"); });
  CHECK(harness::waitUntil([&] {
    return Fixture.m_Fleet.metricSum("r1", "mimosadale_events_total",
                                     "table_transactions") >= 1;
  }));
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  Fixture.m_Fleet.process("r1").kill();
  Caller.join();
  Fixture.m_Fleet.injectFault(Fixture.m_Service, R"({"delay_ms": 0})");
  net::HttpResponse Repeat;
  CHECK(harness::waitUntil([&] {
    Repeat = Fixture.call("r2", "killed");
    return reasonOf(Repeat) == "outcome_unknown";
  }));
  CHECK(runStateOf(Repeat) == "may_have_run");
  CHECK(Fixture.m_Fleet.executions("killed") <= 1);

  const auto ClaimList = Fixture.m_Fleet.runCtl({"claims", "list", "--json"});
  const json::value Claims = json::parse(ClaimList.m_Output);
  REQUIRE(Claims.as_array().size() == 1);
  const std::string Row(Claims.at(0).at("row").as_string());
  const auto settleClaim = [&](const std::string &Outcome) {
    return Fixture.m_Fleet.runCtl({"claims", "settle", Row, "--outcome",
                                   Outcome, "--author", "ana", "--reason",
                                   "asked the family"});
  };
  CHECK(settleClaim("ran").m_Status == 0);
  CHECK(settleClaim("not-run").m_Status == 3);
  CHECK(reasonOf(Fixture.call("r2", "killed")) == "already_ran");
  CHECK(Fixture.m_Fleet.executions("killed") <= 1);
}

TEST_CASE("a router is suspended past its send window: it does not send the "
          "call when it resumes") {
  BookingFixture Fixture;
  Fixture.m_Fleet.injectFault(Fixture.m_Fleet.platformAddress(),
                              R"({"hold": 1})");
  net::HttpResponse Answer;
  std::thread Caller([&] { Answer = Fixture.call("r1", "paused"); });
  CHECK(harness::waitUntil([&] {
    return Fixture.m_Fleet.metricSum("r1", "mimosadale_events_total",
                                     "table_transactions") >= 1;
  }));
  Fixture.m_Fleet.process("r1").signal(SIGSTOP);
  Fixture.m_Fleet.injectFault(Fixture.m_Fleet.platformAddress(),
                              R"({"hold": 0})");
  std::this_thread::sleep_for(std::chrono::milliseconds(2600));
  Fixture.m_Fleet.process("r1").signal(SIGCONT);
  Caller.join();
  CHECK(runStateOf(Answer) == "not_run");
  CHECK(Fixture.m_Fleet.executions("paused") == 0);
  CHECK(Fixture.retryUntilCreated("r2", "paused").m_Status == 201);
  CHECK(Fixture.m_Fleet.executions("paused") == 1);
}

TEST_CASE("an endpoint executes a call and resets the connection: the outcome "
          "is unknown, and the call never runs again") {
  BookingFixture Fixture;
  Fixture.m_Fleet.injectFault(Fixture.m_Service, R"({"reset_after": 1})");
  const auto First = Fixture.call("r1", "reset");
  CHECK(reasonOf(First) == "outcome_unknown");
  CHECK(runStateOf(First) == "may_have_run");
  for (int I = 0; I < 5; ++I)
    CHECK(Fixture.call(I % 2 ? "r1" : "r2", "reset").m_Status != 201);
  CHECK(Fixture.m_Fleet.executions("reset") == 1);
}

TEST_CASE("an endpoint is unreachable: the call is reported as not run, and "
          "runs once later") {
  BookingFixture Fixture;
  Fixture.m_Fleet.process("booking-1").kill();
  const auto First = Fixture.call("r1", "unreachable");
  CHECK(First.m_Status == 503);
  CHECK(runStateOf(First) == "not_run");
  Fixture.m_Fleet.restart("booking-1");
  CHECK(Fixture.retryUntilCreated("r2", "unreachable").m_Status == 201);
  CHECK(Fixture.m_Fleet.executions("unreachable") == 1);
}

TEST_CASE("an endpoint reports a call as not run: the report counts only if "
          "its service is trusted") {
  BookingFixture Fixture;
  Fixture.m_Fleet.injectFault(Fixture.m_Service, R"({"not_run": 1})");
  CHECK(reasonOf(Fixture.call("r1", "untrusted")) == "outcome_unknown");
  Fixture.m_Fleet.m_Declaration.mutable_services(0)->set_trusted_not_run(true);
  Fixture.m_Fleet.applyDeclaration();
  CHECK(harness::waitUntil([&] {
    return Fixture.m_Fleet.metricSum("r1", "mimosadale_state",
                                     "\"generation\"") == 2;
  }));
  Fixture.m_Fleet.injectFault(Fixture.m_Service, R"({"not_run": 1})");
  CHECK(runStateOf(Fixture.call("r1", "trusted")) == "not_run");
  CHECK(Fixture.m_Fleet.executions("trusted") == 0);
  CHECK(Fixture.retryUntilCreated("r1", "trusted").m_Status == 201);
  CHECK(Fixture.m_Fleet.executions("trusted") == 1);
}

TEST_CASE("a key is missing, reused with another body, or used by another "
          "workspace: no call gets the answer of another one") {
  BookingFixture Fixture;
  const auto MissingKey =
      harness::sendRequest("POST", Fixture.m_Fleet.callerAddress("r1"), Target,
                           Fixture.m_Fleet.authHeaders(), "seat 4");
  CHECK(reasonOf(MissingKey) == "idempotency_key_missing");
  CHECK(Fixture.m_Fleet.executions() == 0);
  CHECK(Fixture.call("r1", "k", "seat 4").m_Status == 201);
  CHECK(reasonOf(Fixture.call("r2", "k", "seat 5")) ==
        "idempotency_key_reused");
  CHECK(Fixture.m_Fleet.executions("k") == 1);
  const auto OtherWorkspace = Fixture.call("r2", "k", "seat 9", "desk");
  CHECK(OtherWorkspace.m_Status == 201);
  CHECK(OtherWorkspace.m_Body.find("seat 9") != std::string::npos);
  CHECK(Fixture.m_Fleet.executions("k") == 2);
}

TEST_CASE("a call with a large answer is repeated: the stored answer is not "
          "truncated") {
  BookingFixture Fixture;
  Fixture.m_Fleet.injectFault(Fixture.m_Service, R"({"fill": 200000})");
  const auto First = Fixture.call("r1", "large");
  REQUIRE(First.m_Status == 201);
  CHECK(First.m_Body.size() > 200000);
  const auto Again = Fixture.retryUntilCreated("r2", "large");
  CHECK(Again.m_Body == First.m_Body);
  CHECK(Fixture.m_Fleet.executions("large") == 1);
}
