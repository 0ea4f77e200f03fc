// Tables of cases for the smaller decisions.
#include "decide/admission.h"
#include "decide/adoption.h"
#include "decide/endpoint_directory.h"
#include "decide/endpoint_health.h"
#include "decide/host_list.h"
#include "decide/path_chooser.h"
#include "decide/refusal.h"
#include "decide/rendezvous.h"
#include "decide/replay_window.h"
#include "decide/retry_budget.h"
#include "decide/write_batcher.h"

#include <doctest/doctest.h>
#include <map>
#include <type_traits>

using namespace mimosadale;
using namespace mimosadale::decide;
using namespace std::chrono_literals;

namespace {

constexpr Instant T0{std::chrono::seconds(1000)};

EngineProfile engine(const std::string &Name, std::uint32_t First,
                     std::uint32_t End, double Rate) {
  return {EndpointId(Name), {First, End}, Rate, {}};
}

EngineLoad noLoad(const EndpointId &) { return {}; }

} // namespace

TEST_CASE("run state: not run can only be proved, never claimed") {
  static_assert(!std::is_default_constructible_v<NotRunProof>);
  RunTracker Run;
  CHECK(Run.notRunProof());
  Run.beforeDispatch();
  CHECK_FALSE(Run.notRunProof());
  Run.dispatchNeverSent();
  CHECK(Run.notRunProof());
  Run.beforeDispatch();
  Run.endpointReportedNotRun(false);
  CHECK_FALSE(Run.notRunProof());
  Run.endpointReportedNotRun(true);
  CHECK(Run.notRunProof());
  Run.beforeDispatch(); // this one may have run
  Run.beforeDispatch();
  Run.dispatchNeverSent(); // says nothing of the one before
  CHECK_FALSE(Run.notRunProof());
  Run.markRan();
  CHECK(Refusal::forRun(Run, schema::NO_PATH, "").runState() == schema::RAN);
}

TEST_CASE("paths: tilings are exact") {
  const auto path = [](std::vector<LayerRange> Ranges) {
    Path Stages;
    for (const LayerRange Each : Ranges)
      Stages.push_back({EndpointId("e"), Each});
    return Stages;
  };
  CHECK(tilesExactly(path({{0, 4}, {4, 8}}), 8));
  CHECK_FALSE(tilesExactly(path({{0, 4}, {5, 8}}), 8)); // gap
  CHECK_FALSE(tilesExactly(path({{0, 4}, {3, 8}}), 8)); // overlap
  CHECK_FALSE(tilesExactly(path({{0, 4}}), 8));         // short
  CHECK_FALSE(tilesExactly(path({{4, 8}, {0, 4}}), 8)); // order
  CHECK_FALSE(tilesExactly(path({{0, 0}, {0, 8}}), 8)); // empty stage
  CHECK_FALSE(tilesExactly(path({}), 0));
}

TEST_CASE("paths: property: what is chosen tiles the model") {
  Random Rng(20261203);
  for (int Round = 0; Round < 300; ++Round) {
    std::vector<EngineProfile> Engines;
    for (int I = 0; I < 20; ++I) {
      const auto First = static_cast<std::uint32_t>(Rng() % 12);
      const auto End = static_cast<std::uint32_t>(First + 1 + Rng() % 6);
      Engines.push_back(engine("e" + std::to_string(I), First, End,
                               static_cast<double>(Rng() % 500)));
    }
    const PathChooser Chooser(Engines, 12);
    EndpointSet Avoid{EndpointId("e3"), EndpointId("e7")};
    const auto Chosen = Chooser.choose(noLoad, Avoid, Rng);
    if (!Chosen)
      continue;
    CHECK(tilesExactly(*Chosen, 12));
    for (const StagePlan &Each : *Chosen)
      CHECK_FALSE(Avoid.contains(Each.m_Endpoint));
  }
}

TEST_CASE("paths: the maximum flow is the bound, and its shares are drawn") {
  const PathChooser Chooser(
      {engine("a", 0, 4, 300), engine("b", 0, 4, 100), engine("c", 4, 8, 500)},
      8);
  CHECK(Chooser.maximumFlow() == doctest::Approx(400));
  CHECK(Chooser.flowThrough(EndpointId("a")) == doctest::Approx(300));
  CHECK(Chooser.flowThrough(EndpointId("c")) == doctest::Approx(400));
  Random Rng(7);
  std::map<EndpointId, int> Taken;
  // All queues grow alike, so only the shares decide.
  const auto Even = [](const EndpointId &Name) {
    EngineLoad Load;
    Load.m_Queued = Name.str() == "a" ? 299 : 99;
    return Load;
  };
  for (int I = 0; I < 4000; ++I)
    ++Taken[Chooser.choose(Even, {}, Rng)->front().m_Endpoint];
  CHECK(Taken[EndpointId("a")] > Taken[EndpointId("b")] * 2);
}

