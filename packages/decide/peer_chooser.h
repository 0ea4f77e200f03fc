// Chooses the router that serves a request for one that reaches no endpoint.
#ifndef MIMOSADALE_DECIDE_PEER_CHOOSER_H
#define MIMOSADALE_DECIDE_PEER_CHOOSER_H

#include "base/id.h"
#include "base/units.h"
#include "decide/path_chooser.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>

namespace mimosadale::decide {

/// What a router lacks that handed a request back.
enum class HandBackCause {
  Endpoint,     // one for the service of the request, now
  Router,       // it is not ready or stops, so that it serves no request
  Configuration // it knows only an older one, which treats the request
                // otherwise
};

/// Routers that requests are handed to. One that handed a request back gets no
/// other one of the same service for a while, and one that serves nothing or
/// gave no answer none at all, so that the routers that serve are found without
/// an exchange: a request costs one round trip a wrong guess.
///
/// \par Thread safety
/// None.
class PeerChooser {
public:
  /// Sets the other routers with their data centres.
  void setRouters(const std::map<PeerId, DataCentreId> &Routers);

  /// Draws a router outside \p Tried for a request to \p Service: mostly one
  /// that served that service lately, of \p Local if there is one, and rather
  /// not of a data centre of one in \p Tried. If all are paused, the one that
  /// failed the longest ago, unless the request was handed to one already. None
  /// if there is none.
  std::optional<PeerId> choose(const ServiceId &Service,
                               const DataCentreId &Local,
                               const std::set<PeerId> &Tried, Instant Now,
                               Random &Rng) const;

  /// \p Router served a request to \p Service.
  void onServed(const PeerId &Router, const ServiceId &Service, Instant Now);

  /// No endpoint ran a request to \p Service at \p Router.
  void onHandedBack(const PeerId &Router, const ServiceId &Service,
                    HandBackCause Cause, Instant Now);

  /// \p Router could not be connected to, or broke off before its answer.
  void onFailed(const PeerId &Router, Instant Now);

  /// \p Router has given no answer for long, nor part of one, or broke off an
  /// answer that it had begun. The router may have failed, or an endpoint: the
  /// others come first for a while.
  void onInterrupted(const PeerId &Router, Instant Now);

private:
  // Before any moment of a router's life.
  static constexpr Instant Never{-std::chrono::hours(24)};

  // What is known of a router, or of a service there.
  struct Record {
    Instant m_PausedAt = Never;
    Instant m_PausedUntil = Never;
    Instant m_ServedAt = Never;
    Instant m_InterruptedAt = Never;
  };
  struct RouterRecord {
    DataCentreId m_DataCentre;
    Record m_AllServices;
    std::map<ServiceId, Record> m_ByService;
  };

  static std::size_t rank(const RouterRecord &Router, const Record &AtService,
                          std::size_t Distance, bool Explores, Instant Now);
  static void pause(Record &Paused, Instant Now, Duration Time);

  std::map<PeerId, RouterRecord> m_Routers;
};

} // namespace mimosadale::decide

#endif
