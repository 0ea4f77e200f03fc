// Limits on the requests that an endpoint takes from all routers together.
#ifndef MIMOSADALE_DECIDE_REQUEST_LIMITS_H
#define MIMOSADALE_DECIDE_REQUEST_LIMITS_H

#include "base/id.h"
#include "base/units.h"
#include "decide/path_chooser.h"
#include "schema/generated/limits.pb.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace mimosadale::decide {

/// What an answer says about the limit of the endpoint that sent it.
struct LimitStatement {
  std::optional<double> m_PerSecond; // none: the answer names no limit
  // Answers to polls and orders may lack the limit while it is in force.
  bool m_AnswersRequest = true;
  Instant m_SentAt{}; // when the request was sent
};

/// What a statement changed.
enum class LimitChange { None, Named, Changed, Ended };

/// How soon the result of a poll of a limited endpoint is needed.
enum class PollUrgency {
  Routine,
  Urgent // requests wait for it
};

/// Keeps, for each endpoint that names a limit, the requests of all routers
/// within that limit.
///
/// Each router computes its own share from what the routers have told each
/// other: their demand, as a logarithmic level, and the requests they sent
/// lately. A higher level is used only after the others had time to hear of it,
/// a lower one at once, so that the shares in use never add up to more than the
/// limit. Only as many routers as the limit can bear send to the endpoint,
/// those with the highest demand; each may save up one request.
///
/// \par Thread safety
/// None.
class RequestLimits {
public:
  /// \param Self this router's name.
  explicit RequestLimits(std::string Self) : m_Self(std::move(Self)) {}

  /// Sets the names of all routers, this one included. Before the first call a
  /// share is that of one of `MaxSharingRouters`.
  void setRouters(std::vector<std::string> Names);

  /// An answer of \p Endpoint arrived.
  LimitChange onAnswer(const EndpointId &Endpoint,
                       const LimitStatement &Statement, Instant Now);

  /// A request, poll or order is being sent to \p Endpoint, limited or not:
  /// what was sent before a limit was named counts as well.
  void onSent(const EndpointId &Endpoint, Instant Now);

  /// A request would have been sent to \p Endpoint, but the share was used up.
  void onTurnedAway(const EndpointId &Endpoint, Instant Now);

  /// Whether \p Endpoint names a limit.
  bool limited(const EndpointId &Endpoint) const;

  /// The limit of \p Endpoint in requests a second over all routers; 0 without
  /// one.
  double perSecond(const EndpointId &Endpoint) const;

  /// The limited endpoints.
  std::vector<EndpointId> limitedEndpoints() const;

  /// Whether limits, or ended ones that other routers may not know of, are to
  /// be exchanged.
  bool active() const { return !m_Limits.empty(); }

  /// When the next request may be sent to \p Endpoint; \p Now or earlier if it
  /// may be sent now. For a share of nothing, a time at which to ask again.
  Instant nextAdmission(const EndpointId &Endpoint, Instant Now);

  /// Whether a poll may be sent to \p Endpoint now. Routine polls take a small
  /// part of the share.
  bool admitsPoll(const EndpointId &Endpoint, PollUrgency Urgency, Instant Now);

  /// This router's share of the limit, in requests a second; 0 if other routers
  /// use it. \pre \p Endpoint is limited.
  double share(const EndpointId &Endpoint, Instant Now);

  /// Time after which a caller that is refused because of the limits of \p
  /// Endpoints may return. Callers are told ascending times, no more of them
  /// than the shares serve. None if this router has no share.
  std::optional<Duration>
  promiseReturn(const std::vector<EndpointId> &Endpoints, Instant Now,
                Random &Rng);

  /// The routers to tell in one round: all others in a small fleet, some drawn
  /// at random in a larger one, which pass it on. \param HasNews whether a
  /// limit was named, changed or ended since the last round.
  std::vector<std::string> audience(bool HasNews, Random &Rng) const;

  /// What this router tells others.
  schema::LimitNotice notice(Instant Now);

  /// Merges what another router told. \param RequestedAt when it was asked for;
  /// ages count from there. \returns the changed limits.
  std::vector<std::pair<EndpointId, LimitChange>>
  merge(const schema::LimitNotice &Notice, Instant RequestedAt, Instant Now);

  /// Forgets limits that ended long ago and endpoints without recent requests.
  void onTick(Instant Now);

  /// Routers assumed to share a limit before the router table has been read.
  static constexpr std::size_t MaxSharingRouters = 340;

private:
  // The latest statement of another router.
  struct PeerDemand {
    unsigned m_Level = 0;
    unsigned m_Sent = 0;
    Instant m_StatedAt{};
  };

  struct Limit {
    double m_PerSecond = 0;
    bool m_Ended = false;
    Instant m_StatedAt{}; // of the answer
    Instant m_FirstNamedAt{};
    double m_Tokens = 0; // requests that may be sent at once
    Instant m_RefilledAt{};
    double m_Demand = 0; // requests a second, a decaying mean
    Instant m_DemandAt{};
    // Own levels with the time from which each was published, ascending.
    std::deque<std::pair<Instant, unsigned>> m_Levels;
    std::map<std::string, PeerDemand> m_Peers;
    Instant m_PolledAt{};
    double m_Share = 0;
    Instant m_ShareUntil{}; // when the share is to be computed again
  };

  Limit *find(const EndpointId &Endpoint);
  const Limit *find(const EndpointId &Endpoint) const;
  Limit &start(const EndpointId &Endpoint, double PerSecond, Instant NamedAt,
               Instant Now);
  void addDemand(Limit &Entry, Instant Now);
  void publishLevel(Limit &Entry, Instant Now);
  unsigned usableLevel(const Limit &Entry, Instant Now) const;
  unsigned levelOf(const Limit &Entry, const std::string &Router,
                   Instant Now) const;
  double computeShare(const EndpointId &Endpoint, const Limit &Entry,
                      Instant Now) const;
  void refill(const EndpointId &Endpoint, Limit &Entry, Instant Now);
  Instant holdUntil(const EndpointId &Endpoint, const Limit &Entry,
                    Instant Now) const;
  std::size_t sentInWindow(const EndpointId &Endpoint, Instant Now) const;
  Duration noticeSpread() const;

  std::string m_Self;
  std::vector<std::string> m_Routers; // sorted; empty before the table was read
  std::map<EndpointId, Limit> m_Limits;
  std::map<EndpointId, std::deque<Instant>> m_Sent; // within the window
  Instant m_PeerHeardAt{};
  Instant m_PromisedUntil{};
};

} // namespace mimosadale::decide

#endif
