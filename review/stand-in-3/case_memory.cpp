// Case: clients upload bodies within MaxBodyBytes at the same time, no faster
// than a machine's link; the routers hold them all in memory and exceed
// MemoryMb, for which the platform kills them.
#include "plain_fleet.h"

#include <arpa/inet.h>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace review;

namespace {

constexpr long MemoryMb = 260;                // Limits.MemoryMb
constexpr double LinkMbps = 1000;             // Limits.LinkMbps
constexpr std::size_t MaxBodyBytes = 4194304; // Limits of the configuration
constexpr std::size_t BodyBytes = 4000000;
constexpr long HeaderTimeoutMs = 3000;
constexpr unsigned Waves = 4;
constexpr unsigned Clients = 64; // that upload to one machine at a time
static_assert(BodyBytes <= MaxBodyBytes);

long residentKb(pid_t Process) {
  std::ifstream In("/proc/" + std::to_string(Process) + "/status");
  std::string Line;
  while (std::getline(In, Line))
    if (Line.rfind("VmRSS:", 0) == 0)
      return std::atol(Line.c_str() + 6);
  return 0;
}

// Sends one request with a body at a steady pace and reads the answer.
int upload(const std::string &Address, const std::string &Id, std::size_t Bytes,
           long OverMs) {
  const std::size_t Colon = Address.rfind(':');
  sockaddr_in To{};
  To.sin_family = AF_INET;
  To.sin_port = htons(
      static_cast<unsigned short>(std::atoi(Address.c_str() + Colon + 1)));
  inet_pton(AF_INET, Address.substr(0, Colon).c_str(), &To.sin_addr);
  const int Fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int Status = 0;
  if (::connect(Fd, reinterpret_cast<sockaddr *>(&To), sizeof(To)) == 0) {
    const std::string Head =
        "POST /deposit/seat HTTP/1.1\r\nHost: rental.example\r\n"
        "X-Mimosadale-Request-Id: " +
        Id + "\r\nX-Mimosadale-Deadline-Ms: 10000\r\nContent-Length: " +
        std::to_string(Bytes) + "\r\n\r\n";
    ::send(Fd, Head.data(), Head.size(), MSG_NOSIGNAL);
    const std::string Piece(16384, 'p');
    const long Begin = nowMs();
    std::size_t Sent = 0;
    while (Sent < Bytes) {
      const long Due = Begin + static_cast<long>(static_cast<double>(Sent) /
                                                 static_cast<double>(Bytes) *
                                                 static_cast<double>(OverMs));
      sleepMs(Due - nowMs());
      const ssize_t N = ::send(
          Fd, Piece.data(), std::min(Piece.size(), Bytes - Sent), MSG_NOSIGNAL);
      if (N <= 0)
        break;
      Sent += static_cast<std::size_t>(N);
    }
    std::string Answer;
    const long Until = nowMs() + 10000;
    while (nowMs() < Until && Answer.find("\r\n\r\n") == std::string::npos) {
      pollfd Poll{Fd, POLLIN, 0};
      if (::poll(&Poll, 1, 100) <= 0)
        continue;
      char Buffer[4096];
      const ssize_t N = ::recv(Fd, Buffer, sizeof(Buffer), 0);
      if (N <= 0)
        break;
      Answer.append(Buffer, static_cast<std::size_t>(N));
    }
    if (Answer.size() > 12)
      Status = std::atoi(Answer.c_str() + 9);
  }
  ::close(Fd);
  return Status;
}

std::mutex LastMutex;
std::map<std::string, std::string> LastIds; // by client

// The id of the last request that a client of a kept connection sent.
std::string lastOf(const std::string &Client) {
  const std::lock_guard Lock(LastMutex);
  return LastIds[Client];
}

// Sends requests one after the other on one connection until it ends or `Stop`.
// \returns whether it ended behind a whole request without an answer, and not
// behind the first one.
bool keptRequests(const std::string &Address, const std::string &Client,
                  const std::atomic<bool> &Stop) {
  const std::size_t Colon = Address.rfind(':');
  sockaddr_in To{};
  To.sin_family = AF_INET;
  To.sin_port = htons(
      static_cast<unsigned short>(std::atoi(Address.c_str() + Colon + 1)));
  inet_pton(AF_INET, Address.substr(0, Colon).c_str(), &To.sin_addr);
  const int Fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  bool Ended = false;
  unsigned Count = 0;
  if (::connect(Fd, reinterpret_cast<sockaddr *>(&To), sizeof(To)) != 0) {
    ::close(Fd);
    sleepMs(50);
    return false;
  }
  while (!Stop && !Ended) {
    const std::string Id = Client + "." + std::to_string(++Count);
    {
      const std::lock_guard Lock(LastMutex);
      LastIds[Client] = Id;
    }
    const std::string Text =
        "POST /deposit/kept HTTP/1.1\r\nHost: rental.example\r\n"
        "X-Mimosadale-Request-Id: " +
        Id +
        "\r\nX-Mimosadale-Deadline-Ms: 2500\r\nContent-Length: 7\r\n\r\n"
        "seat 12";
    Ended = ::send(Fd, Text.data(), Text.size(), MSG_NOSIGNAL) !=
            static_cast<ssize_t>(Text.size());
    std::string Answer;
    const long Until = nowMs() + 3000;
    std::size_t End = std::string::npos;
    while (!Ended) {
      char Buffer[4096];
      pollfd Poll{Fd, POLLIN, 0};
      if (::poll(&Poll, 1, 100) > 0) {
        const ssize_t N = ::recv(Fd, Buffer, sizeof(Buffer), 0);
        Ended = N <= 0;
        if (N > 0)
          Answer.append(Buffer, static_cast<std::size_t>(N));
      }
      if ((End = Answer.find("\r\n\r\n")) != std::string::npos) {
        const std::size_t Length = Answer.find("Content-Length: ");
        if (Length < End &&
            Answer.size() >=
                End + 4 +
                    std::strtoul(Answer.c_str() + Length + 16, nullptr, 10))
          break;
      }
      if (nowMs() > Until)
        Ended = true;
    }
    if (!Ended && Answer.find("Connection: close") < End)
      break;
    sleepMs(20);
  }
  ::close(Fd);
  return Ended && Count > 1;
}

} // namespace

