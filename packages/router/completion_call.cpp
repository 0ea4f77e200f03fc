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

std::string event(const std::string &Id, const std::string &Data) {
  return (Id.empty() ? "" : "id: " + Id + "\n") + "data: " + Data + "\n\n";
}

std::uint64_t seedOf(const std::string &Key) {
  std::uint64_t Seed = 0;
  const std::string Digest = store::sha256Hex(Key);
  std::from_chars(Digest.data(), Digest.data() + 16, Seed, 16);
  return Seed;
}

} // namespace

CompletionCall::CompletionCall(Context &Shared, net::HttpExchange &Exchange,
                               Caller From)
    : m_Shared(Shared), m_Exchange(Exchange), m_From(std::move(From)),
      m_Engines(Shared), m_Request(Shared.uniqueName()),
      m_Arrived(Context::now()) {
  const auto Now = std::chrono::system_clock::now().time_since_epoch();
  m_Created = std::chrono::duration_cast<std::chrono::seconds>(Now).count();
}

CompletionCall::~CompletionCall() = default;

void CompletionCall::note(const std::string &What) const {
  m_Shared.m_Requests.note(m_Request, What, Context::now());
}

asio::awaitable<void> CompletionCall::serve(bool Chat) {
  const auto &Headers = m_Exchange.request().m_Headers;
  std::string Fault;
  const schema::Model *Model = nullptr;
  try {
    m_Asked = parseCompletionRequest(m_Exchange.request().m_Body, Chat);
    const std::string Last = net::findHeader(Headers, "Last-Event-ID");
    if (!Last.empty())
      m_Resume = parseEventId(Last);
    m_Deadline = m_Arrived + requestTimeout(m_Shared, Headers);
    Model = m_From.m_Config->model(m_Asked.m_Model);
  } catch (const Error &Wrong) {
    Fault = Wrong.what();
  }
  if (!Fault.empty()) {
    co_await refuse(refuseUntouched(schema::BAD_REQUEST, Fault));
    co_return;
  }
  if (!Model) {
    const std::string Detail =
        "model \"" + m_Asked.m_Model + "\" is not declared";
    co_await refuse(refuseUntouched(schema::NOT_FOUND, Detail));
    co_return;
  }
  m_Model = {Model->name(), Model->version()};
  m_Layers = Model->layers();
  m_Shared.m_Requests.open(m_Request, WorkspaceId(m_From.m_Workspace.name()),
                           m_Asked.m_Model, m_Arrived);
  decide::AdmissionRequest Ask;
  Ask.m_Workspace = WorkspaceId(m_From.m_Workspace.name());
  Ask.m_Weight = decide::shareWeight(m_From.m_Workspace.weight(),
                                     m_From.m_Workspace.priority());
  Ask.m_Cost = m_Asked.m_MaxTokens;
  Ask.m_Deadline = m_Deadline;
  const AdmissionOutcome Admitted = co_await m_Shared.m_Requests.admit(Ask);
  if (!Admitted.m_Admitted) {
    co_await refuse(refuseUntouched(Admitted.m_Reason,
                                    "the router takes no more for now",
                                    Admitted.m_RetryAfter));
    co_return;
  }
  const Instant Begun = Context::now();
  std::exception_ptr Broken;
  try {
    co_await run();
  } catch (...) {
    Broken = std::current_exception();
  }
  if (Broken) {
    stopFor(schema::CALLER_GONE);
    m_Exchange.abort();
  }
  const Instant Ended = Context::now();
  m_Shared.m_Requests.release(Ended - Begun, Ended);
  m_Shared.m_Requests.close(m_Request, m_Outcome, Ended);
  endTrace();
  if (Broken)
    std::rethrow_exception(Broken);
}

// The caller is gone: frees the engines and counts it.
void CompletionCall::stopFor(schema::Reason Why) {
  m_Outcome = reasonName(Why);
  m_Shared.m_Metrics.refused(Why);
  if (!m_Pipeline)
    return;
  for (decide::PipelineAction &Each : m_Pipeline->stop(Why))
    if (auto *Cancel = std::get_if<decide::CancelStage>(&Each))
      cancelLater(std::move(*Cancel));
}

