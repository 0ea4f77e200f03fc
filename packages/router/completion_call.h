// One completion request, from its arrival to its last token.
#ifndef MIMOSADALE_ROUTER_COMPLETION_CALL_H
#define MIMOSADALE_ROUTER_COMPLETION_CALL_H

#include "decide/pipeline.h"
#include "net/server.h"
#include "router/completion_request.h"
#include "router/engine_client.h"
#include "schema/generated/declaration.pb.h"
#include "schema/generated/trace.pb.h"

#include <memory>
#include <optional>

namespace mimosadale::router {

class Context;

/// An authenticated caller, and the configuration that its request is served
/// under.
struct Caller {
  schema::Workspace m_Workspace;
  std::shared_ptr<const struct ActiveConfig> m_Config;
};

/// Serves one completion request: waits for admission, then executes the
/// actions of a `decide::Pipeline` one by one.
///
/// \par Thread safety
/// None; used by one coroutine.
class CompletionCall {
public:
  /// \pre All references outlive this object.
  CompletionCall(Context &Ctx, net::HttpExchange &Exchange, Caller TheCaller);
  ~CompletionCall();

  /// Serves the request. \throws net::NetError if the caller has disconnected.
  boost::asio::awaitable<void> serve(bool Chat);

private:
  boost::asio::awaitable<void> refuse(const decide::Refusal &Refusal);
  boost::asio::awaitable<void> run();
  boost::asio::awaitable<void> execute(decide::PipelineActions Actions);
  boost::asio::awaitable<void> sendStage(decide::SendStageCall Send);
  boost::asio::awaitable<void> probeStage(decide::ProbeEndpoint Probe);
  boost::asio::awaitable<void> awaitPath(Duration Delay);
  boost::asio::awaitable<void> deliver(decide::DeliverToken Token);
  boost::asio::awaitable<void> complete(decide::CompleteRequest Completion);
  void cancelInBackground(decide::CancelStage Cancel);
  void abandon(schema::Reason Reason);
  decide::PipelineParams pipelineStart(const CompletionRequest &Params) const;
  decide::PipelineHooks pipelineHooks();
  schema::PipelineTraceStep *traceStep(std::uint64_t Call);
  decide::PipelineActions recordActions(decide::PipelineActions Actions);
  void beginTrace(const decide::PipelineParams &Start);
  void endTrace();
  void addEvent(const std::string &Text) const;
  std::string chunk(const std::string &Text, const char *FinishReason) const;
  std::string usageChunk(const decide::CompleteRequest &Completion) const;
  std::string completionBody(const decide::CompleteRequest &Completion) const;

  Context &m_Context;
  net::HttpExchange &m_Exchange;
  Caller m_Caller;
  EngineClient m_Engines;
  CompletionRequest m_Params;
  decide::ModelRef m_Model;
  std::uint32_t m_Layers = 0;
  RequestId m_RequestId;
  std::int64_t m_Created = 0; // Unix time in seconds
  Instant m_Arrived{};
  Instant m_Deadline{};
  std::optional<EventId> m_Resume;
  std::optional<schema::PipelineTrace> m_Trace; // if a trace folder is set
  std::unique_ptr<decide::Pipeline> m_Pipeline;
  decide::PipelineActions m_NextActions;
  std::string m_BufferedAnswer; // text so far, if not streamed
  std::optional<Instant> m_LastTokenAt;
  std::optional<Instant> m_FailedAt; // first failure since the last token
  std::string m_Outcome;
};

} // namespace mimosadale::router

#endif
