#include "decide/pipeline.h"

#include <algorithm>
#include <utility>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace mimosadale::decide {

namespace {

// Times one call is sent again to an engine that answers probes.
constexpr unsigned MaxResends = 5;

// Wait before a busy engine is asked again; doubles with each time.
constexpr Duration BusyDelay = std::chrono::milliseconds(5);

// How long a request that already ran in part waits for a path, and how often
// it looks for one.
constexpr Duration PathPatience = std::chrono::seconds(3);
constexpr Duration FirstPathPause = std::chrono::milliseconds(20);
constexpr Duration MostPathPause = std::chrono::milliseconds(320);

// When to come back after a refusal that new capacity or repair would lift.
constexpr Duration RepairHint = std::chrono::seconds(2);

} // namespace

std::uint64_t chainHash(std::uint64_t Before, std::uint32_t Token) {
  return XXH3_64bits_withSeed(&Token, sizeof(Token), Before);
}

Pipeline::Pipeline(PipelineParams Start, PipelineHooks Hooks)
    : m_Start(std::move(Start)), m_Hooks(std::move(Hooks)) {}

Pipeline::~Pipeline() { dropLog(); }

PipelineActions Pipeline::start(Instant Now) { return beginEpoch(Now); }

// Takes a fresh path and runs the prompt and all tokens so far through it.
PipelineActions Pipeline::beginEpoch(Instant Now) {
  if (Now >= m_Start.m_Deadline)
    return refuse(schema::DEADLINE_PASSED, "the deadline has passed");
  auto Chosen = choosePath();
  if (!Chosen)
    return noPath(Now);
  m_PathlessSince.reset();
  m_PathPause = {};
  dropLog();
  m_Path = std::move(*Chosen);
  m_Epoch = advance(m_Epoch);
  m_Log.assign(m_Path.size(), {});
  m_LogKept = true;
  m_End = 0;
  return beginPass(0);
}

// No path leads on. A request without effect is refused at once; one that
// already ran in part waits a moment, as a frozen or restarted engine would
// lose it for nothing.
PipelineActions Pipeline::noPath(Instant Now) {
  const Instant Since = m_PathlessSince.value_or(Now);
  m_PathlessSince = Since;
  if (m_Run.notRunProof() || Now - Since >= PathPatience)
    return refuse(schema::NO_PATH,
                  "no engines that can be reached hold all layers of " +
                      m_Start.m_Model.m_Name,
                  RepairHint);
  m_PathPause = std::clamp(2 * m_PathPause, FirstPathPause, MostPathPause);
  return {AwaitPath{m_PathPause}};
}

PipelineActions Pipeline::onPathRetry(Instant Now) {
  if (m_Finished || m_InProgress)
    return {};
  return beginEpoch(Now);
}

// What to avoid, best first: all engines that failed this request, only the one
// that failed last, none. An engine that failed once may be the only one left;
// those known to be dead are never offered.
std::vector<EndpointSet> Pipeline::avoidances() const {
  return {m_Lost, {m_LastLost}, {}};
}

std::optional<Path> Pipeline::choosePath() {
  for (const EndpointSet &Avoid : avoidances()) {
    auto Chosen = m_Hooks.m_ChoosePath(Avoid);
    if (Chosen && tilesExactly(*Chosen, m_Start.m_Layers))
      return Chosen;
  }
  return std::nullopt;
}

std::optional<StagePlan> Pipeline::chooseReplacement() {
  for (const EndpointSet &Avoid : avoidances())
    if (auto Chosen =
            m_Hooks.m_ChooseReplacement(m_Path[m_Stage].m_Layers, Avoid))
      return Chosen;
  return std::nullopt;
}

void Pipeline::lose(const EndpointId &Failed) {
  m_Lost.insert(Failed);
  m_LastLost = Failed;
}

PipelineActions Pipeline::beginPass(std::uint64_t First) {
  m_First = First;
  m_Stage = 0;
  m_Current.clear();
  m_Resends = 0;
  return sendCurrent(false, false, {});
}

