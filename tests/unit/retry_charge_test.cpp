// Every way in which a request reaches an endpoint once more, and the retry
// budget that it is charged to.
#include "decide/forward_run.h"
#include "decide/path_chooser.h"
#include "decide/retry_budget.h"

#include <algorithm>
#include <deque>
#include <doctest/doctest.h>

using namespace mimosadale;
using namespace mimosadale::decide;
using namespace std::chrono_literals;

namespace {

constexpr Instant T0{1000s};

constexpr AttemptFault Faults[] = {
    AttemptFault::NotSent, AttemptFault::ReportedNotRun, AttemptFault::Failed,
    AttemptFault::Broken, AttemptFault::Stalled};

constexpr unsigned MaxExploredSends = 5;

ForwardParams resumableStream(unsigned MaxEndpoints) {
  ForwardParams Params;
  Params.m_Kind = CallKind::Stream;
  Params.m_Resumable = true;
  Params.m_MaxEndpoints = MaxEndpoints;
  Params.m_Deadline = Params.m_Timeout = T0 + 1h;
  return Params;
}

struct Account {
  unsigned m_Arrivals = 0; // at endpoints
  unsigned m_Retries = 0;  // taken from the budget
};

// Explores all orders of faults, with a budget that has a retry or has none at
// each of them.
void exploreCharges(const ForwardRun &Run, const Account &Before,
                    unsigned Depth, unsigned &States) {
  ++States;
  if (Depth == MaxExploredSends)
    return;
  for (const AttemptFault Fault : Faults)
    for (const bool HeadSent : {false, true})
      for (const bool HasBudget : {false, true}) {
        ForwardRun Next = Run;
        Account Now = Before;
        const auto TakeRetry = [&] {
          Now.m_Retries += HasBudget ? 1 : 0;
          return HasBudget;
        };
        if (!Next.chargeSend(TakeRetry)) {
          CHECK_FALSE(HasBudget);
          continue; // it must not be sent
        }
        Next.beforeAttempt(EndpointId("e" + std::to_string(Depth)));
        Now.m_Arrivals += Fault == AttemptFault::NotSent ? 0 : 1;
        REQUIRE(Now.m_Arrivals <= 1 + Now.m_Retries);
        if (HeadSent)
          Next.onHeadDelivered();
        const ForwardAction Step = Next.onFault(Fault, {}, T0, TakeRetry);
        if (std::holds_alternative<RetryForward>(Step))
          exploreCharges(Next, Now, Depth + 1, States);
        if (std::holds_alternative<AwaitEndpoint>(Step)) {
          Next.onAwaitEndpoint();
          exploreCharges(Next, Now, Depth + 1, States);
        }
      }
}

// Routers with retry budgets, before endpoints that refuse or break off most of
// what they get. Some routers reach no endpoint and hand their requests over.
class RetryFleet {
public:
  RetryFleet(std::size_t Routers, double CutShare, unsigned Seed)
      : m_Rng(Seed), m_CutRouters(static_cast<std::size_t>(
                         std::min(static_cast<double>(Routers - 1),
                                  CutShare * static_cast<double>(Routers)))) {
    for (std::size_t I = 0; I < Routers; ++I)
      m_Budgets.emplace_back(Limits, T0 - Limits.m_Window);
  }

  // \returns the most repeats beyond what is allowed in any window.
  double run(Duration Time) {
    double Worst = -Limits.m_Slack;
    for (Instant Now = T0; Now < T0 + Time; Now += Step) {
      for (std::size_t Router = 0; Router < m_Budgets.size(); ++Router)
        if (draw() < RequestsPerStep)
          serve(Router, Now);
      while (!m_Repeats.empty() && m_Repeats.front() + Limits.m_Window < Now)
        m_Repeats.pop_front();
      while (!m_Requests.empty() && m_Requests.front() + Limits.m_Window < Now)
        m_Requests.pop_front();
      Worst = std::max(Worst, static_cast<double>(m_Repeats.size()) -
                                  Limits.m_Fraction *
                                      static_cast<double>(m_Requests.size()) -
                                  Limits.m_Slack);
    }
    return Worst;
  }

  std::size_t repeats() const { return m_TotalRepeats; }

private:
  static constexpr WindowedRetryBudget::Bounds Limits{0.2, 50, 10s};
  static constexpr Duration Step = 20ms;
  static constexpr double RequestsPerStep = 0.2;
  static constexpr unsigned MaxPeers = 3;
  static constexpr unsigned MaxWaits = 6;

  double draw() { return std::uniform_real_distribution<double>(0, 1)(m_Rng); }
  bool isCut(std::size_t Router) const { return Router < m_CutRouters; }

  std::function<bool()> budgetOf(std::size_t Router, Instant Now) {
    return [this, Router, Now] {
      return m_Budgets[Router].tryConsume(Now, m_Budgets.size());
    };
  }

