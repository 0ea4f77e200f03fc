#include "decide/host_list.h"

namespace mimosadale::decide {

HostList::HostState HostList::merge(const HostId &Host, HostState Listed) {
  HostState &Known = m_Hosts[Host];
  if (Listed.m_Incarnation > Known.m_Incarnation)
    Known = Listed;
  else if (Listed.m_Incarnation == Known.m_Incarnation)
    Known.m_Leaving |= Listed.m_Leaving;
  return Known;
}

HostList::HostState HostList::state(const HostId &Host) const {
  const auto It = m_Hosts.find(Host);
  return It == m_Hosts.end() ? HostState() : It->second;
}

} // namespace mimosadale::decide
