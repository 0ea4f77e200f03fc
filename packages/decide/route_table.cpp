#include "decide/route_table.h"

#include <algorithm>

namespace mimosadale::decide {

std::string normalizeHost(std::string_view Host) {
  std::string Name(Host.substr(0, Host.rfind(':')));
  std::transform(
      Name.begin(), Name.end(), Name.begin(),
      [](unsigned char Char) { return static_cast<char>(std::tolower(Char)); });
  return Name;
}

RouteTable::RouteTable(RoutingConfig Config) : m_Config(std::move(Config)) {
  for (const Route &Entry : m_Config.m_Routes)
    m_ByHost[normalizeHost(Entry.m_Host)][Entry.m_Prefix] = &Entry;
  for (const WorkspaceKeys &Workspace : m_Config.m_Workspaces)
    for (const std::string &Key : Workspace.m_Keys)
      m_ByKey[Key] = &Workspace;
  for (const ServiceInfo &Service : m_Config.m_Services)
    m_ByService[Service.m_Name.str()] = &Service;
}

const Route *RouteTable::find(std::string_view Host,
                              std::string_view Path) const {
  const auto Routes = m_ByHost.find(normalizeHost(Host));
  if (Routes == m_ByHost.end())
    return nullptr;
  std::string_view Prefix = Path.substr(0, Path.find('?'));
  while (true) {
    const std::size_t Slash = Prefix.rfind('/');
    if (Slash == std::string_view::npos)
      return nullptr;
    Prefix = Prefix.substr(0, Slash + 1);
    if (const auto It = Routes->second.find(Prefix); It != Routes->second.end())
      return It->second;
    Prefix.remove_suffix(1);
  }
}

const ServiceInfo *RouteTable::service(const ServiceId &Name) const {
  const auto It = m_ByService.find(Name.str());
  return It == m_ByService.end() ? nullptr : It->second;
}

const WorkspaceKeys *RouteTable::workspaceOf(std::string_view Key) const {
  const auto It = m_ByKey.find(Key);
  return It == m_ByKey.end() ? nullptr : It->second;
}

const ServiceId &RouteTable::chooseService(const Route &Matched,
                                           double Draw) const {
  double Total = 0;
  for (const WeightedService &Candidate : Matched.m_Services)
    Total += Candidate.m_Weight;
  double Remaining = Draw * Total;
  for (const WeightedService &Candidate : Matched.m_Services) {
    Remaining -= Candidate.m_Weight;
    if (Remaining < 0)
      return Candidate.m_Service;
  }
  return Matched.m_Services.back().m_Service;
}

bool RouteTableHolder::adopt(RoutingConfig Config) {
  if (m_Current && Config.m_Version <= m_Current->config().m_Version)
    return false;
  m_Current = std::make_shared<const RouteTable>(std::move(Config));
  return true;
}

ConfigStep RouteTableHolder::offer(RoutingConfig Config, StoreVersion Row,
                                   ConfigOrigin Origin) {
  const std::uint64_t Version = Config.m_Version;
  if (adopt(std::move(Config))) {
    m_Row = Row;
    return ConfigStep::Adopted;
  }
  if (Row.era() <= m_Row.era())
    return ConfigStep::NotNewer;
  if (Version == m_Current->config().m_Version) {
    m_Row = Row;
    return ConfigStep::NotNewer;
  }
  if (Origin == ConfigOrigin::RestoredCopy)
    m_CopyRow = Row;
  // The same row is read again with each snapshot.
  return Row == m_CopyRow ? ConfigStep::KeptOverCopy : ConfigStep::AwaitsNewer;
}

} // namespace mimosadale::decide