  void arrive(unsigned &Arrivals, Instant Now) {
    if (Arrivals++ == 0)
      return;
    m_Repeats.push_back(Now);
    ++m_TotalRepeats;
  }

  AttemptFault drawFault() {
    return Faults[std::uniform_int_distribution<std::size_t>(0, 4)(m_Rng)];
  }

  void serve(std::size_t First, Instant Now) {
    m_Requests.push_back(Now);
    ForwardRun Run(resumableStream(4));
    unsigned Arrivals = 0;
    unsigned PeersTried = 0;
    unsigned Waits = 0;
    if (!isCut(First) && Run.takeFirstAttempt())
      m_Budgets[First].onFirstAttempt(Now);
    while (Run.chargeSend(budgetOf(First, Now))) {
      if (draw() < 0.1)
        return; // served
      ForwardAction Step;
      if (isCut(First)) {
        if (PeersTried++ == MaxPeers)
          return;
        Step = handOver(First, Run, Arrivals, Now);
      } else {
        Run.beforeAttempt(EndpointId("e"));
        const AttemptFault Fault = drawFault();
        if (Fault != AttemptFault::NotSent)
          arrive(Arrivals, Now);
        if (draw() < 0.5)
          Run.onHeadDelivered();
        Step = Run.onFault(Fault, {}, Now, budgetOf(First, Now));
      }
      if (std::holds_alternative<AwaitEndpoint>(Step)) {
        if (Waits++ == MaxWaits)
          return;
        Run.onAwaitEndpoint();
      } else if (!std::holds_alternative<RetryForward>(Step)) {
        return;
      }
    }
  }

  // A peer that reaches the endpoints sends the request until it gives up.
  ForwardAction handOver(std::size_t First, ForwardRun &Run, unsigned &Arrivals,
                         Instant Now) {
    const std::size_t Peer = std::uniform_int_distribution<std::size_t>(
        m_CutRouters, m_Budgets.size() - 1)(m_Rng);
    ForwardParams Params = resumableStream(Run.endpointsLeft());
    Params.m_IsCounted = Run.isCounted();
    Run.beforeAttempt(EndpointId("router:" + std::to_string(Peer)));
    ForwardRun There(Params);
    bool MayHaveRun = false;
    while (There.chargeSend(budgetOf(Peer, Now))) {
      const AttemptFault Fault = drawFault();
      if (There.takeFirstAttempt())
        m_Budgets[Peer].onFirstAttempt(Now);
      There.beforeAttempt(EndpointId("e" + std::to_string(There.attempts())));
      if (Fault != AttemptFault::NotSent)
        arrive(Arrivals, Now);
      MayHaveRun = MayHaveRun || (Fault != AttemptFault::NotSent &&
                                  Fault != AttemptFault::ReportedNotRun);
      if (!std::holds_alternative<RetryForward>(
              There.onFault(Fault, {}, Now, budgetOf(Peer, Now))))
        break;
    }
    if (There.attempts() > 0)
      Run.onCountedElsewhere();
    if (MayHaveRun && draw() < 0.5)
      Run.onHeadDelivered();
    return Run.onFault(MayHaveRun              ? AttemptFault::Broken
                       : There.attempts() == 0 ? AttemptFault::NotSent
                                               : AttemptFault::ReportedNotRun,
                       {}, Now, budgetOf(First, Now));
  }

  Random m_Rng;
  std::size_t m_CutRouters;
  std::vector<WindowedRetryBudget> m_Budgets;
  std::deque<Instant> m_Requests; // of the last window
  std::deque<Instant> m_Repeats;  // the same, arrivals beyond the first
  std::size_t m_TotalRepeats = 0;
};

} // namespace

// Guards against sends that no budget is charged for, on any path.
TEST_CASE("a request is sent, fails and waits in any order: all arrivals at "
          "endpoints but the first are charged") {
  unsigned States = 0;
  exploreCharges(ForwardRun(resumableStream(4)), {}, 0, States);
  CHECK(States > 10000);
}

// Guards against fleets that exceed the retry budget, while endpoints refuse
// and routers that reach none of them hand their requests over.
TEST_CASE("endpoints fail most requests, and part of the routers hand over: "
          "the fleet keeps its retry budget") {
  for (const std::size_t Routers : {2u, 6u, 23u, 76u})
    for (const double CutShare : {0.0, 0.33, 0.9})
      for (const unsigned Seed : {1u, 2u}) {
        CAPTURE(Routers);
        CAPTURE(CutShare);
        CAPTURE(Seed);
        RetryFleet Fleet(Routers, CutShare, Seed);
        CHECK(Fleet.run(30s) <= 0);
        CHECK(Fleet.repeats() > Routers);
      }
}
