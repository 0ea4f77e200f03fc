// Stand-ins for the cases of review/REPORT-2.md: the platform's store, model
// workers, plain workers, clients, and the start of routers. They follow
// PROTOCOL.md and DEPLOY.md of the users. Loopback addresses only.
#ifndef REVIEW_RIG_H
#define REVIEW_RIG_H

#include <arpa/inet.h>
#include <atomic>
#include <boost/json.hpp>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace rig {

namespace json = boost::json;
using Clock = std::chrono::steady_clock;
using Time = Clock::time_point;
using namespace std::chrono_literals;

inline const Time Start = Clock::now();

inline double secondsSince(Time From) {
  return std::chrono::duration<double>(Clock::now() - From).count();
}
inline double now() { return secondsSince(Start); }
inline void sleepS(double S) {
  std::this_thread::sleep_for(std::chrono::duration<double>(S));
}
inline void sleepUntil(double At) {
  if (At > now())
    sleepS(At - now());
}

// The record of a run: record.txt in the folder of the case.
class Record {
public:
  void open(const std::string &Path) { m_File = std::fopen(Path.c_str(), "w"); }
  void line(const char *Format, ...) {
    const std::lock_guard Lock(m_Mutex);
    char Text[2048];
    va_list Args;
    va_start(Args, Format);
    std::vsnprintf(Text, sizeof(Text), Format, Args);
    va_end(Args);
    for (std::FILE *To : {m_File, stdout})
      if (To) {
        std::fprintf(To, "%8.3f %s\n", now(), Text);
        std::fflush(To);
      }
  }

private:
  std::mutex m_Mutex;
  std::FILE *m_File = nullptr;
};
inline Record &record() {
  static Record *The = new Record;
  return *The;
}

// ---------------------------------------------------------------- HTTP

struct Message {
  std::string m_First; // request or status line
  std::vector<std::pair<std::string, std::string>> m_Headers;
  std::string m_Body;

  std::string header(const std::string &Name) const {
    for (const auto &[Key, Value] : m_Headers)
      if (strcasecmp(Key.c_str(), Name.c_str()) == 0)
        return Value;
    return "";
  }
  std::string method() const { return m_First.substr(0, m_First.find(' ')); }
  std::string target() const {
    const auto From = m_First.find(' ') + 1;
    return m_First.substr(From, m_First.find(' ', From) - From);
  }
};

// A socket with a buffer of what was read ahead.
class Wire {
public:
  explicit Wire(int Fd) : m_Fd(Fd) {}
  int fd() const { return m_Fd; }

  bool write(const std::string &Bytes) {
    std::size_t At = 0;
    while (At < Bytes.size()) {
      const ssize_t N =
          ::send(m_Fd, Bytes.data() + At, Bytes.size() - At, MSG_NOSIGNAL);
      if (N <= 0)
        return false;
      At += static_cast<std::size_t>(N);
    }
    return true;
  }
  // Reads more; false at the end or an error.
  bool more() {
    char Bytes[16384];
    const ssize_t N = ::recv(m_Fd, Bytes, sizeof(Bytes), 0);
    if (N <= 0)
      return false;
    m_Buffer.append(Bytes, static_cast<std::size_t>(N));
    return true;
  }
  bool head(Message &To) {
    std::size_t End;
    while ((End = m_Buffer.find("\r\n\r\n")) == std::string::npos)
      if (!more())
        return false;
    std::string Head = m_Buffer.substr(0, End);
    m_Buffer.erase(0, End + 4);
    std::size_t At = Head.find("\r\n");
    To.m_First = Head.substr(0, At);
    while (At != std::string::npos) {
      const std::size_t From = At + 2;
      At = Head.find("\r\n", From);
      const std::string Line = Head.substr(
          From, At == std::string::npos ? std::string::npos : At - From);
      const std::size_t Colon = Line.find(':');
      if (Colon == std::string::npos)
        continue;
      std::size_t Value = Colon + 1;
      while (Value < Line.size() && Line[Value] == ' ')
        ++Value;
      To.m_Headers.emplace_back(Line.substr(0, Colon), Line.substr(Value));
    }
    return true;
  }
  // The next N bytes.
  bool bytes(std::size_t N, std::string &To) {
    while (m_Buffer.size() < N)
      if (!more())
        return false;
    To.append(m_Buffer, 0, N);
    m_Buffer.erase(0, N);
    return true;
  }
  bool lineOf(std::string &To) {
    std::size_t End;
    while ((End = m_Buffer.find("\r\n")) == std::string::npos)
      if (!more())
        return false;
    To = m_Buffer.substr(0, End);
    m_Buffer.erase(0, End + 2);
    return true;
  }
  // The body by its length or in chunks. \returns whether it is whole.
  bool body(const Message &Head, std::string &To, bool IsAnswer) {
    if (!Head.header("Content-Length").empty())
      return bytes(std::stoul(Head.header("Content-Length")), To);
    if (Head.header("Transfer-Encoding") == "chunked") {
      std::string Line;
      while (lineOf(Line)) {
        const std::size_t N = std::stoul(Line, nullptr, 16);
        if (N == 0)
          return lineOf(Line);
        if (!bytes(N, To) || !lineOf(Line))
          return false;
      }
      return false;
    }
    if (!IsAnswer)
      return true;
    while (more())
      ;
    To += m_Buffer;
    m_Buffer.clear();
    return true;
  }

private:
  int m_Fd;
  std::string m_Buffer;
};

