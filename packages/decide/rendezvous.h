// Rendezvous hashing: which members answer for a subject.
#ifndef MIMOSADALE_DECIDE_RENDEZVOUS_H
#define MIMOSADALE_DECIDE_RENDEZVOUS_H

#include <string>
#include <vector>

namespace mimosadale::decide {

/// The \p Count members with the highest weight for \p Subject, highest first;
/// all of them when there are fewer. Every caller with the same members gets
/// the same answer, and a member's leaving moves only its own subjects
/// (D. Thaler, C. Ravishankar, "Using Name-Based Mappings to Increase Hit
/// Rates", 1998). Safe from any thread.
std::vector<std::string> chooseMembers(std::vector<std::string> Members,
                                       const std::string &Key,
                                       std::size_t Count);

} // namespace mimosadale::decide

#endif
