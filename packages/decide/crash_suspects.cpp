#include "decide/crash_suspects.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <tuple>

namespace mimosadale::decide {

namespace {

// Separate crashes after which a request is blocked for itself, which no answer
// ever cleared: whatever had not begun on a crashed endpoint is repeated, so
// that sound requests may share two crashes with a deadly one.
constexpr std::size_t CrashesToBlockRequest = 3;

// Crashes from which a request is sent while no other suspect is, so that the
// one that blocks it accuses nothing else.
constexpr std::size_t CrashesToIsolate = 2;

// The same for crashes during its answers, and for a request that was sound.
constexpr std::size_t CrashesToBlockDuringAnswers = 4;
constexpr std::size_t CrashesToBlockCleared = 5;

// A deadly request may have some events before its endpoint crashes; an
// endpoint that has written for so long has long since begun.
constexpr Duration LastingTime = std::chrono::seconds(2);

// Time after a crash that may block a request for which it is not sent: within
// it other routers tell which requests lay on the same endpoint.
constexpr Duration SettlingTime = std::chrono::milliseconds(300);

// Time without requests after which a mark is forgotten, over all routers.
constexpr Duration QuietTime = std::chrono::minutes(10);

// Time for which it is remembered that crashes were disproved: longer than it
// takes until all routers know.
constexpr Duration DisprovedRetention = std::chrono::seconds(30);

// Time for which a change is told in every round, and the interval between
// rounds after that.
constexpr Duration NewsLifetime = std::chrono::seconds(4);
constexpr Duration ReminderInterval = std::chrono::seconds(4);

// Limits of what is remembered: marks of concurrent requests many times over,
// and all parts of a request with as many as its header holds.
constexpr std::size_t MaxRecords = 4096;
constexpr std::size_t MaxAnswers = 16384;

// A mark that was not seen for all but this part of the quiet time is not
// learned anew: routers that forget it at different times would keep it alive.
constexpr Duration EndMargin = std::chrono::seconds(5);

// Limit of the row in the store, below what it accepts.
constexpr std::size_t MaxRowBytes = 32768;

// Limits of a notice, far below the largest that is accepted.
constexpr std::size_t MaxNoticeBytes = 32768;
constexpr std::size_t MaxCrashesTold = 32;

std::uint32_t ageMs(Instant Since, Instant Now) {
  const auto Age =
      std::chrono::duration_cast<std::chrono::milliseconds>(Now - Since);
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(
      Age.count(), 0, std::numeric_limits<std::uint32_t>::max()));
}

Instant before(Instant Now, std::uint32_t AgeMs) {
  return Now - std::chrono::milliseconds(AgeMs);
}

RequestMark decodeMark(const schema::CrashMark &Told) {
  return {Told.kind() == schema::REQUEST ? MarkKind::Request
                                         : MarkKind::PromptPart,
          Told.id()};
}

} // namespace

// Whether the crashes that speak against a request are its own. Sound requests
// lie on the same endpoints by chance: a crash at which a request with more
// crashes had not begun either speaks against that one, and of two with the
// same crashes one more has to tell which it is.
bool CrashSuspects::hasOwnCrashes(const RequestMark &Mark,
                                  const MarkRecord &Record,
                                  std::size_t Needed) const {
  CrashesByName Own = Record.m_Crashes;
  bool Tied = false;
  for (const auto &[Other, Rival] : m_Records) {
    if (Other.m_Kind != MarkKind::Request || Other == Mark ||
        Rival.m_Crashes.size() < Record.m_Crashes.size())
      continue;
    // Answers that had begun are no rivals of one that never did.
    CrashesByName Rivalling = Rival.m_Crashes;
    if (weightOf(Record) == CrashWeight::BeforeAnswers)
      std::erase_if(Rivalling, [](const auto &Item) {
        return !Item.second.m_BeforeAnswer;
      });
    const auto IsShared = [&](const auto &Item) {
      return Rivalling.contains(Item.first);
    };
    if (Rivalling.size() > Record.m_Crashes.size())
      std::erase_if(Own, IsShared);
    else if (Rivalling.size() == Record.m_Crashes.size())
      Tied |= std::all_of(Record.m_Crashes.begin(), Record.m_Crashes.end(),
                          IsShared);
  }
  return countSeparate(Own) >= Needed + (Tied ? 1 : 0);
}