// Sends the call in progress; a rebuild carries the stage's whole log too.
PipelineActions Pipeline::sendCurrent(bool Rebuild, bool Fresh,
                                      Duration Delay) {
  const StagePlan &Stage = m_Path[m_Stage];
  m_SentFirst = Rebuild ? 0 : m_First;
  SendStageCall Send;
  Send.m_Call = ++m_Call;
  Send.m_Endpoint = Stage.m_Endpoint;
  Send.m_NewConnection = Fresh;
  Send.m_Delay = Delay;
  Send.m_TimeoutFactor = 1u << m_Resends;
  schema::StageRequest &To = Send.m_Request;
  To.set_request(m_Start.m_Request.str());
  To.set_epoch(raw(m_Epoch));
  To.set_stage(static_cast<std::uint32_t>(m_Stage));
  To.set_call(m_Call);
  To.set_model(m_Start.m_Model.m_Name);
  To.set_version(m_Start.m_Model.m_Version);
  To.set_first_layer(Stage.m_Layers.m_First);
  To.set_end_layer(Stage.m_Layers.m_End);
  To.set_first_position(m_SentFirst);
  To.set_want_from(m_First);
  To.set_seed(m_Start.m_Seed);
  To.set_priority(m_Start.m_Priority);
  To.set_sample(lastStage());
  To.set_sampling(m_Start.m_Sampling);
  fillInput(To, Rebuild);
  m_InProgress = true;
  m_Probing = false;
  m_Run.beforeDispatch();
  return {std::move(Send)};
}

void Pipeline::fillInput(schema::StageRequest &Into, bool Rebuild) const {
  schema::StageInput &Input = *Into.mutable_input();
  if (m_Stage == 0) {
    const bool FromStart = m_SentFirst == 0;
    if (FromStart)
      Input.set_prompt(m_Start.m_Prompt);
    const std::size_t Skip = FromStart ? 0 : m_First - m_PromptTokens;
    for (std::size_t I = Skip; I < m_Tokens.size(); ++I)
      Input.add_tokens(m_Tokens[I]);
    return;
  }
  if (Rebuild)
    for (std::uint64_t I = 0; I < m_First; ++I)
      Input.add_activations(m_Log[m_Stage].m_Inputs[I]);
  for (const std::string &Each : m_Current)
    Input.add_activations(Each);
}

// What of a reply does not fit the call in progress; none when all fits.
std::optional<std::string>
Pipeline::mismatch(std::uint64_t Call, const schema::StageReply &Reply) const {
  if (!m_InProgress || Call != m_Call || Reply.call() != m_Call)
    return "call";
  if (Reply.request() != m_Start.m_Request.str())
    return "request";
  if (Reply.epoch() != raw(m_Epoch))
    return "epoch";
  if (Reply.stage() != m_Stage)
    return "stage";
  if (Reply.first_position() != m_SentFirst)
    return "position";
  const bool EndKnown = m_End != 0;
  if (EndKnown ? Reply.next_position() != m_End
               : Reply.next_position() <= m_First)
    return "position";
  if (!lastStage() && static_cast<std::uint64_t>(Reply.activations_size()) !=
                          Reply.next_position() - m_First)
    return "activations";
  if (lastStage() && !Reply.has_token())
    return "token";
  return std::nullopt;
}

PipelineActions Pipeline::onReply(std::uint64_t Call,
                                  const schema::StageReply &Reply,
                                  Instant Now) {
  if (m_Finished)
    return {DropReply{"finished"}};
  if (const auto Why = mismatch(Call, Reply)) {
    PipelineActions Actions{DropReply{*Why}};
    if (!m_InProgress || Call != m_Call)
      return Actions;
    for (auto &Each : onFailure(Call, StageFault::Protocol, Now))
      Actions.push_back(std::move(Each));
    return Actions;
  }
  m_InProgress = false;
  m_Resends = 0;
  m_Run.markRan();
  if (m_End == 0)
    m_End = Reply.next_position();
  if (m_First == 0)
    m_PromptTokens = m_End - m_Tokens.size();
  if (m_Stage > 0)
    logInputs();
  if (lastStage())
    return takeToken(Reply.token(), Now);
  m_Current.assign(Reply.activations().begin(), Reply.activations().end());
  ++m_Stage;
  return sendCurrent(false, false, {});
}

