#include "decide/request_limits.h"

#include "decide/rendezvous.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>
#include <random>

namespace mimosadale::decide {

namespace {

// Window over which the number of requests is kept within the limit.
constexpr Duration LimitWindow = std::chrono::seconds(4);

// Lowest limit that is worked with, in requests a second over all routers: some
// request has to find out that the limit has ended.
constexpr double MinPerSecond = 0.1;

// In a window, a router sends the whole requests of its share and one more.
// Only as many routers send to a limited endpoint as keep the sum within this
// much of the limit and this many requests: below the one and a half times, and
// 5, from which an endpoint is harmed.
constexpr double MaxWindowFactor = 1.15;
constexpr double MaxWindowExtra = 3;

// Requests that may be saved up: this many, and a second of the share.
constexpr double SavedRequests = 2;
constexpr double SavedSeconds = 1;

// Time constant of the mean demand.
constexpr double DemandSeconds = 8;

// Demand in requests a second at which level 1 begins; each further level is
// twice as much. A level is kept until the demand rises above its lower bound
// by the factor for level 0 or that for others, or falls below a part of it:
// routers with like demands would otherwise replace each other all the time.
constexpr double FirstLevelDemand = 0.125;
constexpr double FirstRise = 1.5;
constexpr double LevelRise = 2.5;
constexpr double LevelFall = 0.5;
constexpr unsigned MaxLevel = 20;

// Weight of a router without demand, against 1 for level 1: it may begin to
// send before the others know.
constexpr double IdleWeight = 1.0 / 4;

// Time in which what one router publishes reaches the others: two rounds of
// notices if each round reaches every router, more if it is passed on.
constexpr Duration SpreadDirect = std::chrono::milliseconds(1000);
constexpr Duration SpreadPassedOn = std::chrono::milliseconds(2500);
constexpr std::size_t MaxDirectRouters = 8;

// Routers up to which news is told to all, and those told in other rounds of a
// fleet that is too large to tell all.
constexpr std::size_t MaxRoutersToldNews = 16;
constexpr std::size_t RoutersPerRound = 3;

// A router that heard nobody for the first time uses the weight of an idle one;
// the others count it as idle only after the second.
constexpr Duration IsolatedAfter = std::chrono::milliseconds(2000);
constexpr Duration PeerStaleAfter = std::chrono::milliseconds(4500);

// Time for which a share is computed once.
constexpr Duration ShareLifetime = std::chrono::milliseconds(200);

// Share of the requests that polls may take, and what an urgent poll needs.
constexpr double PollFraction = 0.1;
constexpr double UrgentPollTokens = 0.5;

// Time for which an ended limit is passed on.
constexpr Duration EndedRetention = std::chrono::seconds(10);

// Bounds of a promised return.
constexpr Duration MinReturn = std::chrono::milliseconds(500);
constexpr Duration MaxReturn = std::chrono::seconds(30);

double weightOf(unsigned Level) {
  return Level == 0 ? IdleWeight : std::exp2(Level - 1);
}

double lowestDemand(unsigned Level) {
  return Level == 0 ? 0 : FirstLevelDemand * std::exp2(Level - 1);
}

unsigned levelFor(double Demand) {
  unsigned Level = 0;
  while (Level < MaxLevel && Demand >= lowestDemand(Level + 1))
    ++Level;
  return Level;
}

// Requests that all routers together may send in one window.
double maxInWindow(double PerSecond) {
  return MaxWindowFactor * PerSecond * seconds(LimitWindow) + MaxWindowExtra;
}

// Whole requests of a share in one window.
double wholeRequests(double PerSecond) {
  return std::floor(PerSecond * seconds(LimitWindow));
}

// Sum of the weights of the routers that may send, given all candidates in
// order of preference, and their number.
std::pair<double, std::size_t> holders(const std::vector<double> &Weights,
                                       double PerSecond) {
  const double MaxInWindow = maxInWindow(PerSecond);
  double Sum = std::accumulate(Weights.begin(), Weights.end(), 0.0);
  for (std::size_t Count = Weights.size(); Count > 1; --Count) {
    double InWindow = 0;
    for (std::size_t I = 0; I < Count; ++I)
      InWindow += wholeRequests(PerSecond * Weights[I] / Sum) + 1;
    if (InWindow <= MaxInWindow)
      return {Sum, Count};
    Sum -= Weights[Count - 1];
  }
  return {Sum, std::min<std::size_t>(1, Weights.size())};
}

std::uint32_t ageMs(Instant Since, Instant Now) {
  const auto Age =
      std::chrono::duration_cast<std::chrono::milliseconds>(Now - Since);
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(
      Age.count(), 0, std::numeric_limits<std::uint32_t>::max()));
}

} // namespace

