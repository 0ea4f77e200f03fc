// Case: streams whose prompt holds a part that crashes workers wait, as
// suspects, to go on at another worker; their callers leave, and the router no
// longer answers anybody.
#include "../stand-in-2/models.h"

#include <csignal>

using namespace rig;

namespace {

constexpr unsigned Routers = 3;
constexpr double TimeoutS = 2.5; // of the plain route
constexpr double LateS = TimeoutS + 0.5;
constexpr unsigned Rounds = 8;
constexpr double RoundS = 8;
constexpr unsigned Sound = 30; // streams on a new template, at each router

// A stream whose caller leaves after a time, before its deadline.
void streamAndLeave(unsigned short Port, const std::string &Id,
                    const std::string &Prompt, double LeaveAfterS) {
  const int Fd = dial(Port, 5);
  if (Fd < 0)
    return;
  Wire Conn(Fd);
  const std::string Body = "prompt of " + Id;
  Conn.write("POST /guide/a HTTP/1.1\r\nHost: a.example\r\n"
             "X-Mimosadale-Request-Id: " +
             Id +
             "\r\nX-Mimosadale-Deadline-Ms: 20000\r\nX-Mimosadale-Model: m0\r\n"
             "X-Mimosadale-Token-Count: 800,400\r\n"
             "X-Mimosadale-Prompt-Prefix: " +
             Prompt + "\r\nAuthorization: Bearer key1\r\nContent-Length: " +
             std::to_string(Body.size()) + "\r\n\r\n" + Body);
  sleepS(LeaveAfterS);
  ::close(Fd);
}

} // namespace

int main() {
  ::signal(SIGPIPE, SIG_IGN);
  const char *Folder = std::getenv("CASE_FOLDER");
  const char *Temp = std::getenv("CASE_TMP");
  const char *Trouble = std::getenv("TROUBLE");
  const bool Disturbed = !Trouble || std::string(Trouble) != "0";
  if (!Folder || !Temp)
    return 2;
  ::setenv("ROUTER_BIN", "target/packages/mimosadale", 0);
  record().open(std::string(Folder) + "/record.txt");
  Store Platform;
  Models Workers(Platform);
  Platform.put("op", "config", configText(7));
  for (const char *Zone : {"fukuoka", "kumamoto", "kagoshima"})
    for (unsigned I = 0; I < 8; ++I)
      Workers.add(Zone);
  std::vector<std::unique_ptr<Router>> Fleet;
  for (unsigned I = 0; I < Routers; ++I) {
    static const char *Zones[] = {"fukuoka", "kumamoto", "kagoshima"};
    Fleet.push_back(std::make_unique<Router>(
        "front-" + std::to_string(I + 1), Zones[I], Platform.address(), Temp));
    Fleet.back()->start();
  }
  if (!waitUntil(40, [&] {
        return Workers.covered() &&
               std::all_of(Fleet.begin(), Fleet.end(),
                           [](const auto &R) { return R->ready(); });
      })) {
    record().line("the routers are not ready, or layers are missing");
    for (const auto &R : Fleet)
      R->kill();
    std::_Exit(2);
  }
  sleepS(3);

  // Callers of a plain service beside them. Nobody serves it, so that a router
  // answers at once with 503.
  std::atomic<bool> Stop = false;
  std::atomic<unsigned> Asked = 0, AtTimeout = 0, Late = 0;
  std::vector<std::thread> Callers;
  for (unsigned I = 0; I < Routers; ++I)
    for (unsigned K = 0; K < 4; ++K)
      Callers.emplace_back([&, I, K] {
        for (unsigned N = 0; !Stop; ++N) {
          const std::string Id = "plain-" + std::to_string(I) + "-" +
                                 std::to_string(K) + "-" + std::to_string(N);
          const double At = now();
          const Reply Got = call(Fleet[I]->callers(), "POST", "/book/a",
                                 {{"Host", "a.example"},
                                  {"X-Mimosadale-Request-Id", Id},
                                  {"X-Mimosadale-Deadline-Ms", "4000"},
                                  {"Authorization", "Bearer key1"}},
                                 "seat", 4);
          const double Took = now() - At;
          ++Asked;
          AtTimeout += Took > TimeoutS;
          Late += Took > LateS;
          if (Took > 1)
            record().line("%s: status %u of %s after %.1f s", Id.c_str(),
                          Got.m_Status, Fleet[I]->name().c_str(), Took);
          sleepS(0.2);
        }
      });

  std::mt19937 Draw(11);
  std::uniform_real_distribution<double> Leave(0.7, 1.6);
  std::vector<std::thread> Streams;
  unsigned Number = 0;
  const auto Open = [&](unsigned To, const std::string &Shared, double After) {
    char Own[16];
    std::snprintf(Own, sizeof(Own), "%08x", 0xe0000000u + ++Number);
    Streams.emplace_back([Port = Fleet[To]->callers(), After,
                          Id = "stream-" + std::to_string(Number),
                          Prompt = Shared + "," + Own + ":90"] {
      streamAndLeave(Port, Id, Prompt, After);
    });
  };
  for (unsigned Round = 0; Round < Rounds; ++Round) {
    const double From = now();
    // A new prompt template, with which many requests begin.
    char Template[24], Part[24];
    std::snprintf(Template, sizeof(Template), "91bd%04x:40", Round);
    std::snprintf(Part, sizeof(Part), "5c1e%04x", Round);
    Workers.watch(Part);
    if (Disturbed)
      Workers.setDeadly(Part, Victim::First, 3);
    record().line("round %u: template %s, part %s", Round, Template, Part);
    for (unsigned I = 0; I < Sound; ++I) {
      for (unsigned To = 0; To < Routers; ++To)
        Open(To, Template, Leave(Draw));
      sleepS(0.3 / Sound);
    }
    sleepS(0.1);
    for (unsigned I = 0; I < 2; ++I) {
      Open(0, std::string(Template) + "," + Part + ":60", I == 0 ? 3 : 0.13);
      sleepS(0.35);
    }
    sleepUntil(From + RoundS);
  }
  for (std::thread &One : Streams)
    One.join();
  sleepS(5);
  Stop = true;
  for (std::thread &One : Callers)
    One.join();
  record().line("%u requests with the parts, workers crashed %zu times", Number,
                Workers.crashes().size());
  record().line("%u plain requests, %u unanswered at TimeoutMs, %u half a "
                "second later",
                Asked.load(), AtTimeout.load(), Late.load());
  const bool Broken = Late >= 8 && 4 * Late > AtTimeout;
  record().line("%s", Broken ? "CONFIG is broken" : "CONFIG holds");
  for (const auto &R : Fleet)
    R->kill();
  std::fflush(nullptr);
  std::_Exit(Broken ? 1 : 0);
}
