#include "stand_in.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sstream>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace json = boost::json;

namespace {

const Clock::time_point Start = Clock::now();

sockaddr_in makeAddress(const std::string &Ip, unsigned short Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Port);
  inet_pton(AF_INET, Ip.c_str(), &Address.sin_addr);
  return Address;
}

bool writeAll(int Fd, const std::string &Text) {
  std::size_t Sent = 0;
  while (Sent < Text.size()) {
    const ssize_t N =
        ::send(Fd, Text.data() + Sent, Text.size() - Sent, MSG_NOSIGNAL);
    if (N <= 0)
      return false;
    Sent += static_cast<std::size_t>(N);
  }
  return true;
}

// Reads more bytes, waiting until the deadline. \returns 1, 0 at the end, -1 on
// an error or a time-out.
int readMore(int Fd, std::string &Buffer, long Deadline,
             const std::atomic<bool> *Stop) {
  while (true) {
    if (Stop && *Stop)
      return -1;
    const long Left = Deadline - nowMs();
    if (Left <= 0)
      return -1;
    pollfd Poll{Fd, POLLIN, 0};
    const int Ready =
        ::poll(&Poll, 1, static_cast<int>(std::min<long>(Left, 50)));
    if (Ready < 0 && errno != EINTR)
      return -1;
    if (Ready <= 0)
      continue;
    char Bytes[16384];
    const ssize_t N = ::recv(Fd, Bytes, sizeof(Bytes), 0);
    if (N == 0)
      return 0;
    if (N < 0)
      return -1;
    Buffer.append(Bytes, static_cast<std::size_t>(N));
    return 1;
  }
}

bool readMessage(int Fd, std::string &Buffer, Message &Into, bool IsResponse,
                 long Deadline, const std::atomic<bool> *Stop) {
  Into = Message();
  std::size_t End;
  while ((End = Buffer.find("\r\n\r\n")) == std::string::npos)
    if (readMore(Fd, Buffer, Deadline, Stop) <= 0)
      return false;
  std::istringstream Head(Buffer.substr(0, End));
  Buffer.erase(0, End + 4);
  std::string Line;
  std::getline(Head, Into.m_First);
  if (!Into.m_First.empty() && Into.m_First.back() == '\r')
    Into.m_First.pop_back();
  while (std::getline(Head, Line)) {
    if (!Line.empty() && Line.back() == '\r')
      Line.pop_back();
    const std::size_t Colon = Line.find(':');
    if (Colon == std::string::npos)
      continue;
    std::size_t Value = Colon + 1;
    while (Value < Line.size() && Line[Value] == ' ')
      ++Value;
    Into.m_Headers.emplace_back(Line.substr(0, Colon), Line.substr(Value));
  }
  if (strcasecmp(Into.header("Transfer-Encoding").c_str(), "chunked") == 0) {
    while (true) {
      std::size_t Eol;
      while ((Eol = Buffer.find("\r\n")) == std::string::npos)
        if (readMore(Fd, Buffer, Deadline, Stop) <= 0)
          return false;
      const std::size_t Size =
          std::strtoul(Buffer.substr(0, Eol).c_str(), nullptr, 16);
      Buffer.erase(0, Eol + 2);
      while (Buffer.size() < Size + 2)
        if (readMore(Fd, Buffer, Deadline, Stop) <= 0)
          return false;
      Into.m_Body += Buffer.substr(0, Size);
      Buffer.erase(0, Size + 2);
      if (Size == 0)
        break;
    }
    return Into.m_Complete = true;
  }
  const std::string Length = Into.header("Content-Length");
  if (Length.empty() && IsResponse) {
    int More;
    while ((More = readMore(Fd, Buffer, Deadline, Stop)) > 0)
      continue;
    Into.m_Body = std::move(Buffer);
    return Into.m_Complete = More == 0;
  }
  const std::size_t Size = std::strtoul(Length.c_str(), nullptr, 10);
  while (Buffer.size() < Size)
    if (readMore(Fd, Buffer, Deadline, Stop) <= 0)
      return false;
  Into.m_Body = Buffer.substr(0, Size);
  Buffer.erase(0, Size);
  return Into.m_Complete = true;
}

