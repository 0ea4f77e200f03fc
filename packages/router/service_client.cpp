#include "router/service_client.h"

#include "router/context.h"

namespace mimosadale::router {

namespace asio = boost::asio;

namespace {

constexpr Duration ConnectTimeout = std::chrono::milliseconds(250);

decide::ClaimDispatch dispatchOf(net::HttpResponse Response) {
  decide::ClaimDispatch Dispatch;
  const bool NotRun =
      net::findHeader(Response.m_Headers, "Mimosadale-Run-State") == "not_run";
  Dispatch.m_Kind = NotRun ? decide::ClaimDispatch::Kind::SaidNotRun
                           : decide::ClaimDispatch::Kind::Answered;
  Dispatch.m_Status = Response.m_Status;
  Dispatch.m_Type = net::findHeader(Response.m_Headers, "Content-Type");
  Dispatch.m_Body = std::move(Response.m_Body);
  return Dispatch;
}

} // namespace

asio::awaitable<ServiceTry> ServiceClient::send(ServiceId Service,
                                                net::HttpRequest Request,
                                                Duration Timeout,
                                                decide::EndpointSet Avoid) {
  ServiceTry Try;
  Try.m_Dispatch.m_Kind = decide::ClaimDispatch::Kind::NeverSent;
  std::string Where;
  m_Shared.m_Endpoints.with([&](decide::EndpointDirectory &Directory) {
    const auto Chosen =
        Directory.chooseService(Service, Avoid, Context::random());
    if (!Chosen)
      return;
    Try.m_Endpoint = *Chosen;
    Where = Directory.address(*Chosen);
    Directory.onSent(*Chosen);
  });
  if (Where.empty())
    co_return Try;
  net::ExchangeOptions Options;
  Options.m_NewConnection = true;
  Options.m_Timeout = Timeout;
  Options.m_ConnectTimeout = ConnectTimeout;
  const Instant Begun = Context::now();
  try {
    net::HttpResponse Response = co_await m_Shared.m_Client.exchange(
        net::parseAddress(Where), std::move(Request), Options);
    Try.m_Dispatch = dispatchOf(std::move(Response));
    m_Shared.m_Endpoints.with([&](decide::EndpointDirectory &Directory) {
      Directory.onReply(Try.m_Endpoint, 1, Context::now() - Begun, nullptr,
                        Context::now());
    });
  } catch (const net::NetError &Wrong) {
    const bool Never = Wrong.phase() == net::Phase::Connect;
    if (!Never)
      Try.m_Dispatch.m_Kind = decide::ClaimDispatch::Kind::Lost;
    m_Shared.m_Endpoints.with([&](decide::EndpointDirectory &Directory) {
      Directory.onFault(Try.m_Endpoint, Never, Context::now());
    });
  }
  co_return Try;
}

} // namespace mimosadale::router
