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
  Directory.put("a", entryOf("a"));
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
  Directory.put("a", entryOf("a", /*Draining=*/true));
  Directory.put("b", std::nullopt);
  const auto Usable = Directory.usable("s");
  cr_assert(Usable.size() == 1 && Usable[0]->Id == "c");
}
