#include "net/upstream.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace mimosadale::net {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

namespace {

// Idle connections kept for one server.
constexpr std::size_t MostIdlePerServer = 32;

// Bytes of a body taken in one read.
constexpr std::size_t ReadBytes = 8192;

// Time before a server's own idle limit at which a connection is not used any
// more, so that the request does not cross the server's close.
constexpr Duration IdleMargin = std::chrono::milliseconds(500);

// Answers to somebody else that are read over before the connection is given
// up.
constexpr unsigned MostForeignAnswers = 2;

using SteadyTime = std::chrono::steady_clock::time_point;

std::string keyOf(const Address &Server) {
  return Server.m_Ip + ":" + std::to_string(Server.m_Port);
}

[[noreturn]] void fail(Phase How, const boost::system::system_error &Wrong) {
  throw NetError(How, Wrong.code() == asio::error::operation_aborted,
                 Wrong.code().message());
}

// How long the server keeps the connection open while it is idle.
std::optional<Duration> idleLimitOf(const http::fields &From) {
  const std::string Text(From[http::field::keep_alive]);
  const std::size_t At = Text.find("timeout=");
  if (At == std::string::npos)
    return std::nullopt;
  return std::chrono::seconds(std::strtoul(Text.c_str() + At + 8, nullptr, 10));
}

http::request<http::string_body> toBeast(HttpRequest &&From) {
  http::request<http::string_body> To;
  To.version(11);
  To.method_string(From.m_Method);
  To.target(From.m_Target);
  for (const HttpHeader &Each : From.m_Headers)
    To.insert(Each.m_Name, Each.m_Value);
  To.body() = std::move(From.m_Body);
  // A GET without body carries no length.
  To.prepare_payload();
  return To;
}

HttpResponse headOf(const http::response<http::buffer_body> &From) {
  HttpResponse To;
  To.m_Status = From.result_int();
  for (const auto &Field : From)
    To.m_Headers.push_back(
        {std::string(Field.name_string()), std::string(Field.value())});
  return To;
}

} // namespace

class UpstreamExchange::Connection {
public:
  Connection(const asio::any_io_executor &Executor, Address Server)
      : m_Server(std::move(Server)), m_Socket(Executor) {}

  // Whether an idle connection is still open with nothing to read: bytes that
  // nobody asked for belong to no request.
  bool quiet() {
    if (m_Buffer.size() > 0)
      return false;
    char Byte = 0;
    boost::system::error_code Code;
    m_Socket.non_blocking(true, Code);
    m_Socket.receive(asio::buffer(&Byte, 1), tcp::socket::message_peek, Code);
    return Code == asio::error::would_block;
  }

  Address m_Server;
  tcp::socket m_Socket;
  beast::flat_buffer m_Buffer;
  std::optional<http::response_parser<http::buffer_body>> m_Parser;
  bool m_Whole = false;
  bool m_Reused = false;
  bool m_Cancelled = false;
  SteadyTime m_IdleSince{};
  std::optional<Duration> m_IdleLimit; // stated by the server
};

class UpstreamPool::Idle {
public:
  using Connection = UpstreamExchange::Connection;
  std::map<std::string, std::deque<std::unique_ptr<Connection>>> m_ByServer;
};

UpstreamExchange::UpstreamExchange(std::shared_ptr<UpstreamPool> Pool,
                                   std::unique_ptr<Connection> Open)
    : m_Pool(std::move(Pool)), m_Open(std::move(Open)) {}

UpstreamExchange::~UpstreamExchange() {
  if (!m_Open->m_Whole || m_Open->m_Cancelled || !m_Open->m_Parser ||
      !m_Open->m_Parser->get().keep_alive() || m_Open->m_Buffer.size() > 0)
    return;
  m_Pool->put(std::move(m_Open));
}

asio::awaitable<void> UpstreamExchange::send(HttpRequest Request) {
  auto Message = toBeast(std::move(Request));
  try {
    co_await http::async_write(m_Open->m_Socket, Message, asio::use_awaitable);
  } catch (const boost::system::system_error &Wrong) {
    fail(Phase::Write, Wrong);
  }
}

asio::awaitable<HttpResponse>
UpstreamExchange::readHead(std::function<bool(const HttpResponse &)> IsOurs) {
  for (unsigned Foreign = 0; Foreign <= MostForeignAnswers; ++Foreign) {
    m_Open->m_Whole = false;
    m_Open->m_Parser.emplace();
    m_Open->m_Parser->body_limit(boost::none);
    try {
      co_await http::async_read_header(m_Open->m_Socket, m_Open->m_Buffer,
                                       *m_Open->m_Parser, asio::use_awaitable);
    } catch (const boost::system::system_error &Wrong) {
      fail(Phase::Read, Wrong);
    }
    if (m_Open->m_Parser->get().result_int() / 100 == 1)
      continue;
    HttpResponse Head = headOf(m_Open->m_Parser->get());
    m_Open->m_IdleLimit = idleLimitOf(m_Open->m_Parser->get());
    if (IsOurs(Head))
      co_return Head;
    std::string Dropped;
    while (co_await readSome(Dropped))
      Dropped.clear();
  }
  throw NetError(Phase::Read, false, "answers to other requests");
}

