#include "decide/part_evidence.h"

#include <algorithm>
#include <utility>

namespace mimosadale::decide {

namespace {

// Separate crashes, before an answer with the part had begun, after which a
// request is deadly that holds all parts which explain one of them. Each takes
// a chain out of service; a single one may have another cause.
constexpr std::size_t CrashesToBlock = 2;

// Separate crashes of any kind that are enough otherwise: each may also be due
// to a part that the request lacks, and ordinary ones meet many answers that
// have begun.
constexpr std::size_t CrashesToBlockUnproven = 4;

// Endpoints lost after which nothing more is tried out. Those that are lost at
// once count here, but not above.
constexpr std::size_t CrashesToStopTrials = 5;

// Separate crashes for a part that an answer had cleared before: it was sound,
// so that it takes more to tell it from others that were there.
constexpr std::size_t CrashesToBlockCleared = 5;

bool wasAlone(const AccusedPart &Part) {
  return std::any_of(Part.m_Crashes.begin(), Part.m_Crashes.end(),
                     [](const auto &Item) { return Item.second.m_Alone; });
}

} // namespace

PartEvidence::PartEvidence(const std::vector<AccusedPart> &Parts) {
  std::map<std::pair<CrashWeight, std::vector<std::string>>, std::size_t> Known;
  std::map<std::string, std::vector<std::size_t>> AtCrash;
  for (const AccusedPart &Part : Parts) {
    std::vector<std::string> Names;
    Names.reserve(Part.m_Crashes.size());
    for (const auto &[Name, Crash] : Part.m_Crashes)
      Names.push_back(Name);
    const auto [Found, IsNew] = Known.try_emplace(
        std::pair(Part.m_Weight, std::move(Names)), m_Groups.size());
    if (IsNew) {
      Group New;
      New.m_Crashes = Found->first.second;
      New.m_Weight = Part.m_Weight;
      New.m_Separate = Part.m_Separate;
      for (const std::string &Name : New.m_Crashes)
        AtCrash[Name].push_back(m_Groups.size());
      m_Groups.push_back(std::move(New));
    }
    Group &Of = m_Groups[Found->second];
    ++Of.m_Size;
    Of.m_Alone |= wasAlone(Part);
    m_GroupOf[Part.m_Id] = Found->second;
  }
  for (Group &Of : m_Groups)
    addRelations(Of, AtCrash);
  for (Group &Of : m_Groups) {
    PartCounts Held;
    for (const std::size_t Rival : Of.m_Rivals)
      Held[Rival] = m_Groups[Rival].m_Size;
    Of.m_Deadly = provesDeadly(Of, Held);
  }
}

// What crashes say less against is no explanation for those of what they say
// more against.
void PartEvidence::addRelations(
    Group &Of, const std::map<std::string, std::vector<std::size_t>> &AtCrash) {
  for (const std::string &Name : Of.m_Crashes) {
    std::vector<std::size_t> Beside;
    for (const std::size_t Other : AtCrash.at(Name))
      if (m_Groups[Other].m_Weight <= Of.m_Weight)
        Beside.push_back(Other);
    Of.m_AtCrash.push_back(std::move(Beside));
  }
  for (const std::size_t Other : Of.m_AtCrash.front())
    if (std::includes(m_Groups[Other].m_Crashes.begin(),
                      m_Groups[Other].m_Crashes.end(), Of.m_Crashes.begin(),
                      Of.m_Crashes.end()))
      Of.m_Rivals.push_back(Other);
}

bool PartEvidence::holdsAll(const PartCounts &Held,
                            const std::vector<std::size_t> &Groups) const {
  return std::all_of(Groups.begin(), Groups.end(), [&](std::size_t Index) {
    const auto Found = Held.find(Index);
    return Found != Held.end() && Found->second == m_Groups[Index].m_Size;
  });
}

// Whether a request that holds \p Held holds what crashed endpoints under the
// parts of \p Accused.
bool PartEvidence::provesDeadly(const Group &Accused,
                                const PartCounts &Held) const {
  if (!holdsAll(Held, Accused.m_Rivals))
    return false;
  if (Accused.m_Separate < CrashesToBlock)
    return false;
  if (Accused.m_Weight == CrashWeight::Cleared)
    return Accused.m_Separate >= CrashesToBlockCleared;
  return Accused.m_Separate >= CrashesToBlockUnproven ||
         Accused.m_Crashes.size() >= CrashesToStopTrials ||
         (Accused.m_Weight == CrashWeight::BeforeAnswers &&
          (Accused.m_Alone ||
           std::any_of(Accused.m_AtCrash.begin(), Accused.m_AtCrash.end(),
                       [&](const std::vector<std::size_t> &Groups) {
                         return holdsAll(Held, Groups);
                       })));
}

std::optional<RequestMark>
PartEvidence::findDeadly(const RequestMarks &Marks) const {
  if (m_Groups.empty())
    return std::nullopt;
  PartCounts Held;
  std::vector<std::pair<const RequestMark *, std::size_t>> Accused;
  for (const RequestMark &Mark : Marks) {
    if (Mark.m_Kind != MarkKind::PromptPart)
      continue;
    const auto Found = m_GroupOf.find(Mark.m_Id);
    if (Found != m_GroupOf.end() && ++Held[Found->second] == 1)
      Accused.emplace_back(&Mark, Found->second);
  }
  for (const auto &[Mark, Index] : Accused)
    if (provesDeadly(m_Groups[Index], Held))
      return *Mark;
  return std::nullopt;
}

bool PartEvidence::isDeadly(const std::string &Part) const {
  const auto Found = m_GroupOf.find(Part);
  return Found != m_GroupOf.end() && m_Groups[Found->second].m_Deadly;
}

std::size_t PartEvidence::deadlyTogether(const std::string &Part) const {
  if (!isDeadly(Part))
    return 0;
  std::size_t Count = 0;
  for (const std::size_t Rival : m_Groups[m_GroupOf.at(Part)].m_Rivals)
    Count += m_Groups[Rival].m_Size;
  return Count;
}

std::size_t PartEvidence::deadlyParts() const {
  std::size_t Count = 0;
  for (const Group &Of : m_Groups)
    Count += Of.m_Deadly ? Of.m_Size : 0;
  return Count;
}

std::vector<std::string> PartEvidence::partsThatBlock() const {
  std::vector<bool> Blocks(m_Groups.size());
  for (const Group &Of : m_Groups)
    for (const std::size_t Rival : Of.m_Rivals)
      Blocks[Rival] = Blocks[Rival] || Of.m_Deadly;
  std::vector<std::string> Parts;
  for (const auto &[Part, Index] : m_GroupOf)
    if (Blocks[Index])
      Parts.push_back(Part);
  return Parts;
}

} // namespace mimosadale::decide
