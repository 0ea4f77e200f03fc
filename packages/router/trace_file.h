// Writes traces of claims and pipelines into a folder, for the test bench.
#ifndef MIMOSADALE_ROUTER_TRACE_FILE_H
#define MIMOSADALE_ROUTER_TRACE_FILE_H

#include <google/protobuf/message.h>
#include <string>

namespace mimosadale::router {

/// Writes \p Trace as JSON to \p Folder / \p Name.json. A folder that cannot be
/// written to is logged and otherwise passed over: no request suffers for its
/// trace. Safe from any thread.
void writeTrace(const std::string &Folder, const std::string &Name,
                const google::protobuf::Message &Trace);

} // namespace mimosadale::router

#endif
