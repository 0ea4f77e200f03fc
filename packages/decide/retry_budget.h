// Budgets that limit retries to a fraction of first attempts.
#ifndef MIMOSADALE_DECIDE_RETRY_BUDGET_H
#define MIMOSADALE_DECIDE_RETRY_BUDGET_H

#include "base/units.h"

#include <array>

namespace mimosadale::decide {

/// A token bucket: each first attempt adds a fraction of a retry, each retry
/// consumes one. The initial reserve lets a router with little traffic recover
/// from the loss of an engine that serves many requests; under sustained
/// overload, retries stay a fraction of the load.
///
/// \par Thread safety
/// None.
class RetryBudget {
public:
  /// \param Fraction retries allowed per first attempt, 0 to 1.
  /// \param Reserve initial and maximum number of available retries.
  explicit RetryBudget(double Fraction, double Reserve = 256);

  /// Records a first attempt. \pre None.
  void onFirstAttempt();

  /// Consumes one retry; false when the budget is exhausted.
  bool tryConsume();

  double remaining() const { return m_Remaining; }

private:
  double m_Fraction;
  double m_Reserve;
  double m_Remaining;
};

/// A bound on retries in every time window, shared by several routers: in any
/// window of `m_Window`, at most `m_Fraction` of the first attempts of the same
/// window plus this router's share of `m_Slack`.
///
/// \par Thread safety
/// None.
class WindowedRetryBudget {
public:
  struct Bounds {
    double m_Fraction = 0.2;
    double m_Slack = 50; // retries per window, over all routers
    Duration m_Window = std::chrono::seconds(10);
  };

  /// \param StartTime of this router. Retries sent before a restart are not
  /// remembered, so its share of the slack grows from zero over the first
  /// window.
  WindowedRetryBudget(Bounds Limits, Instant StartTime)
      : m_Bounds(Limits), m_StartTime(StartTime) {}

  /// Records a first attempt. \pre \p Now does not decrease between calls, here
  /// and below.
  void onFirstAttempt(Instant Now);

  /// Whether the window has room for a retry.
  /// \param Routers number of routers that share the slack, this one included.
  bool allows(Instant Now, std::size_t Routers);

  /// Consumes one retry; false when the window has no room for it.
  bool tryConsume(Instant Now, std::size_t Routers);

private:
  // Buckets per window. One more is kept and counted, so that the bound holds
  // in every window and not only in those aligned to buckets.
  static constexpr std::size_t NumBuckets = 20;

  struct Bucket {
    std::int64_t m_Index = -1;
    unsigned m_FirstAttempts = 0;
    unsigned m_Retries = 0;
  };

  Bucket &bucketAt(Instant Now);

  Bounds m_Bounds;
  Instant m_StartTime;
  std::array<Bucket, NumBuckets + 1> m_Buckets{};
};

} // namespace mimosadale::decide

#endif