asio::awaitable<void> CompletionCall::refuse(const decide::Refusal &Why) {
  m_Outcome = reasonName(Why.reason());
  m_Shared.m_Metrics.refused(Why.reason());
  logEvent(schema::INFO, "request_refused",
           {{"request", m_Request.str()},
            {"reason", m_Outcome},
            {"run_state", runStateName(Why.runState())}});
  note("refused: " + Why.detail());
  if (!m_Pipeline)
    m_Shared.m_Requests.close(m_Request, m_Outcome, Context::now());
  if (!m_Exchange.responseStarted()) {
    net::HttpResponse Response = refusalResponse(Why);
    Response.m_Headers.push_back({"Mimosadale-Request", m_Request.str()});
    co_await m_Exchange.respond(std::move(Response));
    co_return;
  }
  // An answer that broke off is never ended as if whole: the caller gets the
  // error as an event, and the connection is closed without the last chunk.
  co_await m_Exchange.write("event: error\n" + event("", refusalBody(Why)));
  m_Exchange.abort();
}

decide::PipelineStart
CompletionCall::startOf(const CompletionRequest &Asked) const {
  decide::PipelineStart Start;
  Start.m_Request = m_Request;
  Start.m_Model = m_Model;
  Start.m_Layers = m_Layers;
  Start.m_Prompt = Asked.m_Prompt;
  Start.m_Sampling = Asked.m_Sampling;
  Start.m_MaxTokens = Asked.m_MaxTokens;
  Start.m_Priority = m_From.m_Workspace.priority();
  Start.m_Deadline = m_Deadline;
  const std::string Key =
      net::findHeader(m_Exchange.request().m_Headers, "Idempotency-Key");
  if (Asked.m_Seed)
    Start.m_Seed = *Asked.m_Seed;
  else if (!Key.empty())
    Start.m_Seed = seedOf(m_From.m_Workspace.name() + "\n" + Key);
  else
    Start.m_Seed = Context::random()();
  if (m_Resume)
    Start.m_Resume = decide::ResumePoint{m_Resume->m_Tokens, m_Resume->m_Hash};
  return Start;
}

decide::PipelineHooks CompletionCall::hooks() {
  const auto loads = [this](const EndpointId &Endpoint) {
    return m_Shared.m_Endpoints.with([&](decide::EndpointDirectory &Directory) {
      return Directory.load(Endpoint, Context::now());
    });
  };
  const auto chooser = [this] {
    return m_Shared.m_Endpoints.with([&](decide::EndpointDirectory &Directory) {
      return Directory.chooser(m_Model);
    });
  };
  decide::PipelineHooks Hooks;
  Hooks.m_ChoosePath =
      [=,
       this](const decide::EndpointSet &Avoid) -> std::optional<decide::Path> {
    const Instant Begun = Context::now();
    const auto Chooser = chooser();
    if (!Chooser)
      return std::nullopt;
    auto Chosen = Chooser->choose(loads, Avoid, Context::random());
    m_Shared.m_Metrics.timed(Timing::Decision, Context::now() - Begun);
    note(Chosen ? "path " + decide::pathText(*Chosen) : "no path");
    return Chosen;
  };
  Hooks.m_ChooseReplacement = [=, this](decide::LayerRange Layers,
                                        const decide::EndpointSet &Avoid)
      -> std::optional<decide::StagePlan> {
    const auto Chooser = chooser();
    if (!Chooser)
      return std::nullopt;
    auto Chosen = Chooser->chooseReplacement(Layers, loads, Avoid);
    note(Chosen ? "stage replaced by " + decide::pathText({*Chosen})
                : "no replacement for the stage");
    return Chosen;
  };
  Hooks.m_TakeRetry = [this](schema::RetryReason Why) {
    m_Shared.m_Metrics.retried(Why);
    note("retry: " + schema::RetryReason_Name(Why));
    return m_Shared.m_Requests.takeRetry();
  };
  Hooks.m_ReserveLog = [this](std::int64_t Bytes) {
    return m_Shared.m_Requests.reserveLog(Bytes);
  };
  return Hooks;
}

