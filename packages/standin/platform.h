// A test double of the platform: table service, object store and host list.
#ifndef MIMOSADALE_STANDIN_PLATFORM_H
#define MIMOSADALE_STANDIN_PLATFORM_H

#include "net/server.h"
#include "standin/faults.h"

#include <chrono>
#include <map>
#include <mutex>
#include <string>

namespace mimosadale::standin {

/// Serves docs/protocols/platform.md.
///
/// `POST /standin/faults` injects faults: `delay_ms`, `down` (every connection
/// is closed without a response), `hold` (transactions wait while it is set),
/// `lose_before` and `lose_after` (number of transactions whose connection is
/// closed before or after they take effect) and `writes_per_second`
/// (transactions above this rate are refused with 429). `/standin/stats`
/// returns counters.
///
/// \par Thread safety
/// Safe from any thread.
class Platform {
public:
  /// Answers one request.
  boost::asio::awaitable<void> handle(net::HttpExchange &Exchange);

private:
  struct Row {
    std::uint64_t m_Version = 0;
    std::string m_Value; // base64
  };

  net::HttpResponse serve(const net::HttpRequest &Request);
  net::HttpResponse transact(const std::string &Body);
  net::HttpResponse readRows(const std::string &Target);
  net::HttpResponse serveObject(const net::HttpRequest &Request);
  net::HttpResponse statsResponse();
  // Takes one transaction from the token bucket of `writes_per_second`.
  // Returns whether the bucket was empty.
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
