// Stand-ins for the cases of the review: the platform's store, plain workers
// and clients, in one process with threads, and the routers as processes
// started with the command of deploy/system.toml. All addresses are loopback
// addresses.
#ifndef REVIEW_WORLD_H
#define REVIEW_WORLD_H

#include <arpa/inet.h>
#include <atomic>
#include <boost/json.hpp>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/tcp.h>
#include <poll.h>
#include <set>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace world {

using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;
using Headers = std::vector<std::pair<std::string, std::string>>;

inline Clock::time_point Start = Clock::now();
inline long nowMs() {
  return std::chrono::duration_cast<Ms>(Clock::now() - Start).count();
}
inline void sleepMs(long Time) { std::this_thread::sleep_for(Ms(Time)); }

// What was sent, answered and run, with times in ms since the start.
class Record {
public:
  void open(const std::string &File) { m_Out.open(File); }
  void line(const std::string &Text) {
    const std::lock_guard Lock(m_Mutex);
    m_Out << nowMs() << " ms  " << Text << "\n";
    m_Out.flush();
  }

private:
  std::mutex m_Mutex;
  std::ofstream m_Out;
};
inline Record Log;

struct Message {
  std::string m_First; // request or status line
  Headers m_Headers;
  std::string m_Body;
  std::string header(const std::string &Name) const {
    for (const auto &[Key, Value] : m_Headers)
      if (strcasecmp(Key.c_str(), Name.c_str()) == 0)
        return Value;
    return "";
  }
  std::string target() const {
    const auto From = m_First.find(' ') + 1;
    return m_First.substr(From, m_First.find(' ', From) - From);
  }
};

// Reads one message with a length or without a body. \returns whether it is
// whole.
inline bool readMessage(int Fd, std::string &Buffer, Message &Result,
                        long TimeoutMs = 3600000) {
  const auto End = Clock::now() + Ms(TimeoutMs);
  const auto More = [&] {
    const auto Left =
        std::chrono::duration_cast<Ms>(End - Clock::now()).count();
    pollfd Wait{Fd, POLLIN, 0};
    if (Left <= 0 || poll(&Wait, 1, static_cast<int>(Left)) <= 0)
      return false;
    char Bytes[65536];
    const auto Count = recv(Fd, Bytes, sizeof(Bytes), 0);
    if (Count <= 0)
      return false;
    Buffer.append(Bytes, static_cast<std::size_t>(Count));
    return true;
  };
  std::size_t HeadEnd;
  while ((HeadEnd = Buffer.find("\r\n\r\n")) == std::string::npos)
    if (!More())
      return false;
  Result = Message();
  std::istringstream Head(Buffer.substr(0, HeadEnd));
  std::string Line;
  std::getline(Head, Line);
  if (!Line.empty() && Line.back() == '\r')
    Line.pop_back();
  Result.m_First = Line;
  std::size_t Length = 0;
  while (std::getline(Head, Line)) {
    if (!Line.empty() && Line.back() == '\r')
      Line.pop_back();
    const auto Colon = Line.find(':');
    if (Colon == std::string::npos)
      continue;
    auto Value = Line.substr(Colon + 1);
    while (!Value.empty() && Value.front() == ' ')
      Value.erase(0, 1);
    Result.m_Headers.emplace_back(Line.substr(0, Colon), Value);
    if (strcasecmp(Line.substr(0, Colon).c_str(), "content-length") == 0)
      Length = std::stoul(Value);
  }
  Buffer.erase(0, HeadEnd + 4);
  while (Buffer.size() < Length)
    if (!More())
      return false;
  Result.m_Body = Buffer.substr(0, Length);
  Buffer.erase(0, Length);
  return true;
}

inline bool writeAll(int Fd, const std::string &Bytes) {
  std::size_t Sent = 0;
  while (Sent < Bytes.size()) {
    const auto Count =
        send(Fd, Bytes.data() + Sent, Bytes.size() - Sent, MSG_NOSIGNAL);
    if (Count <= 0)
      return false;
    Sent += static_cast<std::size_t>(Count);
  }
  return true;
}

