#include "standin/engine.h"

#include "schema/generated/engine.pb.h"
#include "standin/faults.h"
#include "standin/model.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <map>
#include <mutex>
#include <stdexcept>

namespace mimosadale::standin {

namespace asio = boost::asio;
namespace json = boost::json;
using Clock = std::chrono::steady_clock;

namespace {

// A call refused with a status and an error code of the engine protocol.
class EngineRefusal : public std::runtime_error {
public:
  EngineRefusal(unsigned Status, std::string Code,
                std::uint64_t ExpectedPosition = 0)
      : std::runtime_error(Code), m_Status(Status), m_Code(std::move(Code)),
        m_ExpectedPosition(ExpectedPosition) {}
  unsigned m_Status;
  std::string m_Code;
  std::uint64_t m_ExpectedPosition;
};

// State of one attempt of a request: an attempt has its own epoch.
struct Sequence {
  std::uint64_t m_Epoch = 0;
  std::uint64_t m_NextPosition = 0;
  std::vector<std::uint64_t> m_Cache; // one KV cache value for each layer
  std::string m_LastCall;         // the last call run, without its call number
  schema::StageReply m_LastReply; // the reply to m_LastCall
};

net::HttpResponse protobufResponse(const google::protobuf::Message &Body) {
  return {200,
          {{"Content-Type", "application/x-protobuf"}},
          Body.SerializeAsString()};
}

net::HttpResponse refusalResponse(const EngineRefusal &Refusal) {
  schema::EngineError Error;
  Error.set_code(Refusal.m_Code);
  Error.set_message(Refusal.m_Code);
  Error.set_expected_position(Refusal.m_ExpectedPosition);
  return {Refusal.m_Status,
          {{"Content-Type", "application/x-protobuf"}},
          Error.SerializeAsString()};
}

asio::awaitable<void> sleepUntil(Clock::time_point Time) {
  asio::steady_timer Timer(co_await asio::this_coro::executor, Time);
  co_await Timer.async_wait(asio::use_awaitable);
}

} // namespace

class Engine::State {
public:
  explicit State(EngineSettings Settings) : m_Settings(std::move(Settings)) {}

  asio::awaitable<void> handle(net::HttpExchange &Exchange) {
    const net::HttpRequest &Request = Exchange.request();
    if (Request.m_Target.starts_with("/standin/")) {
      co_await Exchange.respond(handleControl(Request));
      co_return;
    }
    co_await m_Faults.delay(Exchange);
    if (m_Faults.isSilenced(Exchange)) {
      co_await sleepUntil(Clock::now() + std::chrono::hours(1));
      co_return;
    }
    if (Request.m_Target == "/v1/stage")
      co_await handleStage(Exchange);
    else
      co_await Exchange.respond(cancelOrLoad(Request));
  }

private:
  net::HttpResponse handleControl(const net::HttpRequest &Request) {
    const std::lock_guard Lock(m_Mutex);
    if (Request.m_Target == "/standin/faults")
      m_Faults.set(Request.m_Body);
    if (Request.m_Target == "/standin/forget")
      m_Sequences.clear();
    json::object Report{{"violations", json::value_from(m_Violations)},
                        {"positions_run", m_PositionsRun},
                        {"sequences", m_Sequences.size()},
                        {"new_sequences", m_NewSequences},
                        {"cancelled", m_Cancelled}};
    return {200, {}, json::serialize(Report)};
  }

  net::HttpResponse cancelOrLoad(const net::HttpRequest &Request) {
    const std::lock_guard Lock(m_Mutex);
    if (Request.m_Target == "/v1/cancel") {
      schema::CancelRequest Cancel;
      Cancel.ParseFromString(Request.m_Body);
      const auto Found = m_Sequences.find(Cancel.request());
      if (Found != m_Sequences.end() &&
          Found->second.m_Epoch <= Cancel.epoch()) {
        m_Sequences.erase(Found);
        ++m_Cancelled;
      }
      return {200, {}, ""};
    }
    if (Request.m_Target == "/v1/load")
      return protobufResponse(loadReport());
    return {404, {}, ""};
  }

