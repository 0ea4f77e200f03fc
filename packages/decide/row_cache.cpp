#include "decide/row_cache.h"

namespace mimosadale::decide {

namespace {

// Time for which rows may be passed on after the store confirmed them: with the
// way on, below the shortest time in which a configuration must be in force.
constexpr Duration PassOnTime = std::chrono::milliseconds(1400);

// Wait of a feed call to the store by a router that nobody reads from: the
// keep-alive notices a silent connection.
constexpr Duration LongWait = std::chrono::seconds(20);

// Wait of a feed call by a reader, and of one to a reader.
constexpr Duration ReaderWait = std::chrono::milliseconds(900);
constexpr Duration PeerWait = std::chrono::milliseconds(800);

// Time after a failure of the reader in which the store is read instead.
constexpr Duration PeerPause = std::chrono::seconds(3);

// Failed calls to the store in a row after which another router is asked.
constexpr unsigned FailuresBeforePeer = 2;

} // namespace

bool RowCache::take(const std::vector<CachedRow> &Rows, std::uint64_t Version,
                    bool Whole, Instant Confirmed) {
  if (Version < m_Version)
    return false;
  if (Whole) {
    m_Rows.clear();
    m_Oldest = Version;
  }
  for (const CachedRow &Each : Rows)
    m_Rows[Each.m_Key] = Each;
  m_Version = Version;
  if (!m_ConfirmedAt || Confirmed > *m_ConfirmedAt)
    m_ConfirmedAt = Confirmed;
  return true;
}

bool RowCache::fresh(Instant Now) const {
  return m_ConfirmedAt && Now - *m_ConfirmedAt < PassOnTime;
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

void RowSourceChooser::onRouters(std::size_t Routers, bool IsReader) {
  m_Shared = Routers >= m_LeastShared;
  m_Reader = IsReader;
}

RowSource RowSourceChooser::next(Instant Now) const {
  if (m_StoreFailures >= FailuresBeforePeer)
    return m_StoreFailures % 2 == 0 ? RowSource::Peer : RowSource::Store;
  if (!m_Shared || m_Reader)
    return RowSource::Store;
  const bool Paused = m_PeerFailedAt && Now - *m_PeerFailedAt < PeerPause;
  return Paused ? RowSource::Store : RowSource::Peer;
}

Duration RowSourceChooser::wait(RowSource From) const {
  if (From == RowSource::Peer)
    return PeerWait;
  return m_Shared && m_Reader ? ReaderWait : LongWait;
}

void RowSourceChooser::onCall(RowSource From, bool Failed, bool HasPeers,
                              Instant Now) {
  if (From == RowSource::Peer && Failed)
    m_PeerFailedAt = Now;
  if (From == RowSource::Peer && m_StoreFailures == 0)
    return;
  // A reader that answered does not show that the store is back; it is asked in
  // turn with the store until then.
  if (From == RowSource::Store && !Failed)
    m_StoreFailures = 0;
  else if (HasPeers || m_StoreFailures < FailuresBeforePeer)
    ++m_StoreFailures;
  else
    m_StoreFailures = FailuresBeforePeer + 1; // odd: the store
}

} // namespace mimosadale::decide
