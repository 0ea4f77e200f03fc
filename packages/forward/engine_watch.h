// Polls engines for reports on stalled requests, liveness and load.
#ifndef MIMOSADALE_FORWARD_ENGINE_WATCH_H
#define MIMOSADALE_FORWARD_ENGINE_WATCH_H

#include "decide/report_schedule.h"
#include "forward/forward_state.h"
#include "platform/endpoint_codec.h"

#include <boost/asio/awaitable.hpp>
#include <optional>

namespace mimosadale::forward {

/// Polls the engines' reports and enforces the time limits of all calls.
///
/// \par Thread safety
/// None; runs on the router's thread.
class EngineWatch {
public:
  explicit EngineWatch(ForwardState &State) : m_State(State) {}

  /// Checks at a fixed interval until the router exits.
  boost::asio::awaitable<void> run();

private:
  void tick();
  void pollOverdue(Instant Now);
  void pollOrdered(Instant Now);
  void pollRefusing(Instant Now);
  void pollBroken(Instant Now);
  void pollSuspects(Instant Now);
  void pollLoads(Instant Now);
  void pollForPeers(Instant Now);
  void pollIfDue(const EndpointId &Endpoint, decide::ReportReason Reason,
                 Instant Now);
  boost::asio::awaitable<void> poll(EndpointId Endpoint);
  void onReport(const EndpointId &Endpoint,
                const platform::EngineReport &Report);

  ForwardState &m_State;
  decide::ReportSchedule m_Schedule;
};

} // namespace mimosadale::forward

#endif
