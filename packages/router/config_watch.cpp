#include "router/config_watch.h"

#include "platform/platform_error.h"
#include "router/context.h"
#include "router/log.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace mimosadale::router {

namespace asio = boost::asio;

asio::awaitable<void> ConfigWatch::run() {
  const Duration Pause =
      std::chrono::milliseconds(m_Shared.m_Settings.platform().poll_ms());
  asio::steady_timer Timer(co_await asio::this_coro::executor);
  while (true) {
    co_await look();
    Timer.expires_after(Pause);
    co_await Timer.async_wait(asio::use_awaitable);
  }
}

asio::awaitable<bool> ConfigWatch::look() {
  try {
    co_await lookAtGeneration();
    co_await lookAtDrains();
    co_await lookAtHosts();
    m_Shared.m_Metrics.gauge("platform_up", 1);
    co_return true;
  } catch (const platform::PlatformError &Wrong) {
    m_Shared.m_Metrics.counted("platform_failed");
    m_Shared.m_Metrics.gauge("platform_up", 0);
    logEvent(schema::DEBUG, "platform_failed", {{"detail", Wrong.what()}});
  }
  co_return false;
}

asio::awaitable<void> ConfigWatch::lookAtGeneration() {
  const auto Stored = co_await m_Shared.m_ConfigStore.current();
  const std::uint64_t Own = raw(m_Shared.m_Config.generation());
  const std::uint64_t Seen = Stored ? Stored->m_Row.generation() : 0;
  if (Seen < Own) {
    m_Shared.m_Metrics.counted("generation_went_back");
    logEvent(schema::WARN, "generation_went_back",
             {{"adopted", std::to_string(Own)},
              {"platform", std::to_string(Seen)}});
  }
  if (Seen <= Own)
    co_return;
  schema::Declaration Declared =
      co_await m_Shared.m_ConfigStore.load(Stored->m_Row);
  adopt(Stored->m_Row, std::move(Declared));
}

void ConfigWatch::adopt(const schema::GenerationRow &Row,
                        schema::Declaration Declared) {
  auto Next = std::make_shared<ActiveConfig>();
  Next->m_Row = Row;
  Next->m_Declared = std::move(Declared);
  if (!m_Shared.m_Config.adopt(Next))
    return;
  m_Shared.m_Endpoints.with([&](decide::EndpointDirectory &Directory) {
    Directory.adopt(Next->m_Declared, Context::now());
  });
  m_Shared.m_Metrics.gauge("generation",
                           static_cast<double>(Row.generation()));
  logEvent(schema::INFO, "configuration_adopted",
           {{"generation", std::to_string(Row.generation())},
            {"author", Row.author()},
            {"reason", Row.reason()}});
}

asio::awaitable<void> ConfigWatch::lookAtDrains() {
  const auto Rows = co_await m_Shared.m_Table.scan(platform::DrainPrefix);
  std::vector<std::string> Draining;
  for (const platform::TableRow &Each : Rows) {
    schema::DrainRow Row;
    if (Row.ParseFromString(Each.m_Value) && Row.draining())
      Draining.push_back(Row.subject());
  }
  m_Shared.m_Endpoints.with([&](decide::EndpointDirectory &Directory) {
    Directory.replaceLeaving(decide::LeaveSource::Operator, Draining);
  });
}

asio::awaitable<void> ConfigWatch::lookAtHosts() {
  const auto Hosts = co_await m_Shared.m_Objects.hosts();
  std::vector<std::string> Leaving;
  for (const schema::HostEntry &Each : Hosts)
    if (Each.leaving())
      Leaving.push_back(Each.name());
  m_Shared.m_Endpoints.with([&](decide::EndpointDirectory &Directory) {
    Directory.replaceLeaving(decide::LeaveSource::HostList, Leaving);
  });
}

} // namespace mimosadale::router
