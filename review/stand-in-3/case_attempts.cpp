// Case: a router that reaches no worker hands requests over; the router that
// has them is killed, and they go to a third one. In one client attempt they
// run on more workers than the route's MaxAttempts.
#include "plain_fleet.h"

#include <random>
#include <signal.h>

using namespace review;

namespace {

// The router other than r1 from which most requests came lately.
unsigned busiest(PlainFleet &Fleet) {
  std::map<unsigned, int> Count;
  for (const auto &Each : Fleet.m_Workers)
    for (const Worker::Arrival &Arrived : Each->arrivals())
      if (Arrived.m_At > nowMs() - 300)
        ++Count[Arrived.m_Router];
  return Count[2] > Count[1] ? 2 : 1;
}

} // namespace

int main() {
  constexpr std::size_t MaxAttempts = 2;
  constexpr long WorkMs = 200;
  constexpr unsigned Rounds = 2;
  constexpr long RoundMs = 20000;
  constexpr double ErrorShare = 0.14; // of the site's stock-lookup
  constexpr double LostShare = 0.4;   // answer_lost, at three of five workers
  Record Log(caseFolder() + "/record.txt");
  std::mutex Mutex;
  std::mt19937 Random(7);
  std::atomic<bool> Losing{false};
  std::map<std::string, bool> Loses{{"w1", true}, {"w2", true}, {"w3", true}};
  PlainFleet Fleet(Log, 5, [&](const Message &Request) {
    const std::lock_guard Lock(Mutex);
    const auto Draw = [&] {
      return std::uniform_real_distribution<double>(0, 1)(Random);
    };
    if (Draw() < ErrorShare)
      return std::pair(500, 30L);
    const bool Lost = Losing &&
                      Loses[Request.header("X-Mimosadale-Expect-Instance")] &&
                      Draw() < LostShare;
    return std::pair(Lost ? 0 : 200, WorkMs);
  });
  if (!Fleet.start()) {
    Log.line("the routers did not become ready");
    return 2;
  }
  const bool Trouble = withTrouble();
  const long T0 = nowMs() + 1000;
  struct Step {
    long m_At;
    std::function<void()> m_Do;
  };
  std::list<Step> Steps;
  unsigned Killed = 0;
  for (unsigned Round = 0; Trouble && Round < Rounds; ++Round) {
    const long From = Round * RoundMs;
    Steps.push_back({From, [&] { Fleet.cutWorkersFrom(0); }});
    for (const long At : {From + 4000, From + 8500, From + 13000}) {
      Steps.push_back({At - 1500, [&] { Losing = true; }});
      Steps.push_back({At, [&] {
                         Killed = busiest(Fleet);
                         Fleet.m_Routers[Killed]->signal(SIGKILL);
                       }});
      // The platform starts it again.
      Steps.push_back({At + 500, [&] { Fleet.m_Routers[Killed]->restart(); }});
      Steps.push_back({At + 2500, [&] { Losing = false; }});
    }
    Steps.push_back({From + 14000, [&] { Fleet.restoreWorkersTo(0); }});
  }
  Steps.sort([](const Step &A, const Step &B) { return A.m_At < B.m_At; });
  for (long Next = nowMs(); nowMs() < T0 + Rounds * RoundMs; Next += 7) {
    sleepMs(Next - nowMs());
    while (!Steps.empty() && nowMs() >= T0 + Steps.front().m_At) {
      Steps.front().m_Do();
      Steps.pop_front();
    }
    Fleet.send(0, "GET", "/stock/seat", 2500);
  }
  Fleet.finish();

  int Answered = 0;
  for (const Sent &Request : Fleet.sent())
    Answered += Request.m_Answer.status() == 200;
  std::map<std::string, std::map<std::string, int>> RanAt;
  for (const auto &Each : Fleet.m_Workers)
    for (const Worker::Arrival &Arrived : Each->arrivals())
      ++RanAt[Arrived.m_RequestId][Each->id()];
  int Over = 0;
  for (const auto &[Id, Workers] : RanAt) {
    if (Workers.size() <= MaxAttempts)
      continue;
    ++Over;
    std::string Names;
    for (const auto &[Worker, Runs] : Workers)
      Names += " " + Worker;
    Log.line("over MaxAttempts: " + Id + " ran on" + Names);
  }
  const bool Broken = Over > 3;
  Log.line(std::to_string(Answered) + " answered with 200; " +
           std::to_string(Over) + " requests ran on more than " +
           std::to_string(MaxAttempts) + " workers" +
           (Broken ? ": BROKEN BUDGET" : ""));
  if (Answered == 0)
    return 2;
  return Broken ? 1 : 0;
}
