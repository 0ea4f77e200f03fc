#include "decide/pipeline.h"

#include <algorithm>
#include <utility>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace mimosadale::decide {

namespace {

// Resends of one call to an engine that is busy or answers probes.
constexpr unsigned MaxResends = 5;

// Base of the backoff towards a busy engine; doubled for each resend.
constexpr Duration BusyBackoff = std::chrono::milliseconds(5);

// How long a partly executed request waits for a path, and the backoff between
// its attempts to find one.
constexpr Duration MaxPathWait = std::chrono::seconds(3);
constexpr Duration InitialPathBackoff = std::chrono::milliseconds(20);
constexpr Duration MaxPathBackoff = std::chrono::milliseconds(320);

// Retry-after of refusals for lack of capacity or of working engines.
constexpr Duration RepairRetryAfter = std::chrono::seconds(2);

} // namespace

std::uint64_t chainHash(std::uint64_t Previous, std::uint32_t Token) {
  return XXH3_64bits_withSeed(&Token, sizeof(Token), Previous);
}

Pipeline::Pipeline(PipelineParams Params, PipelineHooks Hooks)
    : m_Params(std::move(Params)), m_Hooks(std::move(Hooks)) {}

Pipeline::~Pipeline() { dropLog(); }

PipelineActions Pipeline::start(Instant Now) { return beginEpoch(Now); }

// Chooses a new path and processes the prompt and all tokens so far on it.
PipelineActions Pipeline::beginEpoch(Instant Now) {
  if (Now >= m_Params.m_Deadline)
    return refuse(schema::DEADLINE_PASSED, "the deadline has passed");
  auto NewPath = choosePath();
  if (!NewPath)
    return onNoPath(Now);
  m_NoPathSince.reset();
  m_PathBackoff = {};
  dropLog();
  m_Path = std::move(*NewPath);
  m_Epoch = advance(m_Epoch);
  m_StageLogs.assign(m_Path.size(), {});
  m_LogComplete = true;
  m_PassEnd = 0;
  return beginPass(0);
}

// A request without effect is refused at once. One that was partly executed
// waits for a while, because an engine that is stalled or restarting may soon
// be available again.
PipelineActions Pipeline::onNoPath(Instant Now) {
  const Instant Since = m_NoPathSince.value_or(Now);
  m_NoPathSince = Since;
  if (m_Run.notRunProof() || Now - Since >= MaxPathWait)
    return refuse(schema::NO_PATH,
                  "no engines that can be reached hold all layers of " +
                      m_Params.m_Model.m_Name,
                  RepairRetryAfter);
  m_PathBackoff =
      std::clamp(2 * m_PathBackoff, InitialPathBackoff, MaxPathBackoff);
  return {AwaitPath{m_PathBackoff}};
}

PipelineActions Pipeline::onPathRetry(Instant Now) {
  if (m_Finished || m_AwaitingReply)
    return {};
  return beginEpoch(Now);
}

// Sets of engines to avoid, in order of preference: all that failed this
// request, the one that failed last, none. An engine that failed once may be
// the only one left; the hooks never choose engines known to be dead.
std::vector<EndpointSet> Pipeline::avoidSets() const {
  return {m_FailedEndpoints, {m_LastFailed}, {}};
}

std::optional<Path> Pipeline::choosePath() {
  for (const EndpointSet &Avoid : avoidSets()) {
    auto Candidate = m_Hooks.m_ChoosePath(Avoid);
    if (Candidate && tilesExactly(*Candidate, m_Params.m_Layers))
      return Candidate;
  }
  return std::nullopt;
}

std::optional<StagePlan> Pipeline::chooseReplacement() {
  for (const EndpointSet &Avoid : avoidSets())
    if (auto Replacement =
            m_Hooks.m_ChooseReplacement(m_Path[m_Stage].m_Layers, Avoid))
      return Replacement;
  return std::nullopt;
}

void Pipeline::markFailed(const EndpointId &Endpoint) {
  m_FailedEndpoints.insert(Endpoint);
  m_LastFailed = Endpoint;
}

PipelineActions Pipeline::beginPass(std::uint64_t First) {
  m_PassFirst = First;
  m_Stage = 0;
  m_CurrentInputs.clear();
  m_Resends = 0;
  return sendCall(false, false, {});
}

