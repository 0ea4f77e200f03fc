#include "decide/peer_chooser.h"

#include <algorithm>
#include <array>
#include <vector>

namespace mimosadale::decide {

namespace {

// Time for which a router gets no request of a service after it handed one
// back: engines that were lost have been replaced by then.
constexpr Duration HandBackPause = std::chrono::milliseconds(1000);

// Time for which a router gets no request at all after it failed.
constexpr Duration FailurePause = std::chrono::milliseconds(3000);

// Time for which a router whose answer stopped comes after all others.
constexpr Duration InterruptionLifetime = std::chrono::milliseconds(3000);

// Time for which a router that served is preferred, and the share of requests
// that go to any router all the same, so that none carries all.
constexpr Duration ServedLifetime = std::chrono::milliseconds(3000);
constexpr double ExploringShare = 0.1;

// Distances of a router: in this data centre, in another one, in that of a
// router that was tried. Three groups of these, and the interrupted routers.
constexpr std::size_t Distances = 3;
constexpr std::size_t Ranks = 3 * Distances + 1;

} // namespace

void PeerChooser::setRouters(const std::map<PeerId, DataCentreId> &Routers) {
  std::erase_if(m_Routers, [&](const auto &Item) {
    return !Routers.contains(Item.first);
  });
  for (const auto &[Router, DataCentre] : Routers)
    m_Routers[Router].m_DataCentre = DataCentre;
}

// Those that served the service lately come before those that served another
// one, and these before the rest, nearer ones first; interrupted ones come
// last.
std::size_t PeerChooser::rank(const RouterRecord &Router,
                              const Record &AtService, std::size_t Distance,
                              bool Explores, Instant Now) {
  const auto ServedLately = [&](const Record &Served) {
    return !Explores && Now - Served.m_ServedAt < ServedLifetime;
  };
  if (Now - Router.m_AllServices.m_InterruptedAt < InterruptionLifetime)
    return Ranks - 1;
  const std::size_t Group = ServedLately(AtService)              ? 0
                            : ServedLately(Router.m_AllServices) ? 1
                                                                 : 2;
  return Group * Distances + Distance;
}

std::optional<PeerId> PeerChooser::choose(const ServiceId &Service,
                                          const DataCentreId &Local,
                                          const std::set<PeerId> &Tried,
                                          Instant Now, Random &Rng) const {
  // A whole data centre may be cut off: the next try is outside of it.
  std::set<DataCentreId> Avoided;
  for (const PeerId &Router : Tried)
    if (const auto Known = m_Routers.find(Router); Known != m_Routers.end())
      Avoided.insert(Known->second.m_DataCentre);
  std::array<std::vector<PeerId>, Ranks> Ranked;
  std::optional<PeerId> LongestPaused;
  Instant LongestPausedAt = Instant::max();
  const bool Explores = Tried.empty() && std::uniform_real_distribution<double>(
                                             0, 1)(Rng) < ExploringShare;
  for (const auto &[Name, Router] : m_Routers) {
    if (Tried.contains(Name))
      continue;
    const auto Known = Router.m_ByService.find(Service);
    const Record AtService =
        Known == Router.m_ByService.end() ? Record() : Known->second;
    const Instant PausedUntil =
        std::max(Router.m_AllServices.m_PausedUntil, AtService.m_PausedUntil);
    if (Now < PausedUntil) {
      const Instant PausedAt =
          std::max(Router.m_AllServices.m_PausedAt, AtService.m_PausedAt);
      if (PausedAt < LongestPausedAt) {
        LongestPausedAt = PausedAt;
        LongestPaused = Name;
      }
      continue;
    }
    const std::size_t Distance = Avoided.contains(Router.m_DataCentre) ? 2
                                 : Router.m_DataCentre == Local        ? 0
                                                                       : 1;
    Ranked[rank(Router, AtService, Distance, Explores, Now)].push_back(Name);
  }
  for (const std::vector<PeerId> &From : Ranked)
    if (!From.empty())
      return From[std::uniform_int_distribution<std::size_t>(0, From.size() -
                                                                    1)(Rng)];
  // What all of them lacked need not be asked of each. Requests ask them by
  // turns, so that one with a long pause is found when it serves again.
  return Tried.empty() ? LongestPaused : std::nullopt;
}

void PeerChooser::onServed(const PeerId &Router, const ServiceId &Service,
                           Instant Now) {
  const auto Known = m_Routers.find(Router);
  if (Known == m_Routers.end())
    return;
  for (Record *Served :
       {&Known->second.m_AllServices, &Known->second.m_ByService[Service]}) {
    Served->m_ServedAt = Now;
    Served->m_PausedUntil = Never;
  }
}

void PeerChooser::pause(Record &Paused, Instant Now, Duration Time) {
  Paused.m_ServedAt = Never;
  Paused.m_PausedAt = Now;
  Paused.m_PausedUntil = std::max(Paused.m_PausedUntil, Now + Time);
}

void PeerChooser::onHandedBack(const PeerId &Router, const ServiceId &Service,
                               HandBackCause Cause, Instant Now) {
  const auto Known = m_Routers.find(Router);
  // A router with an older configuration serves what that treats alike.
  if (Known == m_Routers.end() || Cause == HandBackCause::Configuration)
    return;
  if (Cause == HandBackCause::Router)
    pause(Known->second.m_AllServices, Now, HandBackPause);
  pause(Known->second.m_ByService[Service], Now, HandBackPause);
}

void PeerChooser::onFailed(const PeerId &Router, Instant Now) {
  const auto Known = m_Routers.find(Router);
  if (Known == m_Routers.end())
    return;
  pause(Known->second.m_AllServices, Now, FailurePause);
  for (auto &[Service, AtService] : Known->second.m_ByService)
    AtService.m_ServedAt = Never;
}

void PeerChooser::onInterrupted(const PeerId &Router, Instant Now) {
  const auto Known = m_Routers.find(Router);
  if (Known == m_Routers.end())
    return;
  Record &AllServices = Known->second.m_AllServices;
  AllServices.m_ServedAt = Never;
  AllServices.m_InterruptedAt = Now;
}

} // namespace mimosadale::decide
