#include "forward/forward_state.h"

#include "decide/limited_service.h"
#include "router/log.h"

#include <algorithm>

namespace mimosadale::forward {

namespace {

// Marks that are kept for one endpoint that may have crashed: those of all
// requests that it runs for this router many times over.
constexpr std::size_t MaxBrokenMarks = 16384;

} // namespace

ForwardState::ForwardState(boost::asio::io_context &Io,
                           schema::ForwardSettings Settings)
    : m_Io(Io), m_Settings(std::move(Settings)), m_Client(Io.get_executor()),
      m_Pool(std::make_shared<net::UpstreamPool>(Io.get_executor())),
      m_Store(m_Client, net::parseAddress(m_Settings.store().address()),
              std::chrono::milliseconds(m_Settings.store().timeout_ms())),
      m_Random(std::random_device()()), m_Limits(m_Settings.name()) {}

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
                            const platform::ResponseHeaders &Headers,
                            CallPurpose Purpose, Instant SentAt) {
  const bool CutOffBefore = m_Reach.cutOff();
  m_Reach.onAnswered(From, now());
  logReach(CutOffBefore);
  if (Purpose == CallPurpose::Request)
    m_Fleet.onAnswered(From, true);
  if (Headers.m_Leaving && m_Fleet.onAnnouncedLeaving(From, now())) {
    m_Metrics.countEvent("endpoint_said_leaving");
    router::logEvent(schema::INFO, "endpoint_leaving",
                     {{"endpoint", From.str()}, {"source", "answer"}});
  }
  decide::LimitStatement Statement;
  Statement.m_PerSecond = Headers.m_RequestLimit;
  Statement.m_AnswersRequest =
      Purpose == CallPurpose::Request && !Headers.m_OtherInstance;
  Statement.m_SentAt = SentAt;
  onLimitChange(From, m_Limits.onAnswer(From, Statement, now()), "answer");
  if (Headers.m_RetryAfter) {
    m_Fleet.onPaused(From, now() + *Headers.m_RetryAfter);
    m_Metrics.countEvent("endpoint_paused");
    router::logEvent(schema::INFO, "endpoint_paused",
                     {{"endpoint", From.str()},
                      {"for_ms", router::formatMillis(*Headers.m_RetryAfter)}});
  }
}

void ForwardState::onSent(const EndpointId &To) {
  const Instant Now = now();
  m_Limits.onSent(To, Now);
  if (m_Limits.limited(To))
    m_Fleet.onAdmission(To, m_Limits.nextAdmission(To, Now));
}

void ForwardState::updateAdmissions(Instant Now) {
  m_Limits.onTick(Now);
  const std::vector<EndpointId> Limited = m_Limits.limitedEndpoints();
  for (const EndpointId &Endpoint : Limited)
    m_Fleet.onAdmission(Endpoint, m_Limits.nextAdmission(Endpoint, Now));
  m_Metrics.setGauge("limited_endpoints", static_cast<double>(Limited.size()));
}

std::vector<EndpointId> ForwardState::turnAway(const ServiceId &Service,
                                               Instant Now) {
  if (!m_Limits.active())
    return {};
  std::vector<EndpointId> Endpoints = decide::endpointsWithoutRoom(
      m_Fleet, decide::directEndpoints(m_Fleet, Service, chainsOf(Service)),
      Now);
  for (const EndpointId &Id : Endpoints)
    m_Limits.onTurnedAway(Id, Now);
  if (!Endpoints.empty())
    m_Metrics.countEvent("turned_away_by_limit");
  return Endpoints;
}

bool ForwardState::onlyLimitsRefuse(const ServiceId &Service,
                                    const decide::EndpointSet &Avoided,
                                    Instant Now) {
  return decide::onlyLimitsRefuse(
      m_Fleet, decide::directEndpoints(m_Fleet, Service, chainsOf(Service)),
      Avoided, Now);
}

