// Strong types for identifiers: two names of different things never mix.
#ifndef MIMOSADALE_BASE_ID_H
#define MIMOSADALE_BASE_ID_H

#include <compare>
#include <functional>
#include <string>
#include <utility>

namespace mimosadale {

/// A name of one kind of thing. `Tag` only tells kinds apart.
///
/// \par Thread safety
/// As `std::string`.
template <typename Tag> class Id {
public:
  Id() = default;

  /// Wraps \p Text. \pre None; an empty text is the empty id.
  explicit Id(std::string Text) : m_Text(std::move(Text)) {}

  /// The wrapped text. \pre None. Safe from any thread while not assigned to.
  const std::string &str() const { return m_Text; }

  /// Whether no name was given. \pre None. Safe from any thread.
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

} // namespace mimosadale

template <typename Tag> struct std::hash<mimosadale::Id<Tag>> {
  std::size_t operator()(const mimosadale::Id<Tag> &Value) const noexcept {
    return std::hash<std::string>()(Value.str());
  }
};

#endif
