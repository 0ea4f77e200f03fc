// One forwarded request, carried out.
#ifndef MIMOSADALE_FORWARD_FORWARD_CALL_H
#define MIMOSADALE_FORWARD_FORWARD_CALL_H

#include "decide/forward_run.h"
#include "decide/path_repair.h"
#include "decide/pause_policy.h"
#include "forward/event_splitter.h"
#include "forward/forward_state.h"
#include "net/server.h"
#include "platform/request_headers.h"

#include <boost/asio/awaitable.hpp>
#include <optional>

namespace mimosadale::forward {

/// Takes one request from its header to its last byte.
///
/// \par Thread safety
/// None; lives in one coroutine of the router's thread.
class ForwardCall {
public:
  /// \pre Both outlive this object.
  ForwardCall(ForwardState &Shared, net::HttpExchange &Exchange);
  ~ForwardCall();
  ForwardCall(const ForwardCall &) = delete;
  ForwardCall &operator=(const ForwardCall &) = delete;

  /// Serves the request.
  boost::asio::awaitable<void> serve();

  /// Ends what has run out of time. \pre Called a few times a second.
  void onTick(Instant Now);

  /// The engines of the present path if the request waits for them longer than
  /// it should; null otherwise.
  const decide::Path *overduePath() const;

  const RequestId &request() const { return m_Facts.m_Id; }

  /// One line on a request that the end of the router leaves without its end.
  void logLeft() const;

private:
  // Where a request is sent.
  struct Target {
    EndpointId m_Endpoint;
    net::Address m_Address;
    decide::Path m_Path; // of chained engines
  };

  // Why this router ended a send before the endpoint did.
  enum class Ended { No, Timeout, CallerGone, EngineLost };

  Duration comeBack();
  bool prepare();
  bool cutByStop() const;
  std::optional<Target> chooseTarget();
  std::optional<Target> chooseChain();
  Target targetOf(const decide::Chain &Of) const;
  std::optional<Target> choosePlain();
  std::string describe(const decide::Chain &Of) const;
  void logSend(const decide::Chain &To) const;
  void logNoChain() const;
  void onRefusal(const decide::FleetEndpoint &At, unsigned Status);
  void logRefusing(const decide::FleetEndpoint &At) const;
  void logRefusal(const decide::FleetEndpoint *At, const std::string &Address,
                  unsigned Status) const;
  boost::asio::awaitable<std::optional<decide::ForwardStep>> sendTo(Target To);
  boost::asio::awaitable<std::optional<decide::ForwardStep>>
  exchange(Target To);
  boost::asio::awaitable<std::optional<decide::ForwardStep>>
  passOn(net::UpstreamExchange &From, net::HttpResponse Head);
  boost::asio::awaitable<std::optional<decide::ForwardStep>>
  passOnEvents(net::UpstreamExchange &From);
  boost::asio::awaitable<bool> carryOut(decide::ForwardStep Step);
  decide::ForwardStep fault(decide::SendFault How,
                            const decide::EndpointSet &Lost = {});
  decide::ForwardStep faultAt(const std::string &Address, unsigned Status);
  decide::ForwardStep ended();
  boost::asio::awaitable<void> toCaller(boost::asio::awaitable<void> Write);
  decide::PauseFacts pauseFacts(Instant Now) const;
  bool goElsewhere(Instant Now);
  boost::asio::awaitable<bool> awaitPlace();
  const decide::Chain *findChain(const decide::EndpointSet &Avoid, Instant Now);
  bool reserveWithRetry(const decide::EndpointSet &Avoid, Instant Now);
  std::optional<Target> takeReserved();
  void releaseReserved();
  bool repair(decide::RepairReach Reach, Instant Now);
  void repairOrMove(const decide::PauseFacts &Facts, Instant Now);
  boost::asio::awaitable<void> orderPath(decide::Path Fresh);
  void onPathOrdered(const decide::Path &Fresh, unsigned Status,
                     const std::string &FaultAddress);
  boost::asio::awaitable<void> refuse(decide::Refusal Why);
  net::HttpRequest encode(const Target &To) const;
  bool isOurs(const net::HttpResponse &Head, bool Kept) const;
  void charge(const Target &To, int Sign);
  void chargeMemory(const Target &To, int Sign);
  void end(Ended Why);
  void logOutcome(const std::string &Outcome, unsigned Status);

  ForwardState &m_Shared;
  std::shared_ptr<std::set<ForwardCall *>> m_Calls;
  net::HttpExchange &m_Exchange;
  const Instant m_Arrived;
  platform::RequestHeaders m_Facts;
  std::shared_ptr<const decide::RouteTable> m_Routes;
  const decide::Route *m_Route = nullptr;
  const decide::WorkspaceKeys *m_Workspace = nullptr;
  ServiceId m_Service;
  std::optional<decide::ForwardRun> m_Run;
  std::optional<decide::Refusal> m_Refused; // before any send
  Target m_Target;                          // of the present send
  std::function<void()> m_Cancel;           // of the present send
  Ended m_Ended = Ended::No;
  bool m_CallerGone = false;
  bool m_Waiting = false; // for the endpoint
  bool m_Connecting = false;
  Instant m_SentAt{};
  Instant m_LastProgress{};
  bool m_EventSeen = false;  // of the present send
  bool m_Overdue = false;    // the engines of its path are to be asked
  bool m_RetryTaken = false; // from the budget, before the present send ended
  std::optional<Target> m_Reserved; // room taken there, likewise
  bool m_Charged = false;           // the next send's room is taken already
  bool m_Repairing = false;         // an order to change its path is under way
  unsigned m_Repairs = 0;           // such orders for the present send
  decide::EndpointSet m_Unfit;      // engines that could not take a part of it
  EventSplitter m_Events;
  std::optional<net::HttpResponse> m_Failure; // the endpoint's own, whole
  std::optional<Instant> m_FirstEvent;
  unsigned m_EventCount = 0;
  Duration m_LongestPause{}; // between two events
  Instant m_LastEvent{};
};

} // namespace mimosadale::forward

#endif