void RequestLimits::setRouters(std::vector<std::string> Names) {
  std::sort(Names.begin(), Names.end());
  m_Routers = std::move(Names);
  for (auto &[Endpoint, Entry] : m_Limits)
    Entry.m_ShareUntil = {};
}

RequestLimits::Limit *RequestLimits::find(const EndpointId &Endpoint) {
  const auto It = m_Limits.find(Endpoint);
  return It == m_Limits.end() || It->second.m_Ended ? nullptr : &It->second;
}

const RequestLimits::Limit *
RequestLimits::find(const EndpointId &Endpoint) const {
  const auto It = m_Limits.find(Endpoint);
  return It == m_Limits.end() || It->second.m_Ended ? nullptr : &It->second;
}

RequestLimits::Limit &RequestLimits::start(const EndpointId &Endpoint,
                                           double PerSecond, Instant NamedAt,
                                           Instant Now) {
  Limit &Entry = m_Limits[Endpoint];
  Entry = Limit();
  Entry.m_PerSecond = PerSecond;
  Entry.m_FirstNamedAt = NamedAt;
  Entry.m_RefilledAt = Entry.m_DemandAt = Now;
  Entry.m_Demand =
      static_cast<double>(sentInWindow(Endpoint, Now)) / seconds(LimitWindow);
  Entry.m_Levels.emplace_back(Instant{}, 0);
  return Entry;
}

LimitChange RequestLimits::onAnswer(const EndpointId &Endpoint,
                                    const LimitStatement &Statement,
                                    Instant Now) {
  Limit *Entry = find(Endpoint);
  if (!Statement.m_PerSecond) {
    // An answer to a request that was sent before the limit was last named may
    // be older than the limit.
    if (!Entry || !Statement.m_AnswersRequest ||
        Statement.m_SentAt <= Entry->m_StatedAt)
      return LimitChange::None;
    Entry->m_Ended = true;
    Entry->m_StatedAt = Now;
    return LimitChange::Ended;
  }
  const double PerSecond = *Statement.m_PerSecond;
  if (!Entry) {
    const auto Known = m_Limits.find(Endpoint);
    if (Known != m_Limits.end() &&
        Statement.m_SentAt <= Known->second.m_StatedAt)
      return LimitChange::None;
    start(Endpoint, PerSecond, Now, Now).m_StatedAt = Now;
    return LimitChange::Named;
  }
  if (PerSecond > Entry->m_PerSecond && Statement.m_SentAt <= Entry->m_StatedAt)
    return LimitChange::None;
  const bool Changed = PerSecond != Entry->m_PerSecond;
  Entry->m_PerSecond = PerSecond;
  Entry->m_StatedAt = Now;
  if (Changed)
    Entry->m_ShareUntil = {};
  return Changed ? LimitChange::Changed : LimitChange::None;
}

void RequestLimits::addDemand(Limit &Entry, Instant Now) {
  Entry.m_Demand = Entry.m_Demand * std::exp(-seconds(Now - Entry.m_DemandAt) /
                                             DemandSeconds) +
                   1 / DemandSeconds;
  Entry.m_DemandAt = Now;
}

void RequestLimits::onSent(const EndpointId &Endpoint, Instant Now) {
  std::deque<Instant> &Sent = m_Sent[Endpoint];
  while (!Sent.empty() && Now - Sent.front() >= LimitWindow)
    Sent.pop_front();
  Sent.push_back(Now);
  if (Limit *Entry = find(Endpoint)) {
    refill(Endpoint, *Entry, Now);
    Entry->m_Tokens -= 1;
    addDemand(*Entry, Now);
  }
}

void RequestLimits::onTurnedAway(const EndpointId &Endpoint, Instant Now) {
  if (Limit *Entry = find(Endpoint))
    addDemand(*Entry, Now);
}

bool RequestLimits::limited(const EndpointId &Endpoint) const {
  return find(Endpoint) != nullptr;
}

double RequestLimits::perSecond(const EndpointId &Endpoint) const {
  const Limit *Entry = find(Endpoint);
  return Entry ? Entry->m_PerSecond : 0;
}

