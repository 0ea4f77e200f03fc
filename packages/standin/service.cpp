#include "standin/service.h"

#include <boost/json.hpp>

namespace mimosadale::standin {

namespace asio = boost::asio;
namespace json = boost::json;

net::HttpResponse Service::executionsResponse() {
  const std::lock_guard Lock(m_Mutex);
  json::object Body{{"total", m_Total},
                    {"by_key", json::value_from(m_Executions)}};
  return {200, {{"Content-Type", "application/json"}}, json::serialize(Body)};
}

std::uint64_t Service::execute(const net::HttpRequest &Request) {
  const std::lock_guard Lock(m_Mutex);
  ++m_Executions[net::findHeader(Request.m_Headers, "Idempotency-Key")];
  return ++m_Total;
}

asio::awaitable<void> Service::handle(net::HttpExchange &Exchange) {
  const net::HttpRequest &Request = Exchange.request();
  if (Request.m_Target == "/standin/executions") {
    co_await Exchange.respond(executionsResponse());
    co_return;
  }
  if (Request.m_Target == "/standin/faults") {
    m_Faults.set(Request.m_Body);
    co_await Exchange.respond(net::HttpResponse());
    co_return;
  }
  if (Request.m_Target == "/healthz") {
    co_await Exchange.respond(net::HttpResponse());
    co_return;
  }
  if (m_Faults.consume("not_run")) {
    net::HttpResponse Refusal{
        503, {{"Mimosadale-Run-State", "not_run"}}, "busy"};
    co_await Exchange.respond(std::move(Refusal));
    co_return;
  }
  co_await m_Faults.delay(Exchange);
  const std::uint64_t Execution = execute(Request);
  if (m_Faults.consume("reset_after")) {
    Exchange.abort();
    co_return;
  }
  net::HttpResponse Response = executionResponse(Execution, Request.m_Body);
  co_await Exchange.respond(std::move(Response));
}

net::HttpResponse Service::executionResponse(std::uint64_t Execution,
                                             const std::string &Echo) const {
  const auto FillBytes = static_cast<std::size_t>(m_Faults.value("fill"));
  json::object Body{{"service", m_Name},
                    {"execution", Execution},
                    {"echo", Echo},
                    {"fill", std::string(FillBytes, 'x')}};
  return {201, {{"Content-Type", "application/json"}}, json::serialize(Body)};
}

} // namespace mimosadale::standin
