// Tables passed on between routers, and where each router reads them.
#include "decide/row_cache.h"

#include "decide/reader_chooser.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <set>

using namespace mimosadale;
using namespace mimosadale::decide;
using namespace std::chrono_literals;

namespace {

constexpr Instant T0{1000s};

std::vector<std::string> routersOf(int Count) {
  std::vector<std::string> Names;
  for (int I = 0; I < Count; ++I)
    Names.push_back("r" + std::to_string(I));
  return Names;
}

std::map<std::string, double> alike(const std::vector<std::string> &Names) {
  std::map<std::string, double> Cores;
  for (const std::string &Each : Names)
    Cores[Each] = 0.25;
  return Cores;
}

} // namespace

TEST_CASE("a cache gives changes, whole tables, and nothing older") {
  RowCache Cache;
  CHECK_FALSE(Cache.loaded());
  CHECK(Cache.merge({{"a", "1", 3, false}, {"b", "1", 4, false}}, 5, true));
  CHECK(Cache.loaded());
  CHECK(Cache.merge({{"a", "2", 7, false}, {"b", "", 8, true}}, 8, false));
  CHECK_FALSE(Cache.merge({{"a", "0", 2, false}}, 6, true));
  CHECK(Cache.version() == 8);
  const auto All = Cache.rows(std::nullopt);
  REQUIRE(All);
  REQUIRE(All->size() == 1);
  CHECK(All->front().m_Value == "2");
  const auto Since = Cache.rows(7);
  REQUIRE(Since);
  REQUIRE(Since->size() == 1);
  CHECK(Since->front().m_Deleted);
  CHECK_FALSE(Cache.rows(4));
}

TEST_CASE("rows that go round between routers never replace newer ones") {
  RowCache Ahead;
  RowCache Behind;
  Behind.merge({{"a", "old", 3, false}}, 3, true);
  Ahead.merge({{"a", "new", 7, false}}, 7, true);
  CHECK_FALSE(Ahead.merge(*Behind.rows(std::nullopt), Behind.version(), true));
  CHECK_FALSE(Ahead.merge(*Behind.rows(3), Behind.version(), false));
  CHECK(Ahead.rows(std::nullopt)->front().m_Value == "new");
  CHECK(Behind.merge(*Ahead.rows(std::nullopt), Ahead.version(), true));
  CHECK(Behind.rows(std::nullopt)->front().m_Value == "new");
}

TEST_CASE("a router reads the store, and waits there for changes") {
  RowSourceChooser Source;
  for (int I = 0; I < 100; ++I) {
    CHECK(Source.next() == RowSource::Store);
    CHECK(Source.wait() > 10s);
    CHECK(Source.onCallEnded(false, true, 20ms) == 20ms);
  }
}

TEST_CASE("a router that the store turns away asks others, in turn with it") {
  RowSourceChooser Away;
  CHECK(Away.onCallEnded(true, true, 20ms) > 20ms);
  CHECK(Away.next() == RowSource::Store);
  CHECK(Away.wait() < 1s);
  for (int I = 0; I < 5; ++I) {
    Away.onCallEnded(true, true, 20ms);
    CHECK(Away.next() == RowSource::Peer);
    Away.onCallEnded(I % 2 == 0, true, 20ms);
    CHECK(Away.next() == RowSource::Store);
  }
  Away.onCallEnded(false, true, 20ms);
  CHECK(Away.next() == RowSource::Store);
  CHECK(Away.wait() > 10s);
  RowSourceChooser Alone;
  for (int I = 0; I < 6; ++I) {
    Alone.onCallEnded(true, false, 20ms);
    CHECK(Alone.next() == RowSource::Store);
  }
}

TEST_CASE("a change is in force within two seconds of a router that has it, "
          "whichever way the store fails") {
  // A call to the store that refuses at once, and to one that is silent, which
  // is given up one second after its wait.
  for (const bool Silent : {false, true}) {
    RowSourceChooser Away;
    Away.onCallEnded(true, true, 20ms);
    Duration Since{};   // the last look at another router
    Duration Longest{}; // the time between two of them
    for (int I = 0; I < 40; ++I) {
      const bool Peer = Away.next() == RowSource::Peer;
      if (Peer && I > 10)
        Longest = std::max(Longest, Since);
      if (Peer)
        Since = Duration{};
      else
        Since += Silent ? Away.wait() + 1s : Duration{};
      Since += Away.onCallEnded(!Peer, true, 20ms);
    }
    CHECK(Longest > Duration{});
    CHECK(Longest < 2s);
  }
}

TEST_CASE("a store that fails is not pressed") {
  RowSourceChooser Alone;
  Duration Sum{};
  for (int I = 0; I < 10; ++I)
    Sum += Alone.onCallEnded(true, false, 20ms);
  CHECK(Sum > 7s);
  Alone.onCallEnded(false, false, 20ms);
  CHECK(Alone.onCallEnded(true, false, 20ms) < 500ms);
}

