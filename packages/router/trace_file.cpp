#include "router/trace_file.h"

#include "router/log.h"

#include <fstream>
#include <google/protobuf/util/json_util.h>

namespace mimosadale::router {

void writeTrace(const std::string &Folder, const std::string &Name,
                const google::protobuf::Message &Trace) {
  std::string Json;
  google::protobuf::util::JsonPrintOptions Options;
  Options.add_whitespace = true;
  Options.preserve_proto_field_names = true;
  const auto Status =
      google::protobuf::util::MessageToJsonString(Trace, &Json, Options);
  std::ofstream Out(Folder + "/" + Name + ".json");
  Out << Json;
  if (!Status.ok() || !Out)
    logEvent(schema::WARN, "trace_not_written",
             {{"folder", Folder}, {"name", Name}});
}

} // namespace mimosadale::router
