// Reports of engines that one router passes on to the others of its data
// centre.
#ifndef MIMOSADALE_DECIDE_LOAD_DIGEST_H
#define MIMOSADALE_DECIDE_LOAD_DIGEST_H

#include "decide/fleet.h"
#include "schema/generated/loads.pb.h"

#include <vector>

namespace mimosadale::decide {

/// The reports of \p Engines that are recent enough for others, with their
/// ages. Safe from any thread, like all free functions of this header.
schema::LoadDigest digestOf(const Fleet &Engines, Instant Now);

/// Takes the reports of \p From that are newer than the ones known here.
/// \param Asked when the question for it was sent, so that its way back makes
/// no report look younger than it is. \returns distrusted engines that reported
/// since, by a report that cannot be one of before.
std::vector<EndpointId>
takeDigest(Fleet &Engines, const schema::LoadDigest &From, Instant Asked);

/// Whether this router has the loads from another one, or asks for itself.
///
/// \par Thread safety
/// None.
class LoadSource {
public:
  /// A digest was taken.
  void onDigest(Instant Now) { m_TakenAt = Now; }

  /// Whether one was taken a moment ago, so that the engines need not be asked.
  bool told(Instant Now) const;

  /// The pause between two digests. \pre None.
  static Duration pause();

private:
  std::optional<Instant> m_TakenAt;
};

} // namespace mimosadale::decide

#endif
