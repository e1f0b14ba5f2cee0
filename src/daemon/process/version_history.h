/// \file
/// The notes that led to the version in force, for peers that are behind.
#ifndef EBONYVALE_DAEMON_PROCESS_VERSION_HISTORY_H
#define EBONYVALE_DAEMON_PROCESS_VERSION_HISTORY_H

#include "daemon/connection/peer_hub.h"
#include "daemon/process/router_core.h"

#include <cstdint>
#include <deque>
#include <string_view>

namespace ebonyvale {

/// Brings notes and snapshots into force, whoever brought them, and hands them
/// on.
class version_history final : public version_exchange {
public:
  explicit version_history(router_core &Core) : Core(Core) {}

  /// The version in force, 0 before the first.
  std::uint64_t version() const;

  /// Applies the note that makes \p Version. False when it is not the next
  /// one or is not valid.
  bool absorb(std::uint64_t Version, std::string_view NoteText);

  /// Takes a whole version if it is newer.
  void adopt(configuration Value);

  // version_exchange
  std::string versionsSince(std::uint64_t Version) override;
  void onVersions(std::string_view Bytes) override;

private:
  router_core &Core;
  std::deque<version_bundle::note> Notes; ///< consecutive, newest last
};

} // namespace ebonyvale

#endif
