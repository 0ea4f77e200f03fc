// Splits a server-sent event stream at event boundaries.
#ifndef MIMOSADALE_FORWARD_EVENT_SPLITTER_H
#define MIMOSADALE_FORWARD_EVENT_SPLITTER_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace mimosadale::forward {

/// Holds back the incomplete event at the end of a stream, so that a stream
/// that breaks inside an event can resume at another endpoint after the last
/// complete one.
/// Source of the framing: HTML Living Standard, section 9.2.5.
///
/// \par Thread safety
/// None.
class EventSplitter {
public:
  /// The buffer that received bytes are appended to. \pre None.
  std::string &buffer() { return m_Bytes; }

  /// Removes and returns all complete events; empty if there are none.
  /// \pre None.
  std::string takeComplete();

  /// Drops the incomplete event, before the stream resumes at another endpoint.
  void discardPartial() { m_Bytes.clear(); }

  /// Removes and returns the bytes after the last complete event. \pre None.
  std::string takeRemainder() { return std::exchange(m_Bytes, {}); }

  /// The id of the last complete event that carried one; empty if none did.
  const std::string &lastId() const { return m_LastId; }

  /// The last events taken are not delivered: the stream goes on after \p Id.
  /// \pre None.
  void restoreLastId(std::string Id) { m_LastId = std::move(Id); }

  /// Whether \p Events, the next ones of a stream that another endpoint resumed
  /// after the event \p LastId, continue it: each one with data has an id, and
  /// ids rise. Ids that are no numbers cannot be compared and are taken as they
  /// are. \pre \p Events consists of complete events.
  static bool continueAfter(std::string_view Events, std::string_view LastId);

private:
  void updateLastId(std::string_view Events);

  std::string m_Bytes;
  std::string m_LastId;
};

} // namespace mimosadale::forward

#endif