CrashWeight CrashSuspects::weightOf(const MarkRecord &Record) {
  if (Record.m_AnsweredAt)
    return CrashWeight::Cleared;
  if (!Record.m_BegunAt)
    return CrashWeight::BeforeAnswers;
  return std::any_of(
             Record.m_Crashes.begin(), Record.m_Crashes.end(),
             [](const auto &Item) { return Item.second.m_DuringAnswer; })
             ? CrashWeight::DuringAnswers
             : CrashWeight::Cleared;
}

// The crashes that have the weight of the record: where answers begin, those
// before their beginning say little.
CrashesByName CrashSuspects::weightyCrashes(const MarkRecord &Record) {
  CrashesByName Crashes = Record.m_Crashes;
  if (weightOf(Record) == CrashWeight::DuringAnswers)
    std::erase_if(Crashes,
                  [](const auto &Item) { return !Item.second.m_DuringAnswer; });
  return Crashes;
}

bool CrashSuspects::isBlockedRequest(const RequestMark &Mark,
                                     const MarkRecord &Record) const {
  std::size_t Needed = CrashesToBlockRequest;
  if (weightOf(Record) == CrashWeight::DuringAnswers)
    Needed = CrashesToBlockDuringAnswers;
  else if (weightOf(Record) == CrashWeight::Cleared)
    Needed = CrashesToBlockCleared;
  return Record.m_Crashes.size() >= Needed &&
         countSeparate(weightyCrashes(Record)) >= Needed &&
         hasOwnCrashes(Mark, Record, Needed);
}

const PartEvidence &CrashSuspects::partEvidence() const {
  if (m_PartEvidence)
    return *m_PartEvidence;
  std::vector<AccusedPart> Accused;
  for (const auto &[Mark, Record] : m_Records)
    if (Mark.m_Kind == MarkKind::PromptPart && !Record.m_Crashes.empty())
      Accused.push_back({Mark.m_Id, Record.m_Crashes,
                         countSeparate(weightyCrashes(Record)),
                         weightOf(Record)});
  return m_PartEvidence.emplace(Accused);
}

// Whether a request seems to be blocked by its last crash, but other routers
// may not have told yet which requests lay on the same endpoint.
bool CrashSuspects::isSettling(const RequestMark &Mark,
                               const MarkRecord &Record, Instant Now) const {
  return Mark.m_Kind == MarkKind::Request &&
         Now - Record.m_ChangedAt < SettlingTime &&
         isBlockedRequest(Mark, Record);
}

// A mark that was cleared before is not held back by a few crashes.
bool CrashSuspects::isAccused(const MarkRecord &Record) {
  return !Record.m_Crashes.empty() && weightOf(Record) != CrashWeight::Cleared;
}

// A single crash while answers had begun says nothing: most marks that ordinary
// crashes meet have it.
bool CrashSuspects::saysEnough(const MarkRecord &Record) {
  return weightOf(Record) == CrashWeight::BeforeAnswers ||
         countSeparate(weightyCrashes(Record)) >= CrashesToIsolate;
}

bool CrashSuspects::isSuspect(const MarkRecord &Record, MarkKind Kind) {
  return isAccused(Record) && saysEnough(Record) &&
         (Kind == MarkKind::PromptPart ||
          countSeparate(weightyCrashes(Record)) >= CrashesToIsolate);
}

