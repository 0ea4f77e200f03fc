// Retry decisions for one forwarded request, from its head to the end of its
// answer.
#ifndef MIMOSADALE_DECIDE_FORWARD_RUN_H
#define MIMOSADALE_DECIDE_FORWARD_RUN_H

#include "decide/path.h"
#include "decide/refusal.h"
#include "decide/request_mark.h"
#include "decide/routing.h"

#include <functional>
#include <set>
#include <utility>
#include <variant>

namespace mimosadale::decide {

struct ForwardParams {
  CallKind m_Kind = CallKind::AtMostOnce;
  bool m_Resumable = false;
  unsigned m_MaxEndpoints = 1;
  Instant m_Deadline{};     // when the caller stops waiting
  Instant m_Timeout{};      // when the time-out of the route expires
  bool m_IsCounted = false; // as a first attempt, by another router
};

/// How an attempt ended without a complete answer.
enum class AttemptFault {
  NotSent,        // connect failed: no byte was sent
  ReportedNotRun, // the endpoint states that it has not run the request
  Failed,         // failure answer of the endpoint, which counts as run
  Broken,         // the connection broke, or its answer is unusable
  Stalled         // abandoned here, because the endpoint or its path is lost
};

/// Retry at an endpoint outside `avoided`.
struct RetryForward {
  schema::RetryReason m_Reason = schema::RETRY_UNSPECIFIED;
};

/// Part of the answer was delivered and no endpoint can continue it now: look
/// for one again shortly, while the caller waits.
struct AwaitEndpoint {};

/// Send the caller this final answer.
struct RefuseForward {
  Refusal m_Refusal;
};

/// Deliver the endpoint's own failure answer.
struct PassOnFailure {};

/// Part of the answer was delivered: close the connection so that the caller
/// sees the answer as truncated.
struct CutOff {
  schema::Reason m_Reason = schema::REASON_UNSPECIFIED;
};

using ForwardAction = std::variant<RetryForward, AwaitEndpoint, RefuseForward,
                                   PassOnFailure, CutOff>;

/// Takes one retry from the budget that the routers share. \returns false if
/// the budget is exhausted.
using SpendRetry = std::function<bool()>;

/// Decides after each failed attempt whether the request is retried, refused or
/// cut off. A request that must not be repeated is retried only while it is
/// proved not to have run; a resumable stream continues after its last complete
/// event.
///
/// \par Thread safety
/// None; owned by one coroutine.
class ForwardRun {
public:
  explicit ForwardRun(ForwardParams Params) : m_Params(Params) {}

  /// Records an attempt at \p Endpoint. \pre Before the first write, after
  /// `chargeSend` has returned true.
  void beforeAttempt(const EndpointId &Endpoint);

  /// The head of the answer was delivered to the caller.
  void onHeadDelivered() { m_HeadDelivered = true; }

  /// The current attempt failed. If no attempt was recorded since the last
  /// fault, the run state of earlier attempts is unaffected.
  /// \param Lost engines that the next path avoids.
  ForwardAction onFault(AttemptFault Fault, const EndpointSet &Lost,
                        Instant Now, const SpendRetry &Budget);

  /// Whether a stalled attempt may be abandoned for another one. It may not if
  /// no other attempt could follow: a stall alone does not end an answer.
  bool mayReroute(Instant Now) const;

  /// No endpoint can take the request now.
  ForwardAction onNoEndpoint(schema::Reason Reason, Duration RetryAfter,
                             Instant Now);

  /// The request must not be sent: it, or a part of its prompt, crashes the
  /// endpoints that run it. \param RetryAfter when this may have changed.
  ForwardAction onBlocked(MarkKind Blocked, Duration RetryAfter) const;

  /// Number of further endpoints that the route lets it be sent to.
  unsigned endpointsLeft() const {
    const auto Tried = static_cast<unsigned>(m_Tried.size());
    return m_Params.m_MaxEndpoints > Tried ? m_Params.m_MaxEndpoints - Tried
                                           : 0;
  }

  /// Whether the request is to be counted as a first attempt now; never again
  /// after that. A request that several routers try is one request for the
  /// retry budget that they share.
  bool takeFirstAttempt() { return !std::exchange(m_Params.m_IsCounted, true); }

  /// Another router has sent it to an endpoint, and counted it.
  void onCountedElsewhere() { m_Params.m_IsCounted = true; }

  bool isCounted() const { return m_Params.m_IsCounted; }

  /// Makes sure that the next send is charged: the first one is a first
  /// attempt, or was charged by the router that handed the request over; each
  /// later one takes a retry from \p Budget, once. \returns false if the budget
  /// is exhausted: the request must not be sent now.
  bool chargeSend(const SpendRetry &Budget);

  /// Whether the next send is charged.
  bool sendIsCharged() const { return m_SendIsCharged; }

  /// A new search for an endpoint starts: those that refused before may have
  /// free capacity now.
  void onAwaitEndpoint() { m_Avoided.clear(); }

  /// The time-out of the route or the caller's deadline has passed.
  ForwardAction onTimeout() const;

  /// Engines that this request must not be sent to again.
  const EndpointSet &avoided() const { return m_Avoided; }

  /// Whether an earlier attempt of this request was sent to \p Endpoint. A
  /// faulty one may answer it once more, under the same id.
  bool sentBefore(const EndpointId &Endpoint) const {
    return m_SentTo.contains(Endpoint);
  }

  /// The time after which an answer is of no use to the caller.
  Instant end() const {
    return std::min(m_Params.m_Deadline, m_Params.m_Timeout);
  }

  bool headDelivered() const { return m_HeadDelivered; }
  unsigned attempts() const { return m_Attempts; }
  schema::RunState runState() const { return m_RunTracker.state(); }

private:
  bool repeatable() const;
  bool hasTimeLeft(Instant Now) const;
  bool hasAttemptsLeft() const;
  ForwardAction finalAction(AttemptFault Fault) const;

  ForwardParams m_Params;
  RunTracker m_RunTracker;
  EndpointSet m_Avoided;
  EndpointSet m_Tried;  // distinct endpoints that may have started to run it
  EndpointSet m_SentTo; // all endpoints, those that refused it included
  EndpointId m_Current;
  bool m_AttemptOpen = false;  // an attempt is recorded and has not failed
  bool m_SendIsCharged = true; // the first send takes no retry
  bool m_HeadDelivered = false;
  unsigned m_Attempts = 0;
};

} // namespace mimosadale::decide

#endif
