#include "daemon/fleet_fixture.h"
#include "decisions/version/release_note.h"

#include <criterion/criterion.h>

#include <memory>

using namespace ebonyvale;

Test(platform_configuration, note_takes_effect_on_every_instance) {
  fleet_fixture Fleet({"a", "a", "b"});
  const auto Accepted = Fleet.apply(0, teamNote(1));
  cr_assert(Accepted && Accepted->Version == 1 && !Accepted->Repeated);
  cr_assert(Fleet.waitForVersion(1));
  for (const auto &Instance : Fleet.Instances)
    cr_assert(Instance->Core.currentConfig()->Digest ==
              Fleet.Instances[0]->Core.currentConfig()->Digest);
}

Test(platform_configuration, concurrent_notes_take_different_slots) {
  fleet_fixture Fleet({"a", "a", "b"});
  int Accepted = 0;
  for (int Index = 0; Index < 3; ++Index)
    Fleet.Instances[Index]->Source.apply(
        teamNote(Index), [&Accepted](const result<accepted_note> &Outcome) {
          cr_assert(static_cast<bool>(Outcome));
          ++Accepted;
        });
  cr_assert(Fleet.runUntil([&Accepted] { return Accepted == 3; }));
  cr_assert(Fleet.waitForVersion(3));
  cr_assert(Fleet.Instances[0]->Core.currentConfig()->Teams.size() == 3);
}

Test(platform_configuration,
     note_with_an_older_base_fails_and_names_the_current_note) {
  fleet_fixture Fleet({"a", "b"});
  cr_assert(static_cast<bool>(Fleet.apply(0, teamNote(1))));
  cr_assert(static_cast<bool>(Fleet.apply(0, teamNote(2, "base = 1"))));
  const auto Outdated = Fleet.apply(1, teamNote(3, "base = 1"));
  cr_assert(!Outdated && Outdated.error().kind() == error_kind::NoteConflict);
  cr_assert(Outdated.error().Detail.find("note-2") != std::string::npos);
}

Test(platform_configuration, note_is_accepted_once_after_a_lost_reply) {
  fleet_fixture Fleet({"a", "b"});
  Fleet.Server.faults().LoseReplies = 1;
  const auto Accepted = Fleet.apply(0, teamNote(1));
  cr_assert(Accepted && Accepted->Version == 1);
  const auto Second = Fleet.apply(1, teamNote(1));
  cr_assert(Second && Second->Version == 1 && Second->Repeated);
  cr_assert(Fleet.waitForVersion(1));
}

Test(platform_configuration, note_during_a_store_outage_is_not_written) {
  fleet_fixture Fleet({"a", "b"});
  cr_assert(static_cast<bool>(Fleet.apply(0, teamNote(1))));
  cr_assert(Fleet.waitForVersion(1));
  Fleet.Server.faults().DropConnections = true;
  const auto Refused = Fleet.apply(0, teamNote(2));
  cr_assert(!Refused &&
            Refused.error().kind() == error_kind::PlatformUnavailable);
  cr_assert(Fleet.Instances[0]->version() == 1);
  Fleet.Server.faults().DropConnections = false;
  cr_assert(static_cast<bool>(Fleet.apply(1, teamNote(2))));
  cr_assert(Fleet.waitForVersion(2));
}

Test(platform_configuration, new_instance_starts_from_a_snapshot) {
  fleet_fixture Fleet({"a"});
  const int Notes = static_cast<int>(2 * SnapshotInterval + 3);
  for (int Number = 1; Number <= Notes; ++Number)
    cr_assert(static_cast<bool>(Fleet.apply(0, teamNote(Number))));
  const std::string Log = "/ebonyvale/log/";
  cr_assert(Fleet.runUntil([&Fleet, &Log] {
    return Fleet.Server.model().range(Log, prefixEnd(Log)).size() ==
           SnapshotInterval + 3;
  }));
  fleet_instance Joined(Fleet.Base.get(), "fresh", "a", Fleet.Server.port(), 9);
  cr_assert(Fleet.runUntil(
      [&] { return Joined.version() == static_cast<std::uint64_t>(Notes); }));
  cr_assert(Joined.Core.currentConfig()->Digest ==
            Fleet.Instances[0]->Core.currentConfig()->Digest);
  cr_assert(Joined.Core.currentConfig()->Teams.size() ==
            static_cast<std::size_t>(Notes));
}

Test(platform_configuration, older_or_invalid_versions_are_ignored) {
  fleet_fixture Fleet({"a"});
  cr_assert(static_cast<bool>(Fleet.apply(0, teamNote(1))));
  version_history &History = Fleet.Instances[0]->History;
  version_bundle Older;
  Older.Snapshot = writeSnapshot(configuration{});
  History.onVersions(encode(Older));
  cr_assert(Fleet.Instances[0]->version() == 1);
  History.onVersions("not a message");
  version_bundle Unknown;
  Unknown.Snapshot = "format = 99\n";
  History.onVersions(encode(Unknown));
  cr_assert(Fleet.Instances[0]->version() == 1);
}
