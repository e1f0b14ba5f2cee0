/// \file
/// Release notes: the unit in which operators change the configuration.
#ifndef EBONYVALE_DECISIONS_VERSION_RELEASE_NOTE_H
#define EBONYVALE_DECISIONS_VERSION_RELEASE_NOTE_H

#include "common/field_table.h"
#include "common/result.h"
#include "decisions/version/configuration.h"

#include <optional>
#include <string>
#include <string_view>

namespace ebonyvale {

/// Longest note that is read, in bytes; below the platform's value limit.
inline constexpr std::size_t NoteMaxBytes = 1'000'000;

/// Checks the TOML text of a note against \p Base and returns the version that
/// it makes. The note is refused as a whole: `NoteInvalid` lists every problem
/// with its line and field, `NoteConflict` says that the note's `base` is not
/// the version of \p Base.
result<configuration> applyNote(const configuration &Base,
                                std::string_view NoteText);

/// Whether \p Value was made by this very note, or a version before it was.
/// Returns that version.
std::optional<std::uint64_t> findApplied(const configuration &Value,
                                         std::string_view NoteText);

/// The note's `id`, or `NoteInvalid`.
result<std::string> readNoteId(std::string_view NoteText);

/// Writes \p Value as one note that adds all of its entities; reading it back
/// with `readSnapshot` gives the same version.
std::string writeSnapshot(const configuration &Value);

/// Reads what `writeSnapshot` wrote; `FormatUnsupported` for another format
/// number.
result<configuration> readSnapshot(std::string_view Text);

} // namespace ebonyvale

#endif