// Sends the call of the current stage. A rebuild also sends the logged inputs
// of all earlier positions.
PipelineActions Pipeline::sendCall(bool Rebuild, bool NewConnection,
                                   Duration Delay) {
  const StagePlan &Stage = m_Path[m_Stage];
  m_CallFirst = Rebuild ? 0 : m_PassFirst;
  SendStageCall Call;
  Call.m_Call = ++m_Call;
  Call.m_Endpoint = Stage.m_Endpoint;
  Call.m_NewConnection = NewConnection;
  Call.m_Delay = Delay;
  Call.m_TimeoutFactor = 1u << m_Resends;
  schema::StageRequest &Request = Call.m_Request;
  Request.set_request(m_Params.m_Request.str());
  Request.set_epoch(raw(m_Epoch));
  Request.set_stage(static_cast<std::uint32_t>(m_Stage));
  Request.set_call(m_Call);
  Request.set_model(m_Params.m_Model.m_Name);
  Request.set_version(m_Params.m_Model.m_Version);
  Request.set_first_layer(Stage.m_Layers.m_First);
  Request.set_end_layer(Stage.m_Layers.m_End);
  Request.set_first_position(m_CallFirst);
  Request.set_want_from(m_PassFirst);
  Request.set_seed(m_Params.m_Seed);
  Request.set_priority(m_Params.m_Priority);
  Request.set_sample(isLastStage());
  Request.set_sampling(m_Params.m_Sampling);
  fillInput(Request, Rebuild);
  m_AwaitingReply = true;
  m_AwaitingProbe = false;
  m_Run.beforeDispatch();
  return {std::move(Call)};
}

void Pipeline::fillInput(schema::StageRequest &Request, bool Rebuild) const {
  schema::StageInput &Input = *Request.mutable_input();
  if (m_Stage == 0) {
    const bool FromStart = m_CallFirst == 0;
    if (FromStart)
      Input.set_prompt(m_Params.m_Prompt);
    const std::size_t FirstToken = FromStart ? 0 : m_PassFirst - m_PromptTokens;
    for (std::size_t I = FirstToken; I < m_Tokens.size(); ++I)
      Input.add_tokens(m_Tokens[I]);
    return;
  }
  if (Rebuild)
    for (std::uint64_t I = 0; I < m_PassFirst; ++I)
      Input.add_activations(m_StageLogs[m_Stage].m_Inputs[I]);
  for (const std::string &Activation : m_CurrentInputs)
    Input.add_activations(Activation);
}

// The field in which a reply does not match the call in progress; none when it
// matches.
std::optional<std::string>
Pipeline::findMismatch(std::uint64_t Call,
                       const schema::StageReply &Reply) const {
  if (!m_AwaitingReply || Call != m_Call || Reply.call() != m_Call)
    return "call";
  if (Reply.request() != m_Params.m_Request.str())
    return "request";
  if (Reply.epoch() != raw(m_Epoch))
    return "epoch";
  if (Reply.stage() != m_Stage)
    return "stage";
  if (Reply.first_position() != m_CallFirst)
    return "position";
  const bool EndKnown = m_PassEnd != 0;
  if (EndKnown ? Reply.next_position() != m_PassEnd
               : Reply.next_position() <= m_PassFirst)
    return "position";
  if (!isLastStage() && static_cast<std::uint64_t>(Reply.activations_size()) !=
                            Reply.next_position() - m_PassFirst)
    return "activations";
  if (isLastStage() && !Reply.has_token())
    return "token";
  return std::nullopt;
}

PipelineActions Pipeline::onReply(std::uint64_t Call,
                                  const schema::StageReply &Reply,
                                  Instant Now) {
  if (m_Finished)
    return {DropReply{"finished"}};
  if (const auto Mismatch = findMismatch(Call, Reply)) {
    PipelineActions Actions{DropReply{*Mismatch}};
    if (!m_AwaitingReply || Call != m_Call)
      return Actions;
    for (auto &Action : onFailure(Call, StageFault::Protocol, Now))
      Actions.push_back(std::move(Action));
    return Actions;
  }
  m_AwaitingReply = false;
  m_Resends = 0;
  m_Run.markRan();
  if (m_PassEnd == 0)
    m_PassEnd = Reply.next_position();
  if (m_PassFirst == 0)
    m_PromptTokens = m_PassEnd - m_Tokens.size();
  if (m_Stage > 0)
    logInputs();
  if (isLastStage())
    return onToken(Reply.token(), Now);
  m_CurrentInputs.assign(Reply.activations().begin(),
                         Reply.activations().end());
  ++m_Stage;
  return sendCall(false, false, {});
}

