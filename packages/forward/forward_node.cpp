#include "forward/forward_node.h"

#include "forward/block_store.h"
#include "forward/engine_watch.h"
#include "forward/forward_call.h"
#include "forward/forward_state.h"
#include "forward/hand_over.h"
#include "forward/layer_control.h"
#include "forward/limit_exchange.h"
#include "forward/load_exchange.h"
#include "forward/reach_exchange.h"
#include "forward/sleep.h"
#include "forward/store_watch.h"
#include "forward/task_guard.h"
#include "platform/names.h"
#include "router/log.h"
#include "router/replies.h"

#include <algorithm>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <csignal>

namespace mimosadale::forward {

namespace asio = boost::asio;

namespace {

// Time between turning not ready and closing connections after their answers:
// two readiness probes of the balancer, after which it sends no new callers.
constexpr Duration BalancerGracePeriod = std::chrono::milliseconds(2200);

// Part of the stop time that is reserved for exiting.
constexpr Duration ExitMargin = std::chrono::milliseconds(500);

// Connections accepted just before the listener closed may still send their
// first request within this time, which is many times a caller's network
// latency.
constexpr Duration FirstRequestGracePeriod = std::chrono::milliseconds(500);

constexpr Duration DrainCheckInterval = std::chrono::milliseconds(25);

// Room for the headers that a router adds to a request that it hands over.
constexpr std::size_t HandOverHeaderBytes = 1024;

// Limit of callers' connections; the remaining descriptors serve endpoints.
constexpr std::size_t MaxCallerConnections = 2500;

schema::Reason reasonOf(net::ServerRefusal Refusal) {
  switch (Refusal) {
  case net::ServerRefusal::BadRequest:
    return schema::BAD_REQUEST;
  case net::ServerRefusal::HeaderTooLarge:
  case net::ServerRefusal::BodyTooLarge:
    return schema::TOO_LARGE;
  case net::ServerRefusal::SlowSender:
    return schema::SLOW_SENDER;
  case net::ServerRefusal::TooManyConnections:
    return schema::TOO_MANY_CONNECTIONS;
  }
  return schema::INTERNAL;
}

net::ServerLimits limitsOf(const decide::CallerLimits &From) {
  net::ServerLimits To;
  To.m_MaxHeaderBytes = From.m_HeaderBytes;
  To.m_MaxBodyBytes = From.m_BodyBytes;
  To.m_MaxConnections = MaxCallerConnections;
  To.m_ReadTimeout = From.m_HeaderTimeout;
  To.m_IdleTimeout = From.m_IdleTimeout;
  return To;
}

net::HttpResponse textPage(unsigned Status, std::string Body) {
  net::HttpResponse Response;
  Response.m_Status = Status;
  Response.m_Headers.push_back({"Content-Type", "text/plain"});
  Response.m_Body = std::move(Body);
  return Response;
}

} // namespace

class ForwardNode::Impl {
public:
  Impl(schema::ForwardSettings Settings, ReloadHook Reload)
      : m_Reload(std::move(Reload)), m_State(m_Io, std::move(Settings)),
        m_StoreWatch(m_State, [this] { onConfig(); }), m_EngineWatch(m_State),
        m_ReachExchange(m_State), m_LayerControl(m_State, m_ReachExchange),
        m_LoadExchange(m_State), m_LimitExchange(m_State),
        m_BlockStore(m_State),
        m_Callers(makeServer(m_State.m_Settings.callers(),
                             [this](net::HttpExchange &Exchange) {
                               return serveRequest(Exchange,
                                                   ForwardCall::Sender::Caller);
                             })),
        m_Readiness(makeServer(m_State.m_Settings.readiness(),
                               [this](net::HttpExchange &Exchange) {
                                 return servePage(Exchange);
                               })),
        m_MetricsPage(makeServer(m_State.m_Settings.metrics(),
                                 [this](net::HttpExchange &Exchange) {
                                   return servePage(Exchange);
                                 })),
        m_Peers(makeServer(m_State.m_Settings.peers(),
                           [this](net::HttpExchange &Exchange) {
                             return servePeer(Exchange);
                           })),
        m_Signals(m_Io, SIGTERM, SIGINT, SIGHUP) {}

