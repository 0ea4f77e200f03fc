// What the crashes of endpoints prove about prompt parts.
#ifndef MIMOSADALE_DECIDE_PART_EVIDENCE_H
#define MIMOSADALE_DECIDE_PART_EVIDENCE_H

#include "decide/crash_record.h"
#include "decide/request_mark.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace mimosadale::decide {

/// How much the crashes at which a mark was say against it, most first.
enum class CrashWeight {
  BeforeAnswers, // no answer with it has ever begun
  DuringAnswers, // answers begin, but none has ended or lasted
  Cleared        // it was sound before
};

/// A prompt part against which crashes speak.
struct AccusedPart {
  std::string m_Id;
  CrashesByName m_Crashes;    // not empty
  std::size_t m_Separate = 0; // crashes of the weight below
  CrashWeight m_Weight = CrashWeight::BeforeAnswers;
};

/// Tells which requests hold a part that crashes endpoints.
///
/// A crash proves that some part is deadly of those that were there, not which
/// one. Parts that were at all crashes of another one, and against which these
/// say as much, explain them as well: its rivals. So a request is deadly if it
/// holds a part with enough crashes and all rivals of that part. One that lacks
/// a rival may be sound.
///
/// \par Thread safety
/// Immutable; safe from any thread.
class PartEvidence {
public:
  /// \pre Each part is listed once.
  explicit PartEvidence(const std::vector<AccusedPart> &Parts);

  /// The part, of those in \p Marks, that makes the request deadly, if any.
  /// \pre No mark is listed twice.
  std::optional<RequestMark> findDeadly(const RequestMarks &Marks) const;

  /// Whether a request with \p Part and its rivals is deadly.
  bool isDeadly(const std::string &Part) const;

  /// The number of parts that \p Part is deadly together with, itself included;
  /// 0 if it is not.
  std::size_t deadlyTogether(const std::string &Part) const;

  /// The number of parts for which `isDeadly` holds.
  std::size_t deadlyParts() const;

  /// The parts for which `isDeadly` holds and their rivals, in order.
  std::vector<std::string> partsThatBlock() const;

private:
  // Parts with the same crashes. Groups are named by their index.
  struct Group {
    std::vector<std::string> m_Crashes; // names, in order
    CrashWeight m_Weight = CrashWeight::BeforeAnswers;
    std::size_t m_Size = 0;
    std::size_t m_Separate = 0;        // crashes of that weight
    bool m_Alone = false;              // one of the parts was, at a crash
    std::vector<std::size_t> m_Rivals; // itself included
    // The groups that each of its crashes speaks against.
    std::vector<std::vector<std::size_t>> m_AtCrash;
    bool m_Deadly = false; // for requests with its rivals alone
  };
  using PartCounts = std::map<std::size_t, std::size_t>; // by group

  void
  addRelations(Group &Of,
               const std::map<std::string, std::vector<std::size_t>> &AtCrash);
  bool holdsAll(const PartCounts &Held,
                const std::vector<std::size_t> &Groups) const;
  bool provesDeadly(const Group &Accused, const PartCounts &Held) const;

  std::vector<Group> m_Groups;
  std::map<std::string, std::size_t> m_GroupOf; // by part
};

} // namespace mimosadale::decide

#endif
