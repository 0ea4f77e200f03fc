#include "decide/trace.h"

#include "base/error.h"

#include <array>
#include <utility>

namespace mimosadale::decide {

namespace {

constexpr std::array WriteNames{"committed", "conflict", "unknown",
                                "not_applied", "limited"};
constexpr std::array DispatchNames{"answered", "never_sent", "said_not_run",
                                   "lost"};
constexpr std::array HolderNames{"in_progress", "not_in_progress", "dead"};
constexpr std::array FaultNames{"connect_failed", "broken", "silent",
                                "lost_cache",     "busy",   "leaving",
                                "protocol"};

template <typename Value, std::size_t Size>
Value valueOf(const std::array<const char *, Size> &Names,
              const std::string &Name) {
  for (std::size_t I = 0; I < Size; ++I)
    if (Name == Names[I])
      return static_cast<Value>(I);
  throw Error("\"" + Name + "\" is no name in a trace");
}

std::string describe(const Refusal &Why) {
  return "refuse " + schema::Reason_Name(Why.reason()) + " " +
         schema::RunState_Name(Why.runState()) +
         (Why.retryAfter() ? " come back" : "");
}

std::string describe(const ClaimAction &Action) {
  if (const auto *Write = std::get_if<WriteClaim>(&Action))
    return "write " + schema::ClaimState_Name(Write->m_Row.state()) +
           " over version " + std::to_string(Write->m_ExpectedVersion);
  if (const auto *Ask = std::get_if<QueryHolder>(&Action))
    return "ask holder " + Ask->m_Row.holder();
  if (std::holds_alternative<DispatchCall>(Action))
    return "dispatch";
  if (const auto *Answer = std::get_if<AnswerCall>(&Action))
    return "answer " + std::to_string(Answer->m_Status) +
           (Answer->m_IsReplay ? " repeated" : "");
  return describe(std::get<RefuseCall>(Action).m_Refusal);
}

std::string describe(const SendStageCall &Send) {
  const schema::StageRequest &Request = Send.m_Request;
  return "send call " + std::to_string(Send.m_Call) + " to " +
         Send.m_Endpoint.str() + " epoch " + std::to_string(Request.epoch()) +
         " stage " + std::to_string(Request.stage()) + " from position " +
         std::to_string(Request.first_position()) + " want " +
         std::to_string(Request.want_from()) + " activations " +
         std::to_string(Request.input().activations_size()) + " tokens " +
         std::to_string(Request.input().tokens_size()) +
         (Send.m_NewConnection ? " on a new connection" : "");
}

std::string describe(const PipelineAction &Action) {
  if (const auto *Send = std::get_if<SendStageCall>(&Action))
    return describe(*Send);
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
  if (const auto *Done = std::get_if<CompleteRequest>(&Action))
    return "complete " + std::to_string(Done->m_Tokens);
  if (const auto *Dropped = std::get_if<DropReply>(&Action))
    return "drop reply: " + Dropped->m_Reason;
  return describe(std::get<RefuseRequest>(Action).m_Refusal);
}

template <typename Actions>
std::vector<std::string> describeAll(const Actions &All) {
  std::vector<std::string> Lines;
  Lines.reserve(All.size());
  for (const auto &Each : All)
    Lines.push_back(describe(Each));
  return Lines;
}

// The first difference between a step's recorded actions and those of now.
template <typename Recorded>
std::string compare(const Recorded &Step, int Number,
                    const std::vector<std::string> &Now) {
  const std::vector<std::string> Then(Step.actions().begin(),
                                      Step.actions().end());
  if (Then == Now)
    return "";
  std::string Text = "step " + std::to_string(Number) + ": recorded";
  for (const std::string &Each : Then)
    Text += " [" + Each + "]";
  Text += ", now";
  for (const std::string &Each : Now)
    Text += " [" + Each + "]";
  return Text;
}

Instant at(std::int64_t Microseconds) {
  return Instant(std::chrono::microseconds(Microseconds));
}

// Answers hooks as they were answered when the trace was recorded.
class RecordedChoices {
public:
  void begin(const schema::PipelineTraceStep &Step) {
    m_Step = &Step;
    m_Next = 0;
  }

  const schema::TraceChoice &next() {
    if (m_Next >= m_Step->choices_size())
      throw Error("the pipeline asks more than was recorded");
    return m_Step->choices(m_Next++);
  }

