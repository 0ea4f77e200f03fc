// The link to the other routers: sealed datagrams.
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

/// Carries the messages of `decide::Membership`, each sealed with HMAC-SHA-256
/// under a shared key (docs/protocols/peer.md), and asks other routers by
/// JSON-RPC.
///
/// \par Thread safety
/// Safe from any thread.
class PeerLink {
public:
  /// \pre \p Shared outlives this object. \throws Error when the address cannot
  /// be had.
  explicit PeerLink(Context &Shared);
  ~PeerLink();

  /// Calls \p Use with the membership while the mutex of rank Peers is held.
  template <typename Function> auto with(Function &&Use) {
    const std::lock_guard Lock(m_Mutex);
    return Use(m_Membership);
  }

  /// Starts to receive and to ping, until the router ends. \pre The hooks are
  /// set; called once.
  void start();

  /// The routers as `status` shows them, a JSON object by name.
  std::string report();

  /// Sends messages that a call of `with` returned.
  void send(decide::OutgoingMessages Messages);

  /// Asks the holder of a claim whether it still works on it.
  boost::asio::awaitable<decide::HolderWord> askHolder(schema::ClaimRow Row);

  /// The generation row of another router, or none.
  boost::asio::awaitable<std::optional<schema::GenerationRow>>
  fetchGeneration(std::string OperatorsAddress);

  /// A section of another router's declaration; empty if it has none.
  boost::asio::awaitable<std::string> fetchSection(std::string OperatorsAddress,
                                                   std::string Hash);

  /// Whether \p Mac is the seal of \p Body under the key \p KeyId.
  bool sealed(const std::string &Body, const std::string &KeyId,
              const std::string &Mac) const;

  /// Called whenever endpoint notes of others arrived.
  std::function<void()> m_OnNotes;

  /// Called whenever another router has a greater generation.
  std::function<void(const schema::PeerRecord &)> m_OnNewer;

private:
  using Udp = boost::asio::ip::udp;

  boost::asio::awaitable<void> receiveLoop();
  boost::asio::awaitable<void> tickLoop();
  schema::PeerRecord selfRecord() const;
  decide::MembershipSettings membershipSettings() const;
  std::vector<std::string> seeds() const;
  void onDatagram(const std::string &Bytes);
  const schema::PeerKey *key(std::uint32_t Id) const;
  std::string callPeer(const std::string &Address, const std::string &Body);
  template <typename Result>
  boost::asio::awaitable<Result> offWorkers(std::function<Result()> Blocking);

  Context &m_Shared;
  const Instant m_Begun;
  RankedMutex m_Mutex{LockRank::Peers};
  decide::Membership m_Membership;
  std::map<std::string, decide::ReplayWindow> m_Windows;
  boost::asio::strand<boost::asio::any_io_executor> m_Strand;
  Udp::socket m_Socket;
  boost::asio::thread_pool m_Blocking{2};
};

} // namespace mimosadale::router

#endif
