// Life cycle of forwarded requests over all orders of faults, and the retry
// budget, route table and event splitter that it uses.
#include "decide/forward_run.h"
#include "decide/retry_budget.h"
#include "decide/route_table.h"
#include "forward/event_splitter.h"

#include <doctest/doctest.h>
#include <iostream>

using namespace mimosadale;
using namespace mimosadale::decide;
using namespace std::chrono_literals;

namespace {

constexpr Instant T0{std::chrono::seconds(1000)};

constexpr AttemptFault Faults[] = {
    AttemptFault::NotSent, AttemptFault::ReportedNotRun, AttemptFault::Failed,
    AttemptFault::Broken, AttemptFault::Stalled};

// Bounds the exploration: a stream that has begun may have further attempts.
constexpr unsigned MaxExploredAttempts = 6;

// What happened to a request, independent of the state that ForwardRun keeps.
struct GroundTruth {
  // Attempts that may have run, each at another endpoint.
  unsigned m_MayHaveRun = 0;
  unsigned m_Unconnected = 0;
  unsigned m_States = 0;
};

struct RequestKind {
  CallKind m_Kind;
  bool m_Resumable;
  bool mayRepeat() const {
    return m_Kind == CallKind::Idempotent ||
           (m_Kind == CallKind::Stream && m_Resumable);
  }
};

void checkOutcome(const ForwardAction &Step, const GroundTruth &Actual) {
  if (const auto *Refused = std::get_if<RefuseForward>(&Step)) {
    const bool SaysNotRun = Refused->m_Refusal.runState() == schema::NOT_RUN;
    CHECK(SaysNotRun == (Actual.m_MayHaveRun == 0));
  }
  if (std::holds_alternative<PassOnFailure>(Step))
    CHECK(Actual.m_MayHaveRun > 0);
}

// Explores every order of faults from \p Run on. The head of a stream may have
// been delivered before each fault that comes after the begin of an answer.
void explore(ForwardRun Run, GroundTruth Actual, RequestKind Request,
             unsigned MaxEndpoints, bool HasBudget, unsigned &States) {
  ++States;
  const auto TakeRetry = [HasBudget] { return HasBudget; };
  if (Actual.m_Unconnected < 2) {
    // No connection to the next endpoint, so no attempt began there.
    ForwardRun Next = Run;
    GroundTruth NextActual = Actual;
    ++NextActual.m_Unconnected;
    const ForwardAction Step = Next.onFault(
        AttemptFault::NotSent, {EndpointId("gone")}, T0, TakeRetry);
    checkOutcome(Step, NextActual);
    checkOutcome(Next.onTimeout(), NextActual);
    if (std::holds_alternative<RetryForward>(Step))
      explore(Next, NextActual, Request, MaxEndpoints, HasBudget, States);
  }
  for (const AttemptFault Fault : Faults)
    for (const bool HeadSent : {false, true}) {
      const bool BeforeAnswer = Fault == AttemptFault::NotSent ||
                                Fault == AttemptFault::ReportedNotRun ||
                                Fault == AttemptFault::Failed;
      if (HeadSent && (Request.m_Kind != CallKind::Stream || BeforeAnswer))
        continue;
      ForwardRun Next = Run;
      GroundTruth NextActual = Actual;
      Next.beforeAttempt(EndpointId("e" + std::to_string(Next.attempts())));
      if (Fault != AttemptFault::NotSent &&
          Fault != AttemptFault::ReportedNotRun)
        ++NextActual.m_MayHaveRun;
      if (!Request.mayRepeat())
        REQUIRE(NextActual.m_MayHaveRun <= 1);
      REQUIRE(NextActual.m_MayHaveRun <= MaxEndpoints);
      if (HeadSent)
        Next.onHeadDelivered();
      const ForwardAction Step = Next.onFault(
          Fault, {EndpointId("e" + std::to_string(Next.attempts() - 1))}, T0,
          TakeRetry);
      if (std::holds_alternative<RetryForward>(Step)) {
        if (!Request.mayRepeat())
          REQUIRE(NextActual.m_MayHaveRun == 0);
        REQUIRE((Next.headDelivered() || Next.attempts() < 5));
        if (Next.attempts() < MaxExploredAttempts)
          explore(Next, NextActual, Request, MaxEndpoints, HasBudget, States);
      } else {
        // A partly delivered stream is cut off, or waits for an endpoint if it
        // may be repeated.
        if (Next.headDelivered())
          CHECK((std::holds_alternative<CutOff>(Step) ||
                 (std::holds_alternative<AwaitEndpoint>(Step) &&
                  Request.mayRepeat())));
        else
          CHECK_FALSE(std::holds_alternative<AwaitEndpoint>(Step));
        checkOutcome(Step, NextActual);
      }
      ForwardRun WithoutEndpoint = Next;
      checkOutcome(WithoutEndpoint.onNoEndpoint(schema::NO_ENDPOINT, 1s, T0),
                   NextActual);
      checkOutcome(Next.onTimeout(), NextActual);
    }
}

Route route(const std::string &Host, const std::string &Prefix) {
  Route Result;
  Result.m_Name = Host + Prefix;
  Result.m_Host = Host;
  Result.m_Prefix = Prefix;
  Result.m_Services = {{ServiceId("s"), 1}};
  return Result;
}

RoutingConfig config(std::uint64_t Version) {
  RoutingConfig Result;
  Result.m_Version = Version;
  Result.m_Routes = {route("one.example", "/a/"), route("one.example", "/a/b/"),
                     route("two.example", "/")};
  Result.m_Workspaces = {{WorkspaceId("w"), std::nullopt, {"key1", "key2"}}};
  return Result;
}

} // namespace

