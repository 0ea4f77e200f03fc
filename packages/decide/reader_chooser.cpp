#include "decide/reader_chooser.h"

#include "decide/rendezvous.h"

#include <algorithm>
#include <utility>

namespace mimosadale::decide {

namespace {

// Routers from which on one reads for the others; as for the intervals between
// reports, which grow from there on (`report_schedule.cpp`).
constexpr std::size_t MinRouters = 16;

// Candidates for the reader of a data centre.
constexpr std::size_t MaxCandidates = 2;

// Time for which a reader that failed is not asked.
constexpr Duration FailureCooldown = std::chrono::seconds(5);

// Wait and pause of a reader: together well below the time for which rows may
// be passed on (`RowCache::confirmed`).
constexpr Duration ReaderWait = std::chrono::milliseconds(600);
constexpr Duration ReaderInterval = std::chrono::milliseconds(200);

// Wait and pause of those that read from it: it answers when there is a change.
constexpr Duration FollowerWait = std::chrono::milliseconds(500);
constexpr Duration FollowerInterval = std::chrono::milliseconds(50);

} // namespace

void ReaderChooser::setRouters(const std::string &Self,
                               const std::map<std::string, double> &Here,
                               std::size_t All) {
  m_Self = Self;
  m_Candidates.clear();
  if (All < MinRouters)
    return;
  std::vector<double> Cores;
  Cores.reserve(Here.size());
  for (const auto &[Name, Each] : Here)
    Cores.push_back(Each);
  std::sort(Cores.rbegin(), Cores.rend());
  const double Least =
      Cores.empty() ? 0 : Cores[std::min(MaxCandidates, Cores.size()) - 1];
  std::vector<std::string> Largest;
  for (const auto &[Name, Each] : Here)
    if (Each >= Least)
      Largest.push_back(Name);
  m_Candidates = chooseMembers(std::move(Largest), "reader", MaxCandidates);
}

std::optional<std::string> ReaderChooser::firstHealthy(Instant Now) const {
  for (const std::string &Each : m_Candidates) {
    const auto Failed = m_FailedAt.find(Each);
    if (Failed == m_FailedAt.end() || Now - Failed->second > FailureCooldown)
      return Each;
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

TableRead ReaderChooser::planRead(TableRead Own, Instant Now) const {
  if (Own.m_Source == RowSource::Peer)
    return Own;
  if (readsForOthers(Now)) {
    Own.m_Wait = std::min(Own.m_Wait, ReaderWait);
    Own.m_Interval = ReaderInterval;
  } else if (auto Reader = reader(Now)) {
    Own.m_Router = std::move(Reader);
    Own.m_Wait = FollowerWait;
    Own.m_Interval = FollowerInterval;
  }
  return Own;
}

} // namespace mimosadale::decide
