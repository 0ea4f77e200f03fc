// Splits a server-sent event stream at event boundaries.
#ifndef MIMOSADALE_FORWARD_EVENT_SPLITTER_H
#define MIMOSADALE_FORWARD_EVENT_SPLITTER_H

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

private:
  void updateLastId(std::string_view Events);

  std::string m_Bytes;
  std::string m_LastId;
};

} // namespace mimosadale::forward

#endif
