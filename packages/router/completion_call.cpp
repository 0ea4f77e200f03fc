#include "router/completion_call.h"

#include "decide/trace.h"
#include "router/context.h"
#include "router/log.h"
#include "router/replies.h"
#include "router/trace_file.h"
#include "store/digest.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <charconv>

namespace mimosadale::router {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

std::string formatEvent(const std::string &Id, const std::string &Data) {
  return (Id.empty() ? "" : "id: " + Id + "\n") + "data: " + Data + "\n\n";
}

std::uint64_t seedFromKey(const std::string &Key) {
  std::uint64_t Seed = 0;
  const std::string Digest = store::sha256Hex(Key);
  std::from_chars(Digest.data(), Digest.data() + 16, Seed, 16);
  return Seed;
}

} // namespace

CompletionCall::CompletionCall(Context &Ctx, net::HttpExchange &Exchange,
                               Caller TheCaller)
    : m_Context(Ctx), m_Exchange(Exchange), m_Caller(std::move(TheCaller)),
      m_Engines(Ctx), m_RequestId(Ctx.newRequestId()),
      m_Arrived(Context::now()) {
  const auto Now = std::chrono::system_clock::now().time_since_epoch();
  m_Created = std::chrono::duration_cast<std::chrono::seconds>(Now).count();
}

CompletionCall::~CompletionCall() = default;

void CompletionCall::addEvent(const std::string &Text) const {
  m_Context.m_Requests.addEvent(m_RequestId, Text, Context::now());
}

asio::awaitable<void> CompletionCall::serve(bool Chat) {
  const auto &Headers = m_Exchange.request().m_Headers;
  std::string ErrorText;
  const schema::Model *Model = nullptr;
  try {
    m_Params = parseCompletionRequest(m_Exchange.request().m_Body, Chat);
    const std::string LastEventId = net::findHeader(Headers, "Last-Event-ID");
    if (!LastEventId.empty())
      m_Resume = parseEventId(LastEventId);
    m_Deadline = m_Arrived + requestTimeout(m_Context, Headers);
    Model = m_Caller.m_Config->findModel(m_Params.m_Model);
  } catch (const Error &Err) {
    ErrorText = Err.what();
  }
  if (!ErrorText.empty()) {
    co_await refuse(notRunRefusal(schema::BAD_REQUEST, ErrorText));
    co_return;
  }
  if (!Model) {
    const std::string Detail =
        "model \"" + m_Params.m_Model + "\" is not declared";
    co_await refuse(notRunRefusal(schema::NOT_FOUND, Detail));
    co_return;
  }
  m_Model = {Model->name(), Model->version()};
  m_Layers = Model->layers();
  m_Context.m_Requests.open(m_RequestId,
                            WorkspaceId(m_Caller.m_Workspace.name()),
                            m_Params.m_Model, m_Arrived);
  decide::AdmissionRequest Admission;
  Admission.m_Workspace = WorkspaceId(m_Caller.m_Workspace.name());
  Admission.m_Weight = decide::shareWeight(m_Caller.m_Workspace.weight(),
                                           m_Caller.m_Workspace.priority());
  Admission.m_Cost = m_Params.m_MaxTokens;
  Admission.m_Deadline = m_Deadline;
  const AdmissionOutcome Outcome =
      co_await m_Context.m_Requests.admit(Admission);
  if (!Outcome.m_Admitted) {
    co_await refuse(notRunRefusal(Outcome.m_Reason,
                                  "the router takes no more for now",
                                  Outcome.m_RetryAfter));
    co_return;
  }
  const Instant Start = Context::now();
  std::exception_ptr Failure;
  try {
    co_await run();
  } catch (...) {
    Failure = std::current_exception();
  }
  if (Failure) {
    abandon(schema::CALLER_GONE);
    m_Exchange.abort();
  }
  const Instant End = Context::now();
  m_Context.m_Requests.release(End - Start, End);
  m_Context.m_Requests.close(m_RequestId, m_Outcome, End);
  endTrace();
  if (Failure)
    std::rethrow_exception(Failure);
}

