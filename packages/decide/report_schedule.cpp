#include "decide/report_schedule.h"

#include <algorithm>

namespace mimosadale::decide {

namespace {

// Intervals between reports of one engine, by the reason: the first two are
// well below the pause that makes a stream late, in requests of many streams.
constexpr Duration WaitedForInterval = std::chrono::milliseconds(150);
constexpr Duration OnPathInterval = std::chrono::milliseconds(400);
constexpr Duration SuspectInterval = std::chrono::milliseconds(500);
constexpr Duration OrderedInterval = std::chrono::milliseconds(1000);
constexpr Duration FillingInterval = std::chrono::milliseconds(400);
constexpr Duration LoadInterval = std::chrono::milliseconds(800);

// The intervals for the load and for a distrusted engine grow with the routers
// that all ask: from this many on in proportion, up to the longest.
constexpr int RoutersOfIntervals = 16;
constexpr Duration LongestSuspectInterval = std::chrono::milliseconds(1500);
constexpr Duration LongestFillingInterval = std::chrono::milliseconds(1000);
constexpr Duration LongestLoadInterval = std::chrono::milliseconds(2000);

// The same for a distrusted engine where another router's reports come: they
// show sooner that it is back, unless it is that router that is cut off.
constexpr Duration ToldSuspectInterval = std::chrono::seconds(6);

// Interval between reports that a router takes for the others, of engines that
// are not asked for another reason: one lost engine is found by the streams
// that wait for it, long before.
constexpr Duration ForOthersInterval = std::chrono::seconds(2);

// The part taken from which on an engine fills up.
constexpr double FillingPart = 0.6;

// Time after which a report is forgotten: beyond the longest interval.
constexpr Duration ForgetAfter = std::chrono::seconds(10);

Duration grown(Duration Interval, Duration Longest, std::size_t Routers) {
  return std::clamp(Interval * static_cast<int>(Routers) / RoutersOfIntervals,
                    Interval, Longest);
}

Duration intervalOf(ReportReason Why, const Askers &Of) {
  const std::size_t Routers = Of.m_ForOthers ? 1 : Of.m_Routers;
  switch (Why) {
  case ReportReason::WaitedFor:
    return WaitedForInterval;
  case ReportReason::OnPath:
    return OnPathInterval;
  case ReportReason::Ordered:
    return OrderedInterval;
  case ReportReason::ForOthers:
    return ForOthersInterval;
  case ReportReason::Suspect:
    if (Of.m_Told)
      return ToldSuspectInterval;
    return grown(SuspectInterval, LongestSuspectInterval, Routers);
  case ReportReason::Filling:
    return grown(FillingInterval, LongestFillingInterval, Routers);
  case ReportReason::Load:
    break;
  }
  return grown(LoadInterval, LongestLoadInterval, Routers);
}

} // namespace

bool ReportSchedule::due(const EndpointId &Engine, ReportReason Why,
                         const Askers &Of, Instant Now) {
  if (Of.m_Told && (Why == ReportReason::Load || Why == ReportReason::Filling))
    return false;
  const auto Found = m_AskedAt.find(Engine);
  if (Found != m_AskedAt.end() && Now - Found->second < intervalOf(Why, Of))
    return false;
  std::erase_if(m_AskedAt, [&](const auto &Each) {
    return Now - Each.second > ForgetAfter;
  });
  m_AskedAt[Engine] = Now;
  return true;
}

bool ReportSchedule::filling(double Taken) { return Taken > FillingPart; }

} // namespace mimosadale::decide
