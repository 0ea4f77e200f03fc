#include "decide/report_schedule.h"

#include <algorithm>

namespace mimosadale::decide {

namespace {

// Intervals between polls of one engine, by reason. The first two, in which one
// poll serves many waiting streams, are well below the gap at which a stream
// counts as late.
constexpr Duration AwaitedFirstInterval = std::chrono::milliseconds(150);
constexpr Duration OnPathInterval = std::chrono::milliseconds(400);
constexpr Duration SuspectInterval = std::chrono::milliseconds(500);
constexpr Duration OrderInterval = std::chrono::milliseconds(1000);
constexpr Duration HighUsageInterval = std::chrono::milliseconds(400);
constexpr Duration LoadInterval = std::chrono::milliseconds(800);

// The intervals for the load and for a suspect engine grow in proportion to the
// number of polling routers above this one, up to a maximum.
constexpr int RoutersAtBaseInterval = 16;
constexpr Duration MaxSuspectInterval = std::chrono::milliseconds(1500);
constexpr Duration MaxHighUsageInterval = std::chrono::milliseconds(1000);
constexpr Duration MaxLoadInterval = std::chrono::milliseconds(2000);

// Interval for a suspect engine if another router relays reports: these show
// earlier that the engine has recovered, unless the relaying router is itself
// disconnected from it.
constexpr Duration ReceiverSuspectInterval = std::chrono::seconds(6);

// Interval for reports that are only relayed. A lost engine is detected much
// earlier by the streams that wait for it.
constexpr Duration RelayInterval = std::chrono::seconds(2);

constexpr double HighUsageFraction = 0.6;

// Time for which a poll is remembered: greater than the longest interval.
constexpr Duration PollRetention = std::chrono::seconds(10);

Duration scaledInterval(Duration Interval, Duration Max, std::size_t Routers) {
  return std::clamp(Interval * static_cast<int>(Routers) /
                        RoutersAtBaseInterval,
                    Interval, Max);
}

Duration pollInterval(ReportReason Reason, const PollingRole &Role) {
  const std::size_t Routers = Role.m_RelaysReports ? 1 : Role.m_Routers;
  switch (Reason) {
  case ReportReason::AwaitedFirst:
    return AwaitedFirstInterval;
  case ReportReason::OnPath:
    return OnPathInterval;
  case ReportReason::OrderInProgress:
    return OrderInterval;
  case ReportReason::Relay:
    return RelayInterval;
  case ReportReason::Suspect:
    if (Role.m_ReceivesReports)
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

bool ReportSchedule::takeDuePoll(const EndpointId &Engine, ReportReason Reason,
                                 const PollingRole &Role, Instant Now) {
  if (Role.m_ReceivesReports &&
      (Reason == ReportReason::Load || Reason == ReportReason::HighUsage))
    return false;
  const auto It = m_PolledAt.find(Engine);
  if (It != m_PolledAt.end() && Now - It->second < pollInterval(Reason, Role))
    return false;
  std::erase_if(m_PolledAt, [&](const auto &Poll) {
    return Now - Poll.second > PollRetention;
  });
  m_PolledAt[Engine] = Now;
  return true;
}

bool ReportSchedule::highUsage(double Used) { return Used > HighUsageFraction; }

} // namespace mimosadale::decide