// Ends a request whose caller has disconnected: cancels its stage calls on the
// engines and counts it as refused.
void CompletionCall::abandon(schema::Reason Reason) {
  m_Outcome = reasonName(Reason);
  m_Context.m_Metrics.countRefusal(Reason);
  if (!m_Pipeline)
    return;
  for (decide::PipelineAction &Action : m_Pipeline->stop(Reason))
    if (auto *Cancel = std::get_if<decide::CancelStage>(&Action))
      cancelInBackground(std::move(*Cancel));
}

asio::awaitable<void> CompletionCall::refuse(const decide::Refusal &Refusal) {
  m_Outcome = reasonName(Refusal.reason());
  m_Context.m_Metrics.countRefusal(Refusal.reason());
  logEvent(schema::INFO, "request_refused",
           {{"request", m_RequestId.str()},
            {"reason", m_Outcome},
            {"run_state", runStateName(Refusal.runState())}});
  addEvent("refused: " + Refusal.detail());
  if (!m_Pipeline)
    m_Context.m_Requests.close(m_RequestId, m_Outcome, Context::now());
  if (!m_Exchange.responseStarted()) {
    net::HttpResponse Response = refusalResponse(Refusal);
    Response.m_Headers.push_back({"Mimosadale-Request", m_RequestId.str()});
    co_await m_Exchange.respond(std::move(Response));
    co_return;
  }
  // A truncated answer must not look complete: the error is sent as an event,
  // and the connection is closed without the final chunk.
  co_await m_Exchange.write("event: error\n" +
                            formatEvent("", refusalBody(Refusal)));
  m_Exchange.abort();
}

decide::PipelineParams
CompletionCall::pipelineStart(const CompletionRequest &Params) const {
  decide::PipelineParams Start;
  Start.m_Request = m_RequestId;
  Start.m_Model = m_Model;
  Start.m_Layers = m_Layers;
  Start.m_Prompt = Params.m_Prompt;
  Start.m_Sampling = Params.m_Sampling;
  Start.m_MaxTokens = Params.m_MaxTokens;
  Start.m_Priority = m_Caller.m_Workspace.priority();
  Start.m_Deadline = m_Deadline;
  const std::string Key =
      net::findHeader(m_Exchange.request().m_Headers, "Idempotency-Key");
  if (Params.m_Seed)
    Start.m_Seed = *Params.m_Seed;
  else if (!Key.empty())
    Start.m_Seed = seedFromKey(m_Caller.m_Workspace.name() + "\n" + Key);
  else
    Start.m_Seed = Context::random()();
  if (m_Resume)
    Start.m_Resume = decide::ResumePoint{m_Resume->m_Tokens, m_Resume->m_Hash};
  return Start;
}

decide::PipelineHooks CompletionCall::pipelineHooks() {
  const auto loadOf = [this](const EndpointId &Endpoint) {
    return m_Context.m_Endpoints.withLock(
        [&](decide::EndpointDirectory &Directory) {
          return Directory.load(Endpoint, Context::now());
        });
  };
  const auto chooser = [this] {
    return m_Context.m_Endpoints.withLock(
        [&](decide::EndpointDirectory &Directory) {
          return Directory.chooser(m_Model);
        });
  };
  decide::PipelineHooks Hooks;
  Hooks.m_ChoosePath =
      [=,
       this](const decide::EndpointSet &Avoid) -> std::optional<decide::Path> {
    const Instant Start = Context::now();
    const auto Chooser = chooser();
    if (!Chooser)
      return std::nullopt;
    auto Path = Chooser->choose(loadOf, Avoid, Context::random());
    m_Context.m_Metrics.recordDuration(Timing::Decision,
                                       Context::now() - Start);
    addEvent(Path ? "path " + decide::pathText(*Path) : "no path");
    return Path;
  };
  Hooks.m_ChooseReplacement = [=, this](decide::LayerRange Layers,
                                        const decide::EndpointSet &Avoid)
      -> std::optional<decide::StagePlan> {
    const auto Chooser = chooser();
    if (!Chooser)
      return std::nullopt;
    auto Stage = Chooser->chooseReplacement(Layers, loadOf, Avoid);
    addEvent(Stage ? "stage replaced by " + decide::pathText({*Stage})
                   : "no replacement for the stage");
    return Stage;
  };
  Hooks.m_ConsumeRetry = [this](schema::RetryReason Reason) {
    m_Context.m_Metrics.countRetry(Reason);
    addEvent("retry: " + schema::RetryReason_Name(Reason));
    return m_Context.m_Requests.takeRetry();
  };
  Hooks.m_ReserveLogBytes = [this](std::int64_t Bytes) {
    return m_Context.m_Requests.reserveBoundaryLog(Bytes);
  };
  return Hooks;
}

