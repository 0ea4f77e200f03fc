#include "decide/config_adoption.h"

#include "decide/rendezvous.h"

namespace mimosadale::decide {

namespace {

// Poll interval of the other routers of a data centre, as a multiple of the
// interval of the one that polls for it.
constexpr int BackupIntervalFactor = 10;

} // namespace

GenerationCheck ConfigAdoption::checkGeneration(Generation Candidate,
                                                bool FromPlatform) const {
  if (Candidate > m_Adopted)
    return GenerationCheck::Newer;
  // A peer may lag; a platform that offers an older generation has lost a
  // change.
  if (Candidate < m_Adopted && FromPlatform)
    return GenerationCheck::RolledBack;
  return GenerationCheck::NotNewer;
}

bool ConfigAdoption::pollDue(const std::string &Self,
                             const std::vector<std::string> &LiveRouters,
                             Instant Now) {
  const auto Pollers = chooseMembers(LiveRouters, "platform", 1);
  const bool IsPoller = Pollers.empty() || Pollers.front() == Self;
  const bool HasConfig = raw(m_Adopted) > 0;
  const Duration Interval = IsPoller || !HasConfig
                                ? m_PollInterval
                                : m_PollInterval * BackupIntervalFactor;
  if (m_LastPoll != Instant() && Now - m_LastPoll < Interval)
    return false;
  m_LastPoll = Now;
  return true;
}

} // namespace mimosadale::decide
