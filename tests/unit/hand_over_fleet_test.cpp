// Whole fleets of routers, some of which reach no endpoint, on virtual time.
#include "decide/own_reach.h"
#include "decide/peer_chooser.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <type_traits>
#include <vector>

using namespace mimosadale;
using namespace mimosadale::decide;
using namespace std::chrono_literals;

namespace {

constexpr Instant T0{1000s};
constexpr Instant CutAt = T0 + 4s;
constexpr Instant CutEndsAt = T0 + 12s;
constexpr Instant End = T0 + 18s;

// The users' rule binds this long after the cut began, and asks for two thirds
// of what is served elsewhere.
constexpr Duration StableTime = 3s;

// Time for which callers wait.
constexpr Duration PassTime = 2s;

constexpr Duration Step = 20ms;
constexpr Duration PollInterval = 400ms;
constexpr Duration HangTime = 300ms;
constexpr Duration RoundTrip = 5ms;
constexpr std::size_t MaxPeers = 3;
const ServiceId Service("guide");

// How the connections of a router that is cut off fail.
enum class CutKind { Hang, Refuse, LiveOn };

struct Cut {
  double m_Share = 0.5;
  bool m_WholeDataCentre = false; // instead of a share
  CutKind m_Kind = CutKind::Hang;
  bool m_Restart = false; // some routers restart in the middle of the cut
};

struct SimulatedRouter {
  PeerId m_Name;
  DataCentreId m_DataCentre;
  bool m_IsStranded = false;
  OwnReach m_Reach;
  PeerChooser m_Chooser;
};

struct Tally {
  int m_Tries = 0;
  int m_Served = 0;
  double share() const {
    return m_Tries ? static_cast<double>(m_Served) / m_Tries : 1;
  }
};

struct HandOverOutcome {
  Tally m_Stranded;
  Tally m_Others;
  // The most routers that one request was handed to.
  std::size_t m_MostPeers = 0;
  // Steps in which a router with sound links took itself for cut off.
  std::size_t m_WronglyCut = 0;
  // Routers that do so at the end.
  std::size_t m_StillCut = 0;
};

class HandOverSimulation {
public:
  HandOverSimulation(std::size_t Routers, const Cut &Shape, unsigned Seed)
      : m_Shape(Shape), m_Rng(Seed), m_Routers(Routers),
        m_Endpoints(std::max<std::size_t>(8, Routers)) {
    for (std::size_t I = 0; I < Routers; ++I) {
      m_Routers[I].m_Name = PeerId("r" + std::to_string(I));
      m_Routers[I].m_DataCentre = DataCentreId("dc" + std::to_string(I % 3));
      // The last router always serves.
      m_Routers[I].m_IsStranded =
          I + 1 < Routers &&
          (Shape.m_WholeDataCentre
               ? I % 3 == 0
               : static_cast<double>(I) <
                     Shape.m_Share * static_cast<double>(Routers));
    }
    for (std::size_t I = 0; I < Routers; ++I)
      introduce(m_Routers[I]);
  }

  HandOverOutcome run() {
    for (Instant Now = T0; Now < End; Now += Step) {
      if (m_Shape.m_Restart && Now == CutAt + 4s)
        for (std::size_t I = 0; I < m_Routers.size(); I += 4)
          restart(m_Routers[I]);
      for (SimulatedRouter &Router : m_Routers)
        act(Router, Now);
    }
    for (const SimulatedRouter &Router : m_Routers)
      m_Outcome.m_StillCut += Router.m_Reach.cutOff() ? 1 : 0;
    return m_Outcome;
  }

private:
  void introduce(SimulatedRouter &Router) {
    std::map<PeerId, DataCentreId> Others;
    for (const SimulatedRouter &Other : m_Routers)
      if (Other.m_Name != Router.m_Name)
        Others[Other.m_Name] = Other.m_DataCentre;
    Router.m_Chooser.setRouters(Others);
  }
  void restart(SimulatedRouter &Router) {
    Router.m_Reach = OwnReach();
    Router.m_Chooser = PeerChooser();
    introduce(Router);
  }

  bool chance(Duration Interval) {
    return std::uniform_real_distribution<double>(0, 1)(m_Rng) <
           seconds(Step) / seconds(Interval);
  }
  EndpointId drawEndpoint() {
    return EndpointId("e" +
                      std::to_string(std::uniform_int_distribution<std::size_t>(
                          0, m_Endpoints - 1)(m_Rng)));
  }
  static bool isCut(const SimulatedRouter &Router, Instant Now) {
    return Router.m_IsStranded && Now >= CutAt && Now < CutEndsAt;
  }

  void act(SimulatedRouter &Router, Instant Now) {
    Router.m_Reach.onTick(Now);
    if (chance(PollInterval / 4))
      poll(Router, Now);
    if (!Router.m_IsStranded && Router.m_Reach.cutOff())
      ++m_Outcome.m_WronglyCut;
    if (!chance(500ms))
      return;
    const bool Served = serve(Router, Now);
    if (Now < CutAt + StableTime || Now >= CutEndsAt)
      return;
    Tally &Counted =
        Router.m_IsStranded ? m_Outcome.m_Stranded : m_Outcome.m_Others;
    ++Counted.m_Tries;
    Counted.m_Served += Served ? 1 : 0;
  }

