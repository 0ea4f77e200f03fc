// Forwarding of one request.
#ifndef MIMOSADALE_FORWARD_FORWARD_CALL_H
#define MIMOSADALE_FORWARD_FORWARD_CALL_H

#include "decide/answer_rule.h"
#include "decide/forward_run.h"
#include "decide/path_repair.h"
#include "decide/stall_policy.h"
#include "forward/event_splitter.h"
#include "forward/forward_state.h"
#include "forward/hand_over.h"
#include "net/server.h"
#include "platform/request_headers.h"

#include <boost/asio/awaitable.hpp>
#include <optional>

namespace mimosadale::forward {

/// Forwards one request and relays its answer, over several attempts if needed.
///
/// \par Thread safety
/// None; used by one coroutine on the router's thread.
class ForwardCall {
public:
  /// Who sent the request: a caller, or a router that reaches no endpoint for
  /// it. The latter is not handed on.
  enum class Sender { Caller, Router };

  /// \pre Both references outlive this object.
  ForwardCall(ForwardState &State, net::HttpExchange &Exchange, Sender From);
  ~ForwardCall();
  ForwardCall(const ForwardCall &) = delete;
  ForwardCall &operator=(const ForwardCall &) = delete;

  boost::asio::awaitable<void> serve();

  /// Aborts the attempt if a time limit has passed.
  /// \pre Called several times a second.
  void onTick(Instant Now);

  /// The path of the current attempt if its engines are overdue; null
  /// otherwise.
  const decide::Path *overduePath() const;

  const RequestId &request() const { return m_RequestHeaders.m_Id; }

  /// Logs a request that is still in progress when the router exits.
  void logUnfinished() const;

private:
  // Where an attempt goes.
  struct Target {
    EndpointId m_Endpoint;
    net::Address m_Address;
    decide::Path m_Path; // empty for a plain service
    PeerId m_Router; // that the request is handed to, instead of an endpoint
  };

  // Why this router aborted an attempt before the endpoint ended it.
  enum class AbortReason { None, Timeout, CallerGone, EngineLost };

  Duration retryAfter();
  decide::ForwardAction onNoTarget();
  bool prepare();
  bool knowsOlderConfig() const;
  bool admit();
  bool refuseBeforeAttempt(schema::Reason Reason, const char *Detail,
                           std::optional<Duration> RetryAfter = std::nullopt);
  bool refuseByConfig(schema::Reason Reason, const char *Detail);
  std::optional<ServiceId> pickService();
  void countFirstAttempt();
  bool outlastsDrain() const;
  std::optional<Target> chooseTarget();
  std::optional<Target> chooseEndpoint();
  std::optional<Target> choosePeer();
  bool mayHandOver() const;
  bool callerLeft();
  bool outlastsCaller(Instant Now) const;
  void recordSend() const;
  void recordAbandoned(std::size_t UnacknowledgedBytes) const;
  bool takeRetry();
  bool chargeSend();
  std::optional<Target> chooseChain();
  Target targetOf(const decide::Chain &Chain) const;
  std::optional<Target> choosePlainTarget();
  std::string describe(const decide::Chain &Chain) const;
  void logChosenChain(const decide::Chain &Chain) const;
  void logNoChain() const;
  void onRefusal(const decide::FleetEndpoint &Engine, unsigned Status);
  void logRefusingEngine(const decide::FleetEndpoint &Engine) const;
  void logRefusal(const decide::FleetEndpoint *Engine,
                  const std::string &Address, unsigned Status) const;
  boost::asio::awaitable<std::optional<decide::ForwardAction>>
  attempt(Target To);
  boost::asio::awaitable<std::optional<decide::ForwardAction>>
  runExchange(Target To);
  decide::AnswerProperties
  answerProperties(const net::HttpResponse &Head,
                   const platform::ResponseHeaders &Announced) const;
  boost::asio::awaitable<std::optional<decide::ForwardAction>>
  relay(net::UpstreamExchange &Upstream, net::HttpResponse Head,
        platform::ResponseHeaders Announced);
  boost::asio::awaitable<std::optional<decide::ForwardAction>>
  relayFromPeer(net::UpstreamExchange &Upstream, net::HttpResponse Head,
                platform::ResponseHeaders Announced);
  boost::asio::awaitable<void> readBody(net::UpstreamExchange &Upstream,
                                        std::string &Body);
  boost::asio::awaitable<std::optional<decide::ForwardAction>>
  relayEvents(net::UpstreamExchange &Upstream);
  boost::asio::awaitable<bool> applyStep(decide::ForwardAction Step);
  decide::ForwardAction onFault(decide::AttemptFault Fault,
                                const decide::EndpointSet &Lost = {});
  decide::ForwardAction onFaultAt(const std::string &Address, unsigned Status);
  decide::ForwardAction stepAfterError(const net::NetError &Err);
  void onConnectFailed(const net::NetError &Err);
  decide::ForwardAction stepAfterAbort();
  boost::asio::awaitable<void>
  writeToCaller(boost::asio::awaitable<void> Write);
  // Takes a router that is silent for long out of use, as far as others serve.
  void checkPeer(Instant Now);
  decide::StallState stallState(Instant Now) const;
  bool reserveRetry();
  bool reserveOtherChain(Instant Now);
  bool reserveOtherTarget(Instant Now);
  bool leavesToSender() const;
  boost::asio::awaitable<bool> awaitChain();
  boost::asio::awaitable<std::optional<decide::ForwardAction>>
  awaitSuspectTurn();
  void onAnswerBegun();
  void onAnswered();
  void onAnswerGoesOn();
  decide::RequestMarks makeMarks() const;
  const decide::Chain *findChain(const decide::EndpointSet &Avoid, Instant Now);
  bool reserveChain(const decide::EndpointSet &Avoid, Instant Now,
                    const decide::SpendRetry &Spend);
  std::optional<Target> takeReserved();
  void releaseReserved();
  bool repair(decide::RepairScope Reach, Instant Now);
  void repairOrReroute(const decide::StallState &Stall, Instant Now);
  boost::asio::awaitable<void> orderNewPath(decide::Path NewPath);
  void onPathOrdered(const decide::Path &NewPath, unsigned Status,
                     const std::string &FaultAddress);
  boost::asio::awaitable<void> refuse(decide::Refusal Refusal);
  net::HttpRequest encode(const Target &To) const;
  bool isOwnAnswer(const net::HttpResponse &Head, bool Reused);
  void charge(const Target &To, int Sign);
  void chargeMemory(const Target &To, int Sign);
  void abortAttempt(AbortReason Reason);
  void logOutcome(const std::string &Outcome, unsigned Status,
                  const std::string &Reason = "");

