#include "decisions/process/membership.h"

#include <algorithm>
#include <functional>
#include <map>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace ebonyvale {
namespace {

/// Returns the rendezvous hash weight of \p Name under \p Seed.
std::uint64_t weightOf(std::string_view Seed, std::string_view Name) {
  const std::uint64_t SeedHash = XXH3_64bits(Seed.data(), Seed.size());
  return XXH3_64bits_withSeed(Name.data(), Name.size(), SeedHash);
}

/// Appends the \p Count members of \p Group with the greatest weights to
/// \p Links.
void appendFirst(std::vector<member> Group, std::string_view Seed,
                 std::size_t Count, std::vector<member> &Links) {
  std::ranges::sort(Group, std::ranges::greater{}, [Seed](const member &Entry) {
    return weightOf(Seed, Entry.Name);
  });
  if (Group.size() > Count)
    Group.resize(Count);
  std::ranges::move(Group, std::back_inserter(Links));
}

/// Whether members that are about to stop take up a rank.
enum class leaving_members { Excluded, Included };

/// Returns the number of members in the domain of \p Self that have a greater
/// weight under \p Seed.
std::size_t rankInDomain(const member &Self, const std::vector<member> &Members,
                         std::string_view Seed,
                         leaving_members LeavingMembers) {
  const std::uint64_t Own = weightOf(Seed, Self.Name);
  return static_cast<std::size_t>(
      std::ranges::count_if(Members, [&](const member &Entry) {
        const bool Counts =
            !Entry.Leaving || LeavingMembers == leaving_members::Included;
        return Counts && Entry.Domain == Self.Domain &&
               Entry.Name != Self.Name && weightOf(Seed, Entry.Name) > Own;
      }));
}

} // namespace

std::vector<member> chooseLinks(const member &Self,
                                const std::vector<member> &Members,
                                const link_options &Options) {
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
    appendFirst(std::move(Group), Self.Name, Options.PerNearDomain, Links);
  for (auto &[Region, Group] : OtherRegions)
    appendFirst(std::move(Group), Self.Name, Options.PerOtherRegion, Links);
  return Links;
}

bool watchesStore(const member &Self, const std::vector<member> &Members,
                  const link_options &Options) {
  return rankInDomain(Self, Members, Self.Domain, leaving_members::Excluded) <
         Options.Watchers;
}

bool ownsQuotaShare(const member &Self, const std::vector<member> &Members,
                    std::size_t OwnerCount) {
  return rankInDomain(Self, Members, "slot", leaving_members::Included) <
         OwnerCount;
}

} // namespace ebonyvale