// Keeps the inputs that the current stage has just consumed, while the budget
// lasts; past it the whole log goes, as a part of it could rebuild nothing.
void Pipeline::logInputs() {
  if (!m_LogKept)
    return;
  std::uint64_t Bytes = 0;
  for (const std::string &Each : m_Current)
    Bytes += Each.size();
  if (!m_Hooks.m_ReserveLogBytes(static_cast<std::int64_t>(Bytes))) {
    dropLog();
    m_LogKept = false;
    return;
  }
  Boundary &Kept = m_Log[m_Stage];
  for (std::string &Each : m_Current)
    Kept.m_Inputs.push_back(std::move(Each));
  Kept.m_Bytes += Bytes;
  m_LogBytes += Bytes;
  m_Current.clear();
}

void Pipeline::dropLog() {
  if (m_LogBytes > 0)
    m_Hooks.m_ReserveLogBytes(-static_cast<std::int64_t>(m_LogBytes));
  m_LogBytes = 0;
  for (Boundary &Each : m_Log)
    Each = {};
}

PipelineActions Pipeline::takeToken(const schema::Token &Token, Instant Now) {
  PipelineActions Actions = deliver(Token);
  if (m_Finished)
    return Actions;
  const bool Done = Token.end() || m_Tokens.size() >= m_Start.m_MaxTokens;
  if (Done) {
    m_Finished = true;
    m_Ended = Token.end();
    cancelAll(Actions);
    Actions.push_back(
        CompleteRequest{m_PromptTokens, m_Tokens.size(), m_Ended});
    dropLog();
    return Actions;
  }
  if (Now >= m_Start.m_Deadline) {
    auto Final = refuse(schema::DEADLINE_PASSED, "the deadline has passed");
    Actions.insert(Actions.end(), std::make_move_iterator(Final.begin()),
                   std::make_move_iterator(Final.end()));
    return Actions;
  }
  const std::uint64_t Next = m_End;
  m_End = Next + 1;
  auto Sends = beginPass(Next);
  Actions.insert(Actions.end(), std::make_move_iterator(Sends.begin()),
                 std::make_move_iterator(Sends.end()));
  return Actions;
}

// Hands a token on, unless the caller already holds it from an earlier stream.
PipelineActions Pipeline::deliver(const schema::Token &Token) {
  m_Tokens.push_back(Token.id());
  m_Hash = chainHash(m_Hash, Token.id());
  const auto &Resume = m_Start.m_Resume;
  if (Resume && m_Tokens.size() <= Resume->m_Tokens) {
    if (m_Tokens.size() == Resume->m_Tokens && m_Hash != Resume->m_Hash)
      return refuse(schema::RESUME_MISMATCH,
                    "the answer so far cannot be produced again");
    return {};
  }
  return {DeliverToken{m_Tokens.size() - 1, m_Hash, Token}};
}

PipelineActions Pipeline::onFailure(std::uint64_t Call, StageFault How,
                                    Instant Now) {
  if (m_Finished || !m_InProgress || Call != m_Call || m_Probing)
    return {};
  const EndpointId Failed = m_Path[m_Stage].m_Endpoint;
  if (Now >= m_Start.m_Deadline)
    return refuse(schema::DEADLINE_PASSED, "the deadline has passed");
  switch (How) {
  case StageFault::ConnectFailed:
    m_Run.dispatchNeverSent();
    lose(Failed);
    return recoverStage(schema::STAGE_UNREACHABLE, Now);
  case StageFault::ConnectionBroken:
  case StageFault::TimedOut:
    m_Probing = true;
    return {ProbeEndpoint{m_Call, Failed}};
  case StageFault::CacheLost:
    return recoverStage(schema::STAGE_LOST_CACHE, Now);
  case StageFault::Draining:
    lose(Failed);
    return recoverStage(schema::STAGE_LEAVING, Now);
  case StageFault::Busy:
    if (++m_Resends > MaxResends || !m_Hooks.m_ConsumeRetry(schema::STAGE_BUSY))
      return refuse(schema::OVERLOADED, "the engines take no more for now",
                    RepairHint);
    return sendCurrent(m_SentFirst != m_First, false,
                       BusyDelay * (1u << m_Resends));
  case StageFault::Protocol:
    lose(Failed);
    return recoverStage(schema::STAGE_UNREACHABLE, Now);
  }
  return {};
}