void CompletionCall::beginTrace(const decide::PipelineParams &Start) {
  if (m_Context.m_Settings.log().trace_folder().empty())
    return;
  m_Trace.emplace();
  m_Trace->set_request(Start.m_Request.str());
  m_Trace->set_layers(Start.m_Layers);
  m_Trace->set_max_tokens(Start.m_MaxTokens);
  m_Trace->set_deadline_us(
      std::chrono::duration_cast<std::chrono::microseconds>(m_Deadline -
                                                            m_Arrived)
          .count());
}

schema::PipelineTraceStep *CompletionCall::traceStep(std::uint64_t Call) {
  if (!m_Trace)
    return nullptr;
  schema::PipelineTraceStep *Step = m_Trace->add_steps();
  Step->set_call(Call);
  Step->set_at_us(std::chrono::duration_cast<std::chrono::microseconds>(
                      Context::now() - m_Arrived)
                      .count());
  return Step;
}

decide::PipelineActions
CompletionCall::recordActions(decide::PipelineActions Actions) {
  if (m_Trace)
    for (const std::string &Line : decide::describeActions(Actions))
      m_Trace->mutable_steps(m_Trace->steps_size() - 1)->add_actions(Line);
  return Actions;
}

void CompletionCall::endTrace() {
  if (!m_Trace)
    return;
  m_Trace->set_outcome(m_Outcome);
  writeTrace(m_Context.m_Settings.log().trace_folder(),
             "pipeline-" + m_RequestId.str(), *m_Trace);
}

// Runs the pipeline to its end. Actions are executed in order; the results of
// calls and probes give the next actions.
asio::awaitable<void> CompletionCall::run() {
  m_Context.m_Requests.onFirstAttempt();
  decide::PipelineParams Start = pipelineStart(m_Params);
  beginTrace(Start);
  m_Pipeline = std::make_unique<decide::Pipeline>(
      std::move(Start), m_Trace
                            ? decide::recordingHooks(pipelineHooks(), *m_Trace)
                            : pipelineHooks());
  if (auto *Step = traceStep(0))
    Step->set_start(true);
  m_NextActions = recordActions(m_Pipeline->start(Context::now()));
  while (!m_NextActions.empty()) {
    decide::PipelineActions Actions = std::exchange(m_NextActions, {});
    co_await execute(std::move(Actions));
  }
}

