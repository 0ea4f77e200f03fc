// The life cycle of one model request over its stages.
#ifndef MIMOSADALE_DECIDE_PIPELINE_H
#define MIMOSADALE_DECIDE_PIPELINE_H

#include "base/units.h"
#include "decide/path.h"
#include "decide/refusal.h"
#include "schema/generated/engine.pb.h"

#include <functional>
#include <optional>
#include <variant>
#include <vector>

namespace mimosadale::decide {

/// Where a caller's earlier stream broke off.
struct ResumePoint {
  std::uint64_t m_Tokens = 0; // tokens that the caller holds
  std::uint64_t m_Hash = 0;   // running hash over them
};

/// What a request asks for.
struct PipelineParams {
  RequestId m_Request;
  ModelRef m_Model;
  std::uint32_t m_Layers = 0;
  std::string m_Prompt;
  std::string m_Sampling; // passed on to the engine as it is
  std::uint32_t m_MaxTokens = 0;
  std::uint64_t m_Seed = 0;
  std::uint32_t m_Priority = 0;
  Instant m_Deadline{};
  std::optional<ResumePoint> m_Resume;
};

/// How a stage call failed.
enum class StageFault {
  ConnectFailed,    // nothing was sent
  ConnectionBroken, // the connection broke before a whole reply
  TimedOut,         // no reply within the bound
  CacheLost,        // the engine does not hold the positions before this call
  Busy,             // the engine takes nothing more for now
  Draining,         // the engine takes no new request
  Protocol          // the reply does not fit the contract
};

/// Decisions that vary, supplied by the owner.
struct PipelineHooks {
  /// A path without the engines given.
  std::function<std::optional<Path>(const EndpointSet &)> m_ChoosePath;
  /// A stage for exactly these layers without the engines given.
  std::function<std::optional<StagePlan>(LayerRange, const EndpointSet &)>
      m_ChooseReplacement;
  /// Takes one retry from the budget.
  std::function<bool(schema::RetryReason)> m_ConsumeRetry;
  /// Takes (or, when negative, gives back) bytes of the log's budget.
  std::function<bool(std::int64_t)> m_ReserveLogBytes;
};

/// Send this call, and report its reply or failure with the same call number.
struct SendStageCall {
  std::uint64_t m_Call = 0;
  EndpointId m_Endpoint;
  schema::StageRequest m_Request;
  bool m_NewConnection = false;
  Duration m_Delay{};
  unsigned m_TimeoutFactor = 1; // factor on the time after which silence counts
};

/// Ask the endpoint on a new connection whether it lives.
struct ProbeEndpoint {
  std::uint64_t m_Call = 0;
  EndpointId m_Endpoint;
};

/// Free what the endpoint holds for this attempt.
struct CancelStage {
  EndpointId m_Endpoint;
  schema::CancelRequest m_Request;
};

/// Give the caller a token.
struct DeliverToken {
  std::uint64_t m_Index = 0; // counted from 0
  std::uint64_t m_Hash = 0;  // running hash up to and with this token
  schema::Token m_Token;
};

/// Come back after a while: no path leads on now, but one may soon.
struct AwaitPath {
  Duration m_Delay{};
};

/// The answer is whole.
struct CompleteRequest {
  std::uint64_t m_PromptTokens = 0;
  std::uint64_t m_Tokens = 0;
  bool m_EndedByModel = false;
};

/// The request is given up: its final answer, at once.
struct RefuseRequest {
  Refusal m_Refusal;
};

/// Count a reply that does not match what is expected.
struct DropReply {
  std::string m_Reason;
};

using PipelineAction =
    std::variant<SendStageCall, ProbeEndpoint, CancelStage, DeliverToken,
                 AwaitPath, CompleteRequest, RefuseRequest, DropReply>;
using PipelineActions = std::vector<PipelineAction>;

/// The running hash after \p Token, given the one before it. Safe from any
/// thread.
std::uint64_t chainHash(std::uint64_t Previous, std::uint32_t Token);

/// Drives one request: one stage call at a time, each position through every
/// layer range in order, and recovery when a stage is lost. A lost stage is
/// rebuilt on another engine of the same layers from the logged inputs of that
/// stage, so that the other stages keep their KV cache; where that cannot be
/// done, a new epoch starts on a fresh path from the prompt and the tokens
/// already delivered (docs/design/recovery.md).
///
/// \par Thread safety
/// None; owned by one coroutine.
class Pipeline {
public:
  Pipeline(PipelineParams Params, PipelineHooks Hooks);
  ~Pipeline();
  Pipeline(const Pipeline &) = delete;
  Pipeline &operator=(const Pipeline &) = delete;

