#include "decide/answer_rule.h"

namespace mimosadale::decide {

namespace {

// HTTP statuses (RFC 9110, section 15).
constexpr unsigned RequestTimeout = 408;
constexpr unsigned MisdirectedRequest = 421;
constexpr unsigned TooManyRequests = 429; // RFC 6585, section 4
constexpr unsigned FirstServerError = 500;
constexpr unsigned ServiceUnavailable = 503;

// Time after which a refusal means that an engine of the path is lost: engines
// answer at once when they are full.
constexpr Duration LostEngineRefusalDelay = std::chrono::milliseconds(900);

// Pause after a refusal for want of a place: about the time in which one of a
// few hundred requests ends.
constexpr Duration FullEngineBackoff = std::chrono::milliseconds(60);

// Part of its memory below which an engine has room for any usual request.
constexpr double MaxReportedUtilization = 0.8;

// The same where it is only expected: half of it, as an estimate by the number
// of requests knows nothing of their sizes.
constexpr double MaxExpectedUtilization = 0.4;

// A promise of "not run" without the endpoint's word would be false.
bool impliesNotRun(unsigned Status) {
  return Status == RequestTimeout || Status == TooManyRequests ||
         Status == ServiceUnavailable;
}

} // namespace

std::variant<Delivery, AttemptFault> classifyAnswer(const AnswerFacts &Facts,
                                                    CallKind Kind) {
  const bool Good = Facts.m_Status / 100 == 2;
  if (Good && Facts.m_Events && Kind == CallKind::Stream)
    return Delivery::Events;
  if (Facts.m_ReportedNotRun)
    return AttemptFault::ReportedNotRun;
  if (Facts.m_HeadDelivered || impliesNotRun(Facts.m_Status))
    return AttemptFault::Broken;
  if (Good || Facts.m_Status < FirstServerError)
    return Delivery::Body;
  return AttemptFault::Failed;
}

AnswerOwner answerOwner(const std::string &Echoed, const std::string &Asked,
                        bool Kept) {
  if (!Echoed.empty())
    return Echoed == Asked ? AnswerOwner::Ours : AnswerOwner::Other;
  return Asked.empty() || !Kept ? AnswerOwner::Ours : AnswerOwner::Unknown;
}

bool refusesStage(unsigned Status, std::optional<double> Told,
                  double Expected) {
  const bool Room =
      Told ? *Told < MaxReportedUtilization : Expected < MaxExpectedUtilization;
  return Status == MisdirectedRequest || Room;
}

Duration fullEnginePause() { return FullEngineBackoff; }

bool indicatesLostEngine(unsigned Status, Duration After) {
  return Status == ServiceUnavailable && After > LostEngineRefusalDelay;
}

} // namespace mimosadale::decide
