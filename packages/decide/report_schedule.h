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
  Load,      // how full it is
  Filling    // the same, of one that fills up
};

/// Bounds how often each engine is asked.
///
/// \par Thread safety
/// None.
class ReportSchedule {
public:
  /// Whether \p Engine is to be asked now; if so, that is noted. The more
  /// routers ask the same engines, the less often each asks for their load.
  bool due(const EndpointId &Engine, ReportReason Why, std::size_t Routers,
           Instant Now);

  /// Whether an engine with this part of its room taken counts as filling up.
  static bool filling(double Taken);

private:
  std::map<EndpointId, Instant> m_AskedAt;
};

} // namespace mimosadale::decide

#endif
