// A stand-in for the platform: table service, object store and host list.
#ifndef MIMOSADALE_STANDIN_PLATFORM_H
#define MIMOSADALE_STANDIN_PLATFORM_H

#include "net/server.h"
#include "standin/faults.h"

#include <chrono>
#include <map>
#include <mutex>
#include <string>

namespace mimosadale::standin {

/// Serves docs/protocols/platform.md. Faults: `down` (every call fails),
/// `delay_ms`, `hold` (commits wait while it is set), `lose_before` and
/// `lose_after` (so many commits whose answer is lost before or after the
/// effect), `writes_per_second`.
///
/// \par Thread safety
/// Safe from any thread.
class Platform {
public:
  /// Answers one request. \pre None.
  boost::asio::awaitable<void> handle(net::HttpExchange &Exchange);

private:
  struct Row {
    std::uint64_t m_Version = 0;
    std::string m_Value; // base64, as it came
  };

  net::HttpResponse serve(const net::HttpRequest &Request);
  net::HttpResponse transact(const std::string &Body);
  net::HttpResponse readRows(const std::string &Target);
  net::HttpResponse serveObject(const net::HttpRequest &Request);
  net::HttpResponse statsResponse();
  bool exceedsWriteRate();

  Faults m_Faults;
  std::mutex m_Mutex;
  std::map<std::string, Row> m_Rows;
  std::map<std::string, std::string> m_Objects;
  std::string m_Hosts = "{\"hosts\":[]}";
  std::uint64_t m_Version = 0;
  std::uint64_t m_Transactions = 0;
  std::uint64_t m_RowWrites = 0;
  std::uint64_t m_Reads = 0;
  std::uint64_t m_RateLimited = 0;
  double m_WriteTokens = 0;
  std::chrono::steady_clock::time_point m_LastRefill{};
};

} // namespace mimosadale::standin

#endif
