// Routers and limited endpoints on virtual time.
#ifndef MIMOSADALE_BENCH_LIMIT_SIMULATION_H
#define MIMOSADALE_BENCH_LIMIT_SIMULATION_H

#include "decide/request_limits.h"

#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <vector>

namespace mimosadale::bench {

/// How the simulated routers treat limits.
enum class LimitPolicy {
  Shares,    // `RequestLimits`
  Ignore,    // as if no endpoint named one
  Avoid,     // an endpoint that names one gets nothing more
  EvenShares // the limit divided by the number of routers
};

/// Parameters of one run. Times count from the start, in seconds.
struct LimitScenario {
  std::size_t m_Routers = 6;
  std::size_t m_Endpoints = 1; // all behave alike
  LimitPolicy m_Policy = LimitPolicy::Shares;
  double m_Seconds = 30;
  std::uint64_t m_Seed = 1;
  /// Limit that an endpoint names at a time; none for no limit.
  std::function<std::optional<double>(double Time)> m_Limit;
  /// Requests a second for one endpoint that arrive at a router.
  std::function<double(std::size_t Router, double Time)> m_Demand;
  /// Whether a router runs, is known to the others, exchanges notices, stands
  /// still. Defaults: it runs, is known and exchanges notices.
  std::function<bool(std::size_t Router, double Time)> m_Runs;
  std::function<bool(std::size_t Router, double Time)> m_Listed;
  std::function<bool(std::size_t Router, double Time)> m_Connected;
  std::function<bool(std::size_t Router, double Time)> m_Frozen;
  /// Time from a request to the head of its answer.
  double m_AnswerSeconds = 0.05;
};

/// What one endpoint received and what became of the requests for it.
struct LimitOutcome {
  std::vector<std::vector<double>> m_Arrivals; // by endpoint, ascending
  std::vector<std::size_t> m_SentByRouter;
  std::vector<std::size_t> m_TurnedAwayByRouter;
  std::size_t m_NoticeBytes = 0;
};

/// Runs a scenario. Safe from any thread.
LimitOutcome simulateLimits(const LimitScenario &Scenario);

/// The most arrivals in a window of four seconds that ends between two times.
/// \pre \p Arrivals are ascending.
std::size_t mostInWindow(const std::vector<double> &Arrivals, double From,
                         double Until);

} // namespace mimosadale::bench

#endif
