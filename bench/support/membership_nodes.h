// The ways of membership that are measured against each other.
#ifndef MIMOSADALE_BENCH_MEMBERSHIP_NODES_H
#define MIMOSADALE_BENCH_MEMBERSHIP_NODES_H

#include "decide/membership.h"
#include "support/virtual_network.h"

#include <memory>
#include <string>
#include <vector>

namespace mimosadale::bench {

/// One node of a way of membership.
class MembershipNode {
public:
  virtual ~MembershipNode() = default;
  virtual VirtualNode node() = 0;
  /// Whether this node takes \p Name for dead now.
  virtual bool considersDead(const std::string &Name) const = 0;
  /// Deaths that it declared itself and that turned out wrong.
  virtual std::uint64_t falseSuspicions() const = 0;
};

/// A name, its data centre, and all the others: what each way starts from.
struct NodeLocation {
  std::string m_Name;
  std::string m_DataCentre;
};

using NodeLocations = std::vector<NodeLocation>;

/// The adopted way, with the settings given.
std::unique_ptr<MembershipNode> makeRing(const NodeLocation &Self,
                                         const NodeLocations &All,
                                         decide::MembershipSettings Settings);

/// Every node sends a heartbeat to every other one each period, as in
/// T. Chandra, S. Toueg, "Unreliable Failure Detectors for Reliable Distributed
/// Systems", 1996.
std::unique_ptr<MembershipNode> makeAllToAll(const NodeLocation &Self,
                                             const NodeLocations &All,
                                             Duration Period, Duration Timeout);

/// The ring of M. Larrea, S. Arévalo, A. Fernández (Fig. 5 with the growing
/// timeouts of Fig. 4): each node polls its nearest unsuspected successor, and
/// the global list of suspects rides on the polls.
std::unique_ptr<MembershipNode> makeLarreaRing(const NodeLocation &Self,
                                               const NodeLocations &All,
                                               Duration Period,
                                               Duration Timeout);

} // namespace mimosadale::bench

#endif