MarkVerdict CrashSuspects::judge(const RequestMarks &Marks, Instant Now) {
  bool Blocked = false;
  bool Suspect = false;
  bool Repeated = false; // only then can its parts be deadly
  for (const RequestMark &Mark : Marks) {
    const auto Found = m_Records.find(Mark);
    if (Found == m_Records.end())
      continue;
    MarkRecord &Record = Found->second;
    Record.m_SeenAt = std::max(Record.m_SeenAt, Now);
    const bool Settling = isSettling(Mark, Record, Now);
    Blocked |= !Settling && Mark.m_Kind == MarkKind::Request &&
               isBlockedRequest(Mark, Record);
    Suspect |= Settling || isSuspect(Record, Mark.m_Kind);
    Repeated |= isRepeated(Record);
  }
  if (Blocked || (Repeated && partEvidence().findDeadly(Marks)))
    return MarkVerdict::Deadly;
  return Suspect ? MarkVerdict::Suspect : MarkVerdict::Sound;
}

std::optional<RequestMark>
CrashSuspects::blockedMark(const RequestMarks &Marks) const {
  if (auto Part = partEvidence().findDeadly(Marks))
    return Part;
  for (const RequestMark &Mark : Marks)
    if (const auto Found = m_Records.find(Mark);
        Found != m_Records.end() && Mark.m_Kind == MarkKind::Request &&
        isBlockedRequest(Mark, Found->second))
      return Mark;
  return std::nullopt;
}

std::shared_ptr<const void> CrashSuspects::takeTurn(const RequestMarks &Marks,
                                                    Instant Now) {
  std::vector<std::weak_ptr<const void> *> Turns;
  for (const RequestMark &Mark : Marks) {
    const auto Found = m_Records.find(Mark);
    if (Found == m_Records.end())
      continue;
    if (isSettling(Mark, Found->second, Now))
      return nullptr;
    if (!isSuspect(Found->second, Mark.m_Kind))
      continue;
    std::weak_ptr<const void> &Turn =
        Mark.m_Kind == MarkKind::Request ? m_RequestTurn : Found->second.m_Turn;
    if (!Turn.expired())
      return nullptr;
    Turns.push_back(&Turn);
  }
  const auto Taken = std::make_shared<const char>();
  for (std::weak_ptr<const void> *Turn : Turns)
    *Turn = Taken;
  return Taken;
}

void CrashSuspects::remember(AnswerTimes &Answers, const RequestMark &Mark,
                             Instant At) {
  Instant &Latest = Answers[Mark];
  Latest = std::max(Latest, At);
  if (Answers.size() <= MaxAnswers)
    return;
  // The older half is dropped at once, so that this is rare.
  std::vector<Instant> Times;
  Times.reserve(Answers.size());
  for (const auto &[Answered, Time] : Answers)
    Times.push_back(Time);
  const auto Middle =
      Times.begin() + static_cast<std::ptrdiff_t>(Times.size() / 2);
  std::nth_element(Times.begin(), Middle, Times.end());
  std::erase_if(Answers,
                [&](const auto &Item) { return Item.second < *Middle; });
}

CrashSuspects::MarkState CrashSuspects::stateOf(const RequestMark &Mark) const {
  const auto Found = m_Records.find(Mark);
  if (Found == m_Records.end() || Found->second.m_Crashes.empty())
    return {};
  const MarkRecord &Record = Found->second;
  if (Mark.m_Kind == MarkKind::Request && isBlockedRequest(Mark, Record))
    return {MarkVerdict::Deadly, 0, 1};
  if (Mark.m_Kind == MarkKind::PromptPart && isRepeated(Record) &&
      partEvidence().isDeadly(Mark.m_Id))
    return {MarkVerdict::Deadly, 0, partEvidence().deadlyTogether(Mark.m_Id)};
  if (isAccused(Record) && saysEnough(Record))
    return {MarkVerdict::Suspect, countSeparate(Record.m_Crashes), 1};
  return {};
}

std::vector<CrashSuspects::MarkState>
CrashSuspects::statesOf(const RequestMarks &Marks) const {
  std::vector<MarkState> States;
  States.reserve(Marks.size());
  for (const RequestMark &Mark : Marks)
    States.push_back(stateOf(Mark));
  return States;
}

