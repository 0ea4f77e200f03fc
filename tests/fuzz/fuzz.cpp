// Entry points of libFuzzer: `fuzz --target=NAME [corpus] [its own options]`.
#include "fuzz/targets.h"

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <iostream>

namespace {

const mimosadale::tests::FuzzTarget *Chosen = nullptr;

} // namespace

// Its options begin with one dash; those with two are left to this program.
extern "C" int LLVMFuzzerInitialize(int *Count, char ***Values) {
  const std::string Flag = "--target=";
  for (int I = 1; I < *Count; ++I)
    if (const std::string Given = (*Values)[I]; Given.starts_with(Flag))
      if (const auto Found =
              mimosadale::tests::fuzzTargets().find(Given.substr(Flag.size()));
          Found != mimosadale::tests::fuzzTargets().end())
        Chosen = &Found->second;
  if (Chosen)
    return 0;
  std::cerr << Flag << ": allowed:";
  for (const auto &[Name, Each] : mimosadale::tests::fuzzTargets())
    std::cerr << ' ' << Name;
  std::cerr << '\n';
  std::exit(2);
}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Bytes,
                                      std::size_t Size) {
  (*Chosen)({reinterpret_cast<const char *>(Bytes), Size});
  return 0;
}
