// A forwarding router, as a process, before a stand-in of the platform.
#ifndef MIMOSADALE_TESTS_FORWARD_ROUTER_H
#define MIMOSADALE_TESTS_FORWARD_ROUTER_H

#include "harness/harness.h"
#include "platform/fake_platform.h"

#include <filesystem>
#include <memory>
#include <string>

namespace mimosadale::tests {

/// Retries that no test runs out of.
inline const std::string LargeRetryBudget = "slack = 200\nwindow_seconds = 1\n";

/// One router with free ports, which it keeps over restarts. Ends with the
/// object.
///
/// \par Thread safety
/// None, except `callers()`.
class ForwardRouter {
public:
  /// \param Listener the listener of the store that it uses. \pre One thread
  /// makes all of them.
  explicit ForwardRouter(const FakePlatform &Platform,
                         const std::string &Name = "r1",
                         const std::string &RetrySettings = LargeRetryBudget,
                         std::size_t StoreListener = 0);
  ~ForwardRouter();

  const std::string &callerAddress() const { return m_CallerAddress; }
  const std::string &metricsAddress() const { return m_MetricsAddress; }
  harness::Process &process() { return *m_Process; }
  /// The status that the platform's balancer gets.
  unsigned readinessStatus();
  /// What it wrote since its last start.
  std::string log() const;
  /// Starts it again under its addresses. \pre It has ended.
  void start();

private:
  std::string m_Name;
  std::filesystem::path m_Directory;
  std::string m_CallerAddress = harness::freeAddress();
  std::string m_ReadinessAddress = harness::freeAddress();
  std::string m_MetricsAddress = harness::freeAddress();
  std::string m_PeerAddress = harness::freeAddress();
  std::unique_ptr<harness::Process> m_Process;
};

/// Headers of a request with this id, for a stream of \p Answer events.
harness::Headers requestHeaders(const std::string &RequestId,
                                const std::string &Key = "key",
                                unsigned AnswerEvents = 40);

} // namespace mimosadale::tests

#endif