  int run() {
    const auto &Settings = m_State.m_Settings;
    m_Callers->start();
    m_Readiness->start();
    m_MetricsPage->start();
    m_Peers->start();
    keepRunning(m_Io, "configuration",
                [this] { return m_StoreWatch.followConfig(); });
    keepRunning(m_Io, "registry",
                [this] { return m_StoreWatch.followRegistry(); });
    keepRunning(m_Io, "routers",
                [this] { return m_StoreWatch.followRouters(); });
    keepRunning(m_Io, "comparison",
                [this] { return m_StoreWatch.compareWithPeers(); });
    keepRunning(m_Io, "engines", [this] { return m_EngineWatch.run(); });
    keepRunning(m_Io, "loads", [this] { return m_LoadExchange.run(); });
    keepRunning(m_Io, "limits", [this] { return m_LimitExchange.run(); });
    keepRunning(m_Io, "blocks", [this] { return m_BlockStore.run(); });
    keepRunning(m_Io, "layers", [this] { return m_LayerControl.run(); });
    keepRunning(m_Io, "signals", [this] { return signalLoop(); });
    router::logEvent(schema::INFO, "started",
                     {{"name", Settings.name()},
                      {"data_centre", Settings.data_centre()},
                      {"callers", Settings.callers()},
                      {"store", Settings.store().address()}});
    m_Io.run();
    router::logEvent(schema::INFO, "stopped", {{"name", Settings.name()}});
    return 0;
  }

private:
  using Handler =
      std::function<asio::awaitable<void>(net::HttpExchange &Exchange)>;

  std::unique_ptr<net::HttpServer> makeServer(const std::string &Listen,
                                              Handler Handle) {
    net::ServerHooks Hooks;
    Hooks.m_Handle = std::move(Handle);
    Hooks.m_MakeRefusal = [this](net::ServerRefusal Refusal) {
      m_State.m_Metrics.countRefusal(reasonOf(Refusal));
      return router::refusalResponse(
          router::notRunRefusal(reasonOf(Refusal), "refused while reading it"));
    };
    return std::make_unique<net::HttpServer>(
        m_Io.get_executor(), net::parseAddress(Listen), limitsOf({}), Hooks);
  }

  asio::awaitable<void> serveRequest(net::HttpExchange &Exchange,
                                     ForwardCall::Sender From) {
    ForwardCall Call(m_State, Exchange, From);
    try {
      co_await Call.serve();
    } catch (const std::exception &Ex) {
      // The caller disconnected while it was being answered.
      router::logEvent(
          schema::INFO, "caller_lost",
          {{"request", Call.request().str()}, {"detail", Ex.what()}});
      Exchange.abort();
    }
  }

  asio::awaitable<void> servePage(net::HttpExchange &Exchange) {
    const std::string &Target = Exchange.request().m_Target;
    net::HttpResponse Response = textPage(404, "allowed: /metrics\n");
    if (Target == platform::ReadyPath) {
      const bool Ready = m_State.ready() && !m_State.m_Draining;
      Response = textPage(Ready ? 200 : 503, Ready ? "ready\n" : "not ready\n");
    } else if (Target == "/metrics") {
      Response = textPage(200, m_State.m_Metrics.render());
    }
    co_await Exchange.respond(std::move(Response));
  }

  asio::awaitable<void> servePeer(net::HttpExchange &Exchange) {
    if (parseHandedOver(Exchange.request())) {
      co_await serveRequest(Exchange, ForwardCall::Sender::Router);
      co_return;
    }
    const auto Query = platform::decodeRowsQuery(Exchange.request().m_Target);
    net::HttpResponse Response =
        textPage(404, "allowed: questions for rows, loads, limits or reach\n");
    if (Exchange.request().m_Target == LoadsPath) {
      Response = m_LoadExchange.answer(Exchange.request().m_Body);
    } else if (Exchange.request().m_Target == LimitsPath) {
      Response = m_LimitExchange.answer(Exchange.request().m_Body);
    } else if (Exchange.request().m_Target == ReachPath) {
      std::string Question = Exchange.request().m_Body;
      Response = co_await m_ReachExchange.answer(std::move(Question));
    } else if (Query) {
      platform::RowsQuery TableQuery = *Query;
      Response = co_await m_StoreWatch.answer(std::move(TableQuery));
    }
    co_await Exchange.respond(std::move(Response));
  }