inline std::string encodeAnswer(int Status, const Headers &Extra,
                                const std::string &Body) {
  std::string Text = "HTTP/1.1 " + std::to_string(Status) + " Answer\r\n";
  for (const auto &[Name, Value] : Extra)
    Text += Name + ": " + Value + "\r\n";
  return Text + "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
         Body;
}

// A socket that is bound to a free port of 127.0.0.1, and does not listen yet.
inline int boundSocket(unsigned short &Port) {
  const int Fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int One = 1;
  setsockopt(Fd, SOL_SOCKET, SO_REUSEADDR, &One, sizeof(One));
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Port);
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (bind(Fd, reinterpret_cast<sockaddr *>(&Address), sizeof(Address)) != 0) {
    std::perror("bind");
    std::exit(2);
  }
  socklen_t Size = sizeof(Address);
  getsockname(Fd, reinterpret_cast<sockaddr *>(&Address), &Size);
  Port = ntohs(Address.sin_port);
  return Fd;
}

// One listening address. A handler returns false to leave the connection open
// and say nothing more on it.
class Listener {
public:
  using Handler = std::function<bool(int Fd, const Message &)>;
  explicit Listener(Handler Handle) : m_Handle(std::move(Handle)) {
    m_Fd = boundSocket(m_Port);
    listenNow();
  }
  std::string address() const { return "127.0.0.1:" + std::to_string(m_Port); }
  // Resets the connections and refuses new ones: the way there is cut.
  void cut() {
    const std::lock_guard Lock(m_Mutex);
    m_Cut = true;
    ++m_Generation;
    shutdown(m_Fd, SHUT_RDWR);
    close(m_Fd);
    for (const int Fd : m_Connections) {
      const linger Reset{1, 0};
      setsockopt(Fd, SOL_SOCKET, SO_LINGER, &Reset, sizeof(Reset));
      shutdown(Fd, SHUT_RD); // wakes its thread, which closes it
    }
    m_Fd = boundSocket(m_Port); // holds the port
  }
  void mend() {
    const std::lock_guard Lock(m_Mutex);
    m_Cut = false;
    listenNow();
  }

private:
  void listenNow() {
    listen(m_Fd, 256);
    std::thread([this, Fd = m_Fd, Generation = m_Generation.load()] {
      while (Generation == m_Generation) {
        pollfd Wait{Fd, POLLIN, 0};
        if (poll(&Wait, 1, 50) <= 0)
          continue;
        if (Generation != m_Generation)
          return;
        const int Connection = accept4(Fd, nullptr, nullptr, SOCK_CLOEXEC);
        if (Connection < 0)
          return;
        const int One = 1;
        setsockopt(Connection, IPPROTO_TCP, TCP_NODELAY, &One, sizeof(One));
        {
          const std::lock_guard Lock(m_Mutex);
          m_Connections.insert(Connection);
        }
        std::thread([this, Connection] { serve(Connection); }).detach();
      }
    }).detach();
  }
  void serve(int Fd) {
    std::string Buffer;
    Message Request;
    bool Speaks = true;
    while (readMessage(Fd, Buffer, Request))
      if (Speaks)
        Speaks = m_Handle(Fd, Request);
    const std::lock_guard Lock(m_Mutex);
    m_Connections.erase(Fd);
    close(Fd);
  }

  Handler m_Handle;
  std::mutex m_Mutex;
  std::set<int> m_Connections;
  std::atomic<int> m_Generation = 0;
  bool m_Cut = false;
  unsigned short m_Port = 0;
  int m_Fd = -1;
};

inline std::string toBase64(const std::string &In) {
  static const char *Alphabet =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string Out;
  for (std::size_t I = 0; I < In.size(); I += 3) {
    unsigned Bits = 0;
    for (std::size_t J = 0; J < 3; ++J)
      Bits = Bits << 8 |
             (I + J < In.size() ? static_cast<unsigned char>(In[I + J]) : 0u);
    for (std::size_t J = 0; J < 4; ++J)
      Out += J <= In.size() - I ? Alphabet[Bits >> (18 - 6 * J) & 63] : '=';
  }
  return Out;
}