TEST_CASE("paths: a gap in the layers leaves no path") {
  Random Rng(1);
  const PathChooser Chooser({engine("a", 0, 4, 1), engine("c", 5, 8, 1)}, 8);
  CHECK_FALSE(Chooser.choose(noLoad, {}, Rng));
  CHECK(Chooser.maximumFlow() == 0);
  CHECK_FALSE(Chooser.chooseReplacement({4, 8}, noLoad, {}));
  CHECK(Chooser.chooseReplacement({5, 8}, noLoad, {}));
}

TEST_CASE("admission: places, queue, deadlines, early refusal") {
  Admission Queue({2, 2});
  const auto ask = [&](const char *Workspace, Duration Time,
                       double Weight = 1) {
    AdmissionRequest Request;
    Request.m_Workspace = WorkspaceId(Workspace);
    Request.m_Weight = Weight;
    Request.m_Deadline = T0 + Time;
    return Queue.offer(Request, T0);
  };
  using Kind = AdmissionDecision::Kind;
  CHECK(ask("a", 10s).m_Kind == Kind::Admitted);
  CHECK(ask("a", 10s).m_Kind == Kind::Admitted);
  const auto Late = ask("a", 9s);
  const auto Early = ask("a", 5s);
  CHECK(Late.m_Kind == Kind::Queued);
  CHECK(Early.m_Kind == Kind::Queued);
  const auto Full = ask("a", 10s);
  CHECK(Full.m_Kind == Kind::Refused);
  CHECK(Full.m_Reason == schema::OVERLOADED);
  CHECK(Full.m_RetryAfter);
  const auto Next = Queue.release(1s, T0);
  REQUIRE(Next.m_Admitted.size() == 1);
  CHECK(Next.m_Admitted[0] == Early.m_Ticket);
  const auto Hopeless = ask("a", 500ms);
  CHECK(Hopeless.m_Kind == Kind::Refused);
  CHECK(Hopeless.m_Reason == schema::DEADLINE_UNREACHABLE);
  const auto After = Queue.release(1s, T0 + 20s);
  CHECK(After.m_Admitted.empty());
  CHECK(After.m_Expired.size() == 1);
  CHECK(ask("a", 0s).m_Reason == schema::DEADLINE_PASSED);
}

TEST_CASE("admission: workspaces share by weight, and none starves") {
  Admission Queue({1, 1000});
  std::map<Ticket, std::string> Owner;
  const auto ask = [&](const char *Workspace, double Weight) {
    AdmissionRequest Request;
    Request.m_Workspace = WorkspaceId(Workspace);
    Request.m_Weight = Weight;
    Request.m_Deadline = T0 + 1h;
    Owner[Queue.offer(Request, T0).m_Ticket] = Workspace;
  };
  ask("other", 1);
  for (int I = 0; I < 400; ++I) {
    ask("heavy", 3);
    ask("light", 1);
  }
  std::map<std::string, int> Served;
  for (int I = 0; I < 400; ++I)
    for (const Ticket Each : Queue.release(1ms, T0).m_Admitted)
      ++Served[Owner[Each]];
  CHECK(Served["heavy"] >= 297);
  CHECK(Served["heavy"] <= 303);
  CHECK(Served["light"] >= 97);
  CHECK(shareWeight(2, 3) == 16);
}

TEST_CASE("retry budget: a fraction of first tries above a reserve") {
  RetryBudget Budget(0.1, 2);
  CHECK(Budget.tryConsume());
  CHECK(Budget.tryConsume());
  CHECK_FALSE(Budget.tryConsume());
  for (int I = 0; I < 11; ++I)
    Budget.onFirstAttempt();
  CHECK(Budget.tryConsume());
  CHECK_FALSE(Budget.tryConsume());
}

