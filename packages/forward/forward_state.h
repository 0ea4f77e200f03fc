// What the parts of a forwarding router share.
#ifndef MIMOSADALE_FORWARD_FORWARD_STATE_H
#define MIMOSADALE_FORWARD_FORWARD_STATE_H

#include "decide/chain_router.h"
#include "decide/fleet.h"
#include "decide/load_digest.h"
#include "decide/reader_chooser.h"
#include "decide/report_schedule.h"
#include "decide/retry_budget.h"
#include "decide/route_table.h"
#include "decide/row_cache.h"
#include "decide/stop_policy.h"
#include "net/client.h"
#include "net/upstream.h"
#include "platform/own_rows_codec.h"
#include "platform/request_headers.h"
#include "platform/store_client.h"
#include "router/metrics.h"
#include "schema/generated/settings.pb.h"

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <set>

namespace mimosadale::forward {

class ForwardCall;

/// Routers that are taken to share the budgets until their table was read: the
/// largest fleet that is planned for.
constexpr std::size_t MostRouters = 340;

/// Time that another router may take for its answer, beyond what it was asked
/// to wait: many times the way between data centres.
constexpr Duration RouterAnswerTime = std::chrono::milliseconds(300);

/// The tables, clients and settings of one forwarding router.
///
/// \par Thread safety
/// None: everything of a forwarding router runs in one thread, since its host
/// gives it a part of one core (docs/design/forwarding.md).
class ForwardState {
public:
  ForwardState(boost::asio::io_context &Io, schema::ForwardSettings Settings);

  /// The chains of \p Service as the fleet is now; null for a plain service.
  const decide::ChainRouter *chainsOf(const ServiceId &Service);

  /// The retry budget of \p Service.
  decide::WindowedRetryBudget &budgetOf(const ServiceId &Service);

  /// Whether configuration and registry were read, so that requests can be
  /// served.
  bool ready() const { return m_Routes.current() && m_RegistryRead; }

  /// The pause between two reads of the registry while it changes.
  Duration registryPause() const {
    return decide::registryPause(m_RoutersRead ? m_Routers : 1);
  }

  /// Distrusts an endpoint and logs it, if that is news.
  void suspect(const EndpointId &Endpoint, const std::string &Why);

  /// Trusts it again, likewise. \param Why what showed that it is there.
  void trust(const EndpointId &Endpoint, const std::string &Why);

  /// How the engines are asked for their loads.
  decide::Askers askers(Instant Now) const;

  /// Takes what an answer of \p From says of the endpoint itself, whatever was
  /// asked.
  void onAnswer(const EndpointId &From, const platform::ResponseHeaders &Told);

  static Instant now() { return std::chrono::steady_clock::now(); }

  boost::asio::io_context &m_Io;
  schema::ForwardSettings m_Settings;
  router::Metrics m_Metrics;
  net::HttpClient m_Client; // store and reports
  std::shared_ptr<net::UpstreamPool> m_Pool;
  platform::StoreClient m_Store;
  decide::RouteTableHolder m_Routes;
  decide::Fleet m_Fleet;
  decide::Random m_Random;
  const Instant m_Begun = now();
  bool m_RegistryRead = false;
  bool m_Stopping = false;
  Instant m_StopAt{}; // when requests in progress are left, once it stops
  decide::StreamPace m_Pace;
  std::size_t m_Routers = MostRouters; // that share budgets with this one
  bool m_RoutersRead = false;
  std::map<std::string, platform::RouterRecord> m_RouterPlaces; // by name
  decide::ReaderChooser m_Readers;
  decide::LoadSource m_Loads;

  /// Routers that come first for the lease, one after the other; the rest come
  /// last. `m_OrderRank` is this router's place, `OrderRanks` for the rest.
  static constexpr std::size_t OrderRanks = 3;
  std::size_t m_OrderRank = OrderRanks;

  // Requests in progress. Their coroutines may be destroyed with the I/O
  // context, after this object, so each holds the set itself.
  std::shared_ptr<std::set<ForwardCall *>> m_Calls =
      std::make_shared<std::set<ForwardCall *>>();
  std::set<EndpointId> m_Accused; // named in refusals since the last check
  std::vector<EndpointId> m_UnderOrder; // whose reports orders wait for

private:
  struct Chains {
    decide::ChainRouter m_Router;
    std::uint64_t m_Fleet = 0;   // revision that it was built from
    std::uint64_t m_Version = 0; // of the configuration
  };

  std::map<ServiceId, Chains> m_Chains;
  std::map<ServiceId, decide::WindowedRetryBudget> m_Budgets;
};

} // namespace mimosadale::forward

#endif
