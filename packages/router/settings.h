// Reads and validates the settings of a router.
#ifndef MIMOSADALE_ROUTER_SETTINGS_H
#define MIMOSADALE_ROUTER_SETTINGS_H

#include "schema/generated/settings.pb.h"
#include "schema/toml.h"

#include <string>
#include <vector>

namespace mimosadale::router {

/// Settings of a router and all faults found in them.
struct LoadedSettings {
  schema::NodeSettings m_Settings;
  std::vector<schema::Diagnostic> m_Faults;
};

/// Reads \p File and validates its keys, bounds and addresses, and that the
/// files it names are readable. \throws Error if \p File cannot be read.
LoadedSettings loadSettings(const std::string &File);

/// Settings of a forwarding router and all faults found in them.
struct LoadedForwardSettings {
  schema::ForwardSettings m_Settings;
  std::vector<schema::Diagnostic> m_Faults;
};

/// Like `loadSettings`, for a forwarding router. Files are not checked.
/// \throws Error if \p File cannot be read.
LoadedForwardSettings loadForwardSettings(const std::string &File);

/// Returns the content of a small file without trailing newlines.
/// \throws Error if it cannot be read.
std::string readFile(const std::string &File);

} // namespace mimosadale::router

#endif
