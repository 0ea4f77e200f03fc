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

// The value of a query parameter, decoded.
std::string query(const std::string &Target, const std::string &Name) {
  const auto Parsed = boost::urls::parse_origin_form(Target);
  if (!Parsed)
    return "";
  const auto Found = Parsed->params().find(Name);
  return Found == Parsed->params().end() ? "" : (*Found).value;
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
    co_await Exchange.respond(stats());
    co_return;
  }
  const bool Commits = Request.m_Target == "/table/transact";
  co_await m_Faults.delay(Exchange);
  while (Commits && m_Faults.flag("hold"))
    co_await m_Faults.pause(5);
  if (m_Faults.flag("down") || (Commits && m_Faults.take("lose_before"))) {
    Exchange.abort();
    co_return;
  }
  net::HttpResponse Response = answer(Request);
  if (Commits && m_Faults.take("lose_after")) {
    Exchange.abort();
    co_return;
  }
  co_await Exchange.respond(std::move(Response));
}

net::HttpResponse Platform::answer(const net::HttpRequest &Request) {
  const std::lock_guard Lock(m_Mutex);
  const std::string &Target = Request.m_Target;
  if (Target == "/table/transact")
    return transact(Request.m_Body);
  if (Target.starts_with("/table/rows"))
    return readRows(Target);
  if (Target.starts_with("/objects/"))
    return object(Request);
  if (Target == "/hosts") {
    if (Request.m_Method == "PUT")
      m_Hosts = Request.m_Body;
    return {200, {{"Content-Type", "application/json"}}, m_Hosts};
  }
  return {404, {}, ""};
}

bool Platform::overWriteRate() {
  const double Rate = m_Faults.number("writes_per_second");
  if (Rate <= 0)
    return false;
  const auto Now = std::chrono::steady_clock::now();
  const std::chrono::duration<double> Passed = Now - m_Filled;
  m_Filled = Now;
  m_WriteTokens = std::min(Rate, m_WriteTokens + Passed.count() * Rate);
  if (m_WriteTokens < 1)
    return true;
  m_WriteTokens -= 1;
  return false;
}

// All conditions hold, then all writes happen; otherwise none.
net::HttpResponse Platform::transact(const std::string &Body) {
  if (overWriteRate()) {
    ++m_Limited;
    return jsonResponse(429, {{"error", "write rate"}});
  }
  const auto Parsed = json::parse(Body).as_object();
  json::array Conflicts;
  for (const auto &Each : Parsed.at("writes").as_array()) {
    const auto &Write = Each.as_object();
    const std::string Key(Write.at("key").as_string());
    const auto Expected = Write.at("expect").to_number<std::uint64_t>();
    const auto Found = m_Rows.find(Key);
    const std::uint64_t Held =
        Found == m_Rows.end() ? 0 : Found->second.m_Version;
    if (Held != Expected)
      Conflicts.push_back(
          json::object{{"key", Key},
                       {"version", Held},
                       {"value", Held == 0 ? "" : Found->second.m_Value}});
  }
  if (!Conflicts.empty())
    return jsonResponse(409, {{"conflicts", Conflicts}});
  ++m_Transactions;
  ++m_Version;
  for (const auto &Each : Parsed.at("writes").as_array()) {
    const auto &Write = Each.as_object();
    m_Rows[std::string(Write.at("key").as_string())] = {
        m_Version, std::string(Write.at("value").as_string())};
    ++m_RowWrites;
  }
  return jsonResponse(200, {{"version", m_Version}});
}

net::HttpResponse Platform::readRows(const std::string &Target) {
  ++m_Reads;
  const std::string Key = query(Target, "key");
  const std::string Prefix = query(Target, "prefix");
  json::array Rows;
  for (const auto &[Name, Held] : m_Rows)
    if (Name == Key || (!Prefix.empty() && Name.starts_with(Prefix)))
      Rows.push_back(json::object{
          {"key", Name}, {"version", Held.m_Version}, {"value", Held.m_Value}});
  return jsonResponse(200, {{"rows", Rows}});
}

net::HttpResponse Platform::object(const net::HttpRequest &Request) {
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

net::HttpResponse Platform::stats() {
  const std::lock_guard Lock(m_Mutex);
  return jsonResponse(200, {{"transactions", m_Transactions},
                            {"row_writes", m_RowWrites},
                            {"reads", m_Reads},
                            {"limited", m_Limited}});
}

} // namespace mimosadale::standin
