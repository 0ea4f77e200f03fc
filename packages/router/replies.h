// Refusals as callers see them.
#ifndef MIMOSADALE_ROUTER_REPLIES_H
#define MIMOSADALE_ROUTER_REPLIES_H

#include "base/units.h"
#include "decide/refusal.h"
#include "net/http.h"

#include <optional>
#include <string>

namespace mimosadale::router {

/// The name of a reason as metrics, logs and callers see it.
std::string reasonName(schema::Reason Reason);

/// The name of a run state as logs and callers see it.
std::string runStateName(schema::RunState State);

/// The HTTP status for a reason. Safe from any thread.
unsigned httpStatus(schema::Reason Reason);

/// The error object of a refusal, as JSON text.
std::string refusalBody(const decide::Refusal &Refusal);

/// The whole response to a refused request, with `Retry-After` where a later
/// try could help (RFC 9110, section 10.2.3).
net::HttpResponse refusalResponse(const decide::Refusal &Refusal);

/// A refusal of a request that nothing was done for.
decide::Refusal notRunRefusal(schema::Reason Reason, std::string Detail,
                              std::optional<Duration> RetryAfter = {});

} // namespace mimosadale::router

#endif
