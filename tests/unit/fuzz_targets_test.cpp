// Runs the saved inputs of the corpus through every fuzz target.
#include "fuzz/targets.h"

#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>
#include <iterator>

using namespace mimosadale;

TEST_CASE("hostile and malformed inputs, also truncated ones, make no parser "
          "crash or throw") {
  const std::filesystem::path Corpus =
      std::filesystem::path(MIMOSADALE_SOURCE) / "tests/fuzz/corpus";
  for (const auto &[Name, Target] : tests::fuzzTargets()) {
    unsigned Count = 0;
    for (const auto &File :
         std::filesystem::directory_iterator(Corpus / Name)) {
      std::ifstream Stream(File.path(), std::ios::binary);
      const std::string Bytes{std::istreambuf_iterator<char>(Stream), {}};
      CAPTURE(File.path().string());
      CHECK_NOTHROW(Target(Bytes));
      // A truncated input must be reported as an error, not throw.
      for (std::size_t Length = 0; Length < Bytes.size();
           Length += 1 + Length / 16)
        CHECK_NOTHROW(Target(Bytes.substr(0, Length)));
      ++Count;
    }
    CAPTURE(Name);
    CHECK(Count > 0);
  }
}
