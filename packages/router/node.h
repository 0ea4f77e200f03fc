// A router process: composes the listeners, background tasks and worker
// threads.
#ifndef MIMOSADALE_ROUTER_NODE_H
#define MIMOSADALE_ROUTER_NODE_H

#include "schema/generated/settings.pb.h"

#include <functional>
#include <memory>
#include <string>

namespace mimosadale::router {

/// Reads the settings again after SIGHUP. Only the log settings are applied;
/// the TLS files named by the old settings are reloaded.
using ReloadHook = std::function<schema::NodeSettings()>;

/// One router with its listeners, background tasks and worker threads.
///
/// \par Thread safety
/// Used from the main thread only.
class Node {
public:
  /// \throws Error if a listener cannot be opened or a file cannot be read.
  Node(schema::NodeSettings Settings, ReloadHook Reload);
  ~Node();

  /// Serves until SIGTERM or SIGINT, then drains. \returns the exit status of
  /// the process.
  int run();

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace mimosadale::router

#endif