// The platform's store, with one listener for each router.
class Store {
public:
  explicit Store(std::size_t Routers) {
    for (std::size_t I = 0; I < Routers; ++I) {
      m_SilentFor.push_back(false);
      m_Listeners.push_back(
          std::make_unique<Listener>([this, I](int Fd, const Message &Request) {
            return answer(I, Fd, Request);
          }));
    }
  }
  std::string address(std::size_t Router) const {
    return m_Listeners[Router]->address();
  }
  // A value for each router's listener: the same row, with the address by which
  // this router reaches the worker.
  void put(const std::string &Table, const std::string &Key,
           std::vector<std::string> Values) {
    const std::lock_guard Lock(m_Mutex);
    m_Tables[Table][Key] = {std::move(Values), ++m_Version, false};
    m_Changed.notify_all();
  }
  void put(const std::string &Table, const std::string &Key,
           const std::string &Value) {
    put(Table, Key, std::vector<std::string>(m_Listeners.size(), Value));
  }
  void drop(const std::string &Table, const std::string &Key) {
    const std::lock_guard Lock(m_Mutex);
    m_Tables[Table][Key] = {{}, ++m_Version, true};
    m_Changed.notify_all();
  }
  // While it is silent, a call that arrives is never answered, and one that
  // waits is answered when it speaks again.
  void setSilent(std::size_t Router, bool Silent) {
    const std::lock_guard Lock(m_Mutex);
    m_SilentFor[Router] = Silent;
    m_Changed.notify_all();
  }
  // A drill: it is away, turns calls away meanwhile, and comes back from a
  // copy.
  struct Copy;
  std::shared_ptr<const Copy> copy();
  void setAway(bool Away) {
    const std::lock_guard Lock(m_Mutex);
    m_Away = Away;
    m_Changed.notify_all();
  }
  void restore(const std::shared_ptr<const Copy> &From);
  // From then on all its answers state an era.
  void stateEra() { m_StatesEra = true; }
  std::size_t rows(const std::string &Table) {
    const std::lock_guard Lock(m_Mutex);
    return m_Tables[Table].size();
  }

private:
  struct Row {
    std::vector<std::string> m_Values;
    std::uint64_t m_Version = 0;
    bool m_Deleted = false;
  };
  static std::string query(const std::string &Target, const std::string &Name) {
    const auto At = Target.find_first_of("?&", 0);
    std::string Rest = At == std::string::npos ? "" : Target.substr(At);
    const auto Found = Rest.find(Name + "=");
    if (Found == std::string::npos)
      return "";
    const auto From = Found + Name.size() + 1;
    return Rest.substr(From, Rest.find('&', From) - From);
  }
  std::string rowsJson(std::size_t Router, const std::string &Table,
                       std::uint64_t After, bool Feed) {
    std::map<std::uint64_t, std::string> Ordered;
    std::string Plain;
    for (const auto &[Key, Entry] : m_Tables[Table]) {
      if (Feed ? Entry.m_Version <= After : Entry.m_Deleted)
        continue;
      std::string Json = "{\"Table\":\"" + Table +
                         "\",\"part\":\"\",\"Key\":\"" + Key +
                         "\",\"Ver\":" + std::to_string(Entry.m_Version);
      Json += Entry.m_Deleted
                  ? ",\"Tombstone\":true}"
                  : ",\"Value\":\"" + toBase64(Entry.m_Values[Router]) + "\"}";
      if (Feed)
        Ordered[Entry.m_Version] = Json;
      else
        Plain += (Plain.empty() ? "" : ",") + Json;
    }
    for (const auto &[Version, Json] : Ordered)
      Plain += (Plain.empty() ? "" : ",") + Json;
    return "{\"Rows\":[" + Plain +
           "],\"HasMore\":false,\"Ver\":" + std::to_string(m_Version) +
           ",\"NowMs\":" + std::to_string(nowMs()) + "}";
  }
  bool answer(std::size_t Router, int Fd, const Message &Request) {
    const std::string Target = Request.target();
    std::unique_lock Lock(m_Mutex);
    if (m_SilentFor[Router])
      return false;
    std::string Body;
    int Status = 200;
    if (m_Away) {
      Status = 503;
    } else if (Target.starts_with("/v1/rows-get")) {
      Body = rowsJson(Router, query(Target, "Table"), 0, false);
    } else if (Target.starts_with("/v1/rows-feed")) {
      const std::string Table = query(Target, "Table");
      const std::uint64_t After = std::stoull(query(Target, "After"));
      const auto End = Clock::now() + Ms(std::stol(query(Target, "WaitMs")));
      const auto Due = [&] {
        for (const auto &[Key, Entry] : m_Tables[Table])
          if (Entry.m_Version > After)
            return true;
        return false;
      };
      const int Era = m_Era;
      if (After > m_Version)
        Status = 410;
      while (Status == 200 &&
             (m_SilentFor[Router] || (!Due() && Clock::now() < End))) {
        m_Changed.wait_for(Lock, Ms(20));
        if (m_Away || m_Era != Era)
          Status = 503;
      }
      if (Status == 200)
        Body = rowsJson(Router, Table, After, true);
    } else if (Target.starts_with("/v1/rows-tx")) {
      const auto Json = boost::json::parse(Request.m_Body);
      bool Holds = true;
      for (const auto &Item : Json.at("Precondition").as_array()) {
        const std::string Table(Item.at("Table").as_string());
        const std::string Key(Item.at("Key").as_string());
        const auto Found = m_Tables[Table].find(Key);
        const std::uint64_t Version =
            Found == m_Tables[Table].end() || Found->second.m_Deleted
                ? 0
                : Found->second.m_Version;
        Holds &= Version == Item.at("Ver").to_number<std::uint64_t>();
      }
      if (Holds) {
        ++m_Version;
        for (const auto &Item : Json.at("SetKeys").as_array())
          m_Tables[std::string(Item.at("Table").as_string())][std::string(
              Item.at("Key").as_string())] = {
              std::vector<std::string>(
                  m_Listeners.size(),
                  fromBase64(std::string(Item.at("Value").as_string()))),
              m_Version, false};
        m_Changed.notify_all();
      }
      Status = Holds ? 200 : 412;
      Body = "{\"Ver\":" + std::to_string(m_Version) +
             ",\"NowMs\":" + std::to_string(nowMs()) + ",\"Rows\":[]}";
    } else {
      Status = 404;
    }
    Headers Extra{{"Content-Type", "application/json"}};
    if (m_StatesEra)
      Extra.emplace_back("Store-Era", std::to_string(m_Era));
    Lock.unlock();
    sleepMs(4);
    return writeAll(Fd, encodeAnswer(Status, Extra, Body));
  }
  static std::string fromBase64(const std::string &In) {
    std::string Out;
    unsigned Bits = 0;
    int Count = 0;
    for (const char Char : In) {
      int Value = -1;
      if (Char >= 'A' && Char <= 'Z')
        Value = Char - 'A';
      else if (Char >= 'a' && Char <= 'z')
        Value = Char - 'a' + 26;
      else if (Char >= '0' && Char <= '9')
        Value = Char - '0' + 52;
      else if (Char == '+')
        Value = 62;
      else if (Char == '/')
        Value = 63;
      if (Value < 0)
        continue;
      Bits = Bits << 6 | static_cast<unsigned>(Value);
      if ((Count += 6) >= 8)
        Out += static_cast<char>(Bits >> (Count -= 8) & 255);
    }
    return Out;
  }

