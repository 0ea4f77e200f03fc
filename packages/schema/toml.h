// Fills schema messages from TOML files, with validation of every value.
#ifndef MIMOSADALE_SCHEMA_TOML_H
#define MIMOSADALE_SCHEMA_TOML_H

#include <google/protobuf/message.h>
#include <string>
#include <vector>

namespace mimosadale::schema {

/// An error in a settings or declaration file, as shown to an operator.
struct Diagnostic {
  std::string m_File;
  unsigned m_Line = 0;
  std::string m_Key;
  std::string m_Message; // includes the allowed values
};

/// Formats diagnostics as `file:line: key: message`, one per line. Safe from
/// any thread.
std::string formatDiagnostics(const std::vector<Diagnostic> &Diagnostics);

/// Fills \p Msg from the text of a TOML file, using the names, types, bounds
/// and defaults of the schema (docs/design/schema.md).
///
/// \param File the name shown in diagnostics; the file itself is not read.
/// \returns all errors found, not only the first; \p Msg is complete only when
/// there are none.
/// \pre \p Msg is empty. Safe from any thread.
std::vector<Diagnostic> parseToml(const std::string &File,
                                  const std::string &Text,
                                  google::protobuf::Message &Msg);

/// Formats \p Msg as TOML with secrets replaced by asterisks. Safe from any
/// thread.
std::string printToml(const google::protobuf::Message &Msg);

/// Sets the field \p Key of \p Msg from unquoted text, such as a CSV cell.
/// \returns an empty string, or an error text with the allowed values.
/// \pre \p Key names a scalar field. Safe from any thread.
std::string setFieldFromText(google::protobuf::Message &Msg,
                             const std::string &Key, const std::string &Text);

} // namespace mimosadale::schema

#endif
