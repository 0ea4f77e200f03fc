#include "net/client.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/ip/tcp.hpp>
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

// Idle connections kept for one server.
constexpr std::size_t MaxIdlePerServer = 256;

// Keep-alive of connections: a peer that a cut or a lost connection state has
// silenced is noticed after about three seconds, also while nothing is awaited.
constexpr int KeepAliveIdleSeconds = 1;
constexpr int KeepAlivePauseSeconds = 1;
constexpr int KeepAliveProbes = 2;

void keepAlive(tcp::socket &Socket) {
  Socket.set_option(asio::socket_base::keep_alive(true));
  const int Handle = Socket.native_handle();
  const auto Set = [Handle](int Name, int Value) {
    if (setsockopt(Handle, IPPROTO_TCP, Name, &Value, sizeof(Value)) != 0)
      throw boost::system::system_error(errno,
                                        boost::system::system_category());
  };
  Set(TCP_KEEPIDLE, KeepAliveIdleSeconds);
  Set(TCP_KEEPINTVL, KeepAlivePauseSeconds);
  Set(TCP_KEEPCNT, KeepAliveProbes);
}

// One open connection; everything on it happens on its own strand, because its
// timeouts fire there.
struct Connection {
  explicit Connection(const asio::any_io_executor &Executor)
      : m_Strand(asio::make_strand(Executor)), m_Stream(m_Strand) {}

  asio::strand<asio::any_io_executor> m_Strand;
  beast::tcp_stream m_Stream;
  beast::flat_buffer m_Buffer;
};

using ConnectionPtr = std::shared_ptr<Connection>;

std::string keyOf(const Address &Server) {
  return Server.m_Ip + " " + std::to_string(Server.m_Port);
}

[[noreturn]] void fail(Phase How, const beast::system_error &Wrong) {
  throw NetError(How, Wrong.code() == beast::error::timeout,
                 Wrong.code().message());
}

http::request<http::string_body> toBeast(const Address &Server,
                                         HttpRequest &&From) {
  http::request<http::string_body> To;
  To.version(11);
  To.method_string(From.m_Method);
  To.target(From.m_Target);
  To.set(http::field::host, Server.m_Ip + ":" + std::to_string(Server.m_Port));
  for (const HttpHeader &Each : From.m_Headers)
    To.set(Each.m_Name, Each.m_Value);
  To.body() = std::move(From.m_Body);
  To.prepare_payload();
  return To;
}

HttpResponse fromBeast(http::response<http::string_body> &&From) {
  HttpResponse To;
  To.m_Status = From.result_int();
  for (const auto &Field : From)
    To.m_Headers.push_back(
        {std::string(Field.name_string()), std::string(Field.value())});
  To.m_Body = std::move(From.body());
  return To;
}

// What an exchange left behind besides its response.
struct Outcome {
  HttpResponse m_Response;
  bool m_KeepAlive = false;
};

asio::awaitable<void> connect(ConnectionPtr Open, Address Server,
                              Duration Timeout) {
  try {
    Open->m_Stream.expires_after(Timeout);
    const tcp::endpoint Target(asio::ip::make_address(Server.m_Ip),
                               Server.m_Port);
    co_await Open->m_Stream.async_connect(Target, asio::use_awaitable);
    Open->m_Stream.socket().set_option(tcp::no_delay(true));
    keepAlive(Open->m_Stream.socket());
  } catch (const beast::system_error &Wrong) {
    fail(Phase::Connect, Wrong);
  }
}

asio::awaitable<Outcome> converse(ConnectionPtr Open, Address Server,
                                  HttpRequest Request,
                                  ExchangeOptions Options) {
  if (!Open->m_Stream.socket().is_open())
    co_await connect(Open, Server, Options.m_ConnectTimeout);
  Phase At = Phase::Write;
  try {
    auto Message = toBeast(Server, std::move(Request));
    Open->m_Stream.expires_after(Options.m_Timeout);
    co_await http::async_write(Open->m_Stream, Message, asio::use_awaitable);
    At = Phase::Read;
    http::response_parser<http::string_body> Parser;
    Parser.body_limit(Options.m_MaxBodyBytes);
    co_await http::async_read(Open->m_Stream, Open->m_Buffer, Parser,
                              asio::use_awaitable);
    Open->m_Stream.expires_never();
    const bool KeepAlive = Parser.get().keep_alive();
    co_return Outcome{fromBeast(Parser.release()), KeepAlive};
  } catch (const beast::system_error &Wrong) {
    fail(At, Wrong);
  }
}

} // namespace

// The idle connections by server. Its mutex guards no I/O and stands outside
// the lock order: nothing else is locked while it is held.
class HttpClient::Pool {
public:
  explicit Pool(asio::any_io_executor Executor)
      : m_Executor(std::move(Executor)) {}

  ConnectionPtr take(const Address &Server, bool Fresh) {
    const std::lock_guard Lock(m_Mutex);
    auto &Idle = m_Idle[keyOf(Server)];
    if (Fresh || Idle.empty())
      return std::make_shared<Connection>(m_Executor);
    ConnectionPtr Open = std::move(Idle.back());
    Idle.pop_back();
    return Open;
  }

  void put(const Address &Server, ConnectionPtr Open) {
    const std::lock_guard Lock(m_Mutex);
    auto &Idle = m_Idle[keyOf(Server)];
    if (Idle.size() < MaxIdlePerServer)
      Idle.push_back(std::move(Open));
  }

  void closeIdleTo(const Address &Server) {
    std::vector<ConnectionPtr> Closed;
    const std::lock_guard Lock(m_Mutex);
    Closed.swap(m_Idle[keyOf(Server)]);
  }

private:
  asio::any_io_executor m_Executor;
  std::mutex m_Mutex;
  std::map<std::string, std::vector<ConnectionPtr>> m_Idle;
};

HttpClient::HttpClient(asio::any_io_executor Executor)
    : m_Pool(std::make_shared<Pool>(std::move(Executor))) {}

HttpClient::~HttpClient() = default;

asio::awaitable<HttpResponse> HttpClient::exchange(Address Server,
                                                   HttpRequest Request,
                                                   ExchangeOptions Options) {
  const std::shared_ptr<Pool> Connections = m_Pool;
  ConnectionPtr Open = Connections->take(Server, Options.m_NewConnection);
  Outcome Result = co_await asio::co_spawn(
      Open->m_Strand, converse(Open, Server, std::move(Request), Options),
      asio::use_awaitable);
  if (Result.m_KeepAlive)
    Connections->put(Server, std::move(Open));
  co_return std::move(Result.m_Response);
}

void HttpClient::closeIdleTo(const Address &Server) {
  m_Pool->closeIdleTo(Server);
}

} // namespace mimosadale::net
