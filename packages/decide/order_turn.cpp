#include "decide/order_turn.h"

namespace mimosadale::decide {

void LeaseBackoff::begin(Duration Pause, std::uint64_t Taken, Instant Now) {
  m_Since = Now;
  m_Pause = Pause;
  m_Taken = Taken;
}

bool LeaseBackoff::isOver(std::uint64_t Taken, Instant Now) {
  if (Taken != m_Taken) {
    m_Taken = Taken;
    m_Since = Now;
  }
  return Now - *m_Since >= m_Pause;
}

} // namespace mimosadale::decide
