// Where a request is sent, and what it then takes of the engines.
#include "decide/plain_router.h"
#include "forward/forward_call.h"
#include "router/log.h"

#include <cmath>

namespace mimosadale::forward {

namespace asio = boost::asio;

std::optional<ForwardCall::Target> ForwardCall::chooseTarget() {
  return m_Shared.chainsOf(m_Service) ? chooseChain() : choosePlain();
}

std::optional<ForwardCall::Target> ForwardCall::chooseChain() {
  if (auto Reserved = takeReserved())
    return Reserved;
  const decide::Chain *Chosen =
      findChain(m_Run->avoided(), ForwardState::now());
  if (!Chosen) {
    logNoChain();
    return std::nullopt;
  }
  logSend(*Chosen);
  return targetOf(*Chosen);
}

// A chain with room for this request without the engines of \p Avoid, or null.
const decide::Chain *ForwardCall::findChain(const decide::EndpointSet &Avoid,
                                            Instant Now) {
  const decide::ChainRouter *Chains = m_Shared.chainsOf(m_Service);
  return Chains
             ? Chains->choose(m_Shared.m_Fleet,
                              m_Facts.m_Size.value_or(decide::RequestSize{}),
                              DataCentreId(m_Shared.m_Settings.data_centre()),
                              Avoid, Now, m_Shared.m_Random)
             : nullptr;
}

// Takes a retry and the room of the next send at once, before others can.
// \returns whether there are both.
bool ForwardCall::reserveWithRetry(const decide::EndpointSet &Avoid,
                                   Instant Now) {
  const decide::Chain *Found = findChain(Avoid, Now);
  if (!Found || !m_Shared.budgetOf(m_Service).take(Now, m_Shared.m_Routers))
    return false;
  logSend(*Found);
  m_Reserved = targetOf(*Found);
  charge(*m_Reserved, 1);
  return true;
}

ForwardCall::Target ForwardCall::targetOf(const decide::Chain &Of) const {
  Target To;
  To.m_Path = Of.m_Stages;
  To.m_Endpoint = To.m_Path.front().m_Endpoint;
  To.m_Address = net::parseAddress(
      m_Shared.m_Fleet.find(To.m_Endpoint)->m_Record.m_Address);
  return To;
}

// The chain whose room this request took when its last send was ended, if all
// of its engines may still be used.
std::optional<ForwardCall::Target> ForwardCall::takeReserved() {
  if (!m_Reserved)
    return std::nullopt;
  for (const decide::StagePlan &Each : m_Reserved->m_Path) {
    const auto *Known = m_Shared.m_Fleet.find(Each.m_Endpoint);
    if (!Known || !Known->routable() ||
        m_Run->avoided().contains(Each.m_Endpoint)) {
      releaseReserved();
      return std::nullopt;
    }
  }
  m_Charged = true;
  return std::exchange(m_Reserved, std::nullopt);
}

void ForwardCall::releaseReserved() {
  if (m_Reserved)
    charge(*m_Reserved, -1);
  m_Reserved.reset();
}

// The fill of a chain, and how old the report is that it rests on.
std::string ForwardCall::describe(const decide::Chain &Of) const {
  const Instant Now = ForwardState::now();
  const auto *First = m_Shared.m_Fleet.find(Of.m_Stages.front().m_Endpoint);
  const double Fill =
      m_Shared.chainsOf(m_Service)->utilization(m_Shared.m_Fleet, Of, Now);
  return Of.m_DataCentre.str() + (Of.m_CrossesDataCentres ? " crossing" : "") +
         " fill " + router::percentText(Fill) + " report " +
         (First && First->m_Load
              ? router::millisText(Now - First->m_LoadUpdatedAt) + " ms old"
              : "none");
}

void ForwardCall::logSend(const decide::Chain &To) const {
  router::logEvent(
      schema::INFO, "chain_chosen",
      {{"request", m_Facts.m_Id.str()},
       {"first", To.m_Stages.front().m_Endpoint.str()},
       {"stages", std::to_string(To.m_Stages.size())},
       {"chain", describe(To)},
       {"tokens", std::to_string(std::lround(
                      m_Facts.m_Size ? m_Facts.m_Size->tokens() : 0))},
       {"left_ms", router::millisText(m_Run->end() - ForwardState::now())}});
}

void ForwardCall::logNoChain() const {
  std::string Chains;
  for (const decide::Chain &Each : m_Shared.chainsOf(m_Service)->chains())
    Chains += (Chains.empty() ? "" : "; ") + describe(Each);
  router::logEvent(
      schema::INFO, "no_chain",
      {{"request", m_Facts.m_Id.str()},
       {"chains", Chains.empty() ? "none is whole" : Chains},
       {"avoided", std::to_string(m_Run->avoided().size())},
       {"fleet_revision", std::to_string(m_Shared.m_Fleet.revision())}});
}

std::optional<ForwardCall::Target> ForwardCall::choosePlain() {
  const decide::FleetEndpoint *Chosen = decide::choosePlain(
      m_Shared.m_Fleet, m_Service,
      DataCentreId(m_Shared.m_Settings.data_centre()), m_Run->avoided(),
      ForwardState::now(), m_Shared.m_Random);
  if (!Chosen)
    return std::nullopt;
  Target To;
  To.m_Endpoint = Chosen->m_Record.m_Id;
  To.m_Address = net::parseAddress(Chosen->m_Record.m_Address);
  return To;
}

// Counts the request in (1) or out (-1) at every engine of its path.
void ForwardCall::charge(const Target &To, int Sign) {
  m_Shared.m_Fleet.adjustInFlight(To.m_Endpoint, Sign);
  chargeMemory(To, Sign);
}

void ForwardCall::chargeMemory(const Target &To, int Sign) {
  const double Tokens = m_Facts.m_Size ? m_Facts.m_Size->tokens() : 0;
  for (const decide::StagePlan &Each : To.m_Path)
    m_Shared.m_Fleet.adjustKvInFlight(
        Each.m_Endpoint,
        Sign * Tokens * (Each.m_Layers.m_End - Each.m_Layers.m_First));
}

} // namespace mimosadale::forward
