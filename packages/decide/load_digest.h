// Reports of engines that one router passes on to the others of its data
// centre.
#ifndef MIMOSADALE_DECIDE_LOAD_DIGEST_H
#define MIMOSADALE_DECIDE_LOAD_DIGEST_H

#include "decide/fleet.h"
#include "schema/generated/loads.pb.h"

#include <vector>

namespace mimosadale::decide {

/// The reports of \p Engines that came after the one that \p Asked names, are
/// recent enough for others, with their ages. All of them for a question that
/// names another start than \p Start, this router's. Safe from any thread, like
/// all free functions of this header.
schema::LoadDigest makeDigest(const Fleet &Engines,
                              const schema::LoadQuestion &Asked,
                              std::uint64_t Start, Instant Now);

/// What became of a digest.
struct DigestResult {
  /// Distrusted engines that reported since, by a report that cannot be one of
  /// before.
  std::vector<EndpointId> m_Recovered;
  /// No engine in it is unknown here: what it holds need not be asked again.
  bool m_Complete = true;
};

/// Takes the reports of \p From that are newer than the ones known here.
/// \param Asked when the question for it was sent, so that its way back makes
/// no report look younger than it is.
DigestResult mergeDigest(Fleet &Engines, const schema::LoadDigest &From,
                         Instant Asked);

/// Whether this router has the loads from another one, or asks for itself, and
/// what it has already.
///
/// \par Thread safety
/// None.
class DigestTracker {
public:
  /// What to ask \p Router for: what came to it since the last digest of it
  /// that was taken whole.
  schema::LoadQuestion question(const std::string &Router) const;

  /// A digest of \p Router was taken.
  void onDigest(const std::string &Router, const schema::LoadDigest &From,
                bool Whole, Instant Now);

  /// Whether one was taken a moment ago, so that the engines need not be asked.
  bool isCurrent(Instant Now) const;

  /// The pause between two digests. \pre None.
  static Duration interval();

private:
  std::optional<Instant> m_LastDigestAt;
  std::string m_Router; // that `m_NextQuestion` is for
  schema::LoadQuestion m_NextQuestion;
};

} // namespace mimosadale::decide

#endif
