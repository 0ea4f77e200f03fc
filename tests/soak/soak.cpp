// Callers press routers while faults come and go, drawn by a seed. What must
// hold of each answer is judged as it comes, the rest when the faults are over.
#include "platform/fake_platform.h"
#include "platform/forward_router.h"

#include <atomic>
#include <boost/program_options.hpp>
#include <csignal>
#include <iostream>
#include <map>
#include <mutex>
#include <random>
#include <thread>

using namespace mimosadale;
using namespace std::chrono_literals;
using tests::FakePlatform;
using tests::ForwardRouter;
using Clock = std::chrono::steady_clock;

namespace {

// Events of a stream: at the stand-in's pace some 0.2 s of writing.
constexpr unsigned Events = 40;

// Callers at work at once, and their pause between two requests.
constexpr int Callers = 8;
constexpr auto CallerPause = 10ms;

// Interval between faults, and the time that one lasts.
constexpr auto FaultPause = 150ms;
constexpr int ShortestFaultMs = 100;
constexpr int LongestFaultMs = 1800;

// Time in which everything must be served once the faults are over: the
// shortest that a site of the users asks for.
constexpr auto RecoverWithin = 12s;

// What callers saw. Guarded by its mutex.
class Ledger {
public:
  void broken(const std::string &What) {
    const std::lock_guard Lock(m_Mutex);
    m_Broken.push_back(What);
  }
  void answered(unsigned Status) {
    const std::lock_guard Lock(m_Mutex);
    ++m_ByStatus[Status];
  }
  // A call that may not be repeated, and whether its answer promised that it
  // did not run.
  void called(const std::string &Id, bool NotRun) {
    const std::lock_guard Lock(m_Mutex);
    m_Calls[Id] = NotRun;
  }

  // Judges what can still change until all is over. \pre All callers ended.
  void judge(FakePlatform &Platform) {
    for (const auto &[Id, NotRun] : m_Calls)
      if (const int Runs = Platform.runCount(Id); Runs > (NotRun ? 0 : 1))
        broken(Id + " ran " + std::to_string(Runs) + " times" +
               (NotRun ? " though refused as not run" : ""));
    for (const std::string &Each : Platform.violations())
      broken(Each);
  }

  bool print(std::ostream &To) const {
    for (const auto &[Status, Count] : m_ByStatus)
      To << (Status == 0 ? "no whole answer" : std::to_string(Status)) << ": "
         << Count << "\n";
    for (const std::string &Each : m_Broken)
      To << "BROKEN: " << Each << "\n";
    return m_Broken.empty();
  }

private:
  std::mutex m_Mutex;
  std::map<unsigned, int> m_ByStatus;
  std::map<std::string, bool> m_Calls;
  std::vector<std::string> m_Broken;
};

bool promisesNotRun(unsigned Status) {
  return Status == 408 || Status == 421 || Status == 429 || Status == 503;
}

// A proper request is never refused for good.
void judgeStatus(const std::string &Id, unsigned Status, Ledger &Into) {
  if (Status >= 300 && Status < 500 && !promisesNotRun(Status))
    Into.broken(Id + " was denied with " + std::to_string(Status));
  Into.answered(Status);
}

void runStream(const ForwardRouter &At, const std::string &Id, Ledger &Into) {
  harness::EventStream Stream(At.callerAddress(), "/guide/seat",
                              tests::requestHeaders(Id, "key", Events), "x");
  const unsigned Status = Stream.status();
  unsigned Last = 0;
  while (const auto Event = Stream.next()) {
    if (Event->m_Id != std::to_string(Last + 1))
      Into.broken(Id + ": event " + Event->m_Id + " follows " +
                  std::to_string(Last));
    ++Last;
  }
  const bool Ended = Status == 200 && Stream.isComplete();
  if (Ended && Last != Events)
    Into.broken(Id + " ends as complete after " + std::to_string(Last));
  judgeStatus(Id, Status == 200 && !Ended ? 0 : Status, Into);
}

void runCall(const ForwardRouter &At, const std::string &Id,
             const std::string &Target, bool Once, Ledger &Into) {
  const auto Answer = harness::sendRequest("POST", At.callerAddress(), Target,
                                           tests::requestHeaders(Id), Id);
  if (Answer.m_Status == 200 && Answer.m_Body != "counter " + Target + " " + Id)
    Into.broken(Id + " got another answer: " + Answer.m_Body);
  if (Once)
    Into.called(Id, promisesNotRun(Answer.m_Status));
  judgeStatus(Id, Answer.m_Status, Into);
}

using Routers = std::vector<std::unique_ptr<ForwardRouter>>;

void runCaller(int Number, unsigned Seed, const Routers &At,
               const std::atomic<bool> &Stop, Ledger &Into) {
  std::mt19937 Random(Seed + static_cast<unsigned>(Number));
  for (int I = 0; !Stop; ++I) {
    const ForwardRouter &Router = *At[Random() % At.size()];
    const std::string Id =
        "c" + std::to_string(Number) + "-" + std::to_string(I);
    switch (Random() % 4) {
    case 0:
      runCall(Router, Id, "/book/seat", true, Into);
      break;
    case 1:
      runCall(Router, Id, "/look/seat", false, Into);
      break;
    default:
      runStream(Router, Id, Into);
    }
    std::this_thread::sleep_for(CallerPause);
  }
}

// Draws faults and takes them back when their time is over; two never meet on
// one subject.
class Faults {
public:
  Faults(FakePlatform &Platform, Routers &At, unsigned Seed)
      : m_Platform(Platform), m_Routers(At), m_Random(Seed) {}

