// A caller changes to a new prompt template, whose part no answer has carried
// yet. The first request on it also holds a part that crashes workers
// (PAGES-ADDED.md). Counts how often sound requests of the same key and first
// part begin at the first attempt: less than half as often as before, from
// 2 x `StableWindowMs` after the last crash, breaks LOST.
//
// template FOLDER
// TROUBLE=0: the part is sound.
#include "models.h"

using namespace rig;

namespace {

constexpr unsigned Routers = 6;
const std::string DeadlyPart = "5c1e07a2";
const std::string OldTemplate = "91bd3f06";
const std::string NewTemplate = "c40a77d1";

std::string promptOf(const std::string &Template, unsigned Number,
                     bool WithPart) {
  char Own[32];
  std::snprintf(Own, sizeof(Own), ",%08x:90", 0xe0000000u + Number);
  return Template + ":40" + (WithPart ? "," + DeadlyPart + ":60" : "") + Own;
}

struct Count {
  std::atomic<unsigned> m_Sent = 0, m_Begun = 0, m_Refused = 0;
};

} // namespace

int main(int Argc, char **Argv) {
  if (Argc != 2)
    return 2;
  ::signal(SIGPIPE, SIG_IGN);
  const std::string Folder = Argv[1];
  const char *Trouble = std::getenv("TROUBLE");
  const bool Disturbed = !Trouble || std::string(Trouble) != "0";
  record().open(Folder + "/record.txt");

  char Temp[] = "/tmp/review-XXXXXX";
  if (!::mkdtemp(Temp))
    return 2;
  Store Platform;
  Models Workers(Platform);
  Platform.put("op", "config", configText(7));
  static const char *Zones[] = {"fukuoka", "kumamoto", "kagoshima"};
  for (const char *Zone : Zones)
    for (unsigned I = 0; I < 8; ++I)
      Workers.add(Zone);
  Workers.watch(DeadlyPart);
  if (Disturbed)
    Workers.setDeadly(DeadlyPart, Victim::First);
  std::vector<std::unique_ptr<Router>> Fleet;
  for (unsigned I = 0; I < Routers; ++I) {
    Fleet.push_back(std::make_unique<Router>("front-" + std::to_string(I + 1),
                                             Zones[I % 3], Platform.address(),
                                             Temp));
    Fleet.back()->start();
  }
  if (!waitUntil(40, [&] {
        return Workers.covered() &&
               std::all_of(Fleet.begin(), Fleet.end(),
                           [](const auto &R) { return R->ready(); });
      })) {
    record().line("the routers are not ready, or layers are missing: %s",
                  Workers.layersText().c_str());
    for (const auto &R : Fleet)
      if (!R->ready())
        record().line("%s: %s", R->name().c_str(), R->logEnd().c_str());
    for (const auto &R : Fleet)
      R->kill();
    std::_Exit(2);
  }
  sleepS(3);
  record().line("all routers are ready, all layers are held");

  Count Before, After, Other;
  std::vector<std::thread> Calls;
  unsigned Number = 0;
  const auto Sound = [&](const std::string &Template, const std::string &Key,
                         Count &In) {
    const unsigned N = ++Number;
    Calls.emplace_back([&, Template, Key, N] {
      const Router &To = *Fleet[N % Routers];
      const StreamResult Got =
          askStream(To.callers(), "sound-" + std::to_string(N),
                    promptOf(Template, N, false), 20, Key);
      ++In.m_Sent;
      In.m_Begun += Got.m_Events > 0 ? 1 : 0;
      In.m_Refused += Got.m_Status == 503 ? 1 : 0;
      record().line("sound request %u, %s, first part %s, at %s: status %u, "
                    "%u events, %s",
                    N, Key.c_str(), Template.c_str(), To.name().c_str(),
                    Got.m_Status, Got.m_Events,
                    Got.m_Complete ? "complete" : "not complete");
    });
  };
  const auto WithPart = [&] {
    const unsigned N = ++Number;
    Calls.emplace_back([&, N] {
      const Router &To = *Fleet[N % Routers];
      const StreamResult Got =
          askStream(To.callers(), "part-" + std::to_string(N),
                    promptOf(NewTemplate, N, true), 20);
      record().line("request part-%u, key1, first part %s, at %s: status %u, "
                    "%s",
                    N, NewTemplate.c_str(), To.name().c_str(), Got.m_Status,
                    Got.m_Complete ? "complete" : "not complete");
    });
  };

  // Before: both callers use the old template.
  double At = now();
  for (unsigned I = 0; I < 24; ++I) {
    Sound(OldTemplate, "key1", Before);
    Sound(OldTemplate, "key2", Other);
    sleepUntil(At += 0.4);
  }
  sleepS(1);
  record().line("the caller with key1 changes to the template %s",
                NewTemplate.c_str());
  const double ChangedAt = now();
  At = ChangedAt;
  WithPart();
  sleepUntil(At += 1);
  Count Early;
  double Until = ChangedAt + 9;
  bool Late = false;
  for (unsigned I = 0; now() < Until; ++I) {
    if (!Late && now() > ChangedAt + 2) {
      const auto Crashes = Workers.crashes();
      const double Last = Crashes.empty() ? ChangedAt : Crashes.back();
      if (now() > Last + 2 * StableWindowS) {
        Late = true;
        Until = now() + 14;
        record().line("from here on, the rule counts (last crash at %.3f)",
                      Last);
      }
    }
    Sound(NewTemplate, "key1", Late ? After : Early);
    Sound(OldTemplate, "key2", Other);
    if (I % 5 == 4)
      WithPart(); // such requests still come
    sleepUntil(At += 0.4);
  }
  for (std::thread &One : Calls)
    One.join();
  for (const auto &R : Fleet)
    R->kill();

  const auto Share = [](const Count &Of) {
    return Of.m_Sent == 0 ? 0.0
                          : static_cast<double>(Of.m_Begun) / Of.m_Sent.load();
  };
  record().line("workers crashed %zu times; %zu requests with the part reached "
                "workers",
                Workers.crashes().size(), Workers.arrivals().size());
  record().line("key1, before the change: %u sound requests, %u begun",
                Before.m_Sent.load(), Before.m_Begun.load());
  record().line("key1, until the rule counts: %u sound requests, %u begun",
                Early.m_Sent.load(), Early.m_Begun.load());
  record().line("key1, while the rule counts: %u sound requests, %u begun, %u "
                "refused with 503",
                After.m_Sent.load(), After.m_Begun.load(),
                After.m_Refused.load());
  record().line("key2, old template, at all times: %u sound requests, %u begun",
                Other.m_Sent.load(), Other.m_Begun.load());
  int Outcome = 0;
  if (Before.m_Sent < 20 || After.m_Sent < 20 || Share(Before) < 0.5)
    Outcome = 2;
  else if (Share(After) < Share(Before) / 2)
    Outcome = 1;
  record().line(Outcome == 2   ? "too few requests: the case says nothing"
                : Outcome == 1 ? "LOST is broken"
                               : "LOST holds");
  const std::string Remove = std::string("rm -rf ") + Temp;
  if (!std::getenv("KEEP") && std::system(Remove.c_str()) != 0)
    return 2;
  std::fflush(nullptr);
  std::_Exit(Outcome);
}
