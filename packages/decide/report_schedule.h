// Schedules the polls of engines for their load reports.
#ifndef MIMOSADALE_DECIDE_REPORT_SCHEDULE_H
#define MIMOSADALE_DECIDE_REPORT_SCHEDULE_H

#include "base/id.h"
#include "base/units.h"

#include <cstddef>
#include <map>

namespace mimosadale::decide {

/// Reason an engine is polled.
enum class ReportReason {
  AwaitedFirst,    // requests wait for it as first stage, or it refused one
  OnPath,          // requests wait for an engine of a path that includes it
  Suspect,         // it is suspect and may have recovered
  OrderInProgress, // it executes a layer order of this router
  Load,            // its load is needed
  HighUsage,       // its load is needed, and its memory usage is high
  Relay            // its report is relayed to the other routers
};

/// Role of this router among those that need the reports of the same engines.
struct PollingRole {
  std::size_t m_Routers = 1;      // number of all routers, this one included
  bool m_RelaysReports = false;   // this router relays to the others
  bool m_ReceivesReports = false; // another router relays to this one

  /// Whether this router may answer requests for load digests. A router that
  /// polls for itself alone has the reports of too few engines.
  bool canShareLoads() const { return m_RelaysReports || m_ReceivesReports; }
};

/// Limits how often each engine is polled.
///
/// \par Thread safety
/// None.
class ReportSchedule {
public:
  /// Whether a poll of \p Engine is due now; if so, records it as sent. The
  /// more routers poll the same engines, the longer the interval of polls for
  /// load. A router to which reports are relayed sends none for load.
  bool takeDuePoll(const EndpointId &Engine, ReportReason Reason,
                   const PollingRole &Role, Instant Now);

  /// Whether the fraction \p Used of an engine's memory counts as high usage.
  static bool highUsage(double Used);

private:
  std::map<EndpointId, Instant> m_PolledAt;
};

} // namespace mimosadale::decide

#endif
