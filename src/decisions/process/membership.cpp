#include "decisions/process/membership.h"

#include <algorithm>
#include <functional>
#include <map>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace ebonyvale {
namespace {

std::uint64_t weightOf(std::string_view Seed, std::string_view Name) {
  const std::uint64_t SeedHash = XXH3_64bits(Seed.data(), Seed.size());
  return XXH3_64bits_withSeed(Name.data(), Name.size(), SeedHash);
}

/// Appends the \p Count members of \p Group that rank first for \p Seed.
void appendFirst(std::vector<member> Group, std::string_view Seed,
                 std::size_t Count, std::vector<member> &Links) {
  std::ranges::sort(Group, std::ranges::greater{}, [Seed](const member &Entry) {
    return weightOf(Seed, Entry.Name);
  });
  if (Group.size() > Count)
    Group.resize(Count);
  std::ranges::move(Group, std::back_inserter(Links));
}

} // namespace

std::vector<member> chooseLinks(const member &Self,
                                const std::vector<member> &Members,
                                const link_rules &Rules) {
  std::vector<member> Own;
  std::map<std::string, std::vector<member>> NearDomains;
  std::map<std::string, std::vector<member>> OtherRegions;
  for (const member &Entry : Members) {
    if (Entry.Name == Self.Name)
      continue;
    if (Entry.Region != Self.Region)
      OtherRegions[Entry.Region].push_back(Entry);
    else if (Entry.Domain != Self.Domain)
      NearDomains[Entry.Domain].push_back(Entry);
    else
      Own.push_back(Entry);
  }
  std::vector<member> Links = std::move(Own);
  for (auto &[Domain, Group] : NearDomains)
    appendFirst(std::move(Group), Self.Name, Rules.PerNearDomain, Links);
  for (auto &[Region, Group] : OtherRegions)
    appendFirst(std::move(Group), Self.Name, Rules.PerOtherRegion, Links);
  return Links;
}

bool watchesStore(const member &Self, const std::vector<member> &Members,
                  const link_rules &Rules) {
  const std::uint64_t Own = weightOf(Self.Domain, Self.Name);
  const auto Ahead =
      std::ranges::count_if(Members, [&Self, Own](const member &Entry) {
        return Entry.Domain == Self.Domain && Entry.Name != Self.Name &&
               !Entry.Leaving && weightOf(Self.Domain, Entry.Name) > Own;
      });
  return static_cast<std::size_t>(Ahead) < Rules.Watchers;
}

} // namespace ebonyvale
