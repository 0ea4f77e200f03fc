#include "decide/refusal.h"

#include <utility>

namespace mimosadale::decide {

Refusal::Refusal(schema::Reason Reason, schema::RunState State,
                 std::string Detail, std::optional<Duration> RetryAfter)
    : m_Reason(Reason), m_RunState(State), m_Detail(std::move(Detail)),
      m_RetryAfter(RetryAfter) {}

Refusal Refusal::notRun(const NotRunProof &, schema::Reason Reason,
                        std::string Detail,
                        std::optional<Duration> RetryAfter) {
  return {Reason, schema::NOT_RUN, std::move(Detail), RetryAfter};
}

Refusal Refusal::forRun(const RunTracker &Run, schema::Reason Reason,
                        std::string Detail,
                        std::optional<Duration> RetryAfter) {
  if (const auto Proof = Run.notRunProof())
    return notRun(*Proof, Reason, std::move(Detail), RetryAfter);
  return {Reason, Run.state(), std::move(Detail), RetryAfter};
}

} // namespace mimosadale::decide
