/// \file
/// Names and pieces of what the platform's store keeps of the configuration:
/// one slot for each note, and snapshots in pieces below the value limit.
#ifndef EBONYVALE_DECISIONS_VERSION_NOTE_LOG_H
#define EBONYVALE_DECISIONS_VERSION_NOTE_LOG_H

#include "common/result.h"
#include "decisions/version/configuration.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ebonyvale {

/// Versions between two snapshots.
inline constexpr std::uint64_t SnapshotInterval = 64;

/// Longest value that is written, in bytes; the service holds a megabyte.
inline constexpr std::size_t SnapshotPieceBytes = 700'000;

/// A key and its value.
struct log_record {
  std::string Key;
  std::string Value;
};

/// Keys of one fleet under its prefix.
class note_log_keys {
public:
  explicit note_log_keys(std::string Prefix) : Prefix(std::move(Prefix)) {}

  std::string logPrefix() const { return Prefix + "log/"; }
  std::string snapshotPrefix() const { return Prefix + "snapshot/"; }

  /// The slot of the note that makes \p Version.
  std::string slot(std::uint64_t Version) const;

  /// The version whose slot \p Key is; nothing for any other key.
  std::optional<std::uint64_t> slotVersion(std::string_view Key) const;

  /// The records of a snapshot; the last one makes it complete.
  std::vector<log_record> snapshotRecords(const configuration &Value) const;

  /// The key before which snapshots are older than \p Version.
  std::string snapshotStart(std::uint64_t Version) const;

private:
  std::string Prefix;
};

/// The newest complete snapshot among \p Records, which are in key order;
/// nothing when there is none, `FormatUnsupported` when it cannot be read.
result<std::optional<configuration>>
readNewestSnapshot(const note_log_keys &Keys,
                   const std::vector<log_record> &Records);

} // namespace ebonyvale

#endif
