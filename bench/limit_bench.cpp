// What callers lose at endpoints that name limits, by how routers treat them:
// on virtual time, one endpoint, demand above its limit.
#include "support/limit_simulation.h"

#include <cstdio>
#include <numeric>

using namespace mimosadale::bench;

namespace {

constexpr double NamedAt = 5;
constexpr double MeasuredFrom = 15;
constexpr double EndAt = 60;
constexpr double DemandPerRouter = 1.75;
constexpr double MinDemand = 60;

struct Pattern {
  const char *m_Name;
  // Share of the demand at the first router; the others share the rest.
  double m_FirstShare;
};

void measure(std::size_t Routers, double PerSecond, const Pattern &Traffic,
             const char *Name, LimitPolicy Policy) {
  const double Total =
      std::max(MinDemand, DemandPerRouter * static_cast<double>(Routers));
  const double First = Traffic.m_FirstShare > 0
                           ? Traffic.m_FirstShare
                           : 1 / static_cast<double>(Routers);
  LimitScenario Scenario;
  Scenario.m_Routers = Routers;
  Scenario.m_Policy = Policy;
  Scenario.m_Seconds = EndAt;
  Scenario.m_Limit = [=](double Time) {
    return Time < NamedAt ? std::nullopt : std::optional(PerSecond);
  };
  Scenario.m_Demand = [=](std::size_t Router, double) {
    return Router == 0 ? Total * First
                       : Total * (1 - First) / static_cast<double>(Routers - 1);
  };
  const LimitOutcome Outcome = simulateLimits(Scenario);
  const auto &Arrivals = Outcome.m_Arrivals.front();
  std::size_t Received = 0;
  for (const double At : Arrivals)
    Received += At >= MeasuredFrom ? 1 : 0;
  const std::size_t Sent =
      std::accumulate(Outcome.m_SentByRouter.begin(),
                      Outcome.m_SentByRouter.end(), std::size_t{0});
  const std::size_t TurnedAway =
      std::accumulate(Outcome.m_TurnedAwayByRouter.begin(),
                      Outcome.m_TurnedAwayByRouter.end(), std::size_t{0});
  std::printf(
      "%7zu %6.1f %-7s %-7s %8.2f %8.2f %8zu %9.1f %12.0f\n", Routers,
      PerSecond, Traffic.m_Name, Name,
      static_cast<double>(Received) / (EndAt - MeasuredFrom) / PerSecond,
      static_cast<double>(TurnedAway) / static_cast<double>(Sent + TurnedAway),
      mostInWindow(Arrivals, NamedAt + 5, EndAt), 6 * PerSecond + 5,
      static_cast<double>(Outcome.m_NoticeBytes) /
          static_cast<double>(Routers) / (EndAt - NamedAt));
}

} // namespace

int main() {
  std::printf(
      "routers  limit traffic policy  used     turned   most in  "
      "allowed   bytes a second\n"
      "         per s                 of it    away     4 s             "
      "   and router\n");
  for (const std::size_t Routers : {6u, 30u, 68u, 195u})
    for (const double PerSecond : {0.3, 1.0, 4.4, 20.0})
      for (const Pattern &Traffic :
           {Pattern{"even", 0}, Pattern{"skewed", 0.9}})
        for (const auto &[Name, Policy] :
             {std::pair{"ignore", LimitPolicy::Ignore},
              std::pair{"avoid", LimitPolicy::Avoid},
              std::pair{"divide", LimitPolicy::EvenShares},
              std::pair{"shares", LimitPolicy::Shares}})
          measure(Routers, PerSecond, Traffic, Name, Policy);
}
