#include "decisions/process/membership.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <set>

using namespace ebonyvale;

namespace {

/// Returns members in two regions: domains a and b, and domain c.
std::vector<member> fleetOf(int PerDomain) {
  std::vector<member> Members;
  for (const char *Domain : {"a", "b", "c"})
    for (int Index = 0; Index < PerDomain; ++Index)
      Members.push_back({Domain + std::to_string(Index), "127.0.0.1", 1, Domain,
                         *Domain == 'c' ? "far" : "near", false});
  return Members;
}

} // namespace

Test(membership, links_to_other_domains_are_limited) {
  const auto Members = fleetOf(12);
  const link_options Options;
  for (const member &Self : Members) {
    const auto Links = chooseLinks(Self, Members, Options);
    const auto InDomain = [&Self](const member &Link) {
      return Link.Domain == Self.Domain;
    };
    cr_assert(std::ranges::count_if(Links, InDomain) == 11);
    cr_assert(std::is_partitioned(Links.begin(), Links.end(), InDomain));
    cr_assert(Links.size() <=
              11 + Options.PerNearDomain + Options.PerOtherRegion);
    cr_assert(std::ranges::count(Links, Self.Name, &member::Name) == 0);
  }
}

Test(membership, links_to_another_region_spread_over_its_members) {
  const auto Members = fleetOf(12);
  std::set<std::string> Targets;
  for (const member &Self : Members)
    for (const member &Link : chooseLinks(Self, Members, {}))
      if (Self.Domain == "a" && Link.Domain == "c")
        Targets.insert(Link.Name);
  cr_assert(Targets.size() >= 4);
}

Test(membership, leaving_watcher_is_replaced) {
  auto Members = fleetOf(6);
  const auto Watchers = [&Members] {
    std::vector<std::string> Names;
    for (const member &Self : Members)
      if (!Self.Leaving && Self.Domain == "a" &&
          watchesStore(Self, Members, {}))
        Names.push_back(Self.Name);
    return Names;
  };
  const auto Before = Watchers();
  cr_assert(Before.size() == 2);
  std::ranges::find(Members, Before[0], &member::Name)->Leaving = true;
  cr_assert(Watchers().size() == 2);
}

Test(membership, owners_do_not_exceed_the_owner_count) {
  const auto Members = fleetOf(6);
  for (std::size_t OwnerCount = 1; OwnerCount <= 8; ++OwnerCount) {
    std::size_t Owners = 0;
    for (const member &Self : Members)
      Owners += Self.Domain == "b" && ownsQuotaShare(Self, Members, OwnerCount)
                    ? 1
                    : 0;
    cr_assert(Owners == std::min<std::size_t>(OwnerCount, 6));
  }
}
