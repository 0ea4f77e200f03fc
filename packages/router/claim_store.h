// Claims in the platform's table.
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

/// The row key of a claim: the idempotency key is hashed, so that it may hold
/// any bytes, and no workspace can name another's row. Safe from any thread.
std::string claimRowKey(const std::string &Workspace,
                        const std::string &Service, const std::string &Key);

/// Writes claim rows, batched.
///
/// \par Thread safety
/// Safe from any thread.
class ClaimStore {
public:
  /// \pre \p Shared outlives this object.
  explicit ClaimStore(Context &Shared);
  ~ClaimStore();

  /// Writes the row if its version is \p Write.m_ExpectedVersion. A large
  /// answer goes to the object store first. \param Urgent whether a caller
  /// waits for it.
  boost::asio::awaitable<decide::ClaimWriteResult>
  write(decide::WriteClaim Write, bool Urgent);

  /// Sets this router's share of the table's writes, in transactions a second.
  void setRate(double TransactionsPerSecond);

private:
  struct Waiter;
  using Strand = boost::asio::strand<boost::asio::any_io_executor>;

  boost::asio::awaitable<decide::ClaimWriteResult>
  enqueue(std::string Key, decide::WriteClaim Write, bool Urgent);
  boost::asio::awaitable<bool> storeLargeAnswer(schema::ClaimRow &Row);
  void pump();
  boost::asio::awaitable<void> send(std::vector<decide::PendingWrite> Batch);
  void settle(std::uint64_t Ticket, decide::ClaimWriteResult Result);

  Context &m_Shared;
  Strand m_Strand; // everything below happens on it
  decide::WriteBatcher m_Batcher;
  boost::asio::steady_timer m_Timer;
  std::map<std::uint64_t, std::shared_ptr<Waiter>> m_Waiters;
  std::uint64_t m_LastTicket = 0;
};

} // namespace mimosadale::router

#endif
