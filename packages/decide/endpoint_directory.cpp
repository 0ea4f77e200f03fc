#include "decide/endpoint_directory.h"

#include <algorithm>

namespace mimosadale::decide {

void EndpointDirectory::adopt(const schema::Declaration &Declared) {
  std::map<EndpointId, EndpointEntry> Entries;
  m_Services.clear();
  m_Layers.clear();
  for (const schema::Endpoint &Endpoint : Declared.endpoints()) {
    const EndpointId Name(Endpoint.name());
    const auto Entry = m_Entries.find(Name);
    const bool SameAddress =
        Entry != m_Entries.end() &&
        Entry->second.m_Declared.address() == Endpoint.address();
    EndpointEntry Next =
        SameAddress ? std::move(Entry->second) : EndpointEntry();
    Next.m_Declared = Endpoint;
    Entries.emplace(Name, std::move(Next));
    if (Endpoint.kind() == schema::PLAIN)
      m_Services[ServiceId(Endpoint.service())].push_back(Name);
  }
  for (const schema::Model &Model : Declared.models())
    m_Layers[{Model.name(), Model.version()}] = Model.layers();
  m_Entries = std::move(Entries);
  m_Choosers.clear();
}

EndpointDirectory::EndpointEntry *
EndpointDirectory::find(const EndpointId &Endpoint) {
  const auto It = m_Entries.find(Endpoint);
  return It == m_Entries.end() ? nullptr : &It->second;
}

const EndpointDirectory::EndpointEntry *
EndpointDirectory::find(const EndpointId &Endpoint) const {
  const auto It = m_Entries.find(Endpoint);
  return It == m_Entries.end() ? nullptr : &It->second;
}

std::string EndpointDirectory::address(const EndpointId &Endpoint) const {
  const EndpointEntry *Entry = find(Endpoint);
  return Entry ? Entry->m_Declared.address() : "";
}

bool EndpointDirectory::isEngine(const EndpointId &Endpoint) const {
  const EndpointEntry *Entry = find(Endpoint);
  return Entry && Entry->m_Declared.kind() == schema::ENGINE;
}

bool EndpointDirectory::isLocal(const schema::Endpoint &Declared) const {
  return Declared.data_centre() == m_LocalDataCentre.str();
}

std::shared_ptr<const PathChooser>
EndpointDirectory::chooser(const ModelRef &Model) {
  const auto Layers = m_Layers.find(Model);
  if (Layers == m_Layers.end())
    return nullptr;
  auto &Cached = m_Choosers[Model];
  if (Cached)
    return Cached;
  std::vector<EngineProfile> Engines;
  for (const auto &[Name, Entry] : m_Entries) {
    const schema::Endpoint &Declared = Entry.m_Declared;
    if (Declared.kind() != schema::ENGINE || Declared.model() != Model.m_Name ||
        Declared.version() != Model.m_Version || !Entry.m_Health.usable())
      continue;
    Engines.push_back({Name,
                       {Declared.first_layer(), Declared.end_layer()},
                       Declared.tokens_per_second(),
                       fromSeconds(Declared.link_ms() / 1000)});
  }
  Cached = std::make_shared<PathChooser>(std::move(Engines), Layers->second);
  return Cached;
}

EngineLoad EndpointDirectory::load(const EndpointId &Endpoint,
                                   Instant Now) const {
  const EndpointEntry *Entry = find(Endpoint);
  return Entry ? Entry->m_Health.load(Now) : EngineLoad();
}

std::optional<EndpointId> EndpointDirectory::chooseServiceEndpoint(
    const ServiceId &Service, const EndpointSet &Avoid, Random &Rng) const {
  const auto It = m_Services.find(Service);
  if (It == m_Services.end())
    return std::nullopt;
  std::vector<const EndpointId *> Local;
  std::vector<const EndpointId *> Remote;
  for (const EndpointId &Name : It->second) {
    const EndpointEntry &Entry = *find(Name);
    if (!Entry.m_Health.usable() || Avoid.contains(Name))
      continue;
    (isLocal(Entry.m_Declared) ? Local : Remote).push_back(&Name);
  }
  const auto &Candidates = Local.empty() ? Remote : Local;
  if (Candidates.empty())
    return std::nullopt;
  std::uniform_int_distribution<std::size_t> Draw(0, Candidates.size() - 1);
  const EndpointId *First = Candidates[Draw(Rng)];
  const EndpointId *Second = Candidates[Draw(Rng)];
  const bool SecondIsLessLoaded =
      find(*Second)->m_Health.inFlight() < find(*First)->m_Health.inFlight();
  return SecondIsLessLoaded ? *Second : *First;
}

// Records the changes for the other routers, and drops the path chooser if the
// endpoint has become usable or unusable.
void EndpointDirectory::onEntryChanged(const EndpointId &Endpoint,
                                       EndpointEntry &Entry) {
  const EndpointHealth &Health = Entry.m_Health;
  const HostList::HostState Host =
      m_Hosts.state(HostId(Entry.m_Declared.host()));
  publishNote(Endpoint, Entry, schema::NOTE_HOST_LIST,
              {Host.m_Leaving, Host.m_Incarnation});
  publishNote(Endpoint, Entry, schema::NOTE_ENDPOINT,
              {Health.leavingAccordingTo(LeaveSource::Endpoint), {}});
  publishNote(Endpoint, Entry, schema::NOTE_OPERATOR,
              {Health.leavingAccordingTo(LeaveSource::Operator), {}});
  publishNote(Endpoint, Entry, schema::NOTE_SUSPECT,
              {Health.state() != EndpointHealth::State::Usable, {}});
  if (Health.usable() == Entry.m_WasUsable)
    return;
  Entry.m_WasUsable = Health.usable();
  m_Choosers.erase({Entry.m_Declared.model(), Entry.m_Declared.version()});
}

// A newer incarnation alone is a change only for a host that is leaving;
// otherwise each router would announce every host to all others when it first
// reads the list.
void EndpointDirectory::publishNote(const EndpointId &Endpoint,
                                    EndpointEntry &Entry, schema::NoteKind Kind,
                                    NoteState State) {
  const NoteState Before = std::exchange(Entry.m_PublishedNotes[Kind], State);
  if (Before.m_Set != State.m_Set ||
      (State.m_Set && Before.m_Incarnation < State.m_Incarnation))
    m_Changes.push_back({Endpoint, Kind, State.m_Set, State.m_Incarnation});
}

void EndpointDirectory::onCallStarted(const EndpointId &Endpoint) {
  if (EndpointEntry *Entry = find(Endpoint))
    Entry->m_Health.onCallStarted();
}

void EndpointDirectory::onReply(const EndpointId &Endpoint,
                                std::uint64_t Positions, Duration Latency,
                                const schema::Load *Load, Instant Now) {
  if (EndpointEntry *Entry = find(Endpoint)) {
    Entry->m_Health.onReply(Positions, Latency, Load, Now);
    onEntryChanged(Endpoint, *Entry);
  }
}

void EndpointDirectory::onFault(const EndpointId &Endpoint, bool ConnectFailed,
                                Instant Now) {
  if (EndpointEntry *Entry = find(Endpoint)) {
    Entry->m_Health.onFault(ConnectFailed, Now);
    onEntryChanged(Endpoint, *Entry);
  }
}

void EndpointDirectory::onProbe(const EndpointId &Endpoint, bool Answered,
                                const schema::Load *Load, Instant Now) {
  if (EndpointEntry *Entry = find(Endpoint)) {
    Entry->m_Health.onProbe(Answered, Load, Now);
    onEntryChanged(Endpoint, *Entry);
  }
}

void EndpointDirectory::onNote(const schema::EndpointNote &Note, Instant Now) {
  const EndpointId Endpoint(Note.name());
  EndpointEntry *Entry = find(Endpoint);
  if (!Entry)
    return;
  const auto HostIncarnation = static_cast<Incarnation>(Note.incarnation());
  switch (Note.kind()) {
  case schema::NOTE_HOST_LIST: {
    const HostId Host(Entry->m_Declared.host());
    const auto State = m_Hosts.merge(Host, {HostIncarnation, Note.set()});
    Entry->m_Health.setLeaving(LeaveSource::HostList, State.m_Leaving);
    break;
  }
  case schema::NOTE_ENDPOINT:
    Entry->m_Health.setLeaving(LeaveSource::Endpoint, Note.set());
    break;
  case schema::NOTE_OPERATOR:
    Entry->m_Health.setLeaving(LeaveSource::Operator, Note.set());
    break;
  default:
    Entry->m_Health.onPeerReport(Note.set(), Now);
    break;
  }
  Entry->m_PublishedNotes[Note.kind()] = {Note.set(), HostIncarnation};
  onEntryChanged(Endpoint, *Entry);
}

void EndpointDirectory::replaceDrained(
    const std::vector<std::string> &Subjects) {
  const std::set<std::string> Drained(Subjects.begin(), Subjects.end());
  for (auto &[Name, Entry] : m_Entries) {
    const bool Leaving = Drained.contains(Name.str()) ||
                         Drained.contains(Entry.m_Declared.host());
    Entry.m_Health.setLeaving(LeaveSource::Operator, Leaving);
    onEntryChanged(Name, Entry);
  }
}

void EndpointDirectory::onHostList(const std::vector<schema::HostEntry> &List) {
  for (const schema::HostEntry &Listed : List)
    m_Hosts.merge(
        HostId(Listed.name()),
        {static_cast<Incarnation>(Listed.incarnation()), Listed.leaving()});
  for (auto &[Name, Entry] : m_Entries) {
    const HostId Host(Entry.m_Declared.host());
    Entry.m_Health.setLeaving(LeaveSource::HostList,
                              m_Hosts.state(Host).m_Leaving);
    onEntryChanged(Name, Entry);
  }
}

Duration EndpointDirectory::replyTimeout(const EndpointId &Endpoint,
                                         std::uint64_t Positions, Duration Min,
                                         Duration Max) const {
  const EndpointEntry *Entry = find(Endpoint);
  if (!Entry)
    return Max;
  return Entry->m_Health.replyTimeout(
      Positions, Entry->m_Declared.tokens_per_second(), Min, Max);
}

std::vector<EndpointId> EndpointDirectory::takeDueProbes(
    Duration IdleTime, Instant Now,
    const std::function<bool(const EndpointId &)> &Watches) {
  std::vector<EndpointId> Due;
  for (auto &[Name, Entry] : m_Entries) {
    const bool ProbeDue = Entry.m_Health.takeDueProbe(Now);
    const bool Idle = Entry.m_Health.state() == EndpointHealth::State::Usable &&
                      Entry.m_Health.idleFor(IdleTime, Now) && Watches(Name);
    if (ProbeDue || Idle)
      Due.push_back(Name);
  }
  return Due;
}

std::vector<EndpointChange> EndpointDirectory::takeChanges() {
  return std::exchange(m_Changes, {});
}

std::vector<EndpointStatus> EndpointDirectory::status() const {
  std::vector<EndpointStatus> Statuses;
  for (const auto &[Name, Entry] : m_Entries)
    Statuses.push_back({Name, Entry.m_Health.state(), Entry.m_Health.leaving(),
                        Entry.m_Health.inFlight()});
  return Statuses;
}

} // namespace mimosadale::decide