TEST_CASE("forwarded requests run at most once unless they may be repeated, "
          "and refusals are true, over all orders of faults") {
  unsigned States = 0;
  for (const RequestKind Request : {RequestKind{CallKind::Idempotent, false},
                                    RequestKind{CallKind::AtMostOnce, false},
                                    RequestKind{CallKind::Stream, false},
                                    RequestKind{CallKind::Stream, true}})
    for (const bool HasBudget : {true, false})
      for (unsigned MaxEndpoints = 1; MaxEndpoints <= 4; ++MaxEndpoints) {
        ForwardParams Start;
        Start.m_Kind = Request.m_Kind;
        Start.m_Resumable = Request.m_Resumable;
        Start.m_MaxEndpoints = MaxEndpoints;
        Start.m_Deadline = T0 + 10s;
        Start.m_Timeout = T0 + 20s;
        explore(ForwardRun(Start), {}, Request, MaxEndpoints, HasBudget,
                States);
      }
  std::cout << "forwarded requests: " << States << " states explored\n";
  CHECK(States > 500);
}

TEST_CASE("a partly delivered stream survives a refusal by its next endpoint") {
  ForwardParams Start;
  Start.m_Kind = CallKind::Stream;
  Start.m_Resumable = true;
  Start.m_MaxEndpoints = 2;
  Start.m_Deadline = Start.m_Timeout = T0 + 10s;
  ForwardRun Run(Start);
  const auto AllowRetry = [] { return true; };
  Run.beforeAttempt(EndpointId("a"));
  Run.onHeadDelivered();
  REQUIRE(std::holds_alternative<RetryForward>(
      Run.onFault(AttemptFault::Stalled, {EndpointId("a")}, T0, AllowRetry)));
  Run.beforeAttempt(EndpointId("b"));
  REQUIRE(std::holds_alternative<RetryForward>(Run.onFault(
      AttemptFault::ReportedNotRun, {EndpointId("b")}, T0, AllowRetry)));
  Run.beforeAttempt(EndpointId("c"));
  CHECK(std::holds_alternative<CutOff>(
      Run.onFault(AttemptFault::Stalled, {EndpointId("c")}, T0, AllowRetry)));
}

