#include "decide/reader_chooser.h"

#include "decide/rendezvous.h"

#include <algorithm>
#include <utility>

namespace mimosadale::decide {

namespace {

// Number of routers from which on there are readers: the one from which on the
// poll intervals grow (`report_schedule.cpp`).
constexpr std::size_t MinRouters = 16;

// Reader candidates per data centre.
constexpr std::size_t MaxCandidates = 2;

// Time for which a reader is not used after a failure.
constexpr Duration FailureCooldown = std::chrono::seconds(5);

// Together well below the time for which rows count as confirmed
// (`RowCache::confirmed`).
constexpr Duration ReaderWait = std::chrono::milliseconds(600);
constexpr Duration ReaderInterval = std::chrono::milliseconds(200);

// For routers that read from a reader, which answers at once when there is a
// change.
constexpr Duration FollowerWait = std::chrono::milliseconds(500);
constexpr Duration FollowerInterval = std::chrono::milliseconds(50);

} // namespace

void ReaderChooser::setRouters(const std::string &Self,
                               const std::map<std::string, double> &Cores,
                               std::size_t Total) {
  m_Self = Self;
  m_Candidates.clear();
  if (Total < MinRouters)
    return;
  std::vector<double> SortedCores;
  SortedCores.reserve(Cores.size());
  for (const auto &[Name, RouterCores] : Cores)
    SortedCores.push_back(RouterCores);
  std::sort(SortedCores.rbegin(), SortedCores.rend());
  const double MinCores =
      SortedCores.empty()
          ? 0
          : SortedCores[std::min(MaxCandidates, SortedCores.size()) - 1];
  std::vector<std::string> LargestRouters;
  for (const auto &[Name, RouterCores] : Cores)
    if (RouterCores >= MinCores)
      LargestRouters.push_back(Name);
  m_Candidates =
      chooseMembers(std::move(LargestRouters), "reader", MaxCandidates);
}

std::optional<std::string> ReaderChooser::firstHealthy(Instant Now) const {
  for (const std::string &Candidate : m_Candidates) {
    const auto Failed = m_FailedAt.find(Candidate);
    if (Failed == m_FailedAt.end() || Now - Failed->second > FailureCooldown)
      return Candidate;
  }
  return std::nullopt;
}

std::optional<std::string> ReaderChooser::reader(Instant Now) const {
  const auto First = firstHealthy(Now);
  return First == m_Self ? std::nullopt : First;
}

bool ReaderChooser::readsForOthers(Instant Now) const {
  return firstHealthy(Now) == m_Self;
}

void ReaderChooser::onFailed(const std::string &Reader, Instant Now) {
  m_FailedAt[Reader] = Now;
}

TableRead ReaderChooser::planRead(TableRead Direct, Instant Now) const {
  if (Direct.m_Source == RowSource::Peer)
    return Direct;
  if (readsForOthers(Now)) {
    Direct.m_Wait = std::min(Direct.m_Wait, ReaderWait);
    Direct.m_Interval = ReaderInterval;
  } else if (auto Reader = reader(Now)) {
    Direct.m_Router = std::move(Reader);
    Direct.m_Wait = FollowerWait;
    Direct.m_Interval = FollowerInterval;
  }
  return Direct;
}

} // namespace mimosadale::decide
