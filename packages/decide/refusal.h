// The final answer to a request that the router refuses or cannot complete.
#ifndef MIMOSADALE_DECIDE_REFUSAL_H
#define MIMOSADALE_DECIDE_REFUSAL_H

#include "base/units.h"
#include "decide/run_state.h"

#include <optional>
#include <string>

namespace mimosadale::decide {

/// Why a request is refused, whether it may have run, and when to retry.
///
/// \par Thread safety
/// Immutable.
class Refusal {
public:
  /// Refuses a request that provably had no effect.
  static Refusal notRun(const NotRunProof &Proof, schema::Reason Reason,
                        std::string Detail,
                        std::optional<Duration> RetryAfter = std::nullopt);

  /// Refuses with the run state that \p Run has established. \pre None.
  static Refusal forRun(const RunTracker &Run, schema::Reason Reason,
                        std::string Detail,
                        std::optional<Duration> RetryAfter = std::nullopt);

  schema::Reason reason() const { return m_Reason; }
  schema::RunState runState() const { return m_RunState; }
  const std::string &detail() const { return m_Detail; }

  /// Time until a retry may succeed; none when a retry cannot succeed.
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
