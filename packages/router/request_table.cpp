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

constexpr std::size_t ClosedRecords = 1024;
constexpr std::size_t EventsPerRecord = 64;

} // namespace

// A queued request; its timer is cancelled, on its own executor, to wake it.
struct RequestTable::Waiter {
  explicit Waiter(const asio::any_io_executor &Executor) : m_Timer(Executor) {}

  asio::steady_timer m_Timer;
  bool m_Admitted = false;
};

RequestTable::RequestTable(decide::AdmissionLimits Limits, double RetryFraction,
                           std::int64_t LogBytes)
    : m_Admission(Limits), m_Retries(RetryFraction), m_LogBytesLeft(LogBytes) {}

void RequestTable::open(const RequestId &Request, const WorkspaceId &Workspace,
                        const std::string &Asked, Instant Now) {
  const std::lock_guard Lock(m_Mutex);
  RequestRecord &Record = m_Open[Request];
  Record.m_Request = Request;
  Record.m_Workspace = Workspace;
  Record.m_Asked = Asked;
  Record.m_Arrived = Now;
}

void RequestTable::note(const RequestId &Request, const std::string &What,
                        Instant Now) {
  const std::lock_guard Lock(m_Mutex);
  const auto Found = m_Open.find(Request);
  if (Found == m_Open.end() || Found->second.m_Events.size() >= EventsPerRecord)
    return;
  Found->second.m_Events.push_back({Now - Found->second.m_Arrived, What});
}

void RequestTable::close(const RequestId &Request, const std::string &Outcome,
                         Instant Now) {
  const std::lock_guard Lock(m_Mutex);
  const auto Found = m_Open.find(Request);
  if (Found == m_Open.end())
    return;
  RequestRecord Record = std::move(Found->second);
  m_Open.erase(Found);
  Record.m_Outcome = Outcome;
  Record.m_Events.push_back({Now - Record.m_Arrived, Outcome});
  m_Closed.push_back(std::move(Record));
  if (m_Closed.size() > ClosedRecords)
    m_Closed.pop_front();
}

std::optional<RequestRecord>
RequestTable::find(const RequestId &Request) const {
  const std::lock_guard Lock(m_Mutex);
  const auto Found = m_Open.find(Request);
  if (Found != m_Open.end())
    return Found->second;
  const auto Ended = std::find_if(
      m_Closed.rbegin(), m_Closed.rend(),
      [&](const RequestRecord &Each) { return Each.m_Request == Request; });
  return Ended == m_Closed.rend() ? std::nullopt : std::optional(*Ended);
}

asio::awaitable<AdmissionOutcome>
RequestTable::admit(decide::AdmissionRequest Request) {
  const auto Executor = co_await asio::this_coro::executor;
  std::shared_ptr<Waiter> Own;
  AdmissionOutcome Outcome;
  decide::AdmissionDecision Verdict;
  {
    const std::lock_guard Lock(m_Mutex);
    Verdict = m_Admission.offer(Request, std::chrono::steady_clock::now());
    if (Verdict.m_Kind == decide::AdmissionDecision::Kind::Queued) {
      Own = std::make_shared<Waiter>(Executor);
      Own->m_Timer.expires_at(Request.m_Deadline);
      m_Waiters[Verdict.m_Ticket] = Own;
    }
  }
  Outcome.m_Admitted =
      Verdict.m_Kind == decide::AdmissionDecision::Kind::Admitted;
  Outcome.m_Reason = Verdict.m_Reason;
  Outcome.m_RetryAfter = Verdict.m_RetryAfter;
  if (!Own)
    co_return Outcome;
  // Ends when admitted, or at the deadline. A wake-up that came before the wait
  // has set the timer's expiry back.
  boost::system::error_code Woken;
  co_await Own->m_Timer.async_wait(
      asio::redirect_error(asio::use_awaitable, Woken));
  const std::lock_guard Lock(m_Mutex);
  m_Waiters.erase(Verdict.m_Ticket);
  m_Admission.cancel(Verdict.m_Ticket);
  Outcome.m_Admitted = Own->m_Admitted;
  Outcome.m_Reason = schema::DEADLINE_PASSED;
  co_return Outcome;
}

// Settles waiters. Their timers are touched on their own executors only.
void RequestTable::wake(const decide::AdmissionChanges &Changes) {
  const auto settle = [this](decide::Ticket Which, bool Admitted) {
    const auto Found = m_Waiters.find(Which);
    if (Found == m_Waiters.end())
      return;
    const std::shared_ptr<Waiter> Woken = Found->second;
    m_Waiters.erase(Found);
    Woken->m_Admitted = Admitted;
    asio::post(Woken->m_Timer.get_executor(),
               [Woken] { Woken->m_Timer.expires_at(Instant::min()); });
  };
  for (const decide::Ticket Each : Changes.m_Admitted)
    settle(Each, true);
  for (const decide::Ticket Each : Changes.m_Expired)
    settle(Each, false);
}

void RequestTable::release(Duration Held, Instant Now) {
  const std::lock_guard Lock(m_Mutex);
  wake(m_Admission.release(Held, Now));
}

void RequestTable::onFirstTry() {
  const std::lock_guard Lock(m_Mutex);
  m_Retries.onFirstAttempt();
}

bool RequestTable::takeRetry() {
  const std::lock_guard Lock(m_Mutex);
  return m_Retries.tryConsume();
}

bool RequestTable::reserveLog(std::int64_t Bytes) {
  const std::lock_guard Lock(m_Mutex);
  if (Bytes > m_LogBytesLeft)
    return false;
  m_LogBytesLeft -= Bytes;
  return true;
}

void RequestTable::beginClaim(const AttemptId &Attempt) {
  const std::lock_guard Lock(m_Mutex);
  m_Claims.insert(Attempt);
}

void RequestTable::endClaim(const AttemptId &Attempt) {
  const std::lock_guard Lock(m_Mutex);
  m_Claims.erase(Attempt);
}

bool RequestTable::claimInProgress(const AttemptId &Attempt) const {
  const std::lock_guard Lock(m_Mutex);
  return m_Claims.contains(Attempt);
}

std::size_t RequestTable::inProgress() const {
  const std::lock_guard Lock(m_Mutex);
  return m_Open.size();
}

std::size_t RequestTable::claims() const {
  const std::lock_guard Lock(m_Mutex);
  return m_Claims.size();
}

std::size_t RequestTable::running() const {
  const std::lock_guard Lock(m_Mutex);
  return m_Admission.running();
}

std::size_t RequestTable::queued() const {
  const std::lock_guard Lock(m_Mutex);
  return m_Admission.queued();
}

} // namespace mimosadale::router