TEST_CASE("write batcher: company, urgency, one of a key, outage") {
  BatcherLimits Limits;
  Limits.m_TransactionsPerSecond = 1000;
  Limits.m_MaxUrgent = 3;
  WriteBatcher Batcher(Limits);
  std::uint64_t Ticket = 0;
  const auto add = [&](const char *Key, bool Urgent) {
    return Batcher.add({++Ticket, Key, 0, "", Urgent, T0});
  };
  using AddResult = WriteBatcher::AddResult;
  CHECK(add("a", false) == AddResult::Queued);
  CHECK(Batcher.takeBatch(T0).empty()); // waits for company
  CHECK(Batcher.nextBatchAt(T0) == T0 + Limits.m_BatchWindow);
  CHECK(add("b", true) == AddResult::Queued);
  CHECK(add("b", true) == AddResult::Queued);
  const auto First = Batcher.takeBatch(T0);
  REQUIRE(First.size() == 2); // one write of a key
  CHECK(First[0].m_Key == "b");
  CHECK(First[1].m_Key == "a");
  CHECK(Batcher.takeBatch(T0).empty()); // one transaction at a time
  Batcher.onDone(false, T0);
  CHECK_FALSE(Batcher.isDown()); // one lost answer is no outage
  REQUIRE(Batcher.takeBatch(T0 + 10ms).size() == 1);
  Batcher.onDone(false, T0);
  CHECK(Batcher.isDown());
  CHECK(add("c", true) == AddResult::StoreDown);
  CHECK(add("c", false) == AddResult::Queued);
  CHECK(Batcher.takeBatch(T0).empty());
  CHECK_FALSE(Batcher.takeBatch(T0 + Limits.m_OutageBackoff).empty());
  Batcher.onDone(true, T0 + 1s);
  CHECK(add("d", true) == AddResult::Queued);
  CHECK(add("e", true) == AddResult::Queued);
  CHECK(add("f", true) == AddResult::Queued);
  CHECK(add("g", true) == AddResult::QueueFull);
}

TEST_CASE("write batcher: the rate bounds the transactions") {
  BatcherLimits Limits;
  Limits.m_TransactionsPerSecond = 100;
  WriteBatcher Batcher(Limits);
  unsigned Sent = 0;
  for (int Ms = 0; Ms < 1000; ++Ms) {
    const Instant Now = T0 + std::chrono::milliseconds(Ms);
    Batcher.add(
        {static_cast<std::uint64_t>(Ms), std::to_string(Ms), 0, "", true, Now});
    if (Batcher.takeBatch(Now).empty())
      continue;
    ++Sent;
    Batcher.onDone(true, Now);
  }
  CHECK(Sent <= 111);
  CHECK(Sent >= 90);
}

TEST_CASE("host list: leaving is kept until a newer incarnation") {
  HostList List;
  const HostId Host("h");
  const auto leaves = [&](bool Leaving, std::uint64_t Listed) {
    List.merge(Host, {static_cast<Incarnation>(Listed), Leaving});
    return List.state(Host).m_Leaving;
  };
  CHECK_FALSE(List.state(Host).m_Leaving);
  CHECK_FALSE(leaves(false, 3));
  CHECK(leaves(true, 3));
  CHECK(leaves(false, 3)); // the list went backwards
  CHECK(leaves(false, 2));
  CHECK_FALSE(leaves(false, 4));
  CHECK_FALSE(leaves(true, 3)); // what held of an earlier start
  CHECK(leaves(true, 4));
}

namespace {

// A directory with one engine, on host "h".
EndpointDirectory directoryOfOne() {
  schema::Declaration Declared;
  auto &Engine = *Declared.add_endpoints();
  Engine.set_name("e");
  Engine.set_host("h");
  Engine.set_kind(schema::ENGINE);
  EndpointDirectory Directory{DataCentreId("here")};
  Directory.adopt(Declared);
  return Directory;
}

std::vector<schema::HostEntry> listOf(bool Leaving, std::uint64_t Listed) {
  schema::HostEntry Entry;
  Entry.set_name("h");
  Entry.set_leaving(Leaving);
  Entry.set_incarnation(Listed);
  return {Entry};
}

schema::EndpointNote noteOf(const EndpointChange &Told) {
  schema::EndpointNote Note;
  Note.set_name(Told.m_Endpoint.str());
  Note.set_kind(Told.m_Kind);
  Note.set_set(Told.m_Set);
  Note.set_incarnation(raw(Told.m_Incarnation));
  return Note;
}

bool leaves(const EndpointDirectory &In) {
  return In.status().front().m_Leaving;
}

} // namespace

