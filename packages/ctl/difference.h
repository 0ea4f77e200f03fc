// Describes the difference between two declarations as text.
#ifndef MIMOSADALE_CTL_DIFFERENCE_H
#define MIMOSADALE_CTL_DIFFERENCE_H

#include "schema/generated/declaration.pb.h"

#include <string>

namespace mimosadale::ctl {

/// Describes each change on one line; empty when the declarations are equal.
/// Entries are matched by name, models by name and version. A changed access
/// token shows as a short fingerprint of its hash; hash and salt are not shown.
std::string describeDifference(const schema::Declaration &Before,
                               const schema::Declaration &After);

} // namespace mimosadale::ctl

#endif
