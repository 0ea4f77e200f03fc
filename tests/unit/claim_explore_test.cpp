// Model checking of the claim protocol: two routers use one idempotency key,
// over all orders of events with lost answers, delayed writes, an outage,
// pauses and crashes.
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
constexpr Instant PauseEnd = Start + std::chrono::seconds(5);
constexpr std::size_t Routers = 2;

struct Row {
  std::uint64_t m_Version = 0;
  schema::ClaimRow m_Row;
};

// A write in transit: its router no longer waits for it, and it may still be
// applied.
struct DelayedWrite {
  std::uint64_t m_Expect = 0;
  schema::ClaimRow m_Row;
};

// One router's claim and the action whose result it awaits.
struct Router {
  std::optional<Claim> m_Claim;
  std::optional<ClaimAction> m_Pending;
  bool m_Crashed = false;
  Instant m_Now = Start;
  unsigned m_Executed = 0; // dispatches that the endpoint executed
  std::optional<schema::RunState> m_RefusalRunState;
  bool m_Answered = false; // received the endpoint's answer
};

// State of the whole system; copied at each branch of the exploration.
struct SystemState {
  Row m_Row;
  std::vector<DelayedWrite> m_DelayedWrites;
  Router m_Routers[Routers];
  unsigned m_Faults = 0;
  std::uint64_t m_NextVersion = 1;
  bool m_Down = false;
};

// A transition: a router starts, its pending action completes or fails, it
// pauses, crashes or reaches its deadline, a delayed write is applied, or the
// table becomes unavailable.
struct Step {
  enum class Event {
    Begin,
    Commit,        // the table applies the write or reports a conflict
    RequestLost,   // no answer, and nothing is written
    ResponseLost,  // no answer, but the write is applied
    WriteDelayed,  // no answer, and the write is applied at a later step
    NotApplied,    // the table refuses the write
    Execute,       // the endpoint executes and answers
    AnswerLost,    // the endpoint executes, but its answer is lost
    NeverSent,     // no connection to the endpoint
    HolderAnswers, // the other router reports its state
    Pause,
    Crash,
    Expire,
    DelayedWriteLands,
    Outage,
    Recover
  };
  Event m_Event;
  std::size_t m_Router = 0;
};

constexpr unsigned MaxExecutions = 1;

// Compare-and-set: applies the write only if the row still has the expected
// version.
ClaimWriteResult writeRow(SystemState &State, std::uint64_t Expect,
                          const schema::ClaimRow &Value) {
  ClaimWriteResult Result;
  if (State.m_Row.m_Version != Expect) {
    Result.m_Kind = Kind::Conflict;
    Result.m_Version = State.m_Row.m_Version;
    Result.m_Row = State.m_Row.m_Row;
    return Result;
  }
  State.m_Row.m_Version = State.m_NextVersion++;
  State.m_Row.m_Row = Value;
  Result.m_Kind = Kind::Committed;
  Result.m_Version = State.m_Row.m_Version;
  return Result;
}

void applyActions(Router &Node, ClaimActions Actions) {
  Node.m_Pending.reset();
  for (ClaimAction &Action : Actions) {
    if (const auto *Refused = std::get_if<RefuseCall>(&Action)) {
      CHECK_FALSE(Node.m_RefusalRunState.has_value());
      CHECK_FALSE(Node.m_Answered);
      Node.m_RefusalRunState = Refused->m_Refusal.runState();
    } else if (std::holds_alternative<AnswerCall>(Action)) {
      CHECK_FALSE(Node.m_RefusalRunState.has_value());
      CHECK_FALSE(Node.m_Answered);
      Node.m_Answered = true;
    } else {
      CHECK_FALSE(Node.m_Pending.has_value());
      Node.m_Pending = std::move(Action);
    }
  }
}

ClaimParams claimStart(std::size_t Router) {
  ClaimParams Request;
  Request.m_Workspace = WorkspaceId("counter");
  Request.m_Service = ServiceId("booking");
  Request.m_Key = "family-17";
  Request.m_BodyHash = "hash";
  Request.m_Attempt = AttemptId("attempt-" + std::to_string(Router));
  Request.m_Holder = PeerId("router-" + std::to_string(Router));
  Request.m_HolderIncarnation = Incarnation{1};
  Request.m_Deadline = Deadline;
  Request.m_DispatchDeadline = SendBefore;
  return Request;
}

