#include "decide/replay_window.h"

namespace mimosadale::decide {

namespace {

constexpr std::uint64_t WindowSize = 64;

} // namespace

bool ReplayWindow::accept(std::uint64_t Started, std::uint64_t Sequence) {
  if (Started < m_Started)
    return false;
  if (Started > m_Started) {
    m_Started = Started;
    m_Highest = Sequence;
    m_Seen = 1;
    return true;
  }
  if (Sequence > m_Highest) {
    const std::uint64_t Step = Sequence - m_Highest;
    m_Seen = Step >= WindowSize ? 0 : m_Seen << Step;
    m_Seen |= 1;
    m_Highest = Sequence;
    return true;
  }
  const std::uint64_t Behind = m_Highest - Sequence;
  if (Behind >= WindowSize || (m_Seen >> Behind & 1) != 0)
    return false;
  m_Seen |= std::uint64_t(1) << Behind;
  return true;
}

} // namespace mimosadale::decide
