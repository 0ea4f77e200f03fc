// What every part of a router shares.
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

/// The shared tables, clients and settings of one router.
///
/// \par Thread safety
/// Every member is safe from any thread.
class Context {
public:
  Context(const boost::asio::any_io_executor &Executor,
          schema::NodeSettings Settings, Incarnation OwnIncarnation);

  /// A new name, unique over all routers and restarts.
  std::string newRequestId();

  /// Random draws of the calling thread; decisions get them as an argument.
  static decide::Random &random();

  /// The monotonic clock that decisions are given. \pre None.
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

/// The time that a caller gives its request: the header
/// `Mimosadale-Timeout-Ms`, or the setting. \throws Error naming what is
/// allowed.
Duration requestTimeout(const Context &Shared,
                        const std::vector<net::HttpHeader> &Headers);

} // namespace mimosadale::router

#endif