  void step() {
    endThose([](const Fault &Each) { return Clock::now() >= Each.m_End; });
    draw();
  }
  void endAll() {
    endThose([](const Fault &) { return true; });
  }
  const std::map<std::string, int> &counts() const { return m_Counts; }

private:
  struct Fault {
    Clock::time_point m_End;
    std::function<void()> m_Undo;
  };

  template <typename Which> void endThose(const Which &Ends) {
    for (auto At = m_Active.begin(); At != m_Active.end();) {
      if (!Ends(At->second)) {
        ++At;
        continue;
      }
      At->second.m_Undo();
      At = m_Active.erase(At);
    }
  }

  // Begins a fault unless its subject has one.
  void begin(const std::string &Kind, const std::string &Subject,
             const std::function<void()> &Do, std::function<void()> Undo) {
    if (m_Active.contains(Subject))
      return;
    std::uniform_int_distribution<int> Length(ShortestFaultMs, LongestFaultMs);
    ++m_Counts[Kind];
    Do();
    m_Active[Subject] = {Clock::now() +
                             std::chrono::milliseconds(Length(m_Random)),
                         std::move(Undo)};
  }

  void draw() {
    const unsigned Subject = m_Random();
    switch (m_Random() % 8) {
    case 0:
    case 1:
      silenceEngine(Subject);
      break;
    case 2:
      m_Platform.dropAnswers("b" + std::to_string(Subject % m_Services), 2);
      ++m_Counts["answers lost"];
      break;
    case 3:
      failStore(Subject % 2, Subject % 4 < 2);
      break;
    case 4:
      endRouter(Subject, SIGKILL);
      break;
    case 5:
      endRouter(Subject, SIGTERM);
      break;
    case 6:
      freezeRouter(Subject);
      break;
    default:
      change(Subject);
    }
  }

  void silenceEngine(unsigned Drawn) {
    const std::string Id =
        (Drawn % 2 ? "fukuoka" : "kumamoto") + std::to_string(Drawn / 2 % 3);
    begin(
        "engine silent", Id, [&] { m_Platform.stopResponding(Id); },
        [this, Id] { m_Platform.resumeResponding(Id); });
  }

  void failStore(std::size_t Door, bool Silent) {
    begin(
        Silent ? "store silent" : "store refuses",
        "door" + std::to_string(Door),
        [&] {
          m_Platform.setStoreMode(Silent ? tests::StoreMode::Unresponsive
                                         : tests::StoreMode::Unavailable,
                                  Door);
        },
        [this, Door] {
          m_Platform.setStoreMode(tests::StoreMode::Available, Door);
        });
  }

  void endRouter(unsigned Drawn, int Signal) {
    ForwardRouter &At = *m_Routers[Drawn % m_Routers.size()];
    begin(
        Signal == SIGKILL ? "router killed" : "router stopped",
        At.callerAddress(), [&] { At.process().signal(Signal); },
        [&At] {
          At.process().wait();
          At.start();
        });
  }

  void freezeRouter(unsigned Drawn) {
    ForwardRouter &At = *m_Routers[Drawn % m_Routers.size()];
    begin(
        "router frozen", At.callerAddress(),
        [&] { At.process().signal(SIGSTOP); },
        [&At] { At.process().signal(SIGCONT); });
  }

