// Caching of the store's tables, and whether a router reads them from the store
// or from another router.
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

// A version of a store that states no era.
StoreVersion at(std::uint64_t Number) { return {StoreEra{}, Number}; }

StoreVersion at(std::uint64_t Era, std::uint64_t Number) {
  return {StoreEra(Era), Number};
}

bool merged(MergeResult Result) { return Result == MergeResult::Merged; }

bool rejected(MergeResult Result) { return Result == MergeResult::Rejected; }

std::vector<std::string> routerNames(int Count) {
  std::vector<std::string> Names;
  for (int I = 0; I < Count; ++I)
    Names.push_back("r" + std::to_string(I));
  return Names;
}

std::map<std::string, double>
equalCores(const std::vector<std::string> &Names) {
  std::map<std::string, double> Cores;
  for (const std::string &Name : Names)
    Cores[Name] = 0.25;
  return Cores;
}

} // namespace

TEST_CASE("a cache returns changes or a snapshot, and an older table never "
          "replaces a newer one") {
  RowCache Cache;
  CHECK_FALSE(Cache.loaded());
  CHECK(merged(Cache.merge({{"a", "1", at(3), false}, {"b", "1", at(4), false}},
                           at(5), true)));
  CHECK(Cache.loaded());
  CHECK(merged(Cache.merge({{"a", "2", at(7), false}, {"b", "", at(8), true}},
                           at(8), false)));
  CHECK(rejected(Cache.merge({{"a", "0", at(2), false}}, at(6), true)));
  CHECK(Cache.version() == at(8));
  const auto Rows = Cache.rows(std::nullopt);
  REQUIRE(Rows);
  REQUIRE(Rows->size() == 1);
  CHECK(Rows->front().m_Value == "2");
  const auto Changes = Cache.rows(at(7));
  REQUIRE(Changes);
  REQUIRE(Changes->size() == 1);
  CHECK(Changes->front().m_Deleted);
  CHECK_FALSE(Cache.rows(at(4)));
}

// Guards against a restored store being refused as old until its numbers pass
// those known before, and against the older era's rows coming back.
TEST_CASE("the store comes back from an older copy: its snapshot replaces all "
          "rows, and nothing of the era before is accepted after that") {
  RowCache Cache;
  REQUIRE(merged(Cache.merge(
      {{"a", "lost", at(1, 9), false}, {"b", "lost", at(1, 8), false}},
      at(1, 10), true, T0)));
  // Changes alone do not show what the copy lacks.
  CHECK(Cache.merge({{"a", "change", at(2, 9), false}}, at(2, 9), false) ==
        MergeResult::NeedsSnapshot);
  CHECK(Cache.rows(std::nullopt)->size() == 2);
  CHECK(Cache.merge({{"a", "copy", at(2, 3), false}}, at(2, 7), true,
                    T0 + 5s) == MergeResult::RestoredStore);
  CHECK(Cache.version() == at(2, 7));
  REQUIRE(Cache.rows(std::nullopt)->size() == 1);
  CHECK(Cache.rows(std::nullopt)->front().m_Value == "copy");
  CHECK(Cache.confirmed(T0 + 5s));
  CHECK(rejected(
      Cache.merge({{"a", "late", at(1, 12), false}}, at(1, 12), true)));
  CHECK(rejected(
      Cache.merge({{"a", "late", at(1, 12), false}}, at(1, 12), false)));
  CHECK(
      merged(Cache.merge({{"a", "again", at(2, 9), false}}, at(2, 9), false)));
  CHECK(Cache.rows(std::nullopt)->front().m_Value == "again");
  // A router of the era before asks for what changed since a number that was
  // given out again.
  CHECK_FALSE(Cache.rows(at(1, 8)));
  CHECK(Cache.rows(at(2, 8))->size() == 1);
  CHECK(Cache.merge({}, at(3, 2), true) == MergeResult::RestoredStore);
  CHECK(Cache.rows(std::nullopt)->empty());
}

