#include "decide/endpoint_directory.h"

#include <algorithm>

namespace mimosadale::decide {

void EndpointDirectory::adopt(const schema::Declaration &Declared) {
  std::map<EndpointId, Entry> Entries;
  m_Services.clear();
  m_Layers.clear();
  for (const schema::Endpoint &Endpoint : Declared.endpoints()) {
    const EndpointId Name(Endpoint.name());
    const auto Known = m_Entries.find(Name);
    const bool SameAddress =
        Known != m_Entries.end() &&
        Known->second.m_Declared.address() == Endpoint.address();
    Entry Next = SameAddress ? std::move(Known->second) : Entry();
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

EndpointDirectory::Entry *EndpointDirectory::find(const EndpointId &Endpoint) {
  const auto It = m_Entries.find(Endpoint);
  return It == m_Entries.end() ? nullptr : &It->second;
}

const EndpointDirectory::Entry *
EndpointDirectory::find(const EndpointId &Endpoint) const {
  const auto It = m_Entries.find(Endpoint);
  return It == m_Entries.end() ? nullptr : &It->second;
}

std::string EndpointDirectory::address(const EndpointId &Endpoint) const {
  const Entry *Known = find(Endpoint);
  return Known ? Known->m_Declared.address() : "";
}

bool EndpointDirectory::isEngine(const EndpointId &Endpoint) const {
  const Entry *Known = find(Endpoint);
  return Known && Known->m_Declared.kind() == schema::ENGINE;
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
  for (const auto &[Name, Known] : m_Entries) {
    const schema::Endpoint &Declared = Known.m_Declared;
    if (Declared.kind() != schema::ENGINE || Declared.model() != Model.m_Name ||
        Declared.version() != Model.m_Version || !Known.m_Health.usable())
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
  const Entry *Known = find(Endpoint);
  return Known ? Known->m_Health.load(Now) : EngineLoad();
}

std::optional<EndpointId> EndpointDirectory::chooseServiceEndpoint(
    const ServiceId &Service, const EndpointSet &Avoid, Random &Rng) const {
  const auto It = m_Services.find(Service);
  if (It == m_Services.end())
    return std::nullopt;
  std::vector<const EndpointId *> Local;
  std::vector<const EndpointId *> Remote;
  for (const EndpointId &Name : It->second) {
    const Entry &Known = *find(Name);
    if (!Known.m_Health.usable() || Avoid.contains(Name))
      continue;
    (isLocal(Known.m_Declared) ? Local : Remote).push_back(&Name);
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
                                       Entry &Known) {
  const EndpointHealth &Health = Known.m_Health;
  const HostList::HostState Host =
      m_Hosts.state(HostId(Known.m_Declared.host()));
  publishNote(Endpoint, Known, schema::NOTE_HOST_LIST,
              {Host.m_Leaving, Host.m_Incarnation});
  publishNote(Endpoint, Known, schema::NOTE_ENDPOINT,
              {Health.leavingAccordingTo(LeaveSource::Endpoint), {}});
  publishNote(Endpoint, Known, schema::NOTE_OPERATOR,
              {Health.leavingAccordingTo(LeaveSource::Operator), {}});
  publishNote(Endpoint, Known, schema::NOTE_SUSPECT,
              {Health.state() != EndpointHealth::State::Usable, {}});
  if (Health.usable() == Known.m_WasUsable)
    return;
  Known.m_WasUsable = Health.usable();
  m_Choosers.erase({Known.m_Declared.model(), Known.m_Declared.version()});
}

// A newer incarnation alone is a change only for a host that is leaving;
// otherwise each router would announce every host to all others when it first
// reads the list.
void EndpointDirectory::publishNote(const EndpointId &Endpoint, Entry &Known,
                                    schema::NoteKind Kind, NoteState State) {
  const NoteState Before = std::exchange(Known.m_PublishedNotes[Kind], State);
  if (Before.m_Set != State.m_Set ||
      (State.m_Set && Before.m_Incarnation < State.m_Incarnation))
    m_Changes.push_back({Endpoint, Kind, State.m_Set, State.m_Incarnation});
}

void EndpointDirectory::onCallStarted(const EndpointId &Endpoint) {
  if (Entry *Known = find(Endpoint))
    Known->m_Health.onCallStarted();
}

void EndpointDirectory::onReply(const EndpointId &Endpoint,
                                std::uint64_t Positions, Duration Latency,
                                const schema::Load *Load, Instant Now) {
  if (Entry *Known = find(Endpoint)) {
    Known->m_Health.onReply(Positions, Latency, Load, Now);
    onEntryChanged(Endpoint, *Known);
  }
}

void EndpointDirectory::onFault(const EndpointId &Endpoint, bool ConnectFailed,
                                Instant Now) {
  if (Entry *Known = find(Endpoint)) {
    Known->m_Health.onFault(ConnectFailed, Now);
    onEntryChanged(Endpoint, *Known);
  }
}

void EndpointDirectory::onProbe(const EndpointId &Endpoint, bool Answered,
                                const schema::Load *Load, Instant Now) {
  if (Entry *Known = find(Endpoint)) {
    Known->m_Health.onProbe(Answered, Load, Now);
    onEntryChanged(Endpoint, *Known);
  }
}

void EndpointDirectory::onNote(const schema::EndpointNote &Note, Instant Now) {
  const EndpointId Endpoint(Note.name());
  Entry *Known = find(Endpoint);
  if (!Known)
    return;
  const auto HostIncarnation = static_cast<Incarnation>(Note.incarnation());
  switch (Note.kind()) {
  case schema::NOTE_HOST_LIST: {
    const HostId Host(Known->m_Declared.host());
    const auto State = m_Hosts.merge(Host, {HostIncarnation, Note.set()});
    Known->m_Health.setLeaving(LeaveSource::HostList, State.m_Leaving);
    break;
  }
  case schema::NOTE_ENDPOINT:
    Known->m_Health.setLeaving(LeaveSource::Endpoint, Note.set());
    break;
  case schema::NOTE_OPERATOR:
    Known->m_Health.setLeaving(LeaveSource::Operator, Note.set());
    break;
  default:
    Known->m_Health.onPeerReport(Note.set(), Now);
    break;
  }
  Known->m_PublishedNotes[Note.kind()] = {Note.set(), HostIncarnation};
  onEntryChanged(Endpoint, *Known);
}

void EndpointDirectory::replaceDrained(
    const std::vector<std::string> &Subjects) {
  const std::set<std::string> Drained(Subjects.begin(), Subjects.end());
  for (auto &[Name, Known] : m_Entries) {
    const bool Leaving = Drained.contains(Name.str()) ||
                         Drained.contains(Known.m_Declared.host());
    Known.m_Health.setLeaving(LeaveSource::Operator, Leaving);
    onEntryChanged(Name, Known);
  }
}

void EndpointDirectory::onHostList(const std::vector<schema::HostEntry> &List) {
  for (const schema::HostEntry &Listed : List)
    m_Hosts.merge(
        HostId(Listed.name()),
        {static_cast<Incarnation>(Listed.incarnation()), Listed.leaving()});
  for (auto &[Name, Known] : m_Entries) {
    const HostId Host(Known.m_Declared.host());
    Known.m_Health.setLeaving(LeaveSource::HostList,
                              m_Hosts.state(Host).m_Leaving);
    onEntryChanged(Name, Known);
  }
}

Duration EndpointDirectory::replyTimeout(const EndpointId &Endpoint,
                                         std::uint64_t Positions, Duration Min,
                                         Duration Max) const {
  const Entry *Known = find(Endpoint);
  if (!Known)
    return Max;
  return Known->m_Health.replyTimeout(
      Positions, Known->m_Declared.tokens_per_second(), Min, Max);
}

std::vector<EndpointId> EndpointDirectory::takeDueProbes(
    Duration IdleTime, Instant Now,
    const std::function<bool(const EndpointId &)> &Watches) {
  std::vector<EndpointId> Due;
  for (auto &[Name, Known] : m_Entries) {
    const bool ProbeDue = Known.m_Health.takeDueProbe(Now);
    const bool Idle = Known.m_Health.state() == EndpointHealth::State::Usable &&
                      Known.m_Health.idleFor(IdleTime, Now) && Watches(Name);
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
  for (const auto &[Name, Known] : m_Entries)
    Statuses.push_back({Name, Known.m_Health.state(), Known.m_Health.leaving(),
                        Known.m_Health.inFlight()});
  return Statuses;
}

} // namespace mimosadale::decide