// Router B only ever read the newer copy, which went backwards; router A had
// read the one before it and told B. What B reads later must not undo that.
TEST_CASE("host list: a leaving told by another router outlives an old copy") {
  EndpointDirectory A = directoryOfOne();
  EndpointDirectory B = directoryOfOne();
  A.onHostList(listOf(true, 4));
  const auto Told = A.takeChanges();
  REQUIRE(Told.size() == 1);
  B.onNote(noteOf(Told.front()), T0);
  REQUIRE(leaves(B));
  B.onHostList(listOf(false, 4));
  CHECK(leaves(B));
  CHECK(B.takeChanges().empty());
  SUBCASE("a newer incarnation ends it, here and at those that are told") {
    B.onHostList(listOf(false, 5));
    CHECK_FALSE(leaves(B));
    const auto Over = B.takeChanges();
    REQUIRE(Over.size() == 1);
    A.onNote(noteOf(Over.front()), T0);
    CHECK_FALSE(leaves(A));
    A.onHostList(listOf(true, 4));
    CHECK_FALSE(leaves(A));
    CHECK(A.takeChanges().empty());
  }
  SUBCASE("a host that leaves again under a newer incarnation is told") {
    B.onHostList(listOf(true, 5));
    const auto Again = B.takeChanges();
    REQUIRE(Again.size() == 1);
    A.onNote(noteOf(Again.front()), T0);
    A.onHostList(listOf(false, 4));
    CHECK(leaves(A));
  }
}

TEST_CASE("adoption: only greater generations; who looks often") {
  ConfigAdoption Adopt(100ms);
  CHECK(Adopt.checkGeneration(Generation{1}, true) == GenerationCheck::Newer);
  Adopt.onAdopted(Generation{3});
  CHECK(Adopt.checkGeneration(Generation{3}, true) ==
        GenerationCheck::NotNewer);
  CHECK(Adopt.checkGeneration(Generation{2}, true) ==
        GenerationCheck::RolledBack);
  CHECK(Adopt.checkGeneration(Generation{2}, false) ==
        GenerationCheck::NotNewer);
  unsigned Looks[2] = {0, 0};
  ConfigAdoption Both[2] = {ConfigAdoption(100ms), ConfigAdoption(100ms)};
  for (ConfigAdoption &Each : Both)
    Each.onAdopted(Generation{1});
  for (int Ms = 0; Ms < 10000; Ms += 50)
    for (int I = 0; I < 2; ++I)
      Looks[I] += Both[I].pollDue(I ? "b" : "a", {"a", "b"},
                                  T0 + std::chrono::milliseconds(Ms));
  CHECK(std::max(Looks[0], Looks[1]) >= 90);
  CHECK(std::min(Looks[0], Looks[1]) <= 11);
}

TEST_CASE("endpoint health: suspicion, probes, leaving") {
  EndpointHealth Health;
  CHECK(Health.usable());
  Health.onFault(false, T0);
  CHECK(Health.state() == EndpointHealth::State::Suspect);
  CHECK(Health.takeDueProbe(T0));
  CHECK_FALSE(Health.takeDueProbe(T0));
  Health.onProbe(true, nullptr, T0);
  CHECK(Health.usable());
  Health.onFault(true, T0);
  CHECK(Health.state() == EndpointHealth::State::Dead);
  Health.onProbe(true, nullptr, T0);
  Health.setLeaving(LeaveSource::Operator, true);
  Health.setLeaving(LeaveSource::HostList, true);
  Health.setLeaving(LeaveSource::Operator, false);
  CHECK_FALSE(Health.usable());
  Health.setLeaving(LeaveSource::HostList, false);
  CHECK(Health.usable());
  schema::Load Load;
  Load.set_leaving(true);
  Health.onReply(1, 1ms, &Load, T0);
  CHECK_FALSE(Health.usable());
}

TEST_CASE("endpoint health: the bound of silence follows the latency") {
  EndpointHealth Health;
  CHECK(Health.replyTimeout(1, 100, 10ms, 2s) == Duration(2s));
  for (int I = 0; I < 100; ++I)
    Health.onReply(1, 20ms, nullptr, T0);
  const Duration Decode = Health.replyTimeout(1, 1000, 10ms, 2s);
  CHECK(Decode < Duration(60ms));
  CHECK(Health.replyTimeout(100, 1000, 10ms, 2s) > Decode + 300ms);
}

TEST_CASE("replay window: each message once") {
  ReplayWindow Window;
  CHECK(Window.accept(5, 10));
  CHECK_FALSE(Window.accept(5, 10));
  CHECK(Window.accept(5, 8));
  CHECK_FALSE(Window.accept(5, 8));
  CHECK(Window.accept(5, 200));
  CHECK_FALSE(Window.accept(5, 10));
  CHECK(Window.accept(6, 1));
  CHECK_FALSE(Window.accept(5, 300));
}

TEST_CASE("rendezvous: a leaving moves only its own subjects") {
  const std::vector<std::string> All{"a", "b", "c", "d"};
  for (int I = 0; I < 200; ++I) {
    const std::string Subject = std::to_string(I);
    const auto Before = chooseMembers(All, Subject, 1).front();
    const auto After = chooseMembers({"a", "b", "c"}, Subject, 1).front();
    if (Before != "d")
      CHECK(Before == After);
  }
}
