// The life cycle of forwarded requests, over all orders of faults, and the
// budgets and look-ups that it uses.
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

// Sends up to which every order is played; a started stream may have more.
constexpr unsigned ExploredSends = 6;

// What really happened to one request, beside what the machine believes.
struct Truth {
  unsigned m_MayHaveRun = 0; // sends that may have run, each elsewhere
  unsigned m_Unconnected = 0;
  unsigned m_States = 0;
};

struct Kind {
  CallKind m_Kind;
  bool m_Resumable;
  bool mayRepeat() const {
    return m_Kind == CallKind::Idempotent ||
           (m_Kind == CallKind::Stream && m_Resumable);
  }
};

void checkEnd(const ForwardAction &Step, const Truth &Known) {
  if (const auto *Refused = std::get_if<RefuseForward>(&Step)) {
    const bool SaysNotRun = Refused->m_Refusal.runState() == schema::NOT_RUN;
    CHECK(SaysNotRun == (Known.m_MayHaveRun == 0));
  }
  if (std::holds_alternative<PassOnFailure>(Step))
    CHECK(Known.m_MayHaveRun > 0);
}

// Plays every order of faults after `Run`; the head of a stream may go out
// before each fault but those that come before an answer.
void explore(ForwardRun Run, Truth Known, Kind Of, unsigned Most, bool Budget,
             unsigned &States) {
  ++States;
  const auto Took = [Budget] { return Budget; };
  if (Known.m_Unconnected < 2) {
    // No connection to the next endpoint: nothing was begun there.
    ForwardRun Next = Run;
    Truth After = Known;
    ++After.m_Unconnected;
    const ForwardAction Step =
        Next.onFault(AttemptFault::NotSent, {EndpointId("gone")}, T0, Took);
    checkEnd(Step, After);
    checkEnd(Next.onTimeout(), After);
    if (std::holds_alternative<RetryForward>(Step))
      explore(Next, After, Of, Most, Budget, States);
  }
  for (const AttemptFault Fault : Faults)
    for (const bool Head : {false, true}) {
      const bool BeforeAnswer = Fault == AttemptFault::NotSent ||
                                Fault == AttemptFault::ReportedNotRun ||
                                Fault == AttemptFault::Failed;
      if (Head && (Of.m_Kind != CallKind::Stream || BeforeAnswer))
        continue;
      ForwardRun Next = Run;
      Truth After = Known;
      Next.beforeAttempt(EndpointId("e" + std::to_string(Next.attempts())));
      if (Fault != AttemptFault::NotSent &&
          Fault != AttemptFault::ReportedNotRun)
        ++After.m_MayHaveRun;
      if (!Of.mayRepeat())
        REQUIRE(After.m_MayHaveRun <= 1);
      REQUIRE(After.m_MayHaveRun <= Most);
      if (Head)
        Next.onHeadDelivered();
      const ForwardAction Step = Next.onFault(
          Fault, {EndpointId("e" + std::to_string(Next.attempts() - 1))}, T0,
          Took);
      if (std::holds_alternative<RetryForward>(Step)) {
        if (!Of.mayRepeat())
          REQUIRE(After.m_MayHaveRun == 0);
        REQUIRE((Next.headDelivered() || Next.attempts() < 5));
        if (Next.attempts() < ExploredSends)
          explore(Next, After, Of, Most, Budget, States);
      } else {
        // What is partly out is cut off, or goes on later if it may be
        // repeated.
        if (Next.headDelivered())
          CHECK((
              std::holds_alternative<CutOff>(Step) ||
              (std::holds_alternative<AwaitEndpoint>(Step) && Of.mayRepeat())));
        else
          CHECK_FALSE(std::holds_alternative<AwaitEndpoint>(Step));
        checkEnd(Step, After);
      }
      ForwardRun None = Next;
      checkEnd(None.onNoEndpoint(schema::NO_ENDPOINT, 1s, T0), After);
      checkEnd(Next.onTimeout(), After);
    }
}

Route route(const std::string &Host, const std::string &Prefix) {
  Route Made;
  Made.m_Name = Host + Prefix;
  Made.m_Host = Host;
  Made.m_Prefix = Prefix;
  Made.m_Services = {{ServiceId("s"), 1}};
  return Made;
}

RoutingConfig config(std::uint64_t Version) {
  RoutingConfig Made;
  Made.m_Version = Version;
  Made.m_Routes = {route("one.example", "/a/"), route("one.example", "/a/b/"),
                   route("two.example", "/")};
  Made.m_Workspaces = {{WorkspaceId("w"), std::nullopt, {"key1", "key2"}}};
  return Made;
}

} // namespace

TEST_CASE("forwarded requests run at most once and refusals are true, over all "
          "orders of faults") {
  unsigned States = 0;
  for (const Kind Of :
       {Kind{CallKind::Idempotent, false}, Kind{CallKind::AtMostOnce, false},
        Kind{CallKind::Stream, false}, Kind{CallKind::Stream, true}})
    for (const bool Budget : {true, false})
      for (unsigned Most = 1; Most <= 4; ++Most) {
        ForwardParams Start;
        Start.m_Kind = Of.m_Kind;
        Start.m_Resumable = Of.m_Resumable;
        Start.m_MaxEndpoints = Most;
        Start.m_Deadline = T0 + 10s;
        Start.m_Timeout = T0 + 20s;
        explore(ForwardRun(Start), {}, Of, Most, Budget, States);
      }
  std::cout << "forwarded requests: " << States << " states explored\n";
  CHECK(States > 500);
}

