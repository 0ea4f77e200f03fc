// Inputs that were kept, at every fuzz target.
#include "fuzz/targets.h"

#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>
#include <iterator>

using namespace mimosadale;

TEST_CASE("hostile and malformed inputs do no harm to any parser") {
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
      // Cut short anywhere, it is still only an error that is stated.
      for (std::size_t Length = 0; Length < Bytes.size();
           Length += 1 + Length / 16)
        CHECK_NOTHROW(Target(Bytes.substr(0, Length)));
      ++Count;
    }
    CAPTURE(Name);
    CHECK(Count > 0);
  }
}