// The marks of which something else is believed than \p Before.
std::vector<ChangedMark>
CrashSuspects::changesSince(const RequestMarks &Marks,
                            const std::vector<MarkState> &Before) const {
  std::vector<ChangedMark> Changes;
  for (std::size_t I = 0; I < Marks.size(); ++I) {
    const MarkState State = stateOf(Marks[I]);
    if (State == Before[I])
      continue;
    MarkChange Change = MarkChange::Cleared;
    if (State.m_Verdict == MarkVerdict::Deadly)
      Change = MarkChange::Blocked;
    else if (State.m_Verdict == MarkVerdict::Suspect)
      Change = MarkChange::Suspected;
    Changes.push_back(
        {Marks[I], Change, countSeparate(m_Records.at(Marks[I]).m_Crashes),
         State.m_Together, Before[I].m_Verdict == MarkVerdict::Deadly});
  }
  return Changes;
}

void CrashSuspects::disprove(MarkRecord &Record, const std::string &Name,
                             const CrashRecord &Crash, Instant Now) {
  if (Record.m_Crashes.erase(Name) > 0)
    m_PartEvidence.reset();
  if (Record.m_Disproved.try_emplace(Name, Crash).second)
    onChanged(Record, Now);
  if (Record.m_Disproved.size() > MaxCrashesTold)
    Record.m_Disproved.erase(
        std::min_element(Record.m_Disproved.begin(), Record.m_Disproved.end(),
                         [](const auto &A, const auto &B) {
                           return A.second.m_At < B.second.m_At;
                         }));
}

// An answer with the mark got so far: no crash before that, of a request that
// had not got further, was caused by it.
void CrashSuspects::onAnswer(MarkRecord &Record, Progress Reached, Instant At,
                             Instant Now) {
  const CrashWeight Before = weightOf(Record);
  const CrashesByName Accusing = Record.m_Crashes;
  for (const auto &[Name, Crash] : Accusing) {
    if (Crash.m_At > At)
      continue;
    if (Reached == Progress::Answered || !Crash.m_DuringAnswer)
      disprove(Record, Name, Crash, Now);
    else
      Record.m_Crashes.at(Name).m_BeforeAnswer = false;
  }
  std::optional<Instant> &Latest =
      Reached == Progress::Answered ? Record.m_AnsweredAt : Record.m_BegunAt;
  Latest = std::max(Latest.value_or(At), At);
  if (weightOf(Record) != Before && !Record.m_Crashes.empty())
    m_PartEvidence.reset();
}

void CrashSuspects::accuse(const RequestMark &Mark, const std::string &Name,
                           const CrashRecord &Crash, Instant Now) {
  MarkRecord &Record = m_Records[Mark];
  const auto Disproved = Record.m_Disproved.find(Name);
  if (Disproved != Record.m_Disproved.end() &&
      (Disproved->second.m_DuringAnswer || !Crash.m_DuringAnswer))
    return;
  const auto [Entry, IsNew] = Record.m_Crashes.try_emplace(Name, Crash);
  CrashRecord &Known = Entry->second;
  if (IsNew || (Crash.m_BeforeAnswer && !Known.m_BeforeAnswer) ||
      (Crash.m_DuringAnswer && !Known.m_DuringAnswer) ||
      (Crash.m_Alone && !Known.m_Alone)) {
    Known.m_Alone |= Crash.m_Alone;
    Known.m_BeforeAnswer |= Crash.m_BeforeAnswer;
    Known.m_DuringAnswer |= Crash.m_DuringAnswer;
    onChanged(Record, Now);
    m_PartEvidence.reset();
  }
  if (Record.m_BegunAt)
    onAnswer(Record, Progress::Begun, *Record.m_BegunAt, Now);
  if (const auto Found = m_Begun.find(Mark); Found != m_Begun.end())
    onAnswer(Record, Progress::Begun, Found->second, Now);
  if (const auto Found = m_Answered.find(Mark); Found != m_Answered.end())
    onAnswer(Record, Progress::Answered, Found->second, Now);
}

