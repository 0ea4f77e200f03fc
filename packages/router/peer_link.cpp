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

// Share of the acknowledgement timeout in the ping period.
constexpr double AckShare = 2.0 / 7;

// Time after the start by which a router knows all the others.
constexpr Duration LearnTime = std::chrono::seconds(15);

constexpr int TicksPerPeriod = 7;
constexpr std::size_t LargestDatagram = 65536;
constexpr Duration AskTimeout = std::chrono::milliseconds(500);

asio::ip::udp::endpoint udpEndpoint(const net::Address &From) {
  return {asio::ip::make_address(From.m_Ip), From.m_Port};
}

} // namespace

PeerLink::PeerLink(Context &Shared)
    : m_Shared(Shared), m_Begun(Context::now()),
      m_Membership(selfRecord(), membershipSettings(), seeds()),
      m_Strand(asio::make_strand(Shared.m_Executor)), m_Socket(m_Strand) {
  const std::string &Where = Shared.m_Settings.peers().address();
  try {
    const auto Local = udpEndpoint(net::parseAddress(Where));
    m_Socket.open(Local.protocol());
    m_Socket.bind(Local);
    m_Socket.non_blocking(true);
  } catch (const boost::system::system_error &Wrong) {
    throw Error("cannot bind peers.address " + Where + ": " +
                Wrong.code().message());
  }
}

PeerLink::~PeerLink() { m_Blocking.join(); }

void PeerLink::start() {
  asio::co_spawn(m_Strand, receiveLoop(), asio::detached);
  asio::co_spawn(m_Strand, tickLoop(), asio::detached);
}

std::string PeerLink::report() {
  boost::json::object All;
  with([&](const decide::Membership &Members) {
    for (const schema::PeerRecord &Each : Members.records()) {
      const bool Dead = Each.state() == schema::PEER_DEAD;
      const char *State = Dead ? "dead" : "alive";
      if (Each.state() == schema::PEER_LEAVING)
        State = "leaving";
      if (!Dead && Members.unreachable(PeerId(Each.name())))
        State = "unreachable";
      All[Each.name()] =
          boost::json::object{{"state", State},
                              {"data_centre", Each.data_centre()},
                              {"operators_address", Each.operators_address()},
                              {"generation", Each.generation()}};
    }
  });
  return boost::json::serialize(All);
}

schema::PeerRecord PeerLink::selfRecord() const {
  const auto &Settings = m_Shared.m_Settings;
  schema::PeerRecord Self;
  Self.set_name(Settings.name());
  Self.set_address(Settings.peers().address());
  Self.set_data_centre(Settings.data_centre());
  Self.set_operators_address(Settings.operators().address());
  Self.set_incarnation(raw(m_Shared.m_Incarnation));
  Self.set_started(raw(m_Shared.m_Incarnation));
  return Self;
}

decide::MembershipSettings PeerLink::membershipSettings() const {
  decide::MembershipSettings Settings;
  Settings.m_Period =
      std::chrono::milliseconds(m_Shared.m_Settings.peers().period_ms());
  Settings.m_AckTimeout = fromSeconds(seconds(Settings.m_Period) * AckShare);
  return Settings;
}

std::vector<std::string> PeerLink::seeds() const {
  const auto &Given = m_Shared.m_Settings.peers().seeds();
  return {Given.begin(), Given.end()};
}

const schema::PeerKey *PeerLink::key(std::uint32_t Id) const {
  for (const schema::PeerKey &Each : m_Shared.m_Settings.peers().keys())
    if (Each.id() == Id)
      return &Each;
  return nullptr;
}

bool PeerLink::sealed(const std::string &Body, const std::string &KeyId,
                      const std::string &Mac) const {
  std::uint32_t Id = 0;
  std::from_chars(KeyId.data(), KeyId.data() + KeyId.size(), Id);
  const schema::PeerKey *Key = key(Id);
  return Key &&
         store::equalConstantTime(
             store::encodeBase64(store::hmacSha256(Key->secret(), Body)), Mac);
}

