#include "forward/layer_control.h"

#include "forward/engine_client.h"
#include "forward/pause.h"
#include "platform/endpoint_codec.h"
#include "platform/names.h"
#include "platform/own_rows_codec.h"
#include "router/log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace mimosadale::forward {

namespace asio = boost::asio;

namespace {

// Interval at which the plan is compared with what is held.
constexpr Duration PlanPause = std::chrono::milliseconds(200);

// Time after the start before the first plan, so that the registry is read and
// other routers' orders show.
constexpr Duration FirstPlan = std::chrono::milliseconds(1500);

// Time that orders must have been due for each place that this router has in
// the order of those that take the lease, and the spread of the last ones.
constexpr Duration RankPause = std::chrono::milliseconds(700);
constexpr Duration LastSpread = std::chrono::milliseconds(2000);

constexpr Duration OrderTimeout = std::chrono::seconds(1);

} // namespace

LayerControl::LayerControl(ForwardState &Shared)
    : m_Shared(Shared), m_Lease(PeerId(Shared.m_Settings.name())),
      m_Begun(ForwardState::now()) {}

asio::awaitable<void> LayerControl::run() {
  std::uniform_int_distribution<int> Spread(0, 60);
  while (true) {
    co_await pauseFor(m_Shared.m_Io,
                      PlanPause +
                          std::chrono::milliseconds(Spread(m_Shared.m_Random)));
    if (m_Shared.ready() && !m_Shared.m_Stopping &&
        ForwardState::now() - m_Begun > FirstPlan)
      co_await tick();
  }
}

const decide::ServiceInfo *LayerControl::engineService() const {
  for (const decide::ServiceInfo &Each :
       m_Shared.m_Routes.current()->config().m_Services)
    if (Each.m_Engine)
      return &Each;
  return nullptr;
}

asio::awaitable<void> LayerControl::tick() {
  const decide::ServiceInfo *Service = engineService();
  if (!Service)
    co_return;
  const Instant Now = ForwardState::now();
  const std::vector<decide::PlaceOrder> Due =
      m_Orders.due(m_Shared.m_Fleet, Service->m_Name, *Service->m_Engine, Now);
  m_Shared.m_UnderOrder = m_Orders.awaited();
  if (Due.empty() && !m_Orders.pending()) {
    m_Turn.end();
    co_return;
  }
  const std::uint64_t Taken = m_Shared.m_Fleet.layersTaken();
  if (!m_Turn.begun())
    m_Turn.begin(leasePause(), Taken, Now);
  const unsigned AtOnce = Service->m_Engine->m_LoadsAtOnce;
  const bool Holds = m_Lease.fence(Now).has_value();
  if (m_Lease.wantsRow(Now) && (Holds || m_Turn.comes(Taken, Now)))
    co_await takeLease();
  for (const decide::PlaceOrder &Each : Due) {
    const auto *Known = m_Shared.m_Fleet.find(Each.m_Engine);
    if (!Known || Known->paused(Now))
      continue;
    const auto Fence = m_Lease.fence(ForwardState::now());
    if (!Fence || m_InProgress >= std::max(1u, AtOnce) * 8)
      co_return;
    m_Orders.onSent(Each, *Service->m_Engine, Now);
    asio::co_spawn(m_Shared.m_Io, order(Each, *Fence), asio::detached);
  }
}

// Routers try one after the other, so that the store is not asked by all at
// once.
Duration LayerControl::leasePause() {
  Duration Pause = RankPause * static_cast<int>(m_Shared.m_OrderRank);
  if (m_Shared.m_OrderRank == ForwardState::OrderRanks)
    Pause += Duration(std::uniform_int_distribution<Duration::rep>(
        0, LastSpread.count())(m_Shared.m_Random));
  return Pause;
}

asio::awaitable<void> LayerControl::takeLease() {
  const Instant Asked = ForwardState::now();
  try {
    const platform::RowBatch Read =
        co_await m_Shared.m_Store.readTable(platform::LeaseTable);
    decide::LeaseRow Row;
    for (const platform::Row &Each : Read.m_Rows)
      if (Each.m_Key == platform::LeaseKey)
        Row = platform::decodeLease(Each.m_Value, Each.m_Version);
    const auto Write =
        m_Lease.onRow(Row, Read.m_StoreTimeMs, Asked, ForwardState::now());
    if (!Write)
      co_return;
    const std::string Value =
        platform::encodeLease(m_Shared.m_Settings.name(), Write->m_UntilMs);
    const platform::WriteResult Result = co_await m_Shared.m_Store.write(
        platform::LeaseTable, platform::LeaseKey, Value, Write->m_Expect);
    if (Result.m_Kind == platform::WriteResult::Kind::Applied) {
      m_Lease.onWritten(Result.m_Version);
      router::logEvent(schema::INFO, "order_lease_taken",
                       {{"fence", std::to_string(Result.m_Version)},
                        {"before", Row.m_Holder.str()}});
      co_return;
    }
    m_Lease.onFailed(ForwardState::now());
  } catch (const Error &Wrong) {
    router::logEvent(schema::WARN, "order_lease_failed",
                     {{"detail", Wrong.what()}});
    m_Lease.onFailed(ForwardState::now());
  }
}

asio::awaitable<void> LayerControl::order(decide::PlaceOrder Order,
                                          std::uint64_t Fence) {
  net::HttpRequest Request;
  Request.m_Method = "POST";
  Request.m_Target = platform::OrderPath;
  Request.m_Headers = {{"Content-Type", "application/json"}};
  Request.m_Body = platform::encodePlaceOrder(Order.m_Layers, Fence);
  ++m_InProgress;
  std::string Outcome;
  try {
    const net::HttpResponse Response =
        co_await callEngine(m_Shared, Order.m_Engine, Request, OrderTimeout);
    Outcome = std::to_string(Response.m_Status);
    if (Response.m_Status == 412)
      m_Lease.onFenced(ForwardState::now());
    if (Response.m_Status == 200)
      m_Shared.m_Fleet.onLayersHeld(Order.m_Engine, Order.m_Layers);
    if (Response.m_Status >= 400)
      m_Orders.onRefused(Order.m_Engine, ForwardState::now());
  } catch (const net::NetError &Wrong) {
    Outcome = Wrong.what();
    if (Wrong.phase() == net::Phase::Connect)
      m_Orders.onRefused(Order.m_Engine, ForwardState::now());
    else
      m_Orders.onUnanswered(Order.m_Engine, ForwardState::now());
  } catch (const std::exception &Wrong) {
    // Whatever it is: an order that never ends would take a place for good.
    Outcome = Wrong.what();
    m_Orders.onUnanswered(Order.m_Engine, ForwardState::now());
  }
  --m_InProgress;
  m_Shared.m_Metrics.counted("order_sent");
  router::logEvent(schema::INFO, "engine_ordered",
                   {{"engine", Order.m_Engine.str()},
                    {"layers", std::to_string(Order.m_Layers.m_First) + "-" +
                                   std::to_string(Order.m_Layers.m_End)},
                    {"fence", std::to_string(Fence)},
                    {"outcome", Outcome}});
}

} // namespace mimosadale::forward
