/// \file
/// Release notes, by which operators change the configuration, and snapshots of
/// a configuration version.
#ifndef EBONYVALE_DECISIONS_VERSION_RELEASE_NOTE_H
#define EBONYVALE_DECISIONS_VERSION_RELEASE_NOTE_H

#include "common/field_table.h"
#include "common/result.h"
#include "decisions/version/configuration.h"

#include <optional>
#include <string>
#include <string_view>

namespace ebonyvale {

/// Maximum length of a note, in bytes; below the store's value limit.
inline constexpr std::size_t MaxNoteBytes = 1'000'000;

/// Checks the TOML text of a note against \p Base and returns the version that
/// it creates. Fails without applying any change: NoteInvalid lists every
/// problem with its line and field; NoteConflict means that the note's `base`
/// is not the version of \p Base, or that a note with its id has already been
/// applied.
result<configuration> applyNote(const configuration &Base,
                                std::string_view NoteText);

/// Returns the version that the note created if it is \p Value or an earlier
/// version; nothing for a note that has not been applied or has been dropped
/// from the history. A note with the same id but another text does not match.
std::optional<std::uint64_t> findAppliedVersion(const configuration &Value,
                                                std::string_view NoteText);

/// Returns the note's `id`, or fails with NoteInvalid.
result<std::string> readNoteId(std::string_view NoteText);

/// Serializes \p Value as a note that adds all of its entities. `readSnapshot`
/// restores the same version.
std::string writeSnapshot(const configuration &Value);

/// Parses what `writeSnapshot` wrote. Fails with FormatUnsupported for a text
/// that is malformed or has another format number, and with NoteInvalid for
/// invalid entities.
result<configuration> readSnapshot(std::string_view Text);

} // namespace ebonyvale

#endif
