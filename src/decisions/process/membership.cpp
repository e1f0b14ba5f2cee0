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

/// Whether members that are about to leave take a rank.
enum class leavers { Passed, Counted };

/// Number of members of the own domain that rank before \p Self for \p Seed.
std::size_t rankInDomain(const member &Self, const std::vector<member> &Members,
                         std::string_view Seed, leavers Leavers) {
  const std::uint64_t Own = weightOf(Seed, Self.Name);
  return static_cast<std::size_t>(
      std::ranges::count_if(Members, [&](const member &Entry) {
        const bool Counts = !Entry.Leaving || Leavers == leavers::Counted;
        return Counts && Entry.Domain == Self.Domain &&
               Entry.Name != Self.Name && weightOf(Seed, Entry.Name) > Own;
      }));
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
  return rankInDomain(Self, Members, Self.Domain, leavers::Passed) <
         Rules.Watchers;
}

bool ownsSlot(const member &Self, const std::vector<member> &Members,
              std::size_t Slots) {
  return rankInDomain(Self, Members, "slot", leavers::Counted) < Slots;
}

} // namespace ebonyvale