  std::mutex m_Mutex;
  std::condition_variable m_Changed;
  std::map<std::string, std::map<std::string, Row>> m_Tables;
  std::uint64_t m_Version = 0;
  int m_Era = 0;
  bool m_Away = false;
  std::atomic<bool> m_StatesEra = false;
  std::vector<bool> m_SilentFor;
  std::vector<std::unique_ptr<Listener>> m_Listeners;
};

struct Store::Copy {
  std::map<std::string, std::map<std::string, Row>> m_Tables;
  std::uint64_t m_Version;
};

inline std::shared_ptr<const Store::Copy> Store::copy() {
  const std::lock_guard Lock(m_Mutex);
  return std::make_shared<const Copy>(Copy{m_Tables, m_Version});
}

inline void Store::restore(const std::shared_ptr<const Copy> &From) {
  const std::lock_guard Lock(m_Mutex);
  m_Tables = From->m_Tables;
  m_Version = From->m_Version;
  ++m_Era;
  m_Changed.notify_all();
}

// A worker of a plain service, reached by each router at an address of its own,
// so that the way from one router can be cut.
class Worker {
public:
  struct Run {
    long m_At;
    std::string m_Request;
    std::size_t m_Router;
    std::string m_Tenant;
  };
  Worker(std::string Id, std::string Service, std::string Zone,
         std::size_t Routers)
      : m_Id(std::move(Id)), m_Service(std::move(Service)),
        m_Zone(std::move(Zone)) {
    for (std::size_t I = 0; I < Routers; ++I)
      m_Listeners.push_back(
          std::make_unique<Listener>([this, I](int Fd, const Message &Request) {
            return answer(I, Fd, Request);
          }));
  }
  const std::string &id() const { return m_Id; }
  // Its entry in the registry, as each router is to read it.
  void publish(Store &To, const std::string &State = "ready") {
    std::vector<std::string> Values;
    for (const auto &Listen : m_Listeners)
      Values.push_back("{\"Service\":\"" + m_Service + "\",\"Address\":\"" +
                       Listen->address() + "\",\"Zone\":\"" + m_Zone +
                       "\",\"Version\":\"v1\",\"Slots\":6,\"State\":\"" +
                       State + "\",\"ColdRemainingMs\":0,\"Sequence\":" +
                       std::to_string(++m_Sequence) +
                       ",\"born\":1790000000000}");
    To.put("servers", m_Id, std::move(Values));
  }
  void cutFrom(std::size_t Router) { m_Listeners[Router]->cut(); }
  void mendFrom(std::size_t Router) { m_Listeners[Router]->mend(); }
  // It leaves, and says so in all its answers.
  void sayLeaving() { m_Leaving = true; }
  std::vector<Run> runs() {
    const std::lock_guard Lock(m_Mutex);
    return m_Runs;
  }

private:
  bool answer(std::size_t Router, int Fd, const Message &Request) {
    Headers Extra{{"Content-Type", "text/plain"}};
    if (m_Leaving)
      Extra.emplace_back("Server-Leaving", "1");
    if (Request.target() == "/v1/report")
      return writeAll(Fd,
                      encodeAnswer(200, Extra,
                                   "{\"Stage\":\"\",\"Models\":[],\"Busy\":"
                                   "false,\"Sequence\":0,\"Queued\":0,"
                                   "\"Running\":0,\"born\":1790000000000}"));
    const std::string Id = Request.header("X-Mimosadale-Request-Id");
    const std::string Expected = Request.header("X-Mimosadale-Expect-Instance");
    Extra.emplace_back("X-Mimosadale-Instance-Id", m_Id);
    if (!Expected.empty() && Expected != m_Id)
      return writeAll(Fd, encodeAnswer(421, Extra, ""));
    if (Id.empty())
      return writeAll(Fd, encodeAnswer(200, Extra, "healthy"));
    {
      const std::lock_guard Lock(m_Mutex);
      m_Runs.push_back(
          {nowMs(), Id, Router, Request.header("X-Mimosadale-Tenant")});
    }
    Log.line("worker " + m_Id + " runs " + Id + " " + Request.target() +
             " from router " + std::to_string(Router));
    sleepMs(20);
    Extra.emplace_back("X-Mimosadale-Request-Id", Id);
    Extra.emplace_back("X-Mimosadale-Server-Seal", m_Id + "." + Id);
    return writeAll(Fd, encodeAnswer(200, Extra, "done " + Id));
  }

