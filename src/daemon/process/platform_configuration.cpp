#include "daemon/process/platform_configuration.h"

#include "daemon/process/logging.h"
#include "decisions/version/release_note.h"

#include <algorithm>

namespace ebonyvale {
namespace {

/// Interval at which an instance that does not watch the log polls it.
constexpr span_ns CatchUpInterval = std::chrono::seconds(10);

/// Number of attempts to append a note when other notes take its slot.
constexpr unsigned MaxSlotConflicts = 20;
/// Number of attempts to read a slot after a lost reply.
constexpr unsigned MaxSlotReads = 5;

constexpr double MinRetryDelaySeconds = 0.1;
constexpr double MaxRetryDelaySeconds = 2;
/// Bounds the shift that doubles the retry delay.
constexpr unsigned MaxDoublings = 8;

std::vector<store_record> toRecords(const store_range &Range) {
  std::vector<store_record> Records;
  for (const store_entry &Entry : Range.Entries)
    Records.push_back({Entry.Key, Entry.Value});
  return Records;
}

} // namespace

/// A note that is being appended to the log.
struct platform_configuration::pending_note {
  std::string NoteText;
  note_callback Done;
  unsigned SlotConflicts = 0;
  unsigned SlotReads = 0;
};

platform_configuration::platform_configuration(router_core &Core,
                                               platform_store &Store,
                                               version_history &History)
    : Core(Core), Store(Store), History(History),
      Keys(Core.settings().PlatformPrefix), Random(Core.bootId()),
      RetryTimer(Core.base(), [this] { start(); }) {}

void platform_configuration::start() {
  catchUp([this](bool Reached) {
    if (!Reached) {
      scheduleRetry();
      return;
    }
    Failures = 0;
    openWatch();
  });
}

void platform_configuration::setWatching(bool Enabled) {
  if (Watching == Enabled)
    return;
  Watching = Enabled;
  if (Enabled) {
    start();
  } else {
    Watch.reset();
    RetryTimer.startOnce(CatchUpInterval);
  }
}

void platform_configuration::catchUp(std::function<void(bool)> Done) {
  if (Core.currentConfig())
    readLog(/*MayReadSnapshots=*/true, std::move(Done));
  else
    readSnapshots(std::move(Done));
}

void platform_configuration::readSnapshots(std::function<void(bool)> Done) {
  Store.list(Keys.snapshotPrefix(), "",
             [this, Done = std::move(Done)](const result<store_range> &Range) {
               if (!Range) {
                 Done(false);
                 return;
               }
               auto Newest = readNewestSnapshot(Keys, toRecords(*Range));
               if (!Newest) {
                 logFor(log_category::Configuration)
                     .error("cannot read the snapshot: {}",
                            Newest.error().Detail);
                 Done(false);
                 return;
               }
               if (*Newest)
                 History.installSnapshot(std::move(**Newest));
               readLog(/*MayReadSnapshots=*/false, Done);
             });
}

void platform_configuration::readLog(bool MayReadSnapshots,
                                     std::function<void(bool)> Done) {
  Store.list(Keys.logPrefix(), Keys.slot(History.version() + 1),
             [this, MayReadSnapshots,
              Done = std::move(Done)](const result<store_range> &Range) {
               if (!Range) {
                 Done(false);
                 return;
               }
               for (const store_entry &Entry : Range->Entries) {
                 const auto Version = Keys.slotVersion(Entry.Key);
                 if (!Version || *Version <= History.version())
                   continue;
                 // The missing slots were trimmed after a snapshot, which must
                 // be read instead.
                 if (*Version > History.version() + 1) {
                   if (MayReadSnapshots)
                     readSnapshots(Done);
                   else
                     Done(false);
                   return;
                 }
                 if (!History.applyVersion(*Version, Entry.Value))
                   break;
               }
               NextRevision = Range->Revision + 1;
               Done(true);
             });
}

void platform_configuration::openWatch() {
  if (Watching)
    Watch = Store.watch(Keys.logPrefix(), NextRevision, *this);
  else
    RetryTimer.startOnce(CatchUpInterval);
}

void platform_configuration::onStoreChange(const store_entry &Entry) {
  const auto Version = Keys.slotVersion(Entry.Key);
  if (!Version || *Version <= History.version())
    return;
  if (*Version == History.version() + 1)
    History.applyVersion(*Version, Entry.Value);
  else
    catchUp([](bool) {});
}

void platform_configuration::onWatchLost() {
  // Deferred, since the watch is the caller of this function.
  callLater(Core.base(), [this] { Watch.reset(); });
  scheduleRetry();
}

void platform_configuration::scheduleRetry() {
  const double Factor = 1U << std::min(Failures++, MaxDoublings);
  const double MaxDelay =
      std::min(MaxRetryDelaySeconds, MinRetryDelaySeconds * Factor);
  // Jitter keeps a fleet from reconnecting all at once.
  const double Delay =
      std::uniform_real_distribution<double>(MaxDelay / 2, MaxDelay)(Random);
  RetryTimer.startOnce(fromSeconds(Delay));
}

void platform_configuration::apply(std::string_view NoteText,
                                   note_callback Done) {
  const auto Pending = std::make_shared<pending_note>();
  Pending->NoteText = NoteText;
  Pending->Done = std::move(Done);
  tryApply(Pending);
}

void platform_configuration::tryApply(const pending_note_ptr &Pending) {
  catchUp([this, Pending](bool Reached) {
    if (!Reached) {
      Pending->Done(
          failure{error_kind::PlatformUnavailable,
                  "the store is unavailable; the note was not written"});
      return;
    }
    const configuration_ptr Base = Core.currentConfig();
    const configuration Empty;
    const configuration &Head = Base ? *Base : Empty;
    if (const auto Version = findAppliedVersion(Head, Pending->NoteText)) {
      reportAccepted(Pending, *Version, true);
      return;
    }
    const result<configuration> Next = applyNote(Head, Pending->NoteText);
    if (!Next) {
      Pending->Done(Next.error());
      return;
    }
    createSlot(Pending, *Next);
  });
}

void platform_configuration::createSlot(const pending_note_ptr &Pending,
                                        const configuration &Next) {
  const std::uint64_t Version = Next.Version;
  Store.create(Keys.slot(Version), Pending->NoteText,
               [this, Pending, Version](const result<bool> &Created) {
                 if (!Created) {
                   readSlotBack(Pending, Version);
                   return;
                 }
                 if (*Created) {
                   History.applyVersion(Version, Pending->NoteText);
                   reportAccepted(Pending, Version, false);
                   writeSnapshotIfDue();
                   return;
                 }
                 if (++Pending->SlotConflicts < MaxSlotConflicts)
                   tryApply(Pending);
                 else
                   Pending->Done(
                       failure{error_kind::NoteConflict,
                               "other notes took the slot at every attempt; "
                               "the note was not written"});
               });
}

void platform_configuration::readSlotBack(const pending_note_ptr &Pending,
                                          std::uint64_t Version) {
  if (++Pending->SlotReads > MaxSlotReads) {
    Pending->Done(
        failure{error_kind::PlatformUnavailable,
                "the store did not confirm whether the note was written; it "
                "is safe to apply the same note again, since a note takes "
                "effect only once"});
    return;
  }
  Store.list(Keys.slot(Version), "",
             [this, Pending, Version](const result<store_range> &Range) {
               if (!Range) {
                 readSlotBack(Pending, Version);
                 return;
               }
               const bool Written =
                   !Range->Entries.empty() &&
                   Range->Entries.front().Value == Pending->NoteText;
               if (!Written) {
                 tryApply(Pending);
                 return;
               }
               if (History.version() < Version)
                 History.applyVersion(Version, Pending->NoteText);
               reportAccepted(Pending, Version, false);
             });
}

void platform_configuration::reportAccepted(const pending_note_ptr &Pending,
                                            std::uint64_t Version,
                                            bool Repeated) {
  const auto Id = readNoteId(Pending->NoteText);
  Pending->Done(accepted_note{Version, Id ? *Id : "", Repeated});
}

void platform_configuration::writeSnapshotIfDue() {
  const configuration_ptr Value = Core.currentConfig();
  if (!Value || Value->Version % SnapshotInterval != 0)
    return;
  const std::vector<store_record> Records = Keys.snapshotRecords(*Value);
  // The record that marks the snapshot as complete is written last, when all
  // others have been stored.
  auto Remaining = std::make_shared<std::size_t>(Records.size() - 1);
  const store_record &Marker = Records.back();
  const auto OnRecordWritten =
      [this, Remaining, Marker,
       Version = Value->Version](const result<bool> &Written) {
        if (!Written || --*Remaining > 0)
          return;
        Store.put(Marker.Key, Marker.Value,
                  [this, Version](const result<bool> &MarkerWritten) {
                    if (MarkerWritten)
                      trim(Version);
                  });
      };
  for (std::size_t Index = 0; Index + 1 < Records.size(); ++Index)
    Store.put(Records[Index].Key, Records[Index].Value, OnRecordWritten);
}

void platform_configuration::trim(std::uint64_t Version) {
  // Keeps the previous snapshot for instances that are still reading it.
  if (Version <= SnapshotInterval)
    return;
  const std::uint64_t OldestKept = Version - SnapshotInterval;
  Store.erase(Keys.logPrefix(), Keys.slot(OldestKept + 1),
              [](const result<bool> &) {});
  Store.erase(Keys.snapshotPrefix(), Keys.snapshotKey(OldestKept),
              [](const result<bool> &) {});
}

} // namespace ebonyvale
