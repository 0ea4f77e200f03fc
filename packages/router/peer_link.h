// Communication with the other routers: authenticated datagrams and JSON-RPC.
#ifndef MIMOSADALE_ROUTER_PEER_LINK_H
#define MIMOSADALE_ROUTER_PEER_LINK_H

#include "base/ranked_mutex.h"
#include "decide/claim.h"
#include "decide/membership.h"
#include "decide/replay_window.h"
#include "net/http.h"
#include "schema/generated/settings.pb.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/thread_pool.hpp>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace mimosadale::router {

class Context;

/// Sends and receives the messages of `decide::Membership` as UDP datagrams,
/// each authenticated with HMAC-SHA-256 under a shared key
/// (docs/protocols/peer.md), and calls other routers by JSON-RPC.
///
/// \par Thread safety
/// Safe from any thread.
class PeerLink {
public:
  /// Binds the UDP socket. \pre \p Ctx outlives this object. \throws Error
  /// if the address cannot be bound.
  explicit PeerLink(Context &Ctx);
  ~PeerLink();

  /// Calls \p Callback with the membership while holding the mutex of rank
  /// Peers, and returns its result.
  template <typename Function> auto withLock(Function &&Callback) {
    const std::lock_guard Lock(m_Mutex);
    return Callback(m_Membership);
  }

  /// Starts to receive datagrams and to ping other routers, until the process
  /// exits. \pre The callbacks are set; called only once.
  void start();

  /// Returns the state of each router as `status` shows it: a JSON object,
  /// keyed by router name.
  std::string statusJson();

  /// Sends messages that `decide::Membership` returned, each with its MAC. A
  /// message that cannot be sent is dropped and counted. Without a configured
  /// key, nothing is sent.
  void send(decide::OutgoingMessages Messages);

  /// Asks the holder of a claim whether the claim is still in progress.
  boost::asio::awaitable<decide::HolderStatus>
  queryHolder(schema::ClaimRow Row);

  /// Fetches the generation row of another router; none if that fails.
  boost::asio::awaitable<std::optional<schema::GenerationRow>>
  fetchGeneration(std::string OperatorsAddress);

  /// Fetches a section of another router's declaration; empty if that fails or
  /// if the router does not have it.
  boost::asio::awaitable<std::string> fetchSection(std::string OperatorsAddress,
                                                   std::string Hash);

  /// Returns whether \p Mac is the base64 HMAC-SHA-256 of \p Body under the key
  /// with the id \p KeyId.
  bool hasValidMac(const std::string &Body, const std::string &KeyId,
                   const std::string &Mac) const;

  /// Called when endpoint states have arrived from another router.
  std::function<void()> m_OnEndpointNotes;

  /// Called when another router has announced a greater generation.
  std::function<void(const schema::PeerRecord &)> m_OnNewerGeneration;

private:
  using Udp = boost::asio::ip::udp;

  boost::asio::awaitable<void> receiveLoop();
  boost::asio::awaitable<void> tickLoop();
  schema::PeerRecord selfRecord() const;
  decide::MembershipSettings membershipSettings() const;
  std::vector<std::string> seeds() const;
  void onDatagram(const std::string &Bytes);
  const schema::PeerKey *findKey(std::uint32_t Id) const;
  std::string callPeer(const std::string &Address, const std::string &Body);
  template <typename Result>
  boost::asio::awaitable<Result>
  runBlocking(std::function<Result()> BlockingCall);

  Context &m_Context;
  const Instant m_StartedAt;
  RankedMutex m_Mutex{LockRank::Peers};
  decide::Membership m_Membership;
  std::map<std::string, decide::ReplayWindow> m_ReplayWindows;
  boost::asio::strand<boost::asio::any_io_executor> m_Strand;
  Udp::socket m_Socket;
  boost::asio::thread_pool m_BlockingPool{2};
};

} // namespace mimosadale::router

#endif
