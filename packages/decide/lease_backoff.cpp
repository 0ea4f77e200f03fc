#include "decide/lease_backoff.h"

namespace mimosadale::decide {

void LeaseBackoff::begin(Duration Backoff, std::uint64_t LayerChanges,
                         Instant Now) {
  m_Since = Now;
  m_Backoff = Backoff;
  m_LayerChanges = LayerChanges;
}

bool LeaseBackoff::isOver(std::uint64_t LayerChanges, Instant Now) {
  if (LayerChanges != m_LayerChanges) {
    m_LayerChanges = LayerChanges;
    m_Since = Now;
  }
  return Now - *m_Since >= m_Backoff;
}

} // namespace mimosadale::decide
