#include "forward/event_splitter.h"

namespace mimosadale::forward {

namespace {

constexpr std::string_view EventEnd = "\n\n";
constexpr std::string_view EventEndCr = "\r\n\r\n";
constexpr std::string_view IdField = "id:";

// Returns the position after the blank lines at \p Pos, where an event ends or
// none has begun. Blank lines count as empty events, however the bytes are
// split into reads.
std::size_t skipBlankLines(std::string_view Bytes, std::size_t Pos) {
  while (true) {
    if (Bytes.substr(Pos).starts_with('\n'))
      Pos += 1;
    else if (Bytes.substr(Pos).starts_with("\r\n"))
      Pos += 2;
    else
      return Pos;
  }
}

} // namespace

std::string EventSplitter::takeComplete() {
  std::size_t End = m_Bytes.rfind(EventEnd);
  End = End == std::string::npos ? 0 : End + EventEnd.size();
  if (const std::size_t Cr = m_Bytes.rfind(EventEndCr); Cr != std::string::npos)
    End = std::max(End, Cr + EventEndCr.size());
  End = skipBlankLines(m_Bytes, End);
  if (End == 0)
    return "";
  std::string Complete = m_Bytes.substr(0, End);
  m_Bytes.erase(0, End);
  updateLastId(Complete);
  return Complete;
}

void EventSplitter::updateLastId(std::string_view Events) {
  std::size_t Pos = Events.rfind(IdField);
  while (Pos != std::string_view::npos && Pos > 0 && Events[Pos - 1] != '\n')
    Pos = Events.rfind(IdField, Pos - 1);
  if (Pos == std::string_view::npos)
    return;
  std::string_view Value = Events.substr(Pos + IdField.size());
  Value = Value.substr(0, Value.find_first_of("\r\n"));
  if (Value.starts_with(' '))
    Value.remove_prefix(1);
  m_LastId = std::string(Value);
}

} // namespace mimosadale::forward