std::vector<EndpointId> RequestLimits::limitedEndpoints() const {
  std::vector<EndpointId> Endpoints;
  for (const auto &[Endpoint, Entry] : m_Limits)
    if (!Entry.m_Ended)
      Endpoints.push_back(Endpoint);
  return Endpoints;
}

std::size_t RequestLimits::sentInWindow(const EndpointId &Endpoint,
                                        Instant Now) const {
  const auto It = m_Sent.find(Endpoint);
  if (It == m_Sent.end())
    return 0;
  return static_cast<std::size_t>(
      std::count_if(It->second.begin(), It->second.end(),
                    [&](Instant Sent) { return Now - Sent < LimitWindow; }));
}

Duration RequestLimits::noticeSpread() const {
  return m_Routers.size() <= MaxDirectRouters ? SpreadDirect : SpreadPassedOn;
}

// Publishes the level of the present demand, and drops levels that no longer
// matter for `usableLevel`.
void RequestLimits::publishLevel(Limit &Entry, Instant Now) {
  const double Demand =
      Entry.m_Demand *
      std::exp(-seconds(Now - Entry.m_DemandAt) / DemandSeconds);
  const unsigned Current = Entry.m_Levels.back().second;
  const double Rise = Current == 0 ? FirstRise * FirstLevelDemand
                                   : LevelRise * lowestDemand(Current);
  if (Demand > Rise || Demand < LevelFall * lowestDemand(Current))
    if (const unsigned Level = levelFor(Demand); Level != Current)
      Entry.m_Levels.emplace_back(Now, Level);
  while (Entry.m_Levels.size() > 1 &&
         Now - Entry.m_Levels[1].first >= noticeSpread())
    Entry.m_Levels.pop_front();
}

// The lowest level published since the others may have last heard of one.
unsigned RequestLimits::usableLevel(const Limit &Entry, Instant Now) const {
  if (m_Routers.size() != 1 && Now - m_PeerHeardAt > IsolatedAfter)
    return 0;
  unsigned Lowest = MaxLevel;
  for (const auto &[Since, Level] : Entry.m_Levels)
    Lowest = std::min(Lowest, Level);
  return Lowest;
}

unsigned RequestLimits::levelOf(const Limit &Entry, const std::string &Router,
                                Instant Now) const {
  if (Router == m_Self)
    return Entry.m_Levels.back().second;
  const auto Peer = Entry.m_Peers.find(Router);
  return Peer == Entry.m_Peers.end() ||
                 Now - Peer->second.m_StatedAt > PeerStaleAfter
             ? 0
             : Peer->second.m_Level;
}

double RequestLimits::computeShare(const EndpointId &Endpoint,
                                   const Limit &Entry, Instant Now) const {
  const double PerSecond = std::max(Entry.m_PerSecond, MinPerSecond);
  if (!std::binary_search(m_Routers.begin(), m_Routers.end(), m_Self))
    return PerSecond / static_cast<double>(MaxSharingRouters);
  // Routers of one level are ordered by a hash, so that all agree.
  std::map<unsigned, std::vector<std::string>> ByLevel;
  for (const std::string &Router : m_Routers)
    ByLevel[levelOf(Entry, Router, Now)].push_back(Router);
  const auto MaxCount = static_cast<std::size_t>(maxInWindow(PerSecond));
  std::vector<double> Weights;
  std::optional<std::size_t> Position;
  for (auto Group = ByLevel.rbegin();
       Group != ByLevel.rend() && Weights.size() < MaxCount; ++Group)
    for (const std::string &Router :
         chooseMembers(std::move(Group->second), Endpoint.str(),
                       MaxCount - Weights.size())) {
      if (Router == m_Self)
        Position = Weights.size();
      Weights.push_back(weightOf(Group->first));
    }
  const auto [Sum, Count] = holders(Weights, PerSecond);
  if (!Position || *Position >= Count)
    return 0;
  return PerSecond * weightOf(usableLevel(Entry, Now)) / Sum;
}

void RequestLimits::refill(const EndpointId &Endpoint, Limit &Entry,
                           Instant Now) {
  if (Now >= Entry.m_ShareUntil) {
    publishLevel(Entry, Now);
    Entry.m_Share = computeShare(Endpoint, Entry, Now);
    Entry.m_ShareUntil = Now + ShareLifetime;
  }
  const double Earned = Entry.m_Share * seconds(Now - Entry.m_RefilledAt);
  Entry.m_Tokens = std::min(Entry.m_Tokens + Earned,
                            SavedRequests + Entry.m_Share * SavedSeconds);
  Entry.m_RefilledAt = Now;
}

