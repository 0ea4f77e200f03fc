// Exchanges whose answers are read piece by piece, over kept connections.
#ifndef MIMOSADALE_NET_UPSTREAM_H
#define MIMOSADALE_NET_UPSTREAM_H

#include "base/units.h"
#include "net/http.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>

namespace mimosadale::net {

class UpstreamPool;

/// One exchange with a server. It has no time limits of its own: the owner
/// calls `cancel`.
///
/// \par Thread safety
/// None; all of one pool belongs to one thread.
class UpstreamExchange {
public:
  /// Closes the connection unless the answer was read whole and the server
  /// keeps it open.
  ~UpstreamExchange();

  /// Sends the whole request. \throws NetError.
  boost::asio::awaitable<void> send(HttpRequest Request);

  /// Reads the head of the answer, without body. Answers for which \p IsOurs
  /// says no are read to their end and dropped. \throws NetError.
  /// \pre `send` returned.
  boost::asio::awaitable<HttpResponse>
  readHead(std::function<bool(const HttpResponse &)> IsExpected);

  /// Appends what has come of the body to \p Into. \returns false at the end
  /// of a whole answer. \throws NetError, also when the answer ends early.
  boost::asio::awaitable<bool> readSome(std::string &Body);

  /// Closes the connection; what is in progress throws NetError.
  void cancel();

  /// Whether the connection had carried an exchange before.
  bool connectionReused() const;

private:
  friend class UpstreamPool;
  class Connection;
  UpstreamExchange(std::shared_ptr<UpstreamPool> Pool,
                   std::unique_ptr<Connection> Conn);

  std::shared_ptr<UpstreamPool> m_Pool;
  std::unique_ptr<Connection> m_Connection;
};

/// Keeps idle connections by address.
///
/// \par Thread safety
/// None; its executor runs in one thread.
class UpstreamPool : public std::enable_shared_from_this<UpstreamPool> {
public:
  explicit UpstreamPool(boost::asio::any_io_executor Executor);
  ~UpstreamPool();
  UpstreamPool(const UpstreamPool &) = delete;
  UpstreamPool &operator=(const UpstreamPool &) = delete;

  /// An exchange on a connection to \p Server: a kept one that was idle for at
  /// most \p MostIdle, or a new one. \p Begun is told how to cancel while it
  /// connects. \throws NetError of phase Connect.
  boost::asio::awaitable<std::unique_ptr<UpstreamExchange>>
  open(Address Server, Duration MaxIdle,
       std::function<void(std::function<void()> Cancel)> OnConnecting);

  /// Closes connections that were idle for longer than \p MostIdle, and all
  /// idle ones to \p Server when one of them went silent.
  void closeIdle(Duration MaxIdle);
  void closeIdleTo(const Address &Server);

private:
  friend class UpstreamExchange;
  class IdleConnections;
  void release(std::unique_ptr<UpstreamExchange::Connection> Conn);

  boost::asio::any_io_executor m_Executor;
  std::unique_ptr<IdleConnections> m_IdleConnections;
};

} // namespace mimosadale::net

#endif
