#include "router/request_table.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace mimosadale::router {

namespace asio = boost::asio;

namespace {

constexpr std::size_t MaxClosedRecords = 1024;
constexpr std::size_t MaxEventsPerRecord = 64;

} // namespace

// A queued request. To wake it, its timer is expired on the timer's own
// executor.
struct RequestTable::Waiter {
  explicit Waiter(const asio::any_io_executor &Executor) : m_Timer(Executor) {}

  asio::steady_timer m_Timer;
  bool m_Admitted = false;
};

RequestTable::RequestTable(decide::AdmissionLimits Limits, double RetryFraction,
                           std::int64_t BoundaryLogBytes)
    : m_Admission(Limits), m_RetryBudget(RetryFraction),
      m_BoundaryLogBytesFree(BoundaryLogBytes) {}

void RequestTable::open(const RequestId &Request, const WorkspaceId &Workspace,
                        const std::string &Target, Instant Now) {
  const std::lock_guard Lock(m_Mutex);
  RequestRecord &Record = m_OpenRecords[Request];
  Record.m_RequestId = Request;
  Record.m_Workspace = Workspace;
  Record.m_Target = Target;
  Record.m_Arrived = Now;
}

void RequestTable::addEvent(const RequestId &Request, const std::string &Text,
                            Instant Now) {
  const std::lock_guard Lock(m_Mutex);
  const auto It = m_OpenRecords.find(Request);
  if (It == m_OpenRecords.end() ||
      It->second.m_Events.size() >= MaxEventsPerRecord)
    return;
  It->second.m_Events.push_back({Now - It->second.m_Arrived, Text});
}

void RequestTable::close(const RequestId &Request, const std::string &Outcome,
                         Instant Now) {
  const std::lock_guard Lock(m_Mutex);
  const auto It = m_OpenRecords.find(Request);
  if (It == m_OpenRecords.end())
    return;
  RequestRecord Record = std::move(It->second);
  m_OpenRecords.erase(It);
  Record.m_Outcome = Outcome;
  Record.m_Events.push_back({Now - Record.m_Arrived, Outcome});
  m_ClosedRecords.push_back(std::move(Record));
  if (m_ClosedRecords.size() > MaxClosedRecords)
    m_ClosedRecords.pop_front();
}

std::optional<RequestRecord>
RequestTable::find(const RequestId &Request) const {
  const std::lock_guard Lock(m_Mutex);
  const auto OpenIt = m_OpenRecords.find(Request);
  if (OpenIt != m_OpenRecords.end())
    return OpenIt->second;
  const auto ClosedIt =
      std::find_if(m_ClosedRecords.rbegin(), m_ClosedRecords.rend(),
                   [&](const RequestRecord &Record) {
                     return Record.m_RequestId == Request;
                   });
  return ClosedIt == m_ClosedRecords.rend() ? std::nullopt
                                            : std::optional(*ClosedIt);
}

asio::awaitable<AdmissionOutcome>
RequestTable::admit(decide::AdmissionRequest Request) {
  const auto Executor = co_await asio::this_coro::executor;
  std::shared_ptr<Waiter> Entry;
  AdmissionOutcome Outcome;
  decide::AdmissionDecision Verdict;
  {
    const std::lock_guard Lock(m_Mutex);
    Verdict = m_Admission.offer(Request, std::chrono::steady_clock::now());
    if (Verdict.m_Kind == decide::AdmissionDecision::Kind::Queued) {
      Entry = std::make_shared<Waiter>(Executor);
      Entry->m_Timer.expires_at(Request.m_Deadline);
      m_Waiters[Verdict.m_Ticket] = Entry;
    }
  }
  Outcome.m_Admitted =
      Verdict.m_Kind == decide::AdmissionDecision::Kind::Admitted;
  Outcome.m_Reason = Verdict.m_Reason;
  Outcome.m_RetryAfter = Verdict.m_RetryAfter;
  if (!Entry)
    co_return Outcome;
  // Returns on admission or at the deadline. A wake-up that precedes the wait
  // has already moved the expiry into the past.
  boost::system::error_code Ignored;
  co_await Entry->m_Timer.async_wait(
      asio::redirect_error(asio::use_awaitable, Ignored));
  const std::lock_guard Lock(m_Mutex);
  m_Waiters.erase(Verdict.m_Ticket);
  m_Admission.cancel(Verdict.m_Ticket);
  Outcome.m_Admitted = Entry->m_Admitted;
  Outcome.m_Reason = schema::DEADLINE_PASSED;
  co_return Outcome;
}

// Wakes waiters. A timer is accessed on its own executor only.
void RequestTable::wake(const decide::AdmissionChanges &Changes) {
  const auto wakeOne = [this](decide::Ticket Ticket, bool Admitted) {
    const auto It = m_Waiters.find(Ticket);
    if (It == m_Waiters.end())
      return;
    const std::shared_ptr<Waiter> Entry = It->second;
    m_Waiters.erase(It);
    Entry->m_Admitted = Admitted;
    asio::post(Entry->m_Timer.get_executor(),
               [Entry] { Entry->m_Timer.expires_at(Instant::min()); });
  };
  for (const decide::Ticket Ticket : Changes.m_Admitted)
    wakeOne(Ticket, true);
  for (const decide::Ticket Ticket : Changes.m_Expired)
    wakeOne(Ticket, false);
}

void RequestTable::release(Duration ServiceTime, Instant Now) {
  const std::lock_guard Lock(m_Mutex);
  wake(m_Admission.release(ServiceTime, Now));
}

void RequestTable::onFirstAttempt() {
  const std::lock_guard Lock(m_Mutex);
  m_RetryBudget.onFirstAttempt();
}

bool RequestTable::takeRetry() {
  const std::lock_guard Lock(m_Mutex);
  return m_RetryBudget.tryConsume();
}

bool RequestTable::reserveBoundaryLog(std::int64_t Bytes) {
  const std::lock_guard Lock(m_Mutex);
  if (Bytes > m_BoundaryLogBytesFree)
    return false;
  m_BoundaryLogBytesFree -= Bytes;
  return true;
}

void RequestTable::beginClaim(const AttemptId &Attempt) {
  const std::lock_guard Lock(m_Mutex);
  m_OpenClaims.insert(Attempt);
}

void RequestTable::endClaim(const AttemptId &Attempt) {
  const std::lock_guard Lock(m_Mutex);
  m_OpenClaims.erase(Attempt);
}

bool RequestTable::claimInProgress(const AttemptId &Attempt) const {
  const std::lock_guard Lock(m_Mutex);
  return m_OpenClaims.contains(Attempt);
}

std::size_t RequestTable::openRequests() const {
  const std::lock_guard Lock(m_Mutex);
  return m_OpenRecords.size();
}

std::size_t RequestTable::openClaims() const {
  const std::lock_guard Lock(m_Mutex);
  return m_OpenClaims.size();
}

std::size_t RequestTable::runningRequests() const {
  const std::lock_guard Lock(m_Mutex);
  return m_Admission.running();
}

std::size_t RequestTable::queuedRequests() const {
  const std::lock_guard Lock(m_Mutex);
  return m_Admission.queued();
}

} // namespace mimosadale::router
