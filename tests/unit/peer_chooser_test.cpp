// Which router a request is handed to by one that reaches no endpoint.
#include "decide/peer_chooser.h"

#include <doctest/doctest.h>

using namespace mimosadale;
using namespace mimosadale::decide;
using namespace std::chrono_literals;

namespace {

constexpr Instant T0{1000s};
const DataCentreId Here("here");
const DataCentreId There("there");
const PeerId Near("near");
const PeerId Far("far");
const ServiceId Guide("guide");
const ServiceId Ledger("ledger");

} // namespace

TEST_CASE("a router of the same data centre is preferred, and one that handed "
          "a request back is skipped for a second") {
  PeerChooser Chooser;
  Random Rng(1);
  CHECK_FALSE(Chooser.choose(Guide, Here, {}, T0, Rng));
  Chooser.setRouters({{Near, Here}, {Far, There}});
  CHECK(Chooser.choose(Guide, Here, {}, T0, Rng) == Near);
  CHECK(Chooser.choose(Guide, Here, {Near}, T0, Rng) == Far);
  CHECK_FALSE(Chooser.choose(Guide, Here, {Near, Far}, T0, Rng));
  Chooser.onHandedBack(Near, Guide, HandBackCause::Endpoint, T0);
  CHECK(Chooser.choose(Guide, Here, {}, T0 + 900ms, Rng) == Far);
  CHECK(Chooser.choose(Guide, Here, {}, T0 + 1s, Rng) == Near);
  Chooser.onFailed(Near, T0 + 1s);
  CHECK(Chooser.choose(Guide, Here, {}, T0 + 3900ms, Rng) == Far);
  CHECK(Chooser.choose(Guide, Here, {}, T0 + 4s, Rng) == Near);
}

TEST_CASE("a router is silent: others come first for a while, but it is still "
          "chosen if there is no other one") {
  PeerChooser Chooser;
  Random Rng(1);
  Chooser.setRouters({{Near, Here}, {Far, There}});
  Chooser.onServed(Near, Guide, T0);
  Chooser.onInterrupted(Near, T0);
  CHECK(Chooser.choose(Guide, Here, {}, T0 + 2900ms, Rng) == Far);
  CHECK(Chooser.choose(Guide, Here, {Far}, T0, Rng) == Near);
  CHECK(Chooser.choose(Guide, Here, {}, T0 + 3s, Rng) == Near);
}

// Guards against callers of stranded routers being refused while others serve.
TEST_CASE(
    "most routers reach no endpoint: in fleets of 2 to 335, requests find "
    "one that does within three tries, once routers know each other") {
  for (const std::size_t Count : {2u, 6u, 23u, 76u, 195u, 335u})
    for (const double Share : {0.1, 0.5, 0.6, 0.9})
      for (const unsigned Seed : {1u, 2u, 3u}) {
        Random Rng(Seed);
        std::map<PeerId, DataCentreId> Routers;
        std::set<PeerId> Stranded;
        for (std::size_t I = 0; I < Count; ++I) {
          const PeerId Name("r" + std::to_string(I));
          Routers[Name] = I % 3 ? There : Here;
          if (I > 0 &&
              static_cast<double>(I) < Share * static_cast<double>(Count - 1))
            Stranded.insert(Name);
        }
        PeerChooser Chooser; // of r0, which is stranded
        Routers.erase(PeerId("r0"));
        Chooser.setRouters(Routers);
        int Served = 0;
        constexpr int Requests = 400;
        for (int I = 0; I < Requests; ++I) {
          const Instant Now = T0 + I * 20ms;
          std::set<PeerId> Tried;
          while (Tried.size() < 3) {
            const auto Peer = Chooser.choose(Guide, Here, Tried, Now, Rng);
            if (!Peer)
              break;
            Tried.insert(*Peer);
            if (!Stranded.contains(*Peer)) {
              Chooser.onServed(*Peer, Guide, Now);
              ++Served;
              break;
            }
            Chooser.onHandedBack(*Peer, Guide, HandBackCause::Endpoint, Now);
          }
        }
        CAPTURE(Count);
        CAPTURE(Share);
        CAPTURE(Seed);
        CAPTURE(Served);
        // The users' rule bears a third and more than one in fifty.
        CHECK(Served * 3 >= Requests * 2);
      }
}

// Guards against callers of a sound service being refused because requests to
// another service, which has no endpoint, were handed back.
TEST_CASE(
    "a service has no endpoint anywhere: requests to it are handed to one "
    "router each at most, and those to other services are all served") {
  for (const std::size_t Count : {2u, 3u, 6u, 76u, 335u}) {
    Random Rng(1);
    std::map<PeerId, DataCentreId> Routers;
    for (std::size_t I = 1; I < Count; ++I)
      Routers[PeerId("r" + std::to_string(I))] = I % 3 ? There : Here;
    PeerChooser Chooser; // of r0, which reaches no endpoint
    Chooser.setRouters(Routers);
    int Served = 0;
    std::size_t LedgerSends = 0;
    constexpr int Requests = 2000;
    constexpr int LedgerShare = 5;
    for (int I = 0; I < Requests; ++I) {
      const Instant Now = T0 + I * 5ms;
      const bool ToLedger = I % LedgerShare == 0;
      const ServiceId &Service = ToLedger ? Ledger : Guide;
      std::set<PeerId> Tried;
      while (Tried.size() < 3) {
        const auto Peer = Chooser.choose(Service, Here, Tried, Now, Rng);
        if (!Peer)
          break;
        Tried.insert(*Peer);
        if (!ToLedger) {
          Chooser.onServed(*Peer, Service, Now);
          ++Served;
          break;
        }
        Chooser.onHandedBack(*Peer, Service, HandBackCause::Endpoint, Now);
        ++LedgerSends;
      }
    }
    CAPTURE(Count);
    CHECK(Served == Requests - Requests / LedgerShare);
    // Each router once a second finds out more than the one that is asked.
    CHECK(LedgerSends <= Requests / LedgerShare * 3);
    if (Count <= 6)
      CHECK(LedgerSends <= Requests / LedgerShare + 10 * Count);
  }
}

