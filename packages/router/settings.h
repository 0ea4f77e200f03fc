// Reading and checking a router's settings.
#ifndef MIMOSADALE_ROUTER_SETTINGS_H
#define MIMOSADALE_ROUTER_SETTINGS_H

#include "schema/generated/settings.pb.h"
#include "schema/toml.h"

#include <string>
#include <vector>

namespace mimosadale::router {

/// Settings with every fault found in them.
struct LoadedSettings {
  schema::NodeSettings m_Settings;
  std::vector<schema::Diagnostic> m_Faults;
};

/// Reads \p File and checks everything that can be checked before the start:
/// keys, bounds, addresses, files. \throws Error when the file cannot be read.
LoadedSettings loadSettings(const std::string &File);

/// Settings of a forwarding router with every fault found in them.
struct LoadedForwardSettings {
  schema::ForwardSettings m_Settings;
  std::vector<schema::Diagnostic> m_Faults;
};

/// As `loadSettings`, for a forwarding router. \throws Error.
LoadedForwardSettings loadForwardSettings(const std::string &File);

/// The content of a small file without its last line end. \throws Error.
std::string readFile(const std::string &File);

} // namespace mimosadale::router

#endif
