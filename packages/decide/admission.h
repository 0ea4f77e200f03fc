// Admission of requests: shares between workspaces, deadlines, early refusal.
#ifndef MIMOSADALE_DECIDE_ADMISSION_H
#define MIMOSADALE_DECIDE_ADMISSION_H

#include "base/id.h"
#include "base/units.h"
#include "schema/generated/reason.pb.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace mimosadale::decide {

/// Names one request inside the admission queue.
enum class Ticket : std::uint64_t {};

struct AdmissionLimits {
  std::size_t m_MaxConcurrent = 1024;
  std::size_t m_MaxQueued = 1024;
};

/// A request that asks to be admitted.
struct AdmissionRequest {
  WorkspaceId m_Workspace;
  double m_Weight = 1; // share of this workspace against the others
  double m_Cost = 1;   // tokens expected
  Instant m_Deadline{};
};

struct AdmissionDecision {
  enum class Kind { Admitted, Queued, Refused };
  Kind m_Kind = Kind::Admitted;
  Ticket m_Ticket{};
  schema::Reason m_Reason = schema::REASON_UNSPECIFIED;
  std::optional<Duration> m_RetryAfter;
};

/// What became of queued requests.
struct AdmissionChanges {
  std::vector<Ticket> m_Admitted;
  std::vector<Ticket> m_Expired;
};

/// The share weight of a workspace: its weight, doubled with each step of
/// priority, so that a lower priority still gets its part. Safe from any
/// thread.
double shareWeight(unsigned Weight, unsigned Priority);

/// Start-time fair queueing between workspaces (P. Goyal, H. Vin, H. Cheng,
/// "Start-time Fair Queueing", 1996), earliest deadline first within one. A
/// request whose predicted wait passes its deadline is refused at once.
///
/// \par Thread safety
/// None.
class Admission {
public:
  explicit Admission(AdmissionLimits Limits);

  /// Admits, queues or refuses. \pre None.
  AdmissionDecision offer(const AdmissionRequest &Request, Instant Now);

  /// An admitted request ended after \p Held. \returns who is admitted next.
  AdmissionChanges release(Duration ServiceTime, Instant Now);

  /// Takes a queued request out; false when it is not queued any more.
  bool cancel(Ticket Id);

  std::size_t running() const { return m_Running; }
  std::size_t queued() const { return m_Queued; }

  /// Expected wait of a request offered now.
  Duration predictedWait() const;

private:
  struct QueuedRequest {
    Ticket m_Ticket{};
    double m_Cost = 1;
    Instant m_Deadline{};
  };
  struct Queue {
    double m_Weight = 1;
    double m_FinishTag = 0; // virtual time at which its last request ends
    std::multimap<Instant, QueuedRequest> m_ByDeadline;
  };

  void charge(Queue &Target, double Cost);
  void admitQueued(Instant Now, AdmissionChanges &Changes);
  Queue *nextQueue();

  AdmissionLimits m_Limits;
  std::map<WorkspaceId, Queue> m_Queues;
  std::size_t m_Running = 0;
  std::size_t m_Queued = 0;
  std::uint64_t m_LastTicket = 0;
  double m_VirtualTime = 0;
  double m_MeanServiceTime = 0; // seconds
};

} // namespace mimosadale::decide

#endif
