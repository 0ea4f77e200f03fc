#include "net/client.h"

#include "net/response_head.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <cerrno>
#include <map>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace mimosadale::net {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

namespace {

// Limit of idle connections per server.
constexpr std::size_t MaxIdlePerServer = 256;

// Limit of what is buffered before a part of the response is complete: larger
// than a head and one read of the body.
constexpr std::size_t MaxUnparsedBytes = 96u << 10;

// TCP keep-alive. Detects within about three seconds, also on idle connections,
// that a network partition or lost connection state has cut off the peer.
constexpr int KeepAliveIdleSeconds = 1;
constexpr int KeepAliveIntervalSeconds = 1;
constexpr int KeepAliveProbes = 2;

void enableKeepAlive(tcp::socket &Socket) {
  Socket.set_option(asio::socket_base::keep_alive(true));
  const int Fd = Socket.native_handle();
  const auto SetOption = [Fd](int Name, int Value) {
    if (setsockopt(Fd, IPPROTO_TCP, Name, &Value, sizeof(Value)) != 0)
      throw boost::system::system_error(errno,
                                        boost::system::system_category());
  };
  SetOption(TCP_KEEPIDLE, KeepAliveIdleSeconds);
  SetOption(TCP_KEEPINTVL, KeepAliveIntervalSeconds);
  SetOption(TCP_KEEPCNT, KeepAliveProbes);
}

// A connection. All its operations run on its own strand, because its timeouts
// fire there.
struct Connection {
  explicit Connection(const asio::any_io_executor &Executor)
      : m_Strand(asio::make_strand(Executor)), m_Stream(m_Strand),
        m_Buffer(MaxUnparsedBytes) {}

  asio::strand<asio::any_io_executor> m_Strand;
  beast::tcp_stream m_Stream;
  beast::flat_buffer m_Buffer;
  unsigned m_Exchange = 0; // number of the current exchange
};

using ConnectionPtr = std::shared_ptr<Connection>;

std::string serverKey(const Address &Server) {
  return Server.m_Ip + " " + std::to_string(Server.m_Port);
}

[[noreturn]] void throwNetError(Phase FailedPhase,
                                const beast::system_error &Err) {
  if (Err.code() == http::error::header_limit ||
      Err.code() == http::error::body_limit ||
      Err.code() == http::error::buffer_overflow)
    throw OversizeError(Err.code().message());
  throw NetError(FailedPhase, Err.code() == beast::error::timeout,
                 Err.code().message());
}

http::request<http::string_body> toBeast(const Address &Server,
                                         HttpRequest &&Request) {
  http::request<http::string_body> Message;
  Message.version(11);
  Message.method_string(Request.m_Method);
  Message.target(Request.m_Target);
  Message.set(http::field::host,
              Server.m_Ip + ":" + std::to_string(Server.m_Port));
  for (const HttpHeader &Header : Request.m_Headers)
    Message.set(Header.m_Name, Header.m_Value);
  Message.body() = std::move(Request.m_Body);
  Message.prepare_payload();
  return Message;
}

HttpResponse fromBeast(http::response<http::string_body> &&Message) {
  HttpResponse Response;
  Response.m_Status = Message.result_int();
  for (const auto &Field : Message)
    Response.m_Headers.push_back(
        {std::string(Field.name_string()), std::string(Field.value())});
  Response.m_Body = std::move(Message.body());
  return Response;
}

// A response, and whether the connection may carry another exchange.
struct ExchangeResult {
  HttpResponse m_Response;
  bool m_Reusable = false;
};

asio::awaitable<void> connect(ConnectionPtr Conn, Address Server,
                              Duration Timeout) {
  try {
    Conn->m_Stream.expires_after(Timeout);
    const tcp::endpoint Target(asio::ip::make_address(Server.m_Ip),
                               Server.m_Port);
    co_await Conn->m_Stream.async_connect(Target, asio::use_awaitable);
    Conn->m_Stream.socket().set_option(tcp::no_delay(true));
    enableKeepAlive(Conn->m_Stream.socket());
  } catch (const beast::system_error &Err) {
    throwNetError(Phase::Connect, Err);
  }
}

asio::awaitable<ExchangeResult> sendAndReceive(ConnectionPtr Conn,
                                               Address Server,
                                               HttpRequest Request,
                                               ExchangeOptions Options) {
  if (!Conn->m_Stream.socket().is_open())
    co_await connect(Conn, Server, Options.m_ConnectTimeout);
  Phase CurrentPhase = Phase::Write;
  try {
    auto Message = toBeast(Server, std::move(Request));
    const auto Deadline = std::chrono::steady_clock::now() + Options.m_Timeout;
    Conn->m_Stream.expires_after(Options.m_Timeout);
    co_await http::async_write(Conn->m_Stream, Message, asio::use_awaitable);
    CurrentPhase = Phase::Read;
    std::optional<http::response_parser<http::string_body>> Parser;
    co_await readResponseHead(Conn->m_Stream, Conn->m_Buffer, Parser,
                              Options.m_MaxBodyBytes);
    Parser->eager(true);
    while (!Parser->is_done()) {
      co_await http::async_read_some(Conn->m_Stream, Conn->m_Buffer, *Parser,
                                     asio::use_awaitable);
      // Reads that find data at once complete before the stream's timer can
      // expire.
      if (!Parser->is_done() && std::chrono::steady_clock::now() >= Deadline)
        throw NetError(Phase::Read, true, "response did not end in time");
    }
    Conn->m_Stream.expires_never();
    ++Conn->m_Exchange;
    // Bytes after the response belong to no request.
    const bool Reusable =
        Parser->get().keep_alive() && Conn->m_Buffer.size() == 0;
    co_return ExchangeResult{fromBeast(Parser->release()), Reusable};
  } catch (const beast::system_error &Err) {
    throwNetError(CurrentPhase, Err);
  }
}

// Returns a function that abandons the exchange which is about to start on \p
// Conn, and no later one.
std::function<void()> abandonNext(const ConnectionPtr &Conn) {
  return [Weak = std::weak_ptr<Connection>(Conn), Exchange = Conn->m_Exchange] {
    const ConnectionPtr Current = Weak.lock();
    if (!Current)
      return;
    asio::post(Current->m_Strand, [Current, Exchange] {
      if (Current->m_Exchange == Exchange)
        Current->m_Stream.close();
    });
  };
}

} // namespace

