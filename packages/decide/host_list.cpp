#include "decide/host_list.h"

namespace mimosadale::decide {

HostList::HostState HostList::merge(const HostId &Host, HostState Listed) {
  HostState &Current = m_Hosts[Host];
  if (Listed.m_Incarnation > Current.m_Incarnation)
    Current = Listed;
  else if (Listed.m_Incarnation == Current.m_Incarnation)
    Current.m_Leaving |= Listed.m_Leaving;
  return Current;
}

HostList::HostState HostList::state(const HostId &Host) const {
  const auto It = m_Hosts.find(Host);
  return It == m_Hosts.end() ? HostState() : It->second;
}

} // namespace mimosadale::decide