TEST_CASE("rows that circulate between routers never replace newer ones") {
  RowCache Newer;
  RowCache Older;
  Older.merge({{"a", "old", at(3), false}}, at(3), true);
  Newer.merge({{"a", "new", at(7), false}}, at(7), true);
  CHECK(
      rejected(Newer.merge(*Older.rows(std::nullopt), Older.version(), true)));
  CHECK(rejected(Newer.merge(*Older.rows(at(3)), Older.version(), false)));
  CHECK(Newer.rows(std::nullopt)->front().m_Value == "new");
  CHECK(merged(Older.merge(*Newer.rows(std::nullopt), Newer.version(), true)));
  CHECK(Older.rows(std::nullopt)->front().m_Value == "new");
}

TEST_CASE("a router whose store responds reads only the store and waits there "
          "for changes") {
  RowSourceChooser Source;
  for (int I = 0; I < 100; ++I) {
    CHECK(Source.next() == RowSource::Store);
    CHECK(Source.wait() > 10s);
    CHECK(Source.onCallEnded(false, true, 20ms) == 20ms);
  }
}

TEST_CASE("a router that the store refuses alternates between the store and "
          "other routers") {
  RowSourceChooser Refused;
  CHECK(Refused.onCallEnded(true, true, 20ms) > 20ms);
  CHECK(Refused.next() == RowSource::Store);
  CHECK(Refused.wait() < 1s);
  for (int I = 0; I < 5; ++I) {
    Refused.onCallEnded(true, true, 20ms);
    CHECK(Refused.next() == RowSource::Peer);
    Refused.onCallEnded(I % 2 == 0, true, 20ms);
    CHECK(Refused.next() == RowSource::Store);
  }
  Refused.onCallEnded(false, true, 20ms);
  CHECK(Refused.next() == RowSource::Store);
  CHECK(Refused.wait() > 10s);
  RowSourceChooser WithoutPeers;
  for (int I = 0; I < 6; ++I) {
    WithoutPeers.onCallEnded(true, false, 20ms);
    CHECK(WithoutPeers.next() == RowSource::Store);
  }
}

TEST_CASE("a change is in force within two seconds if another router has it, "
          "whether the store refuses or stops responding") {
  // A store either refuses a call at once or does not respond; then the call is
  // abandoned one second after its wait.
  for (const bool Silent : {false, true}) {
    RowSourceChooser Chooser;
    Chooser.onCallEnded(true, true, 20ms);
    Duration SincePeerRead{};   // since the last read from another router
    Duration LongestInterval{}; // between two such reads
    for (int I = 0; I < 40; ++I) {
      const bool FromPeer = Chooser.next() == RowSource::Peer;
      if (FromPeer && I > 10)
        LongestInterval = std::max(LongestInterval, SincePeerRead);
      if (FromPeer)
        SincePeerRead = Duration{};
      else
        SincePeerRead += Silent ? Chooser.wait() + 1s : Duration{};
      SincePeerRead += Chooser.onCallEnded(!FromPeer, true, 20ms);
    }
    CHECK(LongestInterval > Duration{});
    CHECK(LongestInterval < 2s);
  }
}