// What all routers sent before the limit was named counts against its first
// window: the later the more they sent, the first requests go out.
Instant RequestLimits::holdUntil(const EndpointId &Endpoint, const Limit &Entry,
                                 Instant Now) const {
  if (Now - Entry.m_FirstNamedAt >= LimitWindow)
    return Entry.m_FirstNamedAt;
  double Sent = static_cast<double>(sentInWindow(Endpoint, Now));
  double Known = 1;
  for (const auto &[Router, Peer] : Entry.m_Peers) {
    Sent += Peer.m_Sent;
    Known += 1;
  }
  const auto Routers = static_cast<double>(
      m_Routers.empty() ? MaxSharingRouters : m_Routers.size());
  const double Estimate = Sent * std::max(1.0, Routers / Known);
  const double Allowed =
      std::max(Entry.m_PerSecond, MinPerSecond) * seconds(LimitWindow);
  return Entry.m_FirstNamedAt +
         fromSeconds(seconds(LimitWindow) * std::min(1.0, Estimate / Allowed));
}

Instant RequestLimits::nextAdmission(const EndpointId &Endpoint, Instant Now) {
  Limit *Entry = find(Endpoint);
  if (!Entry)
    return Now;
  refill(Endpoint, *Entry, Now);
  if (Entry->m_Share <= 0)
    return Now + ShareLifetime;
  Instant Next = std::max(Now, holdUntil(Endpoint, *Entry, Now));
  if (Entry->m_Tokens < 1)
    Next = std::max(Next,
                    Now + fromSeconds((1 - Entry->m_Tokens) / Entry->m_Share));
  const auto Allowed = static_cast<std::size_t>(wholeRequests(Entry->m_Share));
  if (const auto Sent = m_Sent.find(Endpoint);
      Sent != m_Sent.end() && Sent->second.size() > Allowed)
    Next = std::max(Next, Sent->second[Sent->second.size() - Allowed - 1] +
                              LimitWindow);
  return Next;
}

bool RequestLimits::admitsPoll(const EndpointId &Endpoint, PollUrgency Urgency,
                               Instant Now) {
  Limit *Entry = find(Endpoint);
  if (!Entry)
    return true;
  refill(Endpoint, *Entry, Now);
  const bool Urgent = Urgency == PollUrgency::Urgent;
  const double Interval = (Urgent ? 1 : 1 / PollFraction);
  if (Entry->m_Share <= 0 || Now < holdUntil(Endpoint, *Entry, Now) ||
      Entry->m_Tokens < (Urgent ? UrgentPollTokens : 1) ||
      seconds(Now - Entry->m_PolledAt) < Interval / Entry->m_Share)
    return false;
  Entry->m_PolledAt = Now;
  return true;
}

double RequestLimits::share(const EndpointId &Endpoint, Instant Now) {
  Limit *Entry = find(Endpoint);
  if (!Entry)
    return 0;
  refill(Endpoint, *Entry, Now);
  return Entry->m_Share;
}

std::optional<Duration>
RequestLimits::promiseReturn(const std::vector<EndpointId> &Endpoints,
                             Instant Now, Random &Rng) {
  double Rate = 0;
  Instant Earliest = Instant::max();
  for (const EndpointId &Endpoint : Endpoints) {
    if (const double Share = share(Endpoint, Now); Share > 0) {
      Rate += Share;
      Earliest = std::min(Earliest, nextAdmission(Endpoint, Now));
    }
  }
  if (Rate <= 0)
    return std::nullopt;
  const Duration Slot = std::min(fromSeconds(1 / Rate), MaxReturn);
  m_PromisedUntil =
      std::max({m_PromisedUntil + Slot, Earliest, Now + MinReturn});
  m_PromisedUntil = std::min(m_PromisedUntil, Now + MaxReturn);
  // Routers promise slots of their own: the phases are drawn.
  return m_PromisedUntil - Now +
         Duration(std::uniform_int_distribution<Duration::rep>(0, Slot.count())(
             Rng));
}

std::vector<std::string> RequestLimits::audience(bool HasNews,
                                                 Random &Rng) const {
  std::vector<std::string> Others = m_Routers;
  std::erase(Others, m_Self);
  if (m_Routers.size() > (HasNews ? MaxRoutersToldNews : MaxDirectRouters)) {
    std::shuffle(Others.begin(), Others.end(), Rng);
    Others.resize(std::min(Others.size(), RoutersPerRound));
  }
  return Others;
}

