#include "forward/layer_control.h"

#include "forward/engine_client.h"
#include "forward/sleep.h"
#include "platform/endpoint_codec.h"
#include "platform/names.h"
#include "platform/router_rows_codec.h"
#include "router/log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace mimosadale::forward {

namespace asio = boost::asio;

namespace {

// Interval at which the planned layers are compared with the layers held.
constexpr Duration PlanInterval = std::chrono::milliseconds(200);

// Delay of the first plan after the start, so that the registry is read and the
// effects of other routers' orders are visible.
constexpr Duration FirstPlanDelay = std::chrono::milliseconds(1500);

// Orders must have been due for this long per lease rank before a router tries
// to acquire the lease; routers without a rank add a random part of the jitter.
constexpr Duration RankBackoff = std::chrono::milliseconds(700);
constexpr Duration LastRankJitter = std::chrono::milliseconds(2000);

constexpr Duration OrderTimeout = std::chrono::seconds(1);

} // namespace

LayerControl::LayerControl(ForwardState &State, ReachExchange &Reach)
    : m_State(State), m_ReachExchange(Reach),
      m_Lease(PeerId(State.m_Settings.name())),
      m_StartedAt(ForwardState::now()) {}

asio::awaitable<void> LayerControl::run() {
  std::uniform_int_distribution<int> JitterMs(0, 60);
  while (true) {
    co_await sleepFor(
        m_State.m_Io,
        PlanInterval + std::chrono::milliseconds(JitterMs(m_State.m_Random)));
    if (m_State.ready() && !m_State.m_Draining &&
        ForwardState::now() - m_StartedAt > FirstPlanDelay)
      co_await tick();
  }
}

const decide::ServiceInfo *LayerControl::engineService() const {
  for (const decide::ServiceInfo &Service :
       m_State.m_Routes.current()->config().m_Services)
    if (Service.m_Engine)
      return &Service;
  return nullptr;
}

asio::awaitable<void> LayerControl::tick() {
  // Keeps the service while other coroutines run.
  const auto Routes = m_State.m_Routes.current();
  const decide::ServiceInfo *Service = engineService();
  if (!Service)
    co_return;
  const Instant Now = ForwardState::now();
  m_Lease.onEra(m_State.m_StoreEra, Now);
  // A router that is cut off would order by a loss that only it sees. Its lease
  // lapses, and another router takes it.
  if (m_State.m_Reach.cutOff() || m_State.m_Reach.doubtsLoss(Now)) {
    m_LeaseBackoff.end();
    co_return;
  }
  const std::vector<decide::LayerOrder> Due = m_Orders.dueOrders(
      m_State.m_Fleet, Service->m_Name, *Service->m_Engine, Now);
  m_State.m_OrderedEngines = m_Orders.awaitedEngines();
  if (Due.empty() && !m_Orders.hasPending()) {
    m_LeaseBackoff.end();
    co_return;
  }
  const std::uint64_t LayerChanges = m_State.m_Fleet.layerChanges();
  if (!m_LeaseBackoff.isRunning())
    m_LeaseBackoff.begin(leaseBackoff(), LayerChanges, Now);
  const unsigned MaxFullRateLoads = Service->m_Engine->m_MaxFullRateLoads;
  if (!m_Lease.fence(Now) && !m_LeaseBackoff.isOver(LayerChanges, Now))
    co_return;
  // Before the lease is taken or kept: another router may reach them all.
  if (!Due.empty() && co_await lossesAreInDoubt(Service->m_Name)) {
    m_LeaseBackoff.end();
    co_return;
  }
  if (m_Lease.shouldReadRow(ForwardState::now()))
    co_await acquireLease();
  for (const decide::LayerOrder &Order : Due) {
    const auto *Engine = m_State.m_Fleet.find(Order.m_Engine);
    if (!Engine || Engine->paused(Now))
      continue;
    const auto Fence = m_Lease.fence(ForwardState::now());
    if (!Fence || m_OrdersInProgress >= std::max(1u, MaxFullRateLoads) * 8)
      co_return;
    m_Orders.onSent(Order, *Service->m_Engine, Now);
    asio::co_spawn(m_State.m_Io, sendOrder(Order, *Fence), asio::detached);
  }
}

// Whether another router reaches an engine of \p Service that this one
// suspects.
asio::awaitable<bool> LayerControl::lossesAreInDoubt(ServiceId Service) {
  const Instant Now = ForwardState::now();
  std::erase_if(m_AskedAt, [&](const auto &Item) {
    return Now - Item.second > decide::OwnReach::answerLifetime();
  });
  std::vector<EndpointId> Suspects;
  for (const auto &[Id, Engine] : m_State.m_Fleet.all())
    if (Engine.m_Suspect && !Engine.m_Unregistered &&
        Engine.m_Record.m_Service == Service &&
        m_AskedAt.try_emplace(Id, Now).second)
      Suspects.push_back(Id);
  if (Suspects.empty())
    co_return false;
  co_await m_ReachExchange.ask(std::move(Suspects));
  co_return m_State.m_Reach.cutOff() ||
      m_State.m_Reach.doubtsLoss(ForwardState::now());
}