  ForwardState &m_State;
  std::shared_ptr<std::set<ForwardCall *>> m_Calls;
  net::HttpExchange &m_Exchange;
  const Sender m_Sender;
  HandOverMark m_HandOverMark;   // of a request that a router handed over
  bool m_ConfigIsTooOld = false; // to decide on a request handed over
  const Instant m_ArrivedAt;
  platform::RequestHeaders m_RequestHeaders;
  std::shared_ptr<const decide::RouteTable> m_Routes;
  const decide::Route *m_Route = nullptr;
  const decide::WorkspaceKeys *m_Workspace = nullptr;
  ServiceId m_Service;
  std::optional<decide::ForwardRun> m_Run;
  std::optional<decide::Refusal> m_Refusal; // before any attempt
  Target m_Target;                          // of the current attempt
  std::function<void()> m_Cancel;           // of the current attempt
  AbortReason m_AbortReason = AbortReason::None;
  bool m_CallerGone = false;
  bool m_AttemptActive = false;
  bool m_Connecting = false;
  Instant m_AttemptStartedAt{};
  Instant m_LastProgressAt{};
  bool m_EventSeen = false;     // in the current attempt
  Instant m_FirstEventHereAt{}; // the same
  bool m_AnswerBegun = false;   // the same; it went on after that
  bool m_Answered = false;      // the same; it ended or went on for long
  bool m_PeerAnswered = false;  // its answer has begun
  bool m_AnswerDropped = false; // it may be that of another request
  decide::RequestMarks m_Marks;
  // Held while the request is sent to find out about a suspected mark.
  std::shared_ptr<const void> m_SuspectTurn;
  unsigned m_EndpointsLeft = 0; // before the current attempt
  std::set<PeerId> m_PeersTried;
  bool m_PathOverdue = false; // its engines are to be polled
  // A retry was consumed from the budget before the attempt was aborted.
  bool m_RetryReserved = false;
  std::optional<Target> m_ReservedTarget; // charged for the next attempt
  bool m_Charged = false; // the next attempt's target is charged already
  bool m_RepairInProgress = false;    // an order to change the path is pending
  unsigned m_RepairCount = 0;         // repair orders in the current attempt
  decide::EndpointSet m_UnfitEngines; // refused a stage of a repaired path
  // Endpoints without room in their limits at the last choice of a target.
  std::vector<EndpointId> m_TurnedAwayBy;
  EventSplitter m_Splitter;
  // The complete failure answer of the last endpoint.
  std::optional<net::HttpResponse> m_FailureAnswer;
  std::optional<Instant> m_FirstEventAt;
  unsigned m_EventCount = 0;
  Duration m_LongestInterval{}; // between two events
  Instant m_LastEventAt{};
};

} // namespace mimosadale::forward

#endif
