// The store is silent for 4.5 s just after a change of the configuration.
// Afterwards a key and a route are added. Rules CONFIG and DENIED: a request
// sent later than ConfigApplyMs after the acknowledgement is not refused as an
// older version does, and proper requests are not ended with 401 and 404.
#include "world.h"

using namespace world;

namespace {

constexpr long ConfigApplyMs = 2000;
constexpr long StableWindowMs = 3000;
constexpr long SilenceMs = 4500;

int runCase(const std::string &Folder, bool Trouble) {
  // Their threads run until the process ends, so they are never destroyed.
  Store &Platform = *new Store(2);
  auto &Workers = *new std::vector<std::unique_ptr<Worker>>;
  for (const char *Id : {"i-1", "i-2", "i-3"})
    Workers.push_back(std::make_unique<Worker>(Id, "booking", "fukuoka", 2));
  Platform.put("op", "config", config(1, {"key-1"}));
  for (const auto &Each : Workers)
    Each->publish(Platform);
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

  Platform.put("op", "config", config(4, {"key-1", "key-4"}));
  Log.line("the store has acknowledged version 4");
  sleepMs(15);
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

  Platform.put("op", "config", config(9, {"key-1", "key-4", "key-9"}, 112));
  const long AckedAt = nowMs();
  Log.line("the store has acknowledged version 9: key-9, /idle110/, /idle111/");
  sleepMs(ConfigApplyMs + 100);
  int Refused = 0;
  int Sent = 0;
  for (; nowMs() < AckedAt + 6000; sleepMs(40)) {
    const Answer Reply =
        Sent % 4 < 2
            ? ask(*Routers[Sent % 2], "k" + std::to_string(Sent), "key-9")
            : ask(*Routers[Sent % 2], "p" + std::to_string(Sent), "key-1",
                  "GET", "/idle110/a");
    ++Sent;
    Refused += Reply.m_Status == 401 || Reply.m_Status == 404 ? 1 : 0;
  }
  if (!First.running() || !Second.running())
    return 2;
  const std::string Text =
      std::to_string(Refused) + " of " + std::to_string(Sent) +
      " proper requests, sent later than ConfigApplyMs after the "
      "acknowledgement, were refused with 401 or 404";
  Log.line(Text);
  std::puts(Text.c_str());
  return Refused > 0 ? 1 : 0;
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
