#include "router/engine_client.h"

#include "router/context.h"

#include <algorithm>

namespace mimosadale::router {

namespace asio = boost::asio;

namespace {

// Bounds on the time after which a silent engine is probed.
constexpr Duration LeastSilence = std::chrono::milliseconds(100);

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

decide::StageFault faultOf(const net::NetError &Wrong) {
  if (Wrong.phase() == net::Phase::Connect)
    return decide::StageFault::ConnectFailed;
  return Wrong.timedOut() ? decide::StageFault::Silent
                          : decide::StageFault::Broken;
}

// What an engine's own refusal means.
decide::StageFault faultOf(const net::HttpResponse &Response) {
  schema::EngineError Error;
  Error.ParseFromString(Response.m_Body);
  if (Error.code() == "unknown_request" || Error.code() == "wrong_position")
    return decide::StageFault::LostCache;
  if (Error.code() == "busy")
    return decide::StageFault::Busy;
  if (Error.code() == "leaving")
    return decide::StageFault::Leaving;
  return decide::StageFault::Protocol;
}

std::uint64_t positionsIn(const schema::StageRequest &Request) {
  const auto &Input = Request.input();
  const auto Listed = static_cast<std::uint64_t>(Input.tokens_size()) +
                      static_cast<std::uint64_t>(Input.activations_size());
  // A prompt holds about one token in four bytes.
  return Listed + Input.prompt().size() / 4 + 1;
}

} // namespace

asio::awaitable<StageResult> EngineClient::call(decide::SendStage Send,
                                                Instant Deadline,
                                                unsigned Patience) {
  const Instant Begun = Context::now();
  const auto &Limits = m_Shared.m_Settings.limits();
  const Duration Most = std::chrono::milliseconds(Limits.stage_timeout_ms());
  const std::uint64_t Positions = positionsIn(Send.m_Request);
  std::string Where;
  Duration Silence{};
  m_Shared.m_Endpoints.with([&](decide::EndpointDirectory &Directory) {
    Directory.onSent(Send.m_Endpoint);
    Where = Directory.address(Send.m_Endpoint);
    Silence =
        Directory.silentBound(Send.m_Endpoint, Positions, LeastSilence, Most);
  });
  if (Where.empty())
    co_return decide::StageFault::ConnectFailed;
  net::ExchangeOptions Options;
  Options.m_Timeout = std::max<Duration>(
      std::min(Silence * Patience, Deadline - Begun), Duration(1));
  Options.m_ConnectTimeout = ConnectTimeout;
  Options.m_NewConnection = Send.m_FreshConnection;
  decide::StageFault Fault = decide::StageFault::Broken;
  bool Heard = false;
  schema::StageReply Reply;
  try {
    net::HttpRequest Request = protobufRequest("/v1/stage", Send.m_Request);
    const net::HttpResponse Response = co_await m_Shared.m_Client.exchange(
        net::parseAddress(Where), std::move(Request), Options);
    Heard = true;
    if (Response.m_Status != 200)
      Fault = faultOf(Response);
    else if (Reply.ParseFromString(Response.m_Body)) {
      const Duration Taken = Context::now() - Begun;
      m_Shared.m_Endpoints.with([&](decide::EndpointDirectory &Directory) {
        Directory.onReply(Send.m_Endpoint, Positions, Taken, &Reply.load(),
                          Context::now());
      });
      co_return Reply;
    }
  } catch (const net::NetError &Wrong) {
    Fault = faultOf(Wrong);
  }
  m_Shared.m_Endpoints.with([&](decide::EndpointDirectory &Directory) {
    if (Heard)
      Directory.onReply(Send.m_Endpoint, Positions, Context::now() - Begun,
                        nullptr, Context::now());
    else
      Directory.onFault(Send.m_Endpoint,
                        Fault == decide::StageFault::ConnectFailed,
                        Context::now());
  });
  co_return Fault;
}

asio::awaitable<bool> EngineClient::probe(EndpointId Endpoint) {
  std::string Where;
  bool IsEngine = false;
  m_Shared.m_Endpoints.with([&](decide::EndpointDirectory &Directory) {
    Where = Directory.address(Endpoint);
    IsEngine = Directory.isEngine(Endpoint);
  });
  if (Where.empty())
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
    const net::HttpResponse Response = co_await m_Shared.m_Client.exchange(
        net::parseAddress(Where), std::move(Request), Options);
    Answered = Response.m_Status < 500;
    if (IsEngine)
      Answered = Answered && Load.ParseFromString(Response.m_Body);
  } catch (const net::NetError &) {
    Answered = false;
  }
  m_Shared.m_Endpoints.with([&](decide::EndpointDirectory &Directory) {
    Directory.onProbe(Endpoint, Answered, IsEngine ? &Load : nullptr,
                      Context::now());
  });
  if (!Answered)
    m_Shared.m_Client.closeIdleTo(net::parseAddress(Where));
  co_return Answered;
}

asio::awaitable<void> EngineClient::cancel(decide::CancelStage Cancel) {
  std::string Where;
  m_Shared.m_Endpoints.with([&](decide::EndpointDirectory &Directory) {
    Where = Directory.address(Cancel.m_Endpoint);
  });
  if (Where.empty())
    co_return;
  net::ExchangeOptions Options;
  Options.m_Timeout = CancelTimeout;
  Options.m_ConnectTimeout = ConnectTimeout;
  try {
    net::HttpRequest Request = protobufRequest("/v1/cancel", Cancel.m_Request);
    co_await m_Shared.m_Client.exchange(net::parseAddress(Where),
                                        std::move(Request), Options);
  } catch (const net::NetError &) {
    m_Shared.m_Metrics.counted("cancel_lost");
  }
}

} // namespace mimosadale::router
