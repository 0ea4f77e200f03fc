#include "store/objects.h"

#include "store/digest.h"
#include "store/store_error.h"

#include <boost/json.hpp>

namespace mimosadale::store {

namespace asio = boost::asio;
namespace json = boost::json;

ObjectClient::ObjectClient(net::HttpClient &Client, net::Address Platform,
                           Duration Timeout)
    : m_Client(Client), m_Platform(std::move(Platform)), m_Timeout(Timeout) {}

asio::awaitable<net::HttpResponse>
ObjectClient::sendRequest(net::HttpRequest Request) {
  net::ExchangeOptions Options;
  Options.m_Timeout = m_Timeout;
  const std::string Target = Request.m_Target;
  try {
    net::HttpResponse Response =
        co_await m_Client.exchange(m_Platform, std::move(Request), Options);
    if (Response.m_Status != 200)
      throw StoreError(Target + ": unexpected status " +
                       std::to_string(Response.m_Status));
    co_return Response;
  } catch (const net::NetError &Err) {
    m_Client.closeIdleTo(m_Platform);
    throw StoreError(Target + ": " + Err.what());
  }
}

asio::awaitable<std::string> ObjectClient::put(std::string Bytes) {
  const std::string Name = sha256Hex(Bytes);
  net::HttpRequest Request;
  Request.m_Method = "PUT";
  Request.m_Target = "/objects/" + Name;
  Request.m_Body = std::move(Bytes);
  co_await sendRequest(std::move(Request));
  co_return Name;
}

asio::awaitable<std::string> ObjectClient::get(std::string Name) {
  net::HttpRequest Request;
  Request.m_Target = "/objects/" + Name;
  net::HttpResponse Response = co_await sendRequest(std::move(Request));
  if (sha256Hex(Response.m_Body) != Name)
    throw StoreError("object " + Name +
                     ": SHA-256 of the content does not match");
  co_return std::move(Response.m_Body);
}

asio::awaitable<std::vector<schema::HostEntry>> ObjectClient::hosts() {
  net::HttpRequest Request;
  Request.m_Target = "/hosts";
  const net::HttpResponse Response = co_await sendRequest(std::move(Request));
  std::vector<schema::HostEntry> Hosts;
  try {
    const json::value Parsed = json::parse(Response.m_Body);
    for (const json::value &Host : Parsed.as_object().at("hosts").as_array()) {
      schema::HostEntry Entry;
      Entry.set_name(std::string(Host.as_object().at("name").as_string()));
      Entry.set_leaving(Host.as_object().at("leaving").as_bool());
      Entry.set_incarnation(
          Host.as_object().at("incarnation").to_number<std::uint64_t>());
      Hosts.push_back(std::move(Entry));
    }
  } catch (const boost::system::system_error &Err) {
    throw StoreError(std::string("malformed host list: ") + Err.what());
  }
  co_return Hosts;
}

} // namespace mimosadale::store
