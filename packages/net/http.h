// Plain HTTP messages, so that Beast's headers stay inside packages/net.
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

/// The value of the header \p Name, compared without case; empty when absent.
/// Safe from any thread. Source: RFC 9110, section 5.1.
std::string findHeader(const std::vector<HttpHeader> &Headers,
                       std::string_view Name);

/// How far an exchange came before it failed.
enum class Phase { Connect, Write, Read };

/// An exchange that brought no whole response.
class NetError : public Error {
public:
  /// \param How the phase that failed.
  /// \param TimedOut whether its time ran out rather than an error being seen.
  NetError(Phase FailedPhase, bool TimedOut, const std::string &Message)
      : Error(Message), m_Phase(FailedPhase), m_TimedOut(TimedOut) {}

  /// The phase that failed; only `Connect` proves that no byte was sent.
  Phase phase() const { return m_Phase; }

  /// Whether the time ran out. Safe from any thread.
  bool timedOut() const { return m_TimedOut; }

private:
  Phase m_Phase;
  bool m_TimedOut;
};

/// An IP address and a port.
struct Address {
  std::string m_Ip;
  unsigned short m_Port = 0;
};

/// Parses `ip:port` or `[ip6]:port`. \throws Error naming the allowed form.
/// Safe from any thread.
Address parseAddress(const std::string &Text);

} // namespace mimosadale::net

#endif