TEST_CASE("a router handed back a request to one service: it is preferred for "
          "another one as before") {
  PeerChooser Chooser;
  Random Rng(1);
  Chooser.setRouters({{Near, Here}, {Far, There}});
  Chooser.onHandedBack(Near, Ledger, HandBackCause::Endpoint, T0);
  CHECK(Chooser.choose(Guide, Here, {}, T0, Rng) == Near);
  CHECK(Chooser.choose(Ledger, Here, {}, T0, Rng) == Far);
  // A service that it serves comes before one that only a nearer one might.
  Chooser.onServed(Far, Ledger, T0);
  int FarChosen = 0;
  for (int I = 0; I < 100; ++I)
    FarChosen += Chooser.choose(Ledger, Here, {}, T0 + 1s, Rng) == Far;
  CHECK(FarChosen >= 80);
}

TEST_CASE("a router is not ready: it gets no request of any service while "
          "another one may serve, and is asked again if none may") {
  PeerChooser Chooser;
  Random Rng(1);
  Chooser.setRouters({{Near, Here}, {Far, There}});
  Chooser.onHandedBack(Near, Ledger, HandBackCause::Router, T0);
  CHECK(Chooser.choose(Guide, Here, {}, T0 + 900ms, Rng) == Far);
  Chooser.onHandedBack(Far, Guide, HandBackCause::Endpoint, T0 + 100ms);
  CHECK(Chooser.choose(Ledger, Here, {}, T0 + 900ms, Rng) == Far);
  // Near failed the longest ago.
  CHECK(Chooser.choose(Guide, Here, {}, T0 + 900ms, Rng) == Near);
  CHECK_FALSE(Chooser.choose(Guide, Here, {Near}, T0 + 900ms, Rng));
}

TEST_CASE("a router knows only an older configuration than a request was "
          "admitted by: it gets other requests") {
  PeerChooser Chooser;
  Random Rng(1);
  Chooser.setRouters({{Near, Here}, {Far, There}});
  Chooser.onHandedBack(Near, Guide, HandBackCause::Configuration, T0);
  CHECK(Chooser.choose(Guide, Here, {}, T0, Rng) == Near);
  CHECK(Chooser.choose(Guide, Here, {Near}, T0, Rng) == Far);
}

TEST_CASE("a router that fails for a moment is the only other one: requests "
          "that it may serve again are handed to it") {
  PeerChooser Chooser;
  Random Rng(1);
  Chooser.setRouters({{Near, Here}});
  Chooser.onFailed(Near, T0);
  CHECK(Chooser.choose(Guide, Here, {}, T0 + 1s, Rng) == Near);
  CHECK_FALSE(Chooser.choose(Guide, Here, {Near}, T0 + 1s, Rng));
}

// Guards against requests being handed back and refused while a router serves
// that was killed and has started again.
TEST_CASE("all other routers are paused, for a second or for longer: requests "
          "ask each of them by turns and find the one that serves again") {
  PeerChooser Chooser;
  Random Rng(1);
  const PeerId Killed("killed");
  Chooser.setRouters({{Near, Here}, {Far, There}, {Killed, Here}});
  Chooser.onFailed(Killed, T0);
  Chooser.onHandedBack(Near, Guide, HandBackCause::Endpoint, T0 + 100ms);
  Chooser.onHandedBack(Far, Guide, HandBackCause::Router, T0 + 200ms);
  for (const Duration Restart : {300ms, 600ms, 900ms}) {
    std::set<PeerId> Asked;
    for (int I = 0; I < 3; ++I) {
      const Instant Now = T0 + Restart + I * 10ms;
      const auto Peer = Chooser.choose(Guide, Here, {}, Now, Rng);
      REQUIRE(Peer);
      Asked.insert(*Peer);
      if (*Peer == Killed)
        Chooser.onFailed(*Peer, Now);
      else
        Chooser.onHandedBack(*Peer, Guide, HandBackCause::Endpoint, Now);
    }
    CHECK(Asked.size() == 3);
  }
  const Instant Restarted = T0 + 1s;
  CHECK(Chooser.choose(Guide, Here, {}, Restarted, Rng) == Killed);
  Chooser.onServed(Killed, Guide, Restarted);
  // From then on it is preferred, also to one whose pause has ended.
  for (const Duration Later : {0ms, 1000ms, 2900ms}) {
    int KilledChosen = 0;
    for (int I = 0; I < 100; ++I)
      KilledChosen +=
          Chooser.choose(Guide, Here, {}, Restarted + Later, Rng) == Killed;
    CHECK(KilledChosen >= 80);
  }
}
