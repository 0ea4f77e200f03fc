// Marks of requests that crash each endpoint that begins to run them.
#ifndef MIMOSADALE_DECIDE_CRASH_SUSPECTS_H
#define MIMOSADALE_DECIDE_CRASH_SUSPECTS_H

#include "base/id.h"
#include "base/units.h"
#include "decide/crash_record.h"
#include "decide/part_evidence.h"
#include "decide/request_mark.h"
#include "schema/generated/limits.pb.h"

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace mimosadale::decide {

/// What is believed of the marks of a request.
enum class MarkVerdict {
  Sound,   // nothing speaks against them
  Suspect, // one may crash endpoints: sent alone, to find out
  Deadly   // one crashes endpoints: not sent
};

/// What the record of a mark became.
enum class MarkChange { Suspected, Blocked, Cleared };

/// A mark of which something else is believed now.
struct ChangedMark {
  RequestMark m_Mark;
  MarkChange m_Change = MarkChange::Suspected;
  std::size_t m_Crashes = 0; // that speak against it
  // Parts of which one is deadly, this one included, if it is blocked: only a
  // request with all of them is.
  std::size_t m_Together = 1;
  bool m_WasBlocked = false;
};

/// The crash of an endpoint that had not answered a request yet.
struct EndpointCrash {
  EndpointId m_Endpoint;
  std::uint64_t m_StartedMs = 0; // start of the endpoint
  Instant m_SentAt{};            // when the request was sent there
  Instant m_CrashedAt{};
  bool m_Begun =
      false; // the request's answer had gone on after its first event
};

/// Finds out which requests crash endpoints, by their marks, so that these are
/// no longer sent, and those that share other marks with them are.
///
/// A request that crashes each endpoint that begins to run it may have some
/// events, but no answer that ends or lasts. So the crash of an endpoint speaks
/// against the marks of the requests there that it had not answered yet, until
/// an answer disproves that: one that begins, if none had begun at the crash;
/// one that ends or lasts, in any case. What is left after crashes of different
/// endpoints at different times is blocked: prompt parts after few, as far as a
/// request has all of those that explain the crashes (`PartEvidence`), a
/// request itself after more. Routers tell each other which crashes speak
/// against which marks, and which of these are disproved: each sees a few of
/// the crashes at most.
///
/// A blocked mark is forgotten once no router was sent a request with it for a
/// long time.
///
/// \par Thread safety
/// None.
class CrashSuspects {
public:
  /// A request with \p Marks arrived or is about to be sent. \pre No mark is
  /// listed twice, here and below.
  MarkVerdict judge(const RequestMarks &Marks, Instant Now);

  /// The mark, of \p Marks, for which a request with all of them is blocked, if
  /// any.
  std::optional<RequestMark> blockedMark(const RequestMarks &Marks) const;

  /// Takes the turn of a suspect request, which is sent while no other request
  /// with a suspected part of it is, and while no other suspect request is if
  /// the request itself is suspected: a crash then accuses only one. \returns
  /// the turn, which lasts as long as the object does; null if the request has
  /// to wait.
  std::shared_ptr<const void> takeTurn(const RequestMarks &Marks, Instant Now);

  /// An answer to a request with these marks went on after its first event.
  std::vector<ChangedMark> onAnswerBegun(const RequestMarks &Marks,
                                         Instant Now);

  /// An endpoint has answered a request with these marks: the answer ended, or
  /// has gone on for `lastingTime()` after its first event.
  std::vector<ChangedMark> onAnswered(const RequestMarks &Marks, Instant Now);
  static Duration lastingTime();

  /// An endpoint crashed that had not answered a request with these marks yet.
  std::vector<ChangedMark> onCrash(const RequestMarks &Marks,
                                   const EndpointCrash &Crash, Instant Now);

  /// Whether an answer was seen to begin on each of the prompt parts.
  bool partsCleared(const RequestMarks &Marks) const;

  /// Whether there is something to tell other routers: news at once, and what
  /// is known at long intervals. \pre Called before each round.
  bool hasNews(Instant Now) const;
  bool roundDue(Instant Now) const;

  /// Adds what this router knows to \p Notice.
  void addTo(schema::LimitNotice &Notice, Instant Now);

  /// Merges what another router told at \p Now, or when it was asked.
  std::vector<ChangedMark> merge(const schema::LimitNotice &Notice,
                                 Instant Now);

  /// Merges what a row of the store says. \pre Its ages are of now.
  std::vector<ChangedMark> merge(const schema::BlockedMarks &Row, Instant Now);

  /// Adds the marks that block requests to \p Row, which is to outlast all
  /// routers.
  void addBlockedTo(schema::BlockedMarks &Row, Instant Now) const;

  /// Forgets what is old.
  void onTick(Instant Now);

  /// Number of blocked marks of one kind.
  std::size_t blocked(MarkKind Kind) const;
  bool blocksAny() const;

  /// Time without requests after which a blocked mark is forgotten.
  static Duration quietTime();

private:
  struct MarkRecord {
    // Crashes that speak against it, and those that a later answer disproved:
    // told of again, they stay so.
    CrashesByName m_Crashes;
    CrashesByName m_Disproved;
    // The last answers known: one that began, one that ended or lasted.
    std::optional<Instant> m_BegunAt;
    std::optional<Instant> m_AnsweredAt;
    Instant m_SeenAt{};               // the last request with it, at any router
    Instant m_ChangedAt{};            // of crashes or clearing
    std::weak_ptr<const void> m_Turn; // of the request that is being sent
  };

  // What a change of is told to other routers and logged.
  struct MarkState {
    MarkVerdict m_Verdict = MarkVerdict::Sound;
    std::size_t m_Crashes = 0;
    std::size_t m_Together = 1;
    auto operator<=>(const MarkState &) const = default;
  };

  static CrashWeight weightOf(const MarkRecord &Record);
  static CrashesByName weightyCrashes(const MarkRecord &Record);
  static bool isAccused(const MarkRecord &Record);
  static bool saysEnough(const MarkRecord &Record);
  bool hasOwnCrashes(const RequestMark &Mark, const MarkRecord &Record,
                     std::size_t Needed) const;
  bool isSettling(const RequestMark &Mark, const MarkRecord &Record,
                  Instant Now) const;
  bool isBlockedRequest(const RequestMark &Mark,
                        const MarkRecord &Record) const;
  const PartEvidence &partEvidence() const;
  static bool isSuspect(const MarkRecord &Record, MarkKind Kind);
  static bool isRepeated(const MarkRecord &Record);
  void onChanged(MarkRecord &Record, Instant Now);
  void disprove(MarkRecord &Record, const std::string &Name,
                const CrashRecord &Crash, Instant Now);
  enum class Progress { Begun, Answered };
  std::vector<ChangedMark> onProgress(const RequestMarks &Marks,
                                      Progress Reached, Instant Now);
  void onAnswer(MarkRecord &Record, Progress Reached, Instant At, Instant Now);
  void accuse(const RequestMark &Mark, const std::string &Name,
              const CrashRecord &Crash, Instant Now);
  MarkState stateOf(const RequestMark &Mark) const;
  static void encode(const RequestMark &Mark, const MarkRecord &Record,
                     Instant Now, schema::CrashMark &Told);
  std::vector<MarkState> statesOf(const RequestMarks &Marks) const;
  std::vector<ChangedMark>
  changesSince(const RequestMarks &Marks,
               const std::vector<MarkState> &Before) const;
  using ToldMarks = google::protobuf::RepeatedPtrField<schema::CrashMark>;
  std::vector<ChangedMark> mergeMarks(const ToldMarks &Told, Instant Now);
  using AnswerTimes = std::map<RequestMark, Instant>;
  static void remember(AnswerTimes &Answers, const RequestMark &Mark,
                       Instant At);
  void evict();

  std::map<RequestMark, MarkRecord> m_Records; // suspected, or cleared lately
  // Marks of answers that began, and of those that ended or lasted, with the
  // time of the last one.
  AnswerTimes m_Begun;
  AnswerTimes m_Answered;
  // What the records of parts prove; made anew when they have changed.
  mutable std::optional<PartEvidence> m_PartEvidence;
  std::weak_ptr<const void> m_RequestTurn; // of the suspected request sent
  std::optional<Instant> m_ChangedAt;      // the last change of any record
  Instant m_ToldAt{};
};

} // namespace mimosadale::decide

#endif