asio::awaitable<void> CompletionCall::execute(decide::PipelineActions Actions) {
  for (decide::PipelineAction &Action : Actions) {
    if (auto *Send = std::get_if<decide::SendStageCall>(&Action))
      co_await sendStage(std::move(*Send));
    else if (auto *Probe = std::get_if<decide::ProbeEndpoint>(&Action))
      co_await probeStage(std::move(*Probe));
    else if (auto *Cancel = std::get_if<decide::CancelStage>(&Action))
      cancelInBackground(std::move(*Cancel));
    else if (auto *Token = std::get_if<decide::DeliverToken>(&Action))
      co_await deliver(std::move(*Token));
    else if (auto *Wait = std::get_if<decide::AwaitPath>(&Action))
      co_await awaitPath(Wait->m_Delay);
    else if (auto *Completion = std::get_if<decide::CompleteRequest>(&Action))
      co_await complete(*Completion);
    else if (auto *Refusal = std::get_if<decide::RefuseRequest>(&Action))
      co_await refuse(Refusal->m_Refusal);
    else if (auto *Drop = std::get_if<decide::DropReply>(&Action))
      m_Context.m_Metrics.countDroppedReply(Drop->m_Reason);
  }
}

asio::awaitable<void> CompletionCall::sendStage(decide::SendStageCall Send) {
  if (Send.m_Delay > Duration(0)) {
    asio::steady_timer Timer(co_await asio::this_coro::executor, Send.m_Delay);
    co_await Timer.async_wait(asio::use_awaitable);
  }
  const std::uint64_t Call = Send.m_Call;
  const unsigned TimeoutFactor = Send.m_TimeoutFactor;
  const StageResult Result =
      co_await m_Engines.call(std::move(Send), m_Deadline, TimeoutFactor);
  if (const auto *Reply = std::get_if<schema::StageReply>(&Result)) {
    if (auto *Step = traceStep(Call))
      *Step->mutable_reply() = *Reply;
    m_NextActions =
        recordActions(m_Pipeline->onReply(Call, *Reply, Context::now()));
    co_return;
  }
  if (!m_FailedAt)
    m_FailedAt = Context::now();
  const auto Fault = std::get<decide::StageFault>(Result);
  if (auto *Step = traceStep(Call))
    Step->set_fault(decide::traceName(Fault));
  m_NextActions =
      recordActions(m_Pipeline->onFailure(Call, Fault, Context::now()));
}

asio::awaitable<void> CompletionCall::probeStage(decide::ProbeEndpoint Probe) {
  addEvent("probe of " + Probe.m_Endpoint.str());
  const bool Answered = co_await m_Engines.probe(Probe.m_Endpoint);
  if (auto *Step = traceStep(Probe.m_Call))
    Step->set_probe_answered(Answered);
  m_NextActions = recordActions(
      m_Pipeline->onProbe(Probe.m_Call, Answered, Context::now()));
}

asio::awaitable<void> CompletionCall::awaitPath(Duration Delay) {
  asio::steady_timer Timer(co_await asio::this_coro::executor, Delay);
  co_await Timer.async_wait(asio::use_awaitable);
  if (auto *Step = traceStep(0))
    Step->set_path_awaited(true);
  m_NextActions = recordActions(m_Pipeline->onPathRetry(Context::now()));
}

void CompletionCall::cancelInBackground(decide::CancelStage Cancel) {
  asio::co_spawn(
      m_Context.m_Executor,
      [&Ctx = m_Context,
       Cancel = std::move(Cancel)]() -> asio::awaitable<void> {
        EngineClient Engines(Ctx);
        co_await Engines.cancel(Cancel);
      },
      asio::detached);
}

std::string CompletionCall::chunk(const std::string &Text,
                                  const char *FinishReason) const {
  json::object Choice{{"index", 0}, {"finish_reason", nullptr}};
  if (FinishReason)
    Choice["finish_reason"] = FinishReason;
  if (m_Params.m_Chat)
    Choice["delta"] =
        FinishReason ? json::object{}
                     : json::object{{"role", "assistant"}, {"content", Text}};
  else
    Choice["text"] = Text;
  return json::serialize(json::object{
      {"id", m_RequestId.str()},
      {"object", m_Params.m_Chat ? "chat.completion.chunk" : "text_completion"},
      {"created", m_Created},
      {"model", m_Params.m_Model},
      {"choices", json::array{Choice}}});
}

