#include "store/config_store.h"

#include "store/store_error.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace mimosadale::store {

namespace asio = boost::asio;

namespace {

// Times the row is read back after the answer to an apply was lost.
constexpr int ReadBackTries = 20;
constexpr auto ReadBackPause = std::chrono::milliseconds(250);

StoredGeneration parseStored(const TableRow &Row) {
  StoredGeneration Stored;
  Stored.m_Version = Row.m_Version;
  if (!Stored.m_Row.ParseFromString(Row.m_Value))
    throw StoreError("the row " + Row.m_Key + " is damaged");
  return Stored;
}

} // namespace

std::vector<std::string> splitSections(const schema::Declaration &Whole) {
  schema::Declaration Workspaces;
  schema::Declaration Services;
  schema::Declaration Models;
  schema::Declaration Endpoints;
  *Workspaces.mutable_workspaces() = Whole.workspaces();
  *Services.mutable_services() = Whole.services();
  *Models.mutable_models() = Whole.models();
  *Endpoints.mutable_endpoints() = Whole.endpoints();
  return {Workspaces.SerializeAsString(), Services.SerializeAsString(),
          Models.SerializeAsString(), Endpoints.SerializeAsString()};
}

schema::Declaration joinSections(const std::vector<std::string> &Sections) {
  schema::Declaration Whole;
  for (const std::string &Each : Sections) {
    schema::Declaration Part;
    if (!Part.ParseFromString(Each))
      throw StoreError("a section of the declaration is damaged");
    Whole.MergeFrom(Part);
  }
  return Whole;
}

ConfigStore::ConfigStore(TableClient &Table, ObjectClient &Objects)
    : m_Table(Table), m_Objects(Objects) {}

asio::awaitable<std::optional<StoredGeneration>> ConfigStore::current() {
  const auto Row = co_await m_Table.read(GenerationKey);
  if (!Row)
    co_return std::nullopt;
  co_return parseStored(*Row);
}

asio::awaitable<schema::Declaration>
ConfigStore::load(schema::GenerationRow Row) {
  std::vector<std::string> Sections;
  for (const std::string &Name : Row.sections())
    Sections.push_back(co_await m_Objects.get(Name));
  co_return joinSections(Sections);
}

asio::awaitable<StoredGeneration> ConfigStore::apply(schema::Declaration Next,
                                                     StoredGeneration Seen,
                                                     std::string Author,
                                                     std::string Reason) {
  StoredGeneration Ours;
  Ours.m_Row.set_generation(Seen.m_Row.generation() + 1);
  for (const std::string &Each : splitSections(Next))
    Ours.m_Row.add_sections(co_await m_Objects.put(Each));
  Ours.m_Row.set_author(Author);
  Ours.m_Row.set_reason(Reason);
  Ours.m_Row.set_unix_ms(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
  std::vector<TableWrite> Writes(1);
  Writes[0].m_Key = GenerationKey;
  Writes[0].m_Expect = Seen.m_Version;
  Writes[0].m_Value = Ours.m_Row.SerializeAsString();
  const TableResult Result = co_await m_Table.transact(Writes);
  switch (Result.m_Kind) {
  case TableResult::Kind::Committed:
    Ours.m_Version = Result.m_Version;
    co_return Ours;
  case TableResult::Kind::Conflict:
    co_return parseStored(Result.m_Conflicts.at(0));
  case TableResult::Kind::Unknown:
    co_return co_await settle(Ours.m_Row);
  case TableResult::Kind::NotApplied:
    break;
  }
  throw StoreError("the table did not take the declaration; nothing was "
                   "changed");
}

// Reads the row until it shows a generation as new as ours. While it shows an
// older one, ours may still land.
asio::awaitable<StoredGeneration>
ConfigStore::settle(schema::GenerationRow Ours) {
  asio::steady_timer Pause(co_await asio::this_coro::executor);
  for (int Try = 0; Try < ReadBackTries; ++Try) {
    std::optional<StoredGeneration> Found;
    try {
      Found = co_await current();
    } catch (const StoreError &) {
      // Tried again after the pause.
    }
    if (Found && Found->m_Row.generation() >= Ours.generation())
      co_return *Found;
    Pause.expires_after(ReadBackPause);
    co_await Pause.async_wait(asio::use_awaitable);
  }
  throw StoreError("the answer of the table was lost, and the row does not "
                   "show the change: run status before you apply again");
}

} // namespace mimosadale::store
