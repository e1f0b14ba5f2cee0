/// \file
/// Configuration stored as a log of release notes in the platform's store.
///
/// A note is appended by creating the key of the next log slot if it is absent.
/// Only this operation orders concurrent notes. If its reply is lost, the slot
/// is read to find out whether the note was written.
#ifndef EBONYVALE_DAEMON_PROCESS_PLATFORM_CONFIGURATION_H
#define EBONYVALE_DAEMON_PROCESS_PLATFORM_CONFIGURATION_H

#include "daemon/process/configuration_source.h"
#include "daemon/process/platform_store.h"
#include "daemon/process/router_core.h"
#include "daemon/process/version_history.h"
#include "decisions/version/note_log.h"

#include <memory>
#include <random>
#include <string>

namespace ebonyvale {

/// Applies new entries of the log to this instance and appends notes to it.
class platform_configuration final : public configuration_source,
                                     public store_watch_observer {
public:
  platform_configuration(router_core &Core, platform_store &Store,
                         version_history &History);

  void start() override;
  void apply(std::string_view NoteText, note_callback Done) override;

  /// Sets whether this instance watches the store. An instance that does not
  /// receives versions from its peers and only polls the log to catch up.
  void setWatching(bool Enabled);

  // store_watch_observer
  void onStoreChange(const store_entry &Entry) override;
  void onWatchLost() override;

private:
  struct pending_note;
  using pending_note_ptr = std::shared_ptr<pending_note>;

  /// Reads the versions that this instance is missing from the store. Passes to
  /// \p Done whether that succeeded.
  void catchUp(std::function<void(bool)> Done);
  /// Installs the newest snapshot and then reads the log.
  void readSnapshots(std::function<void(bool)> Done);
  void readLog(bool MayReadSnapshots, std::function<void(bool)> Done);
  void openWatch();
  void scheduleRetry();

  void tryApply(const pending_note_ptr &Pending);
  /// Creates the log slot of \p Next with the note. If another note has taken
  /// the slot, applies the note again on top of that one.
  void createSlot(const pending_note_ptr &Pending, const configuration &Next);
  /// Reads the slot after a lost reply to find out whether the note was
  /// written.
  void readSlotBack(const pending_note_ptr &Pending, std::uint64_t Version);
  void reportAccepted(const pending_note_ptr &Pending, std::uint64_t Version,
                      bool Repeated);
  void writeSnapshotIfDue();
  /// Deletes log slots and snapshots that are no longer needed once the
  /// snapshot of \p Version is complete.
  void trim(std::uint64_t Version);

  router_core &Core;
  platform_store &Store;
  version_history &History;
  note_log_keys Keys;
  std::unique_ptr<store_watch> Watch;
  bool Watching = true;
  std::int64_t NextRevision = 0;
  unsigned Failures = 0; ///< consecutive; determines the retry delay
  std::mt19937_64 Random;
  timer RetryTimer;
};

} // namespace ebonyvale

#endif