void PeerLink::send(decide::OutgoingMessages Messages) {
  const auto &Keys = m_Shared.m_Settings.peers().keys();
  if (Messages.empty() || Keys.empty())
    return;
  asio::post(m_Strand, [this, &Keys, Messages = std::move(Messages)] {
    for (const decide::OutgoingMessage &Each : Messages) {
      schema::SealedMessage Sealed;
      Sealed.set_key(Keys.Get(0).id());
      Sealed.set_body(Each.m_Message.SerializeAsString());
      Sealed.set_mac(store::hmacSha256(Keys.Get(0).secret(), Sealed.body()));
      const std::string Bytes = Sealed.SerializeAsString();
      boost::system::error_code Lost;
      m_Socket.send_to(asio::buffer(Bytes),
                       udpEndpoint(net::parseAddress(Each.m_Address)), 0, Lost);
      m_Shared.m_Metrics.counted("peer_bytes_sent",
                                 static_cast<double>(Bytes.size()));
      m_Shared.m_Metrics.counted(Lost ? "peer_send_failed" : "peer_sent");
    }
  });
}

asio::awaitable<void> PeerLink::receiveLoop() {
  std::string Buffer(LargestDatagram, '\0');
  Udp::endpoint From;
  while (true) {
    boost::system::error_code Code;
    const std::size_t Size = co_await m_Socket.async_receive_from(
        asio::buffer(Buffer), From,
        asio::redirect_error(asio::use_awaitable, Code));
    if (!Code)
      onDatagram(Buffer.substr(0, Size));
  }
}

void PeerLink::onDatagram(const std::string &Bytes) {
  m_Shared.m_Metrics.counted("peer_bytes_received",
                             static_cast<double>(Bytes.size()));
  schema::SealedMessage Sealed;
  schema::PeerMessage Message;
  const bool Whole = Sealed.ParseFromString(Bytes);
  const schema::PeerKey *Key = Whole ? key(Sealed.key()) : nullptr;
  if (!Key ||
      !store::equalConstantTime(store::hmacSha256(Key->secret(), Sealed.body()),
                                Sealed.mac()) ||
      !Message.ParseFromString(Sealed.body())) {
    m_Shared.m_Metrics.counted("peer_seal_wrong");
    return;
  }
  const schema::PeerRecord &Sender = Message.sender();
  if (!m_Windows[Sender.name()].accept(Sender.started(), Message.sequence())) {
    m_Shared.m_Metrics.counted("peer_replayed");
    return;
  }
  std::optional<schema::PeerRecord> Newer;
  auto Answers = with([&](decide::Membership &Members) {
    auto Out = Members.onMessage(Message, Context::now());
    Newer = Members.newerGeneration();
    return Out;
  });
  send(std::move(Answers));
  if (Message.endpoints_size() > 0 && m_OnNotes)
    m_OnNotes();
  if (Newer && m_OnNewer)
    m_OnNewer(*Newer);
}

asio::awaitable<void> PeerLink::tickLoop() {
  const Duration Pause =
      std::chrono::milliseconds(m_Shared.m_Settings.peers().period_ms()) /
      TicksPerPeriod;
  asio::steady_timer Timer(co_await asio::this_coro::executor);
  while (true) {
    auto Messages = with([](decide::Membership &Members) {
      return Members.onTick(Context::now());
    });
    send(std::move(Messages));
    Timer.expires_after(Pause);
    co_await Timer.async_wait(asio::use_awaitable);
  }
}

// Blocks the calling thread; only for threads that are not workers.
std::string PeerLink::callPeer(const std::string &Address,
                               const std::string &Body) {
  const auto &Key = m_Shared.m_Settings.peers().keys().Get(0);
  net::HttpRequest Request;
  Request.m_Method = "POST";
  Request.m_Target = "/rpc";
  Request.m_Headers = {{"Content-Type", "application/json"},
                       {"Mimosadale-Key", std::to_string(Key.id())},
                       {"Mimosadale-Mac", store::encodeBase64(store::hmacSha256(
                                              Key.secret(), Body))}};
  Request.m_Body = Body;
  net::ExchangeOptions Options;
  Options.m_Timeout = AskTimeout;
  Options.m_NewConnection = true;
  auto Exchange = m_Shared.m_Client.exchange(net::parseAddress(Address),
                                             std::move(Request), Options);
  const net::HttpResponse Response =
      asio::co_spawn(m_Shared.m_Executor, std::move(Exchange), asio::use_future)
          .get();
  if (Response.m_Status != 200)
    throw Error("router " + Address + ": status " +
                std::to_string(Response.m_Status));
  return Response.m_Body;
}

