#include "router/node.h"

#include "decide/rendezvous.h"
#include "router/claim_store.h"
#include "router/config_watch.h"
#include "router/context.h"
#include "router/engine_client.h"
#include "router/gateway.h"
#include "router/log.h"
#include "router/operator_rpc.h"
#include "router/peer_link.h"
#include "router/settings.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <csignal>
#include <thread>

namespace mimosadale::router {

namespace asio = boost::asio;

namespace {

// Interval between two checks for endpoints that are due for a probe.
constexpr Duration ProbeInterval = std::chrono::milliseconds(100);

// An endpoint without a response for this long is silent and gets probed.
constexpr Duration SilenceBeforeProbe = std::chrono::seconds(5);

// Time between reporting not ready and closing the listener, in which the load
// balancer directs new requests to other routers.
constexpr Duration BalancerDelay = std::chrono::milliseconds(1500);

// Interval at which changes of endpoint states are sent to the other routers.
constexpr Duration GossipInterval = std::chrono::milliseconds(100);

// Number of routers of a data centre that probe the same silent endpoint.
constexpr std::size_t ProbersPerEndpoint = 2;

constexpr Duration DrainCheckInterval = std::chrono::milliseconds(20);

Incarnation currentIncarnation() {
  const auto SinceEpoch = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<Incarnation>(
      std::chrono::duration_cast<std::chrono::milliseconds>(SinceEpoch)
          .count());
}

net::ServerLimits toServerLimits(const schema::LimitSettings &Settings) {
  net::ServerLimits Limits;
  Limits.m_MaxHeaderBytes = Settings.header_bytes();
  Limits.m_MaxBodyBytes = Settings.body_bytes();
  Limits.m_MaxConnections = Settings.connections();
  Limits.m_ReadTimeout = std::chrono::milliseconds(Settings.read_timeout_ms());
  Limits.m_WriteTimeout = std::chrono::milliseconds(Settings.read_timeout_ms());
  Limits.m_IdleTimeout = std::chrono::milliseconds(Settings.idle_timeout_ms());
  return Limits;
}

asio::awaitable<void> sleepFor(Duration Time) {
  asio::steady_timer Timer(co_await asio::this_coro::executor, Time);
  co_await Timer.async_wait(asio::use_awaitable);
}

} // namespace

class Node::Impl {
public:
  Impl(schema::NodeSettings Settings, ReloadHook Reload)
      : m_Reload(std::move(Reload)),
        m_Context(m_Io.get_executor(), std::move(Settings),
                  currentIncarnation()),
        m_Peers(m_Context), m_Claims(m_Context),
        m_ConfigWatch(m_Context, m_Peers),
        m_Rpc(m_Context, [this] { return m_Peers.statusJson(); }),
        m_Gateway(
            m_Context, m_Claims,
            [this](schema::ClaimRow Row) {
              return m_Peers.queryHolder(std::move(Row));
            },
            [this](const std::string &Request) {
              return m_Rpc.handle(Request);
            },
            [this](const std::string &Body, const std::string &KeyId,
                   const std::string &Mac) {
              return m_Peers.hasValidMac(Body, KeyId, Mac);
            },
            readFile(m_Context.m_Settings.access().token_file())),
        m_CallerServer(makeServer(m_Context.m_Settings.callers(), true)),
        m_OperatorServer(makeServer(m_Context.m_Settings.operators(), false)),
        m_Signals(m_Io, SIGTERM, SIGINT, SIGHUP) {}

  int run() {
    const auto &Settings = m_Context.m_Settings;
    m_CallerServer->start();
    m_OperatorServer->start();
    m_Peers.m_OnEndpointNotes = [this] { applyEndpointNotes(); };
    m_Peers.m_OnNewerGeneration = [this](const schema::PeerRecord &Peer) {
      m_ConfigWatch.onNewerGeneration(Peer);
    };
    m_Peers.start();
    m_ConfigWatch.start();
    spawn([this] { return gossipLoop(); });
    spawn([this] { return probeLoop(); });
    spawn([this] { return signalLoop(); });
    logEvent(schema::INFO, "started",
             {{"name", Settings.name()},
              {"data_centre", Settings.data_centre()},
              {"callers", Settings.callers().address()},
              {"operators", Settings.operators().address()}});
    std::vector<std::jthread> Workers;
    for (std::uint32_t I = 1; I < Settings.workers(); ++I)
      Workers.emplace_back([this] { m_Io.run(); });
    m_Io.run();
    Workers.clear();
    logEvent(schema::INFO, "stopped", {{"name", Settings.name()}});
    return 0;
  }

private:
  template <typename Task> void spawn(Task &&Body) {
    asio::co_spawn(asio::make_strand(m_Io), std::forward<Task>(Body),
                   asio::detached);
  }

  std::unique_ptr<net::HttpServer> makeServer(const schema::Listen &Listen,
                                              bool ForCallers) {
    net::ServerHooks Hooks;
    Hooks.m_Handle = [this, ForCallers](net::HttpExchange &Exchange) {
      return ForCallers ? m_Gateway.handleCaller(Exchange)
                        : m_Gateway.handleOperator(Exchange);
    };
    Hooks.m_MakeRefusal = [this](net::ServerRefusal Refusal) {
      return m_Gateway.serverRefusal(Refusal);
    };
    return std::make_unique<net::HttpServer>(
        m_Io.get_executor(), net::parseAddress(Listen.address()),
        toServerLimits(m_Context.m_Settings.limits()), Hooks,
        net::TlsFiles{Listen.certificate_file(), Listen.key_file()});
  }