TEST_CASE("of many routers one of a data centre reads, of few each") {
  const std::vector<std::string> Here = routersOf(20);
  int Readers = 0;
  std::set<std::string> Read;
  for (const std::string &Each : Here) {
    ReaderChooser Chooser;
    CHECK_FALSE(Chooser.reader(T0));
    CHECK_FALSE(Chooser.readsForOthers(T0));
    Chooser.setRouters(Each, alike(Here), 60);
    Readers += Chooser.readsForOthers(T0);
    if (const auto From = Chooser.reader(T0))
      Read.insert(*From);
    Chooser.setRouters(Each, alike(routersOf(6)), 6);
    CHECK_FALSE(Chooser.reader(T0));
    CHECK_FALSE(Chooser.readsForOthers(T0));
  }
  CHECK(Readers == 1);
  CHECK(Read.size() == 1);
}

TEST_CASE("dozens of routers ask the reader: the largest hosts read") {
  const std::vector<std::string> Here = routersOf(39);
  auto Cores = alike(Here);
  Cores["r7"] = Cores["r20"] = 0.5;
  std::set<std::string> Read;
  for (const std::string &Each : Here) {
    ReaderChooser Chooser;
    Chooser.setRouters(Each, Cores, 195);
    if (const auto First = Chooser.reader(T0)) {
      Read.insert(*First);
      Chooser.onFailed(*First, T0);
    }
    if (const auto Next = Chooser.reader(T0))
      Read.insert(*Next);
  }
  CHECK(Read == std::set<std::string>{"r20", "r7"});
}

TEST_CASE("a reader that fails is passed over for a while, then the store is "
          "read") {
  const std::vector<std::string> Here = routersOf(20);
  ReaderChooser First; // what the first candidate decides
  std::string Best;
  std::string Second;
  for (const std::string &Each : Here) {
    First.setRouters(Each, alike(Here), 60);
    if (First.readsForOthers(T0))
      Best = Each;
  }
  for (const std::string &Each : Here) {
    ReaderChooser Without;
    Without.setRouters(Each, alike(Here), 60);
    Without.onFailed(Best, T0);
    if (Without.readsForOthers(T0))
      Second = Each;
  }
  REQUIRE(Best != Second);
  const std::string Third =
      *std::find_if(Here.begin(), Here.end(), [&](const std::string &Each) {
        return Each != Best && Each != Second;
      });
  ReaderChooser Chooser;
  Chooser.setRouters(Third, alike(Here), 60);
  CHECK(Chooser.reader(T0) == Best);
  Chooser.onFailed(Best, T0);
  CHECK(Chooser.reader(T0) == Second);
  Chooser.onFailed(Second, T0);
  CHECK_FALSE(Chooser.reader(T0 + 1s));
  CHECK_FALSE(Chooser.readsForOthers(T0 + 1s));
  CHECK(Chooser.reader(T0 + 10s) == Best);
}

// A reader that is cut off from the store goes on answering. The rows that it
// confirms are the store's of that moment; what changes after it must be heard
// of in two seconds all the same.
TEST_CASE("a reader that is cut off holds nobody back for two seconds") {
  const std::vector<std::string> Here = routersOf(20);
  TableRead Reads;
  TableRead Follows;
  for (const std::string &Each : Here) {
    ReaderChooser Chooser;
    Chooser.setRouters(Each, alike(Here), 60);
    TableRead Own;
    Own.m_Wait = 20s;
    Own.m_Interval = 1s;
    (Chooser.readsForOthers(T0) ? Reads : Follows) = Chooser.planRead(Own, T0);
    Own.m_Source = RowSource::Peer; // the store fails
    CHECK(Chooser.planRead(Own, T0).m_Wait == 20s);
  }
  CHECK(Reads.fromStore());
  CHECK(Follows.fromReader());
  RowCache Reader;
  Reader.merge({{"a", "1", 3, false}}, 3, true);
  Reader.merge({}, 3, false, T0);
  CHECK(Reader.confirmed(T0 + Reads.m_Wait + Reads.m_Interval));
  Instant Now = T0;
  while (Reader.confirmed(Now))
    Now += Follows.m_Wait + Follows.m_Interval;
  CHECK(Now - T0 < 2s);
  RowCache Never;
  CHECK_FALSE(Never.confirmed(T0));
}

TEST_CASE("a store that lost its history answers with a table of before: that "
          "confirms nothing to those that read from this router") {
  RowCache Reader;
  REQUIRE(Reader.merge({{"config", "old", 5}}, 5, true, T0));
  REQUIRE(Reader.merge({{"config", "new", 9}}, 9, false, T0 + 1s));
  CHECK(Reader.confirmed(T0 + 2s));
  CHECK_FALSE(Reader.merge({{"config", "old", 5}}, 7, true, T0 + 3s));
  CHECK_FALSE(Reader.confirmed(T0 + 3s));
  CHECK(Reader.rows(std::nullopt)->front().m_Value == "new");
  // Another router's word confirms nothing either.
  REQUIRE(Reader.merge({}, 9, false));
  CHECK_FALSE(Reader.confirmed(T0 + 3s));
}
