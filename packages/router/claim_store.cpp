#include "router/claim_store.h"

#include "router/context.h"
#include "store/digest.h"
#include "store/store_error.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace mimosadale::router {

namespace asio = boost::asio;

namespace {

// Larger answers go to the object store instead of the row.
constexpr std::size_t MaxInlineAnswerBytes = 32768;

decide::BatcherLimits batcherLimits(const Context &Ctx) {
  decide::BatcherLimits Limits;
  Limits.m_TransactionsPerSecond =
      Ctx.m_Settings.platform().writes_per_second();
  return Limits;
}

decide::ClaimWriteResult rejectedWrite(decide::WriteBatcher::AddResult Intake) {
  decide::ClaimWriteResult Result;
  Result.m_Kind = Intake == decide::WriteBatcher::AddResult::QueueFull
                      ? decide::ClaimWriteResult::Kind::RateLimited
                      : decide::ClaimWriteResult::Kind::NotApplied;
  return Result;
}

} // namespace

std::string claimRowKey(const std::string &Workspace,
                        const std::string &Service, const std::string &Key) {
  return "claim/" + Workspace + "/" + Service + "/" +
         store::sha256Hex(Key).substr(0, 32);
}

// A write in progress. Accessed on the strand only.
struct ClaimStore::Waiter {
  explicit Waiter(const Strand &Executor) : m_Timer(Executor) {
    m_Timer.expires_at(Instant::max());
  }

  asio::steady_timer m_Timer;
  decide::ClaimWriteResult m_Result;
};

ClaimStore::ClaimStore(Context &Ctx)
    : m_Context(Ctx), m_Strand(asio::make_strand(Ctx.m_Executor)),
      m_Batcher(batcherLimits(Ctx)), m_Timer(m_Strand) {}

ClaimStore::~ClaimStore() = default;

void ClaimStore::setRate(double TransactionsPerSecond) {
  asio::post(m_Strand, [this, TransactionsPerSecond] {
    m_Batcher.setRate(TransactionsPerSecond);
  });
}

asio::awaitable<decide::ClaimWriteResult>
ClaimStore::write(decide::WriteClaim Write, bool Urgent) {
  if (Write.m_Delay > Duration(0)) {
    asio::steady_timer DelayTimer(co_await asio::this_coro::executor,
                                  Write.m_Delay);
    co_await DelayTimer.async_wait(asio::use_awaitable);
  }
  if (!co_await storeLargeAnswer(Write.m_Row))
    co_return decide::ClaimWriteResult();
  std::string Key = claimRowKey(Write.m_Row.workspace(), Write.m_Row.service(),
                                Write.m_Row.key());
  auto Operation = enqueue(std::move(Key), std::move(Write), Urgent);
  co_return co_await asio::co_spawn(m_Strand, std::move(Operation),
                                    asio::use_awaitable);
}

// Moves a large answer to the object store. Returns false if that fails.
asio::awaitable<bool> ClaimStore::storeLargeAnswer(schema::ClaimRow &Row) {
  if (Row.answer_body().size() <= MaxInlineAnswerBytes)
    co_return true;
  try {
    const std::string Name =
        co_await m_Context.m_Objects.put(Row.answer_body());
    Row.set_answer_object(Name);
    Row.clear_answer_body();
    co_return true;
  } catch (const store::StoreError &) {
    m_Context.m_Metrics.countEvent("object_store_failed");
  }
  co_return false;
}

asio::awaitable<decide::ClaimWriteResult>
ClaimStore::enqueue(std::string Key, decide::WriteClaim Write, bool Urgent) {
  const Instant Now = Context::now();
  decide::PendingWrite Pending;
  Pending.m_Ticket = ++m_LastTicket;
  Pending.m_Key = std::move(Key);
  Pending.m_ExpectedVersion = Write.m_ExpectedVersion;
  const auto UnixTime = std::chrono::system_clock::now().time_since_epoch();
  Write.m_Row.set_unix_ms(
      std::chrono::duration_cast<std::chrono::milliseconds>(UnixTime).count());
  Pending.m_Value = Write.m_Row.SerializeAsString();
  Pending.m_Urgent = Urgent;
  Pending.m_QueuedAt = Now;
  const std::uint64_t Ticket = Pending.m_Ticket;
  const auto Intake = m_Batcher.add(std::move(Pending));
  if (Intake != decide::WriteBatcher::AddResult::Queued)
    co_return rejectedWrite(Intake);
  const auto Entry = std::make_shared<Waiter>(m_Strand);
  m_Waiters[Ticket] = Entry;
  sendDueBatch();
  boost::system::error_code Ignored;
  co_await Entry->m_Timer.async_wait(
      asio::redirect_error(asio::use_awaitable, Ignored));
  co_return Entry->m_Result;
}