TEST_CASE(
    "engines that leave move their streams to chains that refuse for a while: "
    "a partly delivered stream waits, up to its deadline or last attempt") {
  ForwardParams Start;
  Start.m_Kind = CallKind::Stream;
  Start.m_Resumable = true;
  Start.m_MaxEndpoints = 2;
  Start.m_Deadline = Start.m_Timeout = T0 + 10s;
  ForwardRun Run(Start);
  const auto AllowRetry = [] { return true; };
  Run.beforeAttempt(EndpointId("a"));
  Run.onHeadDelivered();
  REQUIRE(std::holds_alternative<RetryForward>(
      Run.onFault(AttemptFault::Broken, {EndpointId("a")}, T0, AllowRetry)));
  CHECK(std::holds_alternative<AwaitEndpoint>(
      Run.onNoEndpoint(schema::NO_ENDPOINT, 1s, T0)));
  // Each search for an endpoint starts anew: one that refused may have free
  // slots by then.
  Run.onAwaitEndpoint();
  CHECK(Run.avoided().empty());
  unsigned Refusals = 0;
  while (Run.mayReroute(T0) && Refusals < 100) {
    Run.beforeAttempt(EndpointId("b"));
    const ForwardAction Step = Run.onFault(AttemptFault::ReportedNotRun,
                                           {EndpointId("b")}, T0, AllowRetry);
    ++Refusals;
    if (Run.mayReroute(T0))
      CHECK(std::holds_alternative<RetryForward>(Step));
    else
      CHECK(std::holds_alternative<CutOff>(Step));
  }
  CHECK(Refusals > 4);
  CHECK(Refusals < 13);
  // Without a retry in the budget the stream waits; at its deadline it is cut
  // off.
  ForwardRun WithoutRetry(Start);
  WithoutRetry.beforeAttempt(EndpointId("a"));
  WithoutRetry.onHeadDelivered();
  const auto DenyRetry = [] { return false; };
  CHECK(std::holds_alternative<AwaitEndpoint>(WithoutRetry.onFault(
      AttemptFault::Broken, {EndpointId("a")}, T0, DenyRetry)));
  CHECK(std::holds_alternative<CutOff>(
      WithoutRetry.onNoEndpoint(schema::NO_ENDPOINT, 1s, T0 + 10s)));
}

TEST_CASE("a request is not attempted again after its time-out") {
  ForwardParams Start;
  Start.m_Kind = CallKind::Idempotent;
  Start.m_MaxEndpoints = 3;
  Start.m_Deadline = T0 + 10s;
  Start.m_Timeout = T0 + 1s;
  ForwardRun Run(Start);
  Run.beforeAttempt(EndpointId("a"));
  CHECK(std::holds_alternative<RefuseForward>(
      Run.onFault(AttemptFault::Broken, {}, T0 + 1s, [] { return true; })));
}

TEST_CASE("retries: a load that stops and returns exceeds the budget in no "
          "window, over all routers") {
  constexpr std::size_t Routers = 6;
  const WindowedRetryBudget::Bounds Bounds{0.2, 196, 10s};
  std::vector<WindowedRetryBudget> Budgets(Routers,
                                           WindowedRetryBudget(Bounds, T0));
  // Every router retries as much as its budget allows, under a load that stops
  // and returns every 7 s.
  std::vector<std::pair<Instant, bool>> Tries; // time, is a retry
  for (int Ms = 0; Ms < 60000; Ms += 20) {
    const Instant Now = T0 + std::chrono::milliseconds(Ms);
    const bool Busy = Ms / 7000 % 2 == 0;
    for (WindowedRetryBudget &Budget : Budgets) {
      if (Busy) {
        Budget.onFirstAttempt(Now);
        Tries.push_back({Now, false});
      }
      for (int I = 0; I < 3; ++I)
        if (Budget.tryConsume(Now, Routers))
          Tries.push_back({Now, true});
    }
  }
  for (int BeginMs = 0; BeginMs < 50000; BeginMs += 250) {
    const Instant WindowBegin = T0 + std::chrono::milliseconds(BeginMs);
    double FirstTries = 0;
    double Retries = 0;
    for (const auto &[At, IsRetry] : Tries) {
      // First attempts count for this window and for the next one.
      if (!IsRetry && At >= WindowBegin - 10s && At < WindowBegin + 10s)
        ++FirstTries;
      if (IsRetry && At >= WindowBegin && At < WindowBegin + 10s)
        ++Retries;
    }
    CHECK(Retries <= Bounds.m_Fraction * FirstTries + Bounds.m_Slack);
  }
}

