#include "net/upstream.h"

#include "net/response_head.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <deque>
#include <linux/sockios.h>
#include <map>
#include <optional>
#include <string>
#include <sys/ioctl.h>

namespace mimosadale::net {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

namespace {

// Limit of idle connections per server.
constexpr std::size_t MaxIdlePerServer = 32;

// Size of one read of a response body.
constexpr std::size_t ReadChunkBytes = 8192;

// A connection is not reused when it is this close to the server's keep-alive
// timeout, so that the server does not close it while a request is in flight.
constexpr Duration IdleMargin = std::chrono::milliseconds(500);

// Unexpected responses, such as those to another request, that are skipped; one
// more fails the exchange.
constexpr unsigned MaxUnexpectedResponses = 2;

// Limit of the body of an unexpected response.
constexpr std::size_t MaxUnexpectedBytes = 1u << 20;

// Limit of what is buffered before a part of the response is complete: larger
// than a head and one read of the body.
constexpr std::size_t MaxUnparsedBytes = 96u << 10;

using SteadyTime = std::chrono::steady_clock::time_point;

std::string serverKey(const Address &Server) {
  return Server.m_Ip + ":" + std::to_string(Server.m_Port);
}

[[noreturn]] void throwNetError(Phase FailedPhase,
                                const boost::system::system_error &Err) {
  if (Err.code() == http::error::header_limit ||
      Err.code() == http::error::buffer_overflow)
    throw OversizeError("response head without end");
  throw NetError(FailedPhase, Err.code() == asio::error::operation_aborted,
                 Err.code().message());
}

// The server's idle timeout from the Keep-Alive header; none if not announced.
std::optional<Duration> parseKeepAliveTimeout(const http::fields &Fields) {
  const std::string Text(Fields[http::field::keep_alive]);
  const std::size_t Pos = Text.find("timeout=");
  if (Pos == std::string::npos)
    return std::nullopt;
  return std::chrono::seconds(
      std::strtoul(Text.c_str() + Pos + 8, nullptr, 10));
}

http::request<http::string_body> toBeast(HttpRequest &&Request) {
  http::request<http::string_body> Message;
  Message.version(11);
  Message.method_string(Request.m_Method);
  Message.target(Request.m_Target);
  for (const HttpHeader &Header : Request.m_Headers)
    Message.insert(Header.m_Name, Header.m_Value);
  Message.body() = std::move(Request.m_Body);
  // Sets Content-Length, except for a GET without body.
  Message.prepare_payload();
  return Message;
}

HttpResponse toResponseHead(const http::response<http::buffer_body> &Message) {
  HttpResponse Head;
  Head.m_Status = Message.result_int();
  for (const auto &Field : Message)
    Head.m_Headers.push_back(
        {std::string(Field.name_string()), std::string(Field.value())});
  return Head;
}

} // namespace

class UpstreamExchange::Connection {
public:
  Connection(const asio::any_io_executor &Executor, Address Server)
      : m_Server(std::move(Server)), m_Socket(Executor),
        m_Buffer(MaxUnparsedBytes) {}
  ~Connection() { close(); }
  Connection(const Connection &) = delete;
  Connection &operator=(const Connection &) = delete;

  // Closes the connection. In an unfinished exchange it is reset: after an
  // ordinary close the kernel still delivers what the server's host has not
  // acknowledged, such as the request of a caller that has left.
  void close() {
    boost::system::error_code Ignored;
    if (m_RequestSent && !m_Complete)
      m_Socket.set_option(asio::socket_base::linger(true, 0), Ignored);
    m_Socket.close(Ignored);
  }

  // Whether an idle connection is still open and has no unread input: bytes
  // received between exchanges belong to no request.
  bool isReusable() {
    if (m_Buffer.size() > 0)
      return false;
    char Byte = 0;
    boost::system::error_code Code;
    m_Socket.non_blocking(true, Code);
    m_Socket.receive(asio::buffer(&Byte, 1), tcp::socket::message_peek, Code);
    return Code == asio::error::would_block;
  }