  std::string m_Id, m_Service, m_Zone;
  std::atomic<bool> m_Leaving = false;
  int m_Sequence = 0;
  std::mutex m_Mutex;
  std::vector<Run> m_Runs;
  std::vector<std::unique_ptr<Listener>> m_Listeners;
};

struct Answer {
  int m_Status = 0; // 0: the connection ended without a whole answer
  Headers m_Headers;
  std::string m_Body;
  long m_SentAt = 0, m_EndedAt = 0;
  std::string header(const std::string &Name) const {
    Message Search;
    Search.m_Headers = m_Headers;
    return Search.header(Name);
  }
};

// One client attempt on a new connection.
inline Answer call(const std::string &Address, const std::string &Method,
                   const std::string &Target, const Headers &Extra,
                   const std::string &Body, long TimeoutMs = 2500) {
  Answer Result;
  Result.m_SentAt = nowMs();
  const int Fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in To{};
  To.sin_family = AF_INET;
  To.sin_port = htons(static_cast<unsigned short>(
      std::stoi(Address.substr(Address.rfind(':') + 1))));
  To.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (connect(Fd, reinterpret_cast<sockaddr *>(&To), sizeof(To)) == 0) {
    std::string Text = Method + " " + Target + " HTTP/1.1\r\n";
    for (const auto &[Name, Value] : Extra)
      Text += Name + ": " + Value + "\r\n";
    if (Method != "GET")
      Text += "Content-Length: " + std::to_string(Body.size()) + "\r\n";
    std::string Buffer;
    Message Reply;
    if (writeAll(Fd, Text + "\r\n" + Body) &&
        readMessage(Fd, Buffer, Reply, TimeoutMs)) {
      Result.m_Status = std::atoi(Reply.m_First.c_str() + 9);
      Result.m_Headers = Reply.m_Headers;
      Result.m_Body = Reply.m_Body;
    }
  }
  close(Fd);
  Result.m_EndedAt = nowMs();
  return Result;
}

