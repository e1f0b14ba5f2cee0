#include "daemon/process/version_history.h"

#include "daemon/process/logging.h"
#include "decisions/version/release_note.h"

namespace ebonyvale {
namespace {

/// Number of notes kept for peers. A peer that lags further behind receives a
/// snapshot.
constexpr std::size_t MaxNotes = 256;

} // namespace

std::uint64_t version_history::version() const {
  return Core.currentConfig() ? Core.currentConfig()->Version : 0;
}

bool version_history::applyVersion(std::uint64_t Version,
                                   std::string_view NoteText) {
  if (Version != version() + 1)
    return false;
  const configuration_ptr Base = Core.currentConfig();
  result<configuration> Next =
      applyNote(Base ? *Base : configuration{}, NoteText);
  if (!Next) {
    logFor(log_category::Configuration)
        .error("cannot apply the note for version {}: {}", Version,
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

void version_history::installSnapshot(configuration Value) {
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
      Bundle.Snapshot = writeSnapshot(*Core.currentConfig());
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
        .warn("ignored invalid versions from a peer: {}",
              Bundle.error().Detail);
    return;
  }
  if (!Bundle->Snapshot.empty()) {
    auto Value = readSnapshot(Bundle->Snapshot);
    if (Value)
      installSnapshot(std::move(*Value));
    else
      logFor(log_category::Peer)
          .warn("ignored an invalid snapshot from a peer: {}",
                Value.error().Detail);
  }
  for (const version_bundle::note &Note : Bundle->Notes)
    applyVersion(Note.Version, Note.Text);
}

} // namespace ebonyvale
