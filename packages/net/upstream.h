// HTTP exchanges with streamed response bodies, over a pool of persistent
// connections.
#ifndef MIMOSADALE_NET_UPSTREAM_H
#define MIMOSADALE_NET_UPSTREAM_H

#include "base/units.h"
#include "net/http.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstddef>
#include <functional>
#include <memory>

namespace mimosadale::net {

class UpstreamPool;

/// One exchange with a server. It has no timeouts of its own; its owner calls
/// `cancel` instead.
///
/// \par Thread safety
/// None; a pool and its exchanges are used from one thread.
class UpstreamExchange {
public:
  /// Returns the connection to the pool if the response was read completely and
  /// the server keeps the connection open; closes it otherwise. An unfinished
  /// exchange resets it, so that what was not delivered yet never is.
  ~UpstreamExchange();

  /// Sends the complete request. \throws NetError.
  boost::asio::awaitable<void> send(HttpRequest Request);

  /// Reads the status line and headers of the response. Responses for which
  /// \p IsExpected returns false are read to their end and dropped.
  /// \throws NetError, an OversizeError for a head without end. \pre `send` has
  /// completed.
  boost::asio::awaitable<HttpResponse>
  readHead(std::function<bool(const HttpResponse &)> IsExpected);

  /// Appends the next part of the response body to \p Body, waiting for at
  /// least one byte. \returns false at the end of a complete response. \throws
  /// NetError, also when the response is truncated.
  boost::asio::awaitable<bool> readSome(std::string &Body);

  /// Closes the connection as the destructor does; operations in progress throw
  /// NetError. \returns the number of bytes sent that the server's host has not
  /// acknowledged.
  std::size_t cancel();

  /// Whether the connection carried an earlier exchange.
  bool connectionReused() const;

private:
  friend class UpstreamPool;
  class Connection;
  UpstreamExchange(std::shared_ptr<UpstreamPool> Pool,
                   std::unique_ptr<Connection> Conn);

  std::shared_ptr<UpstreamPool> m_Pool;
  std::unique_ptr<Connection> m_Connection;
};

/// A pool of idle connections, by server address.
///
/// \par Thread safety
/// None; its executor runs on one thread.
class UpstreamPool : public std::enable_shared_from_this<UpstreamPool> {
public:
  explicit UpstreamPool(boost::asio::any_io_executor Executor);
  ~UpstreamPool();
  UpstreamPool(const UpstreamPool &) = delete;
  UpstreamPool &operator=(const UpstreamPool &) = delete;

  /// Opens an exchange with \p Server on a pooled connection that was idle for
  /// at most \p MaxIdle, or on a new one, always so if \p MaxIdle is zero. For
  /// a new connection, \p OnConnecting receives a function that cancels the
  /// attempt to connect, and null once the attempt has ended. \throws NetError
  /// of phase Connect.
  boost::asio::awaitable<std::unique_ptr<UpstreamExchange>>
  open(Address Server, Duration MaxIdle,
       std::function<void(std::function<void()> Cancel)> OnConnecting);

  /// Closes the connections that were idle for longer than \p MaxIdle.
  void closeIdle(Duration MaxIdle);

  /// Closes the idle connections to \p Server, for use after one of them
  /// stopped responding.
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
