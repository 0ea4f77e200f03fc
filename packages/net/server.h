// An HTTP/1.1 server with limits on header size, body size, connections and
// time.
#ifndef MIMOSADALE_NET_SERVER_H
#define MIMOSADALE_NET_SERVER_H

#include "base/units.h"
#include "net/http.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <string>

namespace mimosadale::net {

/// A request and the operations that respond to it.
///
/// \par Thread safety
/// None; used only by the coroutine that handles the request.
class HttpExchange {
public:
  virtual ~HttpExchange() = default;

  /// The complete request.
  virtual const HttpRequest &request() const = 0;

  /// Sends a complete response. \pre Nothing was sent yet. \throws NetError.
  virtual boost::asio::awaitable<void> respond(HttpResponse Response) = 0;

  /// Starts a chunked response. \pre Nothing was sent yet. \throws NetError.
  virtual boost::asio::awaitable<void> startStream(HttpResponse Head) = 0;

  /// Sends a chunk and completes when the socket has accepted it. This is the
  /// backpressure of a slow caller: nothing is buffered beyond one chunk.
  /// \pre `startStream` has completed.
  /// \throws NetError when the caller has disconnected or is too slow.
  virtual boost::asio::awaitable<void> write(std::string Data) = 0;

  /// Sends the last chunk, which marks the response as complete.
  /// \pre `startStream` has completed. \throws NetError.
  virtual boost::asio::awaitable<void> finish() = 0;

  /// Calls \p OnDisconnect once if the caller closes the connection before the
  /// exchange ends, also behind bytes of its next request. \pre Called at most
  /// once per exchange.
  virtual void watchCaller(std::function<void()> OnDisconnect) = 0;

  /// Whether the caller has closed the connection, by the state of the socket
  /// at the moment of the call. The callback of `watchCaller` runs later, when
  /// the event loop gets to it.
  virtual bool callerLeft() = 0;

  /// Closes the connection, so that the caller sees a stream as truncated.
  virtual void abort() = 0;

  /// Whether sending of a response has started.
  virtual bool responseStarted() const = 0;

  /// The number of the connection, increasing in order of acceptance.
  virtual std::uint64_t connectionNumber() const = 0;
};

/// Why the server refused a request without passing it to the handler.
enum class ServerRefusal {
  BadRequest,
  HeaderTooLarge,
  BodyTooLarge,
  SlowSender,
  TooManyConnections
};

struct ServerLimits {
  std::size_t m_MaxHeaderBytes = 16384;
  std::size_t m_MaxBodyBytes = 1 << 20;
  std::size_t m_MaxConnections = 4096;
  Duration m_ReadTimeout = std::chrono::seconds(10);
  Duration m_WriteTimeout = std::chrono::seconds(10);
  Duration m_IdleTimeout = std::chrono::seconds(60);
};

struct TlsFiles {
  std::string m_Certificate;
  std::string m_Key;
};

/// Callbacks that the owner of a server supplies.
struct ServerHooks {
  /// Handles one request. An exception closes the connection.
  std::function<boost::asio::awaitable<void>(HttpExchange &)> m_Handle;
  /// Returns the response to a request that the server refuses.
  std::function<HttpResponse(ServerRefusal)> m_MakeRefusal;
};

/// Accepts connections and passes their requests to the handler.
///
/// \par Thread safety
/// Safe from any thread once started.
class HttpServer {
public:
  /// Binds the listening socket.
  /// \throws Error when the address cannot be bound or the TLS files cannot be
  /// loaded.
  HttpServer(boost::asio::any_io_executor Executor, const Address &Listen,
             ServerLimits Limits, ServerHooks Hooks, TlsFiles Tls = {});
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// Starts accepting connections. \pre Called once.
  void start();

  /// Stops accepting connections, after those in the accept queue. Open ones
  /// are closed after their current or next request. Returns before that is
  /// done.
  void stop();

  /// Replaces the limits; requests already being read may keep the old ones.
  void setLimits(ServerLimits Limits);

  /// Closes each connection after its next response; continues to accept
  /// connections.
  void closeAfterResponses();

  /// Closes the persistent connections that are idle. Connections that have not
  /// sent their first request yet stay open.
  void closeIdle();

  /// Reloads the certificate and key from their files for new connections.
  /// \throws Error, in which case the previous ones stay in use.
  void reloadTls();

  /// The port that the server listens on.
  unsigned short port() const;

  /// Whether requests may still arrive: it accepts connections, or some are
  /// open. After `stop` it accepts until those in the accept queue are open.
  bool mayReceiveRequests() const;

private:
  class State;
  std::shared_ptr<State> m_State;
};

} // namespace mimosadale::net

#endif