// A router as a process, with the settings of deploy/node.toml.
class Router {
public:
  Router(const std::string &Name, const std::string &Zone,
         const std::string &StoreAddress, const std::string &Folder)
      : m_Name(Name), m_Folder(Folder + "/" + Name) {
    std::filesystem::create_directories(m_Folder);
    std::map<std::string, std::string> Fields{
        {"NodeName", Name},
        {"Zone", Zone},
        {"Ip", "127.0.0.1"},
        {"Platform.Address", StoreAddress},
        {"Bounds.GraceS", "8"},
        {"Bounds.stall_ms", "2000"},
        {"Limits.MemoryMb", "260"},
        {"Limits.CpuShare", "0.25"},
        {"Bounds.RetryBudgetRatio", "0.2"},
        {"Bounds.BudgetSlack", "196"},
        {"Bounds.BudgetWindowS", "10"}};
    std::vector<int> Held;
    for (const char *Field :
         {"Listen.Front", "Listen.Readiness", "PortRange.0", "PortRange.1"}) {
      unsigned short Port = 0;
      Held.push_back(boundSocket(Port));
      const bool IsPort = std::string(Field).starts_with("PortRange");
      Fields[Field] = (IsPort ? "" : "127.0.0.1:") + std::to_string(Port);
    }
    for (const int Fd : Held)
      close(Fd);
    m_Front = Fields["Listen.Front"];
    m_Readiness = Fields["Listen.Readiness"];
    std::ifstream In("deploy/node.toml");
    std::stringstream Template;
    Template << In.rdbuf();
    std::string Text = Template.str();
    for (const auto &[Field, Value] : Fields)
      for (std::size_t At;
           (At = Text.find("{{" + Field + "}}")) != std::string::npos;)
        Text.replace(At, Field.size() + 4, Value);
    std::ofstream(m_Folder + "/boot.conf") << Text;
    start();
  }
  ~Router() {
    kill(m_Pid, SIGCONT);
    kill(m_Pid, SIGKILL);
    waitpid(m_Pid, nullptr, 0);
  }
  void start() {
    m_Pid = fork();
    if (m_Pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL); // it ends with this process
      const int Out = open((m_Folder + "/log").c_str(),
                           O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(Out, 1);
      dup2(Out, 2);
      execl("target/packages/mimosadale", "mimosadale", "--forward", "--config",
            (m_Folder + "/boot.conf").c_str(), nullptr);
      _exit(127);
    }
  }
  const std::string &front() const { return m_Front; }
  const std::string &name() const { return m_Name; }
  void signal(int Number) const { kill(m_Pid, Number); }
  bool ready() const {
    return call(m_Readiness, "GET", "/v1/readiness", {{"Host", "x"}}, "", 500)
               .m_Status == 200;
  }
  bool running() const { return waitpid(m_Pid, nullptr, WNOHANG) == 0; }

private:
  std::string m_Name, m_Folder, m_Front, m_Readiness;
  pid_t m_Pid = -1;
};