// Runs a blocking call of the JSON-RPC client on a thread of its own pool.
template <typename Result>
asio::awaitable<Result> PeerLink::offWorkers(std::function<Result()> Blocking) {
  auto Task = [](std::function<Result()> Call) -> asio::awaitable<Result> {
    co_return Call();
  };
  co_return co_await asio::co_spawn(m_Blocking, Task(std::move(Blocking)),
                                    asio::use_awaitable);
}

asio::awaitable<decide::HolderWord> PeerLink::askHolder(schema::ClaimRow Row) {
  const AttemptId Attempt(Row.attempt());
  const auto Record = with([&](decide::Membership &Members) {
    return Members.find(PeerId(Row.holder()));
  });
  // A router that just started does not know all others yet.
  if (!Record && Context::now() - m_Begun < LearnTime)
    co_return decide::HolderWord::InProgress;
  const bool Gone = !Record || Record->started() != Row.holder_incarnation();
  if (Gone)
    co_return decide::HolderWord::Dead;
  const bool Suspected = Record->state() == schema::PEER_DEAD;
  bool Working = false;
  bool Silent = false;
  if (Row.holder() == m_Shared.m_Settings.name()) {
    Working = m_Shared.m_Requests.claimInProgress(Attempt);
  } else {
    const std::string Address = Record->operators_address();
    std::function<bool()> Ask = [this, Address, Attempt] {
      rpc::OperatorCaller Caller([this, Address](const std::string &Body) {
        return callPeer(Address, Body);
      });
      return Caller.claimInProgress(Attempt.str());
    };
    try {
      Working = co_await offWorkers(std::move(Ask));
    } catch (const rpc::RpcError &) {
      m_Shared.m_Metrics.counted("holder_silent");
      Silent = true;
    }
  }
  // A holder that is silent but not taken for dead may be at work: the caller
  // is to come back. One that is wrongly taken for dead still answers here.
  if (Silent)
    co_return Suspected ? decide::HolderWord::Dead
                        : decide::HolderWord::InProgress;
  co_return Working ? decide::HolderWord::InProgress
                    : decide::HolderWord::NotInProgress;
}

asio::awaitable<std::optional<schema::GenerationRow>>
PeerLink::fetchGeneration(std::string OperatorsAddress) {
  std::function<std::string()> Ask = [this, OperatorsAddress] {
    rpc::OperatorCaller Caller(
        [this, OperatorsAddress](const std::string &Body) {
          return callPeer(OperatorsAddress, Body);
        });
    return store::decodeBase64(Caller.generation());
  };
  schema::GenerationRow Row;
  try {
    const std::string Bytes = co_await offWorkers(std::move(Ask));
    if (Bytes.empty() || !Row.ParseFromString(Bytes))
      co_return std::nullopt;
  } catch (const std::exception &) {
    m_Shared.m_Metrics.counted("peer_fetch_failed");
    co_return std::nullopt;
  }
  co_return Row;
}

asio::awaitable<std::string>
PeerLink::fetchSection(std::string OperatorsAddress, std::string Hash) {
  std::function<std::string()> Ask = [this, OperatorsAddress, Hash] {
    rpc::OperatorCaller Caller(
        [this, OperatorsAddress](const std::string &Body) {
          return callPeer(OperatorsAddress, Body);
        });
    return store::decodeBase64(Caller.section(Hash));
  };
  try {
    co_return co_await offWorkers(std::move(Ask));
  } catch (const std::exception &) {
    m_Shared.m_Metrics.counted("peer_fetch_failed");
  }
  co_return std::string();
}

} // namespace mimosadale::router