// Listens on a loopback port; a thread a connection.
class Server {
public:
  // \returns whether the connection goes on.
  using Handler = std::function<bool(Message &, Wire &)>;

  explicit Server(Handler Handle, unsigned short Port = 0)
      : m_Shared(std::make_shared<Shared>()) {
    m_Shared->m_Handle = std::move(Handle);
    m_Listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int One = 1;
    ::setsockopt(m_Listener, SOL_SOCKET, SO_REUSEADDR, &One, sizeof(One));
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_port = htons(Port);
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t Size = sizeof(Address);
    if (::bind(m_Listener, reinterpret_cast<sockaddr *>(&Address), Size) != 0 ||
        ::listen(m_Listener, 1024) != 0) {
      std::perror("listen");
      std::_Exit(2);
    }
    ::getsockname(m_Listener, reinterpret_cast<sockaddr *>(&Address), &Size);
    m_Port = ntohs(Address.sin_port);
    std::thread([Listener = m_Listener, S = m_Shared] {
      while (true) {
        const int Fd = ::accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (Fd < 0) {
          ::close(Listener);
          return;
        }
        std::thread(serve, S, Fd).detach();
      }
    }).detach();
  }
  std::string address() const { return "127.0.0.1:" + std::to_string(m_Port); }
  unsigned short port() const { return m_Port; }

  // The process is gone: no connection stays, none is taken.
  void crash() {
    ::shutdown(m_Listener, SHUT_RDWR); // its thread closes it
    const std::lock_guard Lock(m_Shared->m_Mutex);
    m_Shared->m_Gone = true;
    for (const int Fd : m_Shared->m_Open)
      ::shutdown(Fd, SHUT_RDWR);
  }

private:
  struct Shared {
    Handler m_Handle;
    std::mutex m_Mutex;
    std::set<int> m_Open;
    bool m_Gone = false;
  };
  static void serve(std::shared_ptr<Shared> S, int Fd) {
    {
      const std::lock_guard Lock(S->m_Mutex);
      if (S->m_Gone) {
        ::close(Fd);
        return;
      }
      S->m_Open.insert(Fd);
    }
    const int One = 1;
    ::setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &One, sizeof(One));
    Wire Conn(Fd);
    while (true) {
      Message Request;
      if (!Conn.head(Request) || !Conn.body(Request, Request.m_Body, false) ||
          !S->m_Handle(Request, Conn))
        break;
    }
    const std::lock_guard Lock(S->m_Mutex);
    S->m_Open.erase(Fd);
    ::close(Fd);
  }

  std::shared_ptr<Shared> m_Shared;
  int m_Listener = -1;
  unsigned short m_Port = 0;
};

using Headers = std::vector<std::pair<std::string, std::string>>;

