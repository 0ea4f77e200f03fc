#include "forward/hand_over.h"

#include <boost/beast/core/string.hpp>
#include <charconv>

namespace mimosadale::forward {

namespace {

constexpr const char *HandedOverHeader = "Mimosadale-Handed-Over";
constexpr const char *ConfigVersionHeader = "Mimosadale-Config-Version";
constexpr const char *ServiceHeader = "Mimosadale-Service";
constexpr const char *HandedBackHeader = "Mimosadale-Handed-Back";
constexpr const char *HandBackCauseHeader = "Mimosadale-Hand-Back-Cause";

// Values of the header above; routers of an older version state none.
constexpr const char *EndpointCause = "endpoint";
constexpr const char *RouterCause = "router";
constexpr const char *ConfigurationCause = "configuration";

// Follows the number in the mark of a request that no router has counted yet.
constexpr const char *NotCountedSuffix = ";not-counted";

void dropHeader(std::vector<net::HttpHeader> &Headers, const char *Name) {
  std::erase_if(Headers, [Name](const net::HttpHeader &Header) {
    return boost::beast::iequals(Header.m_Name, Name);
  });
}

template <typename Number = unsigned>
std::optional<Number> parseCount(const std::vector<net::HttpHeader> &Headers,
                                 const char *Name) {
  const std::string Text = net::findHeader(Headers, Name);
  if (Text.empty())
    return std::nullopt;
  Number Count = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Count);
  return Count;
}

const char *causeName(decide::HandBackCause Cause) {
  switch (Cause) {
  case decide::HandBackCause::Endpoint:
    return EndpointCause;
  case decide::HandBackCause::Router:
    return RouterCause;
  case decide::HandBackCause::Configuration:
    return ConfigurationCause;
  }
  return EndpointCause;
}

} // namespace

void markHandedOver(net::HttpRequest &Request, const HandOverMark &Mark) {
  dropHandedOver(Request);
  Request.m_Headers.push_back(
      {HandedOverHeader, std::to_string(Mark.m_EndpointsLeft) +
                             (Mark.m_IsCounted ? "" : NotCountedSuffix)});
  if (Mark.m_ConfigVersion > 0)
    Request.m_Headers.push_back(
        {ConfigVersionHeader, std::to_string(Mark.m_ConfigVersion)});
  if (!Mark.m_Service.empty())
    Request.m_Headers.push_back({ServiceHeader, Mark.m_Service.str()});
}

void dropHandedOver(net::HttpRequest &Request) {
  for (const char *Name :
       {HandedOverHeader, ConfigVersionHeader, ServiceHeader})
    dropHeader(Request.m_Headers, Name);
}

std::optional<HandOverMark> parseHandedOver(const net::HttpRequest &Request) {
  const std::optional<unsigned> Left =
      parseCount(Request.m_Headers, HandedOverHeader);
  if (!Left)
    return std::nullopt;
  HandOverMark Mark;
  Mark.m_EndpointsLeft = *Left;
  Mark.m_IsCounted = !net::findHeader(Request.m_Headers, HandedOverHeader)
                          .ends_with(NotCountedSuffix);
  Mark.m_ConfigVersion =
      parseCount<std::uint64_t>(Request.m_Headers, ConfigVersionHeader)
          .value_or(0);
  Mark.m_Service = ServiceId(net::findHeader(Request.m_Headers, ServiceHeader));
  return Mark;
}

void markHandedBack(net::HttpResponse &Refusal, unsigned Sends,
                    decide::HandBackCause Cause) {
  Refusal.m_Headers.push_back({HandedBackHeader, std::to_string(Sends)});
  Refusal.m_Headers.push_back({HandBackCauseHeader, causeName(Cause)});
}

decide::HandBackCause parseHandBackCause(const net::HttpResponse &Answer) {
  const std::string Name =
      net::findHeader(Answer.m_Headers, HandBackCauseHeader);
  for (const auto Cause :
       {decide::HandBackCause::Router, decide::HandBackCause::Configuration})
    if (Name == causeName(Cause))
      return Cause;
  return decide::HandBackCause::Endpoint;
}

std::optional<unsigned> parseHandedBack(const net::HttpResponse &Answer) {
  return parseCount(Answer.m_Headers, HandedBackHeader);
}

void dropHandedBack(net::HttpResponse &Answer) {
  dropHeader(Answer.m_Headers, HandedBackHeader);
  dropHeader(Answer.m_Headers, HandBackCauseHeader);
}

} // namespace mimosadale::forward
