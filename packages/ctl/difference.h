// The readable difference between two declarations.
#ifndef MIMOSADALE_CTL_DIFFERENCE_H
#define MIMOSADALE_CTL_DIFFERENCE_H

#include "schema/generated/declaration.pb.h"

#include <string>

namespace mimosadale::ctl {

/// One line a change, entries matched by name; empty when nothing differs.
/// Tokens of access are named as changed, never shown.
std::string describeDifference(const schema::Declaration &Before,
                               const schema::Declaration &After);

} // namespace mimosadale::ctl

#endif
