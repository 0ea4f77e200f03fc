// Commands on claims.
#ifndef MIMOSADALE_CTL_CLAIMS_H
#define MIMOSADALE_CTL_CLAIMS_H

#include "ctl/commands.h"
#include "ctl/session.h"

namespace mimosadale::ctl {

/// `claims list [WORKSPACE] | show ROW | settle ROW`. \throws Error.
int runClaims(const CommandLine &Line, Session &Clients);

} // namespace mimosadale::ctl

#endif
