// One model request of a caller, from its body to its last token.
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

/// Who calls, and under which configuration.
struct Caller {
  schema::Workspace m_Workspace;
  std::shared_ptr<const struct ActiveConfig> m_Config;
};

/// Serves one model request: admission, then the actions of a
/// `decide::Pipeline` carried out one by one.
///
/// \par Thread safety
/// None; lives in one coroutine.
class CompletionCall {
public:
  /// \pre All arguments outlive this object.
  CompletionCall(Context &Shared, net::HttpExchange &Exchange, Caller From);
  ~CompletionCall();

  /// Serves the request. \throws net::NetError when the caller is gone.
  boost::asio::awaitable<void> serve(bool Chat);

private:
  boost::asio::awaitable<void> refuse(const decide::Refusal &Why);
  boost::asio::awaitable<void> run();
  boost::asio::awaitable<void> carryOut(decide::PipelineActions Actions);
  boost::asio::awaitable<void> send(decide::SendStageCall Send);
  boost::asio::awaitable<void> probe(decide::ProbeEndpoint Probe);
  boost::asio::awaitable<void> awaitPath(Duration Delay);
  boost::asio::awaitable<void> deliver(decide::DeliverToken Token);
  boost::asio::awaitable<void> complete(decide::CompleteRequest Done);
  void cancelLater(decide::CancelStage Cancel);
  void stopFor(schema::Reason Why);
  decide::PipelineParams startOf(const CompletionRequest &Asked) const;
  decide::PipelineHooks hooks();
  schema::PipelineTraceStep *traceStep(std::uint64_t Call);
  decide::PipelineActions traced(decide::PipelineActions Actions);
  void beginTrace(const decide::PipelineParams &Start);
  void endTrace();
  void note(const std::string &What) const;
  std::string chunk(const std::string &Text, const char *FinishReason) const;
  std::string usage(const decide::CompleteRequest &Done) const;
  std::string wholeBody(const decide::CompleteRequest &Done) const;

  Context &m_Shared;
  net::HttpExchange &m_Exchange;
  Caller m_From;
  EngineClient m_Engines;
  CompletionRequest m_Asked;
  decide::ModelRef m_Model;
  std::uint32_t m_Layers = 0;
  RequestId m_Request;
  std::int64_t m_Created = 0; // seconds since 1970
  Instant m_Arrived{};
  Instant m_Deadline{};
  std::optional<EventId> m_Resume;
  std::optional<schema::PipelineTrace> m_Trace; // recorded when asked for
  std::unique_ptr<decide::Pipeline> m_Pipeline;
  decide::PipelineActions m_Next; // actions that follow those carried out
  std::string m_Answer;           // kept for answers that are not streamed
  std::optional<Instant> m_LastToken;
  std::optional<Instant> m_FailedAt;
  std::string m_Outcome;
};

} // namespace mimosadale::router

#endif
