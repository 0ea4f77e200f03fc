// When engines are asked for their reports.
#ifndef MIMOSADALE_DECIDE_REPORT_SCHEDULE_H
#define MIMOSADALE_DECIDE_REPORT_SCHEDULE_H

#include "base/id.h"
#include "base/units.h"

#include <cstddef>
#include <map>

namespace mimosadale::decide {

/// Why an engine is asked.
enum class ReportReason {
  AwaitedFirst, // requests wait for it as their first engine, or it refused one
  OnPath,       // requests wait for some engine of a path that it is on
  Suspect,      // it is distrusted, and may be back
  OrderInProgress, // an order of this router is in progress at it
  Load,            // how full it is
  HighUsage,       // the same, of one that fills up
  Relay            // whether it is there, and how full, for the other routers
};

/// Who asks the same engines.
struct PollingRole {
  std::size_t m_Routers = 1;      // that there are, this one included
  bool m_RelaysReports = false;   // this one passes its reports on
  bool m_ReceivesReports = false; // another one's reports come here

  /// Whether this one may pass loads on: a router that asks for itself alone
  /// knows too little for others.
  bool canShareLoads() const { return m_RelaysReports || m_ReceivesReports; }
};

/// Bounds how often each engine is asked.
///
/// \par Thread safety
/// None.
class ReportSchedule {
public:
  /// Whether \p Engine is to be asked now; if so, that is noted. The more
  /// routers ask the same engines, the less often each asks for their load; one
  /// that is told of it does not ask.
  bool takeDuePoll(const EndpointId &Engine, ReportReason Why,
                   const PollingRole &Of, Instant Now);

  /// Whether an engine with this part of its room taken counts as filling up.
  static bool highUsage(double Taken);

private:
  std::map<EndpointId, Instant> m_PolledAt;
};

} // namespace mimosadale::decide

#endif
