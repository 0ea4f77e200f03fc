// The process of a forwarding router.
#ifndef MIMOSADALE_FORWARD_FORWARD_NODE_H
#define MIMOSADALE_FORWARD_FORWARD_NODE_H

#include "schema/generated/settings.pb.h"

#include <functional>
#include <memory>

namespace mimosadale::forward {

/// Reads the settings again after SIGHUP. Only log settings and retry bounds
/// take effect.
using ReloadHook = std::function<schema::ForwardSettings()>;

/// A forwarding router with its listeners and tasks.
///
/// \par Thread safety
/// Used from the main thread only.
class ForwardNode {
public:
  /// \throws Error if a listener cannot be opened.
  ForwardNode(schema::ForwardSettings Settings, ReloadHook Reload);
  ~ForwardNode();

  /// Serves until SIGTERM or SIGINT, then drains. \returns the exit status.
  int run();

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace mimosadale::forward

#endif
