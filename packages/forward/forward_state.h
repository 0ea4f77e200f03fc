// State shared by the components of a forwarding router.
#ifndef MIMOSADALE_FORWARD_FORWARD_STATE_H
#define MIMOSADALE_FORWARD_FORWARD_STATE_H

#include "decide/answer_memory.h"
#include "decide/chain_router.h"
#include "decide/crash_suspects.h"
#include "decide/event_interval.h"
#include "decide/fleet.h"
#include "decide/load_digest.h"
#include "decide/own_reach.h"
#include "decide/peer_chooser.h"
#include "decide/reader_chooser.h"
#include "decide/report_schedule.h"
#include "decide/request_limits.h"
#include "decide/retry_budget.h"
#include "decide/route_table.h"
#include "decide/row_cache.h"
#include "decide/stop_policy.h"
#include "net/client.h"
#include "net/upstream.h"
#include "platform/request_headers.h"
#include "platform/router_rows_codec.h"
#include "platform/store_client.h"
#include "router/metrics.h"
#include "schema/generated/settings.pb.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>

namespace mimosadale::forward {

class ForwardCall;

/// Number of routers assumed to share the retry budgets until the router table
/// has been read: the largest supported fleet.
constexpr std::size_t MaxRouters = 340;

/// Time limit of another router's answer, beyond the wait that it was asked
/// for: many times the latency between data centres.
constexpr Duration PeerTimeout = std::chrono::milliseconds(300);

/// The tables, clients and settings of one forwarding router.
///
/// \par Thread safety
/// None: a forwarding router runs in a single thread, since its host gives it a
/// fraction of one core (docs/design/forwarding.md).
class ForwardState {
public:
  ForwardState(boost::asio::io_context &Io, schema::ForwardSettings Settings);

  /// The chains of \p Service for the current fleet; null for a plain service.
  const decide::ChainRouter *chainsOf(const ServiceId &Service);

  decide::WindowedRetryBudget &retryBudgetOf(const ServiceId &Service);

  /// Whether configuration and registry have been read, and the blocked marks
  /// been asked for, so that requests can be served.
  bool ready() const {
    return m_Routes.current() && m_RegistryRead && m_BlocksAsked;
  }

  /// Interval between two reads of the registry while it changes.
  Duration registryInterval() const {
    return decide::registryInterval(m_RoutersRead ? m_RouterCount : 1);
  }

  /// Marks an endpoint as suspect; logs it if it was not before.
  void suspect(const EndpointId &Endpoint, const std::string &Reason);

  /// \p Endpoint answered over a new connection, or one that was kept.
  void onConnectionAnswered(const EndpointId &Endpoint, bool Kept);

  /// Events of a stream arrived from \p Endpoint.
  void onEvents(const EndpointId &Endpoint);

  /// A stream on the chain that begins at \p First has shown this interval
  /// between two events.
  void onEventInterval(const EndpointId &First, Duration Interval);

  /// An interval between events that this chain rarely exceeds; zero if none is
  /// known.
  Duration eventIntervalBound(const EndpointId &First) const;

  /// A call to \p Endpoint failed in \p Where: while connecting, or later.
  void onUnreached(const EndpointId &Endpoint, net::Phase Where);

  /// Another router reaches \p Endpoint.
  void onReachedElsewhere(const EndpointId &Endpoint);

  /// Whether this router suspects an endpoint of \p Service that another one
  /// may reach.
  bool suspectsSome(const ServiceId &Service) const;

  /// Clears a suspicion; logs it if there was one.
  /// \param Reason what showed that the endpoint responds.
  void trust(const EndpointId &Endpoint, const std::string &Reason);

  /// An answer of \p Endpoint exceeded its size limit: it may have no end.
  void onOversizeAnswer(const EndpointId &Endpoint, const std::string &Detail);

  /// What an endpoint was called for.
  enum class CallPurpose { Request, PollOrOrder };

  /// What \p Endpoint sent is no answer. It shows neither that the endpoint has
  /// crashed nor that it is out of reach; one that sends several to requests in
  /// a row is suspect.
  void onInvalidAnswer(const EndpointId &Endpoint, CallPurpose Purpose,
                       const std::string &Detail);

  /// Returns how the routers of this data centre share the polling of engines.
  decide::PollingRole pollingRole(Instant Now) const;

  /// Applies what an answer of \p From states about the endpoint itself.
  /// \param SentAt when the call was sent.
  void onAnswer(const EndpointId &From,
                const platform::ResponseHeaders &Headers, CallPurpose Purpose,
                Instant SentAt);

  /// A request, poll or order is being sent to \p To.
  void onSent(const EndpointId &To);

  /// Updates when limited endpoints admit requests. \pre Called several times a
  /// second.
  void updateAdmissions(Instant Now);

  /// The endpoints of \p Service that would be sent requests directly, but
  /// whose limits leave this router no room now. Counts the request as demand
  /// there.
  std::vector<EndpointId> turnAway(const ServiceId &Service, Instant Now);