void resetConnection(int Fd) {
  const linger Reset{1, 0};
  ::setsockopt(Fd, SOL_SOCKET, SO_LINGER, &Reset, sizeof(Reset));
  ::shutdown(Fd, SHUT_RDWR);
}

const char Base64[] =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string encodeBase64(const std::string &Text) {
  std::string Out;
  unsigned Value = 0;
  int Bits = 0;
  for (const unsigned char Byte : Text) {
    Value = (Value << 8) | Byte;
    for (Bits += 8; Bits >= 6; Bits -= 6)
      Out += Base64[(Value >> (Bits - 6)) & 63];
  }
  if (Bits > 0)
    Out += Base64[(Value << (6 - Bits)) & 63];
  while (Out.size() % 4)
    Out += '=';
  return Out;
}

std::string decodeBase64(const std::string &Text) {
  std::string Out;
  unsigned Value = 0;
  int Bits = 0;
  for (const char Char : Text) {
    const char *Found = std::strchr(Base64, Char);
    if (!Found || Char == '\0')
      break;
    Value = (Value << 6) | static_cast<unsigned>(Found - Base64);
    if ((Bits += 6) >= 8)
      Out += static_cast<char>((Value >> (Bits -= 8)) & 255);
  }
  return Out;
}

std::string parameter(const std::string &Target, const std::string &Name) {
  std::size_t Pos = Target.find('?');
  while (Pos != std::string::npos) {
    const std::size_t Next = Target.find('&', Pos + 1);
    const std::string Item = Target.substr(
        Pos + 1, Next == std::string::npos ? Next : Next - Pos - 1);
    if (Item.rfind(Name + "=", 0) == 0)
      return Item.substr(Name.size() + 1);
    Pos = Next;
  }
  return "";
}

const char *reasonOf(int Status) {
  return Status == 200 ? "OK" : Status >= 500 ? "Error" : "Answer";
}

unsigned short freePort(const std::string &Ip) {
  const int Fd = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in Address = makeAddress(Ip, 0);
  socklen_t Size = sizeof(Address);
  ::bind(Fd, reinterpret_cast<sockaddr *>(&Address), sizeof(Address));
  ::getsockname(Fd, reinterpret_cast<sockaddr *>(&Address), &Size);
  ::close(Fd);
  return ntohs(Address.sin_port);
}

} // namespace

long nowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() -
                                                               Start)
      .count();
}

void sleepMs(long Ms) {
  if (Ms > 0)
    std::this_thread::sleep_for(std::chrono::milliseconds(Ms));
}

Record::Record(const std::string &File)
    : m_File(std::fopen(File.c_str(), "w")) {
  if (!m_File) {
    std::perror(File.c_str());
    std::exit(2);
  }
}

Record::~Record() { std::fclose(m_File); }

void Record::line(const std::string &Text) {
  const std::lock_guard Lock(m_Mutex);
  std::fprintf(m_File, "%7ld %s\n", nowMs(), Text.c_str());
  std::fflush(m_File);
}

std::string Message::header(const std::string &Name) const {
  for (const auto &[Known, Value] : m_Headers)
    if (strcasecmp(Known.c_str(), Name.c_str()) == 0)
      return Value;
  return "";
}

std::string Message::method() const {
  return m_First.substr(0, m_First.find(' '));
}

std::string Message::target() const {
  const std::size_t From = m_First.find(' ') + 1;
  return m_First.substr(From, m_First.find(' ', From) - From);
}

int Message::status() const {
  return m_Complete ? std::atoi(m_First.c_str() + m_First.find(' ') + 1) : 0;
}

std::string response(int Status, const Headers &Extra,
                     const std::string &Body) {
  std::string Text =
      "HTTP/1.1 " + std::to_string(Status) + " " + reasonOf(Status) + "\r\n";
  for (const auto &[Name, Value] : Extra)
    Text += Name + ": " + Value + "\r\n";
  return Text + "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
         Body;
}