void ForwardState::onLimitChange(const EndpointId &Endpoint,
                                 decide::LimitChange Change,
                                 const std::string &Source) {
  if (Change == decide::LimitChange::None)
    return;
  const Instant Now = now();
  const bool Ended = Change == decide::LimitChange::Ended;
  m_Fleet.onAdmission(Endpoint, m_Limits.nextAdmission(Endpoint, Now));
  m_Metrics.countEvent(Ended ? "endpoint_limit_ended" : "endpoint_limit_named");
  router::logEvent(
      schema::INFO, "endpoint_limit",
      {{"endpoint", Endpoint.str()},
       {"per_second",
        Ended ? "none" : std::to_string(m_Limits.perSecond(Endpoint))},
       {"share", std::to_string(m_Limits.share(Endpoint, Now))},
       {"routers", std::to_string(m_RouterCount)},
       {"source", Source}});
  if (m_TellRouters)
    m_TellRouters();
}

void ForwardState::onBroken(const EndpointId &Endpoint, BrokenRequest Request) {
  const auto *Known = m_Fleet.find(Endpoint);
  if (Request.m_Marks.empty() || !Known)
    return;
  const auto [Entry, IsNew] = m_BrokenAt.try_emplace(Endpoint);
  if (IsNew) {
    Entry->second.m_At = now();
    Entry->second.m_StartedMs = Known->m_Record.m_StartedMs;
  }
  Entry->second.m_MarkCount += Request.m_Marks.size();
  if (Entry->second.m_MarkCount <= MaxBrokenMarks)
    Entry->second.m_Requests.push_back(std::move(Request));
}

void ForwardState::onNoResponse(const EndpointId &Endpoint) {
  const auto Broken = m_BrokenAt.find(Endpoint);
  if (Broken == m_BrokenAt.end())
    return;
  const BrokenConnections Connections = std::move(Broken->second);
  m_BrokenAt.erase(Broken);
  for (const BrokenRequest &Request : Connections.m_Requests)
    onMarksChanged(
        m_Suspects.onCrash(Request.m_Marks,
                           {Endpoint, Connections.m_StartedMs, Request.m_SentAt,
                            Connections.m_At, Request.m_Begun},
                           now()),
        Endpoint.str());
}

void ForwardState::onResponded(const EndpointId &Endpoint) {
  const auto Broken = m_BrokenAt.find(Endpoint);
  if (Broken == m_BrokenAt.end())
    return;
  const auto *Known = m_Fleet.find(Endpoint);
  if (Known && Known->m_Record.m_StartedMs > Broken->second.m_StartedMs)
    onNoResponse(Endpoint);
  else
    m_BrokenAt.erase(Broken);
}

void ForwardState::onMarksChanged(
    const std::vector<decide::ChangedMark> &Changes, const std::string &Source,
    SeenBy Finder) {
  if (Changes.empty())
    return;
  for (const decide::ChangedMark &Changed : Changes) {
    const char *State = "suspected";
    if (Changed.m_Change == decide::MarkChange::Blocked)
      State = "blocked";
    else if (Changed.m_Change == decide::MarkChange::Cleared)
      State = "cleared";
    const bool IsRequest = Changed.m_Mark.m_Kind == decide::MarkKind::Request;
    m_Metrics.countEvent(
        (IsRequest ? std::string("request_") : std::string("prompt_part_")) +
        State);
    router::logEvent(schema::INFO, IsRequest ? "request_mark" : "prompt_part",
                     {{IsRequest ? "mark" : "part", Changed.m_Mark.m_Id},
                      {"state", State},
                      {"crashes", std::to_string(Changed.m_Crashes)},
                      {"together", std::to_string(Changed.m_Together)},
                      {"source", Source}});
  }
  m_Metrics.setGauge(
      "blocked_prompt_parts",
      static_cast<double>(m_Suspects.blocked(decide::MarkKind::PromptPart)));
  m_Metrics.setGauge("blocked_requests", static_cast<double>(m_Suspects.blocked(
                                             decide::MarkKind::Request)));
  if (m_OnBlockChange && Finder != SeenBy::Store &&
      std::any_of(Changes.begin(), Changes.end(), [](const auto &Changed) {
        return Changed.m_WasBlocked ||
               Changed.m_Change == decide::MarkChange::Blocked;
      }))
    m_OnBlockChange(Finder);
  // What is cleared can wait for the next round.
  if (m_TellRouters &&
      std::any_of(Changes.begin(), Changes.end(), [](const auto &Changed) {
        return Changed.m_Change != decide::MarkChange::Cleared;
      }))
    m_TellRouters();
}

