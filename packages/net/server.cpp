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

// Pause after a failed accept, for instance when no file descriptor is left.
constexpr auto AcceptPause = std::chrono::milliseconds(20);

http::response<http::string_body> toBeast(const HttpResponse &From,
                                          bool KeepAlive) {
  http::response<http::string_body> To;
  To.version(11);
  To.result(From.m_Status);
  for (const HttpHeader &Each : From.m_Headers)
    To.insert(Each.m_Name, Each.m_Value);
  To.keep_alive(KeepAlive);
  To.body() = From.m_Body;
  To.prepare_payload();
  return To;
}

[[noreturn]] void fail(const beast::system_error &Wrong) {
  throw NetError(Phase::Write, Wrong.code() == beast::error::timeout,
                 Wrong.code().message());
}

// The exchange over one kind of stream.
template <typename Stream> class StreamExchange final : public HttpExchange {
public:
  StreamExchange(Stream &Out, HttpRequest Request, bool KeepAlive,
                 Duration WriteTimeout, std::uint64_t Connection)
      : m_Out(Out), m_Request(std::move(Request)), m_KeepAlive(KeepAlive),
        m_WriteTimeout(WriteTimeout), m_Connection(Connection) {}

  const HttpRequest &request() const override { return m_Request; }
  bool responseStarted() const override { return m_Started; }
  std::uint64_t connectionNumber() const override { return m_Connection; }
  bool keepAlive() const { return m_KeepAlive; }

  ~StreamExchange() override {
    if (m_Watch)
      m_Watch->m_Done = true;
  }

  // The wait outlives the exchange where nothing more is read; it then only
  // sees that it is done.
  void watchCaller(std::function<void()> OnGone) override {
    m_Watch = std::make_shared<CallerWatch>();
    m_Watch->m_OnGone = std::move(OnGone);
    auto &Socket = beast::get_lowest_layer(m_Out).socket();
    Socket.async_wait(tcp::socket::wait_read, [Watch = m_Watch, &Socket](
                                                  beast::error_code Code) {
      if (Code || Watch->m_Done)
        return;
      char Byte = 0;
      Socket.non_blocking(true, Code);
      Socket.receive(asio::buffer(&Byte, 1), tcp::socket::message_peek, Code);
      if (Code && Code != asio::error::would_block)
        Watch->m_OnGone();
    });
  }

  asio::awaitable<void> respond(HttpResponse Response) override {
    m_Started = true;
    auto Message = toBeast(Response, m_KeepAlive);
    try {
      arm();
      co_await http::async_write(m_Out, Message, asio::use_awaitable);
    } catch (const beast::system_error &Wrong) {
      fail(Wrong);
    }
  }

  asio::awaitable<void> startStream(HttpResponse Head) override {
    m_Started = true;
    http::response<http::empty_body> Message;
    Message.version(11);
    Message.result(Head.m_Status);
    for (const HttpHeader &Each : Head.m_Headers)
      Message.insert(Each.m_Name, Each.m_Value);
    Message.keep_alive(m_KeepAlive);
    Message.chunked(true);
    http::response_serializer<http::empty_body> Serializer(Message);
    try {
      arm();
      co_await http::async_write_header(m_Out, Serializer, asio::use_awaitable);
    } catch (const beast::system_error &Wrong) {
      fail(Wrong);
    }
  }

  asio::awaitable<void> write(std::string Part) override {
    try {
      arm();
      co_await asio::async_write(m_Out, http::make_chunk(asio::buffer(Part)),
                                 asio::use_awaitable);
    } catch (const beast::system_error &Wrong) {
      fail(Wrong);
    }
  }

  asio::awaitable<void> finish() override {
    try {
      arm();
      co_await asio::async_write(m_Out, http::make_chunk_last(),
                                 asio::use_awaitable);
    } catch (const beast::system_error &Wrong) {
      fail(Wrong);
    }
  }

  void abort() override {
    m_KeepAlive = false;
    beast::get_lowest_layer(m_Out).close();
  }

private:
  void arm() { beast::get_lowest_layer(m_Out).expires_after(m_WriteTimeout); }

  struct CallerWatch {
    std::function<void()> m_OnGone;
    bool m_Done = false;
  };

  Stream &m_Out;
  std::shared_ptr<CallerWatch> m_Watch;
  HttpRequest m_Request;
  bool m_KeepAlive;
  bool m_Started = false;
  Duration m_WriteTimeout;
  std::uint64_t m_Connection;
};

