// An HTTP server with limits on header, body, connections and time.
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

/// One request and the way to answer it.
///
/// \par Thread safety
/// Used by the coroutine that handles the request only.
class HttpExchange {
public:
  virtual ~HttpExchange() = default;

  /// The request, whole. \pre None.
  virtual const HttpRequest &request() const = 0;

  /// Sends a whole response. \pre Nothing was sent yet. \throws NetError.
  virtual boost::asio::awaitable<void> respond(HttpResponse Response) = 0;

  /// Begins a streamed response. \pre Nothing was sent yet. \throws NetError.
  virtual boost::asio::awaitable<void> startStream(HttpResponse Head) = 0;

  /// Sends a part; returns once the connection took it, so a slow caller slows
  /// the coroutine and nothing piles up. \pre The stream began.
  /// \throws NetError when the caller is gone or too slow.
  virtual boost::asio::awaitable<void> write(std::string Data) = 0;

  /// Ends the stream as whole. \pre The stream began. \throws NetError.
  virtual boost::asio::awaitable<void> finish() = 0;

  /// Calls \p OnGone once when the caller closes the connection before the
  /// answer is out. \pre Called at most once an exchange.
  virtual void watchCaller(std::function<void()> OnDisconnect) = 0;

  /// Closes the connection, so that a stream is seen as cut off. \pre None.
  virtual void abort() = 0;

  /// Whether anything was sent. \pre None.
  virtual bool responseStarted() const = 0;

  /// Number of the connection, rising in the order of acceptance. \pre None.
  virtual std::uint64_t connectionNumber() const = 0;
};

/// Why the server itself refused a request.
enum class ServerRefusal {
  BadRequest,
  HeaderTooLarge,
  BodyTooLarge,
  SlowSender,
  TooManyConnections
};

struct ServerLimits {
  std::size_t m_HeaderBytes = 16384;
  std::size_t m_BodyBytes = 1 << 20;
  std::size_t m_Connections = 4096;
  Duration m_ReadTimeout = std::chrono::seconds(10);
  Duration m_WriteTimeout = std::chrono::seconds(10);
  Duration m_IdleTimeout = std::chrono::seconds(60);
};

struct TlsFiles {
  std::string m_Certificate;
  std::string m_Key;
};

/// What the owner of a server supplies.
struct ServerHooks {
  /// Answers one request. An exception closes the connection.
  std::function<boost::asio::awaitable<void>(HttpExchange &)> m_Handle;
  /// The response to a request that the server refuses itself.
  std::function<HttpResponse(ServerRefusal)> m_MakeRefusal;
};

/// Accepts connections and hands their requests to a hook.
///
/// \par Thread safety
/// Safe from any thread once started.
class HttpServer {
public:
  /// \throws Error when the address cannot be had or the TLS files not read.
  HttpServer(boost::asio::any_io_executor Executor, const Address &Listen,
             ServerLimits Limits, ServerHooks Hooks, TlsFiles Tls = {});
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// Starts accepting. \pre Called once.
  void start();

  /// Stops accepting; open connections end after the request they carry.
  void stop();

  /// Applies \p Limits to what is read from now on.
  void setLimits(ServerLimits Limits);

  /// Ends each open connection after its next answer; goes on accepting.
  void closeAfterResponses();

  /// Closes the kept connections that carry no request now; new ones may bring
  /// their first one.
  void closeIdle();

  /// Takes the certificate and key anew from their files; open connections keep
  /// theirs. \throws Error, and then keeps the ones in use.
  void reloadTls();

  /// The port in use. \pre None.
  unsigned short port() const;

  /// Open connections now. \pre None.
  std::size_t connections() const;

private:
  class State;
  std::shared_ptr<State> m_State;
};

} // namespace mimosadale::net

#endif
