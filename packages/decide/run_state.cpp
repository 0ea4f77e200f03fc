#include "decide/run_state.h"

namespace mimosadale::decide {

void RunTracker::beforeDispatch() {
  m_EarlierMayHaveRun = m_State != schema::NOT_RUN;
  if (m_State == schema::NOT_RUN)
    m_State = schema::MAY_HAVE_RUN;
}

void RunTracker::dispatchNeverSent() {
  if (m_State == schema::MAY_HAVE_RUN && !m_EarlierMayHaveRun)
    m_State = schema::NOT_RUN;
}

void RunTracker::endpointReportedNotRun(bool Trusted) {
  if (Trusted)
    dispatchNeverSent();
}

std::optional<NotRunProof> RunTracker::notRunProof() const {
  if (m_State != schema::NOT_RUN)
    return std::nullopt;
  return NotRunProof();
}

} // namespace mimosadale::decide
