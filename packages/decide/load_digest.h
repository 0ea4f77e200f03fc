// Digests of engine load reports, by which one router of a data centre relays
// the reports that it polls to the others.
#ifndef MIMOSADALE_DECIDE_LOAD_DIGEST_H
#define MIMOSADALE_DECIDE_LOAD_DIGEST_H

#include "decide/fleet.h"
#include "schema/generated/loads.pb.h"

#include <vector>

namespace mimosadale::decide {

/// The load reports in \p Engines, with their ages, that arrived after the one
/// named in \p Question and are recent enough to be relayed. All recent reports
/// if \p Question names another start than \p Start, that of this router. Safe
/// from any thread, like all free functions of this header.
schema::LoadDigest makeDigest(const Fleet &Engines,
                              const schema::LoadQuestion &Question,
                              std::uint64_t Start, Instant Now);

/// The result of merging a digest.
struct DigestResult {
  /// Suspect engines in the digest whose report is too recent to date from
  /// before the suspicion.
  std::vector<EndpointId> m_Recovered;
  /// Whether all engines of the digest are known here, so that its reports need
  /// not be requested again.
  bool m_Complete = true;
};

/// Merges the reports of \p Digest that are newer than the known ones.
/// \param RequestedAt when the digest was requested. Ages count from there, so
/// that the transit time does not make a report look newer than it is.
DigestResult mergeDigest(Fleet &Engines, const schema::LoadDigest &Digest,
                         Instant RequestedAt);

/// Tracks the digests received from another router: whether they are current,
/// so that this router need not poll the engines, and what to request next.
///
/// \par Thread safety
/// None.
class DigestTracker {
public:
  /// The request to \p Router: for the reports since its last digest that was
  /// merged completely.
  schema::LoadQuestion question(const std::string &Router) const;

  /// A digest of \p Router was merged; see `DigestResult::m_Complete`.
  void onDigest(const std::string &Router, const schema::LoadDigest &Digest,
                bool Complete, Instant Now);

  /// Whether a digest was merged recently enough for the engines not to be
  /// polled.
  bool isCurrent(Instant Now) const;

  /// Interval between two digest requests.
  static Duration interval();

private:
  std::optional<Instant> m_LastDigestAt;
  std::string m_Router; // to which m_NextQuestion is sent
  schema::LoadQuestion m_NextQuestion;
};

} // namespace mimosadale::decide

#endif