  schema::Load loadReport() {
    schema::Load Load;
    Load.set_running(static_cast<std::uint32_t>(m_Sequences.size()));
    Load.set_queued(m_QueuedCalls);
    Load.set_tokens_per_second(m_Settings.m_TokensPerSecond);
    Load.set_leaving(m_Faults.isSet("leaving"));
    return Load;
  }

  asio::awaitable<void> handleStage(net::HttpExchange &Exchange) {
    schema::StageRequest Call;
    std::optional<EngineRefusal> Refusal;
    std::optional<schema::StageReply> Reply;
    Clock::time_point FinishTime = Clock::now();
    try {
      if (!Call.ParseFromString(Exchange.request().m_Body))
        throw EngineRefusal(400, "malformed");
      const std::lock_guard Lock(m_Mutex);
      Reply = runStage(Call);
      FinishTime =
          scheduleBatch(Reply->next_position() - Reply->first_position());
    } catch (const EngineRefusal &E) {
      Refusal = E;
    }
    if (Refusal) {
      co_await Exchange.respond(refusalResponse(*Refusal));
      co_return;
    }
    ++m_QueuedCalls;
    if (FinishTime > Clock::now())
      co_await sleepUntil(FinishTime);
    --m_QueuedCalls;
    co_await sendReply(Exchange, *Reply);
  }

  // Sends the reply with the injected faults.
  asio::awaitable<void> sendReply(net::HttpExchange &Exchange,
                                  schema::StageReply Reply) {
    if (m_Faults.consume("wrong_request"))
      Reply.set_request("somebody-else");
    if (m_Faults.consume("wrong_position"))
      Reply.set_next_position(Reply.next_position() + 1);
    if (m_Faults.consume("wrong_epoch"))
      Reply.set_epoch(Reply.epoch() + 1);
    if (m_Faults.consume("reset")) {
      Exchange.abort();
      co_return;
    }
    net::HttpResponse Response = protobufResponse(Reply);
    if (m_Faults.consume("truncate"))
      Response.m_Body.resize(Response.m_Body.size() / 2);
    co_await Exchange.respond(std::move(Response));
  }

  // Adds positions to the running batch. Returns when they are done at the
  // configured rate.
  Clock::time_point scheduleBatch(std::uint64_t Positions) {
    const auto Now = Clock::now();
    if (m_Settings.m_TokensPerSecond <= 0)
      return Now;
    m_BusyUntil =
        std::max(m_BusyUntil, Now) +
        std::chrono::duration_cast<Clock::duration>(
            std::chrono::duration<double>(static_cast<double>(Positions) /
                                          m_Settings.m_TokensPerSecond));
    return m_BusyUntil;
  }

  // Records a violation of the protocol by the router and refuses the call.
  void refuseViolation(const std::string &Code) {
    m_Violations.push_back(m_Settings.m_Name + ": " + Code);
    throw EngineRefusal(422, Code);
  }

  schema::StageReply runStage(const schema::StageRequest &Call) {
    if (Call.first_layer() != m_Settings.m_FirstLayer ||
        Call.end_layer() != m_Settings.m_EndLayer)
      throw EngineRefusal(409, "wrong_layers");
    auto Found = m_Sequences.find(Call.request());
    if (Found != m_Sequences.end() && Found->second.m_Epoch > Call.epoch())
      throw EngineRefusal(409, "stale_epoch");
    const bool IsNew = Found == m_Sequences.end() ||
                       Found->second.m_Epoch < Call.epoch() ||
                       restarts(Found->second, Call);
    if (IsNew) {
      if (Call.first_position() != 0)
        throw EngineRefusal(409, "unknown_request");
      if (m_Faults.isSet("leaving"))
        throw EngineRefusal(503, "leaving");
      if (m_Faults.consume("busy"))
        throw EngineRefusal(503, "busy");
      Found = m_Sequences.insert_or_assign(Call.request(), Sequence()).first;
      Found->second.m_Epoch = Call.epoch();
      Found->second.m_Cache.assign(
          m_Settings.m_EndLayer - m_Settings.m_FirstLayer, 0);
      ++m_NewSequences;
    }
    Sequence &Current = Found->second;
    if (!IsNew && repeats(Current, Call)) {
      schema::StageReply Repeated = Current.m_LastReply;
      Repeated.set_call(Call.call());
      return Repeated;
    }
    if (Call.first_position() != Current.m_NextPosition)
      throw EngineRefusal(409, "wrong_position", Current.m_NextPosition);
    return runPositions(Call, Current);
  }

