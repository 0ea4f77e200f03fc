// Loads declarations: rules from a TOML file, endpoints from a CSV export of
// the asset register.
#ifndef MIMOSADALE_CTL_INVENTORY_H
#define MIMOSADALE_CTL_INVENTORY_H

#include "schema/generated/declaration.pb.h"
#include "schema/toml.h"

#include <string>
#include <vector>

namespace mimosadale::ctl {

/// A declaration and all faults found in its files. A declaration with faults
/// must not be applied.
struct LoadedDeclaration {
  schema::Declaration m_Declaration;
  std::vector<schema::Diagnostic> m_Faults;
};

/// Adds the endpoints of a CSV export (RFC 4180, column names in the first row)
/// to \p Declaration. \p File is used only in messages.
/// \returns the faults with their line numbers; if there are any, the export
/// must not be applied, not even in part.
std::vector<schema::Diagnostic>
importInventory(const std::string &File, const std::string &Text,
                const schema::ColumnMap &Columns,
                schema::Declaration &Declaration);

/// Checks consistency between entries: references to services and models that
/// are not declared, layer ranges outside their model, and models whose layers
/// the declared engines do not cover.
std::vector<schema::Diagnostic>
validateDeclaration(const std::string &File,
                    const schema::Declaration &Declaration);

/// Loads \p File and the CSV export that it names, if any. Validates
/// the declaration only if it names an export and both files have no faults.
/// \throws Error when a file cannot be read.
LoadedDeclaration loadDeclaration(const std::string &File);

} // namespace mimosadale::ctl

#endif