HttpRequest fromBeast(http::request<http::string_body> &&From) {
  HttpRequest To;
  To.m_Method = std::string(From.method_string());
  To.m_Target = std::string(From.target());
  for (const auto &Field : From)
    To.m_Headers.push_back(
        {std::string(Field.name_string()), std::string(Field.value())});
  To.m_Body = std::move(From.body());
  return To;
}

// The time limit of one read. It outlives the read, whose end it is told.
struct ReadLimit {
  explicit ReadLimit(const asio::any_io_executor &Executor)
      : m_Timer(Executor) {}

  asio::steady_timer m_Timer;
  bool m_Done = false;
  bool m_Expired = false;
};

// The refusal that a read error calls for; none when the peer merely left.
std::optional<ServerRefusal> refusalOf(beast::error_code Code, bool Begun) {
  if (Code == http::error::header_limit)
    return ServerRefusal::HeaderTooLarge;
  if (Code == http::error::body_limit)
    return ServerRefusal::BodyTooLarge;
  if (Code == beast::error::timeout)
    return Begun ? std::optional(ServerRefusal::SlowSender) : std::nullopt;
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
    open(Listen);
  }

  void start() {
    asio::co_spawn(
        m_Acceptor.get_executor(),
        [Self = shared_from_this()] { return Self->acceptLoop(); },
        asio::detached);
  }

  void stop() {
    m_Stopping = true;
    asio::post(m_Acceptor.get_executor(), [Self = shared_from_this()] {
      Self->takeWaiting();
      beast::error_code Ignored;
      Self->m_Acceptor.close(Ignored);
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

  void closeAfterResponses() { m_Closing = true; }

  void closeIdle() {
    std::vector<std::function<void()>> Closers;
    {
      const std::lock_guard Lock(m_IdleMutex);
      for (const auto &[Number, Close] : m_Idle)
        Closers.push_back(Close);
    }
    for (const auto &Close : Closers)
      Close();
  }

  void reloadTls() {
    if (m_TlsFiles.m_Certificate.empty())
      return;
    try {
      auto Fresh =
          std::make_shared<asio::ssl::context>(asio::ssl::context::tls_server);
      Fresh->use_certificate_chain_file(m_TlsFiles.m_Certificate);
      Fresh->use_private_key_file(m_TlsFiles.m_Key, asio::ssl::context::pem);
      const std::lock_guard Lock(m_TlsMutex);
      m_Tls = std::move(Fresh);
    } catch (const boost::system::system_error &Wrong) {
      throw Error("TLS files " + m_TlsFiles.m_Certificate + " and " +
                  m_TlsFiles.m_Key + ": " + Wrong.code().message());
    }
  }

  unsigned short port() const { return m_Port; }
  std::size_t connections() const { return m_Open; }

private:
  void open(const Address &Listen) {
    try {
      const tcp::endpoint At(asio::ip::make_address(Listen.m_Ip),
                             Listen.m_Port);
      m_Acceptor.open(At.protocol());
      m_Acceptor.set_option(asio::socket_base::reuse_address(true));
      m_Acceptor.bind(At);
      m_Acceptor.listen();
      m_Port = m_Acceptor.local_endpoint().port();
    } catch (const boost::system::system_error &Wrong) {
      throw Error("cannot listen on " + Listen.m_Ip + ":" +
                  std::to_string(Listen.m_Port) + ": " +
                  Wrong.code().message());
    }
  }

  std::shared_ptr<asio::ssl::context> tls() {
    const std::lock_guard Lock(m_TlsMutex);
    return m_Tls;
  }

  asio::awaitable<void> acceptLoop() {
    while (!m_Stopping) {
      auto Strand = asio::make_strand(m_Executor);
      beast::error_code Code;
      tcp::socket Socket = co_await m_Acceptor.async_accept(
          Strand, asio::redirect_error(asio::use_awaitable, Code));
      // What was accepted as the stop came is served like what waited.
      if (m_Stopping && Code)
        co_return;
      if (Code) {
        asio::steady_timer Pause(m_Acceptor.get_executor(), AcceptPause);
        co_await Pause.async_wait(asio::use_awaitable);
        continue;
      }
      spawnServe(std::move(Socket));
    }
  }

  void spawnServe(tcp::socket Socket) {
    beast::error_code Ignored;
    Socket.set_option(tcp::no_delay(true), Ignored);
    const auto Strand = Socket.get_executor();
    asio::co_spawn(
        Strand,
        [Self = shared_from_this(), Taken = std::move(Socket)]() mutable {
          return Self->serve(std::move(Taken));
        },
        asio::detached);
  }

  // Connections that callers have opened already but that were not accepted
  // yet: closing the listener would reset them, with what was sent on them.
  void takeWaiting() {
    beast::error_code Code;
    m_Acceptor.non_blocking(true, Code);
    while (!Code) {
      tcp::socket Socket(asio::make_strand(m_Executor));
      m_Acceptor.accept(Socket, Code);
      if (!Code)
        spawnServe(std::move(Socket));
    }
  }

  asio::awaitable<void> serve(tcp::socket Socket) {
    const std::size_t Open = ++m_Open;
    try {
      if (const auto Context = tls()) {
        TlsStream Stream(std::move(Socket), *Context);
        beast::get_lowest_layer(Stream).expires_after(limits().m_ReadTimeout);
        co_await Stream.async_handshake(asio::ssl::stream_base::server,
                                        asio::use_awaitable);
        co_await serveStream(Stream, Open);
      } else {
        PlainStream Stream(std::move(Socket));
        co_await serveStream(Stream, Open);
      }
    } catch (const std::exception &) {
      // The connection is closed with its stream.
    }
    --m_Open;
  }

  template <typename Stream>
  asio::awaitable<void> serveStream(Stream &In, std::size_t Open) {
    if (Open > limits().m_Connections) {
      co_await refuse(In, ServerRefusal::TooManyConnections);
      co_return;
    }
    const std::uint64_t Number = ++m_Accepted;
    beast::flat_buffer Buffer;
    bool KeepAlive = true;
    bool First = true;
    while (KeepAlive) {
      http::request_parser<http::string_body> Parser;
      Parser.header_limit(static_cast<std::uint32_t>(limits().m_HeaderBytes));
      Parser.body_limit(limits().m_BodyBytes);
      const beast::error_code Code =
          co_await readOne(In, Buffer, Parser, First);
      First = false;
      if (Code) {
        if (auto Refusal =
                refusalOf(Code, Parser.got_some() || Buffer.size() > 0))
          co_await refuse(In, *Refusal);
        co_return;
      }
      auto Message = Parser.release();
      KeepAlive = Message.keep_alive() && !m_Stopping && !m_Closing;
      StreamExchange<Stream> Exchange(In, fromBeast(std::move(Message)),
                                      KeepAlive, limits().m_WriteTimeout,
                                      Number);
      beast::get_lowest_layer(In).expires_never();
      co_await m_Hooks.m_Handle(Exchange);
      // A stop that began meanwhile ends the connection all the same.
      KeepAlive = Exchange.keepAlive() && Exchange.responseStarted() &&
                  !m_Stopping && !m_Closing;
    }
  }

  // Lists a connection as idle while it waits for the first byte of a request.
  class IdleMark {
  public:
    template <typename Stream>
    IdleMark(State &Server, Stream &In)
        : m_Server(Server), m_Number(++Server.m_IdleNumber) {
      const std::lock_guard Lock(Server.m_IdleMutex);
      Server.m_Idle[m_Number] = [Self = Server.weak_from_this(), &In,
                                 Number = m_Number] {
        asio::post(In.get_executor(), [Self, &In, Number] {
          const auto Alive = Self.lock();
          if (Alive && Alive->isIdle(Number))
            beast::get_lowest_layer(In).cancel();
        });
      };
    }
    ~IdleMark() {
      const std::lock_guard Lock(m_Server.m_IdleMutex);
      m_Server.m_Idle.erase(m_Number);
    }
    IdleMark(const IdleMark &) = delete;
    IdleMark &operator=(const IdleMark &) = delete;

  private:
    State &m_Server;
    std::uint64_t m_Number;
  };

  bool isIdle(std::uint64_t Number) {
    const std::lock_guard Lock(m_IdleMutex);
    return m_Idle.contains(Number);
  }

  // Waits for a first byte as long as an idle connection may, then for the rest
  // of the request as long as one request may take. A new connection is not
  // listed as idle: its first request is on its way.
  template <typename Stream, typename Parser>
  asio::awaitable<beast::error_code>
  readOne(Stream &In, beast::flat_buffer &Buffer, Parser &Into, bool First) {
    beast::error_code Code;
    auto Token = asio::redirect_error(asio::use_awaitable, Code);
    beast::get_lowest_layer(In).expires_after(limits().m_IdleTimeout);
    if (Buffer.size() == 0) {
      std::optional<IdleMark> Mark;
      if (!First)
        Mark.emplace(*this, In);
      const std::size_t Got =
          co_await In.async_read_some(Buffer.prepare(4096), Token);
      Buffer.commit(Got);
      if (Code)
        co_return Code == asio::error::eof
            ? beast::error_code(http::error::end_of_stream)
            : Code;
    }
    // The stream's own expiry would close the connection before it could be
    // told that it is too slow; a cancelled read leaves it open.
    beast::get_lowest_layer(In).expires_never();
    const auto Limit = std::make_shared<ReadLimit>(In.get_executor());
    Limit->m_Timer.expires_after(limits().m_ReadTimeout);
    Limit->m_Timer.async_wait([Limit, &In](beast::error_code Stopped) {
      if (Stopped || Limit->m_Done)
        return;
      Limit->m_Expired = true;
      beast::get_lowest_layer(In).cancel();
    });
    co_await http::async_read(In, Buffer, Into, Token);
    Limit->m_Done = true;
    Limit->m_Timer.cancel();
    if (Limit->m_Expired)
      Code = beast::error::timeout;
    co_return Code;
  }

  // Answers and closes. What the peer still sends is read for a moment, since a
  // close with unread input would reset the connection before the answer lands.
  template <typename Stream>
  asio::awaitable<void> refuse(Stream &Out, ServerRefusal Why) {
    beast::error_code Code;
    auto Token = asio::redirect_error(asio::use_awaitable, Code);
    auto Message = toBeast(m_Hooks.m_MakeRefusal(Why), false);
    auto &Lowest = beast::get_lowest_layer(Out);
    Lowest.expires_after(limits().m_WriteTimeout);
    co_await http::async_write(Out, Message, Token);
    beast::error_code Ignored;
    Lowest.socket().shutdown(tcp::socket::shutdown_send, Ignored);
    Lowest.expires_after(std::chrono::milliseconds(200));
    std::string Rest(65536, '\0');
    std::size_t Left = 64 * Rest.size();
    while (!Code && Left > 0) {
      const std::size_t Got =
          co_await Lowest.async_read_some(asio::buffer(Rest), Token);
      Left -= std::min(Left, Got);
    }
  }

  asio::any_io_executor m_Executor;
  std::mutex m_IdleMutex; // nothing else is locked while it is held
  std::map<std::uint64_t, std::function<void()>> m_Idle;
  std::atomic<std::uint64_t> m_IdleNumber = 0;
  std::mutex m_LimitsMutex; // nothing else is locked while it is held
  ServerLimits m_Limits;
  ServerHooks m_Hooks;
  TlsFiles m_TlsFiles;
  std::mutex m_TlsMutex;
  std::shared_ptr<asio::ssl::context> m_Tls;
  tcp::acceptor m_Acceptor;
  unsigned short m_Port = 0;
  std::atomic<bool> m_Stopping = false;
  std::atomic<bool> m_Closing = false;
  std::atomic<std::size_t> m_Open = 0;
  std::atomic<std::uint64_t> m_Accepted = 0;
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
std::size_t HttpServer::connections() const { return m_State->connections(); }

} // namespace mimosadale::net
