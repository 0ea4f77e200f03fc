// Model workers in chains, as PROTOCOL.md describes them: a stream passes
// through the workers of its path, and stalls when one of them is gone.
#ifndef REVIEW_MODELS_H
#define REVIEW_MODELS_H

#include "rig.h"

#include <algorithm>
#include <cerrno>

namespace rig {

constexpr unsigned ModelLayers = 12;
constexpr double StallS = 2.0;      // `stall_ms` of the sheet
constexpr double ExpiryS = 3.6;     // three heartbeats of 1,200 ms
constexpr double StableWindowS = 3; // `StableWindowMs` of the sheet

struct Hop {
  std::string m_Address;
  unsigned m_From = 0;
  unsigned m_Target = 0;
};

inline std::vector<Hop> parsePath(const std::string &Text) {
  std::vector<Hop> Path;
  std::size_t At = 0;
  while (At < Text.size()) {
    const std::size_t End = std::min(Text.find(',', At), Text.size());
    const std::string Part = Text.substr(At, End - At);
    const std::size_t Equals = Part.find('=');
    const std::size_t Dash = Part.find('-', Equals);
    if (Equals != std::string::npos && Dash != std::string::npos)
      Path.push_back(
          {Part.substr(0, Equals),
           static_cast<unsigned>(
               std::stoul(Part.substr(Equals + 1, Dash - Equals - 1))),
           static_cast<unsigned>(std::stoul(Part.substr(Dash + 1)))});
    At = End + 1;
  }
  return Path;
}

// The shared parts of a prompt: all but the last one.
inline std::vector<std::string> sharedParts(const std::string &Text) {
  std::vector<std::string> Parts;
  std::size_t At = 0;
  for (std::size_t Comma; (Comma = Text.find(',', At)) != std::string::npos;
       At = Comma + 1)
    Parts.push_back(Text.substr(At, Text.find(':', At) - At));
  return Parts;
}

enum class Victim { First, Last };

class Models {
public:
  explicit Models(Store &Platform) : m_Store(Platform) {}

  // Requests with this part crash a worker: the one that the request was sent
  // to, or the one that writes the tokens, the last of its path.
  // \p Events are written before the worker crashes.
  void setDeadly(const std::string &Part, Victim Which, unsigned Events = 0) {
    const std::lock_guard Lock(m_Mutex);
    m_Deadly = Part;
    m_Victim = Which;
    m_EventsBefore = Events;
  }
  // Which part is watched, deadly or not.
  void watch(const std::string &Part) { m_Watched = Part; }

  void add(const std::string &Zone) {
    const std::lock_guard Lock(m_Mutex);
    addLocked(Zone);
  }
  // Layers that the workers of a zone hold together.
  bool covered() {
    const std::lock_guard Lock(m_Mutex);
    std::map<std::string, std::set<unsigned>> Held;
    std::set<std::string> Zones;
    for (const auto &W : m_Workers) {
      if (!W->m_Alive)
        continue;
      Zones.insert(W->m_Zone);
      for (unsigned L = W->m_From; L < W->m_Target; ++L)
        Held[W->m_Zone].insert(L);
    }
    for (const std::string &Zone : Zones)
      if (Held[Zone].size() < ModelLayers)
        return false;
    return !Zones.empty();
  }
  std::string layersText() {
    const std::lock_guard Lock(m_Mutex);
    std::string Text;
    for (const auto &W : m_Workers)
      if (W->m_Alive)
        Text += W->m_Zone + " " + W->m_Id + "=" + std::to_string(W->m_From) +
                "-" + std::to_string(W->m_Target) + " ";
    return Text;
  }
  std::vector<double> crashes() {
    const std::lock_guard Lock(m_Mutex);
    return m_Crashes;
  }
  struct Arrival {
    double m_At;
    std::string m_Id;
    std::string m_Worker;
  };
  // Requests with the watched part, as they reached workers.
  std::vector<Arrival> arrivals() {
    const std::lock_guard Lock(m_Mutex);
    return m_Arrivals;
  }

