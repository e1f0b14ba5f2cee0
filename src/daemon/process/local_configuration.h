/// \file
/// Configuration source of a single instance that runs without a platform.
#ifndef EBONYVALE_DAEMON_PROCESS_LOCAL_CONFIGURATION_H
#define EBONYVALE_DAEMON_PROCESS_LOCAL_CONFIGURATION_H

#include "daemon/process/configuration_source.h"
#include "daemon/process/router_core.h"
#include "daemon/process/version_history.h"

namespace ebonyvale {

/// Applies release notes locally. The first note may come from a file; later
/// notes are kept in memory only.
class local_configuration final : public configuration_source {
public:
  local_configuration(router_core &Core, version_history &History)
      : Core(Core), History(History) {}

  /// Applies the note in the file \p Path. Fails with `SettingsInvalid` when
  /// the file cannot be read, or with the failure of `applyNote`.
  std::optional<failure> load(const std::string &Path);

  void start() override {}
  void apply(std::string_view NoteText, note_callback Done) override;

private:
  router_core &Core;
  version_history &History;
};

} // namespace ebonyvale

#endif