// The idle connections by server. Its mutex is not part of the lock order:
// while it is held, there is no I/O and nothing else is locked.
class HttpClient::Pool {
public:
  explicit Pool(asio::any_io_executor Executor)
      : m_Executor(std::move(Executor)) {}

  ConnectionPtr acquire(const Address &Server, bool RequireNew) {
    const std::lock_guard Lock(m_Mutex);
    auto &Idle = m_IdleByServer[serverKey(Server)];
    if (RequireNew || Idle.empty())
      return std::make_shared<Connection>(m_Executor);
    ConnectionPtr Conn = std::move(Idle.back());
    Idle.pop_back();
    return Conn;
  }

  void release(const Address &Server, ConnectionPtr Conn) {
    const std::lock_guard Lock(m_Mutex);
    auto &Idle = m_IdleByServer[serverKey(Server)];
    if (Idle.size() < MaxIdlePerServer)
      Idle.push_back(std::move(Conn));
  }

  void closeIdleTo(const Address &Server) {
    std::vector<ConnectionPtr> Closed;
    const std::lock_guard Lock(m_Mutex);
    Closed.swap(m_IdleByServer[serverKey(Server)]);
  }

private:
  asio::any_io_executor m_Executor;
  std::mutex m_Mutex;
  std::map<std::string, std::vector<ConnectionPtr>> m_IdleByServer;
};

HttpClient::HttpClient(asio::any_io_executor Executor)
    : m_Pool(std::make_shared<Pool>(std::move(Executor))) {}

HttpClient::~HttpClient() = default;

asio::awaitable<HttpResponse> HttpClient::exchange(Address Server,
                                                   HttpRequest Request,
                                                   ExchangeOptions Options) {
  const std::shared_ptr<Pool> Connections = m_Pool;
  ConnectionPtr Conn = Connections->acquire(Server, Options.m_NewConnection);
  if (Options.m_SetAbandon)
    Options.m_SetAbandon(abandonNext(Conn));
  ExchangeResult Result = co_await asio::co_spawn(
      Conn->m_Strand, sendAndReceive(Conn, Server, std::move(Request), Options),
      asio::use_awaitable);
  if (Result.m_Reusable)
    Connections->release(Server, std::move(Conn));
  co_return std::move(Result.m_Response);
}

void HttpClient::closeIdleTo(const Address &Server) {
  m_Pool->closeIdleTo(Server);
}

} // namespace mimosadale::net