inline bool waitUntil(const std::function<bool()> &Holds, long TimeoutMs) {
  const long End = nowMs() + TimeoutMs;
  while (nowMs() < End) {
    if (Holds())
      return true;
    sleepMs(30);
  }
  return false;
}

// A configuration with two routes to the service "booking", some idle routes as
// on a real deployment, and these keys of tenant "t1".
inline std::string config(int Version, const std::vector<std::string> &Keys,
                          int IdleRoutes = 110, bool WithLedger = false) {
  const auto Route = [](const std::string &Name, const std::string &Prefix,
                        const std::string &Kind, int Attempts,
                        const std::string &Service = "booking") {
    return "{\"Name\":\"" + Name +
           "\",\"Host\":\"shop.example\",\"Prefix\":\"" + Prefix +
           "\",\"RouteType\":\"" + Kind +
           "\",\"TimeoutMs\":1200,\"TargetLatencyMs\":150,\"Priority\":2,"
           "\"Service\":\"" +
           Service + "\",\"MaxAttempts\":" + std::to_string(Attempts) +
           ",\"Public\":false,\"SessionAffinity\":false,\"StreamResume\":"
           "false}";
  };
  std::string Routes = Route("reserve", "/reserve/", "non_idempotent", 1) +
                       "," + Route("lookup", "/lookup/", "idempotent", 2);
  for (int I = 0; I < IdleRoutes; ++I)
    Routes += "," + Route("idle" + std::to_string(I),
                          "/idle" + std::to_string(I) + "/", "idempotent", 2);
  if (WithLedger)
    Routes += "," + Route("ledger", "/ledger/", "idempotent", 2, "ledger");
  const std::string Ledger =
      "{\"Name\":\"ledger\",\"HealthCheckPath\":\"/health\","
      "\"MaxConnections\":96,\"Protocol\":\"h1\",\"Tls\":false},";
  std::string KeyList;
  for (const std::string &Key : Keys)
    KeyList += (KeyList.empty() ? "\"" : ",\"") + Key + "\"";
  return "{\"Version\":" + std::to_string(Version) + ",\"Routes\":[" + Routes +
         "],\"Services\":[" + (WithLedger ? Ledger : "") +
         "{\"Name\":\"booking\",\"HealthCheckPath\":\"/health\","
         "\"MaxConnections\":96,\"Protocol\":\"h1\",\"Tls\":false}],"
         "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,"
         "\"HeaderTimeoutMs\":10000,\"IdleTimeoutMs\":60000},"
         "\"Tenants\":[{\"Name\":\"t1\",\"ApiKeys\":[" +
         KeyList + "]}]}";
}

inline Headers clientHeaders(const std::string &Id, const std::string &Key) {
  return {{"Host", "shop.example"},
          {"X-Mimosadale-Request-Id", Id},
          {"X-Mimosadale-Deadline-Ms", "2500"},
          {"Authorization", "Bearer " + Key}};
}

// Sends a request and writes it and its answer into the record.
inline Answer ask(const Router &To, const std::string &Id,
                  const std::string &Key, const std::string &Method = "POST",
                  const std::string &Target = "/reserve/a") {
  Log.line("client sends " + Id + " " + Method + " " + Target + " key " + Key +
           " to " + To.name());
  const Answer Reply = call(To.front(), Method, Target, clientHeaders(Id, Key),
                            Method == "GET" ? "" : "body of " + Id);
  Log.line("client gets " + std::to_string(Reply.m_Status) + " for " + Id +
           " from " + To.name() + ", seal '" +
           Reply.header("X-Mimosadale-Server-Seal") + "'" +
           (Reply.header("Server-Leaving").empty() ? "" : ", Server-Leaving"));
  return Reply;
}

} // namespace world

#endif
