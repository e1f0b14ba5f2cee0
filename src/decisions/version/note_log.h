/// \file
/// Layout of the configuration in the platform's store: a slot for each note,
/// and snapshots split into chunks below the store's value limit.
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

/// Number of versions between two snapshots.
inline constexpr std::uint64_t SnapshotInterval = 64;

/// Largest value that is written, in bytes; the store accepts up to a megabyte.
inline constexpr std::size_t SnapshotChunkBytes = 700'000;

/// A key-value pair of the store.
struct store_record {
  std::string Key;
  std::string Value;
};

/// Builds the store keys of one fleet.
class note_log_keys {
public:
  explicit note_log_keys(std::string Prefix) : Prefix(std::move(Prefix)) {}

  std::string logPrefix() const { return Prefix + "log/"; }
  std::string snapshotPrefix() const { return Prefix + "snapshot/"; }

  /// Returns the key of the note that creates \p Version.
  std::string slot(std::uint64_t Version) const;

  /// Returns the version whose slot has the key \p Key; nothing for other keys.
  std::optional<std::uint64_t> slotVersion(std::string_view Key) const;

  /// Returns the records of a snapshot in the order to write them. The last one
  /// marks the snapshot as complete.
  std::vector<store_record> snapshotRecords(const configuration &Value) const;

  /// Returns the key prefix of the snapshot of \p Version. The keys of older
  /// snapshots sort before it.
  std::string snapshotKey(std::uint64_t Version) const;

private:
  std::string Prefix;
};

/// Returns the newest complete snapshot among \p Records, which are in key
/// order, or nothing without one. Fails as `readSnapshot` does.
result<std::optional<configuration>>
readNewestSnapshot(const note_log_keys &Keys,
                   const std::vector<store_record> &Records);

} // namespace ebonyvale

#endif
