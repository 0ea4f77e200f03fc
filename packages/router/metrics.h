// Counters and histograms, by prometheus-cpp.
#ifndef MIMOSADALE_ROUTER_METRICS_H
#define MIMOSADALE_ROUTER_METRICS_H

#include "base/units.h"
#include "schema/generated/reason.pb.h"

#include <memory>
#include <string>

namespace mimosadale::router {

/// What a histogram measures.
enum class Timing { FirstToken, BetweenTokens, Recovery, Decision, Claim };

/// Everything that `/metrics` shows. Each refusal and retry reason has its
/// counter from the start, at zero.
///
/// \par Thread safety
/// Safe from any thread.
class Metrics {
public:
  Metrics();
  ~Metrics();

  /// Counts a refusal. \pre None.
  void countRefusal(schema::Reason Reason);

  /// Counts a retry. \pre None.
  void countRetry(schema::RetryReason Reason);

  /// Counts a reply that fits no call; \p Reason is what did not match.
  void countDroppedReply(const std::string &Mismatch);

  /// Counts an event of one of the fixed names in docs/OPERATORS.md.
  void countEvent(const std::string &Event, double Amount = 1);

  /// Sets a gauge of one of the fixed names in docs/OPERATORS.md.
  void setGauge(const std::string &Name, double Value);

  /// Adds a duration. \pre None.
  void recordDuration(Timing Kind, Duration Elapsed);

  /// All metrics in the text format of Prometheus.
  std::string render() const;

private:
  class Families;
  std::unique_ptr<Families> m_Families;
};

} // namespace mimosadale::router

#endif
