// Microbenchmarks of single decisions, by number of engines or routers.
#include "decide/claim.h"
#include "decide/crash_suspects.h"
#include "decide/endpoint_directory.h"
#include "decide/membership.h"
#include "decide/path_chooser.h"

#include <benchmark/benchmark.h>

using namespace mimosadale;
using namespace mimosadale::decide;

namespace {

constexpr std::uint32_t Layers = 32;
constexpr std::uint32_t LayersPerStage = 8;

// Engines of seven different speeds on four stages, with link delays from 100
// us to 10 ms.
std::vector<EngineProfile> makeEngines(std::size_t Count) {
  std::vector<EngineProfile> Engines;
  for (std::size_t I = 0; I < Count; ++I) {
    const auto First = static_cast<std::uint32_t>(I % 4) * LayersPerStage;
    EngineProfile Engine;
    Engine.m_Endpoint = EndpointId("engine-" + std::to_string(I));
    Engine.m_Layers = {First, First + LayersPerStage};
    Engine.m_TokensPerSecond = 100 * static_cast<double>(1 + I % 7);
    Engine.m_LinkLatency = std::chrono::microseconds(100 * (1 + I * 37 % 100));
    Engines.push_back(Engine);
  }
  return Engines;
}

EngineLoad makeLoad(const EndpointId &Endpoint) {
  EngineLoad Load;
  Load.m_Queued = static_cast<unsigned>(Endpoint.str().size());
  return Load;
}

void choosePath(benchmark::State &State) {
  const PathChooser Chooser(
      makeEngines(static_cast<std::size_t>(State.range(0))), Layers);
  Random Rng(1);
  for (auto _ : State)
    benchmark::DoNotOptimize(Chooser.choose(makeLoad, {}, Rng));
}
BENCHMARK(choosePath)->Arg(40)->Arg(140)->Arg(1400);

void computeFlow(benchmark::State &State) {
  const auto Engines = makeEngines(static_cast<std::size_t>(State.range(0)));
  for (auto _ : State) {
    PathChooser Chooser(Engines, Layers);
    benchmark::DoNotOptimize(Chooser.maximumFlow());
  }
}
BENCHMARK(computeFlow)->Arg(40)->Arg(140)->Arg(1400);

void membershipTick(benchmark::State &State) {
  const auto Count = static_cast<std::size_t>(State.range(0));
  const auto makeRecord = [&](std::size_t I) {
    schema::PeerRecord Record;
    Record.set_name("router-" + std::to_string(I));
    Record.set_address("127.0.0.1:" + std::to_string(7000 + I));
    Record.set_data_centre("dc" + std::to_string(I % (Count / 34 + 1)));
    Record.set_incarnation(1);
    Record.set_started(1);
    return Record;
  };
  Membership Members(makeRecord(0), {}, {});
  Instant Now{std::chrono::seconds(1)};
  for (std::size_t I = 1; I < Count; ++I) {
    schema::PeerMessage Hello;
    *Hello.mutable_sender() = makeRecord(I);
    Members.onMessage(Hello, Now);
  }
  for (auto _ : State) {
    Now += std::chrono::milliseconds(500);
    const auto Messages = Members.onTick(Now);
    for (const OutgoingMessage &Message : Messages) {
      schema::PeerMessage Ack;
      Ack.set_kind(schema::PeerMessage::ACK);
      for (std::size_t I = 1; I < Count; ++I)
        if (makeRecord(I).address() == Message.m_Address)
          *Ack.mutable_sender() = makeRecord(I);
      Members.onMessage(Ack, Now);
    }
  }
}
BENCHMARK(membershipTick)->Arg(7)->Arg(34)->Arg(340);

void claimLifeCycle(benchmark::State &State) {
  const Instant Now{std::chrono::seconds(1)};
  ClaimParams Start;
  Start.m_Workspace = WorkspaceId("counter");
  Start.m_Service = ServiceId("booking");
  Start.m_Key = "family-17";
  Start.m_Attempt = AttemptId("attempt-1");
  Start.m_Deadline = Now + std::chrono::seconds(10);
  Start.m_DispatchDeadline = Now + std::chrono::seconds(2);
  ClaimWriteResult CommitResult;
  CommitResult.m_Kind = ClaimWriteResult::Kind::Committed;
  CommitResult.m_Version = 7;
  ClaimDispatchResult DispatchResult;
  DispatchResult.m_Kind = ClaimDispatchResult::Kind::Answered;
  DispatchResult.m_Status = 201;
  for (auto _ : State) {
    Claim NewClaim(Start);
    benchmark::DoNotOptimize(NewClaim.start(Now));
    benchmark::DoNotOptimize(NewClaim.onWrite(CommitResult, Now));
    benchmark::DoNotOptimize(NewClaim.onDispatch(DispatchResult, Now));
    benchmark::DoNotOptimize(NewClaim.onWrite(CommitResult, Now));
  }
}
BENCHMARK(claimLifeCycle);

// Two requests with as many prompt parts have crashed an engine each, and share
// half of their parts.
RequestMarks makePrompt(std::size_t Parts, std::size_t First) {
  RequestMarks Marks;
  for (std::size_t I = First; I < First + Parts; ++I)
    Marks.push_back({MarkKind::PromptPart, std::to_string(I)});
  return Marks;
}

CrashSuspects makeSuspects(std::size_t Parts) {
  CrashSuspects Suspects;
  for (int I = 0; I < 2; ++I) {
    const Instant At{std::chrono::seconds(100 + I)};
    Suspects.onCrash(makePrompt(Parts, I * Parts / 2),
                     {EndpointId(std::to_string(I)), 1, At, At}, At);
  }
  return Suspects;
}

void judgePrompt(benchmark::State &State) {
  const auto Parts = static_cast<std::size_t>(State.range(0));
  CrashSuspects Suspects = makeSuspects(Parts);
  const RequestMarks Marks = makePrompt(Parts, Parts / 2);
  const Instant Now{std::chrono::seconds(102)};
  for (auto _ : State)
    benchmark::DoNotOptimize(Suspects.judge(Marks, Now));
}
BENCHMARK(judgePrompt)->Arg(10)->Arg(40)->Arg(400)->Arg(2700);

void accusePrompt(benchmark::State &State) {
  const auto Parts = static_cast<std::size_t>(State.range(0));
  for (auto _ : State) {
    CrashSuspects Suspects = makeSuspects(Parts);
    benchmark::DoNotOptimize(Suspects.blocked(MarkKind::PromptPart));
  }
}
BENCHMARK(accusePrompt)->Arg(10)->Arg(40)->Arg(400)->Arg(2700);

void tellSuspects(benchmark::State &State) {
  CrashSuspects Suspects =
      makeSuspects(static_cast<std::size_t>(State.range(0)));
  const Instant Now{std::chrono::seconds(102)};
  for (auto _ : State) {
    schema::LimitNotice Notice;
    Suspects.addTo(Notice, Now);
    CrashSuspects Other;
    benchmark::DoNotOptimize(Other.merge(Notice, Now));
  }
}
BENCHMARK(tellSuspects)->Arg(10)->Arg(40)->Arg(400)->Arg(2700);

} // namespace

BENCHMARK_MAIN();
