#include "standin/platform.h"

#include <algorithm>
#include <boost/json.hpp>
#include <boost/url/parse.hpp>

namespace mimosadale::standin {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

net::HttpResponse jsonResponse(unsigned Status, const json::object &Body) {
  return {
      Status, {{"Content-Type", "application/json"}}, json::serialize(Body)};
}

// The decoded value of a query parameter; empty when it is absent.
std::string queryParameter(const std::string &Target, const std::string &Name) {
  const auto Url = boost::urls::parse_origin_form(Target);
  if (!Url)
    return "";
  const auto Found = Url->params().find(Name);
  return Found == Url->params().end() ? "" : (*Found).value;
}

} // namespace

asio::awaitable<void> Platform::handle(net::HttpExchange &Exchange) {
  const net::HttpRequest &Request = Exchange.request();
  if (Request.m_Target == "/standin/faults") {
    m_Faults.set(Request.m_Body);
    co_await Exchange.respond(net::HttpResponse());
    co_return;
  }
  if (Request.m_Target == "/standin/stats") {
    co_await Exchange.respond(statsResponse());
    co_return;
  }
  const bool IsCommit = Request.m_Target == "/table/transact";
  co_await m_Faults.delay(Exchange);
  while (IsCommit && m_Faults.isSet("hold"))
    co_await m_Faults.sleepFor(5);
  if (m_Faults.isSet("down") || (IsCommit && m_Faults.consume("lose_before"))) {
    Exchange.abort();
    co_return;
  }
  net::HttpResponse Response = serve(Request);
  if (IsCommit && m_Faults.consume("lose_after")) {
    Exchange.abort();
    co_return;
  }
  co_await Exchange.respond(std::move(Response));
}

net::HttpResponse Platform::serve(const net::HttpRequest &Request) {
  const std::lock_guard Lock(m_Mutex);
  const std::string &Target = Request.m_Target;
  if (Target == "/table/transact")
    return transact(Request.m_Body);
  if (Target.starts_with("/table/rows"))
    return readRows(Target);
  if (Target.starts_with("/objects/"))
    return serveObject(Request);
  if (Target == "/hosts") {
    if (Request.m_Method == "PUT")
      m_Hosts = Request.m_Body;
    return {200, {{"Content-Type", "application/json"}}, m_Hosts};
  }
  return {404, {}, ""};
}

bool Platform::exceedsWriteRate() {
  const double Rate = m_Faults.value("writes_per_second");
  if (Rate <= 0)
    return false;
  const auto Now = std::chrono::steady_clock::now();
  const std::chrono::duration<double> Elapsed = Now - m_LastRefill;
  m_LastRefill = Now;
  m_WriteTokens = std::min(Rate, m_WriteTokens + Elapsed.count() * Rate);
  if (m_WriteTokens < 1)
    return true;
  m_WriteTokens -= 1;
  return false;
}

// Applies all writes if every row has its expected version, otherwise none.
net::HttpResponse Platform::transact(const std::string &Body) {
  if (exceedsWriteRate()) {
    ++m_RateLimited;
    return jsonResponse(429, {{"error", "write rate"}});
  }
  const auto Transaction = json::parse(Body).as_object();
  json::array Conflicts;
  for (const auto &Item : Transaction.at("writes").as_array()) {
    const auto &Write = Item.as_object();
    const std::string Key(Write.at("key").as_string());
    const auto ExpectedVersion = Write.at("expect").to_number<std::uint64_t>();
    const auto Found = m_Rows.find(Key);
    const std::uint64_t CurrentVersion =
        Found == m_Rows.end() ? 0 : Found->second.m_Version;
    if (CurrentVersion != ExpectedVersion)
      Conflicts.push_back(json::object{
          {"key", Key},
          {"version", CurrentVersion},
          {"value", CurrentVersion == 0 ? "" : Found->second.m_Value}});
  }
  if (!Conflicts.empty())
    return jsonResponse(409, {{"conflicts", Conflicts}});
  ++m_Transactions;
  ++m_Version;
  for (const auto &Item : Transaction.at("writes").as_array()) {
    const auto &Write = Item.as_object();
    m_Rows[std::string(Write.at("key").as_string())] = {
        m_Version, std::string(Write.at("value").as_string())};
    ++m_RowWrites;
  }
  return jsonResponse(200, {{"version", m_Version}});
}

net::HttpResponse Platform::readRows(const std::string &Target) {
  ++m_Reads;
  const std::string Key = queryParameter(Target, "key");
  const std::string Prefix = queryParameter(Target, "prefix");
  json::array Rows;
  for (const auto &[RowKey, Row] : m_Rows)
    if (RowKey == Key || (!Prefix.empty() && RowKey.starts_with(Prefix)))
      Rows.push_back(json::object{
          {"key", RowKey}, {"version", Row.m_Version}, {"value", Row.m_Value}});
  return jsonResponse(200, {{"rows", Rows}});
}

net::HttpResponse Platform::serveObject(const net::HttpRequest &Request) {
  const std::string Name = Request.m_Target.substr(9);
  if (Request.m_Method == "PUT") {
    m_Objects[Name] = Request.m_Body;
    return {200, {}, ""};
  }
  ++m_Reads;
  const auto Found = m_Objects.find(Name);
  if (Found == m_Objects.end())
    return {404, {}, ""};
  return {200, {{"Content-Type", "application/octet-stream"}}, Found->second};
}

net::HttpResponse Platform::statsResponse() {
  const std::lock_guard Lock(m_Mutex);
  return jsonResponse(200, {{"transactions", m_Transactions},
                            {"row_writes", m_RowWrites},
                            {"reads", m_Reads},
                            {"limited", m_RateLimited}});
}

} // namespace mimosadale::standin
