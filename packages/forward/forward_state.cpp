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
  Chains &Known = m_Chains[Service];
  const std::uint64_t Version = Routes->config().m_Version;
  if (Known.m_Fleet != m_Fleet.revision() || Known.m_Version != Version) {
    Known.m_Router.rebuild(m_Fleet, Service, *Info->m_Engine);
    Known.m_Fleet = m_Fleet.revision();
    Known.m_Version = Version;
    m_Metrics.gauge("chains",
                    static_cast<double>(Known.m_Router.chains().size()));
  }
  return &Known.m_Router;
}

decide::WindowedRetryBudget &ForwardState::budgetOf(const ServiceId &Service) {
  const auto &Retries = m_Settings.retries();
  const decide::WindowedRetryBudget::Bounds Bounds{
      Retries.fraction(), Retries.slack(),
      fromSeconds(Retries.window_seconds())};
  return m_Budgets.try_emplace(Service, Bounds, m_Begun).first->second;
}

void ForwardState::onAnswer(const EndpointId &From,
                            const platform::ResponseHeaders &Told) {
  if (Told.m_Leaving && m_Fleet.onSaidLeaving(From, now())) {
    m_Metrics.counted("endpoint_said_leaving");
    router::logEvent(schema::INFO, "endpoint_leaving",
                     {{"endpoint", From.str()}, {"source", "answer"}});
  }
  if (Told.m_RetryAfter) {
    m_Fleet.onPaused(From, now() + *Told.m_RetryAfter);
    m_Metrics.counted("endpoint_paused");
    router::logEvent(schema::INFO, "endpoint_paused",
                     {{"endpoint", From.str()},
                      {"for_ms", router::millisText(*Told.m_RetryAfter)}});
  }
}

decide::Askers ForwardState::askers(Instant Now) const {
  decide::Askers Of;
  Of.m_Told = m_Loads.told(Now);
  Of.m_ForOthers = m_Readers.readsForOthers(Now);
  Of.m_Routers = m_Routers;
  return Of;
}

void ForwardState::trust(const EndpointId &Endpoint, const std::string &Why) {
  if (m_Fleet.clear(Endpoint))
    router::logEvent(schema::INFO, "endpoint_trusted",
                     {{"endpoint", Endpoint.str()}, {"reason", Why}});
}

void ForwardState::suspect(const EndpointId &Endpoint, const std::string &Why) {
  if (!m_Fleet.suspect(Endpoint, Why, now()))
    return;
  m_Metrics.counted("endpoint_suspect");
  router::logEvent(schema::WARN, "endpoint_suspect",
                   {{"endpoint", Endpoint.str()}, {"reason", Why}});
}

} // namespace mimosadale::forward
