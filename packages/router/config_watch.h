// Adopts declarations, operators' drains and the platform's host list.
#ifndef MIMOSADALE_ROUTER_CONFIG_WATCH_H
#define MIMOSADALE_ROUTER_CONFIG_WATCH_H

#include "base/units.h"
#include "decide/adoption.h"
#include "schema/generated/declaration.pb.h"
#include "schema/generated/peer.pb.h"
#include "schema/generated/rows.pb.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/strand.hpp>
#include <functional>
#include <optional>
#include <string>

namespace mimosadale::router {

class Context;
class PeerLink;

/// Watches the platform and the other routers for the configuration in force.
/// A declaration is taken whole or not at all; sections that did not change are
/// not fetched again; what the platform does not give is asked of a peer.
///
/// \par Thread safety
/// Everything happens on its own strand.
class ConfigWatch {
public:
  /// \pre Both outlive this object.
  ConfigWatch(Context &Shared, PeerLink &Peers);

  /// Starts to look at the platform, until the router ends.
  void start();

  /// Another router has a greater generation.
  void onNewerGeneration(schema::PeerRecord Peer);

private:
  boost::asio::awaitable<void> runPollLoop();
  boost::asio::awaitable<void> poll();
  boost::asio::awaitable<void> fetchFromPeer(schema::PeerRecord Peer);
  boost::asio::awaitable<void> pollGeneration();
  boost::asio::awaitable<void> pollDrains();
  boost::asio::awaitable<void> pollHosts();
  boost::asio::awaitable<bool> fetchAndAdopt(schema::GenerationRow Row,
                                             std::string PeerAddress);
  boost::asio::awaitable<std::optional<std::string>>
  fetchSection(std::string Hash, std::string PeerAddress);
  void adopt(const schema::GenerationRow &Row, schema::Declaration Declaration);

  Context &m_Shared;
  PeerLink &m_Peers;
  boost::asio::strand<boost::asio::any_io_executor> m_Strand;
  decide::Adoption m_Adoption;
  bool m_Fetching = false;
  std::uint64_t m_Polls = 0;
};

} // namespace mimosadale::router

#endif