PipelineActions Pipeline::onProbe(std::uint64_t Call, bool Answered,
                                  Instant Now) {
  if (m_Finished || !m_Probing || Call != m_Call)
    return {};
  m_Probing = false;
  if (Answered && ++m_Resends <= MaxResends) {
    if (!m_Hooks.m_ConsumeRetry(schema::CONNECTION_SILENT))
      return refuse(schema::RETRY_BUDGET_SPENT, "too many calls are retried",
                    RepairHint);
    return sendCurrent(m_SentFirst != m_First, true, {});
  }
  lose(m_Path[m_Stage].m_Endpoint);
  return recoverStage(schema::STAGE_SILENT, Now);
}

// Rebuilds the lost stage on another engine of the same layers, if its log is
// whole; the current stage's inputs are still at hand in m_Current.
PipelineActions Pipeline::recoverStage(schema::RetryReason Why, Instant Now) {
  m_InProgress = false;
  const bool Nothing = m_First == 0 && m_Stage == 0;
  const bool HasLog = m_Stage == 0 || m_LogKept;
  if (!HasLog || Nothing)
    return restart(Why, Now);
  const auto Chosen = chooseReplacement();
  if (!Chosen)
    return restart(Why, Now);
  if (!m_Hooks.m_ConsumeRetry(Why))
    return refuse(schema::RETRY_BUDGET_SPENT, "too many calls are retried",
                  RepairHint);
  m_Path[m_Stage] = *Chosen;
  m_Resends = 0;
  return sendCurrent(true, false, {});
}

// A new epoch on a fresh path; what the old one holds is cancelled.
PipelineActions Pipeline::restart(schema::RetryReason Why, Instant Now) {
  if (!m_Hooks.m_ConsumeRetry(m_First == 0 ? Why : schema::NEW_EPOCH))
    return refuse(schema::RETRY_BUDGET_SPENT, "too many calls are retried",
                  RepairHint);
  PipelineActions Actions;
  cancelAll(Actions);
  auto Sends = beginEpoch(Now);
  Actions.insert(Actions.end(), std::make_move_iterator(Sends.begin()),
                 std::make_move_iterator(Sends.end()));
  return Actions;
}

PipelineActions Pipeline::refuse(schema::Reason Why, std::string Detail,
                                 std::optional<Duration> RetryAfter) {
  m_Finished = true;
  PipelineActions Actions;
  cancelAll(Actions);
  dropLog();
  Actions.push_back(RefuseRequest{
      Refusal::forRun(m_Run, Why, std::move(Detail), RetryAfter)});
  return Actions;
}

PipelineActions Pipeline::stop(schema::Reason Why) {
  if (m_Finished)
    return {};
  return refuse(Why, Why == schema::CALLER_GONE ? "the caller left"
                                                : "the deadline has passed");
}

// Frees every engine of the path that may hold something for this epoch.
void Pipeline::cancelAll(PipelineActions &Into) const {
  for (const StagePlan &Stage : m_Path) {
    if (m_Lost.contains(Stage.m_Endpoint))
      continue;
    schema::CancelRequest Request;
    Request.set_request(m_Start.m_Request.str());
    Request.set_epoch(raw(m_Epoch));
    Into.push_back(CancelStage{Stage.m_Endpoint, std::move(Request)});
  }
}

} // namespace mimosadale::decide
