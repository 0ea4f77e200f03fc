#include "router/engine_client.h"

#include "router/context.h"

#include <algorithm>

namespace mimosadale::router {

namespace asio = boost::asio;

namespace {

// Lower bound of the time after which an engine that does not reply is probed.
constexpr Duration MinReplyTimeout = std::chrono::milliseconds(100);

constexpr Duration ProbeTimeout = std::chrono::milliseconds(250);
constexpr Duration CancelTimeout = std::chrono::milliseconds(500);
constexpr Duration ConnectTimeout = std::chrono::milliseconds(250);

net::HttpRequest protobufRequest(const char *Target,
                                 const google::protobuf::Message &Body) {
  net::HttpRequest Request;
  Request.m_Method = "POST";
  Request.m_Target = Target;
  Request.m_Headers.push_back({"Content-Type", "application/x-protobuf"});
  Request.m_Body = Body.SerializeAsString();
  return Request;
}

decide::StageFault toStageFault(const net::NetError &Err) {
  if (Err.phase() == net::Phase::Connect)
    return decide::StageFault::ConnectFailed;
  return Err.timedOut() ? decide::StageFault::TimedOut
                        : decide::StageFault::ConnectionBroken;
}

// Maps the error code of an engine to a fault.
decide::StageFault toStageFault(const net::HttpResponse &Response) {
  schema::EngineError Error;
  Error.ParseFromString(Response.m_Body);
  if (Error.code() == "unknown_request" || Error.code() == "wrong_position")
    return decide::StageFault::CacheLost;
  if (Error.code() == "busy")
    return decide::StageFault::Busy;
  if (Error.code() == "leaving")
    return decide::StageFault::Draining;
  return decide::StageFault::Protocol;
}

std::uint64_t estimatePositions(const schema::StageRequest &Request) {
  const auto &Input = Request.input();
  const auto Count = static_cast<std::uint64_t>(Input.tokens_size()) +
                     static_cast<std::uint64_t>(Input.activations_size());
  // A prompt has about one token per four bytes.
  return Count + Input.prompt().size() / 4 + 1;
}

} // namespace

asio::awaitable<StageResult> EngineClient::call(decide::SendStageCall Send,
                                                Instant Deadline,
                                                unsigned TimeoutFactor) {
  const Instant Start = Context::now();
  const auto &Limits = m_Context.m_Settings.limits();
  const Duration MaxReplyTimeout =
      std::chrono::milliseconds(Limits.stage_timeout_ms());
  const std::uint64_t Positions = estimatePositions(Send.m_Request);
  std::string Address;
  Duration ReplyTimeout{};
  m_Context.m_Endpoints.withLock([&](decide::EndpointDirectory &Directory) {
    Directory.onCallStarted(Send.m_Endpoint);
    Address = Directory.address(Send.m_Endpoint);
    ReplyTimeout = Directory.replyTimeout(Send.m_Endpoint, Positions,
                                          MinReplyTimeout, MaxReplyTimeout);
  });
  if (Address.empty())
    co_return decide::StageFault::ConnectFailed;
  net::ExchangeOptions Options;
  Options.m_Timeout = std::max<Duration>(
      std::min(ReplyTimeout * TimeoutFactor, Deadline - Start), Duration(1));
  Options.m_ConnectTimeout = ConnectTimeout;
  Options.m_NewConnection = Send.m_NewConnection;
  decide::StageFault Fault = decide::StageFault::ConnectionBroken;
  bool HasResponse = false;
  schema::StageReply Reply;
  try {
    net::HttpRequest Request = protobufRequest("/v1/stage", Send.m_Request);
    const net::HttpResponse Response = co_await m_Context.m_Client.exchange(
        net::parseAddress(Address), std::move(Request), Options);
    HasResponse = true;
    if (Response.m_Status != 200)
      Fault = toStageFault(Response);
    else if (Reply.ParseFromString(Response.m_Body)) {
      const Duration Elapsed = Context::now() - Start;
      m_Context.m_Endpoints.withLock([&](decide::EndpointDirectory &Directory) {
        Directory.onReply(Send.m_Endpoint, Positions, Elapsed, &Reply.load(),
                          Context::now());
      });
      co_return Reply;
    }
  } catch (const net::NetError &Err) {
    Fault = toStageFault(Err);
  }
  m_Context.m_Endpoints.withLock([&](decide::EndpointDirectory &Directory) {
    if (HasResponse)
      Directory.onReply(Send.m_Endpoint, Positions, Context::now() - Start,
                        nullptr, Context::now());
    else
      Directory.onFault(Send.m_Endpoint,
                        Fault == decide::StageFault::ConnectFailed,
                        Context::now());
  });
  co_return Fault;
}

asio::awaitable<bool> EngineClient::probe(EndpointId Endpoint) {
  std::string Address;
  bool IsEngine = false;
  m_Context.m_Endpoints.withLock([&](decide::EndpointDirectory &Directory) {
    Address = Directory.address(Endpoint);
    IsEngine = Directory.isEngine(Endpoint);
  });
  if (Address.empty())
    co_return false;
  net::ExchangeOptions Options;
  Options.m_NewConnection = true;
  Options.m_Timeout = ProbeTimeout;
  Options.m_ConnectTimeout = ConnectTimeout;
  net::HttpRequest Request;
  Request.m_Target = IsEngine ? "/v1/load" : "/healthz";
  bool Answered = false;
  schema::Load Load;
  try {
    const net::HttpResponse Response = co_await m_Context.m_Client.exchange(
        net::parseAddress(Address), std::move(Request), Options);
    Answered = Response.m_Status < 500;
    if (IsEngine)
      Answered = Answered && Load.ParseFromString(Response.m_Body);
  } catch (const net::NetError &) {
    Answered = false;
  }
  m_Context.m_Endpoints.withLock([&](decide::EndpointDirectory &Directory) {
    Directory.onProbe(Endpoint, Answered, IsEngine ? &Load : nullptr,
                      Context::now());
  });
  if (!Answered)
    m_Context.m_Client.closeIdleTo(net::parseAddress(Address));
  co_return Answered;
}

asio::awaitable<void> EngineClient::cancel(decide::CancelStage Cancel) {
  std::string Address;
  m_Context.m_Endpoints.withLock([&](decide::EndpointDirectory &Directory) {
    Address = Directory.address(Cancel.m_Endpoint);
  });
  if (Address.empty())
    co_return;
  net::ExchangeOptions Options;
  Options.m_Timeout = CancelTimeout;
  Options.m_ConnectTimeout = ConnectTimeout;
  try {
    net::HttpRequest Request = protobufRequest("/v1/cancel", Cancel.m_Request);
    co_await m_Context.m_Client.exchange(net::parseAddress(Address),
                                         std::move(Request), Options);
  } catch (const net::NetError &) {
    m_Context.m_Metrics.countEvent("cancel_lost");
  }
}

} // namespace mimosadale::router
