#include "daemon/process/platform_configuration.h"

#include "daemon/process/logging.h"
#include "decisions/version/release_note.h"

#include <algorithm>

namespace ebonyvale {
namespace {

/// Time between two looks into the log by an instance that does not watch it.
constexpr span_ns CatchUpInterval = std::chrono::seconds(10);

/// Times that a note is tried anew after another one took its slot.
constexpr unsigned MaxRaces = 20;
/// Times that a slot is read after a lost reply.
constexpr unsigned MaxReadBacks = 5;

constexpr double FirstPauseSeconds = 0.1;
constexpr double LongestPauseSeconds = 2;
constexpr unsigned MaxDoublings = 8;

std::vector<store_record> toRecords(const store_range &Range) {
  std::vector<store_record> Records;
  for (const store_entry &Entry : Range.Entries)
    Records.push_back({Entry.Key, Entry.Value});
  return Records;
}

} // namespace

/// A note on its way into the log.
struct platform_configuration::application {
  std::string NoteText;
  note_callback Done;
  unsigned Races = 0;
  unsigned ReadBacks = 0;
};

platform_configuration::platform_configuration(router_core &Core,
                                               platform_store &Store,
                                               version_history &History)
    : Core(Core), Store(Store), History(History),
      Keys(Core.settings().PlatformPrefix), Random(Core.boot()),
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

void platform_configuration::setWatching(bool Wanted) {
  if (Watching == Wanted)
    return;
  Watching = Wanted;
  if (Wanted) {
    start();
  } else {
    Watch.reset();
    RetryTimer.startOnce(CatchUpInterval);
  }
}

void platform_configuration::catchUp(std::function<void(bool)> Done) {
  if (Core.inForce())
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
                     .error("snapshot refused: {}", Newest.error().Detail);
                 Done(false);
                 return;
               }
               if (*Newest)
                 History.adopt(std::move(**Newest));
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
                 // Slots behind a snapshot are trimmed; start from it then.
                 if (*Version > History.version() + 1) {
                   if (MayReadSnapshots)
                     readSnapshots(Done);
                   else
                     Done(false);
                   return;
                 }
                 if (!History.absorb(*Version, Entry.Value))
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
    History.absorb(*Version, Entry.Value);
  else
    catchUp([](bool) {});
}

void platform_configuration::onWatchLost() {
  // The watch is still on the stack.
  callLater(Core.base(), [this] { Watch.reset(); });
  scheduleRetry();
}

void platform_configuration::scheduleRetry() {
  const double Factor = 1U << std::min(Failures++, MaxDoublings);
  const double Longest =
      std::min(LongestPauseSeconds, FirstPauseSeconds * Factor);
  // Spread out, so that a fleet does not come back all at once.
  const double Pause =
      std::uniform_real_distribution<double>(Longest / 2, Longest)(Random);
  RetryTimer.startOnce(fromSeconds(Pause));
}

void platform_configuration::apply(std::string_view NoteText,
                                   note_callback Done) {
  const auto Application = std::make_shared<application>();
  Application->NoteText = NoteText;
  Application->Done = std::move(Done);
  tryApply(Application);
}

void platform_configuration::tryApply(const application_ptr &Application) {
  catchUp([this, Application](bool Reached) {
    if (!Reached) {
      Application->Done(
          failure{error_kind::PlatformUnavailable, "nothing was written"});
      return;
    }
    const configuration_ptr Base = Core.inForce();
    const configuration Empty;
    const configuration &Head = Base ? *Base : Empty;
    if (const auto Version = findAppliedVersion(Head, Application->NoteText)) {
      accept(Application, *Version, true);
      return;
    }
    const result<configuration> Next = applyNote(Head, Application->NoteText);
    if (!Next) {
      Application->Done(Next.error());
      return;
    }
    takeSlot(Application, *Next);
  });
}

void platform_configuration::takeSlot(const application_ptr &Application,
                                      const configuration &Next) {
  const std::uint64_t Version = Next.Version;
  Store.create(Keys.slot(Version), Application->NoteText,
               [this, Application, Version](const result<bool> &Created) {
                 if (!Created) {
                   readSlotBack(Application, Version);
                   return;
                 }
                 if (*Created) {
                   History.absorb(Version, Application->NoteText);
                   accept(Application, Version, false);
                   writeSnapshotIfDue();
                   return;
                 }
                 if (++Application->Races < MaxRaces)
                   tryApply(Application);
                 else
                   Application->Done(
                       failure{error_kind::NoteConflict,
                               "other notes took every slot; nothing was "
                               "written"});
               });
}

void platform_configuration::readSlotBack(const application_ptr &Application,
                                          std::uint64_t Version) {
  if (++Application->ReadBacks > MaxReadBacks) {
    Application->Done(
        failure{error_kind::PlatformUnavailable,
                "it is not known whether the note was written; apply it "
                "again, the same note is accepted only once"});
    return;
  }
  Store.list(Keys.slot(Version), "",
             [this, Application, Version](const result<store_range> &Range) {
               if (!Range) {
                 readSlotBack(Application, Version);
                 return;
               }
               const bool Written =
                   !Range->Entries.empty() &&
                   Range->Entries.front().Value == Application->NoteText;
               if (!Written) {
                 tryApply(Application);
                 return;
               }
               if (History.version() < Version)
                 History.absorb(Version, Application->NoteText);
               accept(Application, Version, false);
             });
}

void platform_configuration::accept(const application_ptr &Application,
                                    std::uint64_t Version, bool Repeated) {
  const auto Id = readNoteId(Application->NoteText);
  Application->Done(accepted_note{Version, Id ? *Id : "", Repeated});
}

void platform_configuration::writeSnapshotIfDue() {
  const configuration_ptr Value = Core.inForce();
  if (!Value || Value->Version % SnapshotInterval != 0)
    return;
  const std::vector<store_record> Records = Keys.snapshotRecords(*Value);
  // The mark that completes a snapshot is written after all of its pieces.
  auto Left = std::make_shared<std::size_t>(Records.size() - 1);
  const store_record &Mark = Records.back();
  const auto OnPiece = [this, Left, Mark,
                        Version = Value->Version](const result<bool> &Done) {
    if (!Done || --*Left > 0)
      return;
    Store.put(Mark.Key, Mark.Value, [this, Version](const result<bool> &Put) {
      if (Put)
        trim(Version);
    });
  };
  for (std::size_t Index = 0; Index + 1 < Records.size(); ++Index)
    Store.put(Records[Index].Key, Records[Index].Value, OnPiece);
}

void platform_configuration::trim(std::uint64_t Version) {
  // The snapshot before the newest one stays for readers that are at it.
  if (Version <= SnapshotInterval)
    return;
  const std::uint64_t Kept = Version - SnapshotInterval;
  Store.erase(Keys.logPrefix(), Keys.slot(Kept + 1),
              [](const result<bool> &) {});
  Store.erase(Keys.snapshotPrefix(), Keys.snapshotKey(Kept),
              [](const result<bool> &) {});
}

} // namespace ebonyvale
