#include "standin/faults.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

namespace mimosadale::standin {

namespace asio = boost::asio;

void Faults::set(const std::string &Json) {
  const auto Parsed = boost::json::parse(Json).as_object();
  const std::lock_guard Lock(m_Mutex);
  for (const auto &[Name, Value] : Parsed) {
    m_Values[Name] = Value.to_number<double>();
    if (Name == "silent")
      m_LastSilencedConnection = m_Values[Name] > 0 ? m_NewestConnection : 0;
  }
}

bool Faults::isSet(const std::string &Name) const { return value(Name) > 0; }

double Faults::value(const std::string &Name) const {
  const std::lock_guard Lock(m_Mutex);
  const auto Found = m_Values.find(Name);
  return Found == m_Values.end() ? 0 : Found->second;
}

bool Faults::consume(const std::string &Name) {
  const std::lock_guard Lock(m_Mutex);
  double &Remaining = m_Values[Name];
  if (Remaining < 1)
    return false;
  Remaining -= 1;
  return true;
}

asio::awaitable<void> Faults::sleepFor(double Milliseconds) {
  asio::steady_timer Timer(co_await asio::this_coro::executor);
  Timer.expires_after(std::chrono::duration_cast<std::chrono::nanoseconds>(
      std::chrono::duration<double, std::milli>(Milliseconds)));
  co_await Timer.async_wait(asio::use_awaitable);
}

asio::awaitable<void> Faults::delay(net::HttpExchange &) {
  const double Milliseconds = value("delay_ms");
  if (Milliseconds > 0)
    co_await sleepFor(Milliseconds);
}

bool Faults::isSilenced(const net::HttpExchange &Exchange) {
  const std::lock_guard Lock(m_Mutex);
  m_NewestConnection =
      std::max(m_NewestConnection, Exchange.connectionNumber());
  return Exchange.connectionNumber() <= m_LastSilencedConnection;
}

} // namespace mimosadale::standin
