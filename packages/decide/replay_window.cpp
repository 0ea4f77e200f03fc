#include "decide/replay_window.h"

namespace mimosadale::decide {

namespace {

constexpr std::uint64_t WindowSize = 64;

} // namespace

bool ReplayWindow::accept(std::uint64_t SenderStart, std::uint64_t Sequence) {
  if (SenderStart < m_SenderStart)
    return false;
  if (SenderStart > m_SenderStart) {
    m_SenderStart = SenderStart;
    m_Highest = Sequence;
    m_AcceptedBits = 1;
    return true;
  }
  if (Sequence > m_Highest) {
    const std::uint64_t Shift = Sequence - m_Highest;
    m_AcceptedBits = Shift >= WindowSize ? 0 : m_AcceptedBits << Shift;
    m_AcceptedBits |= 1;
    m_Highest = Sequence;
    return true;
  }
  const std::uint64_t Age = m_Highest - Sequence;
  if (Age >= WindowSize || (m_AcceptedBits >> Age & 1) != 0)
    return false;
  m_AcceptedBits |= std::uint64_t(1) << Age;
  return true;
}

} // namespace mimosadale::decide
