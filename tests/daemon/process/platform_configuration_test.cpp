#include "daemon/process/platform_configuration.h"

#include "daemon/process/etcd_store.h"
#include "daemon/process/logging.h"
#include "fakes/key_value_server.h"

#include <criterion/criterion.h>
#include <spdlog/fmt/fmt.h>

#include <functional>
#include <memory>

using namespace ebonyvale;

namespace {

constexpr span_ns HangBound = std::chrono::seconds(20);

/// Daemons' configuration parts around one store.
struct store_fixture {
  struct member {
    daemon_settings Settings;
    std::unique_ptr<router_core> Core;
    std::unique_ptr<etcd_store> Store;
    std::unique_ptr<platform_configuration> Source;
    std::uint64_t version() const {
      return Core->inForce() ? Core->inForce()->Version : 0;
    }
  };

  event_base_ptr Base{event_base_new()};
  key_value_server Server{Base.get()};
  std::vector<std::unique_ptr<member>> Members;

  explicit store_fixture(std::size_t Count) {
    startLogging("text", "off");
    Server.listen("127.0.0.1", 0);
    for (std::size_t Index = 0; Index < Count; ++Index)
      addMember();
  }

  member &addMember() {
    auto Member = std::make_unique<member>();
    Member->Core = std::make_unique<router_core>(Base.get(), Member->Settings,
                                                 Members.size() + 1);
    Member->Store = std::make_unique<etcd_store>(
        Member->Core->connections(), endpoint{"127.0.0.1", Server.port()});
    Member->Source =
        std::make_unique<platform_configuration>(*Member->Core, *Member->Store);
    Member->Source->start();
    Members.push_back(std::move(Member));
    return *Members.back();
  }

  bool runUntil(const std::function<bool()> &Done) {
    const instant Bound = readClock().Now + HangBound;
    timer Wake(Base.get(), [] {});
    while (!Done()) {
      if (readClock().Now > Bound)
        return false;
      Wake.startOnce(std::chrono::milliseconds(1));
      event_base_loop(Base.get(), EVLOOP_ONCE);
    }
    return true;
  }

  result<accepted_note> apply(std::size_t Index, const std::string &Note) {
    std::optional<result<accepted_note>> Outcome;
    Members[Index]->Source->apply(
        Note,
        [&Outcome](const result<accepted_note> &Given) { Outcome = Given; });
    cr_assert(runUntil([&Outcome] { return Outcome.has_value(); }));
    return *Outcome;
  }

  bool allAt(std::uint64_t Version) {
    return runUntil([this, Version] {
      for (const auto &Member : Members)
        if (Member->version() != Version)
          return false;
      return true;
    });
  }
};

std::string teamNote(int Number, const std::string &Extra = "") {
  return fmt::format("id = \"note-{0}\"\n{1}\n[[added.team]]\n"
                     "name = \"team-{0}\"\nrate = 10\nburst = 100\n",
                     Number, Extra);
}

} // namespace

Test(platform_configuration, note_comes_into_force_at_every_instance) {
  store_fixture Fleet(3);
  const auto Accepted = Fleet.apply(0, teamNote(1));
  cr_assert(Accepted && Accepted->Version == 1 && !Accepted->Repeated);
  cr_assert(Fleet.allAt(1));
  for (const auto &Member : Fleet.Members)
    cr_assert(Member->Core->inForce()->Digest ==
              Fleet.Members[0]->Core->inForce()->Digest);
}

Test(platform_configuration, racing_notes_take_different_slots) {
  store_fixture Fleet(3);
  int Accepted = 0;
  for (int Index = 0; Index < 3; ++Index)
    Fleet.Members[Index]->Source->apply(
        teamNote(Index), [&Accepted](const result<accepted_note> &Outcome) {
          cr_assert(static_cast<bool>(Outcome));
          ++Accepted;
        });
  cr_assert(Fleet.runUntil([&Accepted] { return Accepted == 3; }));
  cr_assert(Fleet.allAt(3));
  cr_assert(Fleet.Members[0]->Core->inForce()->Teams.size() == 3);
}

Test(platform_configuration, note_for_an_older_base_is_told_what_is_in_force) {
  store_fixture Fleet(2);
  cr_assert(static_cast<bool>(Fleet.apply(0, teamNote(1))));
  cr_assert(static_cast<bool>(Fleet.apply(0, teamNote(2, "base = 1"))));
  const auto Late = Fleet.apply(1, teamNote(3, "base = 1"));
  cr_assert(!Late && Late.error().kind() == error_kind::NoteConflict);
  cr_assert(Late.error().Detail.find("note-2") != std::string::npos);
}

Test(platform_configuration, lost_reply_is_accepted_once) {
  store_fixture Fleet(2);
  Fleet.Server.faults().LoseReplies = 1;
  const auto Accepted = Fleet.apply(0, teamNote(1));
  cr_assert(Accepted && Accepted->Version == 1);
  const auto Again = Fleet.apply(1, teamNote(1));
  cr_assert(Again && Again->Version == 1 && Again->Repeated);
  cr_assert(Fleet.allAt(1));
}

Test(platform_configuration, note_during_an_outage_is_refused_unwritten) {
  store_fixture Fleet(2);
  cr_assert(static_cast<bool>(Fleet.apply(0, teamNote(1))));
  cr_assert(Fleet.allAt(1));
  Fleet.Server.faults().Out = true;
  const auto Refused = Fleet.apply(0, teamNote(2));
  cr_assert(!Refused &&
            Refused.error().kind() == error_kind::PlatformUnavailable);
  cr_assert(Fleet.Members[0]->version() == 1);
  Fleet.Server.faults().Out = false;
  cr_assert(static_cast<bool>(Fleet.apply(1, teamNote(2))));
  cr_assert(Fleet.allAt(2));
}

Test(platform_configuration, fresh_instance_starts_from_a_snapshot) {
  store_fixture Fleet(1);
  const int Notes = static_cast<int>(2 * SnapshotInterval + 3);
  for (int Number = 1; Number <= Notes; ++Number)
    cr_assert(static_cast<bool>(Fleet.apply(0, teamNote(Number))));
  const std::string Log = "/ebonyvale/log/";
  cr_assert(Fleet.runUntil([&Fleet, &Log] {
    return Fleet.Server.model().range(Log, prefixEnd(Log)).size() ==
           SnapshotInterval + 3;
  }));
  auto &Fresh = Fleet.addMember();
  cr_assert(Fleet.runUntil(
      [&] { return Fresh.version() == static_cast<std::uint64_t>(Notes); }));
  cr_assert(Fresh.Core->inForce()->Digest ==
            Fleet.Members[0]->Core->inForce()->Digest);
  cr_assert(Fresh.Core->inForce()->Teams.size() ==
            static_cast<std::size_t>(Notes));
}

Test(platform_configuration, version_never_goes_down) {
  store_fixture Fleet(1);
  cr_assert(static_cast<bool>(Fleet.apply(0, teamNote(1))));
  const std::string Older =
      "format = 1\nid = \"old\"\nversion = 0\ndigest = \"" +
      toHex(hashText("")) + "\"\n";
  Fleet.Members[0]->Source->onPeerSnapshot(Older);
  cr_assert(Fleet.Members[0]->version() == 1);
  Fleet.Members[0]->Source->onPeerSnapshot("format = 99\n");
  cr_assert(Fleet.Members[0]->version() == 1);
}
