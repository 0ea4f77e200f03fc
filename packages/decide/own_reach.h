// Whether this router is cut off from the endpoints, rather than they are lost.
#ifndef MIMOSADALE_DECIDE_OWN_REACH_H
#define MIMOSADALE_DECIDE_OWN_REACH_H

#include "base/id.h"
#include "base/units.h"

#include <cstddef>
#include <map>
#include <optional>

namespace mimosadale::decide {

/// Compares the endpoints that this router cannot reach with those that it
/// does. If several fail at about the same time and hardly any other answers
/// since, the fault is at this router's links: what it believes of endpoints is
/// then no reason to change anything for the other routers. The same holds if
/// endpoints refuse new connections but go on to answer over those that are
/// open: a lost one does not.
///
/// \par Thread safety
/// None.
class OwnReach {
public:
  /// \p Endpoint answered over a new connection. That it was established alone
  /// shows nothing: an endpoint that hangs may still take connections.
  void onConnected(const EndpointId &Endpoint, Instant Now);

  /// \p Endpoint answered, over any connection.
  void onAnswered(const EndpointId &Endpoint, Instant Now);

  /// \p Endpoint could not be connected to.
  void onConnectFailed(const EndpointId &Endpoint, Instant Now);

  /// \p Endpoint left a poll unanswered over an open connection.
  void onUnanswered(const EndpointId &Endpoint, Instant Now);

  /// Another router had an answer of \p Endpoint, which this one does not
  /// reach.
  void onReachedElsewhere(const EndpointId &Endpoint, Instant Now);

  /// Ends the state if nothing has failed for long. \pre Called several times a
  /// second.
  void onTick(Instant Now);

  /// Whether this router seems to be cut off from the endpoints. It then polls
  /// them over new connections, which show the end of the cut.
  bool cutOff() const { return m_CutOff; }

  /// Whether this router seems to be cut off, and none of its endpoints has
  /// answered since the first of them failed. Several endpoints that crash at
  /// about the same time leave others that answer.
  bool reachesNone() const;

  /// Whether an endpoint that this router could not connect to may be alive: it
  /// answered over an open connection since, or had no time to; or one that it
  /// does not reach answered another router.
  bool doubtsLoss(Instant Now) const;

  /// Time for which another router's answer counts.
  static Duration answerLifetime();

private:
  struct Contact {
    Instant m_ConnectedAt{}; // the last time, as those below
    Instant m_AnsweredAt{};
    Instant m_FailedAt{};
    std::optional<Instant> m_FailingSince; // none: reached the last time
    bool m_ConnectFailed = false;
    bool m_AnsweredSince = false; // after a failure to connect to it
    std::optional<Instant> m_ReachedElsewhereAt; // since it fails here
  };

  void update(Instant Now);
  bool entersCut() const;
  std::size_t countFailing() const;

  std::map<EndpointId, Contact> m_Contacts; // of the last seconds
  Instant m_LastFailureAt{};
  bool m_CutOff = false;
};

} // namespace mimosadale::decide

#endif
