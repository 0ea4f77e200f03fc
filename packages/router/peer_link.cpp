#include "router/peer_link.h"

#include "router/context.h"
#include "router/log.h"
#include "rpc/operator_caller.h"
#include "store/digest.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/json.hpp>
#include <charconv>

namespace mimosadale::router {

namespace asio = boost::asio;

namespace {

// Acknowledgement timeout as a fraction of the ping period: two ticks.
constexpr double AckTimeoutShare = 2.0 / 7;

// Time that a router needs after its start to discover all others.
constexpr Duration DiscoveryTime = std::chrono::seconds(15);

constexpr int TicksPerPeriod = 7;
constexpr std::size_t MaxDatagramBytes = 65536;
constexpr Duration PeerRpcTimeout = std::chrono::milliseconds(500);

asio::ip::udp::endpoint udpEndpoint(const net::Address &Address) {
  return {asio::ip::make_address(Address.m_Ip), Address.m_Port};
}

} // namespace

PeerLink::PeerLink(Context &Ctx)
    : m_Context(Ctx), m_StartedAt(Context::now()),
      m_Membership(selfRecord(), membershipSettings(), seeds()),
      m_Strand(asio::make_strand(Ctx.m_Executor)), m_Socket(m_Strand) {
  const std::string &LocalAddress = Ctx.m_Settings.peers().address();
  try {
    const auto Local = udpEndpoint(net::parseAddress(LocalAddress));
    m_Socket.open(Local.protocol());
    m_Socket.bind(Local);
    m_Socket.non_blocking(true);
  } catch (const boost::system::system_error &Failure) {
    throw Error("cannot bind peers.address " + LocalAddress + ": " +
                Failure.code().message());
  }
}

PeerLink::~PeerLink() { m_BlockingPool.join(); }

void PeerLink::start() {
  asio::co_spawn(m_Strand, receiveLoop(), asio::detached);
  asio::co_spawn(m_Strand, tickLoop(), asio::detached);
}

std::string PeerLink::statusJson() {
  boost::json::object Routers;
  withLock([&](const decide::Membership &Members) {
    for (const schema::PeerRecord &Record : Members.records()) {
      const bool Dead = Record.state() == schema::PEER_DEAD;
      const char *State = Dead ? "dead" : "alive";
      if (Record.state() == schema::PEER_LEAVING)
        State = "leaving";
      if (!Dead && Members.unreachable(PeerId(Record.name())))
        State = "unreachable";
      Routers[Record.name()] =
          boost::json::object{{"state", State},
                              {"data_centre", Record.data_centre()},
                              {"operators_address", Record.operators_address()},
                              {"generation", Record.generation()}};
    }
  });
  return boost::json::serialize(Routers);
}

schema::PeerRecord PeerLink::selfRecord() const {
  const auto &Settings = m_Context.m_Settings;
  schema::PeerRecord Self;
  Self.set_name(Settings.name());
  Self.set_address(Settings.peers().address());
  Self.set_data_centre(Settings.data_centre());
  Self.set_operators_address(Settings.operators().address());
  Self.set_incarnation(raw(m_Context.m_Incarnation));
  Self.set_started(raw(m_Context.m_Incarnation));
  return Self;
}

decide::MembershipSettings PeerLink::membershipSettings() const {
  decide::MembershipSettings Settings;
  Settings.m_Period =
      std::chrono::milliseconds(m_Context.m_Settings.peers().period_ms());
  Settings.m_AckTimeout =
      fromSeconds(seconds(Settings.m_Period) * AckTimeoutShare);
  return Settings;
}

std::vector<std::string> PeerLink::seeds() const {
  const auto &SeedList = m_Context.m_Settings.peers().seeds();
  return {SeedList.begin(), SeedList.end()};
}

const schema::PeerKey *PeerLink::findKey(std::uint32_t Id) const {
  for (const schema::PeerKey &Key : m_Context.m_Settings.peers().keys())
    if (Key.id() == Id)
      return &Key;
  return nullptr;
}

bool PeerLink::hasValidMac(const std::string &Body, const std::string &KeyId,
                           const std::string &Mac) const {
  std::uint32_t Id = 0;
  std::from_chars(KeyId.data(), KeyId.data() + KeyId.size(), Id);
  const schema::PeerKey *Key = findKey(Id);
  return Key &&
         store::equalConstantTime(
             store::encodeBase64(store::hmacSha256(Key->secret(), Body)), Mac);
}

void PeerLink::send(decide::OutgoingMessages Messages) {
  const auto &Keys = m_Context.m_Settings.peers().keys();
  if (Messages.empty() || Keys.empty())
    return;
  asio::post(m_Strand, [this, &Keys, Messages = std::move(Messages)] {
    for (const decide::OutgoingMessage &Outgoing : Messages) {
      schema::SealedMessage Sealed;
      Sealed.set_key(Keys.Get(0).id());
      Sealed.set_body(Outgoing.m_Message.SerializeAsString());
      Sealed.set_mac(store::hmacSha256(Keys.Get(0).secret(), Sealed.body()));
      const std::string Bytes = Sealed.SerializeAsString();
      boost::system::error_code SendError;
      m_Socket.send_to(asio::buffer(Bytes),
                       udpEndpoint(net::parseAddress(Outgoing.m_Address)), 0,
                       SendError);
      m_Context.m_Metrics.countEvent("peer_bytes_sent",
                                     static_cast<double>(Bytes.size()));
      m_Context.m_Metrics.countEvent(SendError ? "peer_send_failed"
                                               : "peer_sent");
    }
  });
}

asio::awaitable<void> PeerLink::receiveLoop() {
  std::string Buffer(MaxDatagramBytes, '\0');
  Udp::endpoint Source;
  while (true) {
    boost::system::error_code Code;
    const std::size_t Size = co_await m_Socket.async_receive_from(
        asio::buffer(Buffer), Source,
        asio::redirect_error(asio::use_awaitable, Code));
    if (!Code)
      onDatagram(Buffer.substr(0, Size));
  }
}

void PeerLink::onDatagram(const std::string &Bytes) {
  m_Context.m_Metrics.countEvent("peer_bytes_received",
                                 static_cast<double>(Bytes.size()));
  schema::SealedMessage Sealed;
  schema::PeerMessage Message;
  const bool Parsed = Sealed.ParseFromString(Bytes);
  const schema::PeerKey *Key = Parsed ? findKey(Sealed.key()) : nullptr;
  if (!Key ||
      !store::equalConstantTime(store::hmacSha256(Key->secret(), Sealed.body()),
                                Sealed.mac()) ||
      !Message.ParseFromString(Sealed.body())) {
    m_Context.m_Metrics.countEvent("peer_seal_wrong");
    return;
  }
  const schema::PeerRecord &Sender = Message.sender();
  if (!m_ReplayWindows[Sender.name()].accept(Sender.started(),
                                             Message.sequence())) {
    m_Context.m_Metrics.countEvent("peer_replayed");
    return;
  }
  std::optional<schema::PeerRecord> NewerPeer;
  auto Replies = withLock([&](decide::Membership &Members) {
    auto Outgoing = Members.onMessage(Message, Context::now());
    NewerPeer = Members.peerWithNewerGeneration();
    return Outgoing;
  });
  send(std::move(Replies));
  if (Message.endpoints_size() > 0 && m_OnEndpointNotes)
    m_OnEndpointNotes();
  if (NewerPeer && m_OnNewerGeneration)
    m_OnNewerGeneration(*NewerPeer);
}

asio::awaitable<void> PeerLink::tickLoop() {
  const Duration TickInterval =
      std::chrono::milliseconds(m_Context.m_Settings.peers().period_ms()) /
      TicksPerPeriod;
  asio::steady_timer Timer(co_await asio::this_coro::executor);
  while (true) {
    auto Messages = withLock([](decide::Membership &Members) {
      return Members.onTick(Context::now());
    });
    send(std::move(Messages));
    Timer.expires_after(TickInterval);
    co_await Timer.async_wait(asio::use_awaitable);
  }
}

// Blocks the calling thread, so it must not run on a worker thread: the workers
// are what completes the exchange.
std::string PeerLink::callPeer(const std::string &Address,
                               const std::string &Body) {
  const auto &Key = m_Context.m_Settings.peers().keys().Get(0);
  net::HttpRequest Request;
  Request.m_Method = "POST";
  Request.m_Target = "/rpc";
  Request.m_Headers = {{"Content-Type", "application/json"},
                       {"Mimosadale-Key", std::to_string(Key.id())},
                       {"Mimosadale-Mac", store::encodeBase64(store::hmacSha256(
                                              Key.secret(), Body))}};
  Request.m_Body = Body;
  net::ExchangeOptions Options;
  Options.m_Timeout = PeerRpcTimeout;
  Options.m_NewConnection = true;
  auto Exchange = m_Context.m_Client.exchange(net::parseAddress(Address),
                                              std::move(Request), Options);
  const net::HttpResponse Response =
      asio::co_spawn(m_Context.m_Executor, std::move(Exchange),
                     asio::use_future)
          .get();
  if (Response.m_Status != 200)
    throw Error("router " + Address + " answered /rpc with status " +
                std::to_string(Response.m_Status));
  return Response.m_Body;
}

// Runs a blocking call of the JSON-RPC client on a thread pool apart from the
// workers.
template <typename Result>
asio::awaitable<Result>
PeerLink::runBlocking(std::function<Result()> BlockingCall) {
  auto Task = [](std::function<Result()> Call) -> asio::awaitable<Result> {
    co_return Call();
  };
  co_return co_await asio::co_spawn(
      m_BlockingPool, Task(std::move(BlockingCall)), asio::use_awaitable);
}

asio::awaitable<decide::HolderStatus>
PeerLink::queryHolder(schema::ClaimRow Row) {
  const AttemptId Attempt(Row.attempt());
  const auto Record = withLock([&](decide::Membership &Members) {
    return Members.find(PeerId(Row.holder()));
  });
  // A router that has just started may not have discovered the holder yet.
  if (!Record && Context::now() - m_StartedAt < DiscoveryTime)
    co_return decide::HolderStatus::InProgress;
  const bool HolderGone =
      !Record || Record->started() != Row.holder_incarnation();
  if (HolderGone)
    co_return decide::HolderStatus::Dead;
  const bool DeclaredDead = Record->state() == schema::PEER_DEAD;
  bool ClaimInProgress = false;
  bool Unresponsive = false;
  if (Row.holder() == m_Context.m_Settings.name()) {
    ClaimInProgress = m_Context.m_Requests.claimInProgress(Attempt);
  } else {
    const std::string Address = Record->operators_address();
    std::function<bool()> Call = [this, Address, Attempt] {
      rpc::OperatorCaller Caller([this, Address](const std::string &Body) {
        return callPeer(Address, Body);
      });
      return Caller.claimInProgress(Attempt.str());
    };
    try {
      ClaimInProgress = co_await runBlocking(std::move(Call));
    } catch (const rpc::RpcError &) {
      m_Context.m_Metrics.countEvent("holder_silent");
      Unresponsive = true;
    }
  }
  // A holder that does not respond but is not declared dead may still be
  // executing the call, so the caller has to retry later. A holder that was
  // wrongly declared dead still responds here.
  if (Unresponsive)
    co_return DeclaredDead ? decide::HolderStatus::Dead
                           : decide::HolderStatus::InProgress;
  co_return ClaimInProgress ? decide::HolderStatus::InProgress
                            : decide::HolderStatus::NotInProgress;
}

asio::awaitable<std::optional<schema::GenerationRow>>
PeerLink::fetchGeneration(std::string OperatorsAddress) {
  std::function<std::string()> Call = [this, OperatorsAddress] {
    rpc::OperatorCaller Caller(
        [this, OperatorsAddress](const std::string &Body) {
          return callPeer(OperatorsAddress, Body);
        });
    return store::decodeBase64(Caller.generation());
  };
  schema::GenerationRow Row;
  try {
    const std::string Bytes = co_await runBlocking(std::move(Call));
    if (Bytes.empty() || !Row.ParseFromString(Bytes))
      co_return std::nullopt;
  } catch (const std::exception &) {
    m_Context.m_Metrics.countEvent("peer_fetch_failed");
    co_return std::nullopt;
  }
  co_return Row;
}

asio::awaitable<std::string>
PeerLink::fetchSection(std::string OperatorsAddress, std::string Hash) {
  std::function<std::string()> Call = [this, OperatorsAddress, Hash] {
    rpc::OperatorCaller Caller(
        [this, OperatorsAddress](const std::string &Body) {
          return callPeer(OperatorsAddress, Body);
        });
    return store::decodeBase64(Caller.section(Hash));
  };
  try {
    co_return co_await runBlocking(std::move(Call));
  } catch (const std::exception &) {
    m_Context.m_Metrics.countEvent("peer_fetch_failed");
  }
  co_return std::string();
}

} // namespace mimosadale::router