// Logs the inputs that the current stage has processed. When the memory budget
// is exhausted, all logs are dropped, since a partial log cannot rebuild a
// stage.
void Pipeline::logInputs() {
  if (!m_LogComplete)
    return;
  std::uint64_t Bytes = 0;
  for (const std::string &Activation : m_CurrentInputs)
    Bytes += Activation.size();
  if (!m_Hooks.m_ReserveLogBytes(static_cast<std::int64_t>(Bytes))) {
    dropLog();
    m_LogComplete = false;
    return;
  }
  StageLog &Log = m_StageLogs[m_Stage];
  for (std::string &Activation : m_CurrentInputs)
    Log.m_Inputs.push_back(std::move(Activation));
  Log.m_Bytes += Bytes;
  m_LogBytes += Bytes;
  m_CurrentInputs.clear();
}

void Pipeline::dropLog() {
  if (m_LogBytes > 0)
    m_Hooks.m_ReserveLogBytes(-static_cast<std::int64_t>(m_LogBytes));
  m_LogBytes = 0;
  for (StageLog &Log : m_StageLogs)
    Log = {};
}

PipelineActions Pipeline::onToken(const schema::Token &Token, Instant Now) {
  PipelineActions Actions = deliver(Token);
  if (m_Finished)
    return Actions;
  const bool IsComplete =
      Token.end() || m_Tokens.size() >= m_Params.m_MaxTokens;
  if (IsComplete) {
    m_Finished = true;
    m_EndedByModel = Token.end();
    cancelAll(Actions);
    Actions.push_back(
        CompleteRequest{m_PromptTokens, m_Tokens.size(), m_EndedByModel});
    dropLog();
    return Actions;
  }
  if (Now >= m_Params.m_Deadline) {
    auto RefusalActions =
        refuse(schema::DEADLINE_PASSED, "the deadline has passed");
    Actions.insert(Actions.end(),
                   std::make_move_iterator(RefusalActions.begin()),
                   std::make_move_iterator(RefusalActions.end()));
    return Actions;
  }
  const std::uint64_t NextPosition = m_PassEnd;
  m_PassEnd = NextPosition + 1;
  auto NextActions = beginPass(NextPosition);
  Actions.insert(Actions.end(), std::make_move_iterator(NextActions.begin()),
                 std::make_move_iterator(NextActions.end()));
  return Actions;
}

// Delivers a token unless the caller already has it from an earlier stream.
// Refuses a resume if the regenerated tokens differ from the caller's.
PipelineActions Pipeline::deliver(const schema::Token &Token) {
  m_Tokens.push_back(Token.id());
  m_Hash = chainHash(m_Hash, Token.id());
  const auto &Resume = m_Params.m_Resume;
  if (Resume && m_Tokens.size() <= Resume->m_Tokens) {
    if (m_Tokens.size() == Resume->m_Tokens && m_Hash != Resume->m_Hash)
      return refuse(schema::RESUME_MISMATCH,
                    "the answer so far cannot be produced again");
    return {};
  }
  return {DeliverToken{m_Tokens.size() - 1, m_Hash, Token}};
}

PipelineActions Pipeline::onFailure(std::uint64_t Call, StageFault Fault,
                                    Instant Now) {
  if (m_Finished || !m_AwaitingReply || Call != m_Call || m_AwaitingProbe)
    return {};
  const EndpointId Endpoint = m_Path[m_Stage].m_Endpoint;
  if (Now >= m_Params.m_Deadline)
    return refuse(schema::DEADLINE_PASSED, "the deadline has passed");
  switch (Fault) {
  case StageFault::ConnectFailed:
    m_Run.dispatchNeverSent();
    markFailed(Endpoint);
    return recoverStage(schema::STAGE_UNREACHABLE, Now);
  case StageFault::ConnectionBroken:
  case StageFault::TimedOut:
    m_AwaitingProbe = true;
    return {ProbeEndpoint{m_Call, Endpoint}};
  case StageFault::CacheLost:
    return recoverStage(schema::STAGE_LOST_CACHE, Now);
  case StageFault::Draining:
    markFailed(Endpoint);
    return recoverStage(schema::STAGE_LEAVING, Now);
  case StageFault::Busy:
    if (++m_Resends > MaxResends || !m_Hooks.m_ConsumeRetry(schema::STAGE_BUSY))
      return refuse(schema::OVERLOADED, "the engines take no more for now",
                    RepairRetryAfter);
    return sendCall(m_CallFirst != m_PassFirst, false,
                    BusyBackoff * (1u << m_Resends));
  case StageFault::Protocol:
    markFailed(Endpoint);
    return recoverStage(schema::STAGE_UNREACHABLE, Now);
  }
  return {};
}

