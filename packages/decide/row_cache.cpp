#include "decide/row_cache.h"

#include <algorithm>

namespace mimosadale::decide {

namespace {

// Wait of a feed call to the store: below the store's limit of 30 s. The
// keep-alive notices a connection that is silent.
constexpr Duration LongWait = std::chrono::seconds(20);

// The same while the store fails, and of a call to another router: a change
// must be in force within two seconds whichever of them is asked.
constexpr Duration FailingWait = std::chrono::milliseconds(300);
constexpr Duration PeerWait = std::chrono::milliseconds(800);

// Time for which others may be told that nothing changed: with the wait of
// their call it is below the two seconds within which a leaving endpoint must
// get nothing more.
constexpr Duration ConfirmedTime = std::chrono::milliseconds(1200);

// Failed calls to the store in a row after which another router is asked.
constexpr unsigned FailuresBeforePeer = 2;

// Pause after a call that failed, doubled with each further one up to the
// longest, so that a store that turns routers away is not pressed by them; and
// the pause before the other source is asked.
constexpr Duration FailurePause = std::chrono::milliseconds(250);
constexpr Duration LongestFailurePause = std::chrono::milliseconds(1000);
constexpr Duration TurnPause = std::chrono::milliseconds(20);

// Pauses between reads of the registry, for few routers, for each router, and
// at most: half of the shortest time in which a leaving endpoint must get
// nothing more.
constexpr Duration ShortestRegistryPause = std::chrono::milliseconds(200);
constexpr Duration RegistryPausePerRouter = std::chrono::milliseconds(15);
constexpr Duration LongestRegistryPause = std::chrono::milliseconds(1000);

// Pause between comparisons with another router: a third of the shortest time
// in which a change must be in force, so that two routers are asked in it.
constexpr Duration ComparePause = std::chrono::milliseconds(700);

} // namespace

Duration registryPause(std::size_t Routers) {
  return std::clamp(RegistryPausePerRouter * static_cast<int>(Routers),
                    ShortestRegistryPause, LongestRegistryPause);
}

Duration comparePause() { return ComparePause; }

bool RowCache::take(const std::vector<CachedRow> &Rows, std::uint64_t Version,
                    bool Whole, std::optional<Instant> Store) {
  if (Version < m_Version)
    return false;
  if (Store)
    m_ConfirmedAt = Store;
  if (Whole) {
    m_Rows.clear();
    m_Oldest = Version;
    m_Known = true;
  }
  for (const CachedRow &Each : Rows)
    m_Rows[Each.m_Key] = Each;
  m_Version = Version;
  return true;
}

bool RowCache::confirmed(Instant Now) const {
  return m_ConfirmedAt && Now - *m_ConfirmedAt < ConfirmedTime;
}

std::optional<std::vector<CachedRow>>
RowCache::rows(std::optional<std::uint64_t> After) const {
  if (After && *After < m_Oldest)
    return std::nullopt;
  std::vector<CachedRow> Found;
  for (const auto &[Key, Each] : m_Rows)
    if (After ? Each.m_Version > *After : !Each.m_Dropped)
      Found.push_back(Each);
  return Found;
}

RowSource RowSourceChooser::next() const {
  return m_AskPeer ? RowSource::Peer : RowSource::Store;
}

Duration RowSourceChooser::wait() const {
  if (m_AskPeer)
    return PeerWait;
  return m_StoreFailures > 0 ? FailingWait : LongWait;
}

Duration RowSourceChooser::onCall(bool Failed, bool HasPeers, Duration Usual) {
  const bool Peer = m_AskPeer;
  if (!Peer)
    m_StoreFailures = Failed ? m_StoreFailures + 1 : 0;
  // A router that answered does not show that the store is back.
  m_AskPeer = !Peer && HasPeers && m_StoreFailures >= FailuresBeforePeer;
  if (!Failed) {
    m_FailurePause = Duration{};
    return Usual;
  }
  if (m_AskPeer)
    return TurnPause;
  m_FailurePause =
      std::clamp(2 * m_FailurePause, FailurePause, LongestFailurePause);
  return m_FailurePause;
}

} // namespace mimosadale::decide