// Guards against routers that wait for an answer which a silent store lost,
// long after it is back.
TEST_CASE("a store falls silent at any moment and for any time: a table whose "
          "changes have a bound is read again within 3 s of its return") {
  constexpr Duration Margin = 1s;      // beyond the wait of a call to the store
  constexpr Duration PeerAnswer = 1s;  // of a router that knows nothing newer
  constexpr Duration SilentFrom = 10s; // after the first call
  for (const bool HasPeers : {false, true})
    for (Duration Phase{}; Phase < 2s; Phase += 10ms)
      for (const Duration Silence : {100ms, 1000ms, 2500ms, 4500ms, 12000ms}) {
        const Duration Back = SilentFrom + Silence;
        RowSourceChooser Source(boundedFeedWait());
        Duration Now = Phase;
        Duration ReadAt{};
        while (ReadAt < Back) {
          const bool FromStore = Source.next() == RowSource::Store;
          const Duration SentAt = Now;
          const bool Lost = FromStore && SentAt >= SilentFrom && SentAt < Back;
          Now += FromStore ? Source.wait() + (Lost ? Margin : Duration{})
                           : PeerAnswer;
          // A feed that waited before the silence is answered after it.
          if (FromStore && !Lost && SentAt < SilentFrom && Now > SilentFrom)
            Now = std::max(Now, Back);
          if (FromStore && !Lost)
            ReadAt = Now;
          Now += Source.onCallEnded(Lost || !FromStore, HasPeers, 20ms);
        }
        CAPTURE(HasPeers);
        CAPTURE(Phase.count());
        CAPTURE(Silence.count());
        CHECK(ReadAt - Back <= 3s);
      }
}

TEST_CASE("a call that may wait for long is abandoned: the next one waits "
          "briefly, and those after it as before") {
  RowSourceChooser Source;
  CHECK(Source.waitsLong());
  CHECK(Source.onCallAbandoned() < 100ms);
  CHECK(Source.next() == RowSource::Store);
  CHECK(Source.wait() < 1s);
  CHECK_FALSE(Source.waitsLong());
  Source.onCallEnded(false, false, 20ms);
  CHECK(Source.waitsLong());
  CHECK_FALSE(RowSourceChooser(boundedFeedWait()).waitsLong());
}

TEST_CASE("a store that fails is called with a growing backoff") {
  RowSourceChooser WithoutPeers;
  Duration TotalBackoff{};
  for (int I = 0; I < 10; ++I)
    TotalBackoff += WithoutPeers.onCallEnded(true, false, 20ms);
  CHECK(TotalBackoff > 7s);
  WithoutPeers.onCallEnded(false, false, 20ms);
  CHECK(WithoutPeers.onCallEnded(true, false, 20ms) < 500ms);
}

TEST_CASE("of many routers one per data centre reads the store for the others, "
          "of few each for itself") {
  const std::vector<std::string> Routers = routerNames(20);
  int Readers = 0;
  std::set<std::string> ReadersUsed;
  for (const std::string &Name : Routers) {
    ReaderChooser Chooser;
    CHECK_FALSE(Chooser.reader(T0));
    CHECK_FALSE(Chooser.readsForOthers(T0));
    Chooser.setRouters(Name, equalCores(Routers), 60);
    Readers += Chooser.readsForOthers(T0);
    if (const auto Reader = Chooser.reader(T0))
      ReadersUsed.insert(*Reader);
    Chooser.setRouters(Name, equalCores(routerNames(6)), 6);
    CHECK_FALSE(Chooser.reader(T0));
    CHECK_FALSE(Chooser.readsForOthers(T0));
  }
  CHECK(Readers == 1);
  CHECK(ReadersUsed.size() == 1);
}

TEST_CASE("dozens of routers ask the reader: the routers with the most cores "
          "read the store") {
  const std::vector<std::string> Routers = routerNames(39);
  auto Cores = equalCores(Routers);
  Cores["r7"] = Cores["r20"] = 0.5;
  std::set<std::string> ReadersUsed;
  for (const std::string &Name : Routers) {
    ReaderChooser Chooser;
    Chooser.setRouters(Name, Cores, 195);
    if (const auto First = Chooser.reader(T0)) {
      ReadersUsed.insert(*First);
      Chooser.onFailed(*First, T0);
    }
    if (const auto Next = Chooser.reader(T0))
      ReadersUsed.insert(*Next);
  }
  CHECK(ReadersUsed == std::set<std::string>{"r20", "r7"});
}

