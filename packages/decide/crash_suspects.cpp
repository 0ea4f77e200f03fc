#include "decide/crash_suspects.h"

#include <algorithm>
#include <iterator>
#include <limits>

namespace mimosadale::decide {

namespace {

// Crashes after which a part is blocked that no answer ever cleared. Each one
// takes a chain out of service; a single one may have another cause.
constexpr std::size_t CrashesToBlock = 2;

// The same for a part that an answer had cleared before: it was sound, so that
// it takes more to tell it from others that were waiting beside it.
constexpr std::size_t CrashesToBlockCleared = 5;

// Crashes within this time count as one: a rack or a power supply that fails
// takes many engines at once.
constexpr Duration CommonCauseWindow = std::chrono::milliseconds(150);

// Time without requests after which a part is forgotten, over all routers.
constexpr Duration QuietTime = std::chrono::minutes(10);

// Time for which it is remembered that crashes were disproved: longer than it
// takes until all routers know.
constexpr Duration DisprovedRetention = std::chrono::seconds(30);

// Time for which a change is told in every round, and the interval between
// rounds after that.
constexpr Duration NewsLifetime = std::chrono::seconds(4);
constexpr Duration ReminderInterval = std::chrono::seconds(4);

// Limits of what is remembered: parts of concurrent requests many times over.
constexpr std::size_t MaxParts = 512;
constexpr std::size_t MaxCleared = 8192;

// Limits of a notice, far below the largest that is accepted.
constexpr std::size_t MaxPartsTold = 64;
constexpr std::size_t MaxCrashesTold = 8;

std::uint32_t ageMs(Instant Since, Instant Now) {
  const auto Age =
      std::chrono::duration_cast<std::chrono::milliseconds>(Now - Since);
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(
      Age.count(), 0, std::numeric_limits<std::uint32_t>::max()));
}

Instant before(Instant Now, std::uint32_t AgeMs) {
  return Now - std::chrono::milliseconds(AgeMs);
}

} // namespace

// Crashes at different times; those of one cause count once. A request that was
// sent after a crash reached an engine that this cause had spared.
std::size_t CrashSuspects::countCrashes(const Part &Record) {
  std::vector<CrashTimes> Crashes;
  for (const auto &[Crash, Times] : Record.m_Crashes)
    Crashes.push_back(Times);
  std::sort(
      Crashes.begin(), Crashes.end(),
      [](const CrashTimes &A, const CrashTimes &B) { return A.m_At < B.m_At; });
  std::size_t Count = 0;
  std::optional<Instant> Last;
  for (const CrashTimes &Crash : Crashes)
    if (!Last || Crash.m_SentAt > *Last ||
        Crash.m_At - *Last > CommonCauseWindow) {
      ++Count;
      Last = Crash.m_At;
    }
  return Count;
}

bool CrashSuspects::isBlocked(const Part &Record) {
  return countCrashes(Record) >=
         (Record.m_ClearedAt ? CrashesToBlockCleared : CrashesToBlock);
}

// A part that was cleared before is not held back by a few crashes.
bool CrashSuspects::isSuspect(const Part &Record) {
  return !Record.m_Crashes.empty() && !Record.m_ClearedAt;
}

PartVerdict CrashSuspects::judge(const Parts &RequestParts, Instant Now) {
  PartVerdict Verdict = PartVerdict::Sound;
  for (const PromptPartId &Id : RequestParts) {
    const auto Found = m_Parts.find(Id);
    if (Found == m_Parts.end())
      continue;
    Found->second.m_SeenAt = std::max(Found->second.m_SeenAt, Now);
    if (isBlocked(Found->second))
      return PartVerdict::Deadly;
    if (isSuspect(Found->second))
      Verdict = PartVerdict::Suspect;
  }
  return Verdict;
}

std::shared_ptr<const void> CrashSuspects::takeTurn(const Parts &RequestParts) {
  std::vector<Part *> Suspects;
  for (const PromptPartId &Id : RequestParts)
    if (const auto Found = m_Parts.find(Id);
        Found != m_Parts.end() && isSuspect(Found->second)) {
      if (!Found->second.m_Turn.expired())
        return nullptr;
      Suspects.push_back(&Found->second);
    }
  const auto Turn = std::make_shared<const char>();
  for (Part *Suspect : Suspects)
    Suspect->m_Turn = Turn;
  return Turn;
}

