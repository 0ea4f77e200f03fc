#include "platform/estate.h"

#include "harness/harness.h"
#include "platform/names.h"
#include "store/digest.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/url.hpp>

namespace mimosadale::tests {

namespace asio = boost::asio;
namespace json = boost::json;
using namespace std::chrono_literals;

namespace {

constexpr unsigned Layers = 12;
constexpr auto StallTime = 1500ms;
constexpr auto DribblePause = 100ms;

net::HttpResponse jsonAnswer(unsigned Status, const json::object &Body) {
  return {
      Status, {{"Content-Type", "application/json"}}, json::serialize(Body)};
}

net::HttpResponse notRun(unsigned Status, const std::string &At) {
  return {
      Status,
      {{platform::NotExecutedHeader, "1"}, {platform::FaultAddressHeader, At}},
      ""};
}

std::string parameter(const std::string &Target, const std::string &Name) {
  const boost::urls::url_view View(Target);
  const auto Found = View.params().find(Name);
  return Found == View.params().end() ? "" : std::string((*Found).value);
}

std::string header(const net::HttpRequest &Of, const char *Name) {
  return net::findHeader(Of.m_Headers, Name);
}

} // namespace

Estate::Estate() {
  const std::lock_guard Lock(m_Mutex);
  for (Listener &Each : m_Listeners)
    Each.m_Server = serve([this, &Each](net::HttpExchange &Exchange) {
      return handleStore(Each, Exchange);
    });
  m_Routes = {json::object{{"Name", "guide"},
                           {"Host", harness::ownIp()},
                           {"Prefix", "/guide/"},
                           {"RouteType", "streaming"},
                           {"TimeoutMs", 20000},
                           {"TargetLatencyMs", 500},
                           {"Service", "llm"},
                           {"MaxAttempts", 3},
                           {"StreamResume", true},
                           {"GapTargetMs", 200}},
              json::object{{"Name", "book"},
                           {"Host", harness::ownIp()},
                           {"Prefix", "/book/"},
                           {"RouteType", "non_idempotent"},
                           {"TimeoutMs", 2000},
                           {"Service", "booking"},
                           {"MaxAttempts", 1}},
              json::object{{"Name", "look"},
                           {"Host", harness::ownIp()},
                           {"Prefix", "/look/"},
                           {"RouteType", "idempotent"},
                           {"TimeoutMs", 2000},
                           {"Service", "booking"},
                           {"MaxAttempts", 2}}};
  m_Thread = std::thread([this] {
    const auto Work = asio::make_work_guard(m_Io);
    m_Io.run();
  });
}

Estate::~Estate() {
  m_Io.stop();
  m_Thread.join();
  *m_Alive = false;
}

std::string Estate::store(std::size_t Listener) const {
  return "127.0.0.1:" + std::to_string(m_Listeners[Listener].m_Server->port());
}

std::unique_ptr<net::HttpServer>
Estate::serve(std::function<Task(net::HttpExchange &)> Handle) {
  net::ServerHooks Hooks;
  Hooks.m_Handle = std::move(Handle);
  Hooks.m_MakeRefusal = [](net::ServerRefusal) {
    return net::HttpResponse{400, {}, ""};
  };
  auto Server = std::make_unique<net::HttpServer>(m_Io.get_executor(),
                                                  net::Address{"127.0.0.1", 0},
                                                  net::ServerLimits(), Hooks);
  Server->start();
  return Server;
}

Estate::Endpoint &Estate::add(const std::string &Id,
                              const std::string &Service) {
  auto Made = std::make_unique<Endpoint>();
  Made->m_Id = Id;
  Made->m_Service = Service;
  Made->m_Server = serve([this, At = Made.get()](net::HttpExchange &Exchange) {
    return handleEndpoint(*At, Exchange);
  });
  return *(m_Endpoints[Id] = std::move(Made));
}

void Estate::addEngine(const std::string &Id, const std::string &Centre,
                       const std::string &Kind) {
  const std::lock_guard Lock(m_Mutex);
  Endpoint &Made = add(Id, "llm");
  Made.m_Centre = Centre;
  Made.m_Kind = Kind;
  publish(Made);
}

void Estate::addService(const std::string &Id, const std::string &Service) {
  const std::lock_guard Lock(m_Mutex);
  Endpoint &Made = add(Id, Service);
  Made.m_Centre = "fukuoka";
  publish(Made);
}

void Estate::publish(const Endpoint &Of) {
  json::object Entry{{"Service", Of.m_Service},
                     {"Address", Of.address()},
                     {"Zone", Of.m_Centre},
                     {"Version", "v1"},
                     {"Slots", 192},
                     {"Sequence", Of.m_Orders},
                     {"State", Of.m_Leaving ? "draining" : "ready"}};
  if (!Of.m_Kind.empty())
    Entry["RouteType"] = Of.m_Kind;
  if (Of.m_Layers.m_End > 0)
    Entry["Layers"] = {{"From", Of.m_Layers.m_First},
                       {"Target", Of.m_Layers.m_End},
                       {"Version", 1}};
  put(platform::RegistryTable, Of.m_Id, json::serialize(Entry));
}

void Estate::addRoute(const json::object &Route) {
  const std::lock_guard Lock(m_Mutex);
  m_Routes.push_back(Route);
}

void Estate::setKeys(const std::vector<std::string> &Keys) {
  const std::lock_guard Lock(m_Mutex);
  m_Keys = Keys;
}

void Estate::configure(std::uint64_t Version) {
  const std::lock_guard Lock(m_Mutex);
  const json::object Engine{
      {"Slots", 192},
      {"KvTokenBytes", 1200000},
      {"Layers", Layers},
      {"LayerMb", 1000.0},
      {"step_ms", 1.0},
      {"read_per_s", 1e6},
      {"loads_at_once", 6},
      {"Models", json::array{json::object{{"Name", "m"}, {"LoadS", 0.2}}}},
      {"Kinds",
       json::array{json::object{{"Name", "big"}, {"SizeMb", 8000.0}}}}};
  const json::object Body{
      {"Version", Version},
      {"Routes", m_Routes},
      {"Services",
       json::array{json::object{{"Name", "llm"}, {"Engine", Engine}},
                   json::object{{"Name", "booking"}}}},
      {"Tenants",
       json::array{json::object{{"Name", "counter"},
                                {"ApiKeys", json::value_from(m_Keys)}}}}};
  put(platform::OperatorTable, platform::ConfigKey, json::serialize(Body));
}

void Estate::put(const std::string &Table, const std::string &Key,
                 const std::string &Value) {
  const std::lock_guard Lock(m_Mutex);
  m_Tables[Table][Key] = {Value, ++m_Version, false};
}

void Estate::silence(const std::string &Id) {
  const std::lock_guard Lock(m_Mutex);
  m_Endpoints.at(Id)->m_Silent = true;
}

void Estate::wake(const std::string &Id) {
  const std::lock_guard Lock(m_Mutex);
  m_Endpoints.at(Id)->m_Silent = false;
}

int Estate::streams() {
  const std::lock_guard Lock(m_Mutex);
  return static_cast<int>(m_Streams.size());
}

void Estate::reuseAddress(const std::string &Id, const std::string &FreshId) {
  const std::lock_guard Lock(m_Mutex);
  m_Endpoints.at(Id)->m_Id = FreshId;
}

void Estate::drain(const std::string &Id) {
  const std::lock_guard Lock(m_Mutex);
  m_Endpoints.at(Id)->m_Leaving = true;
  publish(*m_Endpoints.at(Id));
}

void Estate::sayLeaving(const std::string &Id) {
  const std::lock_guard Lock(m_Mutex);
  m_Endpoints.at(Id)->m_SaysLeaving = true;
}

void Estate::dropEntry(const std::string &Id) {
  const std::lock_guard Lock(m_Mutex);
  Row &Of = m_Tables[platform::RegistryTable][Id];
  Of = {Of.m_Value, ++m_Version, true};
}

void Estate::publishAgain(const std::string &Id) {
  const std::lock_guard Lock(m_Mutex);
  publish(*m_Endpoints.at(Id));
}

void Estate::refuseFor(const std::string &Id, std::chrono::seconds Pause) {
  const std::lock_guard Lock(m_Mutex);
  m_Endpoints.at(Id)->m_RefusesFor = Pause;
}

int Estate::arrivals(const std::string &Id) {
  const std::lock_guard Lock(m_Mutex);
  return m_Endpoints.at(Id)->m_Arrivals;
}

void Estate::breakStreams(const std::string &Id) {
  const std::lock_guard Lock(m_Mutex);
  Endpoint &At = *m_Endpoints.at(Id);
  At.m_RefusesFor = std::chrono::seconds(1);
  std::erase_if(m_Streams, [&](const auto &Each) {
    return Each.second.m_Path.front() == &At;
  });
}

void Estate::dribble(const std::string &Id) {
  const std::lock_guard Lock(m_Mutex);
  m_Endpoints.at(Id)->m_Dribbles = true;
}

void Estate::repeatAnswers(const std::string &Id,
                           std::chrono::milliseconds After) {
  const std::lock_guard Lock(m_Mutex);
  m_Endpoints.at(Id)->m_RepeatsAfter = After;
}

void Estate::loseAnswers(const std::string &Id, int Count) {
  const std::lock_guard Lock(m_Mutex);
  m_Endpoints.at(Id)->m_LostAnswers = Count;
}

int Estate::runs(const std::string &Request) {
  const std::lock_guard Lock(m_Mutex);
  return m_Runs[Request];
}

std::vector<std::string> Estate::violations() {
  const std::lock_guard Lock(m_Mutex);
  return m_Violations;
}

decide::LayerRange Estate::layers(const std::string &Id) {
  const std::lock_guard Lock(m_Mutex);
  return m_Endpoints.at(Id)->m_Layers;
}

std::vector<std::string> Estate::pathOf(const std::string &Request) {
  const std::lock_guard Lock(m_Mutex);
  return m_Paths[Request];
}

Estate::Task Estate::pause(std::chrono::milliseconds Time) {
  asio::steady_timer Timer(m_Io, Time);
  co_await Timer.async_wait(asio::use_awaitable);
}

json::object Estate::rowJson(const std::string &Table, const std::string &Key,
                             const Row &Of) const {
  json::object To{
      {"Table", Table}, {"part", ""}, {"Key", Key}, {"Ver", Of.m_Version}};
  if (Of.m_Dropped)
    To["Tombstone"] = true;
  else
    To["Value"] = store::encodeBase64(Of.m_Value);
  return To;
}

Estate::Task Estate::handleStore(Listener &At, net::HttpExchange &Exchange) {
  const net::HttpRequest &Request = Exchange.request();
  if (At.m_Mode == StoreMode::Silent) {
    while (At.m_Mode == StoreMode::Silent)
      co_await pause(20ms);
    Exchange.abort();
    co_return;
  }
  net::HttpResponse Answer{503, {}, ""};
  if (At.m_Mode == StoreMode::Serves || At.m_Mode == StoreMode::Withholds) {
    if (Request.m_Target.starts_with("/v1/rows-feed")) {
      co_await feed(At, Exchange);
      co_return;
    }
    Answer = Request.m_Target.starts_with("/v1/rows-get")
                 ? read(Request.m_Target)
                 : transact(Request.m_Body);
  }
  co_await Exchange.respond(std::move(Answer));
}

net::HttpResponse Estate::read(const std::string &Target) {
  const std::lock_guard Lock(m_Mutex);
  const std::string Table = parameter(Target, "Table");
  json::array Rows;
  for (const auto &[Key, Each] : m_Tables[Table])
    if (!Each.m_Dropped)
      Rows.push_back(rowJson(Table, Key, Each));
  return jsonAnswer(200, {{"Rows", Rows},
                          {"HasMore", false},
                          {"Ver", m_Version},
                          {"NowMs", 1000}});
}

void Estate::setStore(StoreMode Mode, std::size_t Listener) {
  const std::lock_guard Lock(m_Mutex);
  m_Listeners[Listener].m_WithholdsSince = m_Version;
  m_Listeners[Listener].m_Mode = Mode;
}

Estate::Task Estate::feed(Listener &At, net::HttpExchange &Exchange) {
  const std::string Target = Exchange.request().m_Target;
  const std::string Table = parameter(Target, "Table");
  const std::uint64_t After = std::stoull(parameter(Target, "After"));
  const auto End =
      std::chrono::steady_clock::now() +
      std::chrono::milliseconds(std::stoul(parameter(Target, "WaitMs")));
  json::array Rows;
  std::uint64_t Version = 0;
  while (true) {
    {
      const std::lock_guard Lock(m_Mutex);
      for (const auto &[Key, Each] : m_Tables[Table])
        if (Each.m_Version > After)
          Rows.push_back(rowJson(Table, Key, Each));
      Version = m_Version;
    }
    const bool Withholds = At.m_Mode == StoreMode::Withholds;
    if (Withholds)
      Version = At.m_WithholdsSince;
    if ((!Rows.empty() && !Withholds) ||
        std::chrono::steady_clock::now() > End ||
        (At.m_Mode != StoreMode::Serves && !Withholds))
      break;
    Rows.clear();
    co_await pause(5ms);
  }
  net::HttpResponse Answer =
      jsonAnswer(200, {{"Rows", Rows}, {"Ver", Version}, {"NowMs", 1000}});
  co_await Exchange.respond(std::move(Answer));
}

net::HttpResponse Estate::transact(const std::string &Body) {
  const std::lock_guard Lock(m_Mutex);
  const json::object From = json::parse(Body).as_object();
  json::array Present;
  bool Fits = true;
  for (const json::value &Each : From.at("Precondition").as_array()) {
    const std::string Table(Each.at("Table").as_string());
    const std::string Key(Each.at("Key").as_string());
    const Row &Now = m_Tables[Table][Key];
    Fits &= Now.m_Version == Each.at("Ver").to_number<std::uint64_t>();
    if (Now.m_Version > 0)
      Present.push_back(rowJson(Table, Key, Now));
    else
      m_Tables[Table].erase(Key);
  }
  if (!Fits)
    return jsonAnswer(412, {{"Rows", Present}, {"Ver", m_Version}});
  ++m_Version;
  for (const json::value &Each : From.at("SetKeys").as_array())
    m_Tables[std::string(Each.at("Table").as_string())]
            [std::string(Each.at("Key").as_string())] = {
                store::decodeBase64(std::string(Each.at("Value").as_string())),
                m_Version, false};
  return jsonAnswer(200, {{"Ver", m_Version}, {"NowMs", 1000}});
}

Estate::Endpoint *Estate::byAddress(const std::string &Address) {
  for (const auto &[Id, Each] : m_Endpoints)
    if (Each->address() == Address)
      return Each.get();
  return nullptr;
}

Estate::Task Estate::handleEndpoint(Endpoint &At, net::HttpExchange &Exchange) {
  const net::HttpRequest &Request = Exchange.request();
  while (At.m_Silent)
    co_await pause(50ms);
  net::HttpResponse Answer;
  const std::string Expected = header(Request, platform::ExpectInstanceHeader);
  std::string Self;
  std::chrono::seconds Refuses{};
  {
    const std::lock_guard Lock(m_Mutex);
    Self = At.m_Id;
    Refuses = At.m_RefusesFor;
    ++At.m_Arrivals;
  }
  if (Refuses.count() > 0) {
    Answer = notRun(503, At.address());
    Answer.m_Headers.push_back(
        {platform::RetryAfterHeader, std::to_string(Refuses.count())});
  } else if (!Expected.empty() && Expected != Self) {
    Answer = notRun(421, At.address());
  } else if (Request.m_Target == platform::ReportPath) {
    Answer = At.m_Kind.empty() ? net::HttpResponse{404, {}, ""} : report(At);
  } else if (Request.m_Target == platform::OrderPath) {
    Answer = order(At, Request.m_Body);
  } else if (!At.m_Kind.empty()) {
    co_await stream(At, Exchange);
    co_return;
  } else {
    const std::string Id = header(Request, platform::RequestIdHeader);
    bool Lost = false;
    {
      const std::lock_guard Lock(m_Mutex);
      run(Id, {&At});
      Lost = At.m_LostAnswers > 0 && At.m_LostAnswers-- > 0;
    }
    if (Lost) {
      Exchange.abort();
      co_return;
    }
    Answer = {
        200,
        {{platform::RequestIdHeader, Id}, {platform::InstanceHeader, Self}},
        header(Request, platform::WorkspaceHeader) + " " + Request.m_Target +
            " " + Request.m_Body};
  }
  co_await answer(At, Exchange, std::move(Answer));
}

void Estate::mark(const Endpoint &At, net::HttpResponse &Answer) {
  const std::lock_guard Lock(m_Mutex);
  if (At.m_SaysLeaving)
    Answer.m_Headers.push_back({platform::LeavingHeader, "1"});
}

// The next request on the connection is read after the copy.
Estate::Task Estate::answer(Endpoint &At, net::HttpExchange &Exchange,
                            net::HttpResponse Answer) {
  mark(At, Answer);
  std::chrono::milliseconds RepeatsAfter{};
  {
    const std::lock_guard Lock(m_Mutex);
    RepeatsAfter = At.m_RepeatsAfter;
  }
  net::HttpResponse Copy = Answer;
  co_await Exchange.respond(std::move(Answer));
  if (RepeatsAfter.count() == 0)
    co_return;
  co_await pause(RepeatsAfter);
  co_await Exchange.respond(std::move(Copy));
}

net::HttpResponse Estate::report(const Endpoint &At) {
  const std::lock_guard Lock(m_Mutex);
  json::array Stalled;
  for (const auto &[Number, Each] : m_Streams)
    if (Each.m_Path.front() == &At && !Each.m_WaitsFor.empty())
      Stalled.push_back(
          json::object{{"Id", Each.m_Request}, {"Address", Each.m_WaitsFor}});
  return jsonAnswer(200, {{"Busy", false},
                          {"Sequence", At.m_Orders},
                          {"Queued", 0},
                          {"Running", 0},
                          {"KvUsed", 0},
                          {"KvTotal", m_Memory.load()},
                          {"Stalled", Stalled}});
}

net::HttpResponse Estate::order(Endpoint &At, const std::string &Body) {
  const std::lock_guard Lock(m_Mutex);
  const json::object From = json::parse(Body).as_object();
  return From.at("Operation").as_string() == "repath" ? repath(At, From)
                                                      : place(At, From);
}

net::HttpResponse Estate::place(Endpoint &At, const json::object &From) {
  const auto Fence = From.at("FencingToken").to_number<std::uint64_t>();
  if (Fence < At.m_Fence)
    return {412, {}, ""};
  At.m_Fence = Fence;
  const decide::LayerRange Wanted{From.at("From").to_number<std::uint32_t>(),
                                  From.at("Target").to_number<std::uint32_t>()};
  if (Wanted.m_End - Wanted.m_First > 8)
    m_Violations.push_back("more layers than fit on " + At.m_Id);
  if (At.m_Layers == Wanted)
    return {200, {}, ""};
  At.m_Layers = Wanted;
  ++At.m_Orders;
  publish(At);
  return {202, {}, ""};
}

net::HttpResponse Estate::repath(Endpoint &At, const json::object &From) {
  const std::string Id(From.at("Id").as_string());
  const auto Running =
      std::find_if(m_Streams.begin(), m_Streams.end(), [&](const auto &Each) {
        return Each.second.m_Request == Id && Each.second.m_Path.front() == &At;
      });
  if (Running == m_Streams.end())
    return {404, {}, ""};
  std::vector<Endpoint *> Path;
  const auto Bad = badPart(At, std::string(From.at("Path").as_string()), Path,
                           Running->second.m_Path);
  if (Bad || !m_Repairs)
    return jsonAnswer(
        409, {{"Address", Bad ? net::findHeader(Bad->m_Headers,
                                                platform::FaultAddressHeader)
                              : At.address()}});
  Running->second.m_Path = Path;
  return {200, {}, ""};
}

// Reads a path. \p Kept are engines through which the stream passes already.
// \returns the refusal if a part of it cannot serve.
std::optional<net::HttpResponse>
Estate::badPart(const Endpoint &At, const std::string &Whole,
                std::vector<Endpoint *> &Path,
                const std::vector<Endpoint *> &Kept) {
  std::string Text = Whole;
  std::uint32_t Next = 0;
  while (!Text.empty()) {
    const std::string Part = Text.substr(0, Text.find(','));
    Text.erase(0, std::min(Text.size(), Part.size() + 1));
    const std::size_t Equals = Part.find('=');
    const std::size_t Dash = Part.find('-', Equals);
    const auto First = std::stoul(Part.substr(Equals + 1, Dash - Equals - 1));
    const auto End = std::stoul(Part.substr(Dash + 1));
    Endpoint *Engine = byAddress(Part.substr(0, Equals));
    // An engine that gives layers up goes on with what passes through them.
    const bool Keeps =
        std::find(Kept.begin(), Kept.end(), Engine) != Kept.end();
    if (!Engine || (!Keeps && (First < Engine->m_Layers.m_First ||
                               End > Engine->m_Layers.m_End)))
      return notRun(421, Part.substr(0, Equals));
    if (First != Next)
      m_Violations.push_back("layers out of order: " + Whole);
    Next = static_cast<std::uint32_t>(End);
    Path.push_back(Engine);
  }
  if (Next != Layers || Path.front() != &At)
    m_Violations.push_back("path does not run every layer");
  for (const Endpoint *Each : Path)
    if (Each->m_Silent)
      return notRun(503, Each->address());
  return std::nullopt;
}

// Why the path cannot serve the request, if it cannot.
std::optional<net::HttpResponse>
Estate::refusal(const Endpoint &At, const net::HttpRequest &Request,
                std::vector<Endpoint *> &Path) {
  return badPart(At, header(Request, platform::PathHeader), Path, {});
}

// Whether the stream waits for a silent engine.
bool Estate::stalled(int Number) {
  const std::lock_guard Lock(m_Mutex);
  const auto At = m_Streams.find(Number);
  if (At == m_Streams.end())
    return false;
  std::string &WaitsFor = At->second.m_WaitsFor;
  WaitsFor.clear();
  for (const Endpoint *Each : At->second.m_Path)
    if (Each->m_Silent)
      WaitsFor = Each->address();
  return !WaitsFor.empty();
}

bool Estate::dribbles(const Endpoint &At) {
  const std::lock_guard Lock(m_Mutex);
  return At.m_Dribbles;
}

// Whether the stream's caller is still there.
bool Estate::atWork(int Number) {
  const std::lock_guard Lock(m_Mutex);
  return m_Streams.contains(Number);
}

void Estate::run(const std::string &Request,
                 const std::vector<Endpoint *> &Path) {
  ++m_Runs[Request];
  m_Paths[Request].clear();
  for (const Endpoint *Each : Path)
    m_Paths[Request].push_back(Each->m_Id);
}

Estate::Task Estate::stream(Endpoint &At, net::HttpExchange &Exchange) {
  const net::HttpRequest Request = Exchange.request();
  const std::string Id = header(Request, platform::RequestIdHeader);
  std::vector<Endpoint *> Path;
  std::optional<net::HttpResponse> Refused;
  int Number = 0;
  {
    const std::lock_guard Lock(m_Mutex);
    Refused = refusal(At, Request, Path);
    if (!Refused) {
      run(Id, Path);
      m_Streams[Number = ++m_NextStream] = {Id, Path, ""};
    }
  }
  if (Refused) {
    net::HttpResponse Answer = std::move(*Refused);
    co_await answer(At, Exchange, std::move(Answer));
    co_return;
  }
  const auto End = [this, Number, Alive = m_Alive] {
    if (!*Alive)
      return;
    const std::lock_guard Lock(m_Mutex);
    m_Streams.erase(Number);
  };
  const std::shared_ptr<void> AtWork(nullptr, [End](void *) { End(); });
  Exchange.watchCaller(End);
  const std::string Counts = header(Request, platform::TokenCountHeader);
  const unsigned Most =
      static_cast<unsigned>(std::stoul(Counts.substr(Counts.find(',') + 1)));
  const std::string Last = header(Request, platform::LastEventHeader);
  net::HttpResponse Head{200,
                         {{"Content-Type", "text/event-stream"},
                          {platform::RequestIdHeader, Id},
                          {platform::InstanceHeader, Path.front()->m_Id}},
                         ""};
  mark(At, Head);
  co_await Exchange.startStream(std::move(Head));
  for (unsigned I = Last.empty() ? 1 : std::stoul(Last) + 1; I <= Most; ++I) {
    co_await pause(m_Pause.load());
    const auto StalledSince = std::chrono::steady_clock::now();
    while (stalled(Number)) {
      if (std::chrono::steady_clock::now() - StalledSince > StallTime) {
        Exchange.abort();
        co_return;
      }
      co_await pause(10ms);
    }
    if (!atWork(Number)) {
      Exchange.abort();
      co_return;
    }
    if (dribbles(At)) {
      std::string Comment = ":";
      co_await Exchange.write(std::move(Comment));
      co_await pause(DribblePause);
      --I;
      continue;
    }
    std::string Event = "id: " + std::to_string(I) + "\ndata: token " +
                        std::to_string(I) + "\n\n";
    co_await Exchange.write(std::move(Event));
  }
  co_await Exchange.finish();
}

} // namespace mimosadale::tests
