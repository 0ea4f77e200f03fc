// What the platform's list of hosts says, which lags and may go backwards.
#ifndef MIMOSADALE_DECIDE_HOST_LIST_H
#define MIMOSADALE_DECIDE_HOST_LIST_H

#include "base/id.h"
#include "base/units.h"
#include "schema/generated/rows.pb.h"

#include <map>
#include <string>
#include <vector>

namespace mimosadale::decide {

/// Remembers which hosts leave. The list is a floor, not the truth: a host that
/// was ever seen leaving goes on leaving, whatever a later copy of the list
/// says, until it is listed under a newer incarnation.
///
/// \par Thread safety
/// None.
class HostList {
public:
  /// Takes a copy of the list. \returns the names of the hosts that leave.
  std::vector<std::string> onList(const std::vector<schema::HostEntry> &List);

private:
  std::map<HostId, Incarnation> m_Leaving;
};

} // namespace mimosadale::decide

#endif