// Routers back off by rank, so that they do not all call the store at once.
Duration LayerControl::leaseBackoff() {
  Duration Backoff = RankBackoff * static_cast<int>(m_State.m_LeaseRank);
  if (m_State.m_LeaseRank == ForwardState::LeaseRanks)
    Backoff += Duration(std::uniform_int_distribution<Duration::rep>(
        0, LastRankJitter.count())(m_State.m_Random));
  return Backoff;
}

asio::awaitable<void> LayerControl::acquireLease() {
  const Instant AskedAt = ForwardState::now();
  try {
    const platform::RowBatch Table =
        co_await m_State.m_Store.readTable(platform::LeaseTable);
    m_Lease.onEra(Table.m_Version.era(), ForwardState::now());
    if (!m_Lease.shouldReadRow(ForwardState::now()))
      co_return;
    decide::LeaseRow Row;
    Row.m_Version = {Table.m_Version.era(), 0};
    for (const platform::Row &TableRow : Table.m_Rows)
      if (TableRow.m_Key == platform::LeaseKey)
        Row = platform::decodeLease(TableRow.m_Value, TableRow.m_Version);
    const auto Write = m_Lease.onRowRead(Row, Table.m_StoreTimeMs, AskedAt,
                                         ForwardState::now());
    if (!Write)
      co_return;
    const std::string Value =
        platform::encodeLease(m_State.m_Settings.name(), Write->m_UntilMs);
    const platform::WriteResult Result =
        co_await m_State.m_Store.write(platform::LeaseTable, platform::LeaseKey,
                                       Value, Write->m_ExpectedVersion);
    if (Result.m_Kind == platform::WriteResult::Kind::Applied) {
      if (m_Lease.onWritten(Result.m_Version, ForwardState::now()))
        router::logEvent(schema::INFO, "order_lease_taken",
                         {{"fence", std::to_string(raw(
                                        decide::orderFence(Result.m_Version)))},
                          {"before", Row.m_Holder.str()}});
      co_return;
    }
    m_Lease.onFailed(ForwardState::now());
  } catch (const Error &Ex) {
    router::logEvent(schema::WARN, "order_lease_failed",
                     {{"detail", Ex.what()}});
    m_Lease.onFailed(ForwardState::now());
  }
}

asio::awaitable<void> LayerControl::sendOrder(decide::LayerOrder Order,
                                              decide::OrderFence Fence) {
  net::HttpRequest Request;
  Request.m_Method = "POST";
  Request.m_Target = platform::OrderPath;
  Request.m_Headers = {{"Content-Type", "application/json"}};
  Request.m_Body = platform::encodePlaceOrder(Order.m_Layers, Fence);
  ++m_OrdersInProgress;
  std::string Outcome;
  try {
    const net::HttpResponse Response =
        co_await callEngine(m_State, Order.m_Engine, Request, OrderTimeout);
    Outcome = std::to_string(Response.m_Status);
    if (Response.m_Status == 412)
      m_Lease.onFenced(ForwardState::now());
    if (Response.m_Status == 200)
      m_State.m_Fleet.onLayersConfirmed(Order.m_Engine, Order.m_Layers);
    if (Response.m_Status >= 400)
      m_Orders.onRefused(Order.m_Engine, ForwardState::now());
  } catch (const net::InvalidResponseError &Ex) {
    Outcome = Ex.what();
    m_State.onInvalidAnswer(Order.m_Engine,
                            ForwardState::CallPurpose::PollOrOrder, Ex.what());
    m_Orders.onAnswerLost(Order.m_Engine, ForwardState::now());
  } catch (const net::NetError &Ex) {
    Outcome = Ex.what();
    m_State.onUnreached(Order.m_Engine, Ex.phase());
    if (Ex.phase() == net::Phase::Connect)
      m_Orders.onRefused(Order.m_Engine, ForwardState::now());
    else
      m_Orders.onAnswerLost(Order.m_Engine, ForwardState::now());
  } catch (const std::exception &Ex) {
    // Any exception: an order that never ended would occupy its slot forever.
    Outcome = Ex.what();
    m_Orders.onAnswerLost(Order.m_Engine, ForwardState::now());
  }
  --m_OrdersInProgress;
  m_State.m_Metrics.countEvent("order_sent");
  router::logEvent(schema::INFO, "engine_ordered",
                   {{"engine", Order.m_Engine.str()},
                    {"layers", std::to_string(Order.m_Layers.m_First) + "-" +
                                   std::to_string(Order.m_Layers.m_End)},
                    {"fence", std::to_string(raw(Fence))},
                    {"outcome", Outcome}});
}

} // namespace mimosadale::forward