// Returns the enabled steps; faults only while fewer than \p FaultBudget have
// occurred.
std::vector<Step> possibleSteps(const SystemState &State,
                                unsigned FaultBudget) {
  using E = Step::Event;
  std::vector<Step> Steps;
  const bool FaultsLeft = State.m_Faults < FaultBudget;
  for (std::size_t I = 0; I < Routers; ++I) {
    const Router &Node = State.m_Routers[I];
    if (Node.m_Crashed)
      continue;
    if (!Node.m_Claim) {
      Steps.push_back({E::Begin, I});
      continue;
    }
    if (!Node.m_Pending)
      continue;
    if (std::holds_alternative<WriteClaim>(*Node.m_Pending)) {
      Steps.push_back({State.m_Down ? E::NotApplied : E::Commit, I});
      if (FaultsLeft)
        for (const E Fault :
             {E::RequestLost, E::ResponseLost, E::WriteDelayed, E::NotApplied})
          Steps.push_back({Fault, I});
    } else if (std::holds_alternative<DispatchCall>(*Node.m_Pending)) {
      Steps.push_back({E::Execute, I});
      if (FaultsLeft)
        for (const E Fault : {E::AnswerLost, E::NeverSent})
          Steps.push_back({Fault, I});
    } else {
      Steps.push_back({E::HolderAnswers, I});
    }
    if (FaultsLeft) {
      Steps.push_back({E::Crash, I});
      if (Node.m_Now == Start)
        Steps.push_back({E::Pause, I});
      if (!Node.m_RefusalRunState && !Node.m_Answered)
        Steps.push_back({E::Expire, I});
    }
  }
  if (!State.m_DelayedWrites.empty())
    Steps.push_back({E::DelayedWriteLands, 0});
  if (State.m_Down)
    Steps.push_back({E::Recover, 0});
  else if (FaultsLeft)
    Steps.push_back({E::Outage, 0});
  return Steps;
}

void applyWrite(SystemState &State, Router &Node, Step::Event Event) {
  using E = Step::Event;
  const auto Write = std::get<WriteClaim>(*Node.m_Pending);
  ClaimWriteResult Result;
  Result.m_Kind = Kind::Unknown;
  if (Event == E::Commit)
    Result = writeRow(State, Write.m_ExpectedVersion, Write.m_Row);
  else if (Event == E::ResponseLost)
    writeRow(State, Write.m_ExpectedVersion, Write.m_Row);
  else if (Event == E::WriteDelayed)
    State.m_DelayedWrites.push_back({Write.m_ExpectedVersion, Write.m_Row});
  else if (Event == E::NotApplied)
    Result.m_Kind = Kind::NotApplied;
  applyActions(Node, Node.m_Claim->onWrite(Result, Node.m_Now));
}

// Like ClaimRun, reads the clock right before the dispatch and does not
// dispatch after SendBefore.
void applyDispatch(Router &Node, Step::Event Event) {
  using E = Step::Event;
  ClaimDispatchResult Result;
  Result.m_Kind = ClaimDispatchResult::Kind::NeverSent;
  if (Node.m_Now < SendBefore && Event != E::NeverSent) {
    ++Node.m_Executed;
    Result.m_Kind = Event == E::Execute ? ClaimDispatchResult::Kind::Answered
                                        : ClaimDispatchResult::Kind::Lost;
    Result.m_Status = 201;
  }
  applyActions(Node, Node.m_Claim->onDispatch(Result, Node.m_Now));
}

void applyHolderAnswer(SystemState &State, std::size_t RouterIndex) {
  Router &Node = State.m_Routers[RouterIndex];
  const auto Question = std::get<QueryHolder>(*Node.m_Pending);
  HolderStatus Answer = HolderStatus::NotInProgress;
  for (std::size_t I = 0; I < Routers; ++I) {
    if (Question.m_Row.attempt() != claimStart(I).m_Attempt.str())
      continue;
    const Router &Holder = State.m_Routers[I];
    if (Holder.m_Crashed)
      Answer = HolderStatus::Dead;
    else if (Holder.m_Claim && !Holder.m_Claim->finished())
      Answer = HolderStatus::InProgress;
  }
  applyActions(Node, Node.m_Claim->onHolderStatus(Answer));
}