std::vector<ChangedMark> CrashSuspects::onProgress(const RequestMarks &Marks,
                                                   Progress Reached,
                                                   Instant Now) {
  const std::vector<MarkState> Before = statesOf(Marks);
  for (const RequestMark &Mark : Marks) {
    remember(m_Begun, Mark, Now);
    if (Reached == Progress::Answered)
      remember(m_Answered, Mark, Now);
    const auto Found = m_Records.find(Mark);
    if (Found == m_Records.end())
      continue;
    onAnswer(Found->second, Progress::Begun, Now, Now);
    if (Reached == Progress::Answered)
      onAnswer(Found->second, Progress::Answered, Now, Now);
  }
  return changesSince(Marks, Before);
}

std::vector<ChangedMark> CrashSuspects::onAnswerBegun(const RequestMarks &Marks,
                                                      Instant Now) {
  return onProgress(Marks, Progress::Begun, Now);
}

std::vector<ChangedMark> CrashSuspects::onAnswered(const RequestMarks &Marks,
                                                   Instant Now) {
  return onProgress(Marks, Progress::Answered, Now);
}

Duration CrashSuspects::lastingTime() { return LastingTime; }

std::vector<ChangedMark> CrashSuspects::onCrash(const RequestMarks &Marks,
                                                const EndpointCrash &Crash,
                                                Instant Now) {
  const std::vector<MarkState> Before = statesOf(Marks);
  const std::string Name =
      Crash.m_Endpoint.str() + "@" + std::to_string(Crash.m_StartedMs);
  const auto IsOpen = [this](const RequestMark &Mark) {
    return Mark.m_Kind == MarkKind::PromptPart && !m_Begun.contains(Mark);
  };
  const bool IsOnly = std::count_if(Marks.begin(), Marks.end(), IsOpen) == 1;
  for (const RequestMark &Mark : Marks) {
    CrashRecord Record{Crash.m_SentAt, Crash.m_CrashedAt, !Crash.m_Begun,
                       Crash.m_Begun};
    Record.m_Alone = IsOnly && IsOpen(Mark);
    accuse(Mark, Name, Record, Now);
    Instant &SeenAt = m_Records.at(Mark).m_SeenAt;
    SeenAt = std::max(SeenAt, Now);
  }
  std::vector<ChangedMark> Changes = changesSince(Marks, Before);
  evict();
  return Changes;
}

bool CrashSuspects::partsCleared(const RequestMarks &Marks) const {
  return std::all_of(Marks.begin(), Marks.end(), [this](const auto &Mark) {
    return Mark.m_Kind != MarkKind::PromptPart || m_Begun.contains(Mark);
  });
}

bool CrashSuspects::hasNews(Instant Now) const {
  return m_ChangedAt && Now - *m_ChangedAt < NewsLifetime;
}

// A single crash that nothing followed is not worth a reminder.
bool CrashSuspects::roundDue(Instant Now) const {
  return hasNews(Now) ||
         (Now - m_ToldAt >= ReminderInterval &&
          std::any_of(m_Records.begin(), m_Records.end(), [](const auto &Item) {
            return isRepeated(Item.second);
          }));
}

bool CrashSuspects::isRepeated(const MarkRecord &Record) {
  return Record.m_Crashes.size() >= CrashesToIsolate;
}

void CrashSuspects::onChanged(MarkRecord &Record, Instant Now) {
  Record.m_ChangedAt = Now;
  m_ChangedAt = Now;
}

