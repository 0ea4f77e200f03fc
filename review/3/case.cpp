// The store is silent for 4.5 s just after a worker has registered. Afterwards
// a worker drains. Rule DRAIN: no request reaches it later than DrainMs after
// the store, stable again, has acknowledged that.
#include "world.h"

using namespace world;

namespace {

constexpr long DrainMs = 2000;
constexpr long StableWindowMs = 3000;
constexpr long SilenceMs = 4500;
constexpr long LingerMs = 6000; // it serves this much longer than DrainMs

int runCase(const std::string &Folder, bool Trouble) {
  // Their threads run until the process ends, so they are never destroyed.
  Store &Platform = *new Store(2);
  auto &Workers = *new std::vector<std::unique_ptr<Worker>>;
  for (const char *Id : {"i-1", "i-2", "i-3", "i-4"})
    Workers.push_back(std::make_unique<Worker>(Id, "booking", "fukuoka", 2));
  Platform.put("op", "config", config(1, {"key-1"}));
  for (int I = 0; I < 3; ++I)
    Workers[I]->publish(Platform);
  Router First("front-1", "fukuoka", Platform.address(0), Folder);
  Router Second("front-2", "fukuoka", Platform.address(1), Folder);
  const Router *Routers[] = {&First, &Second};
  if (!waitUntil(
          [&] {
            return First.ready() && Second.ready() &&
                   Platform.rows("mimosadale-routers") == 2;
          },
          15000))
    return 2;
  sleepMs(3000);
  for (int I = 0; I < 20; ++I)
    if (ask(*Routers[I % 2], "warm" + std::to_string(I), "key-1").m_Status !=
        200)
      return 2;

  Workers[3]->publish(Platform);
  Log.line("worker i-4 has registered");
  sleepMs(60);
  if (Trouble) {
    Platform.setSilent(0, true);
    Platform.setSilent(1, true);
    Log.line("the store falls silent");
  }
  sleepMs(SilenceMs);
  Platform.setSilent(0, false);
  Platform.setSilent(1, false);
  Log.line("the store answers");
  sleepMs(StableWindowMs + 500);

  Workers[0]->publish(Platform, "draining");
  const long AckedAt = nowMs();
  Log.line("the store has acknowledged that i-1 is draining");
  for (int I = 0; nowMs() < AckedAt + DrainMs + LingerMs; ++I) {
    ask(*Routers[I % 2], "r" + std::to_string(I), "key-1");
    sleepMs(40);
  }
  int Late = 0;
  int Earlier = 0;
  for (const Worker::Run &Run : Workers[0]->runs())
    if (Run.m_At > AckedAt + DrainMs)
      ++Late;
    else if (Run.m_At > AckedAt)
      ++Earlier;
  std::size_t AtNew = 0;
  for (const Worker::Run &Run : Workers[3]->runs())
    AtNew += Run.m_At > AckedAt ? 1 : 0;
  if (!First.running() || !Second.running())
    return 2;
  const std::string Text = std::to_string(Late) +
                           " requests reached i-1 later than DrainMs, " +
                           std::to_string(Earlier) +
                           " within it; i-4, registered before the "
                           "silence, ran " +
                           std::to_string(AtNew);
  Log.line(Text);
  std::puts(Text.c_str());
  return Late > 0 ? 1 : 0;
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
