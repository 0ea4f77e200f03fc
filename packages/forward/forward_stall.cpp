// Detection and handling of stalled attempts, run at every tick.
#include "forward/engine_client.h"
#include "forward/forward_call.h"
#include "platform/endpoint_codec.h"
#include "platform/names.h"
#include "router/log.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace mimosadale::forward {

namespace asio = boost::asio;

namespace {

// Limit for connecting to an endpoint: twice the time to recover a lost SYN
// within a region.
constexpr Duration ConnectTimeout = std::chrono::milliseconds(300);

// Repair orders per attempt, and the timeout of one.
constexpr unsigned MaxRepairs = 2;
constexpr Duration RepairTimeout = std::chrono::milliseconds(400);

// The stages of \p NewPath that are not in \p OldPath.
decide::Path addedStages(const decide::Path &OldPath,
                         const decide::Path &NewPath) {
  decide::Path Added;
  for (const decide::StagePlan &Stage : NewPath)
    if (std::find(OldPath.begin(), OldPath.end(), Stage) == OldPath.end())
      Added.push_back(Stage);
  return Added;
}

} // namespace

void ForwardCall::onTick(Instant Now) {
  m_PathOverdue = false;
  if (!m_Run || !m_AttemptActive || m_AbortReason != AbortReason::None)
    return;
  if (Now >= m_Run->end()) {
    abortAttempt(AbortReason::Timeout);
  } else if (m_Connecting) {
    if (Now - m_LastProgressAt > ConnectTimeout)
      abortAttempt(AbortReason::EngineLost);
  } else if (!m_Target.m_Router.empty()) {
    checkPeer(Now);
  } else if (!m_Target.m_Path.empty()) {
    const decide::StallState Stall = stallState(Now);
    const decide::StallAction Step = decide::stallAction(Stall);
    m_PathOverdue = Step != decide::StallAction::Wait;
    if (Step == decide::StallAction::Repair)
      repairOrReroute(Stall, Now);
    else if (Step == decide::StallAction::Reroute && reserveOtherTarget(Now))
      abortAttempt(AbortReason::EngineLost);
  }
}

void ForwardCall::checkPeer(Instant Now) {
  const bool MayReroute = m_Route->m_Resumable && m_Run->mayReroute(Now) &&
                          choosePeer().has_value();
  const decide::PeerAction Step =
      decide::peerAction(Now - m_LastProgressAt, MayReroute);
  if (Step == decide::PeerAction::Wait)
    return;
  m_State.m_PeerChooser.onInterrupted(m_Target.m_Router, Now);
  if (Step == decide::PeerAction::Reroute && reserveRetry())
    abortAttempt(AbortReason::EngineLost);
}

decide::StallState ForwardCall::stallState(Instant Now) const {
  const decide::PathState Path =
      decide::pathState(m_State.m_Fleet, m_Target.m_Path, Now);
  decide::StallState Stall;
  Stall.m_StallTime = Now - m_LastProgressAt;
  Stall.m_HasEvent = m_EventSeen;
  Stall.m_FirstEventLimit = m_Route->m_TargetLatency;
  Stall.m_ProbeStall =
      decide::probeStall(m_State.eventIntervalBound(m_Target.m_Endpoint),
                         m_Route->m_TargetEventInterval);
  Stall.m_FirstLost = Path.m_FirstLost;
  Stall.m_PathLost = Path.m_OtherLost;
  Stall.m_PathLeaving = Path.m_OtherLeaving;
  Stall.m_Repairing = m_RepairInProgress;
  Stall.m_MayRepair = m_RepairCount < MaxRepairs;
  Stall.m_MayReroute =
      m_Route->m_Resumable && (leavesToSender() || m_Run->mayReroute(Now));
  Stall.m_CutOff = m_State.m_Reach.reachesNone();
  return Stall;
}

// Takes a retry for the attempt that follows the current one.
bool ForwardCall::reserveRetry() {
  m_RetryReserved = takeRetry();
  return m_RetryReserved;
}

// Reserves a retry and capacity on another chain, if there is one. Both are
// taken at once, since other requests stalled by the same fault compete for
// them.
bool ForwardCall::reserveOtherChain(Instant Now) {
  decide::EndpointSet Avoid = m_Run->avoided();
  Avoid.insert(m_Target.m_Endpoint);
  return reserveChain(Avoid, Now, [this] { return reserveRetry(); });
}

