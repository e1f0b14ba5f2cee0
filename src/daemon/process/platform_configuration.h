/// \file
/// The configuration kept as a log of notes in the platform's store.
///
/// A note takes the next slot by create-if-absent, the only point at which
/// operators are put in order. A lost reply is settled by reading the slot.
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

/// Follows the log and appends to it.
class platform_configuration final : public configuration_source,
                                     public store_watch_observer {
public:
  platform_configuration(router_core &Core, platform_store &Store,
                         version_history &History);

  void start() override;
  void apply(std::string_view NoteText, note_callback Done) override;

  /// Whether this instance watches the store itself. An instance that does not
  /// hears of versions from its peers and reads the store only to catch up.
  void setWatching(bool Wanted);

  // store_watch_observer
  void onStoreChange(const store_entry &Entry) override;
  void onWatchLost() override;

private:
  struct application;
  using application_ptr = std::shared_ptr<application>;

  void catchUp(std::function<void(bool)> Done);
  void readSnapshots(std::function<void(bool)> Done);
  void readLog(bool MayReadSnapshots, std::function<void(bool)> Done);
  void openWatch();
  void scheduleRetry();

  void tryApply(const application_ptr &Application);
  void takeSlot(const application_ptr &Application, const configuration &Next);
  void readSlotBack(const application_ptr &Application, std::uint64_t Version);
  void accept(const application_ptr &Application, std::uint64_t Version,
              bool Repeated);
  void writeSnapshotIfDue();
  void trim(std::uint64_t Version);

  router_core &Core;
  platform_store &Store;
  version_history &History;
  note_log_keys Keys;
  std::unique_ptr<store_watch> Watch;
  bool Watching = true;
  std::int64_t NextRevision = 0;
  unsigned Failures = 0;
  std::mt19937_64 Random;
  timer RetryTimer;
};

} // namespace ebonyvale

#endif
