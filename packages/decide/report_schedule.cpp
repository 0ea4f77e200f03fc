#include "decide/report_schedule.h"

#include <algorithm>

namespace mimosadale::decide {

namespace {

// Intervals between reports of one engine, by the reason: the first two are
// well below the pause that makes a stream late, in requests of many streams.
constexpr Duration WaitedForInterval = std::chrono::milliseconds(150);
constexpr Duration OnPathInterval = std::chrono::milliseconds(400);
constexpr Duration SuspectInterval = std::chrono::milliseconds(500);
constexpr Duration FillingInterval = std::chrono::milliseconds(400);
constexpr Duration LoadInterval = std::chrono::milliseconds(800);

// The intervals for the load and for a distrusted engine grow with the routers
// that all ask: from this many on in proportion, up to the longest.
constexpr int RoutersOfIntervals = 16;
constexpr Duration LongestSuspectInterval = std::chrono::milliseconds(1500);
constexpr Duration LongestFillingInterval = std::chrono::milliseconds(1000);
constexpr Duration LongestLoadInterval = std::chrono::milliseconds(2000);

// The part taken from which on an engine fills up.
constexpr double FillingPart = 0.6;

// Time after which a report is forgotten: beyond the longest interval.
constexpr Duration ForgetAfter = std::chrono::seconds(10);

Duration grown(Duration Interval, Duration Longest, std::size_t Routers) {
  return std::clamp(Interval * static_cast<int>(Routers) / RoutersOfIntervals,
                    Interval, Longest);
}

Duration intervalOf(ReportReason Why, std::size_t Routers) {
  switch (Why) {
  case ReportReason::WaitedFor:
    return WaitedForInterval;
  case ReportReason::OnPath:
    return OnPathInterval;
  case ReportReason::Suspect:
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
                         std::size_t Routers, Instant Now) {
  const auto Found = m_AskedAt.find(Engine);
  if (Found != m_AskedAt.end() &&
      Now - Found->second < intervalOf(Why, Routers))
    return false;
  std::erase_if(m_AskedAt, [&](const auto &Each) {
    return Now - Each.second > ForgetAfter;
  });
  m_AskedAt[Engine] = Now;
  return true;
}

bool ReportSchedule::filling(double Taken) { return Taken > FillingPart; }

} // namespace mimosadale::decide
