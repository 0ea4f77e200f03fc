// What the platform's list of hosts says, which lags and may go backwards.
#ifndef MIMOSADALE_DECIDE_HOST_LIST_H
#define MIMOSADALE_DECIDE_HOST_LIST_H

#include "base/id.h"
#include "base/units.h"

#include <map>

namespace mimosadale::decide {

/// Remembers which hosts leave. The list is a floor, not the truth: a host that
/// was ever seen leaving goes on leaving, whatever a later copy of the list
/// says, until it is listed under a newer incarnation. So routers that saw
/// different copies come to the same end, in whatever order they hear of them.
///
/// \par Thread safety
/// None.
class HostList {
public:
  /// What is known of one host.
  struct HostState {
    Incarnation m_Incarnation{};
    bool m_Leaving = false;
  };

  /// Takes what a copy of the list says of \p Host, read here or by another
  /// router. \returns what holds after it.
  HostState merge(const HostId &Host, HostState Told);

  /// What holds of \p Host; not leaving if nothing was told.
  HostState state(const HostId &Host) const;

private:
  std::map<HostId, HostState> m_Hosts;
};

} // namespace mimosadale::decide

#endif