  static json::object engine() {
    return {{"Slots", 192},
            {"KvTokenBytes", 590000},
            {"Layers", ModelLayers},
            {"LayerMb", 1750.0},
            {"ActivationBytes", 29500},
            {"Stride", 2},
            {"step_ms", 0.85},
            {"per_seq_ms", 0.00382},
            {"context_per_k", 0.00512},
            {"read_per_s", 196000.0},
            {"loads_at_once", 6},
            {"report_lag_ms", 200.0},
            {"usual", json::object{{"prompt", 772}, {"answer", 40}}},
            {"Models", json::array{json::object{
                           {"Name", "m0"}, {"pace", 1.0}, {"LoadS", 1.0}}}},
            {"Kinds", json::array{json::object{{"Name", "t4"},
                                               {"SizeMb", 14400.0},
                                               {"pace", 1.0},
                                               {"ReadX", 1.0}}}}};
  }

private:
  struct Worker {
    std::string m_Id, m_Zone;
    std::uint64_t m_Born = 0;
    std::unique_ptr<Server> m_Server;
    unsigned m_From = 0, m_Target = 0;
    std::uint64_t m_Sequence = 0, m_Fence = 0;
    double m_BusyUntil = 0;
    bool m_Alive = true;
    std::atomic<unsigned> m_Running = 0;
    std::string address() const { return m_Server->address(); }
  };
  struct Stream {
    std::vector<Hop> m_Path;
    std::string m_StalledAt; // address of the worker that it waits for
    Worker *m_First = nullptr;
  };

  void addLocked(const std::string &Zone) {
    auto W = std::make_shared<Worker>();
    W->m_Zone = Zone;
    W->m_Id = "i-" + std::to_string(1000 + ++m_Count);
    W->m_Born = 1796000000000ull + static_cast<std::uint64_t>(now() * 1000);
    W->m_Server =
        std::make_unique<Server>([this, Raw = W.get()](Message &R, Wire &C) {
          return handle(*Raw, R, C);
        });
    m_Workers.push_back(W); // never erased: handlers refer to it
    publish(*W);
  }
  void publish(const Worker &W) {
    json::object Entry{{"Service", "llm"},
                       {"Address", W.address()},
                       {"Zone", W.m_Zone},
                       {"Version", "v1"},
                       {"Slots", 192},
                       {"State", "ready"},
                       {"ColdRemainingMs", 0},
                       {"RouteType", "t4"},
                       {"Sequence", W.m_Sequence},
                       {"born", W.m_Born}};
    if (W.m_Target > W.m_From)
      Entry["Layers"] = json::object{
          {"From", W.m_From}, {"Target", W.m_Target}, {"Version", 1}};
    m_Store.put("servers", W.m_Id, json::serialize(Entry));
  }
  Worker *at(const std::string &Address) {
    for (const auto &W : m_Workers)
      if (W->m_Alive && W->address() == Address)
        return W.get();
    return nullptr;
  }
  // Ends the worker; another one takes its place some seconds later.
  void crash(Worker &W, const std::string &Why) {
    if (!W.m_Alive)
      return;
    W.m_Alive = false;
    W.m_Server->crash();
    m_Crashes.push_back(now());
    record().line("worker %s crashes (%s); crash number %zu", W.m_Id.c_str(),
                  Why.c_str(), m_Crashes.size());
    std::thread([this, Id = W.m_Id, Zone = W.m_Zone] {
      sleepS(2.5);
      add(Zone);
      sleepS(ExpiryS - 2.5);
      m_Store.drop("servers", Id);
    }).detach();
  }

  bool handle(Worker &W, Message &R, Wire &C) {
    const std::string Id = R.header("X-Mimosadale-Request-Id");
    Headers Fields{{"X-Mimosadale-Server-Seal", W.m_Id}};
    if (!Id.empty())
      Fields.emplace_back("X-Mimosadale-Request-Id", Id);
    if (!R.header("X-Mimosadale-Expect-Instance").empty() &&
        R.header("X-Mimosadale-Expect-Instance") != W.m_Id)
      return C.write(answerText(421, Fields, ""));
    if (R.target() == "/v1/report")
      return C.write(
          answerText(200, {{"Content-Type", "application/json"}}, report(W)));
    if (R.target() == "/v1/order")
      return order(W, R, C);
    return stream(W, R, C, Fields);
  }