inline std::string answerText(unsigned Status, const Headers &Fields,
                              const std::string &Body) {
  std::string Text = "HTTP/1.1 " + std::to_string(Status) + " x\r\n";
  for (const auto &[Name, Value] : Fields)
    Text += Name + ": " + Value + "\r\n";
  return Text + "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
         Body;
}

// What a client got.
struct Reply {
  unsigned m_Status = 0; // 0: no answer
  bool m_Whole = false;
  Message m_Head;
  std::string m_Body;
};

inline int dial(unsigned short Port, double TimeoutS) {
  const int Fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  timeval Limit{};
  Limit.tv_sec = static_cast<time_t>(TimeoutS);
  Limit.tv_usec = static_cast<suseconds_t>((TimeoutS - Limit.tv_sec) * 1e6);
  ::setsockopt(Fd, SOL_SOCKET, SO_RCVTIMEO, &Limit, sizeof(Limit));
  ::setsockopt(Fd, SOL_SOCKET, SO_SNDTIMEO, &Limit, sizeof(Limit));
  const int One = 1;
  ::setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &One, sizeof(One));
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Port);
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (::connect(Fd, reinterpret_cast<sockaddr *>(&Address), sizeof(Address)) !=
      0) {
    ::close(Fd);
    return -1;
  }
  return Fd;
}

inline Reply call(unsigned short Port, const std::string &Method,
                  const std::string &Target, const Headers &Fields,
                  const std::string &Body, double TimeoutS) {
  Reply Result;
  const int Fd = dial(Port, TimeoutS);
  if (Fd < 0)
    return Result;
  std::string Text = Method + " " + Target + " HTTP/1.1\r\n";
  for (const auto &[Name, Value] : Fields)
    Text += Name + ": " + Value + "\r\n";
  Text += "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
  Wire Conn(Fd);
  if (Conn.write(Text) && Conn.head(Result.m_Head)) {
    Result.m_Status =
        static_cast<unsigned>(std::stoul(Result.m_Head.m_First.substr(9, 3)));
    Result.m_Whole = Conn.body(Result.m_Head, Result.m_Body, true);
  }
  ::close(Fd);
  return Result;
}

// ---------------------------------------------------------------- the store

inline std::string encode64(const std::string &Bytes) {
  static const char *Digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string Text;
  for (std::size_t I = 0; I < Bytes.size(); I += 3) {
    unsigned Group = 0;
    for (std::size_t K = 0; K < 3; ++K)
      Group = Group << 8 |
              (I + K < Bytes.size() ? static_cast<unsigned char>(Bytes[I + K])
                                    : 0u);
    for (std::size_t K = 0; K < 4; ++K)
      Text += I + K > Bytes.size() ? '=' : Digits[Group >> (18 - 6 * K) & 63];
  }
  return Text;
}

class Store {
public:
  Store()
      : m_Server([this](Message &Request, Wire &Conn) {
          return handle(Request, Conn);
        }) {}
  std::string address() const { return m_Server.address(); }

  void put(const std::string &Table, const std::string &Key,
           const std::string &Value) {
    const std::lock_guard Lock(m_Mutex);
    m_Tables[Table][Key] = {encode64(Value), ++m_Version, false};
    m_Changed.notify_all();
  }
  void drop(const std::string &Table, const std::string &Key) {
    const std::lock_guard Lock(m_Mutex);
    Row &Entry = m_Tables[Table][Key];
    if (Entry.m_Version == 0 || Entry.m_Deleted)
      return;
    Entry = {"", ++m_Version, true};
    m_Changed.notify_all();
  }
  std::size_t count(const std::string &Table) {
    const std::lock_guard Lock(m_Mutex);
    std::size_t Count = 0;
    for (const auto &[Key, Entry] : m_Tables[Table])
      Count += Entry.m_Deleted ? 0 : 1;
    return Count;
  }

private:
  struct Row {
    std::string m_Value; // base64
    std::uint64_t m_Version = 0;
    bool m_Deleted = false;
  };

