// Case: a router passes on an answer with Server-Leaving that another router
// got for it, and sends to that worker later than DrainMs after that.
#include "plain_fleet.h"

using namespace review;

int main() {
  constexpr long DrainMs = 2000;
  Record Log(caseFolder() + "/record.txt");
  PlainFleet Fleet(Log, 8, [](const Message &) { return std::pair(200, 30L); });
  if (!Fleet.start()) {
    Log.line("the routers did not become ready");
    return 2;
  }
  const bool Trouble = withTrouble();
  const long T0 = nowMs() + 2000; // traffic starts before
  bool Down = false, Cut = false, Restored = false, Up = false;
  unsigned Leaving = 0;
  long NextOther = nowMs();
  for (long Next = nowMs(); nowMs() < T0 + 9500; Next += 50) {
    sleepMs(Next - nowMs());
    const long Now = nowMs() - T0;
    if (Trouble && !Down && Now >= 0) {
      Fleet.m_Store.setDown(true);
      Down = true;
    }
    if (Trouble && !Cut && Now >= 300) {
      Fleet.cutWorkersFrom(0);
      Cut = true;
    }
    // A release: half of the workers leave, one after the other.
    if (Leaving < 4 && Now >= 1500 + 500L * Leaving)
      Fleet.m_Workers[4 + Leaving++]->leave();
    if (Trouble && !Restored && Now >= 4300) {
      Fleet.restoreWorkersTo(0);
      Restored = true;
    }
    if (Trouble && !Up && Now >= 8000) {
      Fleet.m_Store.setDown(false);
      Up = true;
    }
    Fleet.send(0, "GET", "/stock/seat", 2500);
    if (nowMs() >= NextOther) {
      Fleet.send(1, "GET", "/stock/seat", 2500);
      Fleet.send(2, "GET", "/stock/seat", 2500);
      NextOther += 1000;
    }
  }
  Fleet.finish();

  // When r1 had first passed on an answer of a worker with Server-Leaving.
  std::map<std::string, long> PassedOn;
  std::map<std::string, long> SentAt;
  int Answered = 0;
  for (const Sent &Request : Fleet.sent()) {
    SentAt[Request.m_Id] = Request.m_At;
    Answered += Request.m_Answer.status() == 200;
    if (Request.m_Router != 0 ||
        Request.m_Answer.header("Server-Leaving") != "1")
      continue;
    const std::string Seal =
        Request.m_Answer.header("X-Mimosadale-Server-Seal");
    const std::string Id = Seal.substr(0, Seal.find('.'));
    const auto [Known, IsNew] = PassedOn.try_emplace(Id, Request.m_AnsweredAt);
    Known->second = std::min(Known->second, Request.m_AnsweredAt);
  }
  for (const auto &[Id, At] : PassedOn)
    Log.line("r1 had passed on Server-Leaving of " + Id + " at " +
             std::to_string(At));
  int Broken = 0;
  for (const auto &Each : Fleet.m_Workers)
    for (const Worker::Arrival &Arrived : Each->arrivals()) {
      const auto Known = PassedOn.find(Each->id());
      if (Arrived.m_Router != 0 || Known == PassedOn.end() ||
          SentAt[Arrived.m_RequestId] <= Known->second + DrainMs)
        continue;
      ++Broken;
      Log.line("BROKEN DRAIN: " + Arrived.m_RequestId + ", sent " +
               std::to_string(SentAt[Arrived.m_RequestId] - Known->second) +
               " ms after that, reaches " + Each->id() + " from r1");
    }
  Log.line(std::to_string(Answered) + " answered with 200; " +
           std::to_string(Broken) + " requests break the rule");
  // Without the disruption the store tells of a leaving as early as answers do.
  if (Answered == 0 || (Trouble && PassedOn.empty())) {
    Log.line(
        "the case could not run: no answer with Server-Leaving came by r1");
    return 2;
  }
  return Broken > 0 ? 1 : 0;
}
