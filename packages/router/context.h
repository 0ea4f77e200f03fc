// State shared by the components of one router.
#ifndef MIMOSADALE_ROUTER_CONTEXT_H
#define MIMOSADALE_ROUTER_CONTEXT_H

#include "base/id.h"
#include "base/units.h"
#include "net/client.h"
#include "router/config_table.h"
#include "router/endpoint_table.h"
#include "router/metrics.h"
#include "router/request_table.h"
#include "schema/generated/settings.pb.h"
#include "store/config_store.h"
#include "store/objects.h"
#include "store/table.h"

#include <atomic>
#include <boost/asio/any_io_executor.hpp>
#include <string>

namespace mimosadale::router {

/// Tables, clients and settings that the components of one router share.
///
/// \par Thread safety
/// Every member is safe from any thread.
class Context {
public:
  Context(const boost::asio::any_io_executor &Executor,
          schema::NodeSettings Settings, Incarnation OwnIncarnation);

  /// \returns a new request id, unique across routers and restarts.
  std::string newRequestId();

  /// \returns the random generator of the calling thread. Decision code takes
  /// it as an argument.
  static decide::Random &random();

  /// \returns the monotonic time. Decision code takes it as an argument.
  static Instant now() { return std::chrono::steady_clock::now(); }

  const boost::asio::any_io_executor m_Executor;
  const schema::NodeSettings m_Settings;
  const Incarnation m_Incarnation;
  Metrics m_Metrics;
  ConfigTable m_Config;
  EndpointTable m_Endpoints;
  RequestTable m_Requests;
  net::HttpClient m_Client;
  store::TableClient m_Table;
  store::ObjectClient m_Objects;
  store::ConfigStore m_ConfigStore;
  std::atomic<bool> m_Draining = false;

private:
  std::atomic<std::uint64_t> m_RequestCount = 0;
};

/// \returns the timeout of a request: the header `Mimosadale-Timeout-Ms`, or
/// the setting `limits.request_timeout_ms`, which is also the upper bound.
/// \throws Error naming the allowed range.
Duration requestTimeout(const Context &Ctx,
                        const std::vector<net::HttpHeader> &Headers);

} // namespace mimosadale::router

#endif