  // A poll over an open connection, or a new one if the router believes that it
  // is cut off.
  void poll(SimulatedRouter &Router, Instant Now) {
    const EndpointId Endpoint = drawEndpoint();
    if (Router.m_Reach.cutOff())
      connect(Router, Endpoint, Now);
    else if (!isCut(Router, Now) || m_Shape.m_Kind == CutKind::LiveOn)
      Router.m_Reach.onAnswered(Endpoint, Now);
    else
      Router.m_Reach.onUnanswered(Endpoint, Now);
  }

  bool connect(SimulatedRouter &Router, const EndpointId &Endpoint,
               Instant Now) {
    const bool Connects = !isCut(Router, Now);
    if (Connects)
      Router.m_Reach.onConnected(Endpoint, Now);
    else
      Router.m_Reach.onConnectFailed(Endpoint, Now);
    return Connects;
  }

  // Sends a request over new connections until one is established or the router
  // believes that it is cut off. \returns whether it was served.
  bool sendToEndpoints(SimulatedRouter &Router, Instant &Now,
                       Instant GiveUpAt) {
    while (Now < GiveUpAt && !Router.m_Reach.cutOff()) {
      const bool Connects = connect(Router, drawEndpoint(), Now);
      Now += Connects || m_Shape.m_Kind != CutKind::Hang ? RoundTrip : HangTime;
      if (Connects)
        return true;
    }
    return false;
  }

  bool serve(SimulatedRouter &Router, Instant Now) {
    const Instant GiveUpAt = Now + PassTime;
    if (sendToEndpoints(Router, Now, GiveUpAt))
      return true;
    std::set<PeerId> Tried;
    while (Now < GiveUpAt && Tried.size() < MaxPeers) {
      const auto Peer = Router.m_Chooser.choose(Service, Router.m_DataCentre,
                                                Tried, Now, m_Rng);
      if (!Peer)
        break;
      Tried.insert(*Peer);
      m_Outcome.m_MostPeers = std::max(m_Outcome.m_MostPeers, Tried.size());
      Now += RoundTrip;
      // A router that got a request from another one does not hand it on.
      if (sendToEndpoints(find(*Peer), Now, GiveUpAt)) {
        Router.m_Chooser.onServed(*Peer, Service, Now);
        return Now < GiveUpAt;
      }
      Router.m_Chooser.onHandedBack(*Peer, Service, HandBackCause::Endpoint,
                                    Now);
    }
    return false;
  }

  SimulatedRouter &find(const PeerId &Name) {
    return m_Routers[std::stoul(Name.str().substr(1))];
  }

  const Cut &m_Shape;
  Random m_Rng;
  std::vector<SimulatedRouter> m_Routers;
  std::size_t m_Endpoints;
  HandOverOutcome m_Outcome;
};

void checkServed(std::size_t Routers, const Cut &Shape, unsigned Seed) {
  CAPTURE(Routers);
  CAPTURE(Shape.m_Share);
  CAPTURE(Shape.m_WholeDataCentre);
  CAPTURE(static_cast<int>(Shape.m_Kind));
  CAPTURE(Shape.m_Restart);
  CAPTURE(Seed);
  const HandOverOutcome Outcome =
      HandOverSimulation(Routers, Shape, Seed).run();
  CAPTURE(Outcome.m_Stranded.m_Tries);
  CAPTURE(Outcome.m_Stranded.m_Served);
  CHECK(Outcome.m_Others.share() > 0.98);
  CHECK(Outcome.m_Stranded.share() * 3 >= Outcome.m_Others.share() * 2);
  CHECK(Outcome.m_MostPeers <= MaxPeers);
  CHECK(Outcome.m_WronglyCut == 0);
  CHECK(Outcome.m_StillCut == 0);
}

template <std::size_t Value>
using Number = std::integral_constant<std::size_t, Value>;

} // namespace

// Guards against callers of stranded routers being refused while others serve,
// when all routers of a fleet learn of their cuts and of each other at once.
// One test case a fleet, so that they run in parallel.
TEST_CASE_TEMPLATE_DEFINE(
    "part or most of a fleet reaches no endpoint: its callers are served by "
    "the rest within the pass time",
    RouterCount, MostAreCut) {
  for (const double Share : {0.1, 0.4, 0.6, 0.9})
    for (const CutKind Kind : {CutKind::Hang, CutKind::Refuse, CutKind::LiveOn})
      if (RouterCount::value < 100 || Kind == CutKind::Hang)
        checkServed(RouterCount::value, {Share, false, Kind, false}, 1);
}
TEST_CASE_TEMPLATE_INVOKE(MostAreCut, Number<2>, Number<6>, Number<23>,
                          Number<76>, Number<195>, Number<335>);

// Guards against stranded routers that try one neighbour after the other, all
// of which are stranded as well.
TEST_CASE("the routers of a data centre reach no endpoint, and some routers "
          "restart meanwhile: their callers are served by the rest") {
  for (const std::size_t Routers : {6u, 23u, 195u})
    for (const CutKind Kind : {CutKind::Hang, CutKind::Refuse, CutKind::LiveOn})
      for (const unsigned Seed : {1u, 2u, 3u})
        checkServed(Routers, {0, true, Kind, true}, Seed);
}
