#include "decide/report_schedule.h"

#include <algorithm>

namespace mimosadale::decide {

namespace {

// Intervals between reports of one engine, by the reason: the first two are
// well below the pause that makes a stream late, in requests of many streams.
constexpr Duration AwaitedFirstInterval = std::chrono::milliseconds(150);
constexpr Duration OnPathInterval = std::chrono::milliseconds(400);
constexpr Duration SuspectInterval = std::chrono::milliseconds(500);
constexpr Duration OrderInterval = std::chrono::milliseconds(1000);
constexpr Duration HighUsageInterval = std::chrono::milliseconds(400);
constexpr Duration LoadInterval = std::chrono::milliseconds(800);

// The intervals for the load and for a distrusted engine grow with the routers
// that all ask: from this many on in proportion, up to the longest.
constexpr int RoutersAtBaseInterval = 16;
constexpr Duration MaxSuspectInterval = std::chrono::milliseconds(1500);
constexpr Duration MaxHighUsageInterval = std::chrono::milliseconds(1000);
constexpr Duration MaxLoadInterval = std::chrono::milliseconds(2000);

// The same for a distrusted engine where another router's reports come: they
// show sooner that it is back, unless it is that router that is cut off.
constexpr Duration ReceiverSuspectInterval = std::chrono::seconds(6);

// Interval between reports that a router takes for the others, of engines that
// are not asked for another reason: one lost engine is found by the streams
// that wait for it, long before.
constexpr Duration RelayInterval = std::chrono::seconds(2);

// The part taken from which on an engine fills up.
constexpr double HighUsageFraction = 0.6;

// Time after which a report is forgotten: beyond the longest interval.
constexpr Duration PollRetention = std::chrono::seconds(10);

Duration scaledInterval(Duration Interval, Duration Longest,
                        std::size_t Routers) {
  return std::clamp(Interval * static_cast<int>(Routers) /
                        RoutersAtBaseInterval,
                    Interval, Longest);
}

Duration pollInterval(ReportReason Why, const PollingRole &Of) {
  const std::size_t Routers = Of.m_RelaysReports ? 1 : Of.m_Routers;
  switch (Why) {
  case ReportReason::AwaitedFirst:
    return AwaitedFirstInterval;
  case ReportReason::OnPath:
    return OnPathInterval;
  case ReportReason::OrderInProgress:
    return OrderInterval;
  case ReportReason::Relay:
    return RelayInterval;
  case ReportReason::Suspect:
    if (Of.m_ReceivesReports)
      return ReceiverSuspectInterval;
    return scaledInterval(SuspectInterval, MaxSuspectInterval, Routers);
  case ReportReason::HighUsage:
    return scaledInterval(HighUsageInterval, MaxHighUsageInterval, Routers);
  case ReportReason::Load:
    break;
  }
  return scaledInterval(LoadInterval, MaxLoadInterval, Routers);
}

} // namespace

bool ReportSchedule::takeDuePoll(const EndpointId &Engine, ReportReason Why,
                                 const PollingRole &Of, Instant Now) {
  if (Of.m_ReceivesReports &&
      (Why == ReportReason::Load || Why == ReportReason::HighUsage))
    return false;
  const auto Found = m_PolledAt.find(Engine);
  if (Found != m_PolledAt.end() && Now - Found->second < pollInterval(Why, Of))
    return false;
  std::erase_if(m_PolledAt, [&](const auto &Each) {
    return Now - Each.second > PollRetention;
  });
  m_PolledAt[Engine] = Now;
  return true;
}

bool ReportSchedule::highUsage(double Taken) {
  return Taken > HighUsageFraction;
}

} // namespace mimosadale::decide
