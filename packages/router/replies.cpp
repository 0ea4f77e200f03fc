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

// The error `type` that clients of the completions API expect.
const char *errorType(unsigned Status) {
  if (Status == 401 || Status == 403)
    return "authentication_error";
  if (Status == 429)
    return "rate_limit_error";
  return Status < 500 ? "invalid_request_error" : "server_error";
}

} // namespace

std::string reasonName(schema::Reason Reason) {
  return lower(schema::Reason_Name(Reason));
}

std::string runStateName(schema::RunState State) {
  return lower(schema::RunState_Name(State));
}

unsigned httpStatus(schema::Reason Reason) {
  switch (Reason) {
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

std::string refusalBody(const decide::Refusal &Refusal) {
  const unsigned Status = httpStatus(Refusal.reason());
  boost::json::object ErrorObject{
      {"message", Refusal.detail()},
      {"type", errorType(Status)},
      {"code", reasonName(Refusal.reason())},
      {"run_state", runStateName(Refusal.runState())}};
  if (const auto RetryAfter = Refusal.retryAfter())
    ErrorObject["retry_after_ms"] =
        std::chrono::ceil<std::chrono::milliseconds>(*RetryAfter).count();
  return boost::json::serialize(boost::json::object{{"error", ErrorObject}});
}

net::HttpResponse refusalResponse(const decide::Refusal &Refusal) {
  net::HttpResponse Response;
  Response.m_Status = httpStatus(Refusal.reason());
  Response.m_Headers = {
      {"Content-Type", "application/json"},
      {"Mimosadale-Reason", reasonName(Refusal.reason())},
      {"Mimosadale-Run-State", runStateName(Refusal.runState())}};
  if (const auto RetryAfter = Refusal.retryAfter())
    Response.m_Headers.push_back(
        {"Retry-After",
         std::to_string(
             std::chrono::ceil<std::chrono::seconds>(*RetryAfter).count())});
  if (Refusal.reason() == schema::UNAUTHENTICATED)
    Response.m_Headers.push_back({"WWW-Authenticate", "Bearer"});
  Response.m_Body = refusalBody(Refusal);
  return Response;
}

decide::Refusal notRunRefusal(schema::Reason Reason, std::string Detail,
                              std::optional<Duration> RetryAfter) {
  return decide::Refusal::forRun(decide::RunTracker(), Reason,
                                 std::move(Detail), RetryAfter);
}

} // namespace mimosadale::router
