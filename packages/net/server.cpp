#include "net/server.h"

#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/ssl/context.hpp>
#include <boost/asio/ssl/stream.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <boost/beast/ssl.hpp>
#include <map>
#include <mutex>
#include <optional>

namespace mimosadale::net {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

namespace {

using PlainStream = beast::tcp_stream;
using TlsStream = beast::ssl_stream<beast::tcp_stream>;

// Backoff after a failed accept, for example when file descriptors run out.
constexpr auto AcceptBackoff = std::chrono::milliseconds(20);

http::response<http::string_body> toBeast(const HttpResponse &Response,
                                          bool KeepAlive) {
  http::response<http::string_body> Message;
  Message.version(11);
  Message.result(Response.m_Status);
  for (const HttpHeader &Header : Response.m_Headers)
    Message.insert(Header.m_Name, Header.m_Value);
  Message.keep_alive(KeepAlive);
  Message.body() = Response.m_Body;
  Message.prepare_payload();
  return Message;
}

[[noreturn]] void throwWriteError(const beast::system_error &Err) {
  throw NetError(Phase::Write, Err.code() == beast::error::timeout,
                 Err.code().message());
}

// Limit of the bytes that are read ahead of the next request. A close behind
// more than that is seen when the exchange writes.
constexpr std::size_t MaxReadAheadBytes = 64u << 10;

// Whether the peer of a connection has closed it. Bytes in front of the close,
// such as those of the next request, are moved to \p NextRequest.
bool isClosed(PlainStream &Conn, beast::flat_buffer &NextRequest) {
  tcp::socket &Socket = Conn.socket();
  beast::error_code Code;
  Socket.non_blocking(true, Code);
  while (!Code && NextRequest.size() < MaxReadAheadBytes)
    NextRequest.commit(Socket.receive(NextRequest.prepare(4096), 0, Code));
  return Code && Code != asio::error::would_block;
}

// The same. Encrypted bytes stay in the socket, and hide a close behind them.
bool isClosed(TlsStream &Conn, beast::flat_buffer & /*NextRequest*/) {
  tcp::socket &Socket = beast::get_lowest_layer(Conn).socket();
  char Byte = 0;
  beast::error_code Code;
  Socket.non_blocking(true, Code);
  Socket.receive(asio::buffer(&Byte, 1), tcp::socket::message_peek, Code);
  return Code && Code != asio::error::would_block;
}

// Whether bytes that arrive from now on can be moved out of the socket.
bool canReadAhead(const PlainStream & /*Conn*/,
                  const beast::flat_buffer &NextRequest) {
  return NextRequest.size() < MaxReadAheadBytes;
}
bool canReadAhead(const TlsStream & /*Conn*/,
                  const beast::flat_buffer & /*NextRequest*/) {
  return false;
}

// An exchange over a plain or a TLS stream.
template <typename Stream> class StreamExchange final : public HttpExchange {
public:
  StreamExchange(Stream &Conn, beast::flat_buffer &NextRequest,
                 HttpRequest Request, bool KeepAlive, Duration WriteTimeout,
                 std::uint64_t ConnectionNumber)
      : m_Stream(Conn), m_NextRequest(NextRequest),
        m_Request(std::move(Request)), m_KeepAlive(KeepAlive),
        m_WriteTimeout(WriteTimeout), m_ConnectionNumber(ConnectionNumber) {}

  const HttpRequest &request() const override { return m_Request; }
  bool responseStarted() const override { return m_Started; }
  std::uint64_t connectionNumber() const override { return m_ConnectionNumber; }
  bool keepAlive() const { return m_KeepAlive; }

  ~StreamExchange() override {
    if (m_DisconnectWatch)
      m_DisconnectWatch->m_Done = true;
  }

  void watchCaller(std::function<void()> OnDisconnect) override {
    m_DisconnectWatch = std::make_shared<DisconnectWatch>();
    m_DisconnectWatch->m_OnDisconnect = std::move(OnDisconnect);
    awaitBytes(m_Stream, m_NextRequest, m_DisconnectWatch);
  }

  bool callerLeft() override { return isClosed(m_Stream, m_NextRequest); }

  asio::awaitable<void> respond(HttpResponse Response) override {
    m_Started = true;
    auto Message = toBeast(Response, m_KeepAlive);
    try {
      startWriteTimeout();
      co_await http::async_write(m_Stream, Message, asio::use_awaitable);
    } catch (const beast::system_error &Err) {
      throwWriteError(Err);
    }
  }

  asio::awaitable<void> startStream(HttpResponse Head) override {
    m_Started = true;
    http::response<http::empty_body> Message;
    Message.version(11);
    Message.result(Head.m_Status);
    for (const HttpHeader &Header : Head.m_Headers)
      Message.insert(Header.m_Name, Header.m_Value);
    Message.keep_alive(m_KeepAlive);
    Message.chunked(true);
    http::response_serializer<http::empty_body> Serializer(Message);
    try {
      startWriteTimeout();
      co_await http::async_write_header(m_Stream, Serializer,
                                        asio::use_awaitable);
    } catch (const beast::system_error &Err) {
      throwWriteError(Err);
    }
  }

  asio::awaitable<void> write(std::string Data) override {
    try {
      startWriteTimeout();
      co_await asio::async_write(m_Stream, http::make_chunk(asio::buffer(Data)),
                                 asio::use_awaitable);
    } catch (const beast::system_error &Err) {
      throwWriteError(Err);
    }
  }

  asio::awaitable<void> finish() override {
    try {
      startWriteTimeout();
      co_await asio::async_write(m_Stream, http::make_chunk_last(),
                                 asio::use_awaitable);
    } catch (const beast::system_error &Err) {
      throwWriteError(Err);
    }
  }

  void abort() override {
    m_KeepAlive = false;
    beast::get_lowest_layer(m_Stream).close();
  }

private:
  void startWriteTimeout() {
    beast::get_lowest_layer(m_Stream).expires_after(m_WriteTimeout);
  }

  struct DisconnectWatch {
    std::function<void()> m_OnDisconnect;
    bool m_Done = false;
  };

  // Waits until bytes or a close arrive, as often as bytes do. The wait may
  // outlive the exchange; it then sees m_Done and does nothing.
  static void awaitBytes(Stream &Conn, beast::flat_buffer &NextRequest,
                         std::shared_ptr<DisconnectWatch> Watch) {
    auto &Socket = beast::get_lowest_layer(Conn).socket();
    Socket.async_wait(tcp::socket::wait_read,
                      [&Conn, &NextRequest, Watch](beast::error_code Code) {
                        if (Code || Watch->m_Done)
                          return;
                        if (isClosed(Conn, NextRequest))
                          Watch->m_OnDisconnect();
                        else if (canReadAhead(Conn, NextRequest))
                          awaitBytes(Conn, NextRequest, Watch);
                      });
  }

  Stream &m_Stream;
  beast::flat_buffer &m_NextRequest;
  std::shared_ptr<DisconnectWatch> m_DisconnectWatch;
  HttpRequest m_Request;
  bool m_KeepAlive;
  bool m_Started = false;
  Duration m_WriteTimeout;
  std::uint64_t m_ConnectionNumber;
};

HttpRequest fromBeast(http::request<http::string_body> &&Message) {
  HttpRequest Request;
  Request.m_Method = std::string(Message.method_string());
  Request.m_Target = std::string(Message.target());
  for (const auto &Field : Message)
    Request.m_Headers.push_back(
        {std::string(Field.name_string()), std::string(Field.value())});
  Request.m_Body = std::move(Message.body());
  return Request;
}

// The timeout of reading one request. Shared with the timer's handler, which
// may run after the read has ended and then sees m_Done.
struct ReadTimeout {
  explicit ReadTimeout(const asio::any_io_executor &Executor)
      : m_Timer(Executor) {}

