#include "router/service_client.h"

#include "router/context.h"

namespace mimosadale::router {

namespace asio = boost::asio;

namespace {

constexpr Duration ConnectTimeout = std::chrono::milliseconds(250);

decide::ClaimDispatchResult toClaimDispatch(net::HttpResponse Response) {
  decide::ClaimDispatchResult Dispatch;
  const bool NotRun =
      net::findHeader(Response.m_Headers, "Mimosadale-Run-State") == "not_run";
  Dispatch.m_Kind = NotRun ? decide::ClaimDispatchResult::Kind::ReportedNotRun
                           : decide::ClaimDispatchResult::Kind::Answered;
  Dispatch.m_Status = Response.m_Status;
  Dispatch.m_ContentType = net::findHeader(Response.m_Headers, "Content-Type");
  Dispatch.m_Body = std::move(Response.m_Body);
  return Dispatch;
}

} // namespace

asio::awaitable<ServiceDispatch>
ServiceClient::send(ServiceId Service, net::HttpRequest Request,
                    Duration Timeout, decide::EndpointSet Avoid) {
  ServiceDispatch Dispatch;
  Dispatch.m_Result.m_Kind = decide::ClaimDispatchResult::Kind::NeverSent;
  std::string Address;
  m_Context.m_Endpoints.withLock([&](decide::EndpointDirectory &Directory) {
    const auto Endpoint =
        Directory.chooseServiceEndpoint(Service, Avoid, Context::random());
    if (!Endpoint)
      return;
    Dispatch.m_Endpoint = *Endpoint;
    Address = Directory.address(*Endpoint);
    Directory.onCallStarted(*Endpoint);
  });
  if (Address.empty())
    co_return Dispatch;
  net::ExchangeOptions Options;
  Options.m_NewConnection = true;
  Options.m_Timeout = Timeout;
  Options.m_ConnectTimeout = ConnectTimeout;
  const Instant Start = Context::now();
  try {
    net::HttpResponse Response = co_await m_Context.m_Client.exchange(
        net::parseAddress(Address), std::move(Request), Options);
    Dispatch.m_Result = toClaimDispatch(std::move(Response));
    m_Context.m_Endpoints.withLock([&](decide::EndpointDirectory &Directory) {
      Directory.onReply(Dispatch.m_Endpoint, 1, Context::now() - Start, nullptr,
                        Context::now());
    });
  } catch (const net::NetError &Err) {
    const bool NotSent = Err.phase() == net::Phase::Connect;
    if (!NotSent)
      Dispatch.m_Result.m_Kind = decide::ClaimDispatchResult::Kind::Lost;
    m_Context.m_Endpoints.withLock([&](decide::EndpointDirectory &Directory) {
      Directory.onFault(Dispatch.m_Endpoint, NotSent, Context::now());
    });
  }
  co_return Dispatch;
}

} // namespace mimosadale::router
