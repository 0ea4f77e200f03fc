// Adopts declarations and operators' drains.
#ifndef MIMOSADALE_ROUTER_CONFIG_WATCH_H
#define MIMOSADALE_ROUTER_CONFIG_WATCH_H

#include "base/units.h"
#include "schema/generated/declaration.pb.h"
#include "schema/generated/rows.pb.h"

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>

namespace mimosadale::router {

class Context;

/// Watches the platform for the configuration in force, for drains and for
/// hosts that leave.
///
/// \par Thread safety
/// `run` is started once; the rest is safe from any thread.
class ConfigWatch {
public:
  /// \pre \p Shared outlives this object.
  explicit ConfigWatch(Context &Shared) : m_Shared(Shared) {}

  /// Looks at the platform at every interval until the router ends.
  boost::asio::awaitable<void> run();

  /// Looks once. False when the platform gave no answer.
  boost::asio::awaitable<bool> look();

private:
  boost::asio::awaitable<void> lookAtGeneration();
  boost::asio::awaitable<void> lookAtDrains();
  boost::asio::awaitable<void> lookAtHosts();
  void adopt(const schema::GenerationRow &Row, schema::Declaration Declared);

  Context &m_Shared;
};

} // namespace mimosadale::router

#endif