  void onConfig() {
    const auto &Config = m_State.m_Routes.current()->config();
    m_Callers->setLimits(limitsOf(Config.m_Limits));
    // Handed over requests are as large as those of callers, with headers more.
    decide::CallerLimits PeerLimits;
    PeerLimits.m_HeaderBytes =
        std::max(PeerLimits.m_HeaderBytes, Config.m_Limits.m_HeaderBytes) +
        HandOverHeaderBytes;
    PeerLimits.m_BodyBytes =
        std::max(PeerLimits.m_BodyBytes, Config.m_Limits.m_BodyBytes);
    m_Peers->setLimits(limitsOf(PeerLimits));
    m_State.m_Metrics.setGauge("config_version",
                               static_cast<double>(Config.m_Version));
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
      const schema::ForwardSettings NewSettings = m_Reload();
      router::configureLog(NewSettings.log(), NewSettings.name());
      *m_State.m_Settings.mutable_retries() = NewSettings.retries();
      router::logEvent(schema::INFO, "reloaded");
    } catch (const Error &Ex) {
      router::logEvent(schema::ERROR, "reload_failed", {{"detail", Ex.what()}});
    }
  }

  // Reports not ready at once, but serves new requests until the balancer has
  // stopped sending them. Then closes each connection after the answer in
  // progress.
  asio::awaitable<void> drain() {
    router::logEvent(schema::INFO, "draining",
                     {{"requests", std::to_string(m_State.m_Calls->size())}});
    m_State.m_Draining = true;
    const Instant DrainStart = ForwardState::now();
    const Instant Deadline =
        DrainStart + fromSeconds(m_State.m_Settings.stop_within_seconds()) -
        ExitMargin;
    m_State.m_DrainDeadline = Deadline;
    m_Callers->closeAfterResponses();
    while (ForwardState::now() <
           std::min(DrainStart + BalancerGracePeriod, Deadline))
      co_await sleepFor(m_Io, DrainCheckInterval);
    m_Callers->stop();
    m_Callers->closeIdle();
    const Instant ListenerClosedAt = ForwardState::now();
    m_State.m_LastArrival = ListenerClosedAt + FirstRequestGracePeriod;
    const auto MayReceiveRequests = [&] {
      return m_Callers->mayReceiveRequests() &&
             ForwardState::now() - ListenerClosedAt < FirstRequestGracePeriod;
    };
    while ((!m_State.m_Calls->empty() || MayReceiveRequests()) &&
           ForwardState::now() < Deadline)
      co_await sleepFor(m_Io, DrainCheckInterval);
    if (!m_State.m_Calls->empty())
      router::logEvent(schema::WARN, "drain_timeout",
                       {{"requests", std::to_string(m_State.m_Calls->size())}});
    for (const ForwardCall *Call : *m_State.m_Calls)
      Call->logUnfinished();
  }

  asio::io_context m_Io{1};
  ReloadHook m_Reload;
  ForwardState m_State;
  StoreWatch m_StoreWatch;
  EngineWatch m_EngineWatch;
  ReachExchange m_ReachExchange;
  LayerControl m_LayerControl;
  LoadExchange m_LoadExchange;
  LimitExchange m_LimitExchange;
  BlockStore m_BlockStore;
  std::unique_ptr<net::HttpServer> m_Callers;
  std::unique_ptr<net::HttpServer> m_Readiness;
  std::unique_ptr<net::HttpServer> m_MetricsPage;
  std::unique_ptr<net::HttpServer> m_Peers;
  asio::signal_set m_Signals;
};

ForwardNode::ForwardNode(schema::ForwardSettings Settings, ReloadHook Reload)
    : m_Impl(std::make_unique<Impl>(std::move(Settings), std::move(Reload))) {}

ForwardNode::~ForwardNode() = default;

int ForwardNode::run() { return m_Impl->run(); }

} // namespace mimosadale::forward
