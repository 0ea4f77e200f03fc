#include "net/http.h"

#include <boost/asio/ip/address.hpp>
#include <boost/beast/core/string.hpp>
#include <charconv>

namespace mimosadale::net {

std::string findHeader(const std::vector<HttpHeader> &Headers,
                       std::string_view Name) {
  for (const HttpHeader &Header : Headers)
    if (boost::beast::iequals(Header.m_Name, Name))
      return Header.m_Value;
  return "";
}

Address parseAddress(const std::string &Text) {
  const Error InvalidAddress("\"" + Text +
                             "\" is not an address; allowed: ip:port");
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string::npos)
    throw InvalidAddress;
  std::string Ip = Text.substr(0, Colon);
  if (Ip.size() > 2 && Ip.front() == '[' && Ip.back() == ']')
    Ip = Ip.substr(1, Ip.size() - 2);
  boost::system::error_code Code;
  boost::asio::ip::make_address(Ip, Code);
  unsigned short Port = 0;
  const char *End = Text.data() + Text.size();
  const auto Parsed = std::from_chars(Text.data() + Colon + 1, End, Port);
  if (Code || Parsed.ec != std::errc() || Parsed.ptr != End)
    throw InvalidAddress;
  return {Ip, Port};
}

} // namespace mimosadale::net