void CompletionCall::beginTrace(const decide::PipelineStart &Start) {
  if (m_Shared.m_Settings.log().trace_folder().empty())
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
CompletionCall::traced(decide::PipelineActions Actions) {
  if (m_Trace)
    for (const std::string &Line : decide::describeActions(Actions))
      m_Trace->mutable_steps(m_Trace->steps_size() - 1)->add_actions(Line);
  return Actions;
}

void CompletionCall::endTrace() {
  if (!m_Trace)
    return;
  m_Trace->set_outcome(m_Outcome);
  writeTrace(m_Shared.m_Settings.log().trace_folder(),
             "pipeline-" + m_Request.str(), *m_Trace);
}

// Runs the pipeline until it is finished. Its actions are carried out in order;
// the results of a call lead to the next actions.
asio::awaitable<void> CompletionCall::run() {
  m_Shared.m_Requests.onFirstTry();
  decide::PipelineStart Start = startOf(m_Asked);
  beginTrace(Start);
  m_Pipeline = std::make_unique<decide::Pipeline>(
      std::move(Start),
      m_Trace ? decide::recordHooks(hooks(), *m_Trace) : hooks());
  if (auto *Step = traceStep(0))
    Step->set_start(true);
  m_Next = traced(m_Pipeline->start(Context::now()));
  while (!m_Next.empty()) {
    decide::PipelineActions Actions = std::exchange(m_Next, {});
    co_await carryOut(std::move(Actions));
  }
}

asio::awaitable<void>
CompletionCall::carryOut(decide::PipelineActions Actions) {
  for (decide::PipelineAction &Each : Actions) {
    if (auto *Send = std::get_if<decide::SendStage>(&Each))
      co_await send(std::move(*Send));
    else if (auto *Probe = std::get_if<decide::ProbeStage>(&Each))
      co_await probe(std::move(*Probe));
    else if (auto *Cancel = std::get_if<decide::CancelStage>(&Each))
      cancelLater(std::move(*Cancel));
    else if (auto *Token = std::get_if<decide::DeliverToken>(&Each))
      co_await deliver(std::move(*Token));
    else if (auto *Wait = std::get_if<decide::AwaitPath>(&Each))
      co_await awaitPath(Wait->m_Delay);
    else if (auto *Done = std::get_if<decide::CompleteRequest>(&Each))
      co_await complete(*Done);
    else if (auto *Refused = std::get_if<decide::RefuseRequest>(&Each))
      co_await refuse(Refused->m_Refusal);
    else if (auto *Dropped = std::get_if<decide::DropReply>(&Each))
      m_Shared.m_Metrics.dropped(Dropped->m_Why);
  }
}

asio::awaitable<void> CompletionCall::send(decide::SendStage Send) {
  if (Send.m_Delay > Duration(0)) {
    asio::steady_timer Pause(co_await asio::this_coro::executor, Send.m_Delay);
    co_await Pause.async_wait(asio::use_awaitable);
  }
  const std::uint64_t Call = Send.m_Call;
  const unsigned Patience = Send.m_Patience;
  const StageResult Result =
      co_await m_Engines.call(std::move(Send), m_Deadline, Patience);
  if (const auto *Reply = std::get_if<schema::StageReply>(&Result)) {
    if (auto *Step = traceStep(Call))
      *Step->mutable_reply() = *Reply;
    m_Next = traced(m_Pipeline->onReply(Call, *Reply, Context::now()));
    co_return;
  }
  if (!m_FailedAt)
    m_FailedAt = Context::now();
  const auto Fault = std::get<decide::StageFault>(Result);
  if (auto *Step = traceStep(Call))
    Step->set_fault(decide::nameOf(Fault));
  m_Next = traced(m_Pipeline->onFailure(Call, Fault, Context::now()));
}

asio::awaitable<void> CompletionCall::probe(decide::ProbeStage Probe) {
  note("probe of " + Probe.m_Endpoint.str());
  const bool Answered = co_await m_Engines.probe(Probe.m_Endpoint);
  if (auto *Step = traceStep(Probe.m_Call))
    Step->set_probe_answered(Answered);
  m_Next = traced(m_Pipeline->onProbe(Probe.m_Call, Answered, Context::now()));
}

asio::awaitable<void> CompletionCall::awaitPath(Duration Delay) {
  asio::steady_timer Pause(co_await asio::this_coro::executor, Delay);
  co_await Pause.async_wait(asio::use_awaitable);
  if (auto *Step = traceStep(0))
    Step->set_path_awaited(true);
  m_Next = traced(m_Pipeline->onPathAwaited(Context::now()));
}

void CompletionCall::cancelLater(decide::CancelStage Cancel) {
  asio::co_spawn(
      m_Shared.m_Executor,
      [&Shared = m_Shared,
       Cancel = std::move(Cancel)]() -> asio::awaitable<void> {
        EngineClient Engines(Shared);
        co_await Engines.cancel(Cancel);
      },
      asio::detached);
}

std::string CompletionCall::chunk(const std::string &Text,
                                  const char *FinishReason) const {
  json::object Choice{{"index", 0}, {"finish_reason", nullptr}};
  if (FinishReason)
    Choice["finish_reason"] = FinishReason;
  if (m_Asked.m_Chat)
    Choice["delta"] =
        FinishReason ? json::object{}
                     : json::object{{"role", "assistant"}, {"content", Text}};
  else
    Choice["text"] = Text;
  return json::serialize(json::object{
      {"id", m_Request.str()},
      {"object", m_Asked.m_Chat ? "chat.completion.chunk" : "text_completion"},
      {"created", m_Created},
      {"model", m_Asked.m_Model},
      {"choices", json::array{Choice}}});
}

std::string CompletionCall::usage(const decide::CompleteRequest &Done) const {
  return json::serialize(json::object{
      {"id", m_Request.str()},
      {"object", m_Asked.m_Chat ? "chat.completion.chunk" : "text_completion"},
      {"created", m_Created},
      {"model", m_Asked.m_Model},
      {"choices", json::array{}},
      {"usage",
       json::object{{"prompt_tokens", Done.m_PromptTokens},
                    {"completion_tokens", Done.m_Tokens},
                    {"total_tokens", Done.m_PromptTokens + Done.m_Tokens}}}});
}

std::string
CompletionCall::wholeBody(const decide::CompleteRequest &Done) const {
  json::object Choice{
      {"index", 0}, {"finish_reason", Done.m_EndedByModel ? "stop" : "length"}};
  if (m_Asked.m_Chat)
    Choice["message"] =
        json::object{{"role", "assistant"}, {"content", m_Answer}};
  else
    Choice["text"] = m_Answer;
  return json::serialize(json::object{
      {"id", m_Request.str()},
      {"object", m_Asked.m_Chat ? "chat.completion" : "text_completion"},
      {"created", m_Created},
      {"model", m_Asked.m_Model},
      {"choices", json::array{Choice}},
      {"usage",
       json::object{{"prompt_tokens", Done.m_PromptTokens},
                    {"completion_tokens", Done.m_Tokens},
                    {"total_tokens", Done.m_PromptTokens + Done.m_Tokens}}}});
}

asio::awaitable<void> CompletionCall::deliver(decide::DeliverToken Token) {
  const Instant Now = Context::now();
  if (m_LastToken)
    m_Shared.m_Metrics.timed(Timing::BetweenTokens, Now - *m_LastToken);
  else
    m_Shared.m_Metrics.timed(Timing::FirstToken, Now - m_Arrived);
  if (m_FailedAt)
    m_Shared.m_Metrics.timed(Timing::Recovery, Now - *m_FailedAt);
  m_FailedAt.reset();
  m_LastToken = Now;
  if (!m_Asked.m_Stream) {
    m_Answer += Token.m_Token.text();
    co_return;
  }
  if (!m_Exchange.responseStarted()) {
    net::HttpResponse Head;
    Head.m_Headers = {{"Content-Type", "text/event-stream"},
                      {"Cache-Control", "no-cache"},
                      {"Mimosadale-Request", m_Request.str()}};
    co_await m_Exchange.startStream(std::move(Head));
  }
  const std::string Id = printEventId({Token.m_Index + 1, Token.m_Hash});
  co_await m_Exchange.write(event(Id, chunk(Token.m_Token.text(), nullptr)));
}

asio::awaitable<void> CompletionCall::complete(decide::CompleteRequest Done) {
  m_Outcome = "complete";
  note("path at the end " + decide::pathText(m_Pipeline->path()));
  if (!m_Asked.m_Stream) {
    net::HttpResponse Response;
    Response.m_Headers = {{"Content-Type", "application/json"},
                          {"Mimosadale-Request", m_Request.str()}};
    Response.m_Body = wholeBody(Done);
    co_await m_Exchange.respond(std::move(Response));
    co_return;
  }
  if (!m_Exchange.responseStarted()) {
    // A resumed stream of which the caller already held every token.
    net::HttpResponse Head;
    Head.m_Headers = {{"Content-Type", "text/event-stream"}};
    co_await m_Exchange.startStream(std::move(Head));
  }
  std::string Last =
      event("", chunk("", Done.m_EndedByModel ? "stop" : "length"));
  if (m_Asked.m_IncludeUsage)
    Last += event("", usage(Done));
  co_await m_Exchange.write(Last + event("", "[DONE]"));
  co_await m_Exchange.finish();
}

} // namespace mimosadale::router
