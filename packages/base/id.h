// Strongly typed identifiers: ids of different kinds do not convert into each
// other.
#ifndef MIMOSADALE_BASE_ID_H
#define MIMOSADALE_BASE_ID_H

#include <compare>
#include <functional>
#include <string>
#include <utility>

namespace mimosadale {

/// A string identifier. `Tag` makes ids of different kinds distinct types.
///
/// \par Thread safety
/// As `std::string`.
template <typename Tag> class Id {
public:
  Id() = default;

  /// Wraps \p Text; an empty string gives the empty id.
  explicit Id(std::string Text) : m_Text(std::move(Text)) {}

  /// The wrapped string. Safe from any thread while the id is not assigned to.
  const std::string &str() const { return m_Text; }

  bool empty() const { return m_Text.empty(); }

  auto operator<=>(const Id &) const = default;

private:
  std::string m_Text;
};

using RequestId = Id<struct RequestTag>;
using EndpointId = Id<struct EndpointTag>;
using HostId = Id<struct HostTag>;
using PeerId = Id<struct PeerTag>;
using WorkspaceId = Id<struct WorkspaceTag>;
using ServiceId = Id<struct ServiceTag>;
using DataCentreId = Id<struct DataCentreTag>;
using AttemptId = Id<struct AttemptTag>;
using PromptPartId = Id<struct PromptPartTag>;

} // namespace mimosadale

template <typename Tag> struct std::hash<mimosadale::Id<Tag>> {
  std::size_t operator()(const mimosadale::Id<Tag> &Value) const noexcept {
    return std::hash<std::string>()(Value.str());
  }
};

#endif