// Sends the next transaction if it is due, otherwise schedules it.
void ClaimStore::sendDueBatch() {
  const Instant Now = Context::now();
  auto Batch = m_Batcher.takeBatch(Now);
  if (!Batch.empty()) {
    asio::co_spawn(m_Strand, sendBatch(std::move(Batch)), asio::detached);
    return;
  }
  const auto Due = m_Batcher.nextBatchAt(Now);
  if (!Due)
    return;
  m_Timer.expires_at(*Due);
  m_Timer.async_wait([this](boost::system::error_code Code) {
    if (!Code)
      sendDueBatch();
  });
}

asio::awaitable<void>
ClaimStore::sendBatch(std::vector<decide::PendingWrite> Batch) {
  std::vector<store::TableWrite> Writes;
  Writes.reserve(Batch.size());
  for (const decide::PendingWrite &Write : Batch)
    Writes.push_back({Write.m_Key, Write.m_ExpectedVersion, Write.m_Value});
  m_Context.m_Metrics.countEvent("table_transactions");
  m_Context.m_Metrics.countEvent("table_rows",
                                 static_cast<double>(Batch.size()));
  const store::TableResult Result =
      co_await m_Context.m_Table.transact(std::move(Writes));
  using Kind = store::TableResult::Kind;
  const bool HasAnswer =
      Result.m_Kind == Kind::Committed || Result.m_Kind == Kind::Conflict;
  m_Batcher.onDone(HasAnswer, Context::now());
  std::map<std::string, const store::TableRow *> Conflicts;
  for (const store::TableRow &Row : Result.m_Conflicts)
    Conflicts[Row.m_Key] = &Row;
  if (Result.m_Kind == Kind::Unknown)
    m_Context.m_Metrics.countRetry(schema::TABLE_ANSWER_LOST);
  std::vector<decide::PendingWrite> Retries;
  for (decide::PendingWrite &Write : Batch) {
    decide::ClaimWriteResult WriteResult;
    const auto Conflict = Conflicts.find(Write.m_Key);
    if (Result.m_Kind == Kind::Committed) {
      WriteResult.m_Kind = decide::ClaimWriteResult::Kind::Committed;
      WriteResult.m_Version = Result.m_Version;
    } else if (Result.m_Kind == Kind::Unknown) {
      WriteResult.m_Kind = decide::ClaimWriteResult::Kind::Unknown;
    } else if (Conflict != Conflicts.end()) {
      WriteResult.m_Kind = decide::ClaimWriteResult::Kind::Conflict;
      WriteResult.m_Version = Conflict->second->m_Version;
      WriteResult.m_Row.ParseFromString(Conflict->second->m_Value);
    } else if (Result.m_Kind == Kind::Conflict) {
      Retries.push_back(std::move(Write));
      continue;
    }
    completeWrite(Write.m_Ticket, std::move(WriteResult));
  }
  if (!Retries.empty())
    m_Context.m_Metrics.countRetry(schema::TABLE_CONFLICT);
  m_Batcher.requeue(std::move(Retries));
  sendDueBatch();
}

void ClaimStore::completeWrite(std::uint64_t Ticket,
                               decide::ClaimWriteResult Result) {
  const auto It = m_Waiters.find(Ticket);
  if (It == m_Waiters.end())
    return;
  It->second->m_Result = std::move(Result);
  It->second->m_Timer.expires_at(Instant::min());
  m_Waiters.erase(It);
}

} // namespace mimosadale::router
