// What requests that crash their endpoints may have in common.
#ifndef MIMOSADALE_DECIDE_REQUEST_MARK_H
#define MIMOSADALE_DECIDE_REQUEST_MARK_H

#include "base/id.h"

#include <compare>
#include <string>
#include <vector>

namespace mimosadale::decide {

enum class MarkKind {
  PromptPart, // a part of the prompt, which other requests may share
  Request     // path, caller and body: only repeats share it
};

/// A property by which a request that crashes endpoints is recognized when it,
/// or one like it, arrives again at any router.
struct RequestMark {
  MarkKind m_Kind = MarkKind::PromptPart;
  std::string m_Id; // of the part, or a digest of the request

  auto operator<=>(const RequestMark &) const = default;
};

using RequestMarks = std::vector<RequestMark>;

} // namespace mimosadale::decide

#endif
