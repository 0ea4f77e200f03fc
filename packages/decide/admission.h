// Admission control: fair queueing between workspaces, bounded queues, and
// refusal of requests that cannot meet their deadline.
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

/// Identifies a request that was offered to `Admission`.
enum class Ticket : std::uint64_t {};

struct AdmissionLimits {
  std::size_t m_MaxConcurrent = 1024;
  std::size_t m_MaxQueued = 1024;
};

struct AdmissionRequest {
  WorkspaceId m_Workspace;
  double m_Weight = 1; // of the workspace, relative to the others
  double m_Cost = 1;   // expected tokens
  Instant m_Deadline{};
};

struct AdmissionDecision {
  enum class Kind { Admitted, Queued, Refused };
  Kind m_Kind = Kind::Admitted;
  Ticket m_Ticket{};
  schema::Reason m_Reason = schema::REASON_UNSPECIFIED;
  std::optional<Duration> m_RetryAfter;
};

/// Queued requests that were admitted, or whose deadline passed in the queue.
struct AdmissionChanges {
  std::vector<Ticket> m_Admitted;
  std::vector<Ticket> m_Expired;
};

/// The fair-queueing weight of a workspace: its configured weight, doubled for
/// each level of priority. Weighting instead of strict priority keeps low
/// priorities from starving. Safe from any thread.
double shareWeight(unsigned Weight, unsigned Priority);

/// Start-time fair queueing between workspaces (P. Goyal, H. Vin, H. Cheng,
/// "Start-time Fair Queueing", 1996), earliest deadline first within one. A
/// request that is predicted to miss its deadline is refused at once.
///
/// \par Thread safety
/// None.
class Admission {
public:
  explicit Admission(AdmissionLimits Limits);

  /// Admits, queues or refuses \p Request. \pre None.
  AdmissionDecision offer(const AdmissionRequest &Request, Instant Now);

  /// Ends an admitted request that took \p ServiceTime and admits queued ones.
  /// \returns the queued requests that were admitted or have expired.
  AdmissionChanges release(Duration ServiceTime, Instant Now);

  /// Removes a queued request; false when it is no longer queued.
  bool cancel(Ticket Id);

  std::size_t running() const { return m_Running; }
  std::size_t queued() const { return m_Queued; }

  /// Predicted queueing delay of a request offered now.
  Duration predictedWait() const;

private:
  struct QueuedRequest {
    Ticket m_Ticket{};
    double m_Cost = 1;
    Instant m_Deadline{};
  };
  struct Queue {
    double m_Weight = 1;
    double m_FinishTag = 0; // virtual finish time of its last admitted request
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
