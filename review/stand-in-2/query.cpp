// A request crashes each worker of a plain service that begins to run it, and
// comes again with the same path, caller and body (PAGES-ADDED.md); its query
// differs each time. Counts the requests that reach workers later than
// `StableWindowMs` after the third crash: more than three break BUDGET.
//
// query FOLDER
// TROUBLE=0: the request is sound. SAME_QUERY=1: its query never differs.
#include "models.h"

using namespace rig;

namespace {

constexpr unsigned Routers = 6;
constexpr double StartS = 2; // a worker that crashed is back after this

struct App {
  explicit App(Store &Platform) : m_Store(Platform) {}

  void add(const std::string &Zone) {
    const std::lock_guard Lock(m_Mutex);
    auto W = std::make_shared<Worker>();
    W->m_Id = "i-" + std::to_string(2000 + ++m_Count);
    W->m_Zone = Zone;
    W->m_Server =
        std::make_unique<Server>([this, Raw = W.get()](Message &R, Wire &C) {
          return handle(*Raw, R, C);
        });
    m_Workers.push_back(W);
    m_Store.put(
        "servers", W->m_Id,
        json::serialize(json::object{
            {"Service", "app"},
            {"Address", W->m_Server->address()},
            {"Zone", Zone},
            {"Version", "v1"},
            {"Slots", 6},
            {"State", "ready"},
            {"ColdRemainingMs", 0},
            {"Sequence", 1},
            {"born", 1796000000000ull +
                         static_cast<std::uint64_t>(now() * 1000)}}));
  }

  struct Worker {
    std::string m_Id, m_Zone;
    std::unique_ptr<Server> m_Server;
    std::atomic<bool> m_Alive = true;
  };

  bool handle(Worker &W, Message &R, Wire &C) {
    const std::string Id = R.header("X-Mimosadale-Request-Id");
    Headers Fields{{"X-Mimosadale-Server-Seal", W.m_Id}};
    if (R.header("X-Mimosadale-Expect-Instance") != W.m_Id &&
        !R.header("X-Mimosadale-Expect-Instance").empty())
      return C.write(answerText(421, Fields, ""));
    if (Id.empty()) // a health check or a question that it does not know
      return C.write(answerText(404, {}, ""));
    Fields.emplace_back("X-Mimosadale-Request-Id", Id);
    if (R.m_Body == m_Watched) {
      {
        const std::lock_guard Lock(m_Mutex);
        m_Arrivals.push_back({now(), Id});
      }
      record().line("request %s (%s) reaches worker %s", Id.c_str(),
                    R.target().c_str(), W.m_Id.c_str());
      if (m_IsDeadly) {
        crash(W, Id);
        return false;
      }
    }
    sleepS(0.25);
    if (!W.m_Alive)
      return false;
    return C.write(answerText(200, Fields, "done " + Id));
  }

  void crash(Worker &W, const std::string &Id) {
    if (!W.m_Alive.exchange(false))
      return;
    W.m_Server->crash();
    {
      const std::lock_guard Lock(m_Mutex);
      m_Crashes.push_back(now());
      record().line("worker %s crashes on %s; crash number %zu",
                    W.m_Id.c_str(), Id.c_str(), m_Crashes.size());
    }
    std::thread([this, Old = W.m_Id, Zone = W.m_Zone] {
      sleepS(StartS);
      add(Zone);
      sleepS(ExpiryS - StartS);
      m_Store.drop("servers", Old);
    }).detach();
  }

  Store &m_Store;
  std::mutex m_Mutex;
  std::vector<std::shared_ptr<Worker>> m_Workers; // never erased
  std::string m_Watched;
  bool m_IsDeadly = false;
  std::vector<double> m_Crashes;
  std::vector<std::pair<double, std::string>> m_Arrivals;
  unsigned m_Count = 0;
};

} // namespace