std::string
CompletionCall::usageChunk(const decide::CompleteRequest &Completion) const {
  return json::serialize(json::object{
      {"id", m_RequestId.str()},
      {"object", m_Params.m_Chat ? "chat.completion.chunk" : "text_completion"},
      {"created", m_Created},
      {"model", m_Params.m_Model},
      {"choices", json::array{}},
      {"usage", json::object{{"prompt_tokens", Completion.m_PromptTokens},
                             {"completion_tokens", Completion.m_Tokens},
                             {"total_tokens", Completion.m_PromptTokens +
                                                  Completion.m_Tokens}}}});
}

std::string CompletionCall::completionBody(
    const decide::CompleteRequest &Completion) const {
  json::object Choice{
      {"index", 0},
      {"finish_reason", Completion.m_EndedByModel ? "stop" : "length"}};
  if (m_Params.m_Chat)
    Choice["message"] =
        json::object{{"role", "assistant"}, {"content", m_BufferedAnswer}};
  else
    Choice["text"] = m_BufferedAnswer;
  return json::serialize(json::object{
      {"id", m_RequestId.str()},
      {"object", m_Params.m_Chat ? "chat.completion" : "text_completion"},
      {"created", m_Created},
      {"model", m_Params.m_Model},
      {"choices", json::array{Choice}},
      {"usage", json::object{{"prompt_tokens", Completion.m_PromptTokens},
                             {"completion_tokens", Completion.m_Tokens},
                             {"total_tokens", Completion.m_PromptTokens +
                                                  Completion.m_Tokens}}}});
}

asio::awaitable<void> CompletionCall::deliver(decide::DeliverToken Token) {
  const Instant Now = Context::now();
  if (m_LastTokenAt)
    m_Context.m_Metrics.recordDuration(Timing::BetweenTokens,
                                       Now - *m_LastTokenAt);
  else
    m_Context.m_Metrics.recordDuration(Timing::FirstToken, Now - m_Arrived);
  if (m_FailedAt)
    m_Context.m_Metrics.recordDuration(Timing::Recovery, Now - *m_FailedAt);
  m_FailedAt.reset();
  m_LastTokenAt = Now;
  if (!m_Params.m_Stream) {
    m_BufferedAnswer += Token.m_Token.text();
    co_return;
  }
  if (!m_Exchange.responseStarted()) {
    net::HttpResponse Response;
    Response.m_Headers = {{"Content-Type", "text/event-stream"},
                          {"Cache-Control", "no-cache"},
                          {"Mimosadale-Request", m_RequestId.str()}};
    co_await m_Exchange.startStream(std::move(Response));
  }
  const std::string Id = formatEventId({Token.m_Index + 1, Token.m_Hash});
  co_await m_Exchange.write(
      formatEvent(Id, chunk(Token.m_Token.text(), nullptr)));
}

asio::awaitable<void>
CompletionCall::complete(decide::CompleteRequest Completion) {
  m_Outcome = "complete";
  addEvent("path at the end " + decide::pathText(m_Pipeline->path()));
  if (!m_Params.m_Stream) {
    net::HttpResponse Response;
    Response.m_Headers = {{"Content-Type", "application/json"},
                          {"Mimosadale-Request", m_RequestId.str()}};
    Response.m_Body = completionBody(Completion);
    co_await m_Exchange.respond(std::move(Response));
    co_return;
  }
  if (!m_Exchange.responseStarted()) {
    // The caller of a resumed stream already has every token.
    net::HttpResponse Response;
    Response.m_Headers = {{"Content-Type", "text/event-stream"}};
    co_await m_Exchange.startStream(std::move(Response));
  }
  std::string Events =
      formatEvent("", chunk("", Completion.m_EndedByModel ? "stop" : "length"));
  if (m_Params.m_IncludeUsage)
    Events += formatEvent("", usageChunk(Completion));
  co_await m_Exchange.write(Events + formatEvent("", "[DONE]"));
  co_await m_Exchange.finish();
}

} // namespace mimosadale::router
