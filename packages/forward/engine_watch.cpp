#include "forward/engine_watch.h"

#include "forward/engine_client.h"
#include "forward/forward_call.h"
#include "forward/sleep.h"
#include "platform/names.h"
#include "router/log.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace mimosadale::forward {

namespace asio = boost::asio;
using decide::ReportReason;

namespace {

// Interval at which all calls are checked; well below the stalls to be
// detected.
constexpr Duration TickInterval = std::chrono::milliseconds(25);

// An engine that does not answer a report poll within this time becomes
// suspect.
constexpr Duration ReportTimeout = std::chrono::milliseconds(300);

// A suspect engine is not polled for this long: a report may lag behind the
// fault and would clear the suspicion too early.
constexpr Duration SuspectRecheckDelay = std::chrono::milliseconds(700);

// Time within which it is found out whether an engine whose connections broke
// has crashed: many polls.
constexpr Duration BrokenCheckTimeout = std::chrono::seconds(2);

// Connections to endpoints that were idle for longer are closed.
constexpr Duration MaxIdleTime = std::chrono::seconds(10);

} // namespace

asio::awaitable<void> EngineWatch::run() {
  while (true) {
    tick();
    co_await sleepFor(m_State.m_Io, TickInterval);
  }
}

void EngineWatch::tick() {
  const Instant Now = ForwardState::now();
  const std::vector<ForwardCall *> Calls(m_State.m_Calls->begin(),
                                         m_State.m_Calls->end());
  for (ForwardCall *Call : Calls)
    Call->onTick(Now);
  m_State.m_Fleet.onTick(Now);
  m_State.updateAdmissions(Now);
  pollOverdue(Now);
  pollRefusing(Now);
  pollBroken(Now);
  m_State.m_Suspects.onTick(Now);
  m_State.m_Reach.onTick(Now);
  pollOrdered(Now);
  pollSuspects(Now);
  pollLoads(Now);
  m_State.m_Pool->closeIdle(MaxIdleTime);
}

void EngineWatch::pollOverdue(Instant Now) {
  for (const ForwardCall *Call : *m_State.m_Calls)
    if (const decide::Path *Path = Call->overduePath())
      for (const decide::StagePlan &Stage : *Path)
        pollIfDue(Stage.m_Endpoint,
                  Stage.m_Endpoint == Path->front().m_Endpoint
                      ? ReportReason::AwaitedFirst
                      : ReportReason::OnPath,
                  Now);
}

// Polls engines named in a refusal: their own report shows whether they are
// lost or only full.
void EngineWatch::pollRefusing(Instant Now) {
  const std::set<EndpointId> Engines =
      std::exchange(m_State.m_RefusingEngines, {});
  for (const EndpointId &Engine : Engines)
    pollIfDue(Engine, ReportReason::AwaitedFirst, Now);
}

// Polls engines whose connections broke, to find out whether they crashed.
void EngineWatch::pollBroken(Instant Now) {
  std::erase_if(m_State.m_BrokenAt, [&](const auto &Item) {
    return Now - Item.second.m_At > BrokenCheckTimeout;
  });
  for (const auto &[Engine, Broken] : m_State.m_BrokenAt)
    pollIfDue(Engine, ReportReason::AwaitedFirst, Now);
}

// Polls engines that execute orders of this router for the progress of the
// orders.
void EngineWatch::pollOrdered(Instant Now) {
  for (const EndpointId &Engine : m_State.m_OrderedEngines)
    pollIfDue(Engine, ReportReason::OrderInProgress, Now);
}

void EngineWatch::pollSuspects(Instant Now) {
  for (const auto &[Id, Endpoint] : m_State.m_Fleet.all())
    if (Endpoint.m_Suspect &&
        Now - Endpoint.m_SuspectSince > SuspectRecheckDelay)
      pollIfDue(Id, ReportReason::Suspect, Now);
}

// Polls, while there is traffic, the first engine of each chain, which owns the
// chain's slots, and the engine with the most memory used.
void EngineWatch::pollLoads(Instant Now) {
  const auto &Routes = m_State.m_Routes.current();
  const decide::PollingRole Sharing = m_State.pollingRole(Now);
  if (Sharing.m_RelaysReports)
    pollForPeers(Now);
  if (!Routes || Sharing.m_ReceivesReports ||
      (m_State.m_Calls->empty() && !Sharing.m_RelaysReports))
    return;
  for (const decide::ServiceInfo &Service : Routes->config().m_Services) {
    const decide::ChainRouter *Chains = m_State.chainsOf(Service.m_Name);
    if (!Chains)
      continue;
    for (const decide::Chain &Chain : Chains->chains()) {
      const ReportReason Reason =
          decide::ReportSchedule::highUsage(
              Chains->utilization(m_State.m_Fleet, Chain, Now))
              ? ReportReason::HighUsage
              : ReportReason::Load;
      pollIfDue(Chains->mostLoadedEngine(m_State.m_Fleet, Chain, Now), Reason,
                Now);
      pollIfDue(Chain.m_Stages.front().m_Endpoint, Reason, Now);
    }
  }
}