  // Changes that stay: a new configuration, an endpoint that another replaces,
  // an entry that nobody can read.
  void change(unsigned Drawn) {
    if (Drawn % 3 == 0) {
      ++m_Counts["configuration"];
      m_Platform.configure(++m_Version);
    } else if (Drawn % 3 == 1) {
      ++m_Counts["endpoint replaced"];
      m_Platform.addService("b" + std::to_string(m_Services++), "booking");
      m_Platform.drain("b" + std::to_string(m_Services - 3));
    } else {
      ++m_Counts["unreadable entry"];
      m_Platform.put("servers", "odd", "{\"Service\": 7");
    }
  }

  FakePlatform &m_Platform;
  Routers &m_Routers;
  std::mt19937 m_Random;
  unsigned m_Services = 3; // b0, b1 and b2 are there at the start
  std::uint64_t m_Version = 1;
  std::map<std::string, Fault> m_Active; // by subject
  std::map<std::string, int> m_Counts;
};

bool serves(const ForwardRouter &At, const std::string &Id) {
  harness::EventStream Stream(At.callerAddress(), "/guide/seat",
                              tests::requestHeaders(Id, "key", Events), "x");
  while (Stream.next())
    continue;
  return Stream.status() == 200 && Stream.isComplete() &&
         harness::sendRequest("POST", At.callerAddress(), "/look/seat",
                              tests::requestHeaders(Id + "-look"), "x")
                 .m_Status == 200;
}

void expectAllServe(const Routers &At, const std::string &When, Ledger &Into) {
  int Try = 0;
  for (const auto &Each : At)
    if (!harness::waitUntil(
            [&] { return serves(*Each, When + std::to_string(++Try)); },
            RecoverWithin))
      Into.broken(Each->callerAddress() + " does not serve " + When + "\n" +
                  Each->log());
}

int run(unsigned Seed, int Seconds, int RouterCount) {
  FakePlatform Platform;
  for (const char *Centre : {"fukuoka", "kumamoto"})
    for (int I = 0; I < 3; ++I)
      Platform.addEngine(std::string(Centre) + std::to_string(I), Centre);
  for (int I = 0; I < 3; ++I)
    Platform.addService("b" + std::to_string(I), "booking");
  Platform.configure(1);
  Routers At;
  for (int I = 0; I < RouterCount; ++I)
    At.push_back(std::make_unique<ForwardRouter>(
        Platform, "r" + std::to_string(I), tests::LargeRetryBudget,
        static_cast<std::size_t>(I % 2)));
  Ledger Seen;
  expectAllServe(At, "start", Seen);
  std::atomic<bool> Stop = false;
  std::vector<std::thread> Threads;
  for (int I = 0; I < Callers; ++I)
    Threads.emplace_back([&, I] { runCaller(I, Seed, At, Stop, Seen); });
  Faults Drawn(Platform, At, Seed);
  const auto End = Clock::now() + std::chrono::seconds(Seconds);
  while (Clock::now() < End) {
    Drawn.step();
    std::this_thread::sleep_for(FaultPause);
  }
  Drawn.endAll();
  Stop = true;
  for (std::thread &Each : Threads)
    Each.join();
  expectAllServe(At, "after", Seen);
  Seen.judge(Platform);
  std::cout << "seed " << Seed << ", " << Seconds << " s, " << RouterCount
            << " routers\n";
  for (const auto &[Kind, Count] : Drawn.counts())
    std::cout << "  " << Kind << ": " << Count << "\n";
  return Seen.print(std::cout) ? 0 : 1;
}

} // namespace

int main(int Count, char **Values) {
  namespace options = boost::program_options;
  unsigned Seed = 0;
  int Seconds = 0;
  int RouterCount = 0;
  options::options_description Known("soak");
  Known.add_options()("help", "this text")(
      "seed", options::value(&Seed)->default_value(1), "of all draws")(
      "seconds", options::value(&Seconds)->default_value(60),
      "time with faults")("routers",
                          options::value(&RouterCount)->default_value(3),
                          "routers that callers reach");
  options::variables_map Given;
  try {
    options::store(options::parse_command_line(Count, Values, Known), Given);
    options::notify(Given);
  } catch (const options::error &Wrong) {
    std::cerr << "soak: " << Wrong.what() << "\n" << Known;
    return 2;
  }
  if (Given.contains("help")) {
    std::cout << Known;
    return 0;
  }
  return run(Seed, Seconds, RouterCount);
}
