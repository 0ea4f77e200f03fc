// front-1 is partitioned from all workers, so that it hands its requests to the
// other routers. The only worker of the service "ledger" crashes; those of the
// service "booking" are sound. Rule RECOVER: clients' first tries at front-1
// are served at least two thirds as often as those at the others.
#include "world.h"

using namespace world;

namespace {

constexpr long StableWindowMs = 3000;
constexpr long CrashMs = 4500;

struct Count {
  int m_Tries = 0;
  int m_Served = 0;
  std::map<int, int> m_Statuses;
};

int runCase(const std::string &Folder, bool Trouble) {
  // Their threads run until the process ends, so they are never destroyed.
  Store &Platform = *new Store(3);
  auto &Workers = *new std::vector<std::unique_ptr<Worker>>;
  for (const char *Id : {"i-1", "i-2", "i-3"})
    Workers.push_back(std::make_unique<Worker>(Id, "booking", "fukuoka", 3));
  Workers.push_back(std::make_unique<Worker>("l-1", "ledger", "fukuoka", 3));
  Worker &Ledger = *Workers.back();
  Platform.put("op", "config", config(1, {"key-0"}, 110, true));
  Router First("front-1", "fukuoka", Platform.address(0), Folder);
  Router Second("front-2", "fukuoka", Platform.address(1), Folder);
  Router Third("front-3", "fukuoka", Platform.address(2), Folder);
  const Router *Routers[] = {&First, &Second, &Third};
  for (const auto &Each : Workers)
    Each->publish(Platform);
  if (!waitUntil(
          [&] {
            return First.ready() && Second.ready() && Third.ready() &&
                   Platform.rows("mimosadale-routers") == 3;
          },
          15000))
    return 2;
  // Routers relay rows to each other, also the addresses by which one of them
  // reaches the workers: written again until each uses its own.
  const auto UseOwnAddresses = [&] {
    for (const auto &Each : Workers)
      Each->publish(Platform);
    sleepMs(1500);
    bool Own = true;
    for (std::size_t I = 0; I < 3; ++I)
      for (int J = 0; J < 12; ++J) {
        const std::string Id =
            "warm" + std::to_string(I) + "-" + std::to_string(nowMs());
        Own &= ask(*Routers[I], Id, "key-0", "GET",
                   J % 3 ? "/lookup/a" : "/ledger/a")
                   .m_Status == 200;
        for (const auto &Each : Workers)
          for (const Worker::Run &Run : Each->runs())
            Own &= Run.m_Request != Id || Run.m_Router == I;
      }
    return Own;
  };
  sleepMs(1500);
  int Tries = 0;
  while (!UseOwnAddresses())
    if (++Tries == 12)
      return 2;

  const long CutAt = nowMs();
  const long JudgeFrom = CutAt + StableWindowMs;
  const long JudgeTo = JudgeFrom + CrashMs;
  std::map<std::size_t, Count> Counts;
  std::map<std::size_t, Count> Plain;
  std::mutex Mutex;
  std::vector<std::thread> Clients;
  for (std::size_t I = 0; I < 3; ++I)
    Clients.emplace_back([&, I] {
      for (int Number = 0; nowMs() < JudgeTo; ++Number) {
        const bool IsLedger = Number % 5 == 0;
        const std::string Id =
            "c" + std::to_string(I) + "-" + std::to_string(Number);
        const Answer Reply = ask(*Routers[I], Id, "key-0", "GET",
                                 IsLedger ? "/ledger/a" : "/lookup/a");
        if (Reply.m_SentAt >= JudgeFrom) {
          const std::lock_guard Lock(Mutex);
          for (auto *To : {&Counts, IsLedger ? nullptr : &Plain})
            if (To) {
              ++(*To)[I].m_Tries;
              (*To)[I].m_Served += Reply.m_Status == 200 ? 1 : 0;
              ++(*To)[I].m_Statuses[Reply.m_Status];
            }
        }
        sleepMs(30);
      }
    });
  if (Trouble) {
    for (const auto &Each : Workers)
      Each->cutFrom(0);
    Log.line("front-1 is partitioned from all workers");
  }
  sleepMs(JudgeFrom - nowMs());
  if (Trouble) {
    Ledger.cutFrom(1);
    Ledger.cutFrom(2);
    Log.line("worker l-1, the only one of ledger, has crashed");
  }
  for (std::thread &Each : Clients)
    Each.join();
  if (!First.running() || !Second.running() || !Third.running())
    return 2;
  const auto Text = [](const Count &Of) {
    std::string Line = std::to_string(Of.m_Served) + " of " +
                       std::to_string(Of.m_Tries) + " (";
    for (const auto &[Status, Number] : Of.m_Statuses)
      Line += std::to_string(Number) + " x " + std::to_string(Status) + " ";
    return Line + ")";
  };
  for (std::size_t I = 0; I < 3; ++I) {
    const std::string Line = Routers[I]->name() + ": served " +
                             Text(Counts[I]) + ", of those to booking " +
                             Text(Plain[I]);
    Log.line(Line);
    std::puts(Line.c_str());
  }
  const Count &At = Counts[0];
  const double Others =
      static_cast<double>(Counts[1].m_Served + Counts[2].m_Served) /
      (Counts[1].m_Tries + Counts[2].m_Tries);
  const double Own = static_cast<double>(At.m_Served) / At.m_Tries;
  const bool Broken =
      3 * Own < 2 * Others && At.m_Tries - At.m_Served > 10 + At.m_Tries / 50;
  return Broken ? 1 : 0;
}

} // namespace

int main(int Count, char **Arguments) {
  if (Count < 2)
    return 2;
  signal(SIGPIPE, SIG_IGN);
  Log.open(Arguments[1]);
  char Folder[] = "/tmp/review-XXXXXX";
  if (!mkdtemp(Folder))
    return 2;
  const char *Trouble = std::getenv("TROUBLE");
  const int Status = runCase(Folder, !Trouble || std::string(Trouble) != "0");
  std::filesystem::remove_all(Folder);
  std::fflush(stdout);
  _exit(Status); // threads of the stand-ins still wait
}
