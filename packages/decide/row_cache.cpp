#include "decide/row_cache.h"

#include <algorithm>

namespace mimosadale::decide {

namespace {

// Wait of a feed call to the store: below the store's limit of 30 s. The
// keep-alive notices a connection that is silent.
constexpr Duration StoreWait = std::chrono::seconds(20);

// The same while the store fails, and of a call to another router: a change
// must be in force within two seconds whichever of them is asked.
constexpr Duration FailingWait = std::chrono::milliseconds(300);
constexpr Duration PeerWait = std::chrono::milliseconds(800);

// Time for which others may be told that nothing changed: with the wait of
// their call it is below the two seconds within which a leaving endpoint must
// get nothing more.
constexpr Duration ConfirmationLifetime = std::chrono::milliseconds(1200);

// Failed calls to the store in a row after which another router is asked.
constexpr unsigned FailuresBeforePeer = 2;

// Pause after a call that failed, doubled with each further one up to the
// longest, so that a store that turns routers away is not pressed by them; and
// the pause before the other source is asked.
constexpr Duration MinBackoff = std::chrono::milliseconds(250);
constexpr Duration MaxBackoff = std::chrono::milliseconds(1000);
constexpr Duration SourceSwitchDelay = std::chrono::milliseconds(20);

// Pauses between reads of the registry, for few routers, for each router, and
// at most: half of the shortest time in which a leaving endpoint must get
// nothing more.
constexpr Duration MinRegistryInterval = std::chrono::milliseconds(200);
constexpr Duration RegistryIntervalPerRouter = std::chrono::milliseconds(15);
constexpr Duration MaxRegistryInterval = std::chrono::milliseconds(1000);

// Pause between comparisons with another router: a third of the shortest time
// in which a change must be in force, so that two routers are asked in it.
constexpr Duration CompareInterval = std::chrono::milliseconds(700);

} // namespace

Duration registryInterval(std::size_t Routers) {
  return std::clamp(RegistryIntervalPerRouter * static_cast<int>(Routers),
                    MinRegistryInterval, MaxRegistryInterval);
}

Duration compareInterval() { return CompareInterval; }

bool RowCache::merge(const std::vector<CachedRow> &Rows, std::uint64_t Version,
                     bool Whole, std::optional<Instant> Store) {
  if (Version < m_Version)
    return false;
  if (Store)
    m_ConfirmedAt = Store;
  if (Whole) {
    m_Rows.clear();
    m_SnapshotVersion = Version;
    m_Loaded = true;
  }
  for (const CachedRow &Each : Rows)
    m_Rows[Each.m_Key] = Each;
  m_Version = Version;
  return true;
}

bool RowCache::confirmed(Instant Now) const {
  return m_ConfirmedAt && Now - *m_ConfirmedAt < ConfirmationLifetime;
}

std::optional<std::vector<CachedRow>>
RowCache::rows(std::optional<std::uint64_t> After) const {
  if (After && *After < m_SnapshotVersion)
    return std::nullopt;
  std::vector<CachedRow> Found;
  for (const auto &[Key, Each] : m_Rows)
    if (After ? Each.m_Version > *After : !Each.m_Deleted)
      Found.push_back(Each);
  return Found;
}

RowSource RowSourceChooser::next() const {
  return m_UsePeer ? RowSource::Peer : RowSource::Store;
}

Duration RowSourceChooser::wait() const {
  if (m_UsePeer)
    return PeerWait;
  return m_StoreFailures > 0 ? FailingWait : StoreWait;
}

Duration RowSourceChooser::onCallEnded(bool Failed, bool HasPeers,
                                       Duration Usual) {
  const bool Peer = m_UsePeer;
  if (!Peer)
    m_StoreFailures = Failed ? m_StoreFailures + 1 : 0;
  // A router that answered does not show that the store is back.
  m_UsePeer = !Peer && HasPeers && m_StoreFailures >= FailuresBeforePeer;
  if (!Failed) {
    m_Backoff = Duration{};
    return Usual;
  }
  if (m_UsePeer)
    return SourceSwitchDelay;
  m_Backoff = std::clamp(2 * m_Backoff, MinBackoff, MaxBackoff);
  return m_Backoff;
}

} // namespace mimosadale::decide