bool peerClosed(int Connection) {
  char Byte;
  const ssize_t N = ::recv(Connection, &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return N == 0 || (N < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

Listener::Listener(const std::string &Ip, Handler Handle)
    : m_Ip(Ip), m_Handle(std::move(Handle)) {
  m_Socket = bindSocket(0);
  ::listen(m_Socket, 512);
  m_Thread = std::thread([this] { acceptLoop(); });
}

Listener::~Listener() {
  m_Stop = true;
  m_Thread.join();
  {
    const std::lock_guard Lock(m_Mutex);
    for (const int Fd : m_Connections)
      resetConnection(Fd);
  }
  while (m_Running > 0)
    sleepMs(5);
  ::close(m_Socket);
}

int Listener::bindSocket(unsigned short Port) {
  const int Fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int On = 1;
  ::setsockopt(Fd, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  sockaddr_in Address = makeAddress(m_Ip, Port);
  for (int Try = 0;
       ::bind(Fd, reinterpret_cast<sockaddr *>(&Address), sizeof(Address)) != 0;
       ++Try) {
    if (Try > 200) {
      std::perror("bind");
      std::exit(2);
    }
    sleepMs(5);
  }
  socklen_t Size = sizeof(Address);
  ::getsockname(Fd, reinterpret_cast<sockaddr *>(&Address), &Size);
  m_Port = ntohs(Address.sin_port);
  return Fd;
}

std::string Listener::address() const {
  return m_Ip + ":" + std::to_string(m_Port);
}

void Listener::cut() {
  m_Listening = false;
  sleepMs(60); // the accepting thread has seen it
  const std::lock_guard Lock(m_Mutex);
  ::close(m_Socket);
  m_Socket = bindSocket(m_Port); // holds the port; connections are refused
  for (const int Fd : m_Connections)
    resetConnection(Fd);
}

void Listener::restore() {
  const std::lock_guard Lock(m_Mutex);
  ::listen(m_Socket, 512);
  m_Listening = true;
}

void Listener::acceptLoop() {
  while (!m_Stop) {
    if (!m_Listening) {
      sleepMs(5);
      continue;
    }
    pollfd Poll{m_Socket, POLLIN, 0};
    if (::poll(&Poll, 1, 20) <= 0 || !m_Listening)
      continue;
    const int Fd = ::accept4(m_Socket, nullptr, nullptr, SOCK_CLOEXEC);
    if (Fd < 0)
      continue;
    const int On = 1;
    ::setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
    {
      const std::lock_guard Lock(m_Mutex);
      m_Connections.insert(Fd);
    }
    ++m_Running;
    std::thread([this, Fd] {
      serve(Fd);
      {
        const std::lock_guard Lock(m_Mutex);
        m_Connections.erase(Fd);
        ::close(Fd);
      }
      --m_Running;
    }).detach();
  }
}

void Listener::serve(int Connection) {
  std::string Buffer;
  Message Request;
  while (!m_Stop && readMessage(Connection, Buffer, Request, false,
                                nowMs() + 60000, &m_Stop)) {
    const std::string Answer = m_Handle(Request, Connection);
    if (Answer.empty() || !writeAll(Connection, Answer))
      return;
    if (Answer.find("Connection: close\r\n") != std::string::npos)
      return;
  }
}

Store::Store(Record &Log, unsigned Routers, const std::string &Ip)
    : m_Log(Log) {
  for (unsigned I = 0; I < Routers; ++I)
    m_Listeners.push_back(std::make_unique<Listener>(
        Ip, [this, I](const Message &Request, int Connection) {
          return handle(I, Request, Connection);
        }));
}

std::string Store::address(unsigned Router) const {
  return m_Listeners[Router]->address();
}

void Store::setDown(bool Down) {
  m_Log.line(std::string("store ") + (Down ? "down" : "up"));
  {
    const std::lock_guard Lock(m_Mutex);
    m_Down = Down;
  }
  m_Changed.notify_all();
}

void Store::put(const std::string &Table, const std::string &Key,
                const std::string &Value) {
  {
    const std::lock_guard Lock(m_Mutex);
    Row &Entry = m_Tables[Table][Key];
    Entry = Row();
    Entry.m_Value = Value;
    Entry.m_Version = ++m_Version;
  }
  m_Changed.notify_all();
}

void Store::putWorker(const std::string &Id, json::object Fields,
                      std::vector<std::string> Addresses) {
  {
    const std::lock_guard Lock(m_Mutex);
    Row &Entry = m_Tables["servers"][Id];
    Entry.m_Entry = std::move(Fields);
    Entry.m_Addresses = std::move(Addresses);
    Entry.m_Version = ++m_Version;
  }
  m_Changed.notify_all();
}

json::object Store::rowJson(unsigned Router, const std::string &Table,
                            const std::string &Key, const Row &Entry) const {
  std::string Value = Entry.m_Value;
  if (!Entry.m_Addresses.empty()) {
    json::object Fields = Entry.m_Entry;
    Fields["Address"] = Entry.m_Addresses[Router];
    Value = json::serialize(Fields);
  }
  return {{"Table", Table},
          {"part", ""},
          {"Key", Key},
          {"Value", encodeBase64(Value)},
          {"Ver", Entry.m_Version}};
}

std::string Store::transact(const std::string &Body) {
  const json::object Call = json::parse(Body).as_object();
  json::object Answer;
  bool Holds = true;
  {
    const std::lock_guard Lock(m_Mutex);
    json::array Current;
    for (const json::value &Item : Call.at("Precondition").as_array()) {
      const json::object &Condition = Item.as_object();
      const std::string Table(Condition.at("Table").as_string());
      const std::string Key(Condition.at("Key").as_string());
      const auto Found = m_Tables[Table].find(Key);
      const std::uint64_t Version =
          Found == m_Tables[Table].end() ? 0 : Found->second.m_Version;
      Holds &= Version == Condition.at("Ver").to_number<std::uint64_t>();
      if (Version > 0)
        Current.push_back(rowJson(0, Table, Key, Found->second));
    }
    if (Holds) {
      ++m_Version;
      for (const json::value &Item : Call.at("SetKeys").as_array()) {
        const json::object &Set = Item.as_object();
        Row &Entry = m_Tables[std::string(Set.at("Table").as_string())]
                             [std::string(Set.at("Key").as_string())];
        Entry = Row();
        Entry.m_Value = decodeBase64(std::string(Set.at("Value").as_string()));
        Entry.m_Version = m_Version;
      }
    } else {
      Answer["Rows"] = std::move(Current);
    }
    Answer["Ver"] = m_Version;
    Answer["NowMs"] = nowMs();
  }
  m_Changed.notify_all();
  return response(Holds ? 200 : 412, {{"Content-Type", "application/json"}},
                  json::serialize(Answer));
}

std::string Store::handle(unsigned Router, const Message &Request,
                          int Connection) {
  if (m_Down)
    return response(503, {}, "");
  sleepMs(4);
  const std::string Target = Request.target();
  if (Target.rfind("/v1/rows-tx", 0) == 0)
    return transact(Request.m_Body);
  const bool IsFeed = Target.rfind("/v1/rows-feed", 0) == 0;
  if (!IsFeed && Target.rfind("/v1/rows-get", 0) != 0)
    return response(404, {}, "");
  const std::string Table = parameter(Target, "Table");
  const std::uint64_t After =
      std::strtoull(parameter(Target, "After").c_str(), nullptr, 10);
  const long Deadline =
      nowMs() + std::atol(parameter(Target, "WaitMs").c_str());
  json::array Rows;
  std::uint64_t Version = 0;
  while (true) {
    std::unique_lock Lock(m_Mutex);
    if (m_Down)
      return response(503, {}, "");
    for (const auto &[Key, Entry] : m_Tables[Table])
      if (!IsFeed || Entry.m_Version > After)
        Rows.push_back(rowJson(Router, Table, Key, Entry));
    Version = m_Version;
    if (!IsFeed || !Rows.empty() || nowMs() >= Deadline)
      break;
    m_Changed.wait_for(Lock, std::chrono::milliseconds(20));
    Lock.unlock();
    if (peerClosed(Connection))
      return "";
  }
  return response(200, {{"Content-Type", "application/json"}},
                  json::serialize(json::object{{"Rows", std::move(Rows)},
                                               {"HasMore", false},
                                               {"Ver", Version},
                                               {"NowMs", nowMs()}}));
}

Worker::Worker(Record &Log, Store &Platform, std::string Id,
               std::string Service, std::string Zone, unsigned Routers,
               const std::string &Ip, Behaviour Behave)
    : m_Log(Log), m_Platform(Platform), m_Id(std::move(Id)),
      m_Service(std::move(Service)), m_Zone(std::move(Zone)),
      m_Born(std::chrono::duration_cast<std::chrono::milliseconds>(
                 std::chrono::system_clock::now().time_since_epoch())
                 .count()),
      m_Behave(std::move(Behave)) {
  for (unsigned I = 0; I < Routers; ++I)
    m_Listeners.push_back(std::make_unique<Listener>(
        Ip, [this, I](const Message &Request, int Connection) {
          return handle(I, Request, Connection);
        }));
  m_Platform.putWorker(m_Id, entry("ready"), addresses());
}

json::object Worker::entry(const std::string &State) const {
  return {{"Service", m_Service}, {"Zone", m_Zone}, {"Version", "v1"},
          {"Slots", 64},          {"State", State}, {"ColdRemainingMs", 0},
          {"Sequence", 0},        {"born", m_Born}};
}

std::vector<std::string> Worker::addresses() const {
  std::vector<std::string> Result;
  for (const auto &At : m_Listeners)
    Result.push_back(At->address());
  return Result;
}

void Worker::leave() {
  m_Leaving = true;
  m_Log.line("worker " + m_Id + " leaves, and says so in its answers");
  std::thread([this] {
    while (m_Platform.down())
      sleepMs(10);
    m_Platform.putWorker(m_Id, entry("draining"), addresses());
    m_ReportedAt = nowMs();
    m_Log.line("worker " + m_Id + " is draining, by the store");
  }).detach();
}

std::vector<Worker::Arrival> Worker::arrivals() {
  const std::lock_guard Lock(m_Mutex);
  return m_Arrivals;
}

std::string Worker::handle(unsigned Router, const Message &Request,
                           int Connection) {
  Headers State;
  if (m_Leaving) {
    State.emplace_back("Server-Leaving", "1");
    State.emplace_back("Connection", "close");
  }
  const std::string Expected = Request.header("X-Mimosadale-Expect-Instance");
  const std::string RequestId = Request.header("X-Mimosadale-Request-Id");
  State.emplace_back("X-Mimosadale-Request-Id", RequestId);
  if (!Expected.empty() && Expected != m_Id) {
    State.emplace_back("X-Mimosadale-Not-Executed", "1");
    State.emplace_back("X-Mimosadale-Instance-Id", m_Id);
    return response(421, State, "");
  }
  if (Request.target() == "/v1/report") {
    State.emplace_back("Content-Type", "application/json");
    return response(200, State,
                    R"({"Stage":"","Models":[],"Busy":false,"Sequence":0,)"
                    R"("Queued":0,"Running":0,"KvUsed":0,"KvTotal":0,)"
                    R"("Handles":0,"born":)" +
                        std::to_string(m_Born) + "}");
  }
  {
    const std::lock_guard Lock(m_Mutex);
    m_Arrivals.push_back({nowMs(), Router, RequestId, true});
  }
  const auto [Status, WorkMs] = m_Behave(Request);
  m_Log.line("worker " + m_Id + " runs " + RequestId + " from router r" +
             std::to_string(Router + 1));
  for (const long Until = nowMs() + WorkMs; nowMs() < Until;) {
    sleepMs(std::min<long>(5, Until - nowMs()));
    if (peerClosed(Connection)) {
      m_Log.line("worker " + m_Id + " drops " + RequestId);
      return "";
    }
  }
  if (Status == 0) { // it has run, and its answer is lost
    m_Log.line("worker " + m_Id + " loses its answer to " + RequestId);
    return "";
  }
  State.emplace_back("X-Mimosadale-Server-Seal", m_Id + ".1");
  return response(Status, State, m_Id + " did " + RequestId);
}

Router::Router(Record &Log, const std::string &Name, const std::string &Zone,
               const std::string &StoreAddress, const std::string &Folder,
               const std::string &Ip, const std::string &Slack)
    : m_Log(Log), m_Name(Name), m_Folder(Folder) {
  std::ifstream In("deploy/node.toml");
  std::string Text((std::istreambuf_iterator<char>(In)), {});
  m_Front = Ip + ":" + std::to_string(freePort(Ip));
  m_Readiness = Ip + ":" + std::to_string(freePort(Ip));
  const std::map<std::string, std::string> Fields{
      {"NodeName", Name},
      {"Zone", Zone},
      {"Ip", Ip},
      {"Listen.Front", m_Front},
      {"Listen.Readiness", m_Readiness},
      {"PortRange.0", std::to_string(freePort(Ip))},
      {"PortRange.1", std::to_string(freePort(Ip))},
      {"Bounds.GraceS", "8"},
      {"Bounds.stall_ms", "2000"},
      {"Limits.MemoryMb", "260"},
      {"Limits.CpuShare", "0.25"},
      {"Platform.Address", StoreAddress},
      {"Bounds.RetryBudgetRatio", "0.2"},
      {"Bounds.BudgetSlack", Slack},
      {"Bounds.BudgetWindowS", "10"}};
  for (const auto &[Field, Value] : Fields) {
    const std::string Place = "{{" + Field + "}}";
    for (std::size_t Pos; (Pos = Text.find(Place)) != std::string::npos;)
      Text.replace(Pos, Place.size(), Value);
  }
  std::ofstream(Folder + "/" + Name + ".toml") << Text;
  launch();
}

void Router::launch() {
  const std::string File = m_Folder + "/" + m_Name + ".toml";
  const std::string LogFile = m_Folder + "/" + m_Name + ".log";
  m_Pid = ::fork();
  if (m_Pid == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int Out = ::open(LogFile.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
    ::dup2(Out, 1);
    ::dup2(Out, 2);
    ::execl("target/packages/mimosadale", "target/packages/mimosadale",
            "--forward", "--config", File.c_str(), nullptr);
    ::_exit(127);
  }
  m_Log.line("router " + m_Name + " starts");
}

void Router::restart() {
  ::kill(m_Pid, SIGKILL);
  ::waitpid(m_Pid, nullptr, 0);
  launch();
}

Router::~Router() {
  if (m_Pid > 0) {
    ::kill(m_Pid, SIGKILL);
    ::waitpid(m_Pid, nullptr, 0);
  }
}

bool Router::ready() const {
  return call(m_Readiness, "GET", "/v1/readiness", {}, "", 500).status() == 200;
}

bool Router::waitReady(long Ms) const {
  for (const long Until = nowMs() + Ms; nowMs() < Until; sleepMs(50))
    if (ready())
      return true;
  return false;
}

void Router::signal(int Number) {
  m_Log.line("router " + m_Name + " gets signal " + std::to_string(Number));
  if (m_Pid > 0)
    ::kill(m_Pid, Number);
}

Message call(const std::string &Address, const std::string &Method,
             const std::string &Target, const Headers &Extra,
             const std::string &Body, long TimeoutMs) {
  Message Answer;
  const std::size_t Colon = Address.rfind(':');
  const sockaddr_in To = makeAddress(
      Address.substr(0, Colon),
      static_cast<unsigned short>(std::atoi(Address.c_str() + Colon + 1)));
  const int Fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (::connect(Fd, reinterpret_cast<const sockaddr *>(&To), sizeof(To)) == 0) {
    std::string Text = Method + " " + Target + " HTTP/1.1\r\n";
    for (const auto &[Name, Value] : Extra)
      Text += Name + ": " + Value + "\r\n";
    if (!Body.empty() || Method == "POST")
      Text += "Content-Length: " + std::to_string(Body.size()) + "\r\n";
    std::string Buffer;
    if (writeAll(Fd, Text + "\r\n" + Body))
      readMessage(Fd, Buffer, Answer, true, nowMs() + TimeoutMs, nullptr);
  }
  ::close(Fd);
  return Answer;
}

bool withTrouble() {
  const char *Value = std::getenv("TROUBLE");
  return !Value || std::string(Value) != "0";
}

std::string caseFolder() {
  const char *Value = std::getenv("CASE_FOLDER");
  return Value ? Value : ".";
}

std::string temporaryFolder() {
  const char *Value = std::getenv("CASE_TMP");
  return Value ? Value : "/tmp";
}

} // namespace review
