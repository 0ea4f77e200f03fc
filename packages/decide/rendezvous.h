// Rendezvous hashing: which members are responsible for a key.
#ifndef MIMOSADALE_DECIDE_RENDEZVOUS_H
#define MIMOSADALE_DECIDE_RENDEZVOUS_H

#include <string>
#include <vector>

namespace mimosadale::decide {

/// The \p Count members with the highest weight for \p Key, highest first; all
/// members when there are fewer. Callers with the same members get the same
/// result, and the removal of a member reassigns only the keys it had (D.
/// Thaler, C. Ravishankar, "Using Name-Based Mappings to Increase Hit Rates",
/// 1998). Safe from any thread.
std::vector<std::string> chooseMembers(std::vector<std::string> Members,
                                       const std::string &Key,
                                       std::size_t Count);

} // namespace mimosadale::decide

#endif
