// Cuts a stream of events at their ends.
#ifndef MIMOSADALE_FORWARD_EVENT_SPLITTER_H
#define MIMOSADALE_FORWARD_EVENT_SPLITTER_H

#include <string>
#include <string_view>
#include <utility>

namespace mimosadale::forward {

/// Holds back the incomplete end of an event stream, so that a stream which
/// breaks off inside an event can go on elsewhere after the last whole one.
/// Source of the framing: HTML Living Standard, section 9.2.5.
///
/// \par Thread safety
/// None.
class EventSplitter {
public:
  /// Adds bytes as they came. \pre None.
  std::string &buffer() { return m_Bytes; }

  /// Takes out all whole events; empty when there is none. \pre None.
  std::string takeComplete();

  /// Drops the incomplete event, before the stream goes on elsewhere.
  void discardPartial() { m_Bytes.clear(); }

  /// What is left without an end. \pre None.
  std::string takeRemainder() { return std::exchange(m_Bytes, {}); }

  /// The id of the last whole event taken; empty when none had one.
  const std::string &lastId() const { return m_LastId; }

private:
  void updateLastId(std::string_view Events);

  std::string m_Bytes;
  std::string m_LastId;
};

} // namespace mimosadale::forward

#endif
