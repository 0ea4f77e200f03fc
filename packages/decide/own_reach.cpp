#include "decide/own_reach.h"

#include <algorithm>

namespace mimosadale::decide {

namespace {

// Age at which a contact no longer tells anything: two polls of a suspect
// endpoint.
constexpr Duration ContactLifetime = std::chrono::milliseconds(2000);

// Endpoints that have to fail: fewer may be lost at once by themselves.
constexpr std::size_t MinFailing = 3;

// The same if another router reaches them.
constexpr std::size_t MinReachedElsewhere = 2;

// Endpoints that have to refuse connections and still answer.
constexpr std::size_t MinContradicting = 2;

// Time without a failure after which the state ends.
constexpr Duration QuietTime = std::chrono::seconds(5);

// Time after a failure to connect within which an endpoint that is alive
// answers a poll, or sends an event, over an open connection.
constexpr Duration AnswerTime = std::chrono::milliseconds(300);

} // namespace

void OwnReach::onConnected(const EndpointId &Endpoint, Instant Now) {
  Contact &Known = m_Contacts[Endpoint];
  Known = Contact{};
  Known.m_ConnectedAt = Known.m_AnsweredAt = Now;
  update(Now);
}

void OwnReach::onAnswered(const EndpointId &Endpoint, Instant Now) {
  Contact &Known = m_Contacts[Endpoint];
  Known.m_AnsweredAt = Now;
  if (Known.m_ConnectFailed)
    Known.m_AnsweredSince = true;
  else
    Known.m_FailingSince.reset();
  Known.m_ReachedElsewhereAt.reset();
  update(Now);
}

void OwnReach::onConnectFailed(const EndpointId &Endpoint, Instant Now) {
  m_Contacts[Endpoint].m_ConnectFailed = true;
  onUnanswered(Endpoint, Now);
}

void OwnReach::onUnanswered(const EndpointId &Endpoint, Instant Now) {
  Contact &Known = m_Contacts[Endpoint];
  Known.m_FailingSince = Known.m_FailingSince.value_or(Now);
  Known.m_FailedAt = Now;
  m_LastFailureAt = Now;
  update(Now);
}

void OwnReach::onReachedElsewhere(const EndpointId &Endpoint, Instant Now) {
  const auto Known = m_Contacts.find(Endpoint);
  if (Known != m_Contacts.end() && Known->second.m_FailingSince)
    Known->second.m_ReachedElsewhereAt = Now;
  update(Now);
}

Duration OwnReach::answerLifetime() { return ContactLifetime; }

void OwnReach::onTick(Instant Now) {
  if (m_CutOff && Now - m_LastFailureAt > QuietTime)
    m_CutOff = false;
}

bool OwnReach::doubtsLoss(Instant Now) const {
  return std::any_of(
      m_Contacts.begin(), m_Contacts.end(), [&](const auto &Item) {
        const Contact &Known = Item.second;
        if (Known.m_ReachedElsewhereAt &&
            Now - *Known.m_ReachedElsewhereAt < ContactLifetime)
          return true;
        return Known.m_ConnectFailed &&
               (Known.m_AnsweredSince ||
                Now - Known.m_FailingSince.value_or(Now) < AnswerTime) &&
               Now - std::max(Known.m_AnsweredAt, Known.m_FailedAt) <=
                   ContactLifetime;
      });
}

bool OwnReach::reachesNone() const {
  Instant FirstFailure = Instant::max();
  for (const auto &[Endpoint, Known] : m_Contacts)
    if (Known.m_FailingSince)
      FirstFailure = std::min(FirstFailure, *Known.m_FailingSince);
  return m_CutOff && countFailing() >= MinFailing &&
         std::none_of(m_Contacts.begin(), m_Contacts.end(),
                      [&](const auto &Item) {
                        return Item.second.m_AnsweredAt > FirstFailure;
                      });
}

std::size_t OwnReach::countFailing() const {
  return static_cast<std::size_t>(
      std::count_if(m_Contacts.begin(), m_Contacts.end(), [](const auto &Item) {
        return Item.second.m_FailingSince.has_value();
      }));
}

// Whether twice as many endpoints fail as are reached since the first of them
// failed, or twice as many answer without taking connections as take them.
bool OwnReach::entersCut() const {
  Instant FirstFailure = Instant::max();
  std::size_t Contradicting = 0;
  std::size_t ReachedElsewhere = 0;
  for (const auto &[Endpoint, Known] : m_Contacts)
    if (Known.m_FailingSince) {
      FirstFailure = std::min(FirstFailure, *Known.m_FailingSince);
      Contradicting += Known.m_AnsweredSince ? 1 : 0;
      ReachedElsewhere += Known.m_ReachedElsewhereAt ? 1 : 0;
    }
  std::size_t Answering = 0;
  std::size_t Connected = 0;
  for (const auto &[Endpoint, Known] : m_Contacts)
    if (!Known.m_FailingSince) {
      Answering += Known.m_AnsweredAt > FirstFailure ? 1 : 0;
      Connected += Known.m_ConnectedAt > FirstFailure ? 1 : 0;
    }
  const std::size_t Failing = countFailing();
  return ((Failing >= MinFailing || ReachedElsewhere >= MinReachedElsewhere) &&
          Answering * 2 <= Failing) ||
         (Contradicting >= MinContradicting && Connected * 2 <= Contradicting);
}

// The state ends when as many endpoints take new connections as fail: answers
// that were under way at the beginning of the cut do not end it.
void OwnReach::update(Instant Now) {
  std::erase_if(m_Contacts, [&](const auto &Item) {
    const Contact &Known = Item.second;
    return Now - std::max(Known.m_AnsweredAt, Known.m_FailedAt) >
           ContactLifetime;
  });
  if (!m_CutOff) {
    m_CutOff = entersCut();
    return;
  }
  const auto Connected = static_cast<std::size_t>(std::count_if(
      m_Contacts.begin(), m_Contacts.end(), [&](const auto &Item) {
        return !Item.second.m_FailingSince &&
               Now - Item.second.m_ConnectedAt <= ContactLifetime;
      }));
  m_CutOff = Connected < std::max<std::size_t>(1, countFailing());
}

} // namespace mimosadale::decide
