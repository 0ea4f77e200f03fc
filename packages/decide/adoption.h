// Which configuration a router adopts, and when it looks for one.
#ifndef MIMOSADALE_DECIDE_ADOPTION_H
#define MIMOSADALE_DECIDE_ADOPTION_H

#include "base/units.h"

#include <string>
#include <vector>

namespace mimosadale::decide {

/// What a router does about a generation that it saw.
enum class GenerationCheck { Newer, NotNewer, RolledBack };

/// Routers adopt only greater generations. One router of each data centre looks
/// at the platform often, the others seldom: they hear of a change from their
/// peers, and so neither the platform's reads nor a node's bytes grow with the
/// fleet.
///
/// \par Thread safety
/// None.
class ConfigAdoption {
public:
  /// \param Often interval of the router that looks for its data centre.
  explicit ConfigAdoption(Duration PollInterval)
      : m_PollInterval(PollInterval) {}

  /// What to do about a generation seen on the platform or at a peer.
  GenerationCheck checkGeneration(Generation Seen, bool FromPlatform) const;

  /// The generation adopted now. \pre Greater than the one before.
  void onAdopted(Generation Adopted) { m_Adopted = Adopted; }

  /// Whether to look at the platform now. \param Self this router's name.
  /// \param AliveHere the living routers of its data centre.
  bool pollDue(const std::string &Self,
               const std::vector<std::string> &LiveRouters, Instant Now);

  Generation adopted() const { return m_Adopted; }

private:
  Duration m_PollInterval;
  Generation m_Adopted{0};
  Instant m_LastPoll{};
};

} // namespace mimosadale::decide

#endif
