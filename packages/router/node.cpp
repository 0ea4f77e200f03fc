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

// Interval at which due probes are sent.
constexpr Duration ProbePause = std::chrono::milliseconds(100);

// An endpoint not heard of for this long is probed.
constexpr Duration QuietTime = std::chrono::seconds(5);

// Time between being not ready and closing the listener, so that the balancer
// has gone elsewhere.
constexpr Duration BalancerTime = std::chrono::milliseconds(1500);

// Interval at which news of endpoints goes to the other routers.
constexpr Duration SharePause = std::chrono::milliseconds(100);

// Routers of a data centre that probe a quiet endpoint.
constexpr std::size_t Watchers = 2;

constexpr Duration DrainCheckPause = std::chrono::milliseconds(20);

Incarnation startedNow() {
  const auto Wall = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<Incarnation>(
      std::chrono::duration_cast<std::chrono::milliseconds>(Wall).count());
}

net::ServerLimits serverLimits(const schema::LimitSettings &From) {
  net::ServerLimits Limits;
  Limits.m_MaxHeaderBytes = From.header_bytes();
  Limits.m_MaxBodyBytes = From.body_bytes();
  Limits.m_MaxConnections = From.connections();
  Limits.m_ReadTimeout = std::chrono::milliseconds(From.read_timeout_ms());
  Limits.m_WriteTimeout = std::chrono::milliseconds(From.read_timeout_ms());
  Limits.m_IdleTimeout = std::chrono::milliseconds(From.idle_timeout_ms());
  return Limits;
}

asio::awaitable<void> pause(Duration Time) {
  asio::steady_timer Timer(co_await asio::this_coro::executor, Time);
  co_await Timer.async_wait(asio::use_awaitable);
}

} // namespace

class Node::Parts {
public:
  Parts(schema::NodeSettings Settings, ReloadHook Reload)
      : m_Reload(std::move(Reload)),
        m_Shared(m_Io.get_executor(), std::move(Settings), startedNow()),
        m_Peers(m_Shared), m_Claims(m_Shared), m_Watch(m_Shared, m_Peers),
        m_Rpc(m_Shared, [this] { return m_Peers.report(); }),
        m_Gateway(
            m_Shared, m_Claims,
            [this](schema::ClaimRow Row) {
              return m_Peers.askHolder(std::move(Row));
            },
            [this](const std::string &Request) {
              return m_Rpc.handle(Request);
            },
            [this](const std::string &Body, const std::string &KeyId,
                   const std::string &Mac) {
              return m_Peers.sealed(Body, KeyId, Mac);
            },
            readFile(m_Shared.m_Settings.access().token_file())),
        m_Callers(makeServer(m_Shared.m_Settings.callers(), true)),
        m_Operators(makeServer(m_Shared.m_Settings.operators(), false)),
        m_Signals(m_Io, SIGTERM, SIGINT, SIGHUP) {}

