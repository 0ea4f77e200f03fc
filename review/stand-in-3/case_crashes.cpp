// Case: requests that crash each worker that begins to run them come again and
// again; what the routers remember of them costs ever more time, until they no
// longer answer the requests of another service in time.
#include "stand_in.h"

#include <csignal>
#include <fstream>

using namespace review;
namespace json = boost::json;

namespace {

constexpr unsigned RouterCount = 3;
constexpr unsigned Workers = 39;   // of the service that is crashed
constexpr long BackAfterMs = 2000; // a crashed worker is back
constexpr double CpuShare = 0.25;  // Limits.CpuShare
constexpr long TimeoutMs = 1200;   // of both routes
constexpr long LateMs = TimeoutMs + 500;
constexpr long CrashingMs = 95000; // deadly requests come for so long
constexpr long PerRouterMs = 60;   // one deadly request a router
const char *Ip = "127.0.0.1";

// A worker that begins to run a request under /guide/ and crashes on it.
class FragileWorker {
public:
  FragileWorker(Record &Log, Store &Platform, unsigned Number)
      : m_Log(Log), m_Platform(Platform), m_Id("g" + std::to_string(Number)),
        m_Born(bornNow()), m_Listener(Ip, [this](const Message &Request, int) {
          return handle(Request);
        }) {
    publish();
  }
  unsigned crashes() const { return m_Crashes; }
  bool isUp() const { return m_Up; }

private:
  static long long bornNow() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
  }
  void publish() {
    m_Platform.putWorker(
        m_Id,
        {{"Service", "guide-app"},
         {"Zone", "fukuoka"},
         {"Version", "v1"},
         {"Slots", 64},
         {"State", "ready"},
         {"ColdRemainingMs", 0},
         {"Sequence", 0},
         {"born", m_Born.load()}},
        std::vector<std::string>(RouterCount, m_Listener.address()));
  }
  std::string handle(const Message &Request) {
    const Headers Echo{
        {"X-Mimosadale-Request-Id", Request.header("X-Mimosadale-Request-Id")}};
    if (Request.target() == "/v1/report")
      return response(200, Echo,
                      "{\"Busy\":false,\"born\":" + std::to_string(m_Born) +
                          "}");
    sleepMs(20);
    if (!m_Fragile) {
      Headers Whole = Echo;
      Whole.emplace_back("X-Mimosadale-Server-Seal", m_Id + ".1");
      return response(200, Whole, "guide");
    }
    if (m_Up.exchange(false)) {
      ++m_Crashes;
      m_Log.line("worker " + m_Id + " crashes on " + Request.target());
      std::thread([this] {
        m_Listener.cut();
        sleepMs(BackAfterMs);
        m_Born = bornNow();
        m_Listener.restore();
        m_Up = true;
        publish();
      }).detach();
    }
    return "";
  }

  Record &m_Log;
  Store &m_Platform;
  std::string m_Id;
  const bool m_Fragile = withTrouble(); // else it serves those requests
  std::atomic<long long> m_Born;
  std::atomic<bool> m_Up{true};
  std::atomic<unsigned> m_Crashes{0};
  Listener m_Listener;
};

std::string configuration() {
  const auto Route = [](const char *Name, const char *Prefix, const char *Type,
                        int Attempts, const char *Service) {
    return json::object{{"Name", Name},           {"Host", "rental.example"},
                        {"Prefix", Prefix},       {"RouteType", Type},
                        {"TimeoutMs", TimeoutMs}, {"TargetLatencyMs", 150},
                        {"Priority", 2},          {"MaxAttempts", Attempts},
                        {"Service", Service}};
  };
  return json::serialize(json::object{
      {"Version", 3},
      {"Routes",
       json::array{
           Route("guide", "/guide/", "idempotent", 2, "guide-app"),
           Route("deposit", "/deposit/", "non_idempotent", 1, "booking-app")}},
      {"Services", json::array{json::object{{"Name", "guide-app"}},
                               json::object{{"Name", "booking-app"}}}},
      {"Limits", json::object{{"MaxHeaderBytes", 16384},
                              {"MaxBodyBytes", 4194304},
                              {"HeaderTimeoutMs", 3000},
                              {"IdleTimeoutMs", 15000}}}});
}

// Processor time of a process in microseconds.
long usedUs(pid_t Process) {
  std::ifstream In("/proc/" + std::to_string(Process) + "/schedstat");
  long long Ns = 0;
  In >> Ns;
  return static_cast<long>(Ns / 1000);
}

// Gives a process the share of a core that its machine has, as a quota for each
// tenth of a second.
void limitShare(pid_t Process, double Share, const std::atomic<bool> &Stop,
                std::atomic<long> &UsedMs) {
  const long Quota = static_cast<long>(Share * 100000);
  while (!Stop) {
    const long End = nowMs() + 100;
    const long Before = usedUs(Process);
    while (nowMs() < End && usedUs(Process) - Before < Quota)
      sleepMs(3);
    if (nowMs() < End) {
      ::kill(Process, SIGSTOP);
      sleepMs(End - nowMs());
      ::kill(Process, SIGCONT);
    }
    UsedMs = usedUs(Process) / 1000;
  }
}

} // namespace

