#include "decide/trace.h"

#include "base/error.h"

#include <array>
#include <utility>

namespace mimosadale::decide {

namespace {

// Names in stored traces, in the order of the enumerators.
constexpr std::array WriteNames{"committed", "conflict", "unknown",
                                "not_applied", "limited"};
constexpr std::array DispatchNames{"answered", "never_sent", "said_not_run",
                                   "lost"};
constexpr std::array HolderStatusNames{"in_progress", "not_in_progress",
                                       "dead"};
constexpr std::array FaultNames{"connect_failed", "broken", "silent",
                                "lost_cache",     "busy",   "leaving",
                                "protocol"};

template <typename Value, std::size_t Size>
Value parseName(const std::array<const char *, Size> &Names,
                const std::string &Name) {
  for (std::size_t I = 0; I < Size; ++I)
    if (Name == Names[I])
      return static_cast<Value>(I);
  throw Error("unknown name \"" + Name + "\" in trace");
}

std::string describe(const Refusal &Result) {
  return "refuse " + schema::Reason_Name(Result.reason()) + " " +
         schema::RunState_Name(Result.runState()) +
         (Result.retryAfter() ? " come back" : "");
}

std::string describe(const ClaimAction &Action) {
  if (const auto *Write = std::get_if<WriteClaim>(&Action))
    return "write " + schema::ClaimState_Name(Write->m_Row.state()) +
           " over version " + std::to_string(Write->m_ExpectedVersion);
  if (const auto *Query = std::get_if<QueryHolder>(&Action))
    return "ask holder " + Query->m_Row.holder();
  if (std::holds_alternative<DispatchCall>(Action))
    return "dispatch";
  if (const auto *Answer = std::get_if<AnswerCall>(&Action))
    return "answer " + std::to_string(Answer->m_Status) +
           (Answer->m_IsReplay ? " repeated" : "");
  return describe(std::get<RefuseCall>(Action).m_Refusal);
}

std::string describe(const SendStageCall &Call) {
  const schema::StageRequest &Request = Call.m_Request;
  return "send call " + std::to_string(Call.m_Call) + " to " +
         Call.m_Endpoint.str() + " epoch " + std::to_string(Request.epoch()) +
         " stage " + std::to_string(Request.stage()) + " from position " +
         std::to_string(Request.first_position()) + " want " +
         std::to_string(Request.want_from()) + " activations " +
         std::to_string(Request.input().activations_size()) + " tokens " +
         std::to_string(Request.input().tokens_size()) +
         (Call.m_NewConnection ? " on a new connection" : "");
}

std::string describe(const PipelineAction &Action) {
  if (const auto *Call = std::get_if<SendStageCall>(&Action))
    return describe(*Call);
  if (const auto *Probe = std::get_if<ProbeEndpoint>(&Action))
    return "probe " + Probe->m_Endpoint.str();
  if (const auto *Cancel = std::get_if<CancelStage>(&Action))
    return "cancel " + Cancel->m_Endpoint.str() + " epoch " +
           std::to_string(Cancel->m_Request.epoch());
  if (const auto *Token = std::get_if<DeliverToken>(&Action))
    return "deliver " + std::to_string(Token->m_Index) + " token " +
           std::to_string(Token->m_Token.id());
  if (std::holds_alternative<AwaitPath>(Action))
    return "await path";
  if (const auto *Complete = std::get_if<CompleteRequest>(&Action))
    return "complete " + std::to_string(Complete->m_Tokens);
  if (const auto *Drop = std::get_if<DropReply>(&Action))
    return "drop reply: " + Drop->m_Reason;
  return describe(std::get<RefuseRequest>(Action).m_Refusal);
}

template <typename Actions>
std::vector<std::string> describeAll(const Actions &All) {
  std::vector<std::string> Lines;
  Lines.reserve(All.size());
  for (const auto &Action : All)
    Lines.push_back(describe(Action));
  return Lines;
}

// Describes the difference between a step's recorded actions and the replayed
// ones; empty when there is none.
template <typename TraceStep>
std::string compareStep(const TraceStep &Step, int Number,
                        const std::vector<std::string> &Actual) {
  const std::vector<std::string> Expected(Step.actions().begin(),
                                          Step.actions().end());
  if (Expected == Actual)
    return "";
  std::string Text = "step " + std::to_string(Number) + ": recorded";
  for (const std::string &Line : Expected)
    Text += " [" + Line + "]";
  Text += ", now";
  for (const std::string &Line : Actual)
    Text += " [" + Line + "]";
  return Text;
}

Instant toInstant(std::int64_t Microseconds) {
  return Instant(std::chrono::microseconds(Microseconds));
}

// Returns the choices of one trace step in the order in which they were
// recorded.
class RecordedChoices {
public:
  void begin(const schema::PipelineTraceStep &Step) {
    m_Step = &Step;
    m_NextChoice = 0;
  }

