#include "decide/answer_rule.h"

namespace mimosadale::decide {

namespace {

// HTTP statuses (RFC 9110, section 15).
constexpr unsigned NoContent = 204;
constexpr unsigned RequestTimeout = 408;
constexpr unsigned MisdirectedRequest = 421;
constexpr unsigned TooManyRequests = 429; // RFC 6585, section 4
constexpr unsigned FirstServerError = 500;
constexpr unsigned ServiceUnavailable = 503;

// A full engine refuses immediately; a later refusal means that an engine of
// the path is lost.
constexpr Duration LostEngineRefusalDelay = std::chrono::milliseconds(900);

// About the interval at which one of a few hundred running requests ends.
constexpr Duration FullEngineBackoff = std::chrono::milliseconds(60);

// Reported memory utilization below which an engine has memory for any request
// of usual size.
constexpr double MaxReportedUtilization = 0.8;

// The same for an estimate: half of it, because an estimate by the number of
// requests ignores their sizes.
constexpr double MaxExpectedUtilization = 0.4;

// Whether callers take the status as "not run", which is unproven without a
// statement of the endpoint.
bool impliesNotRun(unsigned Status) {
  return Status == RequestTimeout || Status == TooManyRequests ||
         Status == ServiceUnavailable;
}

bool isSuccess(unsigned Status) { return Status / 100 == 2; }

} // namespace

bool isGenuine(const AnswerProperties &Properties) {
  const bool Success = isSuccess(Properties.m_Status);
  if (Properties.m_IsEncoded && (Success || !Properties.m_ReportedNotRun))
    return false;
  return !Success || Properties.m_NamesEndpoint;
}

std::variant<Delivery, AttemptFault>
classifyAnswer(const AnswerProperties &Properties, CallKind Kind) {
  const bool Success = isSuccess(Properties.m_Status);
  if (Success && Properties.m_Status != NoContent && Properties.m_Events &&
      Kind == CallKind::Stream)
    return Delivery::Events;
  if (Properties.m_ReportedNotRun)
    return AttemptFault::ReportedNotRun;
  if (Properties.m_HeadDelivered || impliesNotRun(Properties.m_Status))
    return AttemptFault::Broken;
  if (Success || Properties.m_Status < FirstServerError)
    return Delivery::Body;
  return AttemptFault::Failed;
}

AnswerOwner answerOwner(const std::string &EchoedId,
                        const std::string &RequestId, bool Reused) {
  if (!EchoedId.empty())
    return EchoedId == RequestId ? AnswerOwner::Ours : AnswerOwner::Other;
  return RequestId.empty() || !Reused ? AnswerOwner::Ours
                                      : AnswerOwner::Unknown;
}

bool refusesStage(unsigned Status, std::optional<double> Reported,
                  double Expected) {
  const bool HasMemory = Reported ? *Reported < MaxReportedUtilization
                                  : Expected < MaxExpectedUtilization;
  return Status == MisdirectedRequest || HasMemory;
}

Duration fullEngineBackoff() { return FullEngineBackoff; }

bool indicatesLostEngine(unsigned Status, Duration Elapsed) {
  return Status == ServiceUnavailable && Elapsed > LostEngineRefusalDelay;
}

} // namespace mimosadale::decide
