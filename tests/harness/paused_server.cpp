#include "harness/paused_server.h"

#include "harness/harness.h"
#include "harness/scripted_server.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <list>
#include <poll.h>

namespace mimosadale::harness {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr int ReceiveBufferBytes = 4096;
constexpr int ReadTimeoutMs = 1000;

// Number of complete requests at the beginning of \p Bytes.
int countRequests(std::string Bytes) {
  int Count = 0;
  while (true) {
    const std::size_t HeadEnd = Bytes.find("\r\n\r\n");
    if (HeadEnd == std::string::npos)
      return Count;
    const std::string Length =
        headerOf(Bytes.substr(0, HeadEnd + 2), "Content-Length");
    const std::size_t Total =
        HeadEnd + 4 + (Length.empty() ? 0 : std::stoul(Length));
    if (Bytes.size() < Total)
      return Count;
    Bytes.erase(0, Total);
    ++Count;
  }
}

std::string readAll(tcp::socket &Socket) {
  std::string Bytes;
  std::string Chunk(65536, '\0');
  boost::system::error_code Code;
  while (!Code) {
    pollfd Readable{Socket.native_handle(), POLLIN, 0};
    if (poll(&Readable, 1, ReadTimeoutMs) == 0)
      break;
    Bytes.append(Chunk, 0, Socket.read_some(asio::buffer(Chunk), Code));
  }
  return Bytes;
}

} // namespace

struct PausedServer::State {
  asio::io_context m_Io;
  tcp::acceptor m_Acceptor{m_Io};
  std::list<tcp::socket> m_Sockets;
};

PausedServer::PausedServer() : m_State(std::make_unique<State>()) {
  tcp::acceptor &Acceptor = m_State->m_Acceptor;
  Acceptor.open(tcp::v4());
  // Accepted sockets take over the size.
  Acceptor.set_option(
      asio::socket_base::receive_buffer_size(ReceiveBufferBytes));
  Acceptor.bind(tcp::endpoint(asio::ip::make_address(loopbackIp()), 0));
  Acceptor.listen();
  Acceptor.non_blocking(true);
}

PausedServer::~PausedServer() = default;

std::string PausedServer::address() const {
  const auto Endpoint = m_State->m_Acceptor.local_endpoint();
  return Endpoint.address().to_string() + ":" + std::to_string(Endpoint.port());
}

int PausedServer::acceptedConnections() {
  boost::system::error_code Code;
  while (!Code) {
    tcp::socket Socket(m_State->m_Io);
    m_State->m_Acceptor.accept(Socket, Code);
    if (!Code)
      m_State->m_Sockets.push_back(std::move(Socket));
  }
  return static_cast<int>(m_State->m_Sockets.size());
}

int PausedServer::readRequests() {
  int Count = 0;
  for (tcp::socket &Socket : m_State->m_Sockets)
    Count += countRequests(readAll(Socket));
  return Count;
}

} // namespace mimosadale::harness