  // A call from position 0 starts the sequence anew unless it repeats the last
  // call.
  static bool restarts(const Sequence &Current,
                       const schema::StageRequest &Call) {
    return Call.first_position() == 0 && !repeats(Current, Call);
  }

  // Whether a call equals the last one run, apart from the call number.
  static bool repeats(const Sequence &Current,
                      const schema::StageRequest &Call) {
    return Current.m_LastCall == serializeWithoutCallNumber(Call);
  }

  static std::string serializeWithoutCallNumber(schema::StageRequest Call) {
    Call.clear_call();
    return Call.SerializeAsString();
  }

  // Decodes the values that enter this engine's first layer. Checks that each
  // belongs to the request, has passed exactly the layers before and is at the
  // expected position.
  std::vector<std::uint64_t> decodeInputs(const schema::StageRequest &Call) {
    std::vector<std::uint64_t> Values;
    if (Call.first_layer() == 0) {
      if (Call.first_position() == 0)
        for (const std::uint32_t Token : tokenize(Call.input().prompt()))
          Values.push_back(embed(Token));
      for (const std::uint32_t Token : Call.input().tokens())
        Values.push_back(embed(Token));
      return Values;
    }
    std::uint64_t Position = Call.first_position();
    for (const std::string &Bytes : Call.input().activations()) {
      const Activation Input = unpackActivation(Bytes);
      if (Input.m_Request != hashText(Call.request()))
        refuseViolation("mixed_request");
      if (Input.m_LayersDone < m_Settings.m_FirstLayer)
        refuseViolation("skipped_layer");
      if (Input.m_LayersDone > m_Settings.m_FirstLayer)
        refuseViolation("repeated_layer");
      if (Input.m_Position != Position++)
        refuseViolation("mixed_position");
      Values.push_back(Input.m_Value);
    }
    return Values;
  }

  schema::StageReply runPositions(const schema::StageRequest &Call,
                                  Sequence &Current) {
    std::vector<std::uint64_t> Values = decodeInputs(Call);
    if (Values.empty())
      throw EngineRefusal(400, "no_positions");
    schema::StageReply Reply;
    Reply.set_request(Call.request());
    Reply.set_epoch(Call.epoch());
    Reply.set_stage(Call.stage());
    Reply.set_call(Call.call());
    Reply.set_first_position(Call.first_position());
    for (std::uint64_t &Value : Values) {
      const std::uint64_t Position = Current.m_NextPosition++;
      for (std::uint32_t I = 0; I < Current.m_Cache.size(); ++I)
        Value = runLayer(Value, m_Settings.m_FirstLayer + I, Position,
                         Current.m_Cache[I]);
      if (!Call.sample() && Position >= Call.want_from())
        Reply.add_activations(
            packActivation({Value, Position, hashText(Call.request()),
                            m_Settings.m_EndLayer}));
    }
    m_PositionsRun += Values.size();
    if (Call.sample()) {
      const std::uint32_t Token = sample(Values.back(), Call.seed());
      Reply.mutable_token()->set_id(Token);
      Reply.mutable_token()->set_text(tokenText(Token));
    }
    Reply.set_next_position(Current.m_NextPosition);
    *Reply.mutable_load() = loadReport();
    Current.m_LastCall = serializeWithoutCallNumber(Call);
    Current.m_LastReply = Reply;
    return Reply;
  }

  EngineSettings m_Settings;
  Faults m_Faults;
  std::mutex m_Mutex;
  std::map<std::string, Sequence> m_Sequences;
  std::vector<std::string> m_Violations;
  Clock::time_point m_BusyUntil;
  std::atomic<std::uint32_t> m_QueuedCalls = 0;
  std::uint64_t m_PositionsRun = 0;
  std::uint64_t m_NewSequences = 0;
  std::uint64_t m_Cancelled = 0;
};

Engine::Engine(EngineSettings Settings)
    : m_State(std::make_unique<State>(std::move(Settings))) {}

Engine::~Engine() = default;

asio::awaitable<void> Engine::handle(net::HttpExchange &Exchange) {
  return m_State->handle(Exchange);
}

} // namespace mimosadale::standin