  asio::steady_timer m_Timer;
  bool m_Done = false;
  bool m_Expired = false;
};

// The refusal to send for a read error; none if the peer closed the connection
// or an idle connection timed out.
std::optional<ServerRefusal> refusalForReadError(beast::error_code Code,
                                                 bool RequestStarted) {
  if (Code == http::error::header_limit)
    return ServerRefusal::HeaderTooLarge;
  if (Code == http::error::body_limit)
    return ServerRefusal::BodyTooLarge;
  if (Code == beast::error::timeout)
    return RequestStarted ? std::optional(ServerRefusal::SlowSender)
                          : std::nullopt;
  if (Code == http::error::end_of_stream)
    return std::nullopt;
  if (Code.category() ==
      http::make_error_code(http::error::bad_method).category())
    return ServerRefusal::BadRequest;
  return std::nullopt;
}

} // namespace

class HttpServer::State : public std::enable_shared_from_this<State> {
public:
  State(asio::any_io_executor Executor, const Address &Listen,
        ServerLimits Limits, ServerHooks Hooks, TlsFiles Tls)
      : m_Executor(std::move(Executor)), m_Limits(Limits),
        m_Hooks(std::move(Hooks)), m_TlsFiles(std::move(Tls)),
        m_Acceptor(asio::make_strand(m_Executor)) {
    reloadTls();
    bindAndListen(Listen);
  }

