// Decides which configuration generations a router adopts and when it polls
// the platform for a new one.
#ifndef MIMOSADALE_DECIDE_CONFIG_ADOPTION_H
#define MIMOSADALE_DECIDE_CONFIG_ADOPTION_H

#include "base/units.h"

#include <string>
#include <vector>

namespace mimosadale::decide {

/// How a generation compares with the adopted one. `RolledBack`: the platform
/// offers an older generation than the one adopted.
enum class GenerationCheck { Newer, NotNewer, RolledBack };

/// Adopts only increasing generations. One router of each data centre polls the
/// platform at the short interval, the others at a longer one, since they learn
/// of a change from their peers. So neither the reads of the platform nor the
/// bytes per node grow with the fleet.
///
/// \par Thread safety
/// None.
class ConfigAdoption {
public:
  /// \param PollInterval of the router that polls for its data centre.
  explicit ConfigAdoption(Duration PollInterval)
      : m_PollInterval(PollInterval) {}

  /// Compares a generation read from the platform or announced by a peer with
  /// the adopted one.
  GenerationCheck checkGeneration(Generation Candidate,
                                  bool FromPlatform) const;

  /// Records the adopted generation. \pre Greater than the previous one.
  void onAdopted(Generation Adopted) { m_Adopted = Adopted; }

  /// Whether to poll the platform now; if so, records the poll.
  /// \param Self this router's name.
  /// \param LiveRouters the live routers of its data centre.
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
