#include "forward/forward_state.h"

#include "router/log.h"

namespace mimosadale::forward {

ForwardState::ForwardState(boost::asio::io_context &Io,
                           schema::ForwardSettings Settings)
    : m_Io(Io), m_Settings(std::move(Settings)), m_Client(Io.get_executor()),
      m_Pool(std::make_shared<net::UpstreamPool>(Io.get_executor())),
      m_Store(m_Client, net::parseAddress(m_Settings.store().address()),
              std::chrono::milliseconds(m_Settings.store().timeout_ms())),
      m_Random(std::random_device()()) {}

const decide::ChainRouter *ForwardState::chainsOf(const ServiceId &Service) {
  const auto &Routes = m_Routes.current();
  const decide::ServiceInfo *Info = Routes ? Routes->service(Service) : nullptr;
  if (!Info || !Info->m_Engine)
    return nullptr;
  ChainCache &Cache = m_Chains[Service];
  const std::uint64_t Version = Routes->config().m_Version;
  if (Cache.m_FleetRevision != m_Fleet.revision() ||
      Cache.m_ConfigVersion != Version) {
    Cache.m_Router.rebuild(m_Fleet, Service, *Info->m_Engine);
    Cache.m_FleetRevision = m_Fleet.revision();
    Cache.m_ConfigVersion = Version;
    m_Metrics.setGauge("chains",
                       static_cast<double>(Cache.m_Router.chains().size()));
  }
  return &Cache.m_Router;
}

decide::WindowedRetryBudget &
ForwardState::retryBudgetOf(const ServiceId &Service) {
  const auto &Retries = m_Settings.retries();
  const decide::WindowedRetryBudget::Bounds Bounds{
      Retries.fraction(), Retries.slack(),
      fromSeconds(Retries.window_seconds())};
  return m_Budgets.try_emplace(Service, Bounds, m_StartedAt).first->second;
}

void ForwardState::onAnswer(const EndpointId &From,
                            const platform::ResponseHeaders &Headers) {
  if (Headers.m_Leaving && m_Fleet.onAnnouncedLeaving(From, now())) {
    m_Metrics.countEvent("endpoint_said_leaving");
    router::logEvent(schema::INFO, "endpoint_leaving",
                     {{"endpoint", From.str()}, {"source", "answer"}});
  }
  if (Headers.m_RequestLimit) {
    m_Metrics.countEvent("endpoint_limit_named");
    router::logEvent(schema::INFO, "endpoint_limit",
                     {{"endpoint", From.str()},
                      {"per_second", std::to_string(*Headers.m_RequestLimit)},
                      {"source", "answer"}});
  }
  if (Headers.m_RetryAfter) {
    m_Fleet.onPaused(From, now() + *Headers.m_RetryAfter);
    m_Metrics.countEvent("endpoint_paused");
    router::logEvent(schema::INFO, "endpoint_paused",
                     {{"endpoint", From.str()},
                      {"for_ms", router::formatMillis(*Headers.m_RetryAfter)}});
  }
}

decide::PollingRole ForwardState::pollingRole(Instant Now) const {
  decide::PollingRole Sharing;
  Sharing.m_ReceivesReports = m_LoadSource.isCurrent(Now);
  Sharing.m_RelaysReports = m_Readers.readsForOthers(Now);
  Sharing.m_Routers = m_RouterCount;
  return Sharing;
}

void ForwardState::trust(const EndpointId &Endpoint,
                         const std::string &Reason) {
  if (m_Fleet.clearSuspicion(Endpoint))
    router::logEvent(schema::INFO, "endpoint_trusted",
                     {{"endpoint", Endpoint.str()}, {"reason", Reason}});
}

void ForwardState::suspect(const EndpointId &Endpoint,
                           const std::string &Reason) {
  if (!m_Fleet.suspect(Endpoint, Reason, now()))
    return;
  m_Metrics.countEvent("endpoint_suspect");
  router::logEvent(schema::WARN, "endpoint_suspect",
                   {{"endpoint", Endpoint.str()}, {"reason", Reason}});
}

} // namespace mimosadale::forward
