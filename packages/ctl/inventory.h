// Declarations from files: rules in TOML, inventory from the asset register.
#ifndef MIMOSADALE_CTL_INVENTORY_H
#define MIMOSADALE_CTL_INVENTORY_H

#include "schema/generated/declaration.pb.h"
#include "schema/toml.h"

#include <string>
#include <vector>

namespace mimosadale::ctl {

/// A declaration with every fault found in its files.
struct LoadedDeclaration {
  schema::Declaration m_Declaration;
  std::vector<schema::Diagnostic> m_Faults;
};

/// Reads the endpoints from the text of a CSV export (RFC 4180, first row names
/// the columns). Rows with faults are named by line and nothing of the export
/// is to be applied then.
std::vector<schema::Diagnostic>
importInventory(const std::string &File, const std::string &Text,
                const schema::ColumnMap &Columns, schema::Declaration &Into);

/// What no single field shows: names that point nowhere, layer ranges outside
/// their model, models that no endpoints can tile.
std::vector<schema::Diagnostic> crossCheck(const std::string &File,
                                           const schema::Declaration &Declared);

/// Reads \p File and the export it names. \throws Error when a file cannot be
/// read.
LoadedDeclaration loadDeclaration(const std::string &File);

} // namespace mimosadale::ctl

#endif