// Reserves what the attempt needs to continue elsewhere. An attempt is not
// abandoned before: without a retry it could only wait, although the endpoint
// may go on.
bool ForwardCall::reserveOtherTarget(Instant Now) {
  if (leavesToSender())
    return true;
  if (m_State.m_Reach.cutOff() && choosePeer())
    return reserveRetry();
  return reserveOtherChain(Now);
}

// Engines of the same data centre are preferred, then another chain, then
// engines of other data centres. The last two apply only if an engine is
// already lost.
void ForwardCall::repairOrReroute(const decide::StallState &Stall,
                                  Instant Now) {
  if (repair(decide::RepairScope::SameDataCentre, Now) || !Stall.m_PathLost)
    return;
  if (Stall.m_MayReroute && reserveOtherChain(Now))
    abortAttempt(AbortReason::EngineLost);
  else
    repair(decide::RepairScope::Anywhere, Now);
}

// Orders the engines to continue the request on a path without the lost ones.
// \returns whether there is such a path.
bool ForwardCall::repair(decide::RepairScope Reach, Instant Now) {
  decide::EndpointSet Lost =
      decide::pathState(m_State.m_Fleet, m_Target.m_Path, Now).m_Lost;
  Lost.insert(m_UnfitEngines.begin(), m_UnfitEngines.end());
  const decide::ChainRouter *Chains = m_State.chainsOf(m_Service);
  if (Lost.empty() || !Chains)
    return false;
  decide::Path NewPath = decide::repairPath(
      m_State.m_Fleet, *Chains, m_Target.m_Path, Lost, m_UnfitEngines,
      m_RequestHeaders.m_Size ? m_RequestHeaders.m_Size->tokens() : 0, Reach,
      Now);
  if (NewPath.empty())
    return false;
  ++m_RepairCount;
  m_RepairInProgress = true;
  asio::co_spawn(m_State.m_Io, orderNewPath(std::move(NewPath)),
                 asio::detached);
  return true;
}

// The request may end while the order is pending; `m_Calls` then no longer
// contains it.
asio::awaitable<void> ForwardCall::orderNewPath(decide::Path NewPath) {
  const std::shared_ptr<std::set<ForwardCall *>> Calls = m_Calls;
  ForwardState &State = m_State;
  const EndpointId First = m_Target.m_Endpoint;
  const RequestId Id = m_RequestHeaders.m_Id;
  const Instant AttemptStartedAt = m_AttemptStartedAt;
  net::HttpRequest Order;
  Order.m_Method = "POST";
  Order.m_Target = platform::OrderPath;
  Order.m_Headers = {{"Content-Type", "application/json"}};
  Order.m_Body = platform::encodeRepathOrder(
      Id.str(), platform::encodePath(State.m_Fleet, NewPath));
  const decide::Path Added = addedStages(m_Target.m_Path, NewPath);
  unsigned Status = 0;
  std::string Detail;
  std::string FaultAddress;
  try {
    const net::HttpResponse Answer =
        co_await callEngine(State, First, Order, RepairTimeout);
    Status = Answer.m_Status;
    FaultAddress = platform::decodeFaultAddress(Answer.m_Body);
  } catch (const std::exception &Ex) {
    Detail = Ex.what();
  }
  State.m_Metrics.countEvent("repair_ordered");
  router::logEvent(schema::INFO, "path_ordered",
                   {{"request", Id.str()},
                    {"first", First.str()},
                    {"instead", decide::pathText(Added)},
                    {"status", std::to_string(Status)},
                    {"fault_at", FaultAddress},
                    {"detail", Detail}});
  if (Calls->contains(this) && m_RequestHeaders.m_Id == Id &&
      m_AttemptStartedAt == AttemptStartedAt)
    onPathOrdered(NewPath, Status, FaultAddress);
}

void ForwardCall::onPathOrdered(const decide::Path &NewPath, unsigned Status,
                                const std::string &FaultAddress) {
  m_RepairInProgress = false;
  if (Status / 100 == 2 && m_AttemptActive) {
    chargeMemory(m_Target, -1);
    m_Target.m_Path = NewPath;
    chargeMemory(m_Target, 1);
    return;
  }
  if (const auto *Engine = m_State.m_Fleet.findByAddress(FaultAddress))
    m_UnfitEngines.insert(Engine->m_Record.m_Id);
  if (Status == 404) // the request no longer runs there
    m_RepairCount = MaxRepairs;
}

const decide::Path *ForwardCall::overduePath() const {
  return m_PathOverdue ? &m_Target.m_Path : nullptr;
}

} // namespace mimosadale::forward