  // Applies the endpoint states received from other routers.
  void applyEndpointNotes() {
    const auto Notes = m_Peers.withLock([](decide::Membership &Members) {
      return Members.takeEndpointNotes();
    });
    m_Context.m_Endpoints.withLock([&](decide::EndpointDirectory &Directory) {
      for (const schema::EndpointNote &Note : Notes)
        Directory.onNote(Note, Context::now());
    });
  }

  // Sends changes of endpoint states to the other routers, and sets this
  // router's share of the platform's write rate, which is split evenly between
  // the routers that are alive.
  asio::awaitable<void> gossipLoop() {
    while (true) {
      const auto Changes = m_Context.m_Endpoints.withLock(
          [](decide::EndpointDirectory &Directory) {
            return Directory.takeChanges();
          });
      for (const decide::EndpointChange &Change : Changes)
        m_Peers.send(m_Peers.withLock([&](decide::Membership &Members) {
          return Members.setEndpointNote(Change.m_Endpoint.str(), Change.m_Kind,
                                         Change.m_Set, Change.m_Incarnation);
        }));
      const std::size_t AliveCount =
          m_Peers.withLock([](const decide::Membership &Members) {
            return Members.aliveCount();
          });
      m_Claims.setRate(
          static_cast<double>(
              m_Context.m_Settings.platform().writes_per_second()) /
          static_cast<double>(AliveCount));
      m_Context.m_Metrics.setGauge("routers_alive",
                                   static_cast<double>(AliveCount));
      co_await sleepFor(GossipInterval);
    }
  }

  asio::awaitable<void> probeLoop() {
    while (true) {
      const auto AliveRouters =
          m_Peers.withLock([](const decide::Membership &Members) {
            return Members.aliveInDataCentre();
          });
      const auto DueEndpoints = m_Context.m_Endpoints.withLock(
          [&](decide::EndpointDirectory &Directory) {
            return Directory.takeDueProbes(SilenceBeforeProbe, Context::now(),
                                           [&](const EndpointId &Endpoint) {
                                             return isProberOf(AliveRouters,
                                                               Endpoint.str());
                                           });
          });
      for (const EndpointId &Endpoint : DueEndpoints)
        spawn([this, Endpoint]() -> asio::awaitable<void> {
          EngineClient Client(m_Context);
          co_await Client.probe(Endpoint);
        });
      co_await sleepFor(ProbeInterval);
    }
  }

  // Returns whether this router is one of those that probe \p Endpoint, when
  // it is silent, on behalf of all routers of the data centre.
  bool isProberOf(const std::vector<std::string> &AliveRouters,
                  const std::string &Endpoint) const {
    const auto Probers =
        decide::chooseMembers(AliveRouters, Endpoint, ProbersPerEndpoint);
    return std::find(Probers.begin(), Probers.end(),
                     m_Context.m_Settings.name()) != Probers.end();
  }

  asio::awaitable<void> signalLoop() {
    while (true) {
      const int Signal = co_await m_Signals.async_wait(asio::use_awaitable);
      if (Signal == SIGHUP) {
        reload();
        continue;
      }
      co_await drain();
      m_Io.stop();
      co_return;
    }
  }

  void reload() {
    try {
      const schema::NodeSettings NewSettings = m_Reload();
      configureLog(NewSettings.log(), NewSettings.name());
      m_CallerServer->reloadTls();
      m_OperatorServer->reloadTls();
      logEvent(schema::INFO, "reloaded");
    } catch (const Error &Failure) {
      logEvent(schema::ERROR, "reload_failed", {{"detail", Failure.what()}});
    }
  }

  // Reports not ready at once, but still serves new requests until the load
  // balancer has stopped sending them. Then closes the listener for callers and
  // waits until the requests and claims in progress have ended, at most for the
  // drain timeout.
  asio::awaitable<void> drain() {
    logEvent(schema::INFO, "draining");
    m_Context.m_Draining = true;
    m_Peers.send(m_Peers.withLock(
        [](decide::Membership &Members) { return Members.leave(); }));
    const Instant StartedAt = Context::now();
    const Instant Deadline =
        StartedAt + std::chrono::milliseconds(
                        m_Context.m_Settings.limits().drain_timeout_ms());
    while (Context::now() < std::min(StartedAt + BalancerDelay, Deadline))
      co_await sleepFor(DrainCheckInterval);
    m_CallerServer->stop();
    while (hasWork() && Context::now() < Deadline)
      co_await sleepFor(DrainCheckInterval);
    if (hasWork())
      logEvent(
          schema::WARN, "drain_timeout",
          {{"requests", std::to_string(m_Context.m_Requests.openRequests())},
           {"claims", std::to_string(m_Context.m_Requests.openClaims())}});
    m_OperatorServer->stop();
  }

  bool hasWork() const {
    return m_Context.m_Requests.openRequests() > 0 ||
           m_Context.m_Requests.openClaims() > 0;
  }

  asio::io_context m_Io;
  ReloadHook m_Reload;
  Context m_Context;
  PeerLink m_Peers;
  ClaimStore m_Claims;
  ConfigWatch m_ConfigWatch;
  OperatorRpc m_Rpc;
  Gateway m_Gateway;
  std::unique_ptr<net::HttpServer> m_CallerServer;
  std::unique_ptr<net::HttpServer> m_OperatorServer;
  asio::signal_set m_Signals;
};

Node::Node(schema::NodeSettings Settings, ReloadHook Reload)
    : m_Impl(std::make_unique<Impl>(std::move(Settings), std::move(Reload))) {}

Node::~Node() = default;

int Node::run() { return m_Impl->run(); }

} // namespace mimosadale::router
