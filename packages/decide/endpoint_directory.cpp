#include "decide/endpoint_directory.h"

#include <algorithm>

namespace mimosadale::decide {

void EndpointDirectory::adopt(const schema::Declaration &Declared) {
  std::map<EndpointId, Entry> Kept;
  m_Services.clear();
  m_Layers.clear();
  for (const schema::Endpoint &Each : Declared.endpoints()) {
    const EndpointId Name(Each.name());
    const auto Held = m_Entries.find(Name);
    const bool Same = Held != m_Entries.end() &&
                      Held->second.m_Declared.address() == Each.address();
    Entry Next = Same ? std::move(Held->second) : Entry();
    Next.m_Declared = Each;
    Kept.emplace(Name, std::move(Next));
    if (Each.kind() == schema::PLAIN)
      m_Services[ServiceId(Each.service())].push_back(Name);
  }
  for (const schema::Model &Each : Declared.models())
    m_Layers[{Each.name(), Each.version()}] = Each.layers();
  m_Entries = std::move(Kept);
  m_Choosers.clear();
}

EndpointDirectory::Entry *EndpointDirectory::find(const EndpointId &Endpoint) {
  const auto Found = m_Entries.find(Endpoint);
  return Found == m_Entries.end() ? nullptr : &Found->second;
}

const EndpointDirectory::Entry *
EndpointDirectory::find(const EndpointId &Endpoint) const {
  const auto Found = m_Entries.find(Endpoint);
  return Found == m_Entries.end() ? nullptr : &Found->second;
}

std::string EndpointDirectory::address(const EndpointId &Endpoint) const {
  const Entry *Held = find(Endpoint);
  return Held ? Held->m_Declared.address() : "";
}

bool EndpointDirectory::isEngine(const EndpointId &Endpoint) const {
  const Entry *Held = find(Endpoint);
  return Held && Held->m_Declared.kind() == schema::ENGINE;
}

bool EndpointDirectory::isLocal(const schema::Endpoint &Declared) const {
  return Declared.data_centre() == m_Here.str();
}

std::shared_ptr<const PathChooser>
EndpointDirectory::chooser(const ModelRef &Model) {
  const auto Layers = m_Layers.find(Model);
  if (Layers == m_Layers.end())
    return nullptr;
  auto &Cached = m_Choosers[Model];
  if (Cached)
    return Cached;
  std::vector<EngineView> Engines;
  for (const auto &[Name, Held] : m_Entries) {
    const schema::Endpoint &Each = Held.m_Declared;
    if (Each.kind() != schema::ENGINE || Each.model() != Model.m_Name ||
        Each.version() != Model.m_Version || !Held.m_Health.usable())
      continue;
    Engines.push_back({Name,
                       {Each.first_layer(), Each.end_layer()},
                       Each.tokens_per_second(),
                       fromSeconds(Each.link_ms() / 1000)});
  }
  Cached = std::make_shared<PathChooser>(std::move(Engines), Layers->second);
  return Cached;
}

EngineLoad EndpointDirectory::load(const EndpointId &Endpoint,
                                   Instant Now) const {
  const Entry *Held = find(Endpoint);
  return Held ? Held->m_Health.load(Now) : EngineLoad();
}

std::optional<EndpointId> EndpointDirectory::chooseServiceEndpoint(
    const ServiceId &Service, const EndpointSet &Avoid, Random &Rng) const {
  const auto Found = m_Services.find(Service);
  if (Found == m_Services.end())
    return std::nullopt;
  std::vector<const EndpointId *> Near;
  std::vector<const EndpointId *> Far;
  for (const EndpointId &Each : Found->second) {
    const Entry &Held = *find(Each);
    if (!Held.m_Health.usable() || Avoid.contains(Each))
      continue;
    (isLocal(Held.m_Declared) ? Near : Far).push_back(&Each);
  }
  const auto &From = Near.empty() ? Far : Near;
  if (From.empty())
    return std::nullopt;
  std::uniform_int_distribution<std::size_t> Draw(0, From.size() - 1);
  const EndpointId *First = From[Draw(Rng)];
  const EndpointId *Second = From[Draw(Rng)];
  const bool SecondIsFreer =
      find(*Second)->m_Health.inFlight() < find(*First)->m_Health.inFlight();
  return SecondIsFreer ? *Second : *First;
}

// Drops the choosers when an endpoint's use changed, and keeps the news.
void EndpointDirectory::onEntryChanged(const EndpointId &Endpoint,
                                       Entry &Changed) {
  const EndpointHealth &Health = Changed.m_Health;
  const HostList::HostState Host =
      m_Hosts.state(HostId(Changed.m_Declared.host()));
  publishNote(Endpoint, Changed, schema::NOTE_HOST_LIST,
              {Host.m_Leaving, Host.m_Incarnation});
  publishNote(Endpoint, Changed, schema::NOTE_ENDPOINT,
              {Health.leavingAccordingTo(LeaveSource::Endpoint), {}});
  publishNote(Endpoint, Changed, schema::NOTE_OPERATOR,
              {Health.leavingAccordingTo(LeaveSource::Operator), {}});
  publishNote(Endpoint, Changed, schema::NOTE_SUSPECT,
              {Health.state() != EndpointHealth::State::Usable, {}});
  if (Health.usable() == Changed.m_WasUsable)
    return;
  Changed.m_WasUsable = Health.usable();
  m_Choosers.erase({Changed.m_Declared.model(), Changed.m_Declared.version()});
}

// A newer incarnation is news only of a host that leaves: else each router
// would tell each other one of every host when it first reads the list.
void EndpointDirectory::publishNote(const EndpointId &Endpoint, Entry &Changed,
                                    schema::NoteKind Kind, NoteState Now) {
  const NoteState Before = std::exchange(Changed.m_PublishedNotes[Kind], Now);
  if (Before.m_Set != Now.m_Set ||
      (Now.m_Set && Before.m_Incarnation < Now.m_Incarnation))
    m_Changes.push_back({Endpoint, Kind, Now.m_Set, Now.m_Incarnation});
}

void EndpointDirectory::onCallStarted(const EndpointId &Endpoint) {
  if (Entry *Held = find(Endpoint))
    Held->m_Health.onCallStarted();
}

void EndpointDirectory::onReply(const EndpointId &Endpoint,
                                std::uint64_t Positions, Duration Latency,
                                const schema::Load *Load, Instant Now) {
  if (Entry *Held = find(Endpoint)) {
    Held->m_Health.onReply(Positions, Latency, Load, Now);
    onEntryChanged(Endpoint, *Held);
  }
}

void EndpointDirectory::onFault(const EndpointId &Endpoint, bool ConnectFailed,
                                Instant Now) {
  if (Entry *Held = find(Endpoint)) {
    Held->m_Health.onFault(ConnectFailed, Now);
    onEntryChanged(Endpoint, *Held);
  }
}

void EndpointDirectory::onProbe(const EndpointId &Endpoint, bool Answered,
                                const schema::Load *Load, Instant Now) {
  if (Entry *Held = find(Endpoint)) {
    Held->m_Health.onProbe(Answered, Load, Now);
    onEntryChanged(Endpoint, *Held);
  }
}

void EndpointDirectory::onNote(const schema::EndpointNote &Note, Instant Now) {
  const EndpointId Endpoint(Note.name());
  Entry *Held = find(Endpoint);
  if (!Held)
    return;
  const auto Listed = static_cast<Incarnation>(Note.incarnation());
  switch (Note.kind()) {
  case schema::NOTE_HOST_LIST: {
    const HostId Host(Held->m_Declared.host());
    const auto HostState = m_Hosts.merge(Host, {Listed, Note.set()});
    Held->m_Health.setLeaving(LeaveSource::HostList, HostState.m_Leaving);
    break;
  }
  case schema::NOTE_ENDPOINT:
    Held->m_Health.setLeaving(LeaveSource::Endpoint, Note.set());
    break;
  case schema::NOTE_OPERATOR:
    Held->m_Health.setLeaving(LeaveSource::Operator, Note.set());
    break;
  default:
    Held->m_Health.onPeerReport(Note.set(), Now);
    break;
  }
  Held->m_PublishedNotes[Note.kind()] = {Note.set(), Listed};
  onEntryChanged(Endpoint, *Held);
}

void EndpointDirectory::replaceDrained(
    const std::vector<std::string> &Subjects) {
  const std::set<std::string> Named(Subjects.begin(), Subjects.end());
  for (auto &[Name, Held] : m_Entries) {
    const bool Leaving =
        Named.contains(Name.str()) || Named.contains(Held.m_Declared.host());
    Held.m_Health.setLeaving(LeaveSource::Operator, Leaving);
    onEntryChanged(Name, Held);
  }
}

void EndpointDirectory::onHostList(const std::vector<schema::HostEntry> &List) {
  for (const schema::HostEntry &Each : List)
    m_Hosts.merge(
        HostId(Each.name()),
        {static_cast<Incarnation>(Each.incarnation()), Each.leaving()});
  for (auto &[Name, Held] : m_Entries) {
    const HostId Host(Held.m_Declared.host());
    Held.m_Health.setLeaving(LeaveSource::HostList,
                             m_Hosts.state(Host).m_Leaving);
    onEntryChanged(Name, Held);
  }
}

Duration EndpointDirectory::replyTimeout(const EndpointId &Endpoint,
                                         std::uint64_t Positions,
                                         Duration Least, Duration Most) const {
  const Entry *Held = find(Endpoint);
  if (!Held)
    return Most;
  return Held->m_Health.replyTimeout(
      Positions, Held->m_Declared.tokens_per_second(), Least, Most);
}

std::vector<EndpointId> EndpointDirectory::takeDueProbes(
    Duration Quiet, Instant Now,
    const std::function<bool(const EndpointId &)> &Watches) {
  std::vector<EndpointId> Due;
  for (auto &[Name, Held] : m_Entries) {
    const bool Suspicious = Held.m_Health.takeDueProbe(Now);
    const bool QuietOne =
        Held.m_Health.state() == EndpointHealth::State::Usable &&
        Held.m_Health.idleFor(Quiet, Now) && Watches(Name);
    if (Suspicious || QuietOne)
      Due.push_back(Name);
  }
  return Due;
}

std::vector<EndpointChange> EndpointDirectory::takeChanges() {
  return std::exchange(m_Changes, {});
}

std::vector<EndpointStatus> EndpointDirectory::status() const {
  std::vector<EndpointStatus> All;
  for (const auto &[Name, Held] : m_Entries)
    All.push_back({Name, Held.m_Health.state(), Held.m_Health.leaving(),
                   Held.m_Health.inFlight()});
  return All;
}

} // namespace mimosadale::decide
