// Selection of the target of an attempt, and accounting of its load on engines.
#include "decide/plain_router.h"
#include "forward/forward_call.h"
#include "router/log.h"

#include <cmath>

namespace mimosadale::forward {

namespace asio = boost::asio;

namespace {

// Routers that one request is handed to at most, one after the other.
constexpr std::size_t MaxPeersTried = 3;

} // namespace

// A router that is cut off does not try its endpoints first: each try takes as
// long as a connection that hangs.
std::optional<ForwardCall::Target> ForwardCall::chooseTarget() {
  const bool CutOff = m_State.m_Reach.cutOff();
  if (CutOff && m_Sender == Sender::Router)
    return std::nullopt;
  if (CutOff)
    if (auto Peer = choosePeer()) {
      releaseReserved();
      return Peer;
    }
  if (auto Endpoint = chooseEndpoint())
    return Endpoint;
  return m_State.suspectsSome(m_Service) ? choosePeer() : std::nullopt;
}

std::optional<ForwardCall::Target> ForwardCall::chooseEndpoint() {
  return m_State.chainsOf(m_Service) ? chooseChain() : choosePlainTarget();
}

// Whether another router may serve the request.
bool ForwardCall::mayHandOver() const {
  return m_Sender == Sender::Caller && m_Run->endpointsLeft() > 0 &&
         m_PeersTried.size() < MaxPeersTried;
}

// Whether the request, which another router handed over, is to continue there:
// this router is cut off now as well. Breaking off the answer tells the other
// router at once, which would wait for its own limit of silence otherwise. One
// for which no further endpoint is left could not continue it.
bool ForwardCall::leavesToSender() const {
  return m_Sender == Sender::Router && m_State.m_Reach.reachesNone() &&
         m_HandOverMark.m_EndpointsLeft > 1;
}

std::optional<ForwardCall::Target> ForwardCall::choosePeer() {
  if (!mayHandOver())
    return std::nullopt;
  const auto Router = m_State.m_PeerChooser.choose(
      m_Service, DataCentreId(m_State.m_Settings.data_centre()), m_PeersTried,
      ForwardState::now(), m_State.m_Random);
  if (!Router)
    return std::nullopt;
  const auto Known = m_State.m_RoutersByName.find(Router->str());
  if (Known == m_State.m_RoutersByName.end())
    return std::nullopt;
  Target Result;
  Result.m_Router = *Router;
  Result.m_Endpoint = EndpointId("router:" + Router->str());
  Result.m_Address = net::parseAddress(Known->second.m_PeerAddress);
  return Result;
}

std::optional<ForwardCall::Target> ForwardCall::chooseChain() {
  if (auto Reserved = takeReserved())
    return Reserved;
  m_TurnedAwayBy = m_State.turnAway(m_Service, ForwardState::now());
  const decide::Chain *Chosen =
      findChain(m_Run->avoided(), ForwardState::now());
  if (!Chosen) {
    logNoChain();
    return std::nullopt;
  }
  logChosenChain(*Chosen);
  return targetOf(*Chosen);
}

// Returns a chain with capacity for this request that uses no engine of \p
// Avoid, or null.
const decide::Chain *ForwardCall::findChain(const decide::EndpointSet &Avoid,
                                            Instant Now) {
  const decide::ChainRouter *Chains = m_State.chainsOf(m_Service);
  return Chains ? Chains->choose(
                      m_State.m_Fleet,
                      m_RequestHeaders.m_Size.value_or(decide::RequestSize{}),
                      DataCentreId(m_State.m_Settings.data_centre()), Avoid,
                      Now, m_State.m_Random)
                : nullptr;
}

// Takes a retry with \p Spend and charges the next target in one step, before
// other requests can. \returns whether both were available.
bool ForwardCall::reserveChain(const decide::EndpointSet &Avoid, Instant Now,
                               const decide::SpendRetry &Spend) {
  const decide::Chain *Chosen = findChain(Avoid, Now);
  if (!Chosen || !Spend())
    return false;
  logChosenChain(*Chosen);
  m_ReservedTarget = targetOf(*Chosen);
  charge(*m_ReservedTarget, 1);
  return true;
}

ForwardCall::Target ForwardCall::targetOf(const decide::Chain &Chain) const {
  Target Result;
  Result.m_Path = Chain.m_Stages;
  Result.m_Endpoint = Result.m_Path.front().m_Endpoint;
  Result.m_Address = net::parseAddress(
      m_State.m_Fleet.find(Result.m_Endpoint)->m_Record.m_Address);
  return Result;
}

// Returns the target charged when the last attempt was aborted, if all of its
// engines are still usable.
std::optional<ForwardCall::Target> ForwardCall::takeReserved() {
  if (!m_ReservedTarget)
    return std::nullopt;
  for (const decide::StagePlan &Stage : m_ReservedTarget->m_Path) {
    const auto *Engine = m_State.m_Fleet.find(Stage.m_Endpoint);
    if (!Engine || !Engine->routable() ||
        m_Run->avoided().contains(Stage.m_Endpoint)) {
      releaseReserved();
      return std::nullopt;
    }
  }
  m_Charged = true;
  return std::exchange(m_ReservedTarget, std::nullopt);
}

void ForwardCall::releaseReserved() {
  if (m_ReservedTarget)
    charge(*m_ReservedTarget, -1);
  m_ReservedTarget.reset();
}

// Describes a chain's utilization and the age of the report it is computed
// from.
std::string ForwardCall::describe(const decide::Chain &Chain) const {
  const Instant Now = ForwardState::now();
  const auto *First = m_State.m_Fleet.find(Chain.m_Stages.front().m_Endpoint);
  const double Fill =
      m_State.chainsOf(m_Service)->utilization(m_State.m_Fleet, Chain, Now);
  return Chain.m_DataCentre.str() +
         (Chain.m_CrossesDataCentres ? " crossing" : "") + " fill " +
         router::formatPercent(Fill) + " report " +
         (First && First->m_Load
              ? router::formatMillis(Now - First->m_LoadUpdatedAt) + " ms old"
              : "none");
}

void ForwardCall::logChosenChain(const decide::Chain &Chain) const {
  router::logEvent(
      schema::INFO, "chain_chosen",
      {{"request", m_RequestHeaders.m_Id.str()},
       {"first", Chain.m_Stages.front().m_Endpoint.str()},
       {"stages", std::to_string(Chain.m_Stages.size())},
       {"chain", describe(Chain)},
       {"tokens",
        std::to_string(std::lround(
            m_RequestHeaders.m_Size ? m_RequestHeaders.m_Size->tokens() : 0))},
       {"left_ms", router::formatMillis(m_Run->end() - ForwardState::now())}});
}

void ForwardCall::logNoChain() const {
  std::string Chains;
  for (const decide::Chain &Chain : m_State.chainsOf(m_Service)->chains())
    Chains += (Chains.empty() ? "" : "; ") + describe(Chain);
  router::logEvent(
      schema::INFO, "no_chain",
      {{"request", m_RequestHeaders.m_Id.str()},
       {"chains", Chains.empty() ? "none is whole" : Chains},
       {"avoided", std::to_string(m_Run->avoided().size())},
       {"fleet_revision", std::to_string(m_State.m_Fleet.revision())}});
}

std::optional<ForwardCall::Target> ForwardCall::choosePlainTarget() {
  m_TurnedAwayBy = m_State.turnAway(m_Service, ForwardState::now());
  const decide::FleetEndpoint *Chosen = decide::choosePlainEndpoint(
      m_State.m_Fleet, m_Service,
      DataCentreId(m_State.m_Settings.data_centre()), m_Run->avoided(),
      ForwardState::now(), m_State.m_Random);
  // A suspect endpoint is the last resort, after the other routers.
  if (!Chosen || (Chosen->m_Suspect &&
                  (m_Sender == Sender::Router || choosePeer().has_value())))
    return std::nullopt;
  Target Result;
  Result.m_Endpoint = Chosen->m_Record.m_Id;
  Result.m_Address = net::parseAddress(Chosen->m_Record.m_Address);
  return Result;
}

// Adds (1) or removes (-1) the request's load at every engine of its path.
void ForwardCall::charge(const Target &To, int Sign) {
  if (!To.m_Router.empty())
    return; // the other router accounts for it
  m_State.m_Fleet.adjustInFlight(To.m_Endpoint, Sign);
  if (Sign > 0)
    m_State.onSent(To.m_Endpoint);
  chargeMemory(To, Sign);
}

void ForwardCall::chargeMemory(const Target &To, int Sign) {
  const double Tokens =
      m_RequestHeaders.m_Size ? m_RequestHeaders.m_Size->tokens() : 0;
  for (const decide::StagePlan &Stage : To.m_Path)
    m_State.m_Fleet.adjustKvInFlight(
        Stage.m_Endpoint,
        Sign * Tokens * (Stage.m_Layers.m_End - Stage.m_Layers.m_First));
}

} // namespace mimosadale::forward