  void start() {
    m_Accepting = true;
    asio::co_spawn(
        m_Acceptor.get_executor(),
        [Self = shared_from_this()] { return Self->acceptLoop(); },
        [Self = shared_from_this()](const std::exception_ptr &) {
          Self->m_Accepting = false;
        });
  }

  void stop() {
    m_Stopping = true;
    asio::post(m_Acceptor.get_executor(), [Self = shared_from_this()] {
      beast::error_code Ignored;
      Self->m_Acceptor.cancel(Ignored);
    });
  }

  void setLimits(ServerLimits Limits) {
    const std::lock_guard Lock(m_LimitsMutex);
    m_Limits = Limits;
  }

  ServerLimits limits() {
    const std::lock_guard Lock(m_LimitsMutex);
    return m_Limits;
  }

  void closeAfterResponses() { m_CloseAfterResponse = true; }

  void closeIdle() {
    std::vector<std::function<void()>> Closers;
    {
      const std::lock_guard Lock(m_IdleMutex);
      for (const auto &[Number, Close] : m_IdleConnections)
        Closers.push_back(Close);
    }
    for (const auto &Close : Closers)
      Close();
  }

  void reloadTls() {
    if (m_TlsFiles.m_Certificate.empty())
      return;
    try {
      auto NewContext =
          std::make_shared<asio::ssl::context>(asio::ssl::context::tls_server);
      NewContext->use_certificate_chain_file(m_TlsFiles.m_Certificate);
      NewContext->use_private_key_file(m_TlsFiles.m_Key,
                                       asio::ssl::context::pem);
      const std::lock_guard Lock(m_TlsMutex);
      m_TlsContext = std::move(NewContext);
    } catch (const boost::system::system_error &Err) {
      throw Error("TLS files " + m_TlsFiles.m_Certificate + " and " +
                  m_TlsFiles.m_Key + ": " + Err.code().message());
    }
  }

  unsigned short port() const { return m_Port; }
  bool mayReceiveRequests() const {
    return m_Accepting || m_OpenConnections > 0;
  }

private:
  void bindAndListen(const Address &Listen) {
    try {
      const tcp::endpoint ListenEndpoint(asio::ip::make_address(Listen.m_Ip),
                                         Listen.m_Port);
      m_Acceptor.open(ListenEndpoint.protocol());
      m_Acceptor.set_option(asio::socket_base::reuse_address(true));
      m_Acceptor.bind(ListenEndpoint);
      m_Acceptor.listen();
      m_Port = m_Acceptor.local_endpoint().port();
    } catch (const boost::system::system_error &Err) {
      throw Error("cannot listen on " + Listen.m_Ip + ":" +
                  std::to_string(Listen.m_Port) + ": " + Err.code().message());
    }
  }

  std::shared_ptr<asio::ssl::context> tlsContext() {
    const std::lock_guard Lock(m_TlsMutex);
    return m_TlsContext;
  }

  asio::awaitable<void> acceptLoop() {
    while (!m_Stopping) {
      auto Strand = asio::make_strand(m_Executor);
      beast::error_code Code;
      tcp::socket Socket = co_await m_Acceptor.async_accept(
          Strand, asio::redirect_error(asio::use_awaitable, Code));
      // One that was accepted before the stop is served like the pending ones.
      if (m_Stopping && Code)
        break;
      if (Code) {
        asio::steady_timer Backoff(m_Acceptor.get_executor(), AcceptBackoff);
        co_await Backoff.async_wait(asio::use_awaitable);
        continue;
      }
      spawnConnection(std::move(Socket));
    }
    acceptPending();
    beast::error_code Ignored;
    m_Acceptor.close(Ignored);
  }

  void spawnConnection(tcp::socket Socket) {
    const std::size_t OpenConnections = ++m_OpenConnections;
    beast::error_code Ignored;
    Socket.set_option(tcp::no_delay(true), Ignored);
    const auto Strand = Socket.get_executor();
    asio::co_spawn(
        Strand,
        [Self = shared_from_this(), Accepted = std::move(Socket),
         OpenConnections]() mutable {
          return Self->serve(std::move(Accepted), OpenConnections);
        },
        asio::detached);
  }

