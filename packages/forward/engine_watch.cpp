#include "forward/engine_watch.h"

#include "forward/engine_client.h"
#include "forward/forward_call.h"
#include "forward/pause.h"
#include "platform/names.h"
#include "router/log.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace mimosadale::forward {

namespace asio = boost::asio;
using decide::ReportReason;

namespace {

// Interval of the checks of all calls: well below the pauses that they notice.
constexpr Duration TickPause = std::chrono::milliseconds(25);

// Time after which an engine that does not report counts as silent.
constexpr Duration ReportTimeout = std::chrono::milliseconds(300);

// Time for which a distrusted engine is not asked: its report lags behind.
constexpr Duration DistrustTime = std::chrono::milliseconds(700);

// Idle time after which connections to endpoints are closed.
constexpr Duration CloseIdleAfter = std::chrono::seconds(10);

} // namespace

asio::awaitable<void> EngineWatch::run() {
  while (true) {
    tick();
    co_await pauseFor(m_Shared.m_Io, TickPause);
  }
}

void EngineWatch::tick() {
  const Instant Now = ForwardState::now();
  const std::vector<ForwardCall *> Calls(m_Shared.m_Calls->begin(),
                                         m_Shared.m_Calls->end());
  for (ForwardCall *Each : Calls)
    Each->onTick(Now);
  m_Shared.m_Fleet.onTick(Now);
  askOverdue(Now);
  askAccused(Now);
  askOrdered(Now);
  askSuspects(Now);
  askLoads(Now);
  m_Shared.m_Pool->closeIdle(CloseIdleAfter);
}

void EngineWatch::askOverdue(Instant Now) {
  for (const ForwardCall *Each : *m_Shared.m_Calls)
    if (const decide::Path *Overdue = Each->overduePath())
      for (const decide::StagePlan &Stage : *Overdue)
        askIfDue(Stage.m_Endpoint,
                 Stage.m_Endpoint == Overdue->front().m_Endpoint
                     ? ReportReason::WaitedFor
                     : ReportReason::OnPath,
                 Now);
}

// Engines because of which a request was refused: their own report tells
// whether they are lost or only full.
void EngineWatch::askAccused(Instant Now) {
  const std::set<EndpointId> Accused = std::exchange(m_Shared.m_Accused, {});
  for (const EndpointId &Each : Accused)
    askIfDue(Each, ReportReason::WaitedFor, Now);
}

// Engines that work on orders of this router: their reports tell whether they
// are still at it.
void EngineWatch::askOrdered(Instant Now) {
  for (const EndpointId &Each : m_Shared.m_UnderOrder)
    askIfDue(Each, ReportReason::Ordered, Now);
}

void EngineWatch::askSuspects(Instant Now) {
  for (const auto &[Id, Known] : m_Shared.m_Fleet.all())
    if (Known.m_Suspect && Now - Known.m_SuspectSince > DistrustTime)
      askIfDue(Id, ReportReason::Suspect, Now);
}

// Asks the first engine of each chain, which has the places, and the fullest
// one, while there is traffic.
void EngineWatch::askLoads(Instant Now) {
  const auto &Routes = m_Shared.m_Routes.current();
  const decide::Askers Askers = m_Shared.askers(Now);
  if (Askers.m_ForOthers)
    askForOthers(Now);
  if (!Routes || Askers.m_Told ||
      (m_Shared.m_Calls->empty() && !Askers.m_ForOthers))
    return;
  for (const decide::ServiceInfo &Each : Routes->config().m_Services) {
    const decide::ChainRouter *Chains = m_Shared.chainsOf(Each.m_Name);
    if (!Chains)
      continue;
    for (const decide::Chain &Chain : Chains->chains()) {
      const ReportReason Why = decide::ReportSchedule::filling(
                                   Chains->fill(m_Shared.m_Fleet, Chain, Now))
                                   ? ReportReason::Filling
                                   : ReportReason::Load;
      askIfDue(Chains->fullest(m_Shared.m_Fleet, Chain, Now), Why, Now);
      askIfDue(Chain.m_Stages.front().m_Endpoint, Why, Now);
    }
  }
}

// The engines of this data centre, whose reports the other routers wait for.
void EngineWatch::askForOthers(Instant Now) {
  const DataCentreId Here(m_Shared.m_Settings.data_centre());
  for (const auto &[Id, Known] : m_Shared.m_Fleet.all())
    if (Known.servesIn(Here))
      askIfDue(Id, ReportReason::ForOthers, Now);
}

void EngineWatch::askIfDue(const EndpointId &Endpoint, ReportReason Why,
                           Instant Now) {
  const auto *Known = m_Shared.m_Fleet.find(Endpoint);
  if (!Known || Known->m_AskedAt || Known->paused(Now))
    return;
  if (m_Schedule.due(Endpoint, Why, m_Shared.askers(Now), Now))
    asio::co_spawn(m_Shared.m_Io, ask(Endpoint), asio::detached);
}

asio::awaitable<void> EngineWatch::ask(EndpointId Endpoint) {
  const auto *Known = m_Shared.m_Fleet.find(Endpoint);
  if (!Known)
    co_return;
  net::HttpRequest Request;
  Request.m_Target = platform::ReportPath;
  const bool Plain = Known->m_Record.m_Accelerator.empty();
  std::string Fault;
  m_Shared.m_Metrics.counted("report_asked");
  m_Shared.m_Fleet.onAsked(Endpoint, ForwardState::now());
  try {
    const net::HttpResponse Response =
        co_await callEngine(m_Shared, Endpoint, Request, ReportTimeout);
    if (Response.m_Status == 200)
      take(Endpoint, platform::decodeEngineReport(Response.m_Body));
    else if (Plain && Response.m_Status != 421)
      m_Shared.m_Fleet.clear(Endpoint); // it answers; it has no report
    else
      Fault = "report: status " + std::to_string(Response.m_Status);
  } catch (const std::exception &Wrong) {
    // Whatever it is: an engine whose question never ends would be left out.
    Fault = std::string("report: ") + Wrong.what();
  }
  m_Shared.m_Fleet.onAskEnded(Endpoint);
  if (!Fault.empty())
    m_Shared.suspect(Endpoint, Fault);
}

void EngineWatch::take(const EndpointId &Endpoint,
                       const platform::EngineReport &Report) {
  const Instant Now = ForwardState::now();
  m_Shared.m_Fleet.onReport(Endpoint, Report.m_Load, Now);
  m_Shared.trust(Endpoint, "its report");
  for (const platform::StalledRequest &Each : Report.m_Stalled) {
    const auto *At = m_Shared.m_Fleet.findByAddress(Each.m_Address);
    if (!At || At->m_Record.m_Id == Endpoint)
      continue;
    const EndpointId Lost = At->m_Record.m_Id;
    m_Shared.suspect(Lost, "request " + Each.m_Request + " waits for it");
  }
}

} // namespace mimosadale::forward