int main(int Argc, char **Argv) {
  if (Argc != 2)
    return 2;
  ::signal(SIGPIPE, SIG_IGN);
  const char *Trouble = std::getenv("TROUBLE");
  record().open(std::string(Argv[1]) + "/record.txt");
  char Temp[] = "/tmp/review-XXXXXX";
  if (!::mkdtemp(Temp))
    return 2;
  Store Platform;
  Platform.put("op", "config", configText(7));
  App Workers(Platform);
  Workers.m_Watched = "the same body each time";
  Workers.m_IsDeadly = !Trouble || std::string(Trouble) != "0";
  static const char *Zones[] = {"fukuoka", "kumamoto", "kagoshima"};
  for (const char *Zone : Zones)
    for (unsigned I = 0; I < 2; ++I)
      Workers.add(Zone);
  std::vector<std::unique_ptr<Router>> Fleet;
  for (unsigned I = 0; I < Routers; ++I) {
    Fleet.push_back(std::make_unique<Router>("front-" + std::to_string(I + 1),
                                             Zones[I % 3], Platform.address(),
                                             Temp));
    Fleet.back()->start();
  }
  if (!waitUntil(20, [&] {
        return std::all_of(Fleet.begin(), Fleet.end(),
                           [](const auto &R) { return R->ready(); });
      })) {
    record().line("the routers are not ready");
    return 2;
  }
  sleepS(StableWindowS + 1);
  record().line("all routers are ready");

  const auto Post = [&](unsigned To, const std::string &Target,
                        const std::string &Id, const std::string &Body) {
    return call(Fleet[To]->callers(), "POST", Target,
                {{"Host", "a.example"},
                 {"X-Mimosadale-Request-Id", Id},
                 {"X-Mimosadale-Deadline-Ms", "2500"},
                 {"Authorization", "Bearer key1"}},
                Body, 3);
  };
  std::atomic<bool> Stop = false;
  std::atomic<unsigned> Sent = 0, Done = 0, Lost = 0, Refused = 0;
  std::vector<std::thread> Callers;
  for (unsigned K = 0; K < 4; ++K)
    Callers.emplace_back([&, K] {
      for (unsigned N = 0; !Stop; ++N) {
        const std::string Id =
            "sound-" + std::to_string(K) + "-" + std::to_string(N);
        const Reply Got = Post((K + N) % Routers, "/book/seat", Id, Id);
        ++Sent;
        if (Got.m_Status == 200)
          ++Done;
        else if (Got.m_Status == 503)
          ++Refused;
        else
          ++Lost; // it was sent, and may have run
        sleepS(0.05);
      }
    });
  double At = now();
  for (unsigned N = 0; N < 24; ++N) {
    const std::string Id = "again-" + std::to_string(N);
    const std::string Target =
        "/book/seat?attempt=" +
        std::to_string(std::getenv("SAME_QUERY") ? 0 : N);
    const Reply Got = Post(N % Routers, Target, Id, Workers.m_Watched);
    record().line("request %s (%s) at %s: status %u", Id.c_str(),
                  Target.c_str(), Fleet[N % Routers]->name().c_str(),
                  Got.m_Status);
    sleepUntil(At += 1.2);
  }
  Stop = true;
  for (std::thread &One : Callers)
    One.join();
  for (const auto &R : Fleet)
    R->kill();

  record().line("sound bookings: %u sent, %u done, %u refused as not run, %u "
                "failed without that promise",
                Sent.load(), Done.load(), Refused.load(), Lost.load());
  const std::lock_guard Lock(Workers.m_Mutex);
  record().line("workers crashed %zu times", Workers.m_Crashes.size());
  int Outcome = Done < Sent / 4 ? 2 : 0;
  if (Workers.m_Crashes.size() >= 3) {
    const double Bound = Workers.m_Crashes[2] + StableWindowS;
    unsigned Late = 0;
    for (const auto &[When, Id] : Workers.m_Arrivals)
      Late += When > Bound ? 1 : 0;
    record().line("third crash at %.3f; after %.3f, the request reached "
                  "workers %u times; allowed: 3",
                  Workers.m_Crashes[2], Bound, Late);
    if (Late > 3)
      Outcome = 1;
  }
  record().line(Outcome == 2   ? "too little was served: the case says nothing"
                : Outcome == 1 ? "BUDGET is broken"
                               : "BUDGET holds");
  const std::string Remove = std::string("rm -rf ") + Temp;
  if (!std::getenv("KEEP") && std::system(Remove.c_str()) != 0)
    return 2;
  std::fflush(nullptr);
  std::_Exit(Outcome);
}