  static std::string parameter(const std::string &Target,
                               const std::string &Name) {
    std::size_t At = Target.find('?');
    while (At != std::string::npos) {
      const std::size_t End = Target.find('&', At + 1);
      const std::string Pair =
          Target.substr(At + 1, End == std::string::npos ? End : End - At - 1);
      if (Pair.rfind(Name + "=", 0) == 0)
        return Pair.substr(Name.size() + 1);
      At = End;
    }
    return "";
  }
  json::object rowsAfter(const std::string &Table, std::uint64_t After,
                         bool WithDeleted) {
    std::map<std::uint64_t, json::value> Sorted;
    std::uint64_t Rank = 0;
    for (const auto &[Key, Entry] : m_Tables[Table]) {
      ++Rank;
      if (Entry.m_Version <= After || (Entry.m_Deleted && !WithDeleted))
        continue;
      json::object Out{{"Table", Table},
                       {"part", ""},
                       {"Key", Key},
                       {"Ver", Entry.m_Version}};
      if (Entry.m_Deleted)
        Out["Tombstone"] = true;
      else
        Out["Value"] = Entry.m_Value;
      Sorted[WithDeleted ? Entry.m_Version : Rank] = Out;
    }
    json::array Rows;
    for (auto &[Order, Value] : Sorted)
      Rows.push_back(Value);
    return {{"Rows", Rows},
            {"HasMore", false},
            {"Ver", m_Version},
            {"NowMs", static_cast<std::uint64_t>(now() * 1000) + 100000}};
  }
  bool handle(Message &Request, Wire &Conn) {
    const std::string Target = Request.target();
    const std::string Path = Target.substr(0, Target.find('?'));
    unsigned Status = 200;
    json::object Body;
    std::unique_lock Lock(m_Mutex);
    if (Path == "/v1/rows-get") {
      Body = rowsAfter(parameter(Target, "Table"), 0, false);
    } else if (Path == "/v1/rows-feed") {
      const std::string Table = parameter(Target, "Table");
      const auto After = std::stoull(parameter(Target, "After"));
      const auto Until =
          Clock::now() +
          std::chrono::milliseconds(std::stoull(parameter(Target, "WaitMs")));
      const auto Newer = [&] {
        for (const auto &[Key, Entry] : m_Tables[Table])
          if (Entry.m_Version > After)
            return true;
        return false;
      };
      while (!Newer() &&
             m_Changed.wait_until(Lock, Until) != std::cv_status::timeout)
        ;
      Body = rowsAfter(Table, After, true);
    } else if (Path == "/v1/rows-tx") {
      const json::object Call = json::parse(Request.m_Body).as_object();
      const auto Named = [&](const json::value &Item) -> Row & {
        const json::object &Name = Item.as_object();
        return m_Tables[std::string(Name.at("Table").as_string())]
                       [std::string(Name.at("Key").as_string())];
      };
      for (const json::value &Item : Call.at("Precondition").as_array()) {
        const Row &Entry = Named(Item);
        const std::uint64_t Known = Entry.m_Deleted ? 0 : Entry.m_Version;
        if (Known != Item.at("Ver").to_number<std::uint64_t>())
          Status = 412;
      }
      if (Status == 200) {
        ++m_Version;
        for (const json::value &Item : Call.at("SetKeys").as_array())
          Named(Item) = {std::string(Item.at("Value").as_string()), m_Version,
                         false};
        m_Changed.notify_all();
      }
      Body = {{"Ver", m_Version},
              {"NowMs", static_cast<std::uint64_t>(now() * 1000) + 100000}};
      if (Status == 412)
        Body["Rows"] = json::array();
    } else {
      Status = 400;
    }
    Lock.unlock();
    return Conn.write(answerText(Status, {{"Content-Type", "application/json"}},
                                 json::serialize(Body)));
  }

  std::mutex m_Mutex;
  std::condition_variable m_Changed;
  std::map<std::string, std::map<std::string, Row>> m_Tables;
  std::uint64_t m_Version = 100;
  Server m_Server;
};

// ---------------------------------------------------------------- routers

