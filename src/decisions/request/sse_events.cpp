#include "decisions/request/sse_events.h"

#include <utility>

namespace ebonyvale {
namespace {

/// Returns the end of the line that begins at \p From, without its line end,
/// and sets \p Next to the beginning of the next line. A line ends with CR, LF
/// or CR LF. Returns npos if it has not ended.
std::size_t lineEnd(std::string_view Text, std::size_t From,
                    std::size_t &Next) {
  const std::size_t End = Text.find_first_of("\r\n", From);
  if (End != std::string_view::npos)
    Next = End + (Text.substr(End).starts_with("\r\n") ? 2 : 1);
  return End;
}

std::string_view fieldValue(std::string_view Line, std::size_t Colon) {
  std::string_view Value = Line.substr(Colon + 1);
  if (Value.starts_with(' '))
    Value.remove_prefix(1);
  return Value;
}

/// Parses the fields of one event. Engines send the data of an event in one
/// line, so several `data` fields are not joined; the last one is used.
sse_event readEvent(std::string_view Text) {
  sse_event Event;
  while (!Text.empty()) {
    std::size_t Next = Text.size();
    const std::string_view Line = Text.substr(0, lineEnd(Text, 0, Next));
    Text.remove_prefix(Next);
    const std::size_t Colon = Line.find(':');
    if (Colon == std::string_view::npos) {
      // A field without a colon has an empty value.
      if (Line == "id")
        Event.Id = {};
      Event.HasData = Event.HasData || Line == "data";
      continue;
    }
    const std::string_view Name = Line.substr(0, Colon);
    if (Name == "id")
      Event.Id = fieldValue(Line, Colon);
    else if (Name == "data")
      Event.Data = fieldValue(Line, Colon);
    Event.HasData = Event.HasData || Name == "data";
  }
  return Event;
}

/// Returns the length of the first event including its blank line, or npos if
/// it is incomplete.
std::size_t eventLength(std::string_view Text) {
  std::size_t From = 0;
  while (true) {
    std::size_t Next = From;
    const std::size_t End = lineEnd(Text, From, Next);
    if (End == std::string_view::npos)
      return End;
    if (End == From)
      return Next;
    From = Next;
  }
}

} // namespace

std::vector<sse_event> sse_splitter::feed(std::string_view Bytes) {
  std::vector<sse_event> Events = feedAll(Bytes);
  std::erase_if(Events, [](const sse_event &Event) {
    return Event.Data.empty() && Event.Id.empty();
  });
  return Events;
}

std::vector<sse_event> sse_splitter::feedAll(std::string_view Bytes) {
  std::vector<sse_event> Events;
  if (Overflowed)
    return Events;
  Buffer.erase(0, Consumed);
  Consumed = 0;
  Buffer += Bytes;
  while (Consumed < Buffer.size()) {
    const std::string_view Rest = std::string_view(Buffer).substr(Consumed);
    const std::size_t Begin = lineFeedLength();
    std::size_t Length = eventLength(Rest.substr(Begin));
    if (Length == std::string_view::npos)
      break;
    Length += Begin;
    sse_event Event = readEvent(Rest.substr(Begin, Length - Begin));
    Event.Raw = Rest.substr(0, Length);
    EndedWithReturn = Event.Raw.ends_with('\r');
    Events.push_back(Event);
    Consumed += Length;
  }
  if (Buffer.size() - Consumed <= MaxEventBytes)
    return Events;
  Overflowed = true;
  Buffer.clear();
  Consumed = 0;
  return {};
}

void event_boundary_tracker::feed(std::string_view Bytes) {
  for (const char Byte : Bytes) {
    const bool WasReturn = std::exchange(LastWasReturn, Byte == '\r');
    if (Byte == '\n' && WasReturn)
      continue;
    if (Byte == '\n' || Byte == '\r') {
      if (Position == line_position::Start)
        SawEvent = std::exchange(HasOpenEvent, false) || SawEvent;
      Position = line_position::Start;
    } else if (Position == line_position::Start) {
      Position = Byte == ':' ? line_position::Comment : line_position::Field;
      HasOpenEvent = HasOpenEvent || Position == line_position::Field;
    }
  }
}

} // namespace ebonyvale
