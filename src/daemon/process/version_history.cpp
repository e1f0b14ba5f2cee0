#include "daemon/process/version_history.h"

#include "daemon/process/logging.h"
#include "decisions/version/release_note.h"

namespace ebonyvale {
namespace {

/// Notes kept for peers; one that is further behind gets a snapshot.
constexpr std::size_t MaxNotes = 256;

} // namespace

std::uint64_t version_history::version() const {
  return Core.inForce() ? Core.inForce()->Version : 0;
}

bool version_history::absorb(std::uint64_t Version, std::string_view NoteText) {
  if (Version != version() + 1)
    return false;
  const configuration_ptr Base = Core.inForce();
  result<configuration> Next =
      applyNote(Base ? *Base : configuration{}, NoteText);
  if (!Next) {
    logFor(log_category::Configuration)
        .error("the note for version {} cannot be applied: {}", Version,
               Next.error().Detail);
    return false;
  }
  Notes.push_back({Version, std::string(NoteText)});
  if (Notes.size() > MaxNotes)
    Notes.pop_front();
  Core.setConfiguration(std::make_shared<configuration>(std::move(*Next)),
                        readClock());
  return true;
}

void version_history::adopt(configuration Value) {
  if (Value.Version <= version())
    return;
  Notes.clear();
  Core.setConfiguration(std::make_shared<configuration>(std::move(Value)),
                        readClock());
}

std::string version_history::versionsSince(std::uint64_t Version) {
  version_bundle Bundle;
  if (Version < version()) {
    const bool Covered = !Notes.empty() && Notes.front().Version <= Version + 1;
    if (!Covered)
      Bundle.Snapshot = writeSnapshot(*Core.inForce());
    else
      for (const version_bundle::note &Note : Notes)
        if (Note.Version > Version)
          Bundle.Notes.push_back(Note);
  }
  return encode(Bundle);
}

void version_history::onVersions(std::string_view Bytes) {
  const auto Bundle = decodeVersions(Bytes);
  if (!Bundle) {
    logFor(log_category::Peer)
        .warn("a peer's versions were refused: {}", Bundle.error().Detail);
    return;
  }
  if (!Bundle->Snapshot.empty()) {
    auto Value = readSnapshot(Bundle->Snapshot);
    if (Value)
      adopt(std::move(*Value));
    else
      logFor(log_category::Peer)
          .warn("a peer's snapshot was refused: {}", Value.error().Detail);
  }
  for (const version_bundle::note &Note : Bundle->Notes)
    absorb(Note.Version, Note.Text);
}

} // namespace ebonyvale
