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

// Answers above this many bytes go to the object store.
constexpr std::size_t LargestInlineAnswer = 32768;

decide::BatcherLimits batcherLimits(const Context &Shared) {
  decide::BatcherLimits Limits;
  Limits.m_TransactionsPerSecond =
      Shared.m_Settings.platform().writes_per_second();
  return Limits;
}

decide::ClaimWrite refusedBy(decide::WriteBatcher::Intake Why) {
  decide::ClaimWrite Result;
  Result.m_Kind = Why == decide::WriteBatcher::Intake::Limited
                      ? decide::ClaimWrite::Kind::Limited
                      : decide::ClaimWrite::Kind::NotApplied;
  return Result;
}

} // namespace

std::string claimRowKey(const std::string &Workspace,
                        const std::string &Service, const std::string &Key) {
  return "claim/" + Workspace + "/" + Service + "/" +
         store::sha256Hex(Key).substr(0, 32);
}

// A write whose result is awaited; lives on the strand.
struct ClaimStore::Waiter {
  explicit Waiter(const Strand &On) : m_Timer(On) {
    m_Timer.expires_at(Instant::max());
  }

  asio::steady_timer m_Timer;
  decide::ClaimWrite m_Result;
};

ClaimStore::ClaimStore(Context &Shared)
    : m_Shared(Shared), m_Strand(asio::make_strand(Shared.m_Executor)),
      m_Batcher(batcherLimits(Shared)), m_Timer(m_Strand) {}

ClaimStore::~ClaimStore() = default;

void ClaimStore::setRate(double TransactionsPerSecond) {
  asio::post(m_Strand, [this, TransactionsPerSecond] {
    m_Batcher.setRate(TransactionsPerSecond);
  });
}

asio::awaitable<decide::ClaimWrite> ClaimStore::write(decide::WriteClaim Write,
                                                      bool Urgent) {
  if (Write.m_Delay > Duration(0)) {
    asio::steady_timer Pause(co_await asio::this_coro::executor, Write.m_Delay);
    co_await Pause.async_wait(asio::use_awaitable);
  }
  if (!co_await storeLargeAnswer(Write.m_Row))
    co_return decide::ClaimWrite();
  std::string Key = claimRowKey(Write.m_Row.workspace(), Write.m_Row.service(),
                                Write.m_Row.key());
  auto Queued = enqueue(std::move(Key), std::move(Write), Urgent);
  co_return co_await asio::co_spawn(m_Strand, std::move(Queued),
                                    asio::use_awaitable);
}

// Moves a large answer to the object store. False when the store does not take
// it now.
asio::awaitable<bool> ClaimStore::storeLargeAnswer(schema::ClaimRow &Row) {
  if (Row.answer_body().size() <= LargestInlineAnswer)
    co_return true;
  try {
    const std::string Name = co_await m_Shared.m_Objects.put(Row.answer_body());
    Row.set_answer_object(Name);
    Row.clear_answer_body();
    co_return true;
  } catch (const store::StoreError &) {
    m_Shared.m_Metrics.countEvent("object_store_failed");
  }
  co_return false;
}

asio::awaitable<decide::ClaimWrite>
ClaimStore::enqueue(std::string Key, decide::WriteClaim Write, bool Urgent) {
  const Instant Now = Context::now();
  decide::PendingWrite Pending;
  Pending.m_Ticket = ++m_LastTicket;
  Pending.m_Key = std::move(Key);
  Pending.m_Expect = Write.m_Expect;
  const auto Wall = std::chrono::system_clock::now().time_since_epoch();
  Write.m_Row.set_unix_ms(
      std::chrono::duration_cast<std::chrono::milliseconds>(Wall).count());
  Pending.m_Value = Write.m_Row.SerializeAsString();
  Pending.m_Urgent = Urgent;
  Pending.m_Queued = Now;
  const std::uint64_t Ticket = Pending.m_Ticket;
  const auto Taken = m_Batcher.add(std::move(Pending));
  if (Taken != decide::WriteBatcher::Intake::Queued)
    co_return refusedBy(Taken);
  const auto Own = std::make_shared<Waiter>(m_Strand);
  m_Waiters[Ticket] = Own;
  pump();
  boost::system::error_code Woken;
  co_await Own->m_Timer.async_wait(
      asio::redirect_error(asio::use_awaitable, Woken));
  co_return Own->m_Result;
}

// Sends the next transaction if one is due, else comes back when it is.
void ClaimStore::pump() {
  const Instant Now = Context::now();
  auto Batch = m_Batcher.take(Now);
  if (!Batch.empty()) {
    asio::co_spawn(m_Strand, send(std::move(Batch)), asio::detached);
    return;
  }
  const auto Due = m_Batcher.due(Now);
  if (!Due)
    return;
  m_Timer.expires_at(*Due);
  m_Timer.async_wait([this](boost::system::error_code Code) {
    if (!Code)
      pump();
  });
}

asio::awaitable<void>
ClaimStore::send(std::vector<decide::PendingWrite> Batch) {
  std::vector<store::TableWrite> Writes;
  Writes.reserve(Batch.size());
  for (const decide::PendingWrite &Each : Batch)
    Writes.push_back({Each.m_Key, Each.m_Expect, Each.m_Value});
  m_Shared.m_Metrics.countEvent("table_transactions");
  m_Shared.m_Metrics.countEvent("table_rows",
                                static_cast<double>(Batch.size()));
  const store::TableResult Result =
      co_await m_Shared.m_Table.transact(std::move(Writes));
  using Kind = store::TableResult::Kind;
  const bool Answered =
      Result.m_Kind == Kind::Committed || Result.m_Kind == Kind::Conflict;
  m_Batcher.onDone(Answered, Context::now());
  std::map<std::string, const store::TableRow *> Conflicts;
  for (const store::TableRow &Each : Result.m_Conflicts)
    Conflicts[Each.m_Key] = &Each;
  if (Result.m_Kind == Kind::Unknown)
    m_Shared.m_Metrics.countRetry(schema::TABLE_ANSWER_LOST);
  std::vector<decide::PendingWrite> Again;
  for (decide::PendingWrite &Each : Batch) {
    decide::ClaimWrite Own;
    const auto Conflict = Conflicts.find(Each.m_Key);
    if (Result.m_Kind == Kind::Committed) {
      Own.m_Kind = decide::ClaimWrite::Kind::Committed;
      Own.m_Version = Result.m_Version;
    } else if (Result.m_Kind == Kind::Unknown) {
      Own.m_Kind = decide::ClaimWrite::Kind::Unknown;
    } else if (Conflict != Conflicts.end()) {
      Own.m_Kind = decide::ClaimWrite::Kind::Conflict;
      Own.m_Version = Conflict->second->m_Version;
      Own.m_Row.ParseFromString(Conflict->second->m_Value);
    } else if (Result.m_Kind == Kind::Conflict) {
      Again.push_back(std::move(Each));
      continue;
    }
    settle(Each.m_Ticket, std::move(Own));
  }
  if (!Again.empty())
    m_Shared.m_Metrics.countRetry(schema::TABLE_CONFLICT);
  m_Batcher.putBack(std::move(Again));
  pump();
}

void ClaimStore::settle(std::uint64_t Ticket, decide::ClaimWrite Result) {
  const auto Found = m_Waiters.find(Ticket);
  if (Found == m_Waiters.end())
    return;
  Found->second->m_Result = std::move(Result);
  Found->second->m_Timer.expires_at(Instant::min());
  m_Waiters.erase(Found);
}

} // namespace mimosadale::router
