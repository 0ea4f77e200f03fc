// Tables passed on between routers, and where each router reads them.
#include "decide/row_cache.h"

#include <doctest/doctest.h>

using namespace mimosadale;
using namespace mimosadale::decide;
using namespace std::chrono_literals;

namespace {

constexpr Instant T0{std::chrono::seconds(1000)};

} // namespace

TEST_CASE("a cache gives changes, whole tables, and nothing older") {
  RowCache Cache;
  CHECK(Cache.take({{"a", "1", 3, false}, {"b", "1", 4, false}}, 5, true, T0));
  CHECK(Cache.take({{"a", "2", 7, false}, {"b", "", 8, true}}, 8, false, T0));
  CHECK_FALSE(Cache.take({{"a", "0", 2, false}}, 6, true, T0));
  CHECK(Cache.version() == 8);
  const auto All = Cache.rows(std::nullopt);
  REQUIRE(All);
  REQUIRE(All->size() == 1);
  CHECK(All->front().m_Value == "2");
  const auto Since = Cache.rows(7);
  REQUIRE(Since);
  REQUIRE(Since->size() == 1);
  CHECK(Since->front().m_Dropped);
  CHECK_FALSE(Cache.rows(4));
}

TEST_CASE("what was not confirmed for a while is not passed on") {
  RowCache Cache;
  CHECK_FALSE(Cache.fresh(T0));
  Cache.take({}, 1, true, T0);
  CHECK(Cache.fresh(T0 + 1s));
  CHECK_FALSE(Cache.fresh(T0 + 2s));
}

TEST_CASE("cut-off routers that read from each other stop passing rows on") {
  RowCache First;
  RowCache Second;
  First.take({{"a", "1", 3, false}}, 3, true, T0);
  // The store is gone after that; each takes what the other one has.
  Instant Now = T0;
  while (Now < T0 + 5s) {
    Now += 300ms;
    if (First.fresh(Now))
      Second.take(*First.rows(std::nullopt), First.version(), true,
                  Now - First.age(Now));
    if (Second.fresh(Now))
      First.take(*Second.rows(std::nullopt), Second.version(), true,
                 Now - Second.age(Now));
    const bool AnyFresh = First.fresh(Now) || Second.fresh(Now);
    CHECK(AnyFresh == (Now < T0 + 1400ms));
  }
}

TEST_CASE("a change is in force within the bound whatever fails on its way") {
  // A reader that is cut off from the store passes rows on for a while; then
  // its readers must have gone to the store. Both together, with the answers'
  // ways, stay below two seconds.
  RowCache Reader;
  Reader.take({}, 1, true, T0);
  RowSourceChooser Chooser(12);
  Chooser.onRouters(68, false);
  Instant Now = T0;
  while (Reader.fresh(Now)) {
    CHECK(Chooser.next(Now) == RowSource::Peer);
    const Duration Wait = Chooser.wait(RowSource::Peer);
    Chooser.onCall(RowSource::Peer, false, true, Now + Wait);
    Now += Wait;
  }
  Chooser.onCall(RowSource::Peer, true, true, Now);
  CHECK(Chooser.next(Now) == RowSource::Store);
  CHECK(Now - T0 < 2s);
}

TEST_CASE("few routers read the store themselves, many read from one") {
  RowSourceChooser Few(12);
  Few.onRouters(7, false);
  CHECK(Few.next(T0) == RowSource::Store);
  CHECK(Few.wait(RowSource::Store) > 10s);
  RowSourceChooser Reader(12);
  Reader.onRouters(68, true);
  CHECK(Reader.next(T0) == RowSource::Store);
  CHECK(Reader.wait(RowSource::Store) < 1s);
  RowSourceChooser Other(12);
  Other.onRouters(68, false);
  CHECK(Other.next(T0) == RowSource::Peer);
  Other.onCall(RowSource::Peer, true, true, T0);
  CHECK(Other.next(T0 + 1s) == RowSource::Store);
  CHECK(Other.next(T0 + 4s) == RowSource::Peer);
}

TEST_CASE("a router that the store turns away asks others, in turn with it") {
  RowSourceChooser Away(12);
  Away.onRouters(7, false);
  Away.onCall(RowSource::Store, true, true, T0);
  CHECK(Away.next(T0) == RowSource::Store);
  Away.onCall(RowSource::Store, true, true, T0);
  CHECK(Away.next(T0) == RowSource::Peer);
  Away.onCall(RowSource::Peer, false, true, T0);
  CHECK(Away.next(T0) == RowSource::Store);
  Away.onCall(RowSource::Store, true, true, T0);
  CHECK(Away.next(T0) == RowSource::Peer);
  Away.onCall(RowSource::Peer, false, true, T0);
  Away.onCall(RowSource::Store, false, true, T0);
  CHECK(Away.next(T0) == RowSource::Store);
  RowSourceChooser Alone(12);
  for (int I = 0; I < 6; ++I)
    Alone.onCall(RowSource::Store, true, false, T0);
  CHECK(Alone.next(T0) == RowSource::Store);
}