// A free port below those that the kernel gives to outgoing connections, from a
// range that differs between runs at the same time.
inline unsigned short freePort() {
  static std::mt19937 Draw{std::random_device{}()};
  static std::set<unsigned short> Given;
  while (true) {
    const auto Port = static_cast<unsigned short>(
        15000 + ::getpid() % 16 * 1000 +
        std::uniform_int_distribution<int>(0, 999)(Draw));
    const int Fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_port = htons(Port);
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const bool Free = ::bind(Fd, reinterpret_cast<sockaddr *>(&Address),
                             sizeof(Address)) == 0;
    ::close(Fd);
    if (Free && Given.insert(Port).second)
      return Port;
  }
}

// A router as deploy/system.toml starts it, with settings as deploy/node.toml
// makes them.
class Router {
public:
  Router(std::string Name, const std::string &Zone, const std::string &Store,
         const std::string &Folder)
      : m_Name(std::move(Name)), m_Callers(freePort()), m_Readiness(freePort()),
        m_Metrics(freePort()), m_Peers(freePort()),
        m_Config(Folder + "/" + m_Name + ".toml"),
        m_Log(Folder + "/" + m_Name + ".log") {
    const auto At = [](unsigned short Port) {
      return "\"127.0.0.1:" + std::to_string(Port) + "\"\n";
    };
    std::ofstream(m_Config)
        << "name = \"" << m_Name << "\"\ndata_centre = \"" << Zone
        << "\"\ncallers = " << At(m_Callers)
        << "readiness = " << At(m_Readiness) << "metrics = " << At(m_Metrics)
        << "peers = " << At(m_Peers)
        << "stop_within_seconds = 8\nengine_silence_ms = 2000\n"
           "memory_mb = 260\ncores = 0.25\n\n[store]\naddress = \""
        << Store
        << "\"\n\n[retries]\nfraction = 0.2\nslack = 196\n"
           "window_seconds = 10\n\n[log]\nform = \"json\"\n";
  }
  ~Router() { kill(); }
  Router(const Router &) = delete;

  void start() {
    const char *Bin = std::getenv("ROUTER_BIN");
    m_Pid = ::fork();
    if (m_Pid == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      std::FILE *Log = std::freopen(m_Log.c_str(), "a", stdout);
      (void)Log;
      ::dup2(1, 2);
      ::execl(Bin, Bin, "--forward", "--config", m_Config.c_str(), nullptr);
      std::_Exit(127);
    }
    m_StartedAt = now();
  }
  void kill(int Signal = SIGKILL) {
    if (m_Pid <= 0)
      return;
    ::kill(m_Pid, Signal);
    ::waitpid(m_Pid, nullptr, 0);
    m_Pid = 0;
  }
  void signal(int Signal) const { ::kill(m_Pid, Signal); }
  // Whether it has ended by itself, or was killed and is not started again.
  bool ended(int *Status) const {
    return ::waitpid(m_Pid, Status, WNOHANG) == m_Pid;
  }
  void forget() { m_Pid = 0; }
  // The end of its log, for a run that says nothing.
  std::string logEnd() const {
    std::ifstream In(m_Log);
    const std::string Text{std::istreambuf_iterator<char>(In), {}};
    return Text.substr(Text.size() > 600 ? Text.size() - 600 : 0);
  }
  bool ready() const {
    return call(m_Readiness, "GET", "/v1/readiness", {}, "", 0.5).m_Status ==
           200;
  }
  // Resident memory in MB.
  double memoryMb() const {
    std::ifstream In("/proc/" + std::to_string(m_Pid) + "/statm");
    long All = 0;
    long Resident = 0;
    In >> All >> Resident;
    return static_cast<double>(Resident) *
           static_cast<double>(::sysconf(_SC_PAGESIZE)) / 1e6;
  }
  unsigned short callers() const { return m_Callers; }
  double startedAt() const { return m_StartedAt; }
  const std::string &name() const { return m_Name; }
  pid_t pid() const { return m_Pid; }

private:
  std::string m_Name;
  unsigned short m_Callers, m_Readiness, m_Metrics, m_Peers;
  std::string m_Config, m_Log;
  pid_t m_Pid = 0;
  double m_StartedAt = 0;
};

inline bool waitUntil(double TimeoutS, const std::function<bool()> &Holds) {
  const double End = now() + TimeoutS;
  while (now() < End) {
    if (Holds())
      return true;
    sleepS(0.05);
  }
  return false;
}

} // namespace rig

#endif
