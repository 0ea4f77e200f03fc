// A test double of a plain service that counts its executions.
#ifndef MIMOSADALE_STANDIN_SERVICE_H
#define MIMOSADALE_STANDIN_SERVICE_H

#include "net/server.h"
#include "standin/faults.h"

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace mimosadale::standin {

/// Executes every request and counts it under its idempotency key.
/// `GET /standin/executions` returns the counts.
///
/// `POST /standin/faults` injects faults: `delay_ms`, `fill` (bytes of padding
/// in each response) and, each for a number of requests, `reset_after` (the
/// request is executed, then the connection closes without a response) and
/// `not_run` (the response says that the request was not executed).
///
/// \par Thread safety
/// Safe from any thread.
class Service {
public:
  explicit Service(std::string Name) : m_Name(std::move(Name)) {}

  /// Answers one request.
  boost::asio::awaitable<void> handle(net::HttpExchange &Exchange);

private:
  net::HttpResponse executionsResponse();
  std::uint64_t execute(const net::HttpRequest &Request);
  net::HttpResponse executionResponse(std::uint64_t Execution,
                                      const std::string &Echo) const;

  std::string m_Name;
  Faults m_Faults;
  std::mutex m_Mutex;
  std::map<std::string, std::uint64_t> m_Executions;
  std::uint64_t m_Total = 0;
};

} // namespace mimosadale::standin

#endif
