// Nodes of the membership protocols that are compared.
#ifndef MIMOSADALE_BENCH_MEMBERSHIP_NODES_H
#define MIMOSADALE_BENCH_MEMBERSHIP_NODES_H

#include "decide/membership.h"
#include "support/virtual_network.h"

#include <memory>
#include <string>
#include <vector>

namespace mimosadale::bench {

/// One node of a membership protocol.
class MembershipNode {
public:
  virtual ~MembershipNode() = default;
  virtual VirtualNode node() = 0;
  /// Whether this node currently considers \p Name dead or unreachable.
  virtual bool considersDead(const std::string &Name) const = 0;
  /// Number of nodes that this node itself declared dead while they were alive.
  virtual std::uint64_t falseSuspicions() const = 0;
};

/// A node and its data centre.
struct NodeLocation {
  std::string m_Name;
  std::string m_DataCentre;
};

using NodeLocations = std::vector<NodeLocation>;

/// The router's own protocol, `decide::Membership`.
std::unique_ptr<MembershipNode> makeRing(const NodeLocation &Self,
                                         const NodeLocations &All,
                                         decide::MembershipSettings Settings);

/// Every node sends a heartbeat to every other node each period, as in
/// T. Chandra, S. Toueg, "Unreliable Failure Detectors for Reliable Distributed
/// Systems", 1996.
std::unique_ptr<MembershipNode> makeAllToAll(const NodeLocation &Self,
                                             const NodeLocations &All,
                                             Duration Period, Duration Timeout);

/// The ring of M. Larrea, S. Arévalo, A. Fernández (Fig. 5 with the growing
/// timeouts of Fig. 4): each node polls its nearest unsuspected successor, and
/// the polls carry the global list of suspects.
std::unique_ptr<MembershipNode> makeLarreaRing(const NodeLocation &Self,
                                               const NodeLocations &All,
                                               Duration Period,
                                               Duration Timeout);

} // namespace mimosadale::bench

#endif