schema::LimitNotice RequestLimits::notice(Instant Now) {
  schema::LimitNotice Notice;
  Notice.set_router(m_Self);
  for (auto &[Endpoint, Entry] : m_Limits) {
    schema::EndpointLimit &Limited = *Notice.add_limits();
    Limited.set_endpoint(Endpoint.str());
    Limited.set_per_second(Entry.m_PerSecond);
    Limited.set_ended(Entry.m_Ended);
    Limited.set_age_ms(ageMs(Entry.m_StatedAt, Now));
    Limited.set_since_first_ms(ageMs(Entry.m_FirstNamedAt, Now));
    if (Entry.m_Ended)
      continue;
    publishLevel(Entry, Now);
    schema::RouterDemand &Own = *Limited.add_demands();
    Own.set_router(m_Self);
    Own.set_level(Entry.m_Levels.back().second);
    Own.set_sent(static_cast<std::uint32_t>(sentInWindow(Endpoint, Now)));
    std::vector<std::pair<std::string, PeerDemand>> Peers(Entry.m_Peers.begin(),
                                                          Entry.m_Peers.end());
    std::erase_if(Peers, [&](const auto &Peer) {
      return Now - Peer.second.m_StatedAt > PeerStaleAfter;
    });
    for (const auto &[Router, Peer] : Peers) {
      schema::RouterDemand &Demand = *Limited.add_demands();
      Demand.set_router(Router);
      Demand.set_level(Peer.m_Level);
      Demand.set_sent(Peer.m_Sent);
      Demand.set_age_ms(ageMs(Peer.m_StatedAt, Now));
    }
  }
  return Notice;
}

std::vector<std::pair<EndpointId, LimitChange>>
RequestLimits::merge(const schema::LimitNotice &Notice, Instant RequestedAt,
                     Instant Now) {
  m_PeerHeardAt = Now;
  std::vector<std::pair<EndpointId, LimitChange>> Changes;
  for (const schema::EndpointLimit &Told : Notice.limits()) {
    const EndpointId Endpoint(Told.endpoint());
    if (Endpoint.empty() || !std::isfinite(Told.per_second()) ||
        Told.per_second() < 0)
      continue;
    const Instant StatedAt =
        RequestedAt - std::chrono::milliseconds(Told.age_ms());
    const auto Known = m_Limits.find(Endpoint);
    const bool WasLimited = limited(Endpoint);
    if (Known == m_Limits.end() || StatedAt > Known->second.m_StatedAt) {
      const bool Changed =
          WasLimited && Known->second.m_PerSecond != Told.per_second();
      if (!WasLimited)
        start(Endpoint, Told.per_second(),
              RequestedAt - std::chrono::milliseconds(Told.since_first_ms()),
              Now);
      Limit &Entry = m_Limits[Endpoint];
      Entry.m_PerSecond = Told.per_second();
      Entry.m_Ended = Told.ended();
      Entry.m_StatedAt = StatedAt;
      if (WasLimited && Told.ended())
        Changes.emplace_back(Endpoint, LimitChange::Ended);
      else if (!WasLimited && !Told.ended())
        Changes.emplace_back(Endpoint, LimitChange::Named);
      else if (Changed)
        Changes.emplace_back(Endpoint, LimitChange::Changed);
    }
    Limit *Entry = find(Endpoint);
    if (!Entry)
      continue;
    Entry->m_ShareUntil = {};
    for (const schema::RouterDemand &Demand : Told.demands()) {
      const Instant At =
          RequestedAt - std::chrono::milliseconds(Demand.age_ms());
      PeerDemand &Peer = Entry->m_Peers[Demand.router()];
      if (Demand.router() != m_Self && At >= Peer.m_StatedAt)
        Peer = {std::min(Demand.level(), MaxLevel), Demand.sent(), At};
    }
    Entry->m_Peers.erase(m_Self);
  }
  return Changes;
}

void RequestLimits::onTick(Instant Now) {
  std::erase_if(m_Limits, [&](const auto &Item) {
    return Item.second.m_Ended && Now - Item.second.m_StatedAt > EndedRetention;
  });
  std::erase_if(m_Sent, [&](const auto &Item) {
    return Now - Item.second.back() >= LimitWindow;
  });
}

} // namespace mimosadale::decide
