#include "decide/rendezvous.h"

#include <algorithm>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace mimosadale::decide {

namespace {

XXH64_hash_t weight(const std::string &Member, const std::string &Subject) {
  const XXH64_hash_t Seed = XXH3_64bits(Subject.data(), Subject.size());
  return XXH3_64bits_withSeed(Member.data(), Member.size(), Seed);
}

} // namespace

std::vector<std::string> chooseMembers(std::vector<std::string> Members,
                                       const std::string &Subject,
                                       std::size_t Count) {
  std::sort(Members.begin(), Members.end(),
            [&](const std::string &A, const std::string &B) {
              return weight(A, Subject) > weight(B, Subject);
            });
  Members.resize(std::min(Count, Members.size()));
  return Members;
}

} // namespace mimosadale::decide