void ForwardState::onOversizeAnswer(const EndpointId &Endpoint,
                                    const std::string &Detail) {
  m_Metrics.countEvent("answer_without_end");
  suspect(Endpoint, Detail);
}

void ForwardState::onInvalidAnswer(const EndpointId &Endpoint,
                                   CallPurpose Purpose,
                                   const std::string &Detail) {
  m_Metrics.countEvent("invalid_answer");
  router::logEvent(schema::WARN, "invalid_answer",
                   {{"endpoint", Endpoint.str()}, {"detail", Detail}});
  if (Purpose == CallPurpose::Request && m_Fleet.onAnswered(Endpoint, false))
    suspect(Endpoint, Detail);
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

void ForwardState::onUnreached(const EndpointId &Endpoint, net::Phase Where) {
  const bool CutOffBefore = m_Reach.cutOff();
  if (Where == net::Phase::Connect)
    m_Reach.onConnectFailed(Endpoint, now());
  else
    m_Reach.onUnanswered(Endpoint, now());
  logReach(CutOffBefore);
}

void ForwardState::onReachedElsewhere(const EndpointId &Endpoint) {
  const bool CutOffBefore = m_Reach.cutOff();
  m_Reach.onReachedElsewhere(Endpoint, now());
  logReach(CutOffBefore);
}

void ForwardState::onConnectionAnswered(const EndpointId &Endpoint, bool Kept) {
  if (Kept)
    return;
  const bool CutOffBefore = m_Reach.cutOff();
  m_Reach.onConnected(Endpoint, now());
  logReach(CutOffBefore);
}

bool ForwardState::suspectsSome(const ServiceId &Service) const {
  return std::any_of(
      m_Fleet.all().begin(), m_Fleet.all().end(), [&](const auto &Item) {
        return Item.second.m_Suspect && !Item.second.m_Unregistered &&
               Item.second.m_Record.m_Service == Service;
      });
}

void ForwardState::onEventInterval(const EndpointId &First, Duration Interval) {
  const auto [Known, IsNew] = m_EventIntervals.try_emplace(First);
  Known->second.onInterval(Interval);
  if (IsNew) // engines that were replaced are dropped here
    std::erase_if(m_EventIntervals, [&](const auto &Item) {
      return Item.first != First && !m_Fleet.find(Item.first);
    });
}

Duration ForwardState::eventIntervalBound(const EndpointId &First) const {
  const auto Known = m_EventIntervals.find(First);
  return Known == m_EventIntervals.end() ? Duration{} : Known->second.bound();
}

// Only of interest if it is thought to be lost.
void ForwardState::onEvents(const EndpointId &Endpoint) {
  const auto *Known = m_Fleet.find(Endpoint);
  if (!Known || !Known->m_Suspect)
    return;
  const bool CutOffBefore = m_Reach.cutOff();
  m_Reach.onAnswered(Endpoint, now());
  logReach(CutOffBefore);
}

void ForwardState::logReach(bool CutOffBefore) const {
  if (m_Reach.cutOff() != CutOffBefore)
    router::logEvent(schema::WARN, "own_reach",
                     {{"cut_off", m_Reach.cutOff() ? "yes" : "no"}});
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
