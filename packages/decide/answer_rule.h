// Classification of endpoint answers: delivery to the caller, or failure of the
// attempt.
#ifndef MIMOSADALE_DECIDE_ANSWER_RULE_H
#define MIMOSADALE_DECIDE_ANSWER_RULE_H

#include "base/units.h"
#include "decide/forward_run.h"

#include <optional>
#include <string>
#include <variant>

namespace mimosadale::decide {

/// Properties of an answer that are known once its head has been received.
struct AnswerProperties {
  unsigned m_Status = 0;
  bool m_Events = false;         // the body is an event stream
  bool m_ReportedNotRun = false; // the endpoint states that it has not run it
  bool m_NamesEndpoint = false;  // states once which endpoint gave it
  bool m_IsEncoded = false;      // the body is in a content coding
  bool m_HeadDelivered = false;  // part of an earlier answer was delivered
};

/// Whether callers may take this answer for an endpoint's own. A success states
/// which one gave it. No body is in a content coding, as callers ask for none;
/// that of a refusal does not matter, since it is not delivered.
bool isGenuine(const AnswerProperties &Properties);

/// How an answer is delivered to the caller: event by event or in one piece.
enum class Delivery { Events, Body };

/// Decides whether an answer goes to the caller or the attempt has failed. A
/// refusal proves that the request has not run only if the endpoint itself
/// states that; otherwise the attempt counts as broken. Safe from any thread,
/// like all of this header. \pre The answer is genuine.
std::variant<Delivery, AttemptFault>
classifyAnswer(const AnswerProperties &Properties, CallKind Kind);

/// The request that an answer on a connection belongs to.
enum class AnswerOwner {
  Ours,
  Other,  // late or repeated answer to an earlier request: read and discard
  Unknown // either of the two: nothing can be concluded for this request
};

/// Matches an answer to the request by id. Endpoints echo the id of a request
/// and omit it for requests without one. \param EchoedId the id in the answer;
/// empty for none. \param RequestId the id of the request; empty for none.
/// \param Reused whether the connection carried an exchange before.
AnswerOwner answerOwner(const std::string &EchoedId,
                        const std::string &RequestId, bool Reused);

/// Whether a refusal received \p Elapsed after the request was sent indicates
/// that an engine of the path is lost rather than full.
bool indicatesLostEngine(unsigned Status, Duration Elapsed);

/// Whether an engine that refused immediately refuses its stage of the path, as
/// opposed to being full. An engine that does not hold the layers, releases
/// them or leaves refuses until the registry reflects the change; a full one
/// accepts again once a running request ends.
/// \param Reported memory utilization by its own recent report, if any.
/// \param Expected memory utilization estimated from the requests on its
/// chains.
bool refusesStage(unsigned Status, std::optional<double> Reported,
                  double Expected);

/// Time for which a full engine gets no requests.
Duration fullEngineBackoff();

} // namespace mimosadale::decide

#endif