  std::string report(Worker &W) {
    const std::lock_guard Lock(m_Mutex);
    const unsigned Held = W.m_Target - W.m_From;
    const double Total =
        (14400.0 - Held * 1750.0) * 1e6 / (590000.0 / ModelLayers);
    json::array Stalled;
    for (const auto &[Id, S] : m_Streams)
      if (S.m_First == &W && !S.m_StalledAt.empty())
        Stalled.push_back(json::object{{"Id", Id.substr(0, Id.find('@'))},
                                       {"Address", S.m_StalledAt}});
    json::object Body{{"Stage", "hybrid"},
                      {"Busy", now() < W.m_BusyUntil},
                      {"Sequence", W.m_Sequence},
                      {"Queued", 0},
                      {"Running", W.m_Running.load()},
                      {"KvUsed", W.m_Running * 900.0 * Held},
                      {"KvTotal", Total},
                      {"Handles", 0},
                      {"RouteType", "t4"},
                      {"pace", 1},
                      {"Stalled", Stalled},
                      {"born", W.m_Born}};
    if (Held > 0)
      Body["Layers"] = json::object{
          {"From", W.m_From}, {"Target", W.m_Target}, {"Version", 1}};
    return json::serialize(Body);
  }

  bool order(Worker &W, Message &R, Wire &C) {
    const json::object Call = json::parse(R.m_Body).as_object();
    unsigned Status = 400;
    json::object Body;
    std::unique_lock Lock(m_Mutex);
    if (Call.at("Operation").as_string() == "place") {
      const auto Fence =
          Call.contains("FencingToken")
              ? Call.at("FencingToken").to_number<std::uint64_t>()
              : 0;
      const auto From = Call.at("From").to_number<unsigned>();
      const auto Target = Call.at("Target").to_number<unsigned>();
      if (Fence < W.m_Fence) {
        Status = 412;
      } else if (now() < W.m_BusyUntil) {
        Status = 409;
      } else if (W.m_From == From && W.m_Target == Target) {
        Status = 200;
      } else {
        Status = 202;
        W.m_Fence = Fence;
        ++W.m_Sequence;
        W.m_BusyUntil = now() + 0.2;
        std::thread([this, &W, From, Target] {
          sleepS(0.2);
          const std::lock_guard Inner(m_Mutex);
          if (!W.m_Alive)
            return;
          W.m_From = From;
          W.m_Target = Target;
          publish(W);
        }).detach();
      }
    } else if (Call.at("Operation").as_string() == "repath") {
      const std::string Id(Call.at("Id").as_string());
      auto Known = m_Streams.end();
      for (auto It = m_Streams.begin(); It != m_Streams.end(); ++It)
        if (It->first.substr(0, It->first.find('@')) == Id &&
            It->second.m_First == &W)
          Known = It;
      const auto Path = parsePath(std::string(Call.at("Path").as_string()));
      if (Known == m_Streams.end()) {
        Status = 404;
      } else {
        Status = 200;
        for (const Hop &Part : Path) {
          const Worker *Next = at(Part.m_Address);
          if (!Next || Next->m_From > Part.m_From ||
              Next->m_Target < Part.m_Target) {
            Status = 409;
            Body["Address"] = Part.m_Address;
          }
        }
        if (Status == 200)
          Known->second.m_Path = Path;
      }
    }
    Lock.unlock();
    return C.write(answerText(Status, {{"Content-Type", "application/json"}},
                              json::serialize(Body)));
  }