  /// Whether limits alone keep all endpoints of \p Service from taking a
  /// request, apart from those in \p Avoided.
  bool onlyLimitsRefuse(const ServiceId &Service,
                        const decide::EndpointSet &Avoided, Instant Now);

  /// The connection to \p Endpoint broke before an answer to \p Request had
  /// ended or gone on for long: its marks are suspected if the endpoint
  /// crashed.
  struct BrokenRequest {
    decide::RequestMarks m_Marks;
    Instant m_SentAt{};
    bool m_Begun = false; // its answer had gone on after its first event
  };
  void onBroken(const EndpointId &Endpoint, BrokenRequest Request);

  /// \p Endpoint does not respond: it has crashed, if connections to it broke
  /// before.
  void onNoResponse(const EndpointId &Endpoint);

  /// \p Endpoint responds: connections to it broke for another reason, unless
  /// it was started again since.
  void onResponded(const EndpointId &Endpoint);

  /// Who found out what became of marks.
  enum class SeenBy { Self, Other, Store };

  /// Logs what became of marks, has it told to other routers and written to the
  /// store.
  void onMarksChanged(const std::vector<decide::ChangedMark> &Changes,
                      const std::string &Source, SeenBy Finder = SeenBy::Self);

  /// Logs a change of a limit, counts it and has it told to other routers.
  void onLimitChange(const EndpointId &Endpoint, decide::LimitChange Change,
                     const std::string &Source);

  static Instant now() { return std::chrono::steady_clock::now(); }

  boost::asio::io_context &m_Io;
  schema::ForwardSettings m_Settings;
  router::Metrics m_Metrics;
  net::HttpClient m_Client; // for the store and other routers
  std::shared_ptr<net::UpstreamPool> m_Pool;
  platform::StoreClient m_Store;
  decide::RouteTableHolder m_Routes;
  decide::Fleet m_Fleet;
  decide::Random m_Random;
  const Instant m_StartedAt = now();
  bool m_RegistryRead = false;
  bool m_BlocksAsked = false;    // the store, whether it has answered or not
  decide::StoreEra m_StoreEra{}; // latest that the store or a router stated
  bool m_Draining = false;
  // Requests that arrive later are refused: the listener is closed, and their
  // answers might not be ready in time.
  std::optional<Instant> m_LastArrival;
  Instant m_DrainDeadline{}; // requests still in progress then are abandoned
  decide::StreamTimeEstimator m_StreamTimes;
  // Routers that share the retry budgets, this one included.
  std::size_t m_RouterCount = MaxRouters;
  bool m_RoutersRead = false;
  std::map<std::string, platform::RouterRecord> m_RoutersByName;
  decide::ReaderChooser m_Readers;
  decide::DigestTracker m_LoadSource;
  decide::RequestLimits m_Limits;
  decide::CrashSuspects m_Suspects;
  decide::OwnReach m_Reach;
  decide::PeerChooser m_PeerChooser;
  std::function<void()> m_TellRouters; // they are to hear of a change
  std::function<void(SeenBy Finder)> m_OnBlockChange; // of any mark

  // Connections to an endpoint that broke before an answer had ended, until it
  // is known whether the endpoint crashed.
  struct BrokenConnections {
    Instant m_At{};                // the first one
    std::uint64_t m_StartedMs = 0; // of the endpoint
    std::vector<BrokenRequest> m_Requests;
    std::size_t m_MarkCount = 0; // of all that were added or left out
  };
  std::map<EndpointId, BrokenConnections> m_BrokenAt;

  /// Number of routers that try to acquire the lease in a fixed order; all
  /// others try after them. `m_LeaseRank` is this router's position,
  /// `LeaseRanks` for the others.
  static constexpr std::size_t LeaseRanks = 3;
  std::size_t m_LeaseRank = LeaseRanks;

  // Requests in progress. Their coroutines may be destroyed with the I/O
  // context, after this object, so each shares ownership of the set.
  std::shared_ptr<std::set<ForwardCall *>> m_Calls =
      std::make_shared<std::set<ForwardCall *>>();

  // Answers that are read into memory as a whole. Shared for the same reason.
  std::shared_ptr<decide::AnswerMemory> m_AnswerMemory =
      std::make_shared<decide::AnswerMemory>();

  // Engines named in refusals since the last poll.
  std::set<EndpointId> m_RefusingEngines;
  // Engines with an order of this router in progress.
  std::vector<EndpointId> m_OrderedEngines;

private:
  void logReach(bool CutOffBefore) const;

  struct ChainCache {
    decide::ChainRouter m_Router;
    // What the chains were built from.
    std::uint64_t m_FleetRevision = 0;
    std::uint64_t m_ConfigVersion = 0;
  };

  std::map<ServiceId, ChainCache> m_Chains;
  std::map<ServiceId, decide::WindowedRetryBudget> m_Budgets;
  std::map<EndpointId, decide::EventInterval>
      m_EventIntervals; // by first engine
};

} // namespace mimosadale::forward

#endif