  Path nextPath() {
    Path Stages;
    for (const schema::TraceStage &Each : next().stages())
      Stages.push_back({EndpointId(Each.endpoint()),
                        {Each.first_layer(), Each.end_layer()}});
    return Stages;
  }

private:
  const schema::PipelineTraceStep *m_Step = nullptr;
  int m_Next = 0;
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

PipelineActions feed(Pipeline &Into, const schema::PipelineTraceStep &Step) {
  const Instant Now = at(Step.at_us());
  switch (Step.event_case()) {
  case schema::PipelineTraceStep::kStart:
    return Into.start(Now);
  case schema::PipelineTraceStep::kReply:
    return Into.onReply(Step.call(), Step.reply(), Now);
  case schema::PipelineTraceStep::kFault:
    return Into.onFailure(Step.call(),
                          valueOf<StageFault>(FaultNames, Step.fault()), Now);
  case schema::PipelineTraceStep::kProbeAnswered:
    return Into.onProbe(Step.call(), Step.probe_answered(), Now);
  case schema::PipelineTraceStep::kPathAwaited:
    return Into.onPathRetry(Now);
  default:
    throw Error("a step of the trace has no event");
  }
}

ClaimActions feed(Claim &Into, const schema::ClaimTraceStep &Step) {
  const Instant Now = at(Step.at_us());
  switch (Step.event_case()) {
  case schema::ClaimTraceStep::kStart:
    return Into.start(Now);
  case schema::ClaimTraceStep::kWrite: {
    ClaimWriteResult Result;
    Result.m_Kind =
        valueOf<ClaimWriteResult::Kind>(WriteNames, Step.write().kind());
    Result.m_Version = Step.write().version();
    Result.m_Row = Step.write().row();
    return Into.onWrite(Result, Now);
  }
  case schema::ClaimTraceStep::kHolder:
    return Into.onHolderStatus(
        valueOf<HolderStatus>(HolderNames, Step.holder()));
  case schema::ClaimTraceStep::kDispatch: {
    ClaimDispatchResult Result;
    Result.m_Kind = valueOf<ClaimDispatchResult::Kind>(DispatchNames,
                                                       Step.dispatch().kind());
    Result.m_Status = Step.dispatch().status();
    return Into.onDispatch(Result, Now);
  }
  case schema::ClaimTraceStep::kDeadline:
    return Into.onDeadline();
  default:
    throw Error("a step of the trace has no event");
  }
}

void recordPath(const Path &Stages, schema::TraceChoice &Into) {
  Into.set_granted(!Stages.empty());
  for (const StagePlan &Each : Stages) {
    schema::TraceStage &Stage = *Into.add_stages();
    Stage.set_endpoint(Each.m_Endpoint.str());
    Stage.set_first_layer(Each.m_Layers.m_First);
    Stage.set_end_layer(Each.m_Layers.m_End);
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

std::string traceName(HolderStatus Word) {
  return HolderNames[static_cast<std::size_t>(Word)];
}

std::string traceName(StageFault Fault) {
  return FaultNames[static_cast<std::size_t>(Fault)];
}

std::string replay(const schema::ClaimTrace &Trace) {
  ClaimParams Start;
  Start.m_Workspace = WorkspaceId("traced");
  Start.m_Service = ServiceId("traced");
  Start.m_Key = "traced";
  Start.m_BodyHash = Trace.body_sha256();
  Start.m_Attempt = AttemptId(Trace.attempt());
  Start.m_Deadline = at(Trace.deadline_us());
  Start.m_DispatchDeadline = at(Trace.send_before_us());
  Start.m_TrustNotRun = Trace.trusted_not_run();
  Claim Own(std::move(Start));
  for (int I = 0; I < Trace.steps_size(); ++I) {
    const auto Now = describeActions(feed(Own, Trace.steps(I)));
    std::string Differs = compare(Trace.steps(I), I, Now);
    if (!Differs.empty())
      return Differs;
  }
  return "";
}

std::string replay(const schema::PipelineTrace &Trace) {
  RecordedChoices Choices;
  PipelineParams Start;
  Start.m_Request = RequestId(Trace.request());
  Start.m_Layers = Trace.layers();
  Start.m_MaxTokens = Trace.max_tokens();
  Start.m_Deadline = at(Trace.deadline_us());
  Pipeline Own(std::move(Start), replayHooks(Choices));
  for (int I = 0; I < Trace.steps_size(); ++I) {
    Choices.begin(Trace.steps(I));
    const auto Now = describeActions(feed(Own, Trace.steps(I)));
    std::string Differs = compare(Trace.steps(I), I, Now);
    if (!Differs.empty())
      return Differs;
  }
  return "";
}

PipelineHooks recordingHooks(const PipelineHooks &Real,
                             schema::PipelineTrace &Into) {
  const auto choice = [&Into]() -> schema::TraceChoice & {
    return *Into.mutable_steps(Into.steps_size() - 1)->add_choices();
  };
  PipelineHooks Hooks;
  Hooks.m_ChoosePath = [=](const EndpointSet &Avoid) {
    auto Chosen = Real.m_ChoosePath(Avoid);
    recordPath(Chosen.value_or(Path()), choice());
    return Chosen;
  };
  Hooks.m_ChooseReplacement = [=](LayerRange Layers, const EndpointSet &Avoid) {
    auto Chosen = Real.m_ChooseReplacement(Layers, Avoid);
    recordPath(Chosen ? Path{*Chosen} : Path(), choice());
    return Chosen;
  };
  Hooks.m_ConsumeRetry = [=](schema::RetryReason Why) {
    const bool Granted = Real.m_ConsumeRetry(Why);
    choice().set_granted(Granted);
    return Granted;
  };
  Hooks.m_ReserveLogBytes = [=](std::int64_t Bytes) {
    const bool Granted = Real.m_ReserveLogBytes(Bytes);
    if (Bytes >= 0)
      choice().set_granted(Granted);
    return Granted;
  };
  return Hooks;
}

} // namespace mimosadale::decide