PipelineActions Pipeline::onProbe(std::uint64_t Call, bool Answered,
                                  Instant Now) {
  if (m_Finished || !m_AwaitingProbe || Call != m_Call)
    return {};
  m_AwaitingProbe = false;
  if (Answered && ++m_Resends <= MaxResends) {
    if (!m_Hooks.m_ConsumeRetry(schema::CONNECTION_SILENT))
      return refuse(schema::RETRY_BUDGET_SPENT, "too many calls are retried",
                    RepairRetryAfter);
    return sendCall(m_CallFirst != m_PassFirst, true, {});
  }
  markFailed(m_Path[m_Stage].m_Endpoint);
  return recoverStage(schema::STAGE_SILENT, Now);
}

// Rebuilds the current stage on another engine with the same layers if its log
// is complete and such an engine exists; otherwise starts a new epoch. The
// inputs of this pass are still in m_CurrentInputs.
PipelineActions Pipeline::recoverStage(schema::RetryReason Reason,
                                       Instant Now) {
  m_AwaitingReply = false;
  const bool IsFirstCall = m_PassFirst == 0 && m_Stage == 0;
  const bool CanRebuild = m_Stage == 0 || m_LogComplete;
  if (!CanRebuild || IsFirstCall)
    return restart(Reason, Now);
  const auto Replacement = chooseReplacement();
  if (!Replacement)
    return restart(Reason, Now);
  if (!m_Hooks.m_ConsumeRetry(Reason))
    return refuse(schema::RETRY_BUDGET_SPENT, "too many calls are retried",
                  RepairRetryAfter);
  m_Path[m_Stage] = *Replacement;
  m_Resends = 0;
  return sendCall(true, false, {});
}

// Starts a new epoch on a new path and cancels the old epoch on its engines.
PipelineActions Pipeline::restart(schema::RetryReason Reason, Instant Now) {
  if (!m_Hooks.m_ConsumeRetry(m_PassFirst == 0 ? Reason : schema::NEW_EPOCH))
    return refuse(schema::RETRY_BUDGET_SPENT, "too many calls are retried",
                  RepairRetryAfter);
  PipelineActions Actions;
  cancelAll(Actions);
  auto NextActions = beginEpoch(Now);
  Actions.insert(Actions.end(), std::make_move_iterator(NextActions.begin()),
                 std::make_move_iterator(NextActions.end()));
  return Actions;
}

PipelineActions Pipeline::refuse(schema::Reason Reason, std::string Detail,
                                 std::optional<Duration> RetryAfter) {
  m_Finished = true;
  PipelineActions Actions;
  cancelAll(Actions);
  dropLog();
  Actions.push_back(RefuseRequest{
      Refusal::forRun(m_Run, Reason, std::move(Detail), RetryAfter)});
  return Actions;
}

PipelineActions Pipeline::stop(schema::Reason Reason) {
  if (m_Finished)
    return {};
  return refuse(Reason, Reason == schema::CALLER_GONE
                            ? "the caller left"
                            : "the deadline has passed");
}

// Cancels this epoch on every engine of the path that has not failed.
void Pipeline::cancelAll(PipelineActions &Actions) const {
  for (const StagePlan &Stage : m_Path) {
    if (m_FailedEndpoints.contains(Stage.m_Endpoint))
      continue;
    schema::CancelRequest Request;
    Request.set_request(m_Params.m_Request.str());
    Request.set_epoch(raw(m_Epoch));
    Actions.push_back(CancelStage{Stage.m_Endpoint, std::move(Request)});
  }
}

} // namespace mimosadale::decide
