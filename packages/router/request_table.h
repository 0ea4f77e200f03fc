// Requests in progress and the most recent ended ones.
#ifndef MIMOSADALE_ROUTER_REQUEST_TABLE_H
#define MIMOSADALE_ROUTER_REQUEST_TABLE_H

#include "base/id.h"
#include "base/ranked_mutex.h"
#include "base/units.h"
#include "decide/admission.h"
#include "decide/retry_budget.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace mimosadale::router {

/// An event in the history of a request, for `mimosadalectl explain`.
struct RequestEvent {
  Duration m_Elapsed{}; // since the request arrived
  std::string m_Text;
};

/// The history of a request. Holds neither its prompt nor its answer.
struct RequestRecord {
  RequestId m_RequestId;
  WorkspaceId m_Workspace;
  std::string m_Target;  // model or service
  std::string m_Outcome; // empty while in progress
  std::vector<RequestEvent> m_Events;
  Instant m_Arrived{};
};

/// The result of `RequestTable::admit`.
struct AdmissionOutcome {
  bool m_Admitted = false;
  schema::Reason m_Reason = schema::REASON_UNSPECIFIED;
  std::optional<Duration> m_RetryAfter;
};

/// Admission, the retry budget, the byte budget of boundary logs, the claims in
/// progress, and the records of requests.
///
/// \par Thread safety
/// Safe from any thread; the lock has rank Requests.
class RequestTable {
public:
  RequestTable(decide::AdmissionLimits Limits, double RetryFraction,
               std::int64_t BoundaryLogBytes);

  /// Opens a record. \pre \p Request is new.
  void open(const RequestId &Request, const WorkspaceId &Workspace,
            const std::string &Target, Instant Now);

  /// Adds an event to an open record. Does nothing if the record is unknown or
  /// already holds 64 events.
  void addEvent(const RequestId &Request, const std::string &Text, Instant Now);

  /// Closes a record. The last 1024 closed records are kept.
  void close(const RequestId &Request, const std::string &Outcome, Instant Now);

  /// \returns the record of a request, open or closed.
  std::optional<RequestRecord> find(const RequestId &Request) const;

  /// Waits until \p Request is admitted, refused, or past its deadline.
  /// \pre Called on the executor of the coroutine.
  boost::asio::awaitable<AdmissionOutcome>
  admit(decide::AdmissionRequest Request);

  /// Releases the slot that an admitted request held for \p ServiceTime.
  void release(Duration ServiceTime, Instant Now);

  /// Counts a first attempt, which adds to the retry budget.
  void onFirstAttempt();

  /// Takes one retry from the budget. \returns false if none is left.
  bool takeRetry();

  /// Reserves bytes of the boundary log budget; a negative count releases them.
  /// \returns false if too few are free.
  bool reserveBoundaryLog(std::int64_t Bytes);

  /// Marks a claim as in progress on this router, or as ended.
  void beginClaim(const AttemptId &Attempt);
  void endClaim(const AttemptId &Attempt);
  bool claimInProgress(const AttemptId &Attempt) const;

  std::size_t openRequests() const;
  std::size_t openClaims() const;
  std::size_t runningRequests() const;
  std::size_t queuedRequests() const;

private:
  struct Waiter;
  void wake(const decide::AdmissionChanges &Changes);

  mutable RankedMutex m_Mutex{LockRank::Requests};
  decide::Admission m_Admission;
  decide::RetryBudget m_RetryBudget;
  std::int64_t m_BoundaryLogBytesFree;
  std::map<RequestId, RequestRecord> m_OpenRecords;
  std::deque<RequestRecord> m_ClosedRecords;
  std::map<decide::Ticket, std::shared_ptr<Waiter>> m_Waiters;
  std::set<AttemptId> m_OpenClaims;
};

} // namespace mimosadale::router

#endif
