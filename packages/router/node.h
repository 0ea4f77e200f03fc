// One router process, put together.
#ifndef MIMOSADALE_ROUTER_NODE_H
#define MIMOSADALE_ROUTER_NODE_H

#include "schema/generated/settings.pb.h"

#include <functional>
#include <memory>
#include <string>

namespace mimosadale::router {

/// Reads the settings anew after SIGHUP; only the log level is taken over.
using ReloadHook = std::function<schema::NodeSettings()>;

/// A router with its listeners, tasks and workers.
///
/// \par Thread safety
/// Used from the main thread only.
class Node {
public:
  /// \throws Error when a listener cannot be opened or a file not read.
  Node(schema::NodeSettings Settings, ReloadHook Reload);
  ~Node();

  /// Serves until SIGTERM or SIGINT, then drains. \returns the exit status.
  int run();

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace mimosadale::router

#endif
