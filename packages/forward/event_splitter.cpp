#include "forward/event_splitter.h"

#include <algorithm>
#include <charconv>

namespace mimosadale::forward {

namespace {

constexpr std::string_view EventEnd = "\n\n";
constexpr std::string_view EventEndCr = "\r\n\r\n";
constexpr std::string_view IdField = "id:";
constexpr std::string_view DataField = "data:";

// The value of the field in \p Line, without the one space that may precede it.
std::string_view fieldValue(std::string_view Line) {
  Line.remove_prefix(Line.find(':') + 1);
  if (Line.starts_with(' '))
    Line.remove_prefix(1);
  return Line;
}

std::optional<std::uint64_t> parseNumber(std::string_view Text) {
  std::uint64_t Number = 0;
  const auto Parsed =
      std::from_chars(Text.data(), Text.data() + Text.size(), Number);
  if (Parsed.ec != std::errc() || Parsed.ptr != Text.data() + Text.size())
    return std::nullopt;
  return Number;
}

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

bool EventSplitter::continueAfter(std::string_view Events,
                                  std::string_view LastId) {
  std::optional<std::uint64_t> Last = parseNumber(LastId);
  std::optional<std::string_view> Id;
  bool HasData = false;
  while (Last && !Events.empty()) {
    std::string_view Line = Events.substr(0, Events.find('\n'));
    Events.remove_prefix(std::min(Events.size(), Line.size() + 1));
    if (Line.ends_with('\r'))
      Line.remove_suffix(1);
    if (Line.starts_with(IdField))
      Id = fieldValue(Line);
    HasData |= Line.starts_with(DataField);
    if (!Line.empty())
      continue;
    if (HasData && !Id)
      return false;
    if (Id) {
      const auto Next = parseNumber(*Id);
      if (Next && *Next <= *Last)
        return false;
      Last = Next;
    }
    Id.reset();
    HasData = false;
  }
  return true;
}

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
  const std::string_view Line = Events.substr(Pos);
  m_LastId =
      std::string(fieldValue(Line.substr(0, Line.find_first_of("\r\n"))));
}

} // namespace mimosadale::forward