int main() {
  Record Log(caseFolder() + "/record.txt");
  Store Platform(Log, RouterCount, Ip);
  Platform.put("op", "config", configuration());
  std::vector<std::unique_ptr<FragileWorker>> Fragile;
  for (unsigned I = 0; I < Workers; ++I)
    Fragile.push_back(std::make_unique<FragileWorker>(Log, Platform, I));
  std::vector<std::unique_ptr<Worker>> Sound;
  for (unsigned I = 0; I < 3; ++I)
    Sound.push_back(std::make_unique<Worker>(
        Log, Platform, "b" + std::to_string(I), "booking-app", "fukuoka",
        RouterCount, Ip, [](const Message &) { return std::pair(200, 30L); }));
  std::vector<std::unique_ptr<Router>> Routers;
  for (unsigned I = 0; I < RouterCount; ++I)
    Routers.push_back(std::make_unique<Router>(Log, "r" + std::to_string(I + 1),
                                               "fukuoka", Platform.address(I),
                                               temporaryFolder(), Ip, "196"));
  for (const auto &Started : Routers)
    if (!Started->waitReady(15000))
      return 2;
  sleepMs(2000);

  std::atomic<bool> StopLimits{false};
  std::atomic<long> UsedMs[RouterCount] = {};
  std::vector<std::thread> Limits;
  for (unsigned I = 0; I < RouterCount; ++I)
    Limits.emplace_back([&, I] {
      limitShare(Routers[I]->process(), CpuShare, StopLimits, UsedMs[I]);
    });
  std::atomic<bool> Stop{false};
  std::atomic<unsigned> SoundSent{0}, AtTimeout{0}, Late{0}, Served{0};
  // Sound requests of another service, five a second at each router.
  std::vector<std::thread> Clients;
  std::atomic<int> Running{0};
  for (unsigned I = 0; I < RouterCount; ++I)
    Clients.emplace_back([&, I] {
      while (!Stop) {
        const std::string Id = "s" + std::to_string(++SoundSent);
        ++Running;
        std::thread([&, I, Id] {
          const long At = nowMs();
          const Message Answer =
              call(Routers[I]->front(), "POST", "/deposit/seat",
                   {{"Host", "rental.example"},
                    {"X-Mimosadale-Request-Id", Id},
                    {"X-Mimosadale-Deadline-Ms", "2500"}},
                   "seat 12", 6000);
          const long Took = nowMs() - At;
          Served += Answer.status() == 200;
          AtTimeout += Took > TimeoutMs;
          Late += Took > LateMs;
          Log.line("client got " + std::to_string(Answer.status()) + " for " +
                   Id + " at r" + std::to_string(I + 1) + " after " +
                   std::to_string(Took) + " ms");
          --Running;
        }).detach();
        sleepMs(200);
      }
    });
  // How long the stand-ins themselves take, without a router.
  std::atomic<unsigned> Control{0}, SlowControl{0};
  std::thread Direct([&] {
    Store Own(Log, 1, Ip);
    Listener Echo(Ip,
                  [](const Message &, int) { return response(200, {}, ""); });
    while (!Stop) {
      const long At = nowMs();
      call(Echo.address(), "GET", "/", {}, "", 5000);
      ++Control;
      SlowControl += nowMs() - At > 250;
      sleepMs(100);
    }
  });

  // Each deadly request is of its own and comes three times, at other machines.
  std::atomic<unsigned> Deadly{0};
  const long Begin = nowMs();
  long NextReport = Begin;
  for (long Next = Begin; nowMs() < Begin + CrashingMs; Next += PerRouterMs) {
    sleepMs(Next - nowMs());
    if (nowMs() >= NextReport) {
      NextReport += 10000;
      Log.line("processor time of r1 " + std::to_string(UsedMs[0]) +
               " ms, r2 " + std::to_string(UsedMs[1]) + " ms, r3 " +
               std::to_string(UsedMs[2]) + " ms");
    }
    for (unsigned I = 0; I < RouterCount; ++I) {
      ++Running;
      std::thread([&, I, Number = ++Deadly] {
        for (unsigned Time = 0; Time < 3; ++Time) {
          call(Routers[(I + Time) % RouterCount]->front(), "POST",
               "/guide/" + std::to_string(Number),
               {{"Host", "rental.example"},
                {"X-Mimosadale-Request-Id",
                 "d" + std::to_string(Number) + "-" + std::to_string(Time)},
                {"X-Mimosadale-Deadline-Ms", "2500"}},
               "guide " + std::to_string(Number), 3000);
          sleepMs(500);
        }
        --Running;
      }).detach();
    }
  }
  Stop = true;
  for (std::thread &Client : Clients)
    Client.join();
  Direct.join();
  while (Running > 0)
    sleepMs(20);
  StopLimits = true;
  for (std::thread &Limit : Limits)
    Limit.join();
  unsigned Crashes = 0;
  for (const auto &Each : Fragile)
    Crashes += Each->crashes();
  Log.line(std::to_string(Deadly) + " deadly requests, " +
           std::to_string(Crashes) + " crashes; " +
           std::to_string(SlowControl) + " of " + std::to_string(Control) +
           " answers of a stand-in without a router took over 250 ms");
  Log.line(std::to_string(SoundSent) + " sound requests of another service, " +
           std::to_string(Served) + " answered with 200, " +
           std::to_string(AtTimeout) + " unanswered at TimeoutMs, " +
           std::to_string(Late) + " half a second later");
  for (const auto &Each : Fragile)
    while (!Each->isUp())
      sleepMs(20);
  sleepMs(100);
  Routers.clear();
  if (Served == 0 || SlowControl * 20 > Control)
    return 2; // the stand-ins themselves were late
  const bool Broken = Late >= 8 && 4 * Late > AtTimeout;
  Log.line(Broken ? "BROKEN CONFIG: eight or more, and over a quarter of those"
                  : "the rule held");
  return Broken ? 1 : 0;
}
