// What an endpoint's answer means for the request.
#ifndef MIMOSADALE_DECIDE_ANSWER_RULE_H
#define MIMOSADALE_DECIDE_ANSWER_RULE_H

#include "base/units.h"
#include "decide/forward_run.h"

#include <optional>
#include <string>
#include <variant>

namespace mimosadale::decide {

/// What is known of an answer once its head is there.
struct AnswerFacts {
  unsigned m_Status = 0;
  bool m_Events = false;         // its body is a series of events
  bool m_ReportedNotRun = false; // by the endpoint's own word
  bool m_HeadDelivered = false;  // a part of an earlier answer is out
};

/// The answer is for the caller, as events or in one piece.
enum class Delivery { Events, Body };

/// What follows from an answer: it goes to the caller, or the send has failed.
/// A refusal is only passed on as what it says where the endpoint itself says
/// that the request has not run. Safe from any thread, like all of this header.
std::variant<Delivery, AttemptFault> classifyAnswer(const AnswerFacts &Facts,
                                                    CallKind Kind);

/// Whose answer a connection brings.
enum class AnswerOwner {
  Ours,
  Other,  // late or repeated, of an exchange before: to be read over
  Unknown // it may be either, so that it tells nothing of this request
};

/// Endpoints repeat a request's id in its answer, and leave it out for
/// questions that had none. \param Echoed the id in the answer; empty for none.
/// \param Asked the id of the request; empty for a question without one. \param
/// Kept whether the connection carried an exchange before.
AnswerOwner answerOwner(const std::string &Echoed, const std::string &Asked,
                        bool Kept);

/// Whether a refusal that came so long after the request was sent means that an
/// engine of the path is lost, rather than full.
bool indicatesLostEngine(unsigned Status, Duration After);

/// Whether an engine that refused its part of a path at once refuses the part
/// itself: it does not hold it, gives it up or leaves, and goes on refusing
/// until the registry tells. One that is full has a place again when the next
/// request ends.
/// \param Told the part of its memory that is taken, by its own recent word.
/// \param Expected the same by what runs on its chains.
bool refusesStage(unsigned Status, std::optional<double> Told, double Expected);

/// For how long a full engine is left out.
Duration fullEnginePause();

} // namespace mimosadale::decide

#endif
