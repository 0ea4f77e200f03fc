// Explores two routers with one idempotency key over all orders of events, with
// lost answers, late writes, an outage, pauses and deaths.
#include "decide/claim.h"

#include <doctest/doctest.h>
#include <map>
#include <random>
#include <string>
#include <variant>

using namespace mimosadale;
using namespace mimosadale::decide;
using Kind = ClaimWriteResult::Kind;

namespace {

constexpr Instant Start{std::chrono::seconds(1000)};
constexpr Instant SendBefore = Start + std::chrono::seconds(2);
constexpr Instant Deadline = Start + std::chrono::seconds(10);
constexpr Instant AfterPause = Start + std::chrono::seconds(5);
constexpr std::size_t Routers = 2;

struct Row {
  std::uint64_t m_Version = 0;
  schema::ClaimRow m_Row;
};

// A write that left its router and may still reach the table.
struct LateWrite {
  std::uint64_t m_Expect = 0;
  schema::ClaimRow m_Row;
};

// One router's claim and what it waits for.
struct Router {
  std::optional<Claim> m_Claim;
  std::optional<ClaimAction> m_Pending;
  bool m_Dead = false;
  Instant m_Now = Start;
  unsigned m_Executed = 0; // dispatches that the endpoint executed
  std::optional<schema::RunState> m_Told; // run state of its refusal
  bool m_Answered = false;                // got the endpoint's answer
};

// The whole world; copied at each branch.
struct World {
  Row m_Row;
  std::vector<LateWrite> m_Late;
  Router m_Routers[Routers];
  unsigned m_Faults = 0;
  std::uint64_t m_NextVersion = 1;
  bool m_Down = false;
};

// What may happen next: a router starts, its pending action ends in some way,
// it pauses, dies or sees its deadline, a late write lands, the table goes
// down.
struct Step {
  enum class What {
    Begin,
    Commit,      // the table takes the write, or says that it conflicts
    LoseBefore,  // the answer is lost and nothing was written
    LoseAfter,   // the answer is lost after the write
    LandLate,    // the answer is lost and the write lands at a later step
    NotApplied,  // the table refuses
    Execute,     // the endpoint executes and answers
    ExecuteLost, // the endpoint executes, its answer is lost
    NeverSent,   // no connection
    HolderSays,  // the other router answers truly
    Pause,
    Die,
    Expire,
    LateLands,
    Outage,
    Recover
  };
  What m_What;
  std::size_t m_Router = 0;
};

constexpr unsigned ExecutionBound = 1;

// Applies a write if its version is the expected one.
ClaimWriteResult writeRow(World &In, std::uint64_t Expect,
                          const schema::ClaimRow &Value) {
  ClaimWriteResult Result;
  if (In.m_Row.m_Version != Expect) {
    Result.m_Kind = Kind::Conflict;
    Result.m_Version = In.m_Row.m_Version;
    Result.m_Row = In.m_Row.m_Row;
    return Result;
  }
  In.m_Row.m_Version = In.m_NextVersion++;
  In.m_Row.m_Row = Value;
  Result.m_Kind = Kind::Committed;
  Result.m_Version = In.m_Row.m_Version;
  return Result;
}

void takeActions(Router &Own, ClaimActions Actions) {
  Own.m_Pending.reset();
  for (ClaimAction &Each : Actions) {
    if (const auto *Refused = std::get_if<RefuseCall>(&Each)) {
      CHECK_FALSE(Own.m_Told.has_value());
      CHECK_FALSE(Own.m_Answered);
      Own.m_Told = Refused->m_Refusal.runState();
    } else if (std::holds_alternative<AnswerCall>(Each)) {
      CHECK_FALSE(Own.m_Told.has_value());
      CHECK_FALSE(Own.m_Answered);
      Own.m_Answered = true;
    } else {
      CHECK_FALSE(Own.m_Pending.has_value());
      Own.m_Pending = std::move(Each);
    }
  }
}

ClaimParams claimOf(std::size_t Router) {
  ClaimParams From;
  From.m_Workspace = WorkspaceId("counter");
  From.m_Service = ServiceId("booking");
  From.m_Key = "family-17";
  From.m_BodyHash = "hash";
  From.m_Attempt = AttemptId("attempt-" + std::to_string(Router));
  From.m_Holder = PeerId("router-" + std::to_string(Router));
  From.m_HolderIncarnation = Incarnation{1};
  From.m_Deadline = Deadline;
  From.m_DispatchDeadline = SendBefore;
  return From;
}

// The steps that can happen now. A fault is offered while the budget lasts.
std::vector<Step> stepsOf(const World &Now, unsigned FaultBudget) {
  using W = Step::What;
  std::vector<Step> Steps;
  const bool MayFail = Now.m_Faults < FaultBudget;
  for (std::size_t I = 0; I < Routers; ++I) {
    const Router &Own = Now.m_Routers[I];
    if (Own.m_Dead)
      continue;
    if (!Own.m_Claim) {
      Steps.push_back({W::Begin, I});
      continue;
    }
    if (!Own.m_Pending)
      continue;
    if (std::holds_alternative<WriteClaim>(*Own.m_Pending)) {
      Steps.push_back({Now.m_Down ? W::NotApplied : W::Commit, I});
      if (MayFail)
        for (const W Fault :
             {W::LoseBefore, W::LoseAfter, W::LandLate, W::NotApplied})
          Steps.push_back({Fault, I});
    } else if (std::holds_alternative<DispatchCall>(*Own.m_Pending)) {
      Steps.push_back({W::Execute, I});
      if (MayFail)
        for (const W Fault : {W::ExecuteLost, W::NeverSent})
          Steps.push_back({Fault, I});
    } else {
      Steps.push_back({W::HolderSays, I});
    }
    if (MayFail) {
      Steps.push_back({W::Die, I});
      if (Own.m_Now == Start)
        Steps.push_back({W::Pause, I});
      if (!Own.m_Told && !Own.m_Answered)
        Steps.push_back({W::Expire, I});
    }
  }
  if (!Now.m_Late.empty())
    Steps.push_back({W::LateLands, 0});
  if (Now.m_Down)
    Steps.push_back({W::Recover, 0});
  else if (MayFail)
    Steps.push_back({W::Outage, 0});
  return Steps;
}

void stepWrite(World &In, Router &Own, Step::What What) {
  using W = Step::What;
  const auto Write = std::get<WriteClaim>(*Own.m_Pending);
  ClaimWriteResult Result;
  Result.m_Kind = Kind::Unknown;
  if (What == W::Commit)
    Result = writeRow(In, Write.m_ExpectedVersion, Write.m_Row);
  else if (What == W::LoseAfter)
    writeRow(In, Write.m_ExpectedVersion, Write.m_Row);
  else if (What == W::LandLate)
    In.m_Late.push_back({Write.m_ExpectedVersion, Write.m_Row});
  else if (What == W::NotApplied)
    Result.m_Kind = Kind::NotApplied;
  takeActions(Own, Own.m_Claim->onWrite(Result, Own.m_Now));
}

// The shell reads the clock right before it sends, as ClaimRun does.
void stepDispatch(Router &Own, Step::What What) {
  using W = Step::What;
  ClaimDispatchResult Result;
  Result.m_Kind = ClaimDispatchResult::Kind::NeverSent;
  if (Own.m_Now < SendBefore && What != W::NeverSent) {
    ++Own.m_Executed;
    Result.m_Kind = What == W::Execute ? ClaimDispatchResult::Kind::Answered
                                       : ClaimDispatchResult::Kind::Lost;
    Result.m_Status = 201;
  }
  takeActions(Own, Own.m_Claim->onDispatch(Result, Own.m_Now));
}

void stepHolder(World &In, std::size_t Asker) {
  Router &Own = In.m_Routers[Asker];
  const auto Asked = std::get<QueryHolder>(*Own.m_Pending);
  HolderStatus Word = HolderStatus::NotInProgress;
  for (std::size_t I = 0; I < Routers; ++I) {
    if (Asked.m_Row.attempt() != claimOf(I).m_Attempt.str())
      continue;
    const Router &Holder = In.m_Routers[I];
    if (Holder.m_Dead)
      Word = HolderStatus::Dead;
    else if (Holder.m_Claim && !Holder.m_Claim->finished())
      Word = HolderStatus::InProgress;
  }
  takeActions(Own, Own.m_Claim->onHolderStatus(Word));
}

void apply(World &In, const Step &Next) {
  using W = Step::What;
  Router &Own = In.m_Routers[Next.m_Router];
  switch (Next.m_What) {
  case W::Begin:
    Own.m_Claim.emplace(claimOf(Next.m_Router));
    takeActions(Own, Own.m_Claim->start(Own.m_Now));
    break;
  case W::Commit:
    stepWrite(In, Own, Next.m_What);
    break;
  case W::LoseBefore:
  case W::LoseAfter:
  case W::LandLate:
    ++In.m_Faults;
    stepWrite(In, Own, Next.m_What);
    break;
  case W::NotApplied:
    In.m_Faults += In.m_Down ? 0 : 1;
    stepWrite(In, Own, Next.m_What);
    break;
  case W::Execute:
    stepDispatch(Own, Next.m_What);
    break;
  case W::ExecuteLost:
  case W::NeverSent:
    ++In.m_Faults;
    stepDispatch(Own, Next.m_What);
    break;
  case W::HolderSays:
    stepHolder(In, Next.m_Router);
    break;
  case W::Pause:
    ++In.m_Faults;
    Own.m_Now = AfterPause;
    break;
  case W::Die:
    ++In.m_Faults;
    Own.m_Dead = true;
    // A write on its way may still land.
    if (Own.m_Pending && std::holds_alternative<WriteClaim>(*Own.m_Pending)) {
      const auto &Write = std::get<WriteClaim>(*Own.m_Pending);
      In.m_Late.push_back({Write.m_ExpectedVersion, Write.m_Row});
    }
    break;
  case W::Expire: {
    ++In.m_Faults;
    auto Keep = std::move(Own.m_Pending);
    takeActions(Own, Own.m_Claim->onDeadline());
    Own.m_Pending = std::move(Keep);
    break;
  }
  case W::LateLands: {
    const LateWrite Landing = In.m_Late.front();
    In.m_Late.erase(In.m_Late.begin());
    writeRow(In, Landing.m_Expect, Landing.m_Row);
    break;
  }
  case W::Outage:
    ++In.m_Faults;
    In.m_Down = true;
    break;
  case W::Recover:
    In.m_Down = false;
    break;
  }
}

// What must always hold.
bool holds(const World &Now) {
  unsigned Executed = 0;
  for (const Router &Own : Now.m_Routers) {
    Executed += Own.m_Executed;
    // "Not run" is true of the attempt that it was said of, for ever.
    if (Own.m_Told == schema::NOT_RUN && Own.m_Executed > 0)
      return false;
  }
  return Executed <= ExecutionBound;
}

// At rest with a healthy table, a row that a living router wrote says the
// truth.
bool restsTruly(const World &Now) {
  for (std::size_t I = 0; I < Routers; ++I) {
    const Router &Own = Now.m_Routers[I];
    if (Own.m_Dead || !Own.m_Claim)
      continue;
    const bool OwnRow = Now.m_Row.m_Row.attempt() == claimOf(I).m_Attempt.str();
    if (OwnRow && Now.m_Row.m_Row.state() == schema::CLAIMED)
      return false;
    if (OwnRow && Now.m_Row.m_Row.state() == schema::RELEASED &&
        Own.m_Executed > 0)
      return false;
  }
  return true;
}

struct Explored {
  std::uint64_t m_States = 0;
  std::uint64_t m_Rests = 0;
};

void explore(const World &Now, unsigned Depth, unsigned Faults,
             Explored &Count) {
  ++Count.m_States;
  REQUIRE(holds(Now));
  const auto Steps = stepsOf(Now, Faults);
  if (Steps.empty()) {
    ++Count.m_Rests;
    REQUIRE(restsTruly(Now));
  }
  if (Depth == 0)
    return;
  for (const Step &Each : Steps) {
    World Next = Now;
    apply(Next, Each);
    explore(Next, Depth - 1, Faults, Count);
  }
}

} // namespace

TEST_CASE("claims: every order of events of two routers with one key") {
  Explored Count;
  explore(World(), 9, 2, Count);
  MESSAGE("depth 9, 2 faults: ", Count.m_States, " states, ", Count.m_Rests,
          " at rest");
  CHECK(Count.m_States > 10000);
  CHECK(Count.m_Rests > 100);
}

TEST_CASE("claims: random orders, deeper and with more faults") {
  constexpr unsigned Runs = 20000;
  constexpr unsigned Steps = 60;
  constexpr std::uint64_t Seed = 20261203;
  MESSAGE("seed ", Seed, ", ", Runs, " runs of up to ", Steps, " steps");
  std::mt19937_64 Rng(Seed);
  unsigned Rests = 0;
  for (unsigned Run = 0; Run < Runs; ++Run) {
    World Now;
    for (unsigned I = 0; I < Steps; ++I) {
      const auto Next = stepsOf(Now, 6);
      if (Next.empty()) {
        ++Rests;
        REQUIRE(restsTruly(Now));
        break;
      }
      apply(Now, Next[Rng() % Next.size()]);
      REQUIRE(holds(Now));
    }
  }
  CHECK(Rests > Runs / 2);
}
