// Budgets that keep retries a fraction of first tries.
#ifndef MIMOSADALE_DECIDE_RETRY_BUDGET_H
#define MIMOSADALE_DECIDE_RETRY_BUDGET_H

#include "base/units.h"

#include <array>

namespace mimosadale::decide {

/// Each first try pays in a fraction of a retry, each retry takes a whole one.
/// A reserve lets a quiet router recover from the loss of an engine that holds
/// many requests; retries can never multiply a lasting overload.
///
/// \par Thread safety
/// None.
class RetryBudget {
public:
  /// \param Fraction retries allowed a first try, 0 to 1.
  /// \param Reserve most retries saved up.
  explicit RetryBudget(double Fraction, double Reserve = 256);

  /// Notes a first try. \pre None.
  void onFirstAttempt();

  /// Takes one retry; false when the budget is spent.
  bool tryConsume();

  /// Retries left. \pre None.
  double remaining() const { return m_Remaining; }

private:
  double m_Fraction;
  double m_Reserve;
  double m_Remaining;
};

/// A bound on retries in every window of time, shared by several routers: in
/// any window of the length given, at most `Fraction` of the first tries of the
/// same window and this router's part of a slack.
///
/// \par Thread safety
/// None.
class WindowedRetryBudget {
public:
  struct Bounds {
    double m_Fraction = 0.2;
    double m_Slack = 50; // a window, over all routers
    Duration m_Window = std::chrono::seconds(10);
  };

  /// \param Begun when this router started. What it sent before a restart is
  /// not known any more, so its part of the slack grows from nothing over the
  /// first window.
  WindowedRetryBudget(Bounds Limits, Instant StartTime)
      : m_Bounds(Limits), m_StartTime(StartTime) {}

  /// Notes a first try. \pre Time does not go back, here and below.
  void onFirstAttempt(Instant Now);

  /// Whether the window has room for a retry.
  /// \param Routers that share the slack, this one included.
  bool allows(Instant Now, std::size_t Routers);

  /// Takes one retry; false when the window has no room for it.
  bool tryConsume(Instant Now, std::size_t Routers);

private:
  // Parts that a window is counted in; one more part is always looked back on,
  // so that no window of the stated length is exceeded.
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