int main() {
  Record Log(caseFolder() + "/record.txt");
  PlainFleet Fleet(Log, 3, [](const Message &Request) {
    return std::pair(200, Request.target() == "/deposit/kept" ? 200L : 30L);
  });
  if (!Fleet.start()) {
    Log.line("the routers did not become ready");
    return 2;
  }
  const bool Trouble = withTrouble();
  const std::size_t Bytes = Trouble ? BodyBytes : 3600;
  // All uploads to one machine together fill its link.
  const long OverMs = static_cast<long>(static_cast<double>(Clients) *
                                        static_cast<double>(BodyBytes) * 8 /
                                        (LinkMbps * 1e6) * 1000);
  Log.line(std::to_string(Clients) + " clients for each of r1 and r2 send " +
           std::to_string(Bytes) + " bytes each over " +
           std::to_string(OverMs) + " ms");
  if (OverMs > HeaderTimeoutMs)
    return 2;

  // The platform: a process that exceeds MemoryMb is killed, and started again
  // after a short delay.
  std::atomic<bool> Stop{false}, StopPlatform{false};
  unsigned Ends[RouterCount] = {};
  long Peak[RouterCount] = {};
  std::thread Platform([&] {
    while (!StopPlatform) {
      for (unsigned I = 0; I < RouterCount; ++I) {
        Router &Watched = *Fleet.m_Routers[I];
        const long Kb = residentKb(Watched.process());
        Peak[I] = std::max(Peak[I], Kb);
        if (Kb <= MemoryMb * 1024)
          continue;
        ++Ends[I];
        Log.line("router " + Watched.name() + " holds " +
                 std::to_string(Kb / 1024) +
                 " MB, over its limit: the platform kills it");
        Watched.signal(SIGKILL);
        sleepMs(300);
        Watched.restart();
      }
      sleepMs(5);
    }
  });

  // A few clients with small requests on kept connections beside them.
  std::atomic<unsigned> Lost{0}, Kept{0};
  std::vector<std::thread> KeptClients;
  for (unsigned I = 0; I < 12; ++I)
    KeptClients.emplace_back([&, I] {
      while (!Stop) {
        const std::string Id =
            "k" + std::to_string(I) + "-" + std::to_string(++Kept);
        if (!keptRequests(Fleet.m_Routers[I % 2]->front(), Id, Stop))
          continue;
        // The connection ended with a request on it: did a worker run it?
        for (const auto &Each : Fleet.m_Workers)
          for (const Worker::Arrival &Arrived : Each->arrivals())
            if (Arrived.m_RequestId.rfind(Id + ".", 0) == 0 &&
                Arrived.m_RequestId == lastOf(Id)) {
              ++Lost;
              Log.line("lost: " + Arrived.m_RequestId + " ran at " +
                       Each->id() + ", and r" + std::to_string(I % 2 + 1) +
                       " closed its kept connection without an answer");
            }
        sleepMs(100);
      }
    });

  std::mutex Mutex;
  std::map<int, int> Statuses;
  unsigned Next = 0;
  for (unsigned Wave = 0; Wave < Waves; ++Wave) {
    // The balancer sends no client to a machine that is not ready.
    for (unsigned I = 0; I < 2; ++I)
      Fleet.m_Routers[I]->waitReady(10000);
    sleepMs(2000);
    std::vector<std::thread> Uploads;
    for (unsigned I = 0; I < 2 * Clients; ++I)
      Uploads.emplace_back([&, I, Id = "u" + std::to_string(++Next)] {
        const int Status =
            upload(Fleet.m_Routers[I % 2]->front(), Id, Bytes, OverMs);
        Log.line("client got " + std::to_string(Status) + " for " + Id +
                 " at r" + std::to_string(I % 2 + 1));
        const std::lock_guard Lock(Mutex);
        ++Statuses[Status];
      });
    for (std::thread &Upload : Uploads)
      Upload.join();
    sleepMs(1000);
  }
  Stop = true;
  for (std::thread &Client : KeptClients)
    Client.join();
  StopPlatform = true;
  Platform.join();

  unsigned Machines = 0;
  for (unsigned I = 0; I < RouterCount; ++I) {
    Machines += Ends[I] >= 3;
    Log.line("router r" + std::to_string(I + 1) + " ended " +
             std::to_string(Ends[I]) + " times; at most " +
             std::to_string(Peak[I] / 1024) + " MB");
  }
  for (const auto &[Status, Count] : Statuses)
    Log.line("status " + std::to_string(Status) + ": " + std::to_string(Count));
  Log.line(std::to_string(Lost) + " requests of kept connections were passed " +
           "on and lost" + (Lost > 3 ? ": BROKEN LOST" : ""));
  const bool Broken = Machines >= 2;
  Log.line(Broken ? "BROKEN Fault: processes of two machines ended three times"
                  : "the rule held");
  return Broken ? 1 : 0;
}
