#include "decide/host_list.h"

namespace mimosadale::decide {

std::vector<std::string>
HostList::onList(const std::vector<schema::HostEntry> &List) {
  for (const schema::HostEntry &Each : List) {
    const HostId Name(Each.name());
    const auto Listed = static_cast<Incarnation>(Each.incarnation());
    const auto Held = m_Leaving.find(Name);
    if (Held != m_Leaving.end() && Listed > Held->second)
      m_Leaving.erase(Held);
    if (Each.leaving() && !m_Leaving.contains(Name))
      m_Leaving[Name] = Listed;
  }
  std::vector<std::string> Names;
  for (const auto &[Name, Seen] : m_Leaving)
    Names.push_back(Name.str());
  return Names;
}

} // namespace mimosadale::decide
