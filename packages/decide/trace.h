// Recording and replaying what the state machines decided.
#ifndef MIMOSADALE_DECIDE_TRACE_H
#define MIMOSADALE_DECIDE_TRACE_H

#include "decide/claim.h"
#include "decide/pipeline.h"
#include "schema/generated/trace.pb.h"

#include <string>
#include <vector>

namespace mimosadale::decide {

/// One line an action; equal actions give equal lines. Prompts and answers are
/// left out. Safe from any thread.
std::vector<std::string> describeActions(const ClaimActions &Actions);
std::vector<std::string> describeActions(const PipelineActions &Actions);

/// Names of the values, as traces hold them. Safe from any thread.
std::string traceName(ClaimWriteResult::Kind Kind);
std::string traceName(ClaimDispatchResult::Kind Kind);
std::string traceName(HolderStatus Status);
std::string traceName(StageFault Fault);

/// Feeds the events of a trace to a fresh state machine. \returns what does not
/// fit the recorded actions; empty when all does. \throws Error when the trace
/// holds a name that does not exist.
std::string replay(const schema::ClaimTrace &Trace);
std::string replay(const schema::PipelineTrace &Trace);

/// The hooks of a pipeline, with their answers recorded in \p Trace. \pre
/// \p Trace outlives the pipeline.
PipelineHooks recordingHooks(const PipelineHooks &Wrapped,
                             schema::PipelineTrace &Trace);

} // namespace mimosadale::decide

#endif