  int run() {
    const auto &Settings = m_Shared.m_Settings;
    m_Callers->start();
    m_Operators->start();
    m_Peers.m_OnNotes = [this] { takeNotes(); };
    m_Peers.m_OnNewer = [this](const schema::PeerRecord &Peer) {
      m_Watch.onNewer(Peer);
    };
    m_Peers.start();
    m_Watch.start();
    start([this] { return shareLoop(); });
    start([this] { return probeLoop(); });
    start([this] { return signalLoop(); });
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
  template <typename Task> void start(Task &&Run) {
    asio::co_spawn(asio::make_strand(m_Io), std::forward<Task>(Run),
                   asio::detached);
  }

  std::unique_ptr<net::HttpServer> makeServer(const schema::Listen &Listen,
                                              bool ForCallers) {
    net::ServerHooks Hooks;
    Hooks.m_Handle = [this, ForCallers](net::HttpExchange &Exchange) {
      return ForCallers ? m_Gateway.handleCaller(Exchange)
                        : m_Gateway.handleOperator(Exchange);
    };
    Hooks.m_MakeRefusal = [this](net::ServerRefusal Why) {
      return m_Gateway.refuse(Why);
    };
    return std::make_unique<net::HttpServer>(
        m_Io.get_executor(), net::parseAddress(Listen.address()),
        serverLimits(m_Shared.m_Settings.limits()), Hooks,
        net::TlsFiles{Listen.certificate_file(), Listen.key_file()});
  }

  // Takes over what other routers heard of endpoints.
  void takeNotes() {
    const auto Notes = m_Peers.with([](decide::Membership &Members) {
      return Members.takeEndpointNotes();
    });
    m_Shared.m_Endpoints.with([&](decide::EndpointDirectory &Directory) {
      for (const schema::EndpointNote &Each : Notes)
        Directory.onNote(Each, Context::now());
    });
  }

  // Tells the other routers what was learned of endpoints, and keeps this
  // router's share of the table's writes.
  asio::awaitable<void> shareLoop() {
    while (true) {
      const auto Changes =
          m_Shared.m_Endpoints.with([](decide::EndpointDirectory &Directory) {
            return Directory.takeChanges();
          });
      for (const decide::EndpointChange &Each : Changes)
        m_Peers.send(m_Peers.with([&](decide::Membership &Members) {
          return Members.noteEndpoint(Each.m_Endpoint.str(), Each.m_Kind,
                                      Each.m_Set, Each.m_Incarnation);
        }));
      const std::size_t Alive =
          m_Peers.with([](const decide::Membership &Members) {
            return Members.aliveCount();
          });
      m_Claims.setRate(static_cast<double>(
                           m_Shared.m_Settings.platform().writes_per_second()) /
                       static_cast<double>(Alive));
      m_Shared.m_Metrics.gauge("routers_alive", static_cast<double>(Alive));
      co_await pause(SharePause);
    }
  }

  asio::awaitable<void> probeLoop() {
    while (true) {
      const auto Here = m_Peers.with([](const decide::Membership &Members) {
        return Members.aliveHere();
      });
      const auto Due =
          m_Shared.m_Endpoints.with([&](decide::EndpointDirectory &Directory) {
            return Directory.takeProbes(QuietTime, Context::now(),
                                        [&](const EndpointId &Each) {
                                          return watches(Here, Each.str());
                                        });
          });
      for (const EndpointId &Each : Due)
        start([this, Each]() -> asio::awaitable<void> {
          EngineClient Engines(m_Shared);
          co_await Engines.probe(Each);
        });
      co_await pause(ProbePause);
    }
  }

  // Whether this router is one of the two that probe a quiet endpoint for all
  // routers of its data centre.
  bool watches(const std::vector<std::string> &Here,
               const std::string &Endpoint) const {
    const auto Chosen = decide::chooseMembers(Here, Endpoint, Watchers);
    return std::find(Chosen.begin(), Chosen.end(),
                     m_Shared.m_Settings.name()) != Chosen.end();
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
      const schema::NodeSettings Fresh = m_Reload();
      setUpLog(Fresh.log(), Fresh.name());
      m_Callers->reloadTls();
      m_Operators->reloadTls();
      logEvent(schema::INFO, "reloaded");
    } catch (const Error &Wrong) {
      logEvent(schema::ERROR, "reload_failed", {{"detail", Wrong.what()}});
    }
  }

  // Not ready at once; work goes on and new work is still served until the
  // balancer has gone elsewhere; then what is in progress ends.
  asio::awaitable<void> drain() {
    logEvent(schema::INFO, "draining");
    m_Shared.m_Draining = true;
    m_Peers.send(m_Peers.with(
        [](decide::Membership &Members) { return Members.leave(); }));
    const Instant Begun = Context::now();
    const Instant Most =
        Begun + std::chrono::milliseconds(
                    m_Shared.m_Settings.limits().drain_timeout_ms());
    while (Context::now() < std::min(Begun + BalancerTime, Most))
      co_await pause(DrainCheckPause);
    m_Callers->stop();
    while (busy() && Context::now() < Most)
      co_await pause(DrainCheckPause);
    if (busy())
      logEvent(schema::WARN, "drain_timeout",
               {{"requests", std::to_string(m_Shared.m_Requests.inProgress())},
                {"claims", std::to_string(m_Shared.m_Requests.claims())}});
    m_Operators->stop();
  }

  bool busy() const {
    return m_Shared.m_Requests.inProgress() > 0 ||
           m_Shared.m_Requests.claims() > 0;
  }

  asio::io_context m_Io;
  ReloadHook m_Reload;
  Context m_Shared;
  PeerLink m_Peers;
  ClaimStore m_Claims;
  ConfigWatch m_Watch;
  OperatorRpc m_Rpc;
  Gateway m_Gateway;
  std::unique_ptr<net::HttpServer> m_Callers;
  std::unique_ptr<net::HttpServer> m_Operators;
  asio::signal_set m_Signals;
};

Node::Node(schema::NodeSettings Settings, ReloadHook Reload)
    : m_Parts(std::make_unique<Parts>(std::move(Settings), std::move(Reload))) {
}

Node::~Node() = default;

int Node::run() { return m_Parts->run(); }

} // namespace mimosadale::router
