// One part of a prompt crashes workers (PAGES-ADDED.md). Counts the requests
// with the part that reach workers later than `StableWindowMs` after the fifth
// crash, sent by machines in touch: more than three break BUDGET.
//
// deadly MODE FOLDER
//   forget      all routers are killed at once after the part was blocked
//   many-parts  the part is the 36th of 40 shared parts of the prompt
//   late-crash  the worker writes three events before it crashes
//   last-worker the worker crashes that makes the tokens, the last of the path
// TROUBLE=0: the same without the kill, or with a part that is sound.
#include "models.h"

using namespace rig;

namespace {

constexpr unsigned Routers = 6;
const std::string DeadlyPart = "5c1e07a2";

struct Mode {
  bool m_Kill = false;
  bool m_ManyParts = false;
  Victim m_Victim = Victim::First;
  double m_RoundS = 0;     // between two rounds of requests with the part
  unsigned m_PerRound = 0; // at different machines, at a time
  unsigned m_Rounds = 0;
  unsigned m_EventsBefore = 0; // written before a worker crashes
};

// Parts of a prompt: some that many requests share, the watched one, and the
// request's own.
std::string promptOf(const Mode &Kind, unsigned Number, bool WithPart) {
  std::string Parts = "91bd3f06:40";
  const unsigned Before = Kind.m_ManyParts ? 35 : 1;
  for (unsigned I = 1; I < Before; ++I) {
    char Part[32];
    std::snprintf(Part, sizeof(Part), ",%08x:15", 0xa0000000u + I);
    Parts += Part;
  }
  if (WithPart)
    Parts += "," + DeadlyPart + ":60";
  if (Kind.m_ManyParts)
    for (unsigned I = 0; I < 4; ++I) {
      char Part[32];
      std::snprintf(Part, sizeof(Part), ",%08x:15", 0xb0000000u + I);
      Parts += Part;
    }
  char Own[32];
  std::snprintf(Own, sizeof(Own), ",%08x:90", 0xe0000000u + Number);
  return Parts + Own;
}

} // namespace

