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

// The interval for the load grows with the routers that all ask: from this many
// on in proportion, up to the longest.
constexpr int RoutersOfLoadInterval = 16;
constexpr Duration LongestLoadInterval = std::chrono::milliseconds(2000);

// The part taken from which on an engine fills up.
constexpr double FillingPart = 0.6;

// Time after which a report is forgotten: beyond the longest interval.
constexpr Duration ForgetAfter = std::chrono::seconds(10);

Duration intervalOf(ReportReason Why, std::size_t Routers) {
  switch (Why) {
  case ReportReason::WaitedFor:
    return WaitedForInterval;
  case ReportReason::OnPath:
    return OnPathInterval;
  case ReportReason::Suspect:
    return SuspectInterval;
  case ReportReason::Filling:
    return FillingInterval;
  case ReportReason::Load:
    break;
  }
  return std::clamp(LoadInterval * static_cast<int>(Routers) /
                        RoutersOfLoadInterval,
                    LoadInterval, LongestLoadInterval);
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
