// HTTP responses to refused requests.
#ifndef MIMOSADALE_ROUTER_REPLIES_H
#define MIMOSADALE_ROUTER_REPLIES_H

#include "base/units.h"
#include "decide/refusal.h"
#include "net/http.h"

#include <optional>
#include <string>

namespace mimosadale::router {

/// \returns the name of a reason in metrics, logs and responses.
std::string reasonName(schema::Reason Reason);

/// \returns the name of a run state in logs and responses.
std::string runStateName(schema::RunState State);

/// \returns the HTTP status for a reason. Safe from any thread.
unsigned httpStatus(schema::Reason Reason);

/// \returns the error object of a refusal, as JSON text.
std::string refusalBody(const decide::Refusal &Refusal);

/// \returns the complete response to a refused request. It has `Retry-After` if
/// a later attempt may succeed (RFC 9110, section 10.2.3).
net::HttpResponse refusalResponse(const decide::Refusal &Refusal);

/// \returns a refusal with run state `not_run`, for a request that was not sent
/// to any endpoint.
decide::Refusal notRunRefusal(schema::Reason Reason, std::string Detail,
                              std::optional<Duration> RetryAfter = {});

} // namespace mimosadale::router

#endif