// Tells of the marks that most speaks against, and of the latest changes.
void CrashSuspects::addTo(schema::LimitNotice &Notice, Instant Now) {
  m_ToldAt = Now;
  std::vector<std::tuple<bool, bool, Instant, RequestMark>> Ranked;
  for (const auto &[Mark, Record] : m_Records)
    if (isRepeated(Record) ||
        (Now - Record.m_ChangedAt < NewsLifetime &&
         (Mark.m_Kind == MarkKind::PromptPart || Record.m_Crashes.empty() ||
          saysEnough(Record))))
      Ranked.emplace_back(isRepeated(Record), isAccused(Record),
                          Record.m_ChangedAt, Mark);
  std::sort(Ranked.rbegin(), Ranked.rend());
  std::size_t Bytes = 0;
  for (const auto &[Repeated, Accused, ChangedAt, Mark] : Ranked) {
    schema::CrashMark Told;
    encode(Mark, m_Records.at(Mark), Now, Told);
    Bytes += Told.ByteSizeLong();
    if (Bytes > MaxNoticeBytes)
      return;
    Notice.add_marks()->Swap(&Told);
  }
}

void CrashSuspects::encode(const RequestMark &Mark, const MarkRecord &Record,
                           Instant Now, schema::CrashMark &Told) {
  Told.set_id(Mark.m_Id);
  Told.set_kind(Mark.m_Kind == MarkKind::Request ? schema::REQUEST
                                                 : schema::PROMPT_PART);
  Told.set_seen_age_ms(ageMs(Record.m_SeenAt, Now));
  if (Record.m_BegunAt) {
    Told.set_cleared(true);
    Told.set_cleared_age_ms(ageMs(*Record.m_BegunAt, Now));
  }
  if (Record.m_AnsweredAt) {
    Told.set_answered(true);
    Told.set_answered_age_ms(ageMs(*Record.m_AnsweredAt, Now));
  }
  const auto AddCrashes = [&](const CrashesByName &Listed, bool Disproved) {
    std::size_t Count = 0;
    for (const auto &[Name, Crash] : Listed) {
      if (++Count > MaxCrashesTold)
        break;
      schema::EndpointCrash &Statement = *Told.add_crashes();
      Statement.set_endpoint_start(Name);
      Statement.set_age_ms(ageMs(Crash.m_At, Now));
      Statement.set_sent_age_ms(ageMs(Crash.m_SentAt, Now));
      Statement.set_begun(Crash.m_DuringAnswer);
      Statement.set_others_had_not(Crash.m_DuringAnswer &&
                                   Crash.m_BeforeAnswer);
      Statement.set_alone(Crash.m_Alone);
      Statement.set_disproved(Disproved);
    }
  };
  AddCrashes(Record.m_Crashes, false);
  AddCrashes(Record.m_Disproved, true);
}

// A row that is full lacks some parts of which one is deadly, so that more
// requests are refused.
void CrashSuspects::addBlockedTo(schema::BlockedMarks &Row, Instant Now) const {
  RequestMarks Marks;
  for (std::string &Part : partEvidence().partsThatBlock())
    Marks.push_back({MarkKind::PromptPart, std::move(Part)});
  for (const auto &[Mark, Record] : m_Records)
    if (Mark.m_Kind == MarkKind::Request && isBlockedRequest(Mark, Record))
      Marks.push_back(Mark);
  std::size_t Bytes = 0;
  for (const RequestMark &Mark : Marks) {
    schema::CrashMark Told;
    encode(Mark, m_Records.at(Mark), Now, Told);
    Bytes += Told.ByteSizeLong();
    if (Bytes > MaxRowBytes)
      return;
    Row.add_marks()->Swap(&Told);
  }
}

std::vector<ChangedMark> CrashSuspects::merge(const schema::LimitNotice &Notice,
                                              Instant Now) {
  return mergeMarks(Notice.marks(), Now);
}

std::vector<ChangedMark> CrashSuspects::merge(const schema::BlockedMarks &Row,
                                              Instant Now) {
  return mergeMarks(Row.marks(), Now);
}

