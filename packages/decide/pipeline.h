// State machine of one model request over the stages of its path.
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

/// Position at which a caller resumes an interrupted stream.
struct ResumePoint {
  std::uint64_t m_Tokens = 0; // tokens that the caller already has
  std::uint64_t m_Hash = 0;   // their running hash, by chainHash
};

struct PipelineParams {
  RequestId m_Request;
  ModelRef m_Model;
  std::uint32_t m_Layers = 0;
  std::string m_Prompt;
  std::string m_Sampling; // opaque; forwarded to the engine unchanged
  std::uint32_t m_MaxTokens = 0;
  std::uint64_t m_Seed = 0;
  std::uint32_t m_Priority = 0;
  Instant m_Deadline{};
  std::optional<ResumePoint> m_Resume;
};

/// Why a stage call failed.
enum class StageFault {
  ConnectFailed,    // nothing was sent
  ConnectionBroken, // the connection broke before a complete reply
  TimedOut,         // no reply within the time-out
  CacheLost,        // no KV cache of the positions before this call
  Busy,             // the engine accepts no call for now
  Draining,         // the engine accepts no new request
  Protocol          // the reply violates the protocol
};

/// Decisions that the owner of a pipeline supplies. Traces record and replay
/// them.
struct PipelineHooks {
  /// Chooses a path without the engines given; none when there is no such path.
  std::function<std::optional<Path>(const EndpointSet &)> m_ChoosePath;
  /// Chooses an engine that holds exactly these layers and is not among the
  /// engines given.
  std::function<std::optional<StagePlan>(LayerRange, const EndpointSet &)>
      m_ChooseReplacement;
  /// Consumes one retry; false when the retry budget is exhausted.
  std::function<bool(schema::RetryReason)> m_ConsumeRetry;
  /// Reserves bytes of the memory budget of stage logs, or frees them when
  /// negative; false when the budget is exhausted.
  std::function<bool(std::int64_t)> m_ReserveLogBytes;
};

/// Send a stage call after `m_Delay`. Its reply or failure is reported under
/// the same call number.
struct SendStageCall {
  std::uint64_t m_Call = 0;
  EndpointId m_Endpoint;
  schema::StageRequest m_Request;
  bool m_NewConnection = false;
  Duration m_Delay{};
  unsigned m_TimeoutFactor = 1; // multiplies the reply time-out
};

/// Check on a new connection whether the endpoint responds.
struct ProbeEndpoint {
  std::uint64_t m_Call = 0;
  EndpointId m_Endpoint;
};

/// Free the endpoint's state of one epoch of the request.
struct CancelStage {
  EndpointId m_Endpoint;
  schema::CancelRequest m_Request;
};

struct DeliverToken {
  std::uint64_t m_Index = 0; // from 0
  std::uint64_t m_Hash = 0;  // running hash up to and including this token
  schema::Token m_Token;
};

/// Call `Pipeline::onPathRetry` after a delay: there is no path now.
struct AwaitPath {
  Duration m_Delay{};
};

/// The answer is complete.
struct CompleteRequest {
  std::uint64_t m_PromptTokens = 0;
  std::uint64_t m_Tokens = 0;
  bool m_EndedByModel = false;
};

/// The request is abandoned; the caller gets the refusal at once.
struct RefuseRequest {
  Refusal m_Refusal;
};

/// A reply was discarded because it does not match the call in progress; count
/// it by reason.
struct DropReply {
  std::string m_Reason;
};

using PipelineAction =
    std::variant<SendStageCall, ProbeEndpoint, CancelStage, DeliverToken,
                 AwaitPath, CompleteRequest, RefuseRequest, DropReply>;
using PipelineActions = std::vector<PipelineAction>;

/// The running hash after \p Token; \p Previous is the hash before it. Safe
/// from any thread.
std::uint64_t chainHash(std::uint64_t Previous, std::uint32_t Token);

/// Runs one request with one stage call at a time and recovers from the loss of
/// a stage. A pass sends new positions through all stages in order and ends
/// with a token. A lost stage is rebuilt on another engine with the same layers
/// from the logged inputs of that stage, so that the other stages keep their KV
/// cache. If that is not possible, a new epoch starts on a new path from the
/// prompt and the tokens generated so far (docs/design/recovery.md).
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

  /// Handles a reply to the call \p Call. A reply that does not match the call
  /// in progress in request, epoch, stage and positions is dropped.
  PipelineActions onReply(std::uint64_t Call, const schema::StageReply &Reply,
                          Instant Now);

  /// Handles the failure of the call \p Call.
  PipelineActions onFailure(std::uint64_t Call, StageFault Fault, Instant Now);

  /// Handles the result of the probe made for the call \p Call.
  PipelineActions onProbe(std::uint64_t Call, bool Answered, Instant Now);

  /// Looks for a path again after the delay of an `AwaitPath`.
  PipelineActions onPathRetry(Instant Now);

  /// Abandons the request because the caller disconnected or the deadline
  /// passed, and frees the engines.
  PipelineActions stop(schema::Reason Reason);

  bool finished() const { return m_Finished; }
  const Path &path() const { return m_Path; }
  Epoch epoch() const { return m_Epoch; }
  std::uint64_t tokens() const { return m_Tokens.size(); }
  schema::RunState runState() const { return m_Run.state(); }

private:
  // The inputs of a stage by position, from which another engine can rebuild
  // the stage's KV cache.
  struct StageLog {
    std::vector<std::string> m_Inputs;
    std::uint64_t m_Bytes = 0;
  };

  PipelineActions beginEpoch(Instant Now);
  PipelineActions onNoPath(Instant Now);
  std::optional<Path> choosePath();
  std::optional<StagePlan> chooseReplacement();
  std::vector<EndpointSet> avoidSets() const;
  void markFailed(const EndpointId &Endpoint);
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
  std::uint64_t m_Call = 0;     // number of the latest call
  bool m_AwaitingReply = false; // a reply to m_Call is awaited
  bool m_AwaitingProbe = false; // a probe for m_Call is awaited
  std::size_t m_Stage = 0;
  std::uint64_t m_PassFirst = 0; // first position of the pass
  std::uint64_t m_PassEnd = 0;   // end of the pass; 0 until stage 0 reports it
  std::uint64_t m_CallFirst = 0; // first position of the latest call
  std::uint64_t m_PromptTokens = 0;
  std::vector<std::string> m_CurrentInputs; // inputs of m_Stage in this pass
  std::vector<StageLog> m_StageLogs;        // by stage; empty for stage 0
  std::uint64_t m_LogBytes = 0;
  bool m_LogComplete = true; // false once this epoch has dropped its logs
  std::vector<std::uint32_t> m_Tokens;
  std::uint64_t m_Hash = 0;
  bool m_EndedByModel = false;
  unsigned m_Resends = 0;        // of the current call
  EndpointSet m_FailedEndpoints; // engines that failed this request
  EndpointId m_LastFailed;
  std::optional<Instant> m_NoPathSince;
  Duration m_PathBackoff{};
  bool m_Finished = false;
};

} // namespace mimosadale::decide

#endif
