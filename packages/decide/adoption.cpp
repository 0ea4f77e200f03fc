#include "decide/adoption.h"

#include "decide/rendezvous.h"

namespace mimosadale::decide {

namespace {

// How much more seldom the other routers look.
constexpr int SeldomFactor = 10;

} // namespace

GenerationCheck ConfigAdoption::checkGeneration(Generation Seen,
                                                bool FromPlatform) const {
  if (Seen > m_Adopted)
    return GenerationCheck::Newer;
  // A peer that lags is no fault; a platform that lags has lost a change.
  if (Seen < m_Adopted && FromPlatform)
    return GenerationCheck::RolledBack;
  return GenerationCheck::NotNewer;
}

bool ConfigAdoption::pollDue(const std::string &Self,
                             const std::vector<std::string> &AliveHere,
                             Instant Now) {
  const auto Chosen = chooseMembers(AliveHere, "platform", 1);
  const bool Mine = Chosen.empty() || Chosen.front() == Self;
  const bool Started = raw(m_Adopted) > 0;
  const Duration Pause = Mine || !Started ? m_Often : m_Often * SeldomFactor;
  if (m_LastLook != Instant() && Now - m_LastLook < Pause)
    return false;
  m_LastLook = Now;
  return true;
}

} // namespace mimosadale::decide
