// Claim rows in the platform's table.
#ifndef MIMOSADALE_ROUTER_CLAIM_STORE_H
#define MIMOSADALE_ROUTER_CLAIM_STORE_H

#include "decide/claim.h"
#include "decide/write_batcher.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <map>
#include <memory>
#include <string>

namespace mimosadale::router {

class Context;

/// \returns the row key of a claim. The idempotency key is hashed, so that it
/// may hold any bytes and cannot address a row of another workspace. Safe from
/// any thread.
std::string claimRowKey(const std::string &Workspace,
                        const std::string &Service, const std::string &Key);

/// Writes claim rows in batched transactions.
///
/// \par Thread safety
/// Safe from any thread.
class ClaimStore {
public:
  /// \pre \p Ctx outlives this object.
  explicit ClaimStore(Context &Ctx);
  ~ClaimStore();

  /// Writes the row if its version is \p Write.m_ExpectedVersion. A large
  /// answer is first moved to the object store. \param Urgent whether a caller
  /// waits for the write.
  boost::asio::awaitable<decide::ClaimWriteResult>
  write(decide::WriteClaim Write, bool Urgent);

  /// Sets this router's share of the table's write rate.
  void setRate(double TransactionsPerSecond);

private:
  struct Waiter;
  using Strand = boost::asio::strand<boost::asio::any_io_executor>;

  boost::asio::awaitable<decide::ClaimWriteResult>
  enqueue(std::string Key, decide::WriteClaim Write, bool Urgent);
  boost::asio::awaitable<bool> storeLargeAnswer(schema::ClaimRow &Row);
  void sendDueBatch();
  boost::asio::awaitable<void>
  sendBatch(std::vector<decide::PendingWrite> Batch);
  void completeWrite(std::uint64_t Ticket, decide::ClaimWriteResult Result);

  Context &m_Context;
  Strand m_Strand; // guards all members below
  decide::WriteBatcher m_Batcher;
  boost::asio::steady_timer m_Timer;
  std::map<std::uint64_t, std::shared_ptr<Waiter>> m_Waiters;
  std::uint64_t m_LastTicket = 0;
};

} // namespace mimosadale::router

#endif
