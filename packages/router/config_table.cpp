#include "router/config_table.h"

#include <mutex>

namespace mimosadale::router {

namespace {

template <typename Entries>
auto findByName(const Entries &All, const std::string &Name)
    -> decltype(&*All.begin()) {
  for (const auto &Each : All)
    if (Each.name() == Name)
      return &Each;
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
  const schema::Model *Last = nullptr;
  for (const schema::Model &Each : m_Declaration.models())
    if (Each.name() == Name || Each.name() + ":" + Each.version() == Name)
      Last = &Each;
  return Last;
}

std::shared_ptr<const ActiveConfig> ConfigTable::get() const {
  const std::lock_guard Lock(m_Mutex);
  return m_Active;
}

bool ConfigTable::adopt(std::shared_ptr<const ActiveConfig> Next) {
  const std::lock_guard Lock(m_Mutex);
  if (m_Active && Next->m_Row.generation() <= m_Active->m_Row.generation())
    return false;
  m_Active = std::move(Next);
  return true;
}

Generation ConfigTable::generation() const {
  const auto Active = get();
  return static_cast<Generation>(Active ? Active->m_Row.generation() : 0);
}

} // namespace mimosadale::router
