// A stand-in plain service that records every execution.
#ifndef MIMOSADALE_STANDIN_SERVICE_H
#define MIMOSADALE_STANDIN_SERVICE_H

#include "net/server.h"
#include "standin/faults.h"

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace mimosadale::standin {

/// Executes whatever it is sent and remembers it. `GET /standin/executions`
/// gives the number of executions by idempotency key; `POST /standin/faults`
/// takes `delay_ms`, `reset_after` (execute, then close without an answer),
/// `not_run` (answer that nothing was done) and `silent`.
///
/// \par Thread safety
/// Safe from any thread.
class Service {
public:
  explicit Service(std::string Name) : m_Name(std::move(Name)) {}

  /// Answers one request. \pre None.
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
