#include "forward/forward_node.h"

#include "forward/engine_watch.h"
#include "forward/forward_call.h"
#include "forward/forward_state.h"
#include "forward/layer_control.h"
#include "forward/load_exchange.h"
#include "forward/pause.h"
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

// Time between being not ready and closing connections after their answers, so
// that the balancer has gone elsewhere: two of its questions.
constexpr Duration BalancerTime = std::chrono::milliseconds(2200);

// Part of the time to stop that is kept for the exit itself.
constexpr Duration StopMargin = std::chrono::milliseconds(500);

// Time after the listener closed in which connections that were opened before
// may bring their first request: many times the way from a caller.
constexpr Duration FirstRequestTime = std::chrono::milliseconds(500);

constexpr Duration DrainCheckPause = std::chrono::milliseconds(25);

// Most connections of callers at once; the descriptors left serve endpoints.
constexpr std::size_t MostCallers = 2500;

schema::Reason reasonOf(net::ServerRefusal Why) {
  switch (Why) {
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
  To.m_MaxConnections = MostCallers;
  To.m_ReadTimeout = From.m_HeaderTimeout;
  To.m_IdleTimeout = From.m_IdleTimeout;
  return To;
}

net::HttpResponse page(unsigned Status, std::string Body) {
  net::HttpResponse Response;
  Response.m_Status = Status;
  Response.m_Headers.push_back({"Content-Type", "text/plain"});
  Response.m_Body = std::move(Body);
  return Response;
}

} // namespace

class ForwardNode::Parts {
public:
  Parts(schema::ForwardSettings Settings, ReloadHook Reload)
      : m_Reload(std::move(Reload)), m_Shared(m_Io, std::move(Settings)),
        m_Watch(m_Shared, [this] { onConfig(); }), m_Engines(m_Shared),
        m_Layers(m_Shared), m_Loads(m_Shared),
        m_Callers(makeServer(m_Shared.m_Settings.callers(),
                             [this](net::HttpExchange &Exchange) {
                               return serveCaller(Exchange);
                             })),
        m_Readiness(makeServer(m_Shared.m_Settings.readiness(),
                               [this](net::HttpExchange &Exchange) {
                                 return servePage(Exchange);
                               })),
        m_MetricsPage(makeServer(m_Shared.m_Settings.metrics(),
                                 [this](net::HttpExchange &Exchange) {
                                   return servePage(Exchange);
                                 })),
        m_Peers(makeServer(m_Shared.m_Settings.peers(),
                           [this](net::HttpExchange &Exchange) {
                             return servePeer(Exchange);
                           })),
        m_Signals(m_Io, SIGTERM, SIGINT, SIGHUP) {}

  int run() {
    const auto &Settings = m_Shared.m_Settings;
    m_Callers->start();
    m_Readiness->start();
    m_MetricsPage->start();
    m_Peers->start();
    keepRunning(m_Io, "configuration",
                [this] { return m_Watch.followConfig(); });
    keepRunning(m_Io, "registry", [this] { return m_Watch.followRegistry(); });
    keepRunning(m_Io, "routers", [this] { return m_Watch.followRouters(); });
    keepRunning(m_Io, "comparison",
                [this] { return m_Watch.compareWithOthers(); });
    keepRunning(m_Io, "engines", [this] { return m_Engines.run(); });
    keepRunning(m_Io, "loads", [this] { return m_Loads.run(); });
    keepRunning(m_Io, "layers", [this] { return m_Layers.run(); });
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
    Hooks.m_MakeRefusal = [this](net::ServerRefusal Why) {
      m_Shared.m_Metrics.refused(reasonOf(Why));
      return router::refusalResponse(
          router::refuseUntouched(reasonOf(Why), "refused while reading it"));
    };
    return std::make_unique<net::HttpServer>(
        m_Io.get_executor(), net::parseAddress(Listen), limitsOf({}), Hooks);
  }

  asio::awaitable<void> serveCaller(net::HttpExchange &Exchange) {
    ForwardCall Call(m_Shared, Exchange);
    try {
      co_await Call.serve();
    } catch (const std::exception &Wrong) {
      // The caller left, or its connection broke, while it was answered.
      router::logEvent(
          schema::INFO, "caller_lost",
          {{"request", Call.request().str()}, {"detail", Wrong.what()}});
      Exchange.abort();
    }
  }

