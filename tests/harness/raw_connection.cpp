#include "harness/raw_connection.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

namespace mimosadale::harness {

namespace beast_http = boost::beast::http;

struct RawConnection::Impl {
  boost::asio::io_context m_Io;
  boost::beast::tcp_stream m_Stream{m_Io};
  boost::beast::flat_buffer m_Buffer;
};

RawConnection::RawConnection(const std::string &Address)
    : m_Impl(std::make_unique<Impl>()) {
  const net::Address Remote = net::parseAddress(Address);
  m_Impl->m_Stream.connect(
      {boost::asio::ip::make_address(Remote.m_Ip), Remote.m_Port});
}

RawConnection::~RawConnection() = default;

bool RawConnection::send(const std::string &Target, const Headers &ExtraHeaders,
                         const std::string &Body) {
  beast_http::request<beast_http::string_body> Request(
      Body.empty() ? beast_http::verb::get : beast_http::verb::post, Target, 11,
      Body);
  Request.set(beast_http::field::host, loopbackIp());
  for (const net::HttpHeader &Header : ExtraHeaders)
    Request.set(Header.m_Name, Header.m_Value);
  Request.prepare_payload();
  boost::beast::error_code Code;
  beast_http::write(m_Impl->m_Stream, Request, Code);
  return !Code;
}

unsigned RawConnection::receive() {
  beast_http::response<beast_http::string_body> Answer;
  boost::beast::error_code Code;
  beast_http::read(m_Impl->m_Stream, m_Impl->m_Buffer, Answer, Code);
  return Code ? 0 : Answer.result_int();
}

} // namespace mimosadale::harness
