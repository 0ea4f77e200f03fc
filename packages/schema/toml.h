// Fills schema messages from TOML files and checks every value on the way.
#ifndef MIMOSADALE_SCHEMA_TOML_H
#define MIMOSADALE_SCHEMA_TOML_H

#include <google/protobuf/message.h>
#include <string>
#include <vector>

namespace mimosadale::schema {

/// One fault of a file, ready to be shown to an operator.
struct Diagnostic {
  std::string m_File;
  unsigned m_Line = 0;
  std::string m_Key;
  std::string m_Message; // includes the values allowed
};

/// `file:line: key: what`, one fault a line. Safe from any thread.
std::string formatDiagnostics(const std::vector<Diagnostic> &Diagnostics);

/// Fills \p Msg from the text of a TOML file, by the names, types, bounds and
/// fallbacks that the schema states (docs/design/schema.md).
///
/// \param File the name shown in faults; the file is not read.
/// \returns every fault found, not only the first; \p Msg is only complete
/// when there is none.
/// \pre \p Msg is empty. Safe from any thread.
std::vector<Diagnostic> parseToml(const std::string &File,
                                  const std::string &Text,
                                  google::protobuf::Message &Msg);

/// Writes \p Msg as TOML, secrets replaced by asterisks. Safe from any
/// thread.
std::string printToml(const google::protobuf::Message &Msg);

/// Sets the field \p Key of \p Msg from text, as a CSV cell holds it.
/// \returns an empty text, or what is wrong with the values allowed.
/// \pre \p Key names a scalar field. Safe from any thread.
std::string setFieldFromText(google::protobuf::Message &Msg,
                             const std::string &Key, const std::string &Text);

} // namespace mimosadale::schema

#endif
