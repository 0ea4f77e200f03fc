#include "decide/rendezvous.h"

#include <algorithm>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace mimosadale::decide {

namespace {

XXH64_hash_t weight(const std::string &Member, const std::string &Key) {
  const XXH64_hash_t Seed = XXH3_64bits(Key.data(), Key.size());
  return XXH3_64bits_withSeed(Member.data(), Member.size(), Seed);
}

} // namespace

std::vector<std::string> chooseMembers(std::vector<std::string> Members,
                                       const std::string &Key,
                                       std::size_t Count) {
  std::sort(Members.begin(), Members.end(),
            [&](const std::string &A, const std::string &B) {
              return weight(A, Key) > weight(B, Key);
            });
  Members.resize(std::min(Count, Members.size()));
  return Members;
}

} // namespace mimosadale::decide
