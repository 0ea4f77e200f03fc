#include "decide/route_table.h"

#include <algorithm>

namespace mimosadale::decide {

namespace {

std::string normalizeHost(std::string_view Host) {
  std::string Name(Host.substr(0, Host.rfind(':')));
  std::transform(Name.begin(), Name.end(), Name.begin(), [](unsigned char C) {
    return static_cast<char>(std::tolower(C));
  });
  return Name;
}

} // namespace

RouteTable::RouteTable(RoutingConfig Config) : m_Config(std::move(Config)) {
  for (const Route &Each : m_Config.m_Routes)
    m_ByHost[normalizeHost(Each.m_Host)][Each.m_Prefix] = &Each;
  for (const WorkspaceKeys &Each : m_Config.m_Workspaces)
    for (const std::string &Key : Each.m_Keys)
      m_ByKey[Key] = &Each;
  for (const ServiceInfo &Each : m_Config.m_Services)
    m_ByService[Each.m_Name.str()] = &Each;
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
    if (const auto Found = Routes->second.find(Prefix);
        Found != Routes->second.end())
      return Found->second;
    Prefix.remove_suffix(1);
  }
}

const ServiceInfo *RouteTable::service(const ServiceId &Name) const {
  const auto Found = m_ByService.find(Name.str());
  return Found == m_ByService.end() ? nullptr : Found->second;
}

const WorkspaceKeys *RouteTable::workspaceOf(std::string_view Key) const {
  const auto Found = m_ByKey.find(Key);
  return Found == m_ByKey.end() ? nullptr : Found->second;
}

const ServiceId &RouteTable::chooseService(const Route &Of, double Draw) const {
  double Total = 0;
  for (const WeightedService &Each : Of.m_Services)
    Total += Each.m_Weight;
  double Left = Draw * Total;
  for (const WeightedService &Each : Of.m_Services) {
    Left -= Each.m_Weight;
    if (Left < 0)
      return Each.m_Service;
  }
  return Of.m_Services.back().m_Service;
}

bool RouteTableHolder::adopt(RoutingConfig Fresh) {
  if (m_Current && Fresh.m_Version <= m_Current->config().m_Version)
    return false;
  m_Current = std::make_shared<const RouteTable>(std::move(Fresh));
  return true;
}

} // namespace mimosadale::decide
