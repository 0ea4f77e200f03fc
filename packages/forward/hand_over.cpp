#include "forward/hand_over.h"

#include <boost/beast/core/string.hpp>
#include <charconv>

namespace mimosadale::forward {

namespace {

constexpr const char *HandedOverHeader = "Mimosadale-Handed-Over";
constexpr const char *HandedBackHeader = "Mimosadale-Handed-Back";
constexpr const char *HandBackCauseHeader = "Mimosadale-Hand-Back-Cause";

// Values of the header above; `endpoint` may be left out.
constexpr const char *EndpointCause = "endpoint";
constexpr const char *RouterCause = "router";

// Follows the number in the mark of a request that no router has counted yet.
constexpr const char *NotCountedSuffix = ";not-counted";

void dropHeader(std::vector<net::HttpHeader> &Headers, const char *Name) {
  std::erase_if(Headers, [Name](const net::HttpHeader &Header) {
    return boost::beast::iequals(Header.m_Name, Name);
  });
}

std::optional<unsigned> parseCount(const std::vector<net::HttpHeader> &Headers,
                                   const char *Name) {
  const std::string Text = net::findHeader(Headers, Name);
  if (Text.empty())
    return std::nullopt;
  unsigned Count = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Count);
  return Count;
}

} // namespace

void markHandedOver(net::HttpRequest &Request, const HandOverMark &Mark) {
  dropHeader(Request.m_Headers, HandedOverHeader);
  Request.m_Headers.push_back(
      {HandedOverHeader, std::to_string(Mark.m_EndpointsLeft) +
                             (Mark.m_IsCounted ? "" : NotCountedSuffix)});
}

std::optional<HandOverMark> parseHandedOver(const net::HttpRequest &Request) {
  const std::optional<unsigned> Left =
      parseCount(Request.m_Headers, HandedOverHeader);
  if (!Left)
    return std::nullopt;
  return HandOverMark{*Left,
                      !net::findHeader(Request.m_Headers, HandedOverHeader)
                           .ends_with(NotCountedSuffix)};
}

void markHandedBack(net::HttpResponse &Refusal, unsigned Sends,
                    decide::HandBackCause Cause) {
  Refusal.m_Headers.push_back({HandedBackHeader, std::to_string(Sends)});
  Refusal.m_Headers.push_back(
      {HandBackCauseHeader,
       Cause == decide::HandBackCause::Router ? RouterCause : EndpointCause});
}

decide::HandBackCause parseHandBackCause(const net::HttpResponse &Answer) {
  return net::findHeader(Answer.m_Headers, HandBackCauseHeader) == RouterCause
             ? decide::HandBackCause::Router
             : decide::HandBackCause::Endpoint;
}

std::optional<unsigned> parseHandedBack(const net::HttpResponse &Answer) {
  return parseCount(Answer.m_Headers, HandedBackHeader);
}

void dropHandedBack(net::HttpResponse &Answer) {
  dropHeader(Answer.m_Headers, HandedBackHeader);
  dropHeader(Answer.m_Headers, HandBackCauseHeader);
}

} // namespace mimosadale::forward
