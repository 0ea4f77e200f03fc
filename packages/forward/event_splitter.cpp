#include "forward/event_splitter.h"

namespace mimosadale::forward {

namespace {

constexpr std::string_view EventEnd = "\n\n";
constexpr std::string_view EventEndCr = "\r\n\r\n";
constexpr std::string_view IdField = "id:";

// Past the blank lines at \p At, where an event ended or none began: they are
// empty events, however the bytes came.
std::size_t skipBlankLines(std::string_view In, std::size_t At) {
  while (true) {
    if (In.substr(At).starts_with('\n'))
      At += 1;
    else if (In.substr(At).starts_with("\r\n"))
      At += 2;
    else
      return At;
  }
}

} // namespace

std::string EventSplitter::takeWhole() {
  std::size_t End = m_Bytes.rfind(EventEnd);
  End = End == std::string::npos ? 0 : End + EventEnd.size();
  if (const std::size_t Cr = m_Bytes.rfind(EventEndCr); Cr != std::string::npos)
    End = std::max(End, Cr + EventEndCr.size());
  End = skipBlankLines(m_Bytes, End);
  if (End == 0)
    return "";
  std::string Whole = m_Bytes.substr(0, End);
  m_Bytes.erase(0, End);
  noteLastId(Whole);
  return Whole;
}

void EventSplitter::noteLastId(std::string_view Events) {
  std::size_t At = Events.rfind(IdField);
  while (At != std::string_view::npos && At > 0 && Events[At - 1] != '\n')
    At = Events.rfind(IdField, At - 1);
  if (At == std::string_view::npos)
    return;
  std::string_view Value = Events.substr(At + IdField.size());
  Value = Value.substr(0, Value.find_first_of("\r\n"));
  if (Value.starts_with(' '))
    Value.remove_prefix(1);
  m_LastId = std::string(Value);
}

} // namespace mimosadale::forward
