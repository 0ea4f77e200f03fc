// HTTP messages as plain structs, so that other packages do not include Beast.
#ifndef MIMOSADALE_NET_HTTP_H
#define MIMOSADALE_NET_HTTP_H

#include "base/error.h"

#include <string>
#include <string_view>
#include <vector>

namespace mimosadale::net {

struct HttpHeader {
  std::string m_Name;
  std::string m_Value;
};

struct HttpRequest {
  std::string m_Method = "GET";
  std::string m_Target = "/";
  std::vector<HttpHeader> m_Headers;
  std::string m_Body;
};

struct HttpResponse {
  unsigned m_Status = 200;
  std::vector<HttpHeader> m_Headers;
  std::string m_Body;
};

/// The value of the first header \p Name, compared case-insensitively; empty if
/// there is none. Safe from any thread. Source: RFC 9110, section 5.1.
std::string findHeader(const std::vector<HttpHeader> &Headers,
                       std::string_view Name);

/// The phases of an exchange.
enum class Phase { Connect, Write, Read };

/// Thrown when an exchange fails before a complete response was received.
class NetError : public Error {
public:
  /// \param FailedPhase the phase that failed.
  /// \param TimedOut whether the exchange timed out, rather than failed with
  /// another error.
  NetError(Phase FailedPhase, bool TimedOut, const std::string &Message)
      : Error(Message), m_Phase(FailedPhase), m_TimedOut(TimedOut) {}

  /// The phase that failed. Only `Connect` guarantees that no byte was sent.
  Phase phase() const { return m_Phase; }

  bool timedOut() const { return m_TimedOut; }

private:
  Phase m_Phase;
  bool m_TimedOut;
};

/// Thrown when a response exceeds a size limit: it may have no end.
class OversizeError : public NetError {
public:
  explicit OversizeError(const std::string &Message)
      : NetError(Phase::Read, false, Message) {}
};

/// Thrown when the bytes that were received are no response. They state nothing
/// about the request, and the server itself is at fault.
class InvalidResponseError : public NetError {
public:
  explicit InvalidResponseError(const std::string &Message)
      : NetError(Phase::Read, false, "invalid response: " + Message) {}
};

struct Address {
  std::string m_Ip;
  unsigned short m_Port = 0;
};

/// Parses `ip:port` or `[ip6]:port`. \throws Error that names the allowed form.
/// Safe from any thread.
Address parseAddress(const std::string &Text);

} // namespace mimosadale::net

#endif
