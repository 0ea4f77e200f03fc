// A router that reaches no endpoint, beside one that serves. Each has endpoints
// and a store of its own, so that those of the first can fail for it alone.
#ifndef MIMOSADALE_TESTS_CUT_OFF_ROUTER_H
#define MIMOSADALE_TESTS_CUT_OFF_ROUTER_H

#include "platform/forward_helpers.h"

#include <memory>
#include <string>
#include <vector>

namespace mimosadale::tests {

/// The endpoints that `addDefaultEndpoints` adds.
extern const std::vector<std::string> DefaultEndpoints;

/// Time after the beginning of a cut from which the users' rule binds.
constexpr auto StableTime = std::chrono::seconds(3);

inline const std::string NoRetryBudget = "slack = 0\nfraction = 0\n";

enum class CutKind { Hang, Refuse };

/// \par Thread safety
/// `stream` may be called from any thread, the rest from the test's.
struct CutOffRouter {
  /// The routers compare their rows: those of the first are the newer ones.
  explicit CutOffRouter(const std::string &Retries = LargeRetryBudget);

  /// Waits until \p Router serves and the first router knows it.
  void add(ForwardRouter &Router);

  /// Cuts the first router off from its endpoints.
  void cut(CutKind Kind = CutKind::Hang);
  void restore(CutKind Kind);

  net::HttpResponse call(const std::string &Target, const std::string &Id,
                         const std::string &Key = "key") const;
  /// \returns the last event id of a complete stream, 0 of any other.
  unsigned stream(const std::string &Id) const;
  /// Callers keep sending, as the cut is noticed by their requests.
  void sendUntilNoticed() const;

  FakePlatform m_Cut;
  FakePlatform m_Sound;
  std::unique_ptr<ForwardRouter> m_First;
  std::unique_ptr<ForwardRouter> m_Second;
  unsigned m_RouterCount = 1; // that the first is to know, itself included
};

} // namespace mimosadale::tests

#endif
