// Prompt parts that crash each engine that begins to write an answer on them.
#ifndef MIMOSADALE_DECIDE_CRASH_SUSPECTS_H
#define MIMOSADALE_DECIDE_CRASH_SUSPECTS_H

#include "base/id.h"
#include "base/units.h"
#include "schema/generated/limits.pb.h"

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace mimosadale::decide {

/// What is believed of the prompt parts of a request.
enum class PartVerdict {
  Sound,   // nothing speaks against them
  Suspect, // one may have crashed an engine: sent alone, to find out
  Deadly   // one crashes engines: not sent
};

/// What the record of a part became.
enum class PartChange { Suspected, Blocked, Cleared };

/// A part of which something else is believed now.
struct ChangedPart {
  PromptPartId m_Part;
  PartChange m_Change = PartChange::Suspected;
  std::size_t m_Crashes = 0; // that speak against it
};

/// The crash of an engine while a request had not begun there.
struct EngineCrash {
  EndpointId m_Engine;
  std::uint64_t m_StartedMs = 0; // start of the engine
  Instant m_SentAt{};            // when the request was sent there
  Instant m_CrashedAt{};
};

/// Finds out which prompt part crashes engines, so that its requests are no
/// longer sent, and those that share other parts with them are.
///
/// A part that crashes each engine that begins to write on it never has an
/// answer that goes on. So the crash of an engine speaks against those parts of
/// the requests that had not begun there, until a later answer on the part
/// disproves that. What is left after crashes of different engines at different
/// times is blocked. Routers tell each other which crashes speak against which
/// parts, and which of these are disproved: each sees a few of the crashes at
/// most.
///
/// A blocked part is forgotten once no router was sent a request with it for a
/// long time.
///
/// \par Thread safety
/// None.
class CrashSuspects {
public:
  using Parts = std::vector<PromptPartId>;

  /// A request with \p RequestParts arrived or is about to be sent.
  PartVerdict judge(const Parts &RequestParts, Instant Now);

  /// Takes the turn of a suspect request, which is sent while no other request
  /// with a suspected part of it is. \returns the turn, which lasts as long as
  /// the object does; null if the request has to wait.
  std::shared_ptr<const void> takeTurn(const Parts &RequestParts);

  /// An answer to a request with these parts went on after its beginning.
  std::vector<ChangedPart> onAnswerBegun(const Parts &RequestParts,
                                         Instant Now);

  /// An engine crashed while a request with these parts had not begun there.
  std::vector<ChangedPart> onCrash(const Parts &RequestParts,
                                   const EngineCrash &Crash, Instant Now);

  /// Whether an answer was seen to go on for each of the parts.
  bool allCleared(const Parts &RequestParts) const;

  /// Whether there is something to tell other routers: news at once, and what
  /// is known at long intervals. \pre Called before each round.
  bool hasNews(Instant Now) const;
  bool roundDue(Instant Now) const;

  /// Adds what this router knows to \p Notice.
  void addTo(schema::LimitNotice &Notice, Instant Now);

  /// Merges what another router told at \p Now, or when it was asked.
  std::vector<ChangedPart> merge(const schema::LimitNotice &Notice,
                                 Instant Now);

  /// Forgets what is old.
  void onTick(Instant Now);

  /// Number of blocked parts.
  std::size_t blocked() const;

  /// Time without requests after which a blocked part is forgotten.
  static Duration quietTime();

private:
  struct CrashTimes {
    Instant m_SentAt{};
    Instant m_At{};
  };

  struct Part {
    // Crashes of engines, by engine and start, that speak against it, and those
    // that a later answer disproved: told of again, they stay so.
    std::map<std::string, CrashTimes> m_Crashes;
    std::map<std::string, CrashTimes> m_Disproved;
    std::optional<Instant> m_ClearedAt; // by the last answer known
    Instant m_SeenAt{};               // the last request with it, at any router
    Instant m_ChangedAt{};            // of crashes or clearing
    std::weak_ptr<const void> m_Turn; // of the request that is being sent
  };

  static std::size_t countCrashes(const Part &Record);
  static bool isBlocked(const Part &Record);
  static bool isSuspect(const Part &Record);
  static PartVerdict stateOf(const Part &Record);
  static void disprove(Part &Record, const std::string &Crash, CrashTimes Times,
                       Instant Now);
  static void onAnswer(Part &Record, Instant AnsweredAt, Instant Now);
  void accuse(const PromptPartId &Id, const std::string &Crash,
              CrashTimes Times, Instant Now);
  void addChange(const PromptPartId &Id, PartVerdict Before,
                 std::vector<ChangedPart> &Changes) const;
  PartVerdict stateOf(const PromptPartId &Id) const;
  void rememberCleared(const PromptPartId &Id, Instant At);
  void evict();

  std::map<PromptPartId, Part> m_Parts; // suspected, or cleared lately
  // Parts of answers that began, with the time of the last one.
  std::map<PromptPartId, Instant> m_Cleared;
  Instant m_ToldAt{};
};

} // namespace mimosadale::decide

#endif
