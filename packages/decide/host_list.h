// Leave states from the platform's list of hosts, which lags and may go back to
// an earlier version.
#ifndef MIMOSADALE_DECIDE_HOST_LIST_H
#define MIMOSADALE_DECIDE_HOST_LIST_H

#include "base/id.h"
#include "base/units.h"

#include <map>

namespace mimosadale::decide {

/// Records which hosts are leaving. A host that was listed as leaving once is
/// leaving, whatever later copies of the list say, until it is listed under a
/// newer incarnation. So routers that have seen different copies of the list
/// converge, regardless of the order in which they receive updates.
///
/// \par Thread safety
/// None.
class HostList {
public:
  struct HostState {
    Incarnation m_Incarnation{};
    bool m_Leaving = false;
  };

  /// Merges the state of \p Host in a copy of the list that this or another
  /// router read. \returns the resulting state.
  HostState merge(const HostId &Host, HostState Listed);

  /// The state of \p Host; not leaving if it is unknown.
  HostState state(const HostId &Host) const;

private:
  std::map<HostId, HostState> m_Hosts;
};

} // namespace mimosadale::decide

#endif