std::vector<ChangedMark> CrashSuspects::mergeMarks(const ToldMarks &Statements,
                                                   Instant Now) {
  RequestMarks Marks;
  std::vector<const schema::CrashMark *> Accepted;
  for (const schema::CrashMark &Told : Statements) {
    const RequestMark Mark = decodeMark(Told);
    if (!m_Records.contains(Mark) &&
        Now - before(Now, Told.seen_age_ms()) >= QuietTime - EndMargin)
      continue;
    Marks.push_back(Mark);
    Accepted.push_back(&Told);
  }
  const std::vector<MarkState> Before = statesOf(Marks);
  for (std::size_t I = 0; I < Marks.size(); ++I) {
    const RequestMark &Mark = Marks[I];
    const schema::CrashMark &Told = *Accepted[I];
    MarkRecord &Record = m_Records[Mark];
    for (const schema::EndpointCrash &Statement : Told.crashes()) {
      const CrashRecord Crash{before(Now, Statement.sent_age_ms()),
                              before(Now, Statement.age_ms()),
                              !Statement.begun() || Statement.others_had_not(),
                              Statement.begun(), Statement.alone()};
      const auto Known = Record.m_Crashes.find(Statement.endpoint_start());
      // A router that does not tell the kinds apart disproves the first.
      const bool OtherKind = Known != Record.m_Crashes.end() &&
                             Known->second.m_DuringAnswer &&
                             !Crash.m_DuringAnswer;
      if (Statement.disproved() && OtherKind)
        continue;
      if (Statement.disproved())
        disprove(Record, Statement.endpoint_start(), Crash, Now);
      else
        accuse(Mark, Statement.endpoint_start(), Crash, Now);
    }
    if (Told.cleared())
      onAnswer(Record, Progress::Begun, before(Now, Told.cleared_age_ms()),
               Now);
    if (Told.answered())
      onAnswer(Record, Progress::Answered, before(Now, Told.answered_age_ms()),
               Now);
    Record.m_SeenAt =
        std::max(Record.m_SeenAt, before(Now, Told.seen_age_ms()));
  }
  std::vector<ChangedMark> Changes = changesSince(Marks, Before);
  evict();
  return Changes;
}

// Drops the marks that least speaks against if there are too many, and of those
// the ones that changed first; an eighth at once, so that this is rare.
void CrashSuspects::evict() {
  if (m_Records.size() <= MaxRecords)
    return;
  std::vector<std::tuple<bool, bool, Instant, RequestMark>> Ranked;
  Ranked.reserve(m_Records.size());
  for (const auto &[Mark, Record] : m_Records)
    Ranked.emplace_back(stateOf(Mark).m_Verdict == MarkVerdict::Deadly,
                        isRepeated(Record), Record.m_ChangedAt, Mark);
  const std::size_t Surplus = Ranked.size() - MaxRecords * 7 / 8;
  std::nth_element(Ranked.begin(),
                   Ranked.begin() + static_cast<std::ptrdiff_t>(Surplus),
                   Ranked.end());
  for (std::size_t I = 0; I < Surplus; ++I)
    m_Records.erase(std::get<RequestMark>(Ranked[I]));
  m_PartEvidence.reset();
}

void CrashSuspects::onTick(Instant Now) {
  const std::size_t Dropped = std::erase_if(m_Records, [&](const auto &Item) {
    const MarkRecord &Record = Item.second;
    if (Record.m_Crashes.empty())
      return Now - Record.m_ChangedAt > DisprovedRetention;
    return Now - Record.m_SeenAt > QuietTime;
  });
  if (Dropped > 0)
    m_PartEvidence.reset();
}

Duration CrashSuspects::quietTime() { return QuietTime; }

bool CrashSuspects::blocksAny() const {
  return blocked(MarkKind::PromptPart) > 0 || blocked(MarkKind::Request) > 0;
}

std::size_t CrashSuspects::blocked(MarkKind Kind) const {
  if (Kind == MarkKind::PromptPart)
    return partEvidence().deadlyParts();
  return static_cast<std::size_t>(std::count_if(
      m_Records.begin(), m_Records.end(), [this](const auto &Item) {
        return Item.first.m_Kind == MarkKind::Request &&
               isBlockedRequest(Item.first, Item.second);
      }));
}

} // namespace mimosadale::decide