  const schema::TraceChoice &next() {
    if (m_NextChoice >= m_Step->choices_size())
      throw Error("replay needs more choices than the step recorded");
    return m_Step->choices(m_NextChoice++);
  }

  Path nextPath() {
    Path Stages;
    for (const schema::TraceStage &Stage : next().stages())
      Stages.push_back({EndpointId(Stage.endpoint()),
                        {Stage.first_layer(), Stage.end_layer()}});
    return Stages;
  }

private:
  const schema::PipelineTraceStep *m_Step = nullptr;
  int m_NextChoice = 0;
};

PipelineHooks replayHooks(RecordedChoices &Choices) {
  PipelineHooks Hooks;
  Hooks.m_ChoosePath = [&](const EndpointSet &) -> std::optional<Path> {
    Path Stages = Choices.nextPath();
    return Stages.empty() ? std::nullopt : std::optional(std::move(Stages));
  };
  Hooks.m_ChooseReplacement =
      [&](LayerRange, const EndpointSet &) -> std::optional<StagePlan> {
    const Path Stages = Choices.nextPath();
    return Stages.empty() ? std::nullopt : std::optional(Stages.front());
  };
  Hooks.m_ConsumeRetry = [&](schema::RetryReason) {
    return Choices.next().granted();
  };
  Hooks.m_ReserveLogBytes = [&](std::int64_t Bytes) {
    return Bytes < 0 || Choices.next().granted();
  };
  return Hooks;
}

PipelineActions applyStep(Pipeline &Machine,
                          const schema::PipelineTraceStep &Step) {
  const Instant Now = toInstant(Step.at_us());
  switch (Step.event_case()) {
  case schema::PipelineTraceStep::kStart:
    return Machine.start(Now);
  case schema::PipelineTraceStep::kReply:
    return Machine.onReply(Step.call(), Step.reply(), Now);
  case schema::PipelineTraceStep::kFault:
    return Machine.onFailure(
        Step.call(), parseName<StageFault>(FaultNames, Step.fault()), Now);
  case schema::PipelineTraceStep::kProbeAnswered:
    return Machine.onProbe(Step.call(), Step.probe_answered(), Now);
  case schema::PipelineTraceStep::kPathAwaited:
    return Machine.onPathRetry(Now);
  default:
    throw Error("trace step without an event");
  }
}

ClaimActions applyStep(Claim &Machine, const schema::ClaimTraceStep &Step) {
  const Instant Now = toInstant(Step.at_us());
  switch (Step.event_case()) {
  case schema::ClaimTraceStep::kStart:
    return Machine.start(Now);
  case schema::ClaimTraceStep::kWrite: {
    ClaimWriteResult Result;
    Result.m_Kind =
        parseName<ClaimWriteResult::Kind>(WriteNames, Step.write().kind());
    Result.m_Version = Step.write().version();
    Result.m_Row = Step.write().row();
    return Machine.onWrite(Result, Now);
  }
  case schema::ClaimTraceStep::kHolder:
    return Machine.onHolderStatus(
        parseName<HolderStatus>(HolderStatusNames, Step.holder()));
  case schema::ClaimTraceStep::kDispatch: {
    ClaimDispatchResult Result;
    Result.m_Kind = parseName<ClaimDispatchResult::Kind>(
        DispatchNames, Step.dispatch().kind());
    Result.m_Status = Step.dispatch().status();
    return Machine.onDispatch(Result, Now);
  }
  case schema::ClaimTraceStep::kDeadline:
    return Machine.onDeadline();
  default:
    throw Error("trace step without an event");
  }
}

void recordPath(const Path &Stages, schema::TraceChoice &Choice) {
  Choice.set_granted(!Stages.empty());
  for (const StagePlan &Plan : Stages) {
    schema::TraceStage &Stage = *Choice.add_stages();
    Stage.set_endpoint(Plan.m_Endpoint.str());
    Stage.set_first_layer(Plan.m_Layers.m_First);
    Stage.set_end_layer(Plan.m_Layers.m_End);
  }
}

} // namespace

std::vector<std::string> describeActions(const ClaimActions &Actions) {
  return describeAll(Actions);
}

std::vector<std::string> describeActions(const PipelineActions &Actions) {
  return describeAll(Actions);
}

std::string traceName(ClaimWriteResult::Kind Kind) {
  return WriteNames[static_cast<std::size_t>(Kind)];
}

std::string traceName(ClaimDispatchResult::Kind Kind) {
  return DispatchNames[static_cast<std::size_t>(Kind)];
}

std::string traceName(HolderStatus Status) {
  return HolderStatusNames[static_cast<std::size_t>(Status)];
}

std::string traceName(StageFault Fault) {
  return FaultNames[static_cast<std::size_t>(Fault)];
}

std::string replay(const schema::ClaimTrace &Trace) {
  ClaimParams Params;
  Params.m_Workspace = WorkspaceId("traced");
  Params.m_Service = ServiceId("traced");
  Params.m_Key = "traced";
  Params.m_BodyHash = Trace.body_sha256();
  Params.m_Attempt = AttemptId(Trace.attempt());
  Params.m_Deadline = toInstant(Trace.deadline_us());
  Params.m_DispatchDeadline = toInstant(Trace.send_before_us());
  Params.m_TrustNotRun = Trace.trusted_not_run();
  Claim Machine(std::move(Params));
  for (int I = 0; I < Trace.steps_size(); ++I) {
    const auto Actual = describeActions(applyStep(Machine, Trace.steps(I)));
    std::string Difference = compareStep(Trace.steps(I), I, Actual);
    if (!Difference.empty())
      return Difference;
  }
  return "";
}

std::string replay(const schema::PipelineTrace &Trace) {
  RecordedChoices Choices;
  PipelineParams Params;
  Params.m_Request = RequestId(Trace.request());
  Params.m_Layers = Trace.layers();
  Params.m_MaxTokens = Trace.max_tokens();
  Params.m_Deadline = toInstant(Trace.deadline_us());
  Pipeline Machine(std::move(Params), replayHooks(Choices));
  for (int I = 0; I < Trace.steps_size(); ++I) {
    Choices.begin(Trace.steps(I));
    const auto Actual = describeActions(applyStep(Machine, Trace.steps(I)));
    std::string Difference = compareStep(Trace.steps(I), I, Actual);
    if (!Difference.empty())
      return Difference;
  }
  return "";
}

PipelineHooks recordingHooks(const PipelineHooks &Inner,
                             schema::PipelineTrace &Trace) {
  const auto addChoice = [&Trace]() -> schema::TraceChoice & {
    return *Trace.mutable_steps(Trace.steps_size() - 1)->add_choices();
  };
  PipelineHooks Hooks;
  Hooks.m_ChoosePath = [=](const EndpointSet &Avoid) {
    auto Result = Inner.m_ChoosePath(Avoid);
    recordPath(Result.value_or(Path()), addChoice());
    return Result;
  };
  Hooks.m_ChooseReplacement = [=](LayerRange Layers, const EndpointSet &Avoid) {
    auto Result = Inner.m_ChooseReplacement(Layers, Avoid);
    recordPath(Result ? Path{*Result} : Path(), addChoice());
    return Result;
  };
  Hooks.m_ConsumeRetry = [=](schema::RetryReason Reason) {
    const bool Granted = Inner.m_ConsumeRetry(Reason);
    addChoice().set_granted(Granted);
    return Granted;
  };
  Hooks.m_ReserveLogBytes = [=](std::int64_t Bytes) {
    const bool Granted = Inner.m_ReserveLogBytes(Bytes);
    if (Bytes >= 0)
      addChoice().set_granted(Granted);
    return Granted;
  };
  return Hooks;
}

} // namespace mimosadale::decide