asio::awaitable<bool> UpstreamExchange::readSome(std::string &Into) {
  auto &Parser = *m_Open->m_Parser;
  const std::size_t Before = Into.size();
  try {
    while (!Parser.is_done() && Into.size() == Before) {
      Into.resize(Before + ReadBytes);
      Parser.get().body().data = Into.data() + Before;
      Parser.get().body().size = ReadBytes;
      beast::error_code Code;
      co_await http::async_read_some(
          m_Open->m_Socket, m_Open->m_Buffer, Parser,
          asio::redirect_error(asio::use_awaitable, Code));
      const std::size_t Got = ReadBytes - Parser.get().body().size;
      Into.resize(Before + Got);
      if (Code && Code != http::error::need_buffer) {
        // What came before the break is the caller's all the same.
        if (Got > 0 && Code != asio::error::operation_aborted)
          co_return true;
        throw boost::system::system_error(Code);
      }
    }
  } catch (const boost::system::system_error &Wrong) {
    fail(Phase::Read, Wrong);
  }
  m_Open->m_Whole = Parser.is_done();
  co_return Into.size() > Before;
}

void UpstreamExchange::cancel() {
  m_Open->m_Cancelled = true;
  boost::system::error_code Ignored;
  m_Open->m_Socket.close(Ignored);
}

bool UpstreamExchange::connectionReused() const { return m_Open->m_Reused; }

UpstreamPool::UpstreamPool(asio::any_io_executor Executor)
    : m_Executor(std::move(Executor)), m_Idle(std::make_unique<Idle>()) {}

UpstreamPool::~UpstreamPool() = default;

asio::awaitable<std::unique_ptr<UpstreamExchange>>
UpstreamPool::open(Address Server, Duration MostIdle,
                   std::function<void(std::function<void()>)> Begun) {
  auto &Kept = m_Idle->m_ByServer[keyOf(Server)];
  const SteadyTime Now = std::chrono::steady_clock::now();
  while (!Kept.empty()) {
    auto Open = std::move(Kept.back());
    Kept.pop_back();
    const Duration Limit =
        std::min(MostIdle, Open->m_IdleLimit.value_or(MostIdle + IdleMargin) -
                               IdleMargin);
    if (Now - Open->m_IdleSince > Limit || !Open->quiet())
      continue;
    Open->m_Reused = true;
    co_return std::unique_ptr<UpstreamExchange>(
        new UpstreamExchange(shared_from_this(), std::move(Open)));
  }
  auto Open =
      std::make_unique<UpstreamExchange::Connection>(m_Executor, Server);
  Begun([Socket = &Open->m_Socket] {
    boost::system::error_code Ignored;
    Socket->close(Ignored);
  });
  try {
    const tcp::endpoint Target(asio::ip::make_address(Server.m_Ip),
                               Server.m_Port);
    co_await Open->m_Socket.async_connect(Target, asio::use_awaitable);
    Open->m_Socket.set_option(tcp::no_delay(true));
  } catch (const boost::system::system_error &Wrong) {
    Begun(nullptr);
    fail(Phase::Connect, Wrong);
  }
  Begun(nullptr);
  co_return std::unique_ptr<UpstreamExchange>(
      new UpstreamExchange(shared_from_this(), std::move(Open)));
}

void UpstreamPool::put(std::unique_ptr<UpstreamExchange::Connection> Open) {
  auto &Kept = m_Idle->m_ByServer[keyOf(Open->m_Server)];
  Open->m_IdleSince = std::chrono::steady_clock::now();
  Open->m_Parser.reset();
  if (Kept.size() >= MostIdlePerServer)
    Kept.pop_front();
  Kept.push_back(std::move(Open));
}

void UpstreamPool::closeIdle(Duration MostIdle) {
  const SteadyTime Now = std::chrono::steady_clock::now();
  for (auto &[Server, Kept] : m_Idle->m_ByServer)
    while (!Kept.empty() && Now - Kept.front()->m_IdleSince > MostIdle)
      Kept.pop_front();
}

void UpstreamPool::closeIdleTo(const Address &Server) {
  m_Idle->m_ByServer.erase(keyOf(Server));
}

} // namespace mimosadale::net
