#include "net/response_head.h"

#include <boost/beast/core/string.hpp>

namespace mimosadale::net {

namespace http = boost::beast::http;
using http::field;

namespace {

// The classes of statuses are named by their first digit.
constexpr unsigned StatusesPerClass = 100;
constexpr unsigned InterimClass = 1;
constexpr unsigned LastClass = 5;

constexpr unsigned SwitchingProtocols = 101;
constexpr unsigned NoContent = 204;

} // namespace

bool isInterim(const http::response_header<> &Head) {
  const unsigned Status = Head.result_int();
  const unsigned Class = Status / StatusesPerClass;
  if (Class < InterimClass || Class > LastClass || Status == SwitchingProtocols)
    throw InvalidResponseError("status " + std::to_string(Status));
  const auto Codings = Head.count(field::transfer_encoding);
  const bool AnnouncesBody =
      Codings > 0 || (Head.count(field::content_length) > 0 &&
                      Head[field::content_length] != "0");
  if (AnnouncesBody && (Class == InterimClass || Status == NoContent))
    throw InvalidResponseError("status " + std::to_string(Status) +
                               " with a body");
  // The parser takes a body in any other coding for the decoded one.
  if (Codings > 1 ||
      (Codings == 1 &&
       !boost::beast::iequals(Head[field::transfer_encoding], "chunked")))
    throw InvalidResponseError("transfer coding");
  return Class == InterimClass;
}

bool hasFoldedLine(std::string_view Head) {
  return Head.find("\r\n ") != std::string_view::npos ||
         Head.find("\r\n\t") != std::string_view::npos;
}

} // namespace mimosadale::net