TEST_CASE(
    "a stream that is partly out outlives a refusal at its next endpoint") {
  ForwardParams Start;
  Start.m_Kind = CallKind::Stream;
  Start.m_Resumable = true;
  Start.m_MaxEndpoints = 2;
  Start.m_Deadline = Start.m_Timeout = T0 + 10s;
  ForwardRun Run(Start);
  const auto Budget = [] { return true; };
  Run.beforeAttempt(EndpointId("a"));
  Run.onHeadDelivered();
  REQUIRE(std::holds_alternative<RetryForward>(
      Run.onFault(AttemptFault::Stalled, {EndpointId("a")}, T0, Budget)));
  Run.beforeAttempt(EndpointId("b"));
  REQUIRE(std::holds_alternative<RetryForward>(Run.onFault(
      AttemptFault::ReportedNotRun, {EndpointId("b")}, T0, Budget)));
  Run.beforeAttempt(EndpointId("c"));
  CHECK(std::holds_alternative<CutOff>(
      Run.onFault(AttemptFault::Stalled, {EndpointId("c")}, T0, Budget)));
}

TEST_CASE(
    "engines that leave take their streams to chains that refuse for a "
    "while: a stream that is partly out waits, up to its end or its sends") {
  ForwardParams Start;
  Start.m_Kind = CallKind::Stream;
  Start.m_Resumable = true;
  Start.m_MaxEndpoints = 2;
  Start.m_Deadline = Start.m_Timeout = T0 + 10s;
  ForwardRun Run(Start);
  const auto Budget = [] { return true; };
  Run.beforeAttempt(EndpointId("a"));
  Run.onHeadDelivered();
  REQUIRE(std::holds_alternative<RetryForward>(
      Run.onFault(AttemptFault::Broken, {EndpointId("a")}, T0, Budget)));
  CHECK(std::holds_alternative<AwaitEndpoint>(
      Run.onNoEndpoint(schema::NO_ENDPOINT, 1s, T0)));
  // Each look for a place is a new one: what refused may have room by then.
  Run.onAwaitEndpoint();
  CHECK(Run.avoided().empty());
  unsigned Refusals = 0;
  while (Run.mayReroute(T0) && Refusals < 100) {
    Run.beforeAttempt(EndpointId("b"));
    const ForwardAction Step = Run.onFault(AttemptFault::ReportedNotRun,
                                           {EndpointId("b")}, T0, Budget);
    ++Refusals;
    if (Run.mayReroute(T0))
      CHECK(std::holds_alternative<RetryForward>(Step));
    else
      CHECK(std::holds_alternative<CutOff>(Step));
  }
  CHECK(Refusals > 4);
  CHECK(Refusals < 13);
  // Without a retry it waits for one; when its time is over it ends.
  ForwardRun Late(Start);
  Late.beforeAttempt(EndpointId("a"));
  Late.onHeadDelivered();
  const auto None = [] { return false; };
  CHECK(std::holds_alternative<AwaitEndpoint>(
      Late.onFault(AttemptFault::Broken, {EndpointId("a")}, T0, None)));
  CHECK(std::holds_alternative<CutOff>(
      Late.onNoEndpoint(schema::NO_ENDPOINT, 1s, T0 + 10s)));
}

TEST_CASE("nothing is sent again when the time is over") {
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

TEST_CASE("retries: every window keeps the bound, over all routers") {
  constexpr std::size_t Routers = 6;
  const WindowedRetryBudget::Bounds Bounds{0.2, 196, 10s};
  std::vector<WindowedRetryBudget> Budgets(Routers,
                                           WindowedRetryBudget(Bounds, T0));
  // All routers retry all that they may, with a load that stops and returns.
  std::vector<std::pair<Instant, bool>> Taken; // time, whether a retry
  for (int Ms = 0; Ms < 60000; Ms += 20) {
    const Instant Now = T0 + std::chrono::milliseconds(Ms);
    const bool Busy = Ms / 7000 % 2 == 0;
    for (WindowedRetryBudget &Each : Budgets) {
      if (Busy) {
        Each.onFirstAttempt(Now);
        Taken.push_back({Now, false});
      }
      for (int I = 0; I < 3; ++I)
        if (Each.tryConsume(Now, Routers))
          Taken.push_back({Now, true});
    }
  }
  for (int Begin = 0; Begin < 50000; Begin += 250) {
    const Instant From = T0 + std::chrono::milliseconds(Begin);
    double First = 0;
    double Again = 0;
    for (const auto &[At, Retry] : Taken) {
      // First tries count in this window or in the one before.
      if (!Retry && At >= From - 10s && At < From + 10s)
        ++First;
      if (Retry && At >= From && At < From + 10s)
        ++Again;
    }
    CHECK(Again <= Bounds.m_Fraction * First + Bounds.m_Slack);
  }
}

TEST_CASE("retries: a restarted router does not have its slack twice") {
  WindowedRetryBudget Fresh({0.2, 196, 10s}, T0);
  CHECK_FALSE(Fresh.tryConsume(T0, 6));
  int Taken = 0;
  while (Fresh.tryConsume(T0 + 5s, 6))
    ++Taken;
  CHECK(Taken <= 196 / 6 / 2);
}

TEST_CASE("routes: the longest prefix of the host, and versions only rise") {
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
  const auto Kept = Holder.current();
  CHECK(Holder.adopt(config(9)));
  CHECK(Kept->find("one.example", "/a/") != nullptr);
}

TEST_CASE("events are passed on whole, and a cut one is dropped") {
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
