#include "router/config_table.h"

#include <mutex>

namespace mimosadale::router {

namespace {

template <typename EntryList>
auto findByName(const EntryList &Entries, const std::string &Name)
    -> decltype(&*Entries.begin()) {
  for (const auto &Entry : Entries)
    if (Entry.name() == Name)
      return &Entry;
  return nullptr;
}

} // namespace

const schema::Workspace *
ActiveConfig::findWorkspace(const std::string &Name) const {
  return findByName(m_Declaration.workspaces(), Name);
}

const schema::Service *
ActiveConfig::findService(const std::string &Name) const {
  return findByName(m_Declaration.services(), Name);
}

const schema::Model *ActiveConfig::findModel(const std::string &Name) const {
  const schema::Model *LastMatch = nullptr;
  for (const schema::Model &Candidate : m_Declaration.models())
    if (Candidate.name() == Name ||
        Candidate.name() + ":" + Candidate.version() == Name)
      LastMatch = &Candidate;
  return LastMatch;
}

std::shared_ptr<const ActiveConfig> ConfigTable::get() const {
  const std::lock_guard Lock(m_Mutex);
  return m_Active;
}

bool ConfigTable::adopt(std::shared_ptr<const ActiveConfig> NewConfig) {
  const std::lock_guard Lock(m_Mutex);
  if (m_Active && NewConfig->m_Row.generation() <= m_Active->m_Row.generation())
    return false;
  m_Active = std::move(NewConfig);
  return true;
}

Generation ConfigTable::generation() const {
  const auto Config = get();
  return static_cast<Generation>(Config ? Config->m_Row.generation() : 0);
}

} // namespace mimosadale::router