TEST_CASE("a reader that fails is skipped for a while, and if the next one "
          "fails too, the store is read") {
  const std::vector<std::string> Routers = routerNames(20);
  ReaderChooser Candidate; // finds the router that reads first
  std::string FirstChoice;
  std::string SecondChoice;
  for (const std::string &Name : Routers) {
    Candidate.setRouters(Name, equalCores(Routers), 60);
    if (Candidate.readsForOthers(T0))
      FirstChoice = Name;
  }
  for (const std::string &Name : Routers) {
    ReaderChooser WithoutFirst;
    WithoutFirst.setRouters(Name, equalCores(Routers), 60);
    WithoutFirst.onFailed(FirstChoice, T0);
    if (WithoutFirst.readsForOthers(T0))
      SecondChoice = Name;
  }
  REQUIRE(FirstChoice != SecondChoice);
  const std::string Follower = *std::find_if(
      Routers.begin(), Routers.end(), [&](const std::string &Name) {
        return Name != FirstChoice && Name != SecondChoice;
      });
  ReaderChooser Chooser;
  Chooser.setRouters(Follower, equalCores(Routers), 60);
  CHECK(Chooser.reader(T0) == FirstChoice);
  Chooser.onFailed(FirstChoice, T0);
  CHECK(Chooser.reader(T0) == SecondChoice);
  Chooser.onFailed(SecondChoice, T0);
  CHECK_FALSE(Chooser.reader(T0 + 1s));
  CHECK_FALSE(Chooser.readsForOthers(T0 + 1s));
  CHECK(Chooser.reader(T0 + 10s) == FirstChoice);
}

// A reader that is cut off from the store goes on answering with the rows of
// the last moment at which the store confirmed them. Routers that read from it
// must get a later change within two seconds all the same.
TEST_CASE("a reader that is cut off from the store delays changes to other "
          "routers by less than two seconds") {
  const std::vector<std::string> Routers = routerNames(20);
  TableRead ReaderCall;
  TableRead FollowerCall;
  for (const std::string &Name : Routers) {
    ReaderChooser Chooser;
    Chooser.setRouters(Name, equalCores(Routers), 60);
    TableRead Call;
    Call.m_Wait = 20s;
    Call.m_Interval = 1s;
    (Chooser.readsForOthers(T0) ? ReaderCall : FollowerCall) =
        Chooser.planRead(Call, T0);
    Call.m_Source = RowSource::Peer; // the store fails
    CHECK(Chooser.planRead(Call, T0).m_Wait == 20s);
  }
  CHECK(ReaderCall.fromStore());
  CHECK(FollowerCall.fromReader());
  RowCache Reader;
  Reader.merge({{"a", "1", at(3), false}}, at(3), true);
  Reader.merge({}, at(3), false, T0);
  CHECK(Reader.confirmed(T0 + ReaderCall.m_Wait + ReaderCall.m_Interval));
  Instant Now = T0;
  while (Reader.confirmed(Now))
    Now += FollowerCall.m_Wait + FollowerCall.m_Interval;
  CHECK(Now - T0 < 2s);
  RowCache Unconfirmed;
  CHECK_FALSE(Unconfirmed.confirmed(T0));
}

TEST_CASE("a store that lost its history returns an old table, which confirms "
          "nothing to the routers that read from this one") {
  RowCache Reader;
  REQUIRE(merged(Reader.merge({{"config", "old", at(5)}}, at(5), true, T0)));
  REQUIRE(
      merged(Reader.merge({{"config", "new", at(9)}}, at(9), false, T0 + 1s)));
  CHECK(Reader.confirmed(T0 + 2s));
  CHECK(
      rejected(Reader.merge({{"config", "old", at(5)}}, at(7), true, T0 + 3s)));
  CHECK_FALSE(Reader.confirmed(T0 + 3s));
  CHECK(Reader.rows(std::nullopt)->front().m_Value == "new");
  // Rows read from another router confirm nothing either.
  REQUIRE(merged(Reader.merge({}, at(9), false)));
  CHECK_FALSE(Reader.confirmed(T0 + 3s));
}