  asio::awaitable<void> servePage(net::HttpExchange &Exchange) {
    const std::string &Target = Exchange.request().m_Target;
    net::HttpResponse Response = page(404, "allowed: /metrics\n");
    if (Target == platform::ReadyPath) {
      const bool Ready = m_Shared.ready() && !m_Shared.m_Stopping;
      Response = page(Ready ? 200 : 503, Ready ? "ready\n" : "not ready\n");
    } else if (Target == "/metrics") {
      Response = page(200, m_Shared.m_Metrics.render());
    }
    co_await Exchange.respond(std::move(Response));
  }

  asio::awaitable<void> servePeer(net::HttpExchange &Exchange) {
    const auto Query = platform::decodeQuery(Exchange.request().m_Target);
    net::HttpResponse Response =
        page(404, "allowed: questions for rows or loads\n");
    if (Exchange.request().m_Target == LoadsPath) {
      Response = m_Loads.answer(Exchange.request().m_Body);
    } else if (Query) {
      platform::RowsQuery Asked = *Query;
      Response = co_await m_Watch.answer(std::move(Asked));
    }
    co_await Exchange.respond(std::move(Response));
  }

  void onConfig() {
    const auto &Config = m_Shared.m_Routes.current()->config();
    m_Callers->setLimits(limitsOf(Config.m_Limits));
    m_Shared.m_Metrics.gauge("config_version",
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
      const schema::ForwardSettings Fresh = m_Reload();
      router::setUpLog(Fresh.log(), Fresh.name());
      *m_Shared.m_Settings.mutable_retries() = Fresh.retries();
      router::logEvent(schema::INFO, "reloaded");
    } catch (const Error &Wrong) {
      router::logEvent(schema::ERROR, "reload_failed",
                       {{"detail", Wrong.what()}});
    }
  }

  // Not ready at once; new work is served until the balancer has gone
  // elsewhere; then each connection ends after the answer in progress.
  asio::awaitable<void> drain() {
    router::logEvent(schema::INFO, "draining",
                     {{"requests", std::to_string(m_Shared.m_Calls->size())}});
    m_Shared.m_Stopping = true;
    const Instant Begun = ForwardState::now();
    const Instant Most =
        Begun + fromSeconds(m_Shared.m_Settings.stop_within_seconds()) -
        StopMargin;
    m_Shared.m_StopAt = Most;
    m_Callers->closeAfterResponses();
    while (ForwardState::now() < std::min(Begun + BalancerTime, Most))
      co_await pauseFor(m_Io, DrainCheckPause);
    m_Callers->stop();
    m_Callers->closeIdle();
    const Instant Closed = ForwardState::now();
    const auto MayBringMore = [&] {
      return m_Callers->connections() > 0 &&
             ForwardState::now() - Closed < FirstRequestTime;
    };
    while ((!m_Shared.m_Calls->empty() || MayBringMore()) &&
           ForwardState::now() < Most)
      co_await pauseFor(m_Io, DrainCheckPause);
    if (!m_Shared.m_Calls->empty())
      router::logEvent(
          schema::WARN, "drain_timeout",
          {{"requests", std::to_string(m_Shared.m_Calls->size())}});
    for (const ForwardCall *Each : *m_Shared.m_Calls)
      Each->logLeft();
  }

  asio::io_context m_Io{1};
  ReloadHook m_Reload;
  ForwardState m_Shared;
  StoreWatch m_Watch;
  EngineWatch m_Engines;
  LayerControl m_Layers;
  LoadExchange m_Loads;
  std::unique_ptr<net::HttpServer> m_Callers;
  std::unique_ptr<net::HttpServer> m_Readiness;
  std::unique_ptr<net::HttpServer> m_MetricsPage;
  std::unique_ptr<net::HttpServer> m_Peers;
  asio::signal_set m_Signals;
};

ForwardNode::ForwardNode(schema::ForwardSettings Settings, ReloadHook Reload)
    : m_Parts(std::make_unique<Parts>(std::move(Settings), std::move(Reload))) {
}

ForwardNode::~ForwardNode() = default;

int ForwardNode::run() { return m_Parts->run(); }

} // namespace mimosadale::forward