void apply(SystemState &State, const Step &Next) {
  using E = Step::Event;
  Router &Node = State.m_Routers[Next.m_Router];
  switch (Next.m_Event) {
  case E::Begin:
    Node.m_Claim.emplace(claimStart(Next.m_Router));
    applyActions(Node, Node.m_Claim->start(Node.m_Now));
    break;
  case E::Commit:
    applyWrite(State, Node, Next.m_Event);
    break;
  case E::RequestLost:
  case E::ResponseLost:
  case E::WriteDelayed:
    ++State.m_Faults;
    applyWrite(State, Node, Next.m_Event);
    break;
  case E::NotApplied:
    State.m_Faults += State.m_Down ? 0 : 1;
    applyWrite(State, Node, Next.m_Event);
    break;
  case E::Execute:
    applyDispatch(Node, Next.m_Event);
    break;
  case E::AnswerLost:
  case E::NeverSent:
    ++State.m_Faults;
    applyDispatch(Node, Next.m_Event);
    break;
  case E::HolderAnswers:
    applyHolderAnswer(State, Next.m_Router);
    break;
  case E::Pause:
    ++State.m_Faults;
    Node.m_Now = PauseEnd;
    break;
  case E::Crash:
    ++State.m_Faults;
    Node.m_Crashed = true;
    // A write in transit may still be applied after the crash.
    if (Node.m_Pending && std::holds_alternative<WriteClaim>(*Node.m_Pending)) {
      const auto &Write = std::get<WriteClaim>(*Node.m_Pending);
      State.m_DelayedWrites.push_back({Write.m_ExpectedVersion, Write.m_Row});
    }
    break;
  case E::Expire: {
    ++State.m_Faults;
    auto Pending = std::move(Node.m_Pending);
    applyActions(Node, Node.m_Claim->onDeadline());
    Node.m_Pending = std::move(Pending);
    break;
  }
  case E::DelayedWriteLands: {
    const DelayedWrite Write = State.m_DelayedWrites.front();
    State.m_DelayedWrites.erase(State.m_DelayedWrites.begin());
    writeRow(State, Write.m_Expect, Write.m_Row);
    break;
  }
  case E::Outage:
    ++State.m_Faults;
    State.m_Down = true;
    break;
  case E::Recover:
    State.m_Down = false;
    break;
  }
}

// Safety: at most one execution, and a refusal never says NOT_RUN falsely.
bool invariantHolds(const SystemState &State) {
  unsigned Executed = 0;
  for (const Router &Node : State.m_Routers) {
    Executed += Node.m_Executed;
    // NOT_RUN must stay true of this router's attempt, also after the refusal.
    if (Node.m_RefusalRunState == schema::NOT_RUN && Node.m_Executed > 0)
      return false;
  }
  return Executed <= MaxExecutions;
}

// With no step left and the table available, the row of a running router must
// not remain CLAIMED, nor be RELEASED if the endpoint executed the request.
bool rowMatchesOutcome(const SystemState &State) {
  for (std::size_t I = 0; I < Routers; ++I) {
    const Router &Node = State.m_Routers[I];
    if (Node.m_Crashed || !Node.m_Claim)
      continue;
    const bool OwnRow =
        State.m_Row.m_Row.attempt() == claimStart(I).m_Attempt.str();
    if (OwnRow && State.m_Row.m_Row.state() == schema::CLAIMED)
      return false;
    if (OwnRow && State.m_Row.m_Row.state() == schema::RELEASED &&
        Node.m_Executed > 0)
      return false;
  }
  return true;
}

struct ExploreStats {
  std::uint64_t m_States = 0;
  std::uint64_t m_Quiescent = 0;
};

void explore(const SystemState &State, unsigned Depth, unsigned Faults,
             ExploreStats &Stats) {
  ++Stats.m_States;
  REQUIRE(invariantHolds(State));
  const auto Steps = possibleSteps(State, Faults);
  if (Steps.empty()) {
    ++Stats.m_Quiescent;
    REQUIRE(rowMatchesOutcome(State));
  }
  if (Depth == 0)
    return;
  for (const Step &NextStep : Steps) {
    SystemState Next = State;
    apply(Next, NextStep);
    explore(Next, Depth - 1, Faults, Stats);
  }
}

} // namespace

TEST_CASE("claims: no order of events makes two routers execute one "
          "idempotency key twice or refuse it falsely") {
  ExploreStats Stats;
  explore(SystemState(), 9, 2, Stats);
  MESSAGE("depth 9, 2 faults: ", Stats.m_States, " states, ", Stats.m_Quiescent,
          " at rest");
  CHECK(Stats.m_States > 10000);
  CHECK(Stats.m_Quiescent > 100);
}

TEST_CASE("claims: random orders with up to 6 faults never execute a key twice "
          "or leave a false row") {
  constexpr unsigned Runs = 20000;
  constexpr unsigned MaxSteps = 60;
  constexpr std::uint64_t Seed = 20261203;
  MESSAGE("seed ", Seed, ", ", Runs, " runs of up to ", MaxSteps, " steps");
  std::mt19937_64 Rng(Seed);
  unsigned Quiescent = 0;
  for (unsigned Run = 0; Run < Runs; ++Run) {
    SystemState State;
    for (unsigned I = 0; I < MaxSteps; ++I) {
      const auto Possible = possibleSteps(State, 6);
      if (Possible.empty()) {
        ++Quiescent;
        REQUIRE(rowMatchesOutcome(State));
        break;
      }
      apply(State, Possible[Rng() % Possible.size()]);
      REQUIRE(invariantHolds(State));
    }
  }
  CHECK(Quiescent > Runs / 2);
}
