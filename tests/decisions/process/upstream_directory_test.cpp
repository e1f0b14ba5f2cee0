#include "decisions/process/upstream_directory.h"

#include <criterion/criterion.h>

using namespace ebonyvale;
using namespace std::chrono_literals;

namespace {

upstream_entry entryOf(const char *Id, bool Draining = false) {
  upstream_entry Entry;
  Entry.Id = Id;
  Entry.Service = "s";
  Entry.Draining = Draining;
  return Entry;
}

} // namespace

Test(upstream_directory, keeps_entries_for_two_seconds_after_outage) {
  upstream_directory Directory;
  Directory.setAll({entryOf("a"), entryOf("b")}, listing_kind::Continuous,
                   instant(0s));
  Directory.setAll({entryOf("a")}, listing_kind::AfterOutage, instant(10s));
  cr_assert(Directory.usable("s").size() == 2);
  // A second listing without the entry does not extend the grace period.
  Directory.setAll({entryOf("a")}, listing_kind::AfterOutage, instant(11s));
  cr_assert(!Directory.expire(instant(11900ms)));
  cr_assert(Directory.find("b"));
  cr_assert(Directory.expire(instant(12s)));
  cr_assert(!Directory.find("b"));
}

Test(upstream_directory, entry_registered_again_is_kept) {
  upstream_directory Directory;
  Directory.setAll({entryOf("a")}, listing_kind::Continuous, instant(0s));
  Directory.setAll({}, listing_kind::AfterOutage, instant(10s));
  Directory.put("a", entryOf("a"), instant(11s));
  Directory.expire(instant(20s));
  cr_assert(Directory.find("a"));
}

Test(upstream_directory, drops_missing_entries_without_outage) {
  upstream_directory Directory;
  Directory.setAll({entryOf("a")}, listing_kind::Continuous, instant(0s));
  Directory.setAll({}, listing_kind::Continuous, instant(1s));
  cr_assert(!Directory.find("a"));
}

Test(upstream_directory, draining_and_unreadable_entries_are_not_usable) {
  upstream_directory Directory;
  Directory.setAll({entryOf("a"), entryOf("b"), entryOf("c")},
                   listing_kind::Continuous, instant(0s));
  Directory.put("a", entryOf("a", /*Draining=*/true), instant(1s));
  Directory.put("b", std::nullopt, instant(1s));
  const auto Usable = Directory.usable("s");
  cr_assert(Usable.size() == 1 && Usable[0]->Id == "c");
}

/// The copy lists upstreams as they were some seconds ago.
Test(upstream_directory, leaving_upstreams_stay_so_after_a_restore) {
  upstream_directory Directory;
  const std::vector<upstream_entry> Copy{entryOf("a"), entryOf("b"),
                                         entryOf("c"), entryOf("d")};
  Directory.setAll(Copy, listing_kind::Continuous, instant(0s));
  Directory.put("a", entryOf("a", /*Draining=*/true), instant(1s));
  Directory.remove("b", instant(1s));
  Directory.setAll({entryOf("a", true), entryOf("d")}, listing_kind::Continuous,
                   instant(2s));
  Directory.setAll(Copy, listing_kind::AfterRestore, instant(3s));
  cr_assert(Directory.find("a")->Draining);
  cr_assert(!Directory.find("b") && !Directory.find("c"));
  cr_assert(Directory.usable("s").size() == 1);
  // What an upstream writes itself holds.
  Directory.put("a", entryOf("a"), instant(4s));
  Directory.put("b", entryOf("b"), instant(4s));
  cr_assert(Directory.usable("s").size() == 3);
}

/// Another process under the same name is not the one that left.
Test(upstream_directory, a_new_incarnation_is_listed_after_a_restore) {
  upstream_directory Directory;
  Directory.setAll({entryOf("a"), entryOf("b")}, listing_kind::Continuous,
                   instant(0s));
  Directory.remove("a", instant(1s));
  Directory.put("b", entryOf("b", /*Draining=*/true), instant(1s));
  upstream_entry NewA = entryOf("a");
  upstream_entry NewB = entryOf("b");
  NewA.Born = NewB.Born = 7;
  Directory.setAll({NewA, NewB}, listing_kind::AfterRestore, instant(2s));
  cr_assert(Directory.usable("s").size() == 2);
}

Test(upstream_directory, forgets_upstreams_that_left_long_ago) {
  upstream_directory Directory;
  Directory.setAll({entryOf("a")}, listing_kind::Continuous, instant(0s));
  Directory.remove("a", instant(1s));
  Directory.expire(instant(2s) + upstream_directory::GoneMemory);
  Directory.setAll({entryOf("a")}, listing_kind::AfterRestore, instant(70s));
  cr_assert(Directory.find("a"));
}
