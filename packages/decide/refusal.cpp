#include "decide/refusal.h"

#include <utility>

namespace mimosadale::decide {

Refusal::Refusal(schema::Reason Why, schema::RunState State, std::string Detail,
                 std::optional<Duration> RetryAfter)
    : m_Reason(Why), m_RunState(State), m_Detail(std::move(Detail)),
      m_RetryAfter(RetryAfter) {}

Refusal Refusal::notRun(const NotRunProof &, schema::Reason Why,
                        std::string Detail,
                        std::optional<Duration> RetryAfter) {
  return {Why, schema::NOT_RUN, std::move(Detail), RetryAfter};
}

Refusal Refusal::forRun(const RunTracker &Run, schema::Reason Why,
                        std::string Detail,
                        std::optional<Duration> RetryAfter) {
  if (const auto Proof = Run.notRunProof())
    return notRun(*Proof, Why, std::move(Detail), RetryAfter);
  return {Why, Run.state(), std::move(Detail), RetryAfter};
}

} // namespace mimosadale::decide
