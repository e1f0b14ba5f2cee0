/// \file
/// Applies configuration versions and keeps recent release notes for peers that
/// lag behind.
#ifndef EBONYVALE_DAEMON_PROCESS_VERSION_HISTORY_H
#define EBONYVALE_DAEMON_PROCESS_VERSION_HISTORY_H

#include "daemon/connection/peer_hub.h"
#include "daemon/process/router_core.h"

#include <cstdint>
#include <deque>
#include <string_view>

namespace ebonyvale {

/// Applies notes and snapshots from the store, from peers or from a local file,
/// and supplies them to peers that lag behind.
class version_history final : public version_exchange {
public:
  explicit version_history(router_core &Core) : Core(Core) {}

  /// Returns the current version; 0 before the first.
  std::uint64_t version() const;

  /// Applies the note that creates \p Version. Returns false when \p Version is
  /// not the next one or the note is invalid.
  bool applyVersion(std::uint64_t Version, std::string_view NoteText);

  /// Replaces the configuration by \p Value if that is newer.
  void installSnapshot(configuration Value);

  // version_exchange
  std::string versionsSince(std::uint64_t Version) override;
  void onVersions(std::string_view Bytes) override;

private:
  router_core &Core;
  std::deque<version_bundle::note> Notes; ///< consecutive, newest last
};

} // namespace ebonyvale

#endif