  // Serves the connections in the accept queue. Closing the listening socket
  // would reset them and lose the requests that callers have sent on them.
  void acceptPending() {
    beast::error_code Code;
    m_Acceptor.non_blocking(true, Code);
    while (!Code) {
      tcp::socket Socket(asio::make_strand(m_Executor));
      m_Acceptor.accept(Socket, Code);
      if (!Code)
        spawnConnection(std::move(Socket));
    }
  }

  asio::awaitable<void> serve(tcp::socket Socket, std::size_t OpenConnections) {
    try {
      if (const auto Context = tlsContext()) {
        TlsStream Stream(std::move(Socket), *Context);
        beast::get_lowest_layer(Stream).expires_after(limits().m_ReadTimeout);
        co_await Stream.async_handshake(asio::ssl::stream_base::server,
                                        asio::use_awaitable);
        co_await serveStream(Stream, OpenConnections);
      } else {
        PlainStream Stream(std::move(Socket));
        co_await serveStream(Stream, OpenConnections);
      }
    } catch (const std::exception &) {
      // Destroying the stream closes the connection.
    }
    --m_OpenConnections;
  }

  template <typename Stream>
  asio::awaitable<void> serveStream(Stream &Conn, std::size_t OpenConnections) {
    if (OpenConnections > limits().m_MaxConnections) {
      co_await refuse(Conn, ServerRefusal::TooManyConnections);
      co_return;
    }
    const std::uint64_t ConnectionNumber = ++m_AcceptedConnections;
    beast::flat_buffer Buffer;
    bool KeepAlive = true;
    bool FirstRequest = true;
    while (KeepAlive) {
      http::request_parser<http::string_body> Parser;
      Parser.header_limit(
          static_cast<std::uint32_t>(limits().m_MaxHeaderBytes));
      Parser.body_limit(limits().m_MaxBodyBytes);
      const beast::error_code Code =
          co_await readRequest(Conn, Buffer, Parser, FirstRequest);
      FirstRequest = false;
      if (Code) {
        if (auto Refusal = refusalForReadError(Code, Parser.got_some() ||
                                                         Buffer.size() > 0))
          co_await refuse(Conn, *Refusal);
        co_return;
      }
      auto Message = Parser.release();
      KeepAlive = Message.keep_alive() && !m_Stopping && !m_CloseAfterResponse;
      StreamExchange<Stream> Exchange(
          Conn, Buffer, fromBeast(std::move(Message)), KeepAlive,
          limits().m_WriteTimeout, ConnectionNumber);
      beast::get_lowest_layer(Conn).expires_never();
      co_await m_Hooks.m_Handle(Exchange);
      // A stop may have started while the request was handled.
      KeepAlive = Exchange.keepAlive() && Exchange.responseStarted() &&
                  !m_Stopping && !m_CloseAfterResponse;
    }
  }

  // Registers a connection as idle while it waits for the first byte of a
  // request, so that closeIdle can cancel the wait.
  class IdleRegistration {
  public:
    template <typename Stream>
    IdleRegistration(State &Server, Stream &Conn)
        : m_Server(Server), m_Number(++Server.m_LastIdleNumber) {
      const std::lock_guard Lock(Server.m_IdleMutex);
      Server.m_IdleConnections[m_Number] = [Self = Server.weak_from_this(),
                                            &Conn, Number = m_Number] {
        asio::post(Conn.get_executor(), [Self, &Conn, Number] {
          const auto Owner = Self.lock();
          if (Owner && Owner->isIdle(Number))
            beast::get_lowest_layer(Conn).cancel();
        });
      };
    }
    ~IdleRegistration() {
      const std::lock_guard Lock(m_Server.m_IdleMutex);
      m_Server.m_IdleConnections.erase(m_Number);
    }
    IdleRegistration(const IdleRegistration &) = delete;
    IdleRegistration &operator=(const IdleRegistration &) = delete;

  private:
    State &m_Server;
    std::uint64_t m_Number;
  };

  bool isIdle(std::uint64_t Number) {
    const std::lock_guard Lock(m_IdleMutex);
    return m_IdleConnections.contains(Number);
  }

