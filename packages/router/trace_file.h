// Writes traces of claims and pipelines to files, for the test bench.
#ifndef MIMOSADALE_ROUTER_TRACE_FILE_H
#define MIMOSADALE_ROUTER_TRACE_FILE_H

#include <google/protobuf/message.h>
#include <string>

namespace mimosadale::router {

/// Writes \p Trace as JSON to the file \p Name.json in \p Folder. A write error
/// is only logged, so that a request never fails because of its trace. Safe
/// from any thread.
void writeTrace(const std::string &Folder, const std::string &Name,
                const google::protobuf::Message &Trace);

} // namespace mimosadale::router

#endif
