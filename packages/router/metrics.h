// Counters, gauges and histograms, exported through prometheus-cpp.
#ifndef MIMOSADALE_ROUTER_METRICS_H
#define MIMOSADALE_ROUTER_METRICS_H

#include "base/units.h"
#include "schema/generated/reason.pb.h"

#include <memory>
#include <string>

namespace mimosadale::router {

/// The duration that a histogram records.
enum class Timing { FirstToken, BetweenTokens, Recovery, Decision, Claim };

/// All metrics that `/metrics` returns. The counters of all refusal and retry
/// reasons exist from the start, with the value 0.
///
/// \par Thread safety
/// Safe from any thread.
class Metrics {
public:
  Metrics();
  ~Metrics();

  /// Counts a refused request. \pre None.
  void countRefusal(schema::Reason Reason);

  /// Counts a retried call. \pre None.
  void countRetry(schema::RetryReason Reason);

  /// Counts a reply that belongs to no call in progress. \p Mismatch names the
  /// field that did not match.
  void countDroppedReply(const std::string &Mismatch);

  /// Adds to the counter of an event. The names are listed in
  /// docs/OPERATORS.md.
  void countEvent(const std::string &Event, double Amount = 1);

  /// Sets a gauge. The names are listed in docs/OPERATORS.md.
  void setGauge(const std::string &Name, double Value);

  /// Records a duration in a histogram. \pre None.
  void recordDuration(Timing Kind, Duration Elapsed);

  /// Returns all metrics in the Prometheus text format.
  std::string render() const;

private:
  class Families;
  std::unique_ptr<Families> m_Families;
};

} // namespace mimosadale::router

#endif
