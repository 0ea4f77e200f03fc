#include "store/config_store.h"

#include "store/store_error.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace mimosadale::store {

namespace asio = boost::asio;

namespace {

// Reads of the generation row after the response to an apply was lost.
constexpr int MaxReadBacks = 20;
constexpr auto ReadBackInterval = std::chrono::milliseconds(250);

StoredGeneration parseGeneration(const TableRow &Row) {
  StoredGeneration Result;
  Result.m_Version = Row.m_Version;
  if (!Result.m_Row.ParseFromString(Row.m_Value))
    throw StoreError("row " + Row.m_Key + " does not parse as a GenerationRow");
  return Result;
}

} // namespace

std::vector<std::string> splitSections(const schema::Declaration &Full) {
  schema::Declaration Workspaces;
  schema::Declaration Services;
  schema::Declaration Models;
  schema::Declaration Endpoints;
  *Workspaces.mutable_workspaces() = Full.workspaces();
  *Services.mutable_services() = Full.services();
  *Models.mutable_models() = Full.models();
  *Endpoints.mutable_endpoints() = Full.endpoints();
  return {Workspaces.SerializeAsString(), Services.SerializeAsString(),
          Models.SerializeAsString(), Endpoints.SerializeAsString()};
}

schema::Declaration joinSections(const std::vector<std::string> &Sections) {
  schema::Declaration Merged;
  for (const std::string &Section : Sections) {
    schema::Declaration Part;
    if (!Part.ParseFromString(Section))
      throw StoreError("a section of the declaration does not parse");
    Merged.MergeFrom(Part);
  }
  return Merged;
}

ConfigStore::ConfigStore(TableClient &Table, ObjectClient &Objects)
    : m_Table(Table), m_Objects(Objects) {}

asio::awaitable<std::optional<StoredGeneration>> ConfigStore::current() {
  const auto Row = co_await m_Table.read(GenerationKey);
  if (!Row)
    co_return std::nullopt;
  co_return parseGeneration(*Row);
}

asio::awaitable<schema::Declaration>
ConfigStore::load(schema::GenerationRow Row) {
  std::vector<std::string> Sections;
  for (const std::string &Name : Row.sections())
    Sections.push_back(co_await m_Objects.get(Name));
  co_return joinSections(Sections);
}

asio::awaitable<StoredGeneration> ConfigStore::apply(schema::Declaration Next,
                                                     StoredGeneration Base,
                                                     std::string Author,
                                                     std::string Reason) {
  StoredGeneration Proposed;
  Proposed.m_Row.set_generation(Base.m_Row.generation() + 1);
  for (const std::string &Section : splitSections(Next))
    Proposed.m_Row.add_sections(co_await m_Objects.put(Section));
  Proposed.m_Row.set_author(Author);
  Proposed.m_Row.set_reason(Reason);
  Proposed.m_Row.set_unix_ms(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
  std::vector<TableWrite> Writes(1);
  Writes[0].m_Key = GenerationKey;
  Writes[0].m_ExpectedVersion = Base.m_Version;
  Writes[0].m_Value = Proposed.m_Row.SerializeAsString();
  const TableResult Result = co_await m_Table.transact(Writes);
  switch (Result.m_Kind) {
  case TableResult::Kind::Committed:
    Proposed.m_Version = Result.m_Version;
    co_return Proposed;
  case TableResult::Kind::Conflict:
    co_return parseGeneration(Result.m_Conflicts.at(0));
  case TableResult::Kind::Unknown:
    co_return co_await resolveUnknownOutcome(Proposed.m_Row);
  case TableResult::Kind::NotApplied:
    break;
  }
  throw StoreError("the table did not apply the declaration; nothing was "
                   "changed");
}

// Reads the row until its generation is at least the proposed one. While it is
// older, the proposed write may still be applied.
asio::awaitable<StoredGeneration>
ConfigStore::resolveUnknownOutcome(schema::GenerationRow Proposed) {
  asio::steady_timer Timer(co_await asio::this_coro::executor);
  for (int Attempt = 0; Attempt < MaxReadBacks; ++Attempt) {
    std::optional<StoredGeneration> Current;
    try {
      Current = co_await current();
    } catch (const StoreError &) {
      // The next iteration retries.
    }
    if (Current && Current->m_Row.generation() >= Proposed.generation())
      co_return *Current;
    Timer.expires_after(ReadBackInterval);
    co_await Timer.async_wait(asio::use_awaitable);
  }
  throw StoreError("the response of the table was lost, and the row does not "
                   "show the change; check the status before applying again");
}

} // namespace mimosadale::store
