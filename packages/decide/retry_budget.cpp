#include "decide/retry_budget.h"

#include <algorithm>

namespace mimosadale::decide {

RetryBudget::RetryBudget(double Fraction, double Reserve)
    : m_Fraction(Fraction), m_Reserve(Reserve), m_Left(Reserve) {}

void RetryBudget::onFirstTry() {
  m_Left = std::min(m_Reserve, m_Left + m_Fraction);
}

bool RetryBudget::take() {
  if (m_Left < 1)
    return false;
  m_Left -= 1;
  return true;
}

} // namespace mimosadale::decide
