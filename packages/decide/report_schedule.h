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
  WaitedFor, // requests wait for it as their first engine, or it refused one
  OnPath,    // requests wait for some engine of a path that it is on
  Suspect,   // it is distrusted, and may be back
  Ordered,   // an order of this router is in progress at it
  Load,      // how full it is
  Filling,   // the same, of one that fills up
  ForOthers  // whether it is there, and how full, for the other routers
};

/// Who asks the same engines.
struct Askers {
  std::size_t m_Routers = 1; // that there are, this one included
  bool m_ForOthers = false;  // this one passes its reports on
  bool m_Told = false;       // another one's reports come here

  /// Whether this one may pass loads on: a router that asks for itself alone
  /// knows too little for others.
  bool mayTell() const { return m_ForOthers || m_Told; }
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
  bool due(const EndpointId &Engine, ReportReason Why, const Askers &Of,
           Instant Now);

  /// Whether an engine with this part of its room taken counts as filling up.
  static bool filling(double Taken);

private:
  std::map<EndpointId, Instant> m_AskedAt;
};

} // namespace mimosadale::decide

#endif