// Polls all engines of this data centre, since other routers read their reports
// from this router.
void EngineWatch::pollForPeers(Instant Now) {
  const DataCentreId LocalDataCentre(m_State.m_Settings.data_centre());
  for (const auto &[Id, Endpoint] : m_State.m_Fleet.all())
    if (Endpoint.servesIn(LocalDataCentre))
      pollIfDue(Id, ReportReason::Relay, Now);
}

void EngineWatch::pollIfDue(const EndpointId &Endpoint, ReportReason Reason,
                            Instant Now) {
  const auto *State = m_State.m_Fleet.find(Endpoint);
  if (!State || State->m_ReportRequestedAt || State->paused(Now))
    return;
  const bool Urgent = Reason != ReportReason::Load &&
                      Reason != ReportReason::HighUsage &&
                      Reason != ReportReason::Relay;
  if (m_Schedule.takeDuePoll(Endpoint, Reason, m_State.pollingRole(Now), Now) &&
      m_State.m_Limits.admitsPoll(Endpoint,
                                  Urgent ? decide::PollUrgency::Urgent
                                         : decide::PollUrgency::Routine,
                                  Now))
    asio::co_spawn(m_State.m_Io, poll(Endpoint), asio::detached);
}

asio::awaitable<void> EngineWatch::poll(EndpointId Endpoint) {
  const auto *State = m_State.m_Fleet.find(Endpoint);
  if (!State)
    co_return;
  net::HttpRequest Request;
  Request.m_Target = platform::ReportPath;
  const bool IsPlain = State->m_Record.m_Accelerator.empty();
  std::string Fault;
  m_State.m_Metrics.countEvent("report_asked");
  m_State.m_Fleet.onReportRequested(Endpoint, ForwardState::now());
  try {
    const net::HttpResponse Response =
        co_await callEngine(m_State, Endpoint, Request, ReportTimeout);
    if (Response.m_Status == 421) // another one has its address
      m_State.onNoResponse(Endpoint);
    else
      m_State.onResponded(Endpoint);
    if (Response.m_Status == 200)
      onReport(Endpoint, platform::decodeEngineReport(Response.m_Body));
    else if (IsPlain && Response.m_Status != 421)
      m_State.m_Fleet.clearSuspicion(
          Endpoint); // it responds, but serves no reports
    else
      Fault = "report: status " + std::to_string(Response.m_Status);
  } catch (const net::OversizeError &Ex) {
    m_State.onOversizeAnswer(Endpoint, std::string("report: ") + Ex.what());
  } catch (const net::InvalidResponseError &Ex) {
    m_State.onInvalidAnswer(Endpoint, ForwardState::CallPurpose::PollOrOrder,
                            Ex.what());
    Fault = std::string("report: ") + Ex.what();
  } catch (const net::NetError &Ex) {
    m_State.onNoResponse(Endpoint);
    m_State.onUnreached(Endpoint, Ex.phase());
    Fault = std::string("report: ") + Ex.what();
  } catch (const std::exception &Ex) {
    // Any exception: a poll that never ended would exclude the engine from
    // polling.
    Fault = std::string("report: ") + Ex.what();
  }
  m_State.m_Fleet.onReportRequestEnded(Endpoint);
  if (!Fault.empty())
    m_State.suspect(Endpoint, Fault);
}

void EngineWatch::onReport(const EndpointId &Endpoint,
                           const platform::EngineReport &Report) {
  const Instant Now = ForwardState::now();
  m_State.m_Fleet.onReport(Endpoint, Report.m_Load, Now);
  m_State.trust(Endpoint, "its report");
  for (const platform::StalledRequest &Stalled : Report.m_Stalled) {
    const auto *Awaited = m_State.m_Fleet.findByAddress(Stalled.m_Address);
    if (!Awaited || Awaited->m_Record.m_Id == Endpoint)
      continue;
    const EndpointId AwaitedId = Awaited->m_Record.m_Id;
    m_State.suspect(AwaitedId,
                    "request " + Stalled.m_Request + " waits for it");
  }
}

} // namespace mimosadale::forward