  // Waits for the first byte of a request within the idle timeout, then reads
  // the rest within the read timeout. A new connection is not registered as
  // idle, as its first request is expected at once.
  template <typename Stream, typename Parser>
  asio::awaitable<beast::error_code>
  readRequest(Stream &Conn, beast::flat_buffer &Buffer, Parser &Request,
              bool FirstRequest) {
    beast::error_code Code;
    auto Token = asio::redirect_error(asio::use_awaitable, Code);
    beast::get_lowest_layer(Conn).expires_after(limits().m_IdleTimeout);
    if (Buffer.size() == 0) {
      std::optional<IdleRegistration> Registration;
      if (!FirstRequest)
        Registration.emplace(*this, Conn);
      const std::size_t BytesRead =
          co_await Conn.async_read_some(Buffer.prepare(4096), Token);
      Buffer.commit(BytesRead);
      if (Code)
        co_return Code == asio::error::eof
            ? beast::error_code(http::error::end_of_stream)
            : Code;
    }
    // The stream's own timeout would close the connection, and the SlowSender
    // refusal could not be sent. Cancelling the read leaves it open.
    beast::get_lowest_layer(Conn).expires_never();
    const auto Timeout = std::make_shared<ReadTimeout>(Conn.get_executor());
    Timeout->m_Timer.expires_after(limits().m_ReadTimeout);
    Timeout->m_Timer.async_wait([Timeout, &Conn](beast::error_code TimerCode) {
      if (TimerCode || Timeout->m_Done)
        return;
      Timeout->m_Expired = true;
      beast::get_lowest_layer(Conn).cancel();
    });
    co_await http::async_read(Conn, Buffer, Request, Token);
    Timeout->m_Done = true;
    Timeout->m_Timer.cancel();
    if (Timeout->m_Expired)
      Code = beast::error::timeout;
    co_return Code;
  }

  // Sends a refusal and closes the connection. Discards further input for up to
  // 200 ms first: closing a socket with unread input resets the connection, and
  // the peer could lose the response.
  template <typename Stream>
  asio::awaitable<void> refuse(Stream &Conn, ServerRefusal Refusal) {
    beast::error_code Code;
    auto Token = asio::redirect_error(asio::use_awaitable, Code);
    auto Message = toBeast(m_Hooks.m_MakeRefusal(Refusal), false);
    auto &LowestLayer = beast::get_lowest_layer(Conn);
    LowestLayer.expires_after(limits().m_WriteTimeout);
    co_await http::async_write(Conn, Message, Token);
    beast::error_code Ignored;
    LowestLayer.socket().shutdown(tcp::socket::shutdown_send, Ignored);
    LowestLayer.expires_after(std::chrono::milliseconds(200));
    std::string Discarded(65536, '\0');
    std::size_t BytesLeft = 64 * Discarded.size();
    while (!Code && BytesLeft > 0) {
      const std::size_t BytesRead =
          co_await LowestLayer.async_read_some(asio::buffer(Discarded), Token);
      BytesLeft -= std::min(BytesLeft, BytesRead);
    }
  }

  asio::any_io_executor m_Executor;
  std::mutex m_IdleMutex; // nothing else is locked while it is held
  std::map<std::uint64_t, std::function<void()>> m_IdleConnections;
  std::atomic<std::uint64_t> m_LastIdleNumber = 0;
  std::mutex m_LimitsMutex; // nothing else is locked while it is held
  ServerLimits m_Limits;
  ServerHooks m_Hooks;
  TlsFiles m_TlsFiles;
  std::mutex m_TlsMutex;
  std::shared_ptr<asio::ssl::context> m_TlsContext;
  tcp::acceptor m_Acceptor;
  unsigned short m_Port = 0;
  std::atomic<bool> m_Accepting = false;
  std::atomic<bool> m_Stopping = false;
  std::atomic<bool> m_CloseAfterResponse = false;
  std::atomic<std::size_t> m_OpenConnections = 0;
  std::atomic<std::uint64_t> m_AcceptedConnections = 0;
};

HttpServer::HttpServer(asio::any_io_executor Executor, const Address &Listen,
                       ServerLimits Limits, ServerHooks Hooks, TlsFiles Tls)
    : m_State(std::make_shared<State>(std::move(Executor), Listen, Limits,
                                      std::move(Hooks), std::move(Tls))) {}

HttpServer::~HttpServer() { m_State->stop(); }

void HttpServer::start() { m_State->start(); }
void HttpServer::stop() { m_State->stop(); }
void HttpServer::setLimits(ServerLimits Limits) { m_State->setLimits(Limits); }
void HttpServer::closeIdle() { m_State->closeIdle(); }
void HttpServer::closeAfterResponses() { m_State->closeAfterResponses(); }
void HttpServer::reloadTls() { m_State->reloadTls(); }
unsigned short HttpServer::port() const { return m_State->port(); }
bool HttpServer::mayReceiveRequests() const {
  return m_State->mayReceiveRequests();
}

} // namespace mimosadale::net
