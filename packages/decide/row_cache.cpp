#include "decide/row_cache.h"

#include <algorithm>

namespace mimosadale::decide {

namespace {

// Long-poll timeout of a feed call to the store: below the store's limit of 30
// s. A dead connection is detected by its keep-alive; a store that took the
// call and lost it is not.
constexpr Duration StoreWait = std::chrono::seconds(20);

// The same for a table whose changes must take effect in time: a call that is
// never answered has failed within half of the time from a disturbance on after
// which they must again.
constexpr Duration BoundedWait = std::chrono::milliseconds(1500);

// Long-poll timeouts while the store fails, and of calls to another router: a
// change must take effect within two seconds, whichever source is read.
constexpr Duration FailingWait = std::chrono::milliseconds(300);
constexpr Duration PeerWait = std::chrono::milliseconds(800);

// Time for which an answer of the store confirms the rows. Plus the wait of the
// call of another router it is below the two seconds within which a leaving
// endpoint must get no more requests.
constexpr Duration ConfirmationLifetime = std::chrono::milliseconds(1200);

// Consecutive failed calls to the store after which another router is read.
constexpr unsigned FailuresBeforePeer = 2;

// Backoff after a failed call, doubled with each further failure up to the
// maximum, so that an overloaded store is not flooded with retries.
constexpr Duration MinBackoff = std::chrono::milliseconds(250);
constexpr Duration MaxBackoff = std::chrono::milliseconds(1000);

// Delay between a failed call to one source and the call to the other.
constexpr Duration SourceSwitchDelay = std::chrono::milliseconds(20);

// Intervals between reads of the registry. The maximum is half of the shortest
// time within which a leaving endpoint must get no more requests.
constexpr Duration MinRegistryInterval = std::chrono::milliseconds(200);
constexpr Duration RegistryIntervalPerRouter = std::chrono::milliseconds(15);
constexpr Duration MaxRegistryInterval = std::chrono::milliseconds(1000);

// A third of the shortest time within which a change must take effect, so that
// two routers are compared with in that time.
constexpr Duration CompareInterval = std::chrono::milliseconds(700);

} // namespace

Duration registryInterval(std::size_t Routers) {
  return std::clamp(RegistryIntervalPerRouter * static_cast<int>(Routers),
                    MinRegistryInterval, MaxRegistryInterval);
}

Duration compareInterval() { return CompareInterval; }

MergeResult RowCache::merge(const std::vector<CachedRow> &Rows,
                            StoreVersion Version, bool Snapshot,
                            std::optional<Instant> StoreReadAt) {
  if (Version < m_Version)
    return MergeResult::Rejected;
  const bool LaterEra = Version.era() > m_Version.era();
  if (LaterEra && !Snapshot)
    return MergeResult::NeedsSnapshot;
  const bool Restored = LaterEra && m_Loaded;
  if (StoreReadAt)
    m_ConfirmedAt = StoreReadAt;
  if (Snapshot) {
    m_Rows.clear();
    m_SnapshotVersion = Version;
    m_Loaded = true;
  }
  for (const CachedRow &Row : Rows)
    m_Rows[Row.m_Key] = Row;
  m_Version = Version;
  return Restored ? MergeResult::RestoredStore : MergeResult::Merged;
}

bool RowCache::confirmed(Instant Now) const {
  return m_ConfirmedAt && Now - *m_ConfirmedAt < ConfirmationLifetime;
}

std::optional<std::vector<CachedRow>>
RowCache::rows(std::optional<StoreVersion> After) const {
  if (After && (After->era() != m_Version.era() || *After < m_SnapshotVersion))
    return std::nullopt;
  std::vector<CachedRow> Result;
  for (const auto &[Key, Row] : m_Rows)
    if (After ? Row.m_Version > *After : !Row.m_Deleted)
      Result.push_back(Row);
  return Result;
}

Duration boundedFeedWait() { return BoundedWait; }

RowSource RowSourceChooser::next() const {
  return m_UsePeer ? RowSource::Peer : RowSource::Store;
}

Duration RowSourceChooser::wait() const {
  if (m_UsePeer)
    return PeerWait;
  if (m_StoreFailures > 0)
    return FailingWait;
  return m_MaxWait ? std::min(*m_MaxWait, StoreWait) : StoreWait;
}

bool RowSourceChooser::waitsLong() const {
  return !m_UsePeer && wait() > BoundedWait;
}

Duration RowSourceChooser::onCallAbandoned() {
  m_StoreFailures = std::max(m_StoreFailures, 1u);
  return SourceSwitchDelay;
}

Duration RowSourceChooser::onCallEnded(bool Failed, bool HasPeers,
                                       Duration Interval) {
  const bool WasPeer = m_UsePeer;
  if (!WasPeer)
    m_StoreFailures = Failed ? m_StoreFailures + 1 : 0;
  // An answer of another router does not show that the store has recovered.
  m_UsePeer = !WasPeer && HasPeers && m_StoreFailures >= FailuresBeforePeer;
  if (!Failed) {
    m_Backoff = Duration{};
    return Interval;
  }
  if (m_UsePeer)
    return SourceSwitchDelay;
  m_Backoff = std::clamp(2 * m_Backoff, MinBackoff, MaxBackoff);
  return m_Backoff;
}

} // namespace mimosadale::decide
