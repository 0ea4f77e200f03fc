#include "store/table.h"

#include "store/digest.h"
#include "store/store_error.h"

#include <boost/json.hpp>
#include <boost/url/url.hpp>

namespace mimosadale::store {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

TableRow parseRow(const json::value &RowJson) {
  const auto &Object = RowJson.as_object();
  TableRow Row;
  Row.m_Key = std::string(Object.at("key").as_string());
  Row.m_Version = Object.at("version").to_number<std::uint64_t>();
  Row.m_Value = decodeBase64(std::string(Object.at("value").as_string()));
  return Row;
}

std::vector<TableRow> parseRows(const std::string &Body,
                                std::string_view Field) {
  std::vector<TableRow> Rows;
  const json::value Parsed = json::parse(Body);
  for (const json::value &RowJson : Parsed.as_object().at(Field).as_array())
    Rows.push_back(parseRow(RowJson));
  return Rows;
}

std::string serializeWrites(const std::vector<TableWrite> &Writes) {
  json::array Rows;
  for (const TableWrite &Write : Writes)
    Rows.push_back(json::object{{"key", Write.m_Key},
                                {"expect", Write.m_ExpectedVersion},
                                {"value", encodeBase64(Write.m_Value)}});
  return json::serialize(json::object{{"writes", Rows}});
}

// Maps the platform's response to a transaction. A malformed response leaves
// the outcome unknown.
TableResult parseResult(const net::HttpResponse &Response) {
  TableResult Result;
  Result.m_Kind = TableResult::Kind::Unknown;
  try {
    if (Response.m_Status == 200) {
      const json::value Parsed = json::parse(Response.m_Body);
      Result.m_Version =
          Parsed.as_object().at("version").to_number<std::uint64_t>();
      Result.m_Kind = TableResult::Kind::Committed;
    } else if (Response.m_Status == 409) {
      Result.m_Conflicts = parseRows(Response.m_Body, "conflicts");
      Result.m_Kind = TableResult::Kind::Conflict;
    } else if (Response.m_Status == 429) {
      Result.m_Kind = TableResult::Kind::NotApplied;
    }
  } catch (const std::exception &) {
    Result.m_Kind = TableResult::Kind::Unknown;
  }
  return Result;
}

} // namespace

TableClient::TableClient(net::HttpClient &Client, net::Address Platform,
                         Duration Timeout)
    : m_Client(Client), m_Platform(std::move(Platform)), m_Timeout(Timeout) {}

asio::awaitable<TableResult>
TableClient::transact(std::vector<TableWrite> Writes) {
  net::HttpRequest Request;
  Request.m_Method = "POST";
  Request.m_Target = "/table/transact";
  Request.m_Headers.push_back({"Content-Type", "application/json"});
  Request.m_Body = serializeWrites(Writes);
  net::ExchangeOptions Options;
  Options.m_Timeout = m_Timeout;
  TableResult Result;
  try {
    const net::HttpResponse Response =
        co_await m_Client.exchange(m_Platform, Request, Options);
    co_return parseResult(Response);
  } catch (const net::NetError &Err) {
    Result.m_Kind = Err.phase() == net::Phase::Connect
                        ? TableResult::Kind::NotApplied
                        : TableResult::Kind::Unknown;
    m_Client.closeIdleTo(m_Platform);
  }
  co_return Result;
}

asio::awaitable<std::vector<TableRow>>
TableClient::readRows(std::string Query) {
  net::HttpRequest Request;
  Request.m_Target = std::move(Query);
  net::ExchangeOptions Options;
  Options.m_Timeout = m_Timeout;
  try {
    const net::HttpResponse Response =
        co_await m_Client.exchange(m_Platform, Request, Options);
    if (Response.m_Status != 200)
      throw StoreError("table read: unexpected status " +
                       std::to_string(Response.m_Status));
    co_return parseRows(Response.m_Body, "rows");
  } catch (const net::NetError &Err) {
    m_Client.closeIdleTo(m_Platform);
    throw StoreError(std::string("table read: ") + Err.what());
  } catch (const boost::system::system_error &Err) {
    throw StoreError(std::string("table read: ") + Err.what());
  }
}

asio::awaitable<std::optional<TableRow>> TableClient::read(std::string Key) {
  boost::urls::url Target("/table/rows");
  Target.params().append({"key", Key});
  const auto Rows = co_await readRows(std::string(Target.buffer()));
  if (Rows.empty())
    co_return std::nullopt;
  co_return Rows.front();
}

asio::awaitable<std::vector<TableRow>> TableClient::scan(std::string Prefix) {
  boost::urls::url Target("/table/rows");
  Target.params().append({"prefix", Prefix});
  co_return co_await readRows(std::string(Target.buffer()));
}

} // namespace mimosadale::store
