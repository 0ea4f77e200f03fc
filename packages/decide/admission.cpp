#include "decide/admission.h"

#include <algorithm>
#include <cmath>

namespace mimosadale::decide {

namespace {

// Weight of the newest sample in the moving average of the service time.
constexpr double ServiceTimeGain = 0.1;

// Lower bound of the retry-after of a request refused for overload.
constexpr Duration MinRetryAfter = std::chrono::milliseconds(100);

} // namespace

double shareWeight(unsigned Weight, unsigned Priority) {
  return std::max(1u, Weight) * std::exp2(static_cast<double>(Priority));
}

Admission::Admission(AdmissionLimits Limits) : m_Limits(Limits) {}

Duration Admission::predictedWait() const {
  if (m_Running < m_Limits.m_MaxConcurrent)
    return {};
  const double Position = static_cast<double>(m_Queued + 1);
  return fromSeconds(m_MeanServiceTime * Position /
                     static_cast<double>(m_Limits.m_MaxConcurrent));
}

AdmissionDecision Admission::offer(const AdmissionRequest &Request,
                                   Instant Now) {
  AdmissionDecision Decision;
  Decision.m_Ticket = static_cast<Ticket>(++m_LastTicket);
  const auto refuse = [&](schema::Reason Reason,
                          std::optional<Duration> RetryAfter) {
    Decision.m_Kind = AdmissionDecision::Kind::Refused;
    Decision.m_Reason = Reason;
    Decision.m_RetryAfter = RetryAfter;
    return Decision;
  };
  if (Now >= Request.m_Deadline)
    return refuse(schema::DEADLINE_PASSED, std::nullopt);
  const Duration Wait = predictedWait();
  Queue &WorkspaceQueue = m_Queues[Request.m_Workspace];
  WorkspaceQueue.m_Weight = Request.m_Weight;
  if (m_Running < m_Limits.m_MaxConcurrent && m_Queued == 0) {
    charge(WorkspaceQueue, Request.m_Cost);
    ++m_Running;
    return Decision;
  }
  if (m_Queued >= m_Limits.m_MaxQueued)
    return refuse(schema::OVERLOADED, std::max(Wait, MinRetryAfter));
  if (Now + Wait + fromSeconds(m_MeanServiceTime) > Request.m_Deadline)
    return refuse(schema::DEADLINE_UNREACHABLE, std::max(Wait, MinRetryAfter));
  WorkspaceQueue.m_ByDeadline.emplace(
      Request.m_Deadline,
      QueuedRequest{Decision.m_Ticket, Request.m_Cost, Request.m_Deadline});
  ++m_Queued;
  Decision.m_Kind = AdmissionDecision::Kind::Queued;
  return Decision;
}

// Advances the queue's finish tag by the cost divided by its weight.
void Admission::charge(Queue &Target, double Cost) {
  const double Start = std::max(m_VirtualTime, Target.m_FinishTag);
  m_VirtualTime = Start;
  Target.m_FinishTag = Start + Cost / Target.m_Weight;
}

// The non-empty queue whose next request has the lowest virtual start time;
// null when all queues are empty.
Admission::Queue *Admission::nextQueue() {
  Queue *Best = nullptr;
  for (auto &[Workspace, WorkspaceQueue] : m_Queues) {
    if (WorkspaceQueue.m_ByDeadline.empty())
      continue;
    if (!Best || std::max(m_VirtualTime, WorkspaceQueue.m_FinishTag) <
                     std::max(m_VirtualTime, Best->m_FinishTag))
      Best = &WorkspaceQueue;
  }
  return Best;
}

void Admission::admitQueued(Instant Now, AdmissionChanges &Changes) {
  while (m_Running < m_Limits.m_MaxConcurrent) {
    Queue *Next = nextQueue();
    if (!Next)
      return;
    const QueuedRequest Request = Next->m_ByDeadline.begin()->second;
    Next->m_ByDeadline.erase(Next->m_ByDeadline.begin());
    --m_Queued;
    if (Request.m_Deadline <= Now) {
      Changes.m_Expired.push_back(Request.m_Ticket);
      continue;
    }
    charge(*Next, Request.m_Cost);
    ++m_Running;
    Changes.m_Admitted.push_back(Request.m_Ticket);
  }
}

AdmissionChanges Admission::release(Duration ServiceTime, Instant Now) {
  AdmissionChanges Changes;
  if (m_Running > 0)
    --m_Running;
  const double Sample = seconds(ServiceTime);
  m_MeanServiceTime += (m_MeanServiceTime == 0 ? 1 : ServiceTimeGain) *
                       (Sample - m_MeanServiceTime);
  admitQueued(Now, Changes);
  return Changes;
}

bool Admission::cancel(Ticket Id) {
  for (auto &[Workspace, WorkspaceQueue] : m_Queues)
    for (auto It = WorkspaceQueue.m_ByDeadline.begin();
         It != WorkspaceQueue.m_ByDeadline.end(); ++It)
      if (It->second.m_Ticket == Id) {
        WorkspaceQueue.m_ByDeadline.erase(It);
        --m_Queued;
        return true;
      }
  return false;
}

} // namespace mimosadale::decide