  /// Chooses a path and sends the first call. \pre Called once, first.
  PipelineActions start(Instant Now);

  /// A reply to the call \p Call. Replies that do not match the one call in
  /// progress in request, epoch, stage and positions are dropped.
  PipelineActions onReply(std::uint64_t Call, const schema::StageReply &Reply,
                          Instant Now);

  /// The call \p Call failed.
  PipelineActions onFailure(std::uint64_t Call, StageFault Fault, Instant Now);

  /// The result of the probe made for the call \p Call.
  PipelineActions onProbe(std::uint64_t Call, bool Answered, Instant Now);

  /// The time of an `AwaitPath` is over.
  PipelineActions onPathRetry(Instant Now);

  /// The caller left or the deadline passed: frees the engines.
  PipelineActions stop(schema::Reason Reason);

  bool finished() const { return m_Finished; }
  const Path &path() const { return m_Path; }
  Epoch epoch() const { return m_Epoch; }
  std::uint64_t tokens() const { return m_Tokens.size(); }
  schema::RunState runState() const { return m_Run.state(); }

private:
  // The log of one stage boundary: the inputs of a stage by position.
  struct StageLog {
    std::vector<std::string> m_Inputs;
    std::uint64_t m_Bytes = 0;
  };

  PipelineActions beginEpoch(Instant Now);
  PipelineActions onNoPath(Instant Now);
  std::optional<Path> choosePath();
  std::optional<StagePlan> chooseReplacement();
  std::vector<EndpointSet> avoidSets() const;
  void markFailed(const EndpointId &Failed);
  PipelineActions beginPass(std::uint64_t First);
  PipelineActions sendCall(bool Rebuild, bool NewConnection, Duration Delay);
  PipelineActions recoverStage(schema::RetryReason Reason, Instant Now);
  PipelineActions restart(schema::RetryReason Reason, Instant Now);
  PipelineActions refuse(schema::Reason Reason, std::string Detail,
                         std::optional<Duration> RetryAfter = std::nullopt);
  PipelineActions onToken(const schema::Token &Token, Instant Now);
  PipelineActions deliver(const schema::Token &Token);
  std::optional<std::string>
  findMismatch(std::uint64_t Call, const schema::StageReply &Reply) const;
  void fillInput(schema::StageRequest &Request, bool Rebuild) const;
  void logInputs();
  void dropLog();
  void cancelAll(PipelineActions &Actions) const;
  bool isLastStage() const { return m_Stage + 1 == m_Path.size(); }

  PipelineParams m_Params;
  PipelineHooks m_Hooks;
  RunTracker m_Run;
  Path m_Path;
  Epoch m_Epoch{0};
  std::uint64_t m_Call = 0;     // number of the call in progress
  bool m_AwaitingReply = false; // a reply to m_Call is awaited
  bool m_AwaitingProbe = false; // a probe for m_Call is awaited
  std::size_t m_Stage = 0;
  std::uint64_t m_PassFirst = 0; // first position of the pass
  std::uint64_t m_PassEnd = 0;   // end of the pass; 0 until stage 0 told it
  std::uint64_t m_CallFirst = 0; // first position in the call in progress
  std::uint64_t m_PromptTokens = 0;
  std::vector<std::string> m_CurrentInputs; // inputs of the stage in progress
  std::vector<StageLog> m_StageLogs;        // by stage; stage 0 needs none
  std::uint64_t m_LogBytes = 0;
  bool m_LogComplete = true;
  std::vector<std::uint32_t> m_Tokens;
  std::uint64_t m_Hash = 0;
  bool m_EndedByModel = false;   // the model ended its answer
  unsigned m_Resends = 0;        // of the call in progress
  EndpointSet m_FailedEndpoints; // engines that failed this request
  EndpointId m_LastFailed;
  std::optional<Instant> m_NoPathSince;
  Duration m_PathBackoff{};
  bool m_Finished = false;
};

} // namespace mimosadale::decide

#endif
