// libFuzzer entry points. Usage: `fuzz --target=NAME [corpus] [libFuzzer
// options]`.
#include "fuzz/targets.h"

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <iostream>

namespace {

const mimosadale::tests::FuzzTarget *SelectedTarget = nullptr;

} // namespace

// Options of libFuzzer begin with one dash; it ignores those that begin with
// two.
extern "C" int LLVMFuzzerInitialize(int *ArgCount, char ***Args) {
  const std::string TargetFlag = "--target=";
  for (int I = 1; I < *ArgCount; ++I)
    if (const std::string Argument = (*Args)[I];
        Argument.starts_with(TargetFlag))
      if (const auto Found = mimosadale::tests::fuzzTargets().find(
              Argument.substr(TargetFlag.size()));
          Found != mimosadale::tests::fuzzTargets().end())
        SelectedTarget = &Found->second;
  if (SelectedTarget)
    return 0;
  std::cerr << TargetFlag << ": allowed:";
  for (const auto &[Name, Target] : mimosadale::tests::fuzzTargets())
    std::cerr << ' ' << Name;
  std::cerr << '\n';
  std::exit(2);
}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  (*SelectedTarget)({reinterpret_cast<const char *>(Data), Size});
  return 0;
}
