/// \file
/// Interface to the source of configuration versions, which also accepts
/// release notes.
#ifndef EBONYVALE_DAEMON_PROCESS_CONFIGURATION_SOURCE_H
#define EBONYVALE_DAEMON_PROCESS_CONFIGURATION_SOURCE_H

#include "common/result.h"
#include "decisions/version/configuration.h"

#include <functional>
#include <string>
#include <string_view>

namespace ebonyvale {

/// Result of applying a release note.
struct accepted_note {
  std::uint64_t Version = 0; ///< configuration version that the note created
  std::string NoteId;
  bool Repeated = false; ///< the note had already been applied
};

/// Delivers configuration versions to the router core and applies release
/// notes.
class configuration_source {
public:
  using note_callback = std::function<void(result<accepted_note>)>;

  virtual ~configuration_source() = default;

  /// Starts to deliver versions.
  virtual void start() = 0;

  /// Applies a release note. Calls \p Done exactly once, possibly before
  /// returning.
  virtual void apply(std::string_view NoteText, note_callback Done) = 0;
};

} // namespace ebonyvale

#endif
