#include "router/replies.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cctype>
#include <cmath>

namespace mimosadale::router {

namespace {

std::string lower(std::string Text) {
  std::transform(Text.begin(), Text.end(), Text.begin(),
                 [](unsigned char Char) { return std::tolower(Char); });
  return Text;
}

// The `type` that client libraries of the completions interface know.
const char *errorType(unsigned Status) {
  if (Status == 401 || Status == 403)
    return "authentication_error";
  if (Status == 429)
    return "rate_limit_error";
  return Status < 500 ? "invalid_request_error" : "server_error";
}

} // namespace

std::string reasonName(schema::Reason Why) {
  return lower(schema::Reason_Name(Why));
}

std::string runStateName(schema::RunState State) {
  return lower(schema::RunState_Name(State));
}

unsigned statusOf(schema::Reason Why) {
  switch (Why) {
  case schema::BAD_REQUEST:
  case schema::IDEMPOTENCY_KEY_MISSING:
    return 400;
  case schema::UNAUTHENTICATED:
    return 401;
  case schema::FORBIDDEN:
    return 403;
  case schema::NOT_FOUND:
    return 404;
  case schema::SLOW_SENDER:
    return 408;
  case schema::CLAIM_IN_PROGRESS:
  case schema::ALREADY_RAN:
  case schema::RESUME_MISMATCH:
    return 409;
  case schema::TOO_LARGE:
    return 413;
  case schema::IDEMPOTENCY_KEY_REUSED:
    return 422;
  case schema::OVERLOADED:
  case schema::CLAIM_RATE:
  case schema::RETRY_BUDGET_SPENT:
    return 429;
  case schema::OUTCOME_UNKNOWN:
  case schema::ENDPOINT_FAILED:
    return 502;
  case schema::DEADLINE_PASSED:
  case schema::DEADLINE_UNREACHABLE:
    return 504;
  case schema::INTERNAL:
    return 500;
  default:
    return 503;
  }
}

std::string refusalBody(const decide::Refusal &Why) {
  const unsigned Status = statusOf(Why.reason());
  boost::json::object Error{{"message", Why.detail()},
                            {"type", errorType(Status)},
                            {"code", reasonName(Why.reason())},
                            {"run_state", runStateName(Why.runState())}};
  if (const auto Wait = Why.retryAfter())
    Error["retry_after_ms"] =
        std::chrono::ceil<std::chrono::milliseconds>(*Wait).count();
  return boost::json::serialize(boost::json::object{{"error", Error}});
}

net::HttpResponse refusalResponse(const decide::Refusal &Why) {
  net::HttpResponse Response;
  Response.m_Status = statusOf(Why.reason());
  Response.m_Headers = {{"Content-Type", "application/json"},
                        {"Mimosadale-Reason", reasonName(Why.reason())},
                        {"Mimosadale-Run-State", runStateName(Why.runState())}};
  if (const auto Wait = Why.retryAfter())
    Response.m_Headers.push_back(
        {"Retry-After",
         std::to_string(
             std::chrono::ceil<std::chrono::seconds>(*Wait).count())});
  if (Why.reason() == schema::UNAUTHENTICATED)
    Response.m_Headers.push_back({"WWW-Authenticate", "Bearer"});
  Response.m_Body = refusalBody(Why);
  return Response;
}

decide::Refusal refuseUntouched(schema::Reason Why, std::string Detail,
                                std::optional<Duration> RetryAfter) {
  return decide::Refusal::forRun(decide::RunTracker(), Why, std::move(Detail),
                                 RetryAfter);
}

} // namespace mimosadale::router
