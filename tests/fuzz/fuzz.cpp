// Entry points of libFuzzer: `fuzz --door=NAME [corpus] [its own options]`.
#include "fuzz/doors.h"

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <iostream>

namespace {

const mimosadale::tests::Door *Chosen = nullptr;

} // namespace

// Its options begin with one dash; those with two are left to this program.
extern "C" int LLVMFuzzerInitialize(int *Count, char ***Values) {
  const std::string Flag = "--door=";
  for (int I = 1; I < *Count; ++I)
    if (const std::string Given = (*Values)[I]; Given.starts_with(Flag))
      if (const auto Found =
              mimosadale::tests::doors().find(Given.substr(Flag.size()));
          Found != mimosadale::tests::doors().end())
        Chosen = &Found->second;
  if (Chosen)
    return 0;
  std::cerr << Flag << ": allowed:";
  for (const auto &[Name, Each] : mimosadale::tests::doors())
    std::cerr << ' ' << Name;
  std::cerr << '\n';
  std::exit(2);
}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Bytes,
                                      std::size_t Size) {
  (*Chosen)({reinterpret_cast<const char *>(Bytes), Size});
  return 0;
}
