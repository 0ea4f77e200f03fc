// The final answer to a request that is not served.
#ifndef MIMOSADALE_DECIDE_REFUSAL_H
#define MIMOSADALE_DECIDE_REFUSAL_H

#include "base/units.h"
#include "decide/run_state.h"

#include <optional>
#include <string>

namespace mimosadale::decide {

/// Why a request is refused, what is known of its effect, and when a later try
/// could help.
///
/// \par Thread safety
/// Immutable.
class Refusal {
public:
  /// Refuses a request that is proved to be without effect.
  static Refusal notRun(const NotRunProof &Proof, schema::Reason Reason,
                        std::string Detail,
                        std::optional<Duration> RetryAfter = std::nullopt);

  /// Refuses with whatever \p Run can prove. \pre None.
  static Refusal forRun(const RunTracker &Run, schema::Reason Reason,
                        std::string Detail,
                        std::optional<Duration> RetryAfter = std::nullopt);

  schema::Reason reason() const { return m_Reason; }
  schema::RunState runState() const { return m_RunState; }
  const std::string &detail() const { return m_Detail; }

  /// Time until a later try could help; none when it could not.
  std::optional<Duration> retryAfter() const { return m_RetryAfter; }

private:
  Refusal(schema::Reason Reason, schema::RunState State, std::string Detail,
          std::optional<Duration> RetryAfter);

  schema::Reason m_Reason;
  schema::RunState m_RunState;
  std::string m_Detail;
  std::optional<Duration> m_RetryAfter;
};

} // namespace mimosadale::decide

#endif
