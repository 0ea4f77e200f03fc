// What is done, tick by tick, about a request that waits for its endpoint.
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

// Time within which a connection to an endpoint must be there: twice a lost
// opening packet's way inside a region.
constexpr Duration ConnectTimeout = std::chrono::milliseconds(300);

// Orders to change the path of one send, and the time that one may take.
constexpr unsigned MostRepairs = 2;
constexpr Duration RepairTimeout = std::chrono::milliseconds(400);

// The stages of \p Fresh that \p Old did not have.
decide::Path changesOf(const decide::Path &Old, const decide::Path &Fresh) {
  decide::Path Found;
  for (const decide::StagePlan &Each : Fresh)
    if (std::find(Old.begin(), Old.end(), Each) == Old.end())
      Found.push_back(Each);
  return Found;
}

} // namespace

void ForwardCall::onTick(Instant Now) {
  m_Overdue = false;
  if (!m_Run || !m_Waiting)
    return;
  if (Now >= m_Run->end()) {
    end(Ended::Timeout);
  } else if (m_Connecting) {
    if (Now - m_LastProgress > ConnectTimeout)
      end(Ended::EngineLost);
  } else if (!m_Target.m_Path.empty()) {
    const decide::PauseFacts Facts = pauseFacts(Now);
    const decide::PauseStep Step = decide::stepFor(Facts);
    m_Overdue = Step != decide::PauseStep::Wait;
    if (Step == decide::PauseStep::Repair)
      repairOrMove(Facts, Now);
    else if (Step == decide::PauseStep::Move && goElsewhere(Now))
      end(Ended::EngineLost);
  }
}

decide::PauseFacts ForwardCall::pauseFacts(Instant Now) const {
  const decide::PathState Path =
      decide::pathState(m_Shared.m_Fleet, m_Target.m_Path, Now);
  decide::PauseFacts Facts;
  Facts.m_Pause = Now - m_LastProgress;
  Facts.m_EventSeen = m_EventSeen;
  Facts.m_FirstWithin = m_Route->m_TargetLatency;
  Facts.m_FirstLost = Path.m_FirstLost;
  Facts.m_PathLost = Path.m_RestLost;
  Facts.m_PathLeaves = Path.m_RestLeaves;
  Facts.m_Repairing = m_Repairing;
  Facts.m_MayRepair = m_Repairs < MostRepairs;
  Facts.m_MayMove = m_Route->m_Resumable && m_Run->maySwitch(Now);
  return Facts;
}

// Takes a retry for this request if another chain has room for it, and that
// room. Taken at once, since others that stand still at this moment want them
// too.
bool ForwardCall::goElsewhere(Instant Now) {
  if (m_Ended != Ended::No)
    return false;
  decide::EndpointSet Avoid = m_Run->avoided();
  Avoid.insert(m_Target.m_Endpoint);
  m_RetryTaken = reserveWithRetry(Avoid, Now);
  return m_RetryTaken;
}

// Other engines of the data centre come first, then another chain, then engines
// of other data centres; these only for an engine that is lost already.
void ForwardCall::repairOrMove(const decide::PauseFacts &Facts, Instant Now) {
  if (repair(decide::RepairReach::SameDataCentre, Now) || !Facts.m_PathLost)
    return;
  if (Facts.m_MayMove && goElsewhere(Now))
    end(Ended::EngineLost);
  else
    repair(decide::RepairReach::Anywhere, Now);
}

// Orders the engines to go on with the request without those that are lost.
// \returns whether there is a path for it.
bool ForwardCall::repair(decide::RepairReach Reach, Instant Now) {
  decide::EndpointSet Lost =
      decide::pathState(m_Shared.m_Fleet, m_Target.m_Path, Now).m_Lost;
  Lost.insert(m_Unfit.begin(), m_Unfit.end());
  const decide::ChainRouter *Chains = m_Shared.chainsOf(m_Service);
  if (Lost.empty() || !Chains)
    return false;
  decide::Path Fresh = decide::repairPath(
      m_Shared.m_Fleet, *Chains, m_Target.m_Path, Lost, m_Unfit,
      m_Facts.m_Size ? m_Facts.m_Size->tokens() : 0, Reach, Now);
  if (Fresh.empty())
    return false;
  ++m_Repairs;
  m_Repairing = true;
  asio::co_spawn(m_Shared.m_Io, orderPath(std::move(Fresh)), asio::detached);
  return true;
}

// The request may end while the order is under way; it is then no longer among
// the calls.
asio::awaitable<void> ForwardCall::orderPath(decide::Path Fresh) {
  const std::shared_ptr<std::set<ForwardCall *>> Calls = m_Calls;
  ForwardState &Shared = m_Shared;
  const EndpointId First = m_Target.m_Endpoint;
  const RequestId Id = m_Facts.m_Id;
  const unsigned Sends = m_Run->sends();
  net::HttpRequest Order;
  Order.m_Method = "POST";
  Order.m_Target = platform::OrderPath;
  Order.m_Headers = {{"Content-Type", "application/json"}};
  Order.m_Body = platform::encodeRepathOrder(
      Id.str(), platform::encodePath(Shared.m_Fleet, Fresh));
  const decide::Path Changes = changesOf(m_Target.m_Path, Fresh);
  unsigned Status = 0;
  std::string Detail;
  std::string FaultAddress;
  try {
    const net::HttpResponse Answer =
        co_await callEngine(Shared, First, Order, RepairTimeout);
    Status = Answer.m_Status;
    FaultAddress = platform::decodeFaultAddress(Answer.m_Body);
  } catch (const std::exception &Wrong) {
    Detail = Wrong.what();
  }
  Shared.m_Metrics.counted("repair_ordered");
  router::logEvent(schema::INFO, "path_ordered",
                   {{"request", Id.str()},
                    {"first", First.str()},
                    {"instead", decide::pathText(Changes)},
                    {"status", std::to_string(Status)},
                    {"fault_at", FaultAddress},
                    {"detail", Detail}});
  if (Calls->contains(this) && m_Facts.m_Id == Id && m_Run->sends() == Sends)
    onPathOrdered(Fresh, Status, FaultAddress);
}

void ForwardCall::onPathOrdered(const decide::Path &Fresh, unsigned Status,
                                const std::string &FaultAddress) {
  m_Repairing = false;
  if (Status / 100 == 2 && m_Waiting) {
    chargeMemory(m_Target, -1);
    m_Target.m_Path = Fresh;
    chargeMemory(m_Target, 1);
    return;
  }
  if (const auto *At = m_Shared.m_Fleet.findByAddress(FaultAddress))
    m_Unfit.insert(At->m_Record.m_Id);
  if (Status == 404) // it does not run there any more
    m_Repairs = MostRepairs;
}

const decide::Path *ForwardCall::overduePath() const {
  return m_Overdue ? &m_Target.m_Path : nullptr;
}

} // namespace mimosadale::forward
