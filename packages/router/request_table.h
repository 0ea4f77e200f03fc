// Requests in progress and the last ones that ended.
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

/// One thing that happened to a request, for `mimosadalectl explain`.
struct RequestEvent {
  Duration m_After{}; // since the request arrived
  std::string m_What;
};

/// What is remembered of a request: no prompt and no answer.
struct RequestRecord {
  RequestId m_Request;
  WorkspaceId m_Workspace;
  std::string m_Asked;   // model or service
  std::string m_Outcome; // empty while in progress
  std::vector<RequestEvent> m_Events;
  Instant m_Arrived{};
};

/// How waiting for admission ended.
struct AdmissionOutcome {
  bool m_Admitted = false;
  schema::Reason m_Reason = schema::REASON_UNSPECIFIED;
  std::optional<Duration> m_RetryAfter;
};

/// Admission, the retry budget, the log's byte budget, claims in progress, and
/// records of requests.
///
/// \par Thread safety
/// Safe from any thread; rank Requests.
class RequestTable {
public:
  RequestTable(decide::AdmissionLimits Limits, double RetryFraction,
               std::int64_t LogBytes);

  /// Opens a record. \pre \p Request is new.
  void open(const RequestId &Request, const WorkspaceId &Workspace,
            const std::string &Asked, Instant Now);

  /// Adds an event to a record. Unknown requests are passed over.
  void note(const RequestId &Request, const std::string &What, Instant Now);

  /// Closes a record; the last 1024 are kept.
  void close(const RequestId &Request, const std::string &Outcome, Instant Now);

  /// The record of a request, in progress or ended.
  std::optional<RequestRecord> find(const RequestId &Request) const;

  /// Waits to be admitted. \pre Called on the executor of the coroutine.
  boost::asio::awaitable<AdmissionOutcome>
  admit(decide::AdmissionRequest Request);

  /// Gives back the place of an admitted request that was held for \p Held.
  void release(Duration Held, Instant Now);

  void onFirstTry();
  bool takeRetry();
  bool reserveLog(std::int64_t Bytes);

  /// Marks a claim as worked on here, or as done with.
  void beginClaim(const AttemptId &Attempt);
  void endClaim(const AttemptId &Attempt);
  bool claimInProgress(const AttemptId &Attempt) const;

  std::size_t inProgress() const;
  std::size_t claims() const;
  std::size_t running() const;
  std::size_t queued() const;

private:
  struct Waiter;
  void wake(const decide::AdmissionChanges &Changes);

  mutable RankedMutex m_Mutex{LockRank::Requests};
  decide::Admission m_Admission;
  decide::RetryBudget m_Retries;
  std::int64_t m_LogBytesLeft;
  std::map<RequestId, RequestRecord> m_Open;
  std::deque<RequestRecord> m_Closed;
  std::map<decide::Ticket, std::shared_ptr<Waiter>> m_Waiters;
  std::set<AttemptId> m_Claims;
};

} // namespace mimosadale::router

#endif
