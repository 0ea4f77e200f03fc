#include "decide/host_list.h"

namespace mimosadale::decide {

HostList::Word HostList::onWord(const HostId &Host, Word Told) {
  Word &Held = m_Hosts[Host];
  if (Told.m_Incarnation > Held.m_Incarnation)
    Held = Told;
  else if (Told.m_Incarnation == Held.m_Incarnation)
    Held.m_Leaving |= Told.m_Leaving;
  return Held;
}

HostList::Word HostList::of(const HostId &Host) const {
  const auto Found = m_Hosts.find(Host);
  return Found == m_Hosts.end() ? Word() : Found->second;
}

} // namespace mimosadale::decide
