// One order at a time for streams that stand still for the same cause.
#ifndef MIMOSADALE_DECIDE_REPAIR_GATE_H
#define MIMOSADALE_DECIDE_REPAIR_GATE_H

#include "base/units.h"
#include "decide/path.h"

#include <map>

namespace mimosadale::decide {

/// When an engine is lost, all streams through it are led over the same other
/// engines. The first order tells whether those take them; the others wait for
/// its answer, a fraction of the pause that a stream bears.
///
/// \par Thread safety
/// None.
class RepairGate {
public:
  /// Whether an order with these new stages may be sent now. The first one is
  /// what others wait for, until `onAnswer`; after one that was taken, all may.
  bool enter(const Path &Changes, Instant Now);

  /// The order was answered, or is given up. \param Fault the engine that could
  /// not take its part; may be empty. \returns whether others waited for it.
  bool onAnswer(const Path &Changes, bool Taken, const EndpointId &Fault,
                Instant Now);

  /// Engines that could not take a part a moment ago.
  EndpointSet unfit(Instant Now) const;

private:
  struct Order {
    Instant m_SentAt{};
    bool m_Awaited = false;
  };

  std::map<Path, Order> m_Sent;
  std::map<Path, Instant> m_TakenAt; // by their engines
  std::map<EndpointId, Instant> m_FaultAt;
};

} // namespace mimosadale::decide

#endif
