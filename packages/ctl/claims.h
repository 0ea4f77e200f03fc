// The `claims` command: lists, shows and settles claims.
#ifndef MIMOSADALE_CTL_CLAIMS_H
#define MIMOSADALE_CTL_CLAIMS_H

#include "ctl/commands.h"
#include "ctl/session.h"

namespace mimosadale::ctl {

/// Runs `claims list [WORKSPACE]`, `claims show ROW` or `claims settle ROW`.
/// \returns an `ExitStatus`. \throws Error, and UsageError for arguments that
/// are not valid.
int runClaims(const CommandLine &Line, Session &Clients);

} // namespace mimosadale::ctl

#endif
