#include "decide/retry_budget.h"

#include <algorithm>

namespace mimosadale::decide {

namespace {

// Part of the shared budget that the routers use together. The rest is for what
// a restart forgets and for the edges of windows.
constexpr double UsedPart = 0.9;

} // namespace

RetryBudget::RetryBudget(double Fraction, double Reserve)
    : m_Fraction(Fraction), m_Reserve(Reserve), m_Left(Reserve) {}

void RetryBudget::onFirstAttempt() {
  m_Left = std::min(m_Reserve, m_Left + m_Fraction);
}

bool RetryBudget::tryConsume() {
  if (m_Left < 1)
    return false;
  m_Left -= 1;
  return true;
}

WindowedRetryBudget::Part &WindowedRetryBudget::partAt(Instant Now) {
  const Duration Length = m_Bounds.m_Window / Parts;
  const std::int64_t Number = Now.time_since_epoch() / Length;
  Part &Found = m_Parts[static_cast<std::size_t>(Number) % m_Parts.size()];
  if (Found.m_Number != Number)
    Found = Part{Number, 0, 0};
  return Found;
}

void WindowedRetryBudget::onFirstAttempt(Instant Now) { ++partAt(Now).m_First; }

bool WindowedRetryBudget::allows(Instant Now, std::size_t Routers) {
  const Part &Present = partAt(Now);
  double First = 0;
  double Again = 0;
  for (const Part &Each : m_Parts) {
    if (Each.m_Number + static_cast<std::int64_t>(Parts) < Present.m_Number)
      continue;
    First += Each.m_First;
    Again += Each.m_Again;
  }
  const double Grown =
      std::min(1.0, seconds(Now - m_Begun) / seconds(m_Bounds.m_Window));
  const double Slack = Grown * m_Bounds.m_Slack / static_cast<double>(Routers);
  return Again + 1 <= UsedPart * (m_Bounds.m_Fraction * First + Slack);
}

bool WindowedRetryBudget::tryConsume(Instant Now, std::size_t Routers) {
  if (!allows(Now, Routers))
    return false;
  ++partAt(Now).m_Again;
  return true;
}

} // namespace mimosadale::decide
