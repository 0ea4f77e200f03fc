// A forwarding router, as a process, before a stand-in of the platform.
#ifndef MIMOSADALE_TESTS_FORWARD_ROUTER_H
#define MIMOSADALE_TESTS_FORWARD_ROUTER_H

#include "harness/harness.h"
#include "platform/estate.h"

#include <filesystem>
#include <memory>
#include <string>

namespace mimosadale::tests {

/// Retries that no test runs out of.
inline const std::string PlentyRetries = "slack = 200\nwindow_seconds = 1\n";

/// One router with free ports, which it keeps over restarts. Ends with the
/// object.
///
/// \par Thread safety
/// None, except `callers()`.
class ForwardRouter {
public:
  /// \param Listener the listener of the store that it uses. \pre One thread
  /// makes all of them.
  explicit ForwardRouter(const Estate &Of, const std::string &Name = "r1",
                         const std::string &Retries = PlentyRetries,
                         std::size_t Listener = 0);
  ~ForwardRouter();

  const std::string &callers() const { return m_Callers; }
  const std::string &metrics() const { return m_Metrics; }
  harness::Process &process() { return *m_Process; }
  /// The status that the platform's balancer gets.
  unsigned readiness();
  /// What it wrote since its last start.
  std::string log() const;
  /// Starts it again under its addresses. \pre It has ended.
  void start();

private:
  std::string m_Name;
  std::filesystem::path m_Directory;
  std::string m_Callers = harness::freeAddress();
  std::string m_Readiness = harness::freeAddress();
  std::string m_Metrics = harness::freeAddress();
  std::string m_Peers = harness::freeAddress();
  std::unique_ptr<harness::Process> m_Process;
};

/// Headers of a request with this id, for a stream of \p Answer events.
harness::Headers headers(const std::string &Request,
                         const std::string &Key = "key", unsigned Answer = 40);

} // namespace mimosadale::tests

#endif
