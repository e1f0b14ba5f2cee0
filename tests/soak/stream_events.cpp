#include "soak/stream_events.h"

#include "platform/fake_upstream.h"

#include <algorithm>

namespace ebonyvale {
namespace {

constexpr std::string_view End = "\n\n";
constexpr std::string_view Of = " of ";

/// Adds \p Writer, a process with its version or either of them.
void addWriter(stream_events &Read, std::string_view Writer) {
  const std::size_t At = Writer.find(fake_upstream::WriterSeparator);
  Read.Writers.emplace(Writer.substr(0, At));
  if (At != std::string_view::npos)
    Read.Software.emplace(Writer.substr(At + 1));
}

} // namespace

stream_events readEvents(std::string_view Body, int After) {
  stream_events Read;
  Read.Last = After;
  while (!Body.empty()) {
    const std::string Plain = fake_upstream::events(Read.Last, Read.Last + 1);
    const std::string_view Begin =
        std::string_view(Plain).substr(0, Plain.size() - End.size());
    const std::size_t Length = Body.find(End);
    const std::string_view Event = Body.substr(0, Length);
    Read.EndsWhole = Length != std::string_view::npos;
    const std::string_view Rest =
        Event.substr(std::min(Begin.size(), Event.size()));
    Read.InOrder =
        Read.Last < fake_upstream::Events &&
        (Event.starts_with(Begin) ||
         (!Read.EndsWhole && Begin.starts_with(Event))) &&
        (Rest.empty() || Rest.starts_with(Of) ||
         (!Read.EndsWhole && (Of.starts_with(Rest) || Rest == End.substr(1))));
    // A line break within the event belongs to another event.
    const std::size_t Break = Rest.find('\n');
    if (Break != std::string_view::npos &&
        (Read.EndsWhole || Break + 1 != Rest.size()))
      Read.InOrder = false;
    if (!Read.InOrder || !Read.EndsWhole)
      return Read;
    ++Read.Last;
    if (!Rest.empty())
      addWriter(Read, Rest.substr(Of.size()));
    Body.remove_prefix(Length + End.size());
  }
  return Read;
}

} // namespace ebonyvale
