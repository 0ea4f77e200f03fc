// Adopts declarations from the platform and from other routers, and applies the
// drains and the host list of the platform.
#ifndef MIMOSADALE_ROUTER_CONFIG_WATCH_H
#define MIMOSADALE_ROUTER_CONFIG_WATCH_H

#include "base/units.h"
#include "decide/config_adoption.h"
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

/// Keeps the configuration of this router up to date. A declaration is adopted
/// only when all of its sections are available. Sections that are unchanged
/// since the current generation are reused. When another router announces a
/// newer generation, it is fetched from that router, so that it can be adopted
/// while the platform is unreachable; the platform is asked only for sections
/// that the router does not return.
///
/// \par Thread safety
/// Safe from any thread; all work runs on a strand of its own.
class ConfigWatch {
public:
  /// \pre \p Ctx and \p Peers outlive this object.
  ConfigWatch(Context &Ctx, PeerLink &Peers);

  /// Starts to poll the platform; polling goes on until the process exits.
  void start();

  /// Fetches and adopts the generation of \p Peer. Called when \p Peer has
  /// announced a generation greater than the one in force here.
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

  Context &m_Context;
  PeerLink &m_Peers;
  boost::asio::strand<boost::asio::any_io_executor> m_Strand;
  decide::ConfigAdoption m_Adoption;
  bool m_Fetching = false;
  std::uint64_t m_Polls = 0;
};

} // namespace mimosadale::router

#endif