void CrashSuspects::rememberCleared(const PromptPartId &Id, Instant At) {
  Instant &Latest = m_Cleared[Id];
  Latest = std::max(Latest, At);
  if (m_Cleared.size() <= MaxCleared)
    return;
  // The older half is dropped at once, so that this is rare.
  std::vector<Instant> Times;
  Times.reserve(m_Cleared.size());
  for (const auto &[Cleared, Time] : m_Cleared)
    Times.push_back(Time);
  const auto Middle =
      Times.begin() + static_cast<std::ptrdiff_t>(Times.size() / 2);
  std::nth_element(Times.begin(), Middle, Times.end());
  std::erase_if(m_Cleared,
                [&](const auto &Item) { return Item.second < *Middle; });
}

PartVerdict CrashSuspects::stateOf(const Part &Record) {
  if (isBlocked(Record))
    return PartVerdict::Deadly;
  return isSuspect(Record) ? PartVerdict::Suspect : PartVerdict::Sound;
}

PartVerdict CrashSuspects::stateOf(const PromptPartId &Id) const {
  const auto Found = m_Parts.find(Id);
  return Found == m_Parts.end() ? PartVerdict::Sound : stateOf(Found->second);
}

void CrashSuspects::addChange(const PromptPartId &Id, PartVerdict Before,
                              std::vector<ChangedPart> &Changes) const {
  const PartVerdict State = stateOf(Id);
  if (State == Before)
    return;
  PartChange Change = PartChange::Cleared;
  if (State == PartVerdict::Deadly)
    Change = PartChange::Blocked;
  else if (State == PartVerdict::Suspect)
    Change = PartChange::Suspected;
  Changes.push_back({Id, Change, countCrashes(m_Parts.at(Id))});
}

void CrashSuspects::disprove(Part &Record, const std::string &Crash,
                             CrashTimes Times, Instant Now) {
  Record.m_Crashes.erase(Crash);
  if (Record.m_Disproved.try_emplace(Crash, Times).second)
    Record.m_ChangedAt = Now;
  if (Record.m_Disproved.size() > MaxCrashesTold)
    Record.m_Disproved.erase(
        std::min_element(Record.m_Disproved.begin(), Record.m_Disproved.end(),
                         [](const auto &A, const auto &B) {
                           return A.second.m_At < B.second.m_At;
                         }));
}

// An answer on the part went on: no crash before that was caused by it.
void CrashSuspects::onAnswer(Part &Record, Instant AnsweredAt, Instant Now) {
  const std::map<std::string, CrashTimes> Crashes = Record.m_Crashes;
  for (const auto &[Crash, Times] : Crashes)
    if (Times.m_At <= AnsweredAt)
      disprove(Record, Crash, Times, Now);
  Record.m_ClearedAt =
      std::max(Record.m_ClearedAt.value_or(AnsweredAt), AnsweredAt);
}

void CrashSuspects::accuse(const PromptPartId &Id, const std::string &Crash,
                           CrashTimes Times, Instant Now) {
  Part &Record = m_Parts[Id];
  if (Record.m_Disproved.contains(Crash))
    return;
  if (Record.m_Crashes.try_emplace(Crash, Times).second)
    Record.m_ChangedAt = Now;
  if (const auto Cleared = m_Cleared.find(Id); Cleared != m_Cleared.end())
    onAnswer(Record, Cleared->second, Now);
}

std::vector<ChangedPart> CrashSuspects::onAnswerBegun(const Parts &RequestParts,
                                                      Instant Now) {
  std::vector<ChangedPart> Changes;
  for (const PromptPartId &Id : RequestParts) {
    rememberCleared(Id, Now);
    const auto Found = m_Parts.find(Id);
    if (Found == m_Parts.end())
      continue;
    const PartVerdict Before = stateOf(Found->second);
    onAnswer(Found->second, Now, Now);
    addChange(Id, Before, Changes);
  }
  return Changes;
}

std::vector<ChangedPart> CrashSuspects::onCrash(const Parts &RequestParts,
                                                const EngineCrash &Crash,
                                                Instant Now) {
  std::vector<ChangedPart> Changes;
  const std::string Name =
      Crash.m_Engine.str() + "@" + std::to_string(Crash.m_StartedMs);
  for (const PromptPartId &Id : RequestParts) {
    const PartVerdict Before = stateOf(Id);
    accuse(Id, Name, {Crash.m_SentAt, Crash.m_CrashedAt}, Now);
    Instant &SeenAt = m_Parts.at(Id).m_SeenAt;
    SeenAt = std::max(SeenAt, Now);
    addChange(Id, Before, Changes);
  }
  evict();
  return Changes;
}