  // The first worker of the path that is gone, or none.
  std::string goneOn(const std::vector<Hop> &Path) {
    for (const Hop &Part : Path)
      if (!at(Part.m_Address))
        return Part.m_Address;
    return "";
  }
  // Whether the caller has closed the connection: the request is dropped.
  static bool closed(Wire &C) {
    char Byte;
    const ssize_t N = ::recv(C.fd(), &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return N == 0 || (N < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
  }
  // Waits until all of the path is there, at most `StallS`, also for an order
  // of another path. \returns the address of the worker that is missing.
  std::string awaitPath(const std::string &Key, Wire &C) {
    const double End = now() + StallS;
    while (true) {
      {
        const std::lock_guard Lock(m_Mutex);
        Stream &S = m_Streams[Key];
        S.m_StalledAt = goneOn(S.m_Path);
        if (S.m_StalledAt.empty() || now() > End || closed(C))
          return S.m_StalledAt;
      }
      sleepS(0.01);
    }
  }

  bool stream(Worker &W, Message &R, Wire &C, Headers Fields) {
    const std::string Id = R.header("X-Mimosadale-Request-Id");
    // The same request may come twice to one worker.
    const std::string Key = Id + "@" + std::to_string(++m_StreamCount);
    std::vector<Hop> Path = parsePath(R.header("X-Mimosadale-Hop-Count"));
    if (Path.empty())
      Path = {{W.address(), 0, ModelLayers}};
    const auto Parts = sharedParts(R.header("X-Mimosadale-Prompt-Prefix"));
    const auto Has = [&](const std::string &Part) {
      return !Part.empty() &&
             std::find(Parts.begin(), Parts.end(), Part) != Parts.end();
    };
    bool Deadly = false;
    {
      const std::lock_guard Lock(m_Mutex);
      if (Has(m_Watched)) {
        m_Arrivals.push_back({now(), Id, W.m_Id});
        record().line("request %s with the part reaches worker %s", Id.c_str(),
                      W.m_Id.c_str());
      }
      Deadly = Has(m_Deadly);
      for (const Hop &Part : Path) {
        const Worker *Next = at(Part.m_Address);
        if (Next &&
            (Next->m_From > Part.m_From || Next->m_Target < Part.m_Target)) {
          Fields.emplace_back("X-Mimosadale-Not-Executed", "1");
          Fields.emplace_back("At-Server", Part.m_Address);
          return C.write(answerText(421, Fields, ""));
        }
      }
      m_Streams[Key] = {Path, "", &W};
    }
    ++W.m_Running;
    const bool GoesOn = write(W, R, C, Fields, Id, Key, Deadly);
    --W.m_Running;
    const std::lock_guard Lock(m_Mutex);
    m_Streams.erase(Key);
    return GoesOn;
  }

  // Reads the prompt, then writes the events.
  bool write(Worker &W, Message &R, Wire &C, Headers &Fields,
             const std::string &Id, const std::string &Key, bool Deadly) {
    unsigned Next = 1;
    if (!R.header("Last-Event-Id").empty())
      Next = static_cast<unsigned>(std::stoul(R.header("Last-Event-Id"))) + 1;
    const std::string Size = R.header("X-Mimosadale-Token-Count");
    const auto Events =
        static_cast<unsigned>(std::stoul(Size.substr(Size.find(',') + 1)) / 2);
    sleepS(0.03);
    bool Begun = false;
    unsigned Written = 0;
    for (; Next <= Events; ++Next) {
      const std::string Missing = awaitPath(Key, C);
      if (!W.m_Alive || closed(C))
        return false;
      if (!Missing.empty()) {
        if (Begun)
          return false; // cut off
        Fields.emplace_back("X-Mimosadale-Not-Executed", "1");
        Fields.emplace_back("At-Server", Missing);
        return C.write(answerText(503, Fields, ""));
      }
      if (Deadly && Written == m_EventsBefore) {
        const std::lock_guard Lock(m_Mutex);
        const auto &Path = m_Streams[Key].m_Path;
        Worker *Hit =
            m_Victim == Victim::First ? &W : at(Path.back().m_Address);
        if (Hit)
          crash(*Hit, "writes on the part for " + Id);
        if (!W.m_Alive)
          return false;
        --Next;
        continue; // waits for the worker that is gone
      }
      std::string Text;
      if (!Begun) {
        Text = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
               "Transfer-Encoding: chunked\r\n";
        for (const auto &[Name, Value] : Fields)
          Text += Name + ": " + Value + "\r\n";
        Text += "\r\n";
        Begun = true;
      }
      const std::string Event = "id: " + std::to_string(Next) + "\ndata: t" +
                                std::to_string(Next) + "\n\n";
      char Length[16];
      std::snprintf(Length, sizeof(Length), "%zx\r\n", Event.size());
      if (!C.write(Text + Length + Event + "\r\n"))
        return false;
      ++Written;
      sleepS(0.02);
    }
    return C.write("0\r\n\r\n");
  }

  Store &m_Store;
  std::mutex m_Mutex;
  std::vector<std::shared_ptr<Worker>> m_Workers;
  std::map<std::string, Stream> m_Streams;
  std::string m_Deadly, m_Watched;
  Victim m_Victim = Victim::First;
  unsigned m_EventsBefore = 0;
  std::vector<double> m_Crashes;
  std::vector<Arrival> m_Arrivals;
  unsigned m_Count = 0;
  std::atomic<unsigned> m_StreamCount = 0;
};

// A client's stream request.
struct StreamResult {
  unsigned m_Status = 0;
  bool m_Complete = false;
  unsigned m_Events = 0;
};

inline StreamResult askStream(unsigned short Port, const std::string &Id,
                              const std::string &Parts, unsigned Events,
                              const std::string &Key = "key1") {
  const Reply Got =
      call(Port, "POST", "/guide/a",
           {{"Host", "a.example"},
            {"X-Mimosadale-Request-Id", Id},
            {"X-Mimosadale-Deadline-Ms", "20000"},
            {"X-Mimosadale-Model", "m0"},
            {"X-Mimosadale-Token-Count", "800," + std::to_string(2 * Events)},
            {"X-Mimosadale-Prompt-Prefix", Parts},
            {"Authorization", "Bearer " + Key}},
           "prompt of " + Id, 5);
  StreamResult Result;
  Result.m_Status = Got.m_Status;
  for (std::size_t At = 0;
       (At = Got.m_Body.find("\n\n", At)) != std::string::npos; At += 2)
    ++Result.m_Events;
  Result.m_Complete =
      Got.m_Status == 200 && Got.m_Whole && Result.m_Events == Events;
  return Result;
}

// The configuration: a stream that may be resumed, and two plain routes.
inline std::string configText(unsigned Version) {
  return json::serialize(json::object{
      {"Version", Version},
      {"Routes", json::array{json::object{{"Name", "guide"},
                                          {"Host", "a.example"},
                                          {"Prefix", "/guide/"},
                                          {"RouteType", "streaming"},
                                          {"TimeoutMs", 20000},
                                          {"TargetLatencyMs", 500},
                                          {"Priority", 1},
                                          {"Service", "llm"},
                                          {"MaxAttempts", 2},
                                          {"Public", false},
                                          {"StreamResume", true},
                                          {"SessionAffinity", true},
                                          {"GapTargetMs", 200}},
                             json::object{{"Name", "book"},
                                          {"Host", "a.example"},
                                          {"Prefix", "/book/"},
                                          {"RouteType", "non_idempotent"},
                                          {"TimeoutMs", 2500},
                                          {"TargetLatencyMs", 150},
                                          {"Priority", 2},
                                          {"Service", "app"},
                                          {"MaxAttempts", 2},
                                          {"Public", false}},
                             json::object{{"Name", "look"},
                                          {"Host", "a.example"},
                                          {"Prefix", "/look/"},
                                          {"RouteType", "idempotent"},
                                          {"TimeoutMs", 2500},
                                          {"TargetLatencyMs", 150},
                                          {"Priority", 2},
                                          {"Service", "app"},
                                          {"MaxAttempts", 2},
                                          {"Public", false}}}},
      {"Services", json::array{json::object{{"Name", "llm"},
                                            {"HealthCheckPath", "/health"},
                                            {"MaxConnections", 968},
                                            {"Engine", Models::engine()}},
                               json::object{{"Name", "app"},
                                            {"HealthCheckPath", "/health"},
                                            {"MaxConnections", 96}}}},
      {"Limits", json::object{{"MaxHeaderBytes", 16384},
                              {"MaxBodyBytes", 4194304},
                              {"HeaderTimeoutMs", 3000},
                              {"IdleTimeoutMs", 15000}}},
      {"Tenants",
       json::array{
           json::object{{"Name", "t1"}, {"ApiKeys", json::array{"key1"}}},
           json::object{{"Name", "t2"}, {"ApiKeys", json::array{"key2"}}}}}});
}

} // namespace rig

#endif
