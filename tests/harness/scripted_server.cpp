#include "harness/scripted_server.h"

#include "harness/harness.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <list>
#include <mutex>
#include <thread>

namespace mimosadale::harness {

namespace asio = boost::asio;
using asio::ip::tcp;

struct ScriptedServer::State {
  void accept() {
    while (!m_Stop) {
      auto Socket = std::make_shared<tcp::socket>(m_Io);
      boost::system::error_code Failed;
      m_Acceptor.accept(*Socket, Failed);
      if (Failed || m_Stop)
        return;
      const std::lock_guard Lock(m_Mutex);
      m_Sockets.push_back(Socket);
      m_Threads.emplace_back([this, Socket] { serve(*Socket); });
    }
  }

  void serve(tcp::socket &Socket) {
    std::string Buffer;
    boost::system::error_code Failed;
    for (unsigned Number = 0; !m_Stop; ++Number) {
      const std::size_t HeadBytes = asio::read_until(
          Socket, asio::dynamic_buffer(Buffer), "\r\n\r\n", Failed);
      if (Failed)
        return;
      const std::string Head = Buffer.substr(0, HeadBytes);
      const std::string Length = headerOf(Head, "Content-Length");
      const std::size_t Total =
          HeadBytes + (Length.empty() ? 0 : std::stoul(Length));
      if (Buffer.size() < Total)
        asio::read(Socket, asio::dynamic_buffer(Buffer),
                   asio::transfer_exactly(Total - Buffer.size()), Failed);
      Buffer.erase(0, Total);
      const ScriptedAnswer Answer = m_Answer(Head, Number);
      for (const ScriptedAnswer::Piece &Piece : Answer.m_Pieces) {
        std::this_thread::sleep_for(Piece.m_PauseBefore);
        asio::write(Socket, asio::buffer(Piece.m_Bytes), Failed);
      }
      if (Failed || Answer.m_End != ScriptedAnswer::End::KeepOpen) {
        close(Socket, Answer.m_End == ScriptedAnswer::End::Reset);
        return;
      }
    }
  }

  void close(tcp::socket &Socket, bool Reset) {
    const std::lock_guard Lock(m_Mutex);
    boost::system::error_code Ignored;
    if (Reset)
      Socket.set_option(asio::socket_base::linger(true, 0), Ignored);
    else
      Socket.shutdown(tcp::socket::shutdown_send, Ignored);
    Socket.close(Ignored);
  }

  asio::io_context m_Io;
  tcp::acceptor m_Acceptor{
      m_Io, tcp::endpoint(asio::ip::make_address(loopbackIp()), 0)};
  std::function<ScriptedAnswer(const std::string &, unsigned)> m_Answer;
  std::atomic<bool> m_Stop = false;
  std::mutex m_Mutex; // guards the two members below, and closing sockets
  std::list<std::shared_ptr<tcp::socket>> m_Sockets;
  std::list<std::thread> m_Threads;
  std::thread m_Accepting;
};

ScriptedServer::ScriptedServer(
    std::function<ScriptedAnswer(const std::string &, unsigned)> Answer)
    : m_State(std::make_unique<State>()) {
  m_State->m_Answer = std::move(Answer);
  m_State->m_Accepting =
      std::thread([State = m_State.get()] { State->accept(); });
}

ScriptedServer::~ScriptedServer() {
  m_State->m_Stop = true;
  shutdown(m_State->m_Acceptor.native_handle(), SHUT_RDWR);
  m_State->m_Accepting.join();
  {
    const std::lock_guard Lock(m_State->m_Mutex);
    for (const auto &Socket : m_State->m_Sockets)
      if (Socket->is_open())
        shutdown(Socket->native_handle(), SHUT_RDWR);
  }
  for (std::thread &Thread : m_State->m_Threads)
    Thread.join();
}

std::string ScriptedServer::address() const {
  const auto Endpoint = m_State->m_Acceptor.local_endpoint();
  return Endpoint.address().to_string() + ":" + std::to_string(Endpoint.port());
}

std::string headerOf(const std::string &Head, const std::string &Name) {
  const std::size_t Found = Head.find("\r\n" + Name + ": ");
  if (Found == std::string::npos)
    return "";
  const std::size_t Value = Found + Name.size() + 4;
  return Head.substr(Value, Head.find("\r\n", Value) - Value);
}

} // namespace mimosadale::harness
