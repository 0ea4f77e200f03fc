// Reads heads of responses, for both clients of this package: what is no
// response to the one is none to the other.
#ifndef MIMOSADALE_NET_RESPONSE_HEAD_H
#define MIMOSADALE_NET_RESPONSE_HEAD_H

#include "net/http.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/http.hpp>
#include <boost/optional/optional.hpp>
#include <cstdint>
#include <optional>
#include <string_view>

namespace mimosadale::net {

/// Size of one read of a head.
constexpr std::size_t MaxReadBytes = 65536;

/// Checks the head of a response to a request that asks for no other protocol
/// and no transfer coding. Safe from any thread. \returns whether the response
/// is an interim one, which another one follows. \throws InvalidResponseError.
/// Source: RFC 9110, sections 8.6 and 15; RFC 9112, section 6.1.
bool isInterim(const boost::beast::http::response_header<> &Head);

/// Whether a line of a head, or of a part of it that begins with a line, is
/// continued on the next one. Safe from any thread. Source: RFC 9112, section
/// 5.2.
bool hasFoldedLine(std::string_view Head);

/// Reads a head from \p From into \p Parser. Throws and is safe as the function
/// below.
template <typename Stream, typename Parser>
boost::asio::awaitable<void>
parseHead(Stream &From, boost::beast::flat_buffer &Buffer, Parser &Into) {
  namespace http = boost::beast::http;
  boost::system::error_code Code;
  Into.eager(false);
  while (true) {
    if (Buffer.size() > 0) {
      const auto Bytes = Buffer.cdata();
      const std::size_t Parsed = Into.put(Bytes, Code);
      // The parser joins the lines of a folded one.
      if (hasFoldedLine({static_cast<const char *>(Bytes.data()), Parsed}))
        throw InvalidResponseError("folded line");
      Buffer.consume(Parsed);
      if (Code == http::error::header_limit || Code == http::error::body_limit)
        throw boost::system::system_error(Code);
      if (Code && Code != http::error::need_more)
        throw InvalidResponseError(Code.message());
      if (Into.is_header_done())
        co_return;
    }
    const std::size_t Size = boost::beast::read_size(Buffer, MaxReadBytes);
    if (Size == 0)
      throw boost::system::system_error(
          make_error_code(http::error::buffer_overflow));
    const std::size_t Received = co_await From.async_read_some(
        Buffer.prepare(Size),
        boost::asio::redirect_error(boost::asio::use_awaitable, Code));
    Buffer.commit(Received);
    if (Code)
      throw boost::system::system_error(Code);
  }
}

/// Interim responses that are skipped; one more fails the exchange.
constexpr unsigned MaxInterimResponses = 2;

/// Reads a response from \p From into \p Parser, up to the end of its head, and
/// skips the interim ones before it. Bytes that were read beyond it stay in
/// \p Buffer. Safe from the thread or strand of \p From.
/// \param BodyLimit in bytes; none for a body of any length.
/// \throws boost::system::system_error, an InvalidResponseError, or an
/// OversizeError for interim responses without end.
template <typename Stream, typename Body>
boost::asio::awaitable<void> readResponseHead(
    Stream &From, boost::beast::flat_buffer &Buffer,
    std::optional<boost::beast::http::response_parser<Body>> &Parser,
    boost::optional<std::uint64_t> BodyLimit) {
  for (unsigned Interim = 0; Interim <= MaxInterimResponses; ++Interim) {
    Parser.emplace();
    Parser->body_limit(BodyLimit);
    co_await parseHead(From, Buffer, *Parser);
    if (!isInterim(Parser->get()))
      co_return;
  }
  throw OversizeError("interim responses without end");
}

} // namespace mimosadale::net

#endif
