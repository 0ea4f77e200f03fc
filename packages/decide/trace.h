// Records the decisions of the state machines and replays them as a check.
#ifndef MIMOSADALE_DECIDE_TRACE_H
#define MIMOSADALE_DECIDE_TRACE_H

#include "decide/claim.h"
#include "decide/pipeline.h"
#include "schema/generated/trace.pb.h"

#include <string>
#include <vector>

namespace mimosadale::decide {

/// One line per action; equal actions give equal lines. Prompts and answers are
/// omitted. Safe from any thread.
std::vector<std::string> describeActions(const ClaimActions &Actions);
std::vector<std::string> describeActions(const PipelineActions &Actions);

/// The names of enumerators in stored traces. Safe from any thread.
std::string traceName(ClaimWriteResult::Kind Kind);
std::string traceName(ClaimDispatchResult::Kind Kind);
std::string traceName(HolderStatus Status);
std::string traceName(StageFault Fault);

/// Replays the events of a trace on a new state machine. \returns the first
/// difference from the recorded actions; empty when there is none. \throws
/// Error when the trace holds an unknown name, a step without an event or too
/// few recorded choices.
std::string replay(const schema::ClaimTrace &Trace);
std::string replay(const schema::PipelineTrace &Trace);

/// Hooks that call those of \p Inner and record their results in the last
/// step of \p Trace. \pre \p Trace outlives the pipeline and has a step at each
/// call.
PipelineHooks recordingHooks(const PipelineHooks &Inner,
                             schema::PipelineTrace &Trace);

} // namespace mimosadale::decide

#endif
