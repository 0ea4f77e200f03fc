// The life cycle of one forwarded request, from its header to its last byte.
#ifndef MIMOSADALE_DECIDE_FORWARD_RUN_H
#define MIMOSADALE_DECIDE_FORWARD_RUN_H

#include "decide/path.h"
#include "decide/refusal.h"
#include "decide/routing.h"

#include <functional>
#include <set>
#include <variant>

namespace mimosadale::decide {

struct ForwardParams {
  CallKind m_Kind = CallKind::AtMostOnce;
  bool m_Resumable = false;
  unsigned m_MaxEndpoints = 1;
  Instant m_Deadline{}; // when the caller stops waiting
  Instant m_Timeout{};  // when the route's time-out has passed
};

/// How one send ended without a whole answer.
enum class AttemptFault {
  NotSent,        // no connection: no byte left
  ReportedNotRun, // the endpoint said that it has not run it
  Failed,         // the endpoint's own failure answer, which counts as run
  Broken,         // the connection broke
  Stalled         // given up here, because the endpoint or its path is lost
};

/// Send it once more, to an endpoint outside `avoided`.
struct RetryForward {
  schema::RetryReason m_Why = schema::RETRY_UNSPECIFIED;
};

/// Part of the answer is out and no endpoint can go on with it now: look for
/// one again in a moment, while the caller waits.
struct AwaitEndpoint {};

/// Give the caller this final answer, now.
struct RefuseForward {
  Refusal m_Refusal;
};

/// Pass on the endpoint's own failure answer.
struct PassOnFailure {};

/// Part of the answer is out: end the connection so that it is seen cut off.
struct CutOff {
  schema::Reason m_Why = schema::REASON_UNSPECIFIED;
};

using ForwardAction = std::variant<RetryForward, AwaitEndpoint, RefuseForward,
                                   PassOnFailure, CutOff>;

/// Takes one retry from the budget that the routers share.
using SpendRetry = std::function<bool()>;

/// Decides after each failure whether a request is sent again, refused or cut
/// off. What may not be repeated is sent again only while it is proved not to
/// have run; a stream that may be resumed goes on after its last whole event.
///
/// \par Thread safety
/// None; owned by one coroutine.
class ForwardRun {
public:
  explicit ForwardRun(ForwardParams Start) : m_Params(Start) {}

  /// \p Endpoint is about to be sent the request. \pre Before the first write.
  void beforeAttempt(const EndpointId &Endpoint);

  /// The head of the answer went to the caller.
  void onHeadDelivered() { m_HeadDelivered = true; }

  /// The present send failed; one whose connection did not come about was not
  /// begun, and says nothing of those before it. \param Lost engines that the
  /// next path avoids.
  ForwardAction onFault(AttemptFault How, const EndpointSet &Lost, Instant Now,
                        const SpendRetry &Budget);

  /// Whether a send that stands still may be given up for another one. It may
  /// not where none could follow: a pause alone is no reason to end an answer.
  bool mayReroute(Instant Now) const;

  /// No endpoint can take the request now.
  ForwardAction onNoEndpoint(schema::Reason Why, Duration RetryAfter,
                             Instant Now);

  /// A place is looked for anew: what refused it before may have room now.
  void onAwaitEndpoint() { m_Avoided.clear(); }

  /// The route's time-out or the caller's deadline has passed.
  ForwardAction onTimeout() const;

  /// Engines that this request must not be sent to again.
  const EndpointSet &avoided() const { return m_Avoided; }

  /// The time after which nothing helps the caller any more.
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
  ForwardAction finalAction(AttemptFault How) const;

  ForwardParams m_Params;
  RunTracker m_RunTracker;
  EndpointSet m_Avoided;
  EndpointSet m_Tried; // distinct endpoints that may have begun to run it
  EndpointId m_Current;
  bool m_AttemptOpen = false; // a send, whose end is not known yet
  bool m_HeadDelivered = false;
  unsigned m_Attempts = 0;
};

} // namespace mimosadale::decide

#endif
