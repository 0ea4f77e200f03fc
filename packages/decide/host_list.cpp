#include "decide/host_list.h"

namespace mimosadale::decide {

HostList::HostState HostList::merge(const HostId &Host, HostState Told) {
  HostState &Held = m_Hosts[Host];
  if (Told.m_Incarnation > Held.m_Incarnation)
    Held = Told;
  else if (Told.m_Incarnation == Held.m_Incarnation)
    Held.m_Leaving |= Told.m_Leaving;
  return Held;
}

HostList::HostState HostList::state(const HostId &Host) const {
  const auto Found = m_Hosts.find(Host);
  return Found == m_Hosts.end() ? HostState() : Found->second;
}

} // namespace mimosadale::decide