TEST_CASE("retries: a restarted router does not get its slack a second time") {
  WindowedRetryBudget Restarted({0.2, 196, 10s}, T0);
  CHECK_FALSE(Restarted.tryConsume(T0, 6));
  int RetriesGranted = 0;
  while (Restarted.tryConsume(T0 + 5s, 6))
    ++RetriesGranted;
  CHECK(RetriesGranted <= 196 / 6 / 2);
}

TEST_CASE("routes: the longest prefix of the host wins, and an older version "
          "never replaces a newer one") {
  RouteTableHolder Holder;
  CHECK(Holder.adopt(config(5)));
  CHECK_FALSE(Holder.adopt(config(4)));
  CHECK_FALSE(Holder.adopt(config(5)));
  const auto &Table = *Holder.current();
  CHECK(Table.config().m_Version == 5);
  CHECK(Table.find("one.example", "/a/b/c")->m_Prefix == "/a/b/");
  CHECK(Table.find("ONE.example:8080", "/a/bc?x=/a/b/")->m_Prefix == "/a/");
  CHECK(Table.find("one.example", "/a") == nullptr);
  CHECK(Table.find("two.example", "/any/thing")->m_Prefix == "/");
  CHECK(Table.find("three.example", "/a/") == nullptr);
  CHECK(Table.workspaceOf("key2")->m_Name.str() == "w");
  CHECK(Table.workspaceOf("key3") == nullptr);
  const auto Previous = Holder.current();
  CHECK(Holder.adopt(config(9)));
  CHECK(Previous->find("one.example", "/a/") != nullptr);
}

TEST_CASE("a resumed stream continues after its last event, or it is not the "
          "same stream") {
  const auto Continues = [](const char *Events) {
    return forward::EventSplitter::continueAfter(Events, "9");
  };
  CHECK(Continues("id: 10\ndata: x\n\nid: 12\ndata: y\n\n"));
  CHECK(Continues("id:10\r\ndata: x\r\n\r\n"));
  CHECK(Continues(": keep-alive\n\n"));
  CHECK(Continues(""));
  CHECK_FALSE(Continues("id: 9\ndata: x\n\n"));
  CHECK_FALSE(Continues("id: 1\ndata: x\n\n"));
  CHECK_FALSE(Continues("id: 10\ndata: x\n\nid: 10\ndata: y\n\n"));
  CHECK_FALSE(Continues("event: error\ndata: overloaded\n\n"));
  CHECK_FALSE(Continues("id: 10\ndata: x\n\ndata: y\n\n"));
  // Ids that are no numbers cannot be compared.
  CHECK(forward::EventSplitter::continueAfter("id: a\ndata: x\n\n", "b"));
  CHECK(forward::EventSplitter::continueAfter("data: x\n\n", ""));
}

TEST_CASE("events are forwarded complete, and a truncated one is dropped") {
  forward::EventSplitter Events;
  Events.buffer() += "id: 1\ndata: x\n\nid: 2\nda";
  CHECK(Events.takeComplete() == "id: 1\ndata: x\n\n");
  CHECK(Events.lastId() == "1");
  CHECK(Events.takeComplete().empty());
  Events.discardPartial();
  Events.buffer() += "id: 2\ndata: id: 9\n\nid: 3\n\n";
  CHECK(Events.takeComplete() == "id: 2\ndata: id: 9\n\nid: 3\n\n");
  CHECK(Events.lastId() == "3");
  CHECK(Events.takeRemainder().empty());
}
