#include "decide/admission.h"

#include <algorithm>
#include <cmath>

namespace mimosadale::decide {

namespace {

// Weight of the newest sample in the mean time that a request is held.
constexpr double HeldGain = 0.1;

// Least wait told to a caller that is refused for overload.
constexpr Duration LeastRetry = std::chrono::milliseconds(100);

} // namespace

double shareWeight(unsigned Weight, unsigned Priority) {
  return std::max(1u, Weight) * std::exp2(static_cast<double>(Priority));
}

Admission::Admission(AdmissionLimits Limits) : m_Limits(Limits) {}

Duration Admission::predictedWait() const {
  if (m_Running < m_Limits.m_MaxConcurrent)
    return {};
  const double Ahead = static_cast<double>(m_Waiting + 1);
  return fromSeconds(m_MeanHeld * Ahead /
                     static_cast<double>(m_Limits.m_MaxConcurrent));
}

AdmissionDecision Admission::offer(const AdmissionRequest &Request,
                                   Instant Now) {
  AdmissionDecision Verdict;
  Verdict.m_Ticket = static_cast<Ticket>(++m_LastTicket);
  const auto refuse = [&](schema::Reason Why, std::optional<Duration> Retry) {
    Verdict.m_Kind = AdmissionDecision::Kind::Refused;
    Verdict.m_Reason = Why;
    Verdict.m_RetryAfter = Retry;
    return Verdict;
  };
  if (Now >= Request.m_Deadline)
    return refuse(schema::DEADLINE_PASSED, std::nullopt);
  const Duration Wait = predictedWait();
  Queue &Own = m_Queues[Request.m_Workspace];
  Own.m_Weight = Request.m_Weight;
  if (m_Running < m_Limits.m_MaxConcurrent && m_Waiting == 0) {
    charge(Own, Request.m_Cost);
    ++m_Running;
    return Verdict;
  }
  if (m_Waiting >= m_Limits.m_MaxQueued)
    return refuse(schema::OVERLOADED, std::max(Wait, LeastRetry));
  if (Now + Wait + fromSeconds(m_MeanHeld) > Request.m_Deadline)
    return refuse(schema::DEADLINE_UNREACHABLE, std::max(Wait, LeastRetry));
  Own.m_ByDeadline.emplace(
      Request.m_Deadline,
      Waiting{Verdict.m_Ticket, Request.m_Cost, Request.m_Deadline});
  ++m_Waiting;
  Verdict.m_Kind = AdmissionDecision::Kind::Queued;
  return Verdict;
}

// Moves the queue's finish tag on by the cost over its weight.
void Admission::charge(Queue &From, double Cost) {
  const double Start = std::max(m_VirtualTime, From.m_FinishTag);
  m_VirtualTime = Start;
  From.m_FinishTag = Start + Cost / From.m_Weight;
}

// The waiting queue whose next request starts first in virtual time.
Admission::Queue *Admission::nextQueue() {
  Queue *Best = nullptr;
  for (auto &[Name, Each] : m_Queues) {
    if (Each.m_ByDeadline.empty())
      continue;
    if (!Best || std::max(m_VirtualTime, Each.m_FinishTag) <
                     std::max(m_VirtualTime, Best->m_FinishTag))
      Best = &Each;
  }
  return Best;
}

void Admission::admitWaiting(Instant Now, AdmissionChanges &Into) {
  while (m_Running < m_Limits.m_MaxConcurrent) {
    Queue *Next = nextQueue();
    if (!Next)
      return;
    const Waiting First = Next->m_ByDeadline.begin()->second;
    Next->m_ByDeadline.erase(Next->m_ByDeadline.begin());
    --m_Waiting;
    if (First.m_Deadline <= Now) {
      Into.m_Expired.push_back(First.m_Ticket);
      continue;
    }
    charge(*Next, First.m_Cost);
    ++m_Running;
    Into.m_Admitted.push_back(First.m_Ticket);
  }
}

AdmissionChanges Admission::release(Duration Held, Instant Now) {
  AdmissionChanges Changes;
  if (m_Running > 0)
    --m_Running;
  const double Sample = seconds(Held);
  m_MeanHeld += (m_MeanHeld == 0 ? 1 : HeldGain) * (Sample - m_MeanHeld);
  admitWaiting(Now, Changes);
  return Changes;
}

bool Admission::cancel(Ticket Which) {
  for (auto &[Name, Each] : m_Queues)
    for (auto It = Each.m_ByDeadline.begin(); It != Each.m_ByDeadline.end();
         ++It)
      if (It->second.m_Ticket == Which) {
        Each.m_ByDeadline.erase(It);
        --m_Waiting;
        return true;
      }
  return false;
}

} // namespace mimosadale::decide