bool CrashSuspects::allCleared(const Parts &RequestParts) const {
  return std::all_of(
      RequestParts.begin(), RequestParts.end(),
      [this](const PromptPartId &Id) { return m_Cleared.contains(Id); });
}

bool CrashSuspects::hasNews(Instant Now) const {
  return std::any_of(m_Parts.begin(), m_Parts.end(), [&](const auto &Item) {
    return Now - Item.second.m_ChangedAt < NewsLifetime;
  });
}

bool CrashSuspects::roundDue(Instant Now) const {
  return hasNews(Now) ||
         (!m_Parts.empty() && Now - m_ToldAt >= ReminderInterval);
}

void CrashSuspects::addTo(schema::LimitNotice &Notice, Instant Now) {
  m_ToldAt = Now;
  std::vector<std::pair<Instant, PromptPartId>> Latest;
  for (const auto &[Id, Record] : m_Parts)
    Latest.emplace_back(Record.m_ChangedAt, Id);
  std::sort(Latest.rbegin(), Latest.rend());
  Latest.resize(std::min(Latest.size(), MaxPartsTold));
  for (const auto &[ChangedAt, Id] : Latest) {
    const Part &Record = m_Parts.at(Id);
    schema::PromptPart &Told = *Notice.add_parts();
    Told.set_part(Id.str());
    Told.set_seen_age_ms(ageMs(Record.m_SeenAt, Now));
    if (Record.m_ClearedAt) {
      Told.set_cleared(true);
      Told.set_cleared_age_ms(ageMs(*Record.m_ClearedAt, Now));
    }
    const auto AddCrashes =
        [&](const std::map<std::string, CrashTimes> &Crashes, bool Disproved) {
          std::size_t Count = 0;
          for (const auto &[Crash, Times] : Crashes) {
            if (++Count > MaxCrashesTold)
              break;
            schema::EngineCrash &Statement = *Told.add_crashes();
            Statement.set_engine_start(Crash);
            Statement.set_age_ms(ageMs(Times.m_At, Now));
            Statement.set_sent_age_ms(ageMs(Times.m_SentAt, Now));
            Statement.set_disproved(Disproved);
          }
        };
    AddCrashes(Record.m_Crashes, false);
    AddCrashes(Record.m_Disproved, true);
  }
}

std::vector<ChangedPart> CrashSuspects::merge(const schema::LimitNotice &Notice,
                                              Instant Now) {
  std::vector<ChangedPart> Changes;
  for (const schema::PromptPart &Told : Notice.parts()) {
    const PromptPartId Id(Told.part());
    const PartVerdict Before = stateOf(Id);
    Part &Record = m_Parts[Id];
    for (const schema::EngineCrash &Statement : Told.crashes()) {
      const CrashTimes Times{before(Now, Statement.sent_age_ms()),
                             before(Now, Statement.age_ms())};
      if (Statement.disproved())
        disprove(Record, Statement.engine_start(), Times, Now);
      else
        accuse(Id, Statement.engine_start(), Times, Now);
    }
    if (Told.cleared())
      onAnswer(Record, before(Now, Told.cleared_age_ms()), Now);
    Record.m_SeenAt =
        std::max(Record.m_SeenAt, before(Now, Told.seen_age_ms()));
    addChange(Id, Before, Changes);
  }
  evict();
  return Changes;
}

// Drops the parts that changed first if there are too many, blocked ones last.
void CrashSuspects::evict() {
  while (m_Parts.size() > MaxParts) {
    const auto Oldest = std::min_element(
        m_Parts.begin(), m_Parts.end(), [](const auto &A, const auto &B) {
          return std::pair(isBlocked(A.second), A.second.m_ChangedAt) <
                 std::pair(isBlocked(B.second), B.second.m_ChangedAt);
        });
    m_Parts.erase(Oldest);
  }
}

void CrashSuspects::onTick(Instant Now) {
  std::erase_if(m_Parts, [&](const auto &Item) {
    const Part &Record = Item.second;
    if (Record.m_Crashes.empty())
      return Now - Record.m_ChangedAt > DisprovedRetention;
    return Now - std::max(Record.m_SeenAt, Record.m_ChangedAt) > QuietTime;
  });
}

Duration CrashSuspects::quietTime() { return QuietTime; }

std::size_t CrashSuspects::blocked() const {
  return static_cast<std::size_t>(
      std::count_if(m_Parts.begin(), m_Parts.end(),
                    [](const auto &Item) { return isBlocked(Item.second); }));
}

} // namespace mimosadale::decide