int main(int Argc, char **Argv) {
  if (Argc != 3)
    return 2;
  ::signal(SIGPIPE, SIG_IGN);
  const std::string Name = Argv[1];
  const std::string Folder = Argv[2];
  const char *Trouble = std::getenv("TROUBLE");
  const bool Disturbed = !Trouble || std::string(Trouble) != "0";
  record().open(Folder + "/record.txt");
  Mode Kind;
  if (Name == "forget")
    Kind = {true, false, Victim::First, 10, 6, 3};
  else if (Name == "many-parts")
    Kind = {false, true, Victim::First, 1.5, 2, 20};
  else if (Name == "last-worker")
    Kind = {false, false, Victim::Last, 1.5, 2, 20};
  else if (Name == "late-crash")
    Kind = {false, false, Victim::First, 1.5, 2, 20, 3};
  else
    return 2;

  char Temp[] = "/tmp/review-XXXXXX";
  if (!::mkdtemp(Temp))
    return 2;
  Store Platform;
  Models Workers(Platform);
  Platform.put("op", "config", configText(7));
  for (const char *Zone : {"fukuoka", "kumamoto", "kagoshima"})
    for (unsigned I = 0; I < 8; ++I)
      Workers.add(Zone);
  // The part is deadly in all modes but where the disruption is the part.
  Workers.watch(DeadlyPart);
  if (Kind.m_Kill || Disturbed)
    Workers.setDeadly(DeadlyPart, Kind.m_Victim, Kind.m_EventsBefore);
  std::vector<std::unique_ptr<Router>> Fleet;
  for (unsigned I = 0; I < Routers; ++I) {
    static const char *Zones[] = {"fukuoka", "kumamoto", "kagoshima"};
    Fleet.push_back(std::make_unique<Router>("front-" + std::to_string(I + 1),
                                             Zones[I % 3], Platform.address(),
                                             Temp));
    Fleet.back()->start();
  }
  const auto AllReady = [&] {
    return std::all_of(Fleet.begin(), Fleet.end(),
                       [](const auto &R) { return R->ready(); });
  };
  if (!waitUntil(40, [&] { return AllReady() && Workers.covered(); })) {
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

  std::atomic<bool> Stop = false;
  std::atomic<unsigned> Sent = 0, Whole = 0, Refused = 0, Broken = 0;
  std::vector<std::thread> Callers;
  for (unsigned K = 0; K < 6; ++K)
    Callers.emplace_back([&, K] {
      for (unsigned N = 0; !Stop; ++N) {
        const StreamResult Got =
            askStream(Fleet[(K + N) % Routers]->callers(),
                      "sound-" + std::to_string(K) + "-" + std::to_string(N),
                      promptOf(Kind, 100000 + 10000 * K + N, false), 30);
        ++Sent;
        if (Got.m_Complete)
          ++Whole;
        else if (Got.m_Status == 503)
          ++Refused;
        else if (Got.m_Status == 200 || Got.m_Status == 502)
          ++Broken;
        sleepS(0.15);
      }
    });

  const double From = now() + 0.5;
  std::vector<std::thread> Deadly;
  std::map<std::string, double> SentAt;
  std::map<std::string, unsigned> SentTo;
  std::mutex SentMutex;
  unsigned Number = 0;
  for (unsigned Round = 0; Round < Kind.m_Rounds; ++Round) {
    sleepUntil(From + Round * Kind.m_RoundS);
    for (unsigned I = 0; I < Kind.m_PerRound; ++I) {
      const unsigned To = (Round * Kind.m_PerRound + I) % Routers;
      const std::string Id = "part-" + std::to_string(++Number);
      {
        const std::lock_guard Lock(SentMutex);
        SentAt[Id] = now();
        SentTo[Id] = To;
      }
      Deadly.emplace_back([&, Id, To, N = Number] {
        const StreamResult Got =
            askStream(Fleet[To]->callers(), Id, promptOf(Kind, N, true), 30);
        record().line("request %s with the part at %s: status %u, %s",
                      Id.c_str(), Fleet[To]->name().c_str(), Got.m_Status,
                      Got.m_Complete ? "complete" : "not complete");
      });
    }
    if (Kind.m_Kill && Disturbed && Round == 1) {
      sleepS(1);
      record().line("all routers are killed at once (SIGKILL)");
      for (const auto &R : Fleet)
        R->signal(SIGKILL);
      for (const auto &R : Fleet)
        R->kill();
      sleepS(0.8);
      for (const auto &R : Fleet)
        R->start();
      if (!waitUntil(5, AllReady)) {
        record().line("the routers are not ready again");
        for (const auto &R : Fleet)
          R->kill();
        std::_Exit(2);
      }
      record().line("all routers are ready again");
    }
  }
  for (std::thread &One : Deadly)
    One.join();
  Stop = true;
  for (std::thread &One : Callers)
    One.join();

  const auto Crashes = Workers.crashes();
  record().line("sound streams: %u sent, %u whole, %u refused, %u broken off",
                Sent.load(), Whole.load(), Refused.load(), Broken.load());
  record().line("workers crashed %zu times", Crashes.size());
  int Outcome = 0;
  if (Crashes.size() >= 5) {
    const double Bound = Crashes[4] + StableWindowS;
    std::set<std::string> Late;
    unsigned Count = 0;
    for (const auto &Arrival : Workers.arrivals()) {
      const Router &By = *Fleet[SentTo[Arrival.m_Id]];
      // In touch: its process has run for `StableWindowMs`.
      if (Arrival.m_At <= Bound ||
          Arrival.m_At < By.startedAt() + StableWindowS)
        continue;
      ++Count;
      Late.insert(Arrival.m_Id);
    }
    record().line("fifth crash at %.3f; after %.3f, %u requests with the part "
                  "reached workers (%zu new ones, the rest repeats), sent by "
                  "machines in touch; allowed: 3",
                  Crashes[4], Bound, Count, Late.size());
    Outcome = Count > 3 ? 1 : 0;
  }
  record().line(Outcome == 1 ? "BUDGET is broken" : "BUDGET holds");
  for (const auto &R : Fleet)
    R->kill();
  if (Outcome != 1 && Whole < Sent / 2) {
    record().line("too few sound streams were served: the case says nothing");
    Outcome = 2;
  }
  const std::string Remove = std::string("rm -rf ") + Temp;
  if (!std::getenv("KEEP") && std::system(Remove.c_str()) != 0)
    return 2;
  std::fflush(nullptr);
  std::_Exit(Outcome);
}