  std::size_t unacknowledgedBytes() {
    int Count = 0;
    const bool Known = m_Socket.is_open() &&
                       ioctl(m_Socket.native_handle(), SIOCOUTQ, &Count) == 0;
    return Known ? static_cast<std::size_t>(Count) : 0;
  }

  Address m_Server;
  tcp::socket m_Socket;
  beast::flat_buffer m_Buffer;
  std::optional<http::response_parser<http::buffer_body>> m_Parser;
  bool m_RequestSent = false; // at least a part of it
  bool m_Complete = false;    // its response was read
  bool m_Reused = false;
  bool m_Cancelled = false;
  SteadyTime m_IdleSince{};
  std::optional<Duration> m_KeepAliveTimeout; // announced by the server
};

class UpstreamPool::IdleConnections {
public:
  using Connection = UpstreamExchange::Connection;
  std::map<std::string, std::deque<std::unique_ptr<Connection>>> m_ByServer;
};

UpstreamExchange::UpstreamExchange(std::shared_ptr<UpstreamPool> Pool,
                                   std::unique_ptr<Connection> Conn)
    : m_Pool(std::move(Pool)), m_Connection(std::move(Conn)) {}

UpstreamExchange::~UpstreamExchange() {
  if (!m_Connection->m_Complete || m_Connection->m_Cancelled ||
      !m_Connection->m_Parser || !m_Connection->m_Parser->get().keep_alive() ||
      m_Connection->m_Buffer.size() > 0)
    return;
  m_Pool->release(std::move(m_Connection));
}

asio::awaitable<void> UpstreamExchange::send(HttpRequest Request) {
  auto Message = toBeast(std::move(Request));
  m_Connection->m_RequestSent = true;
  m_Connection->m_Complete = false;
  try {
    co_await http::async_write(m_Connection->m_Socket, Message,
                               asio::use_awaitable);
  } catch (const boost::system::system_error &Err) {
    throwNetError(Phase::Write, Err);
  }
}

asio::awaitable<HttpResponse> UpstreamExchange::readHead(
    std::function<bool(const HttpResponse &)> IsExpected) {
  for (unsigned UnexpectedResponses = 0;
       UnexpectedResponses <= MaxUnexpectedResponses; ++UnexpectedResponses) {
    m_Connection->m_Complete = false;
    try {
      co_await readResponseHead(m_Connection->m_Socket, m_Connection->m_Buffer,
                                m_Connection->m_Parser, boost::none);
    } catch (const boost::system::system_error &Err) {
      throwNetError(Phase::Read, Err);
    }
    HttpResponse Head = toResponseHead(m_Connection->m_Parser->get());
    m_Connection->m_KeepAliveTimeout =
        parseKeepAliveTimeout(m_Connection->m_Parser->get());
    if (IsExpected(Head))
      co_return Head;
    std::size_t DiscardedBytes = 0;
    std::string Discarded;
    while (co_await readSome(Discarded)) {
      DiscardedBytes += Discarded.size();
      Discarded.clear();
      if (DiscardedBytes > MaxUnexpectedBytes)
        throw OversizeError("response to another request without end");
    }
  }
  throw NetError(Phase::Read, false,
                 "received only responses to other requests");
}

asio::awaitable<bool> UpstreamExchange::readSome(std::string &Body) {
  auto &Parser = *m_Connection->m_Parser;
  const std::size_t OldSize = Body.size();
  try {
    while (!Parser.is_done() && Body.size() == OldSize) {
      Body.resize(OldSize + ReadChunkBytes);
      Parser.get().body().data = Body.data() + OldSize;
      Parser.get().body().size = ReadChunkBytes;
      beast::error_code Code;
      co_await http::async_read_some(
          m_Connection->m_Socket, m_Connection->m_Buffer, Parser,
          asio::redirect_error(asio::use_awaitable, Code));
      const std::size_t BytesRead = ReadChunkBytes - Parser.get().body().size;
      Body.resize(OldSize + BytesRead);
      if (Code && Code != http::error::need_buffer) {
        // Deliver what was received before the error; the next read reports it.
        if (BytesRead > 0 && Code != asio::error::operation_aborted)
          co_return true;
        throw boost::system::system_error(Code);
      }
    }
  } catch (const boost::system::system_error &Err) {
    throwNetError(Phase::Read, Err);
  }
  m_Connection->m_Complete = Parser.is_done();
  co_return Body.size() > OldSize;
}

std::size_t UpstreamExchange::cancel() {
  const std::size_t Unacknowledged = m_Connection->unacknowledgedBytes();
  m_Connection->m_Cancelled = true;
  m_Connection->close();
  return Unacknowledged;
}

bool UpstreamExchange::connectionReused() const {
  return m_Connection->m_Reused;
}

UpstreamPool::UpstreamPool(asio::any_io_executor Executor)
    : m_Executor(std::move(Executor)),
      m_IdleConnections(std::make_unique<IdleConnections>()) {}

UpstreamPool::~UpstreamPool() = default;

asio::awaitable<std::unique_ptr<UpstreamExchange>>
UpstreamPool::open(Address Server, Duration MaxIdle,
                   std::function<void(std::function<void()>)> OnConnecting) {
  auto &Idle = m_IdleConnections->m_ByServer[serverKey(Server)];
  const SteadyTime Now = std::chrono::steady_clock::now();
  while (!Idle.empty() && MaxIdle > Duration{}) {
    auto Conn = std::move(Idle.back());
    Idle.pop_back();
    const Duration IdleLimit = std::min(
        MaxIdle,
        Conn->m_KeepAliveTimeout.value_or(MaxIdle + IdleMargin) - IdleMargin);
    if (Now - Conn->m_IdleSince > IdleLimit || !Conn->isReusable())
      continue;
    Conn->m_Reused = true;
    co_return std::unique_ptr<UpstreamExchange>(
        new UpstreamExchange(shared_from_this(), std::move(Conn)));
  }
  auto Conn =
      std::make_unique<UpstreamExchange::Connection>(m_Executor, Server);
  OnConnecting([Socket = &Conn->m_Socket] {
    boost::system::error_code Ignored;
    Socket->close(Ignored);
  });
  try {
    const tcp::endpoint Target(asio::ip::make_address(Server.m_Ip),
                               Server.m_Port);
    co_await Conn->m_Socket.async_connect(Target, asio::use_awaitable);
    Conn->m_Socket.set_option(tcp::no_delay(true));
  } catch (const boost::system::system_error &Err) {
    OnConnecting(nullptr);
    throwNetError(Phase::Connect, Err);
  }
  OnConnecting(nullptr);
  co_return std::unique_ptr<UpstreamExchange>(
      new UpstreamExchange(shared_from_this(), std::move(Conn)));
}

void UpstreamPool::release(std::unique_ptr<UpstreamExchange::Connection> Conn) {
  auto &Idle = m_IdleConnections->m_ByServer[serverKey(Conn->m_Server)];
  Conn->m_IdleSince = std::chrono::steady_clock::now();
  Conn->m_Parser.reset();
  if (Idle.size() >= MaxIdlePerServer)
    Idle.pop_front();
  Idle.push_back(std::move(Conn));
}

void UpstreamPool::closeIdle(Duration MaxIdle) {
  const SteadyTime Now = std::chrono::steady_clock::now();
  for (auto &[Server, Idle] : m_IdleConnections->m_ByServer)
    while (!Idle.empty() && Now - Idle.front()->m_IdleSince > MaxIdle)
      Idle.pop_front();
}

void UpstreamPool::closeIdleTo(const Address &Server) {
  m_IdleConnections->m_ByServer.erase(serverKey(Server));
}

} // namespace mimosadale::net
