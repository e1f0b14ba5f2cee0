#include "decisions/process/software_history.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <string>
#include <vector>

using namespace ebonyvale;
using namespace std::chrono_literals;

namespace {

/// Lists one upstream of the service "s" for each version, separated by spaces.
upstream_directory listing(const std::string &Versions) {
  std::vector<upstream_entry> Entries;
  for (std::size_t Index = 0; Index < Versions.size(); Index += 3) {
    upstream_entry Entry;
    Entry.Id = "u-" + std::to_string(Index);
    Entry.Service = "s";
    Entry.Software = Versions.substr(Index, 2);
    Entries.push_back(Entry);
  }
  upstream_directory Directory;
  Directory.setAll(Entries, listing_kind::Continuous, instant{});
  return Directory;
}

struct history_row {
  char Name[32];
  char Listed[3][12]; ///< versions at 10, 20 and 30 s
  span_ns Since;      ///< the question, at 31 s
  char Only[4];       ///< empty: not certain
};

} // namespace

ParameterizedTestParameters(software_history, names_a_version_that_was_alone) {
  static history_row Rows[] = {
      {"always one", {"v1 v1", "v1", "v1 v1"}, 15s, "v1"},
      {"two now", {"v1", "v1", "v1 v2"}, 29s, ""},
      {"two before", {"v1", "v1 v2", "v1"}, 25s, ""},
      {"two long before", {"v1 v2", "v1", "v1"}, 25s, "v1"},
      {"replaced", {"v1", "v2", "v2"}, 15s, ""},
      {"replaced before", {"v1", "v2", "v2"}, 25s, "v2"},
      {"known for too short", {"v1", "v1", "v1"}, 5s, ""},
      {"none now", {"v1", "v1", ""}, 25s, "v1"},
  };
  return criterion_test_params(Rows);
}

ParameterizedTest(history_row *Row, software_history,
                  names_a_version_that_was_alone) {
  software_history History;
  for (int Step = 0; Step < 3; ++Step)
    History.update(listing(Row->Listed[Step]), instant((Step + 1) * 10s));
  cr_assert(!History.only("other", instant(Row->Since)));
  cr_assert(History.only("s", instant(Row->Since)).value_or("") == Row->Only,
            "%s", Row->Name);
}

/// Between two updates a version may have come, begun a stream and gone.
Test(software_history, remembers_versions_that_were_listed_for_a_moment) {
  software_history History;
  History.update(listing("v1"), instant(1s));
  History.onListed("s", "v2", instant(20s));
  History.update(listing("v1"), instant(20s));
  cr_assert(!History.only("s", instant(15s)));
  cr_assert(History.only("s", instant(21s)) == "v1");
}

Test(software_history, is_not_known_across_a_gap) {
  software_history History;
  History.update(listing("v1"), instant(1s));
  History.onGap(instant(20s));
  cr_assert(!History.only("s", instant(15s)));
  cr_assert(History.only("s", instant(20s)) == "v1");
}

Test(software_history, forgets_what_is_long_gone) {
  software_history History;
  History.update(listing("v1 v2"), instant(1s));
  History.update(listing("v2"), instant(10s));
  cr_assert(!History.only("s", instant(5s)));
  History.update(listing("v2"), instant(91s));
  cr_assert(History.only("s", instant(5s)) == "v2");
}

/// What the first instance has not seen, no stream has begun at.
Test(software_history, a_first_instance_needs_no_time_to_know_the_origin) {
  software_history History;
  History.onGap(instant(1s));
  History.update(listing("v1"), instant(1s));
  cr_assert(!History.onlyOrigin("s", instant(-50s)));
  History.onFirstInstance();
  cr_assert(History.onlyOrigin("s", instant(-50s)) == "v1");
  cr_assert(!History.only("s", instant(-50s)));
  History.onListed("s", "v2", instant(3s));
  cr_assert(!History.onlyOrigin("s", instant(-50s)));
}

Test(software_history, a_first_instance_does_not_know_what_it_missed) {
  software_history History;
  History.update(listing("v1"), instant(1s));
  History.onFirstInstance();
  History.onGap(instant(20s));
  cr_assert(!History.onlyOrigin("s", instant(15s)));
  cr_assert(History.onlyOrigin("s", instant(20s)) == "v1");
}

/// A peer that has started earlier knows what was listed before.
Test(software_history, learns_from_a_peer_since_when_it_knows_the_origin) {
  software_history Peer;
  Peer.onGap(instant(1s));
  Peer.update(listing("v1 v2"), instant(1s));
  Peer.onFirstInstance();
  cr_assert(Peer.soleVersions().empty());
  Peer.update(listing("v2"), instant(10s));
  const auto Known = Peer.soleVersions();
  cr_assert(Known.size() == 1 && Known[0].Version == "v2" &&
            Known[0].Since == instant(10s) + span_ns(1));
  software_history Later;
  Later.update(listing("v2"), instant(30s));
  cr_assert(!Later.knowsOrigins(instant(11s)));
  Later.onPeerKnows({"s", "v1", instant::min()});
  cr_assert(!Later.onlyOrigin("s", instant(11s)));
  Later.onPeerKnows(Known[0]);
  cr_assert(Later.knowsOrigins(instant(11s)));
  cr_assert(Later.onlyOrigin("s", instant(11s)) == "v2");
  cr_assert(!Later.onlyOrigin("s", instant(10s)));
}
