#include "decisions/process/stream_keepers.h"

#include <algorithm>
#include <tuple>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace ebonyvale {
namespace {

constexpr std::size_t KeepersPerDomain = 2;

std::uint64_t rankOf(std::string_view Name, std::uint64_t Stream) {
  return XXH3_64bits_withSeed(Name.data(), Name.size(), Stream);
}

auto orderOf(const fleet_member &Member) {
  return std::tie(Member.Domain, Member.Name);
}

} // namespace

void stream_keepers::setMembers(const std::vector<fleet_member> &NewMembers,
                                instant Now) {
  for (member &Member : Members)
    if (Member.isListed())
      Member.GoneAt = Now;
  const std::size_t Known = Members.size();
  for (const fleet_member &New : NewMembers) {
    const auto End = Members.begin() + static_cast<std::ptrdiff_t>(Known);
    const auto Found =
        std::lower_bound(Members.begin(), End, New,
                         [](const member &Member, const fleet_member &Other) {
                           return orderOf(Member.Fleet) < orderOf(Other);
                         });
    if (Found != End && Found->Fleet == New)
      Found->GoneAt = instant::max();
    else
      Members.push_back({New, XXH3_64bits(New.Name.data(), New.Name.size())});
  }
  expire(Now);
  updateOrder();
}

void stream_keepers::expire(instant Now) {
  const auto Erased = std::erase_if(Members, [&](const member &Member) {
    return !Member.isListed() && Now - Member.GoneAt > FormerFor;
  });
  if (Erased > 0)
    updateOrder();
}

void stream_keepers::updateOrder() {
  std::ranges::sort(Members, {},
                    [](const member &Member) { return orderOf(Member.Fleet); });
  Circle.resize(Members.size());
  for (std::size_t Index = 0; Index < Circle.size(); ++Index)
    Circle[Index] = Index;
  std::ranges::sort(Circle, {}, [this](std::size_t Index) {
    return std::tie(Members[Index].Hash, Members[Index].Fleet.Name);
  });
  for (std::size_t Place = 0; Place < Circle.size(); ++Place)
    Members[Circle[Place]].Place = Place;
  Listed = static_cast<std::size_t>(
      std::ranges::count_if(Members, &member::isListed));
  const member *Own = find(Self);
  const member *Next = Own ? backupOf(*Own, /*WithFormer=*/false) : nullptr;
  Backup = Next ? Next->Fleet.Name : "";
}

const stream_keepers::member *
stream_keepers::find(std::string_view Name) const {
  const auto Found = std::ranges::find_if(Members, [&](const member &Member) {
    return Member.isListed() && Member.Fleet.Name == Name;
  });
  return Found == Members.end() ? nullptr : &*Found;
}

bool stream_keepers::contains(std::string_view Name) const {
  return find(Name) != nullptr;
}

bool stream_keepers::isNear(std::string_view Name) const {
  const member *Member = find(Name);
  return Member && Member->Fleet.Domain == Domain;
}

std::span<const stream_keepers::member>
stream_keepers::domainAt(std::size_t Begin) const {
  std::size_t End = Begin;
  while (End < Members.size() &&
         Members[End].Fleet.Domain == Members[Begin].Fleet.Domain)
    ++End;
  return std::span(Members).subspan(Begin, End - Begin);
}

std::vector<const stream_keepers::member *>
stream_keepers::ranked(std::span<const member> Members, std::uint64_t Stream,
                       bool WithFormer) {
  std::vector<std::pair<std::uint64_t, const member *>> Ranked;
  for (const member &Member : Members)
    if (WithFormer || Member.isListed())
      Ranked.emplace_back(rankOf(Member.Fleet.Name, Stream), &Member);
  // Members of a domain are ordered by name, which breaks ties.
  const std::size_t Count = std::min(KeepersPerDomain, Ranked.size());
  std::ranges::partial_sort(Ranked, Ranked.begin() +
                                        static_cast<std::ptrdiff_t>(Count));
  std::vector<const member *> Best;
  for (std::size_t Index = 0; Index < Count; ++Index)
    Best.push_back(Ranked[Index].second);
  return Best;
}

const stream_keepers::member *stream_keepers::backupOf(const member &Member,
                                                       bool WithFormer) const {
  const auto Own = Circle.begin() + static_cast<std::ptrdiff_t>(Member.Place);
  const auto Fits = [&](std::size_t Other) {
    return Members[Other].Fleet.Domain != Member.Fleet.Domain &&
           (WithFormer || Members[Other].isListed());
  };
  auto Next = std::find_if(Own, Circle.end(), Fits);
  if (Next == Circle.end())
    Next = std::find_if(Circle.begin(), Own, Fits);
  return Next == Circle.end() || !Fits(*Next) ? nullptr : &Members[*Next];
}

std::vector<const stream_keepers::member *>
stream_keepers::ownKeepers(std::uint64_t Stream) const {
  const auto Begin = std::ranges::lower_bound(
      Members, Domain, {}, [](const member &Member) -> const std::string & {
        return Member.Fleet.Domain;
      });
  if (Begin == Members.end() || Begin->Fleet.Domain != Domain)
    return {};
  return ranked(domainAt(static_cast<std::size_t>(Begin - Members.begin())),
                Stream, /*WithFormer=*/false);
}

std::vector<std::string_view>
stream_keepers::nearKeepers(std::uint64_t Stream) const {
  std::vector<std::string_view> Names;
  for (const member *Member : ownKeepers(Stream))
    if (Member->Fleet.Name != Self)
      Names.push_back(Member->Fleet.Name);
  return Names;
}

bool stream_keepers::isFirst(std::uint64_t Stream) const {
  const auto Best = ownKeepers(Stream);
  return !Best.empty() && Best.front()->Fleet.Name == Self;
}

lookup_peers stream_keepers::peersToAsk(std::uint64_t Stream) const {
  lookup_peers Peers;
  if (Listed <= AskAllUpTo) {
    for (const member &Member : Members)
      if (Member.isListed() && Member.Fleet.Name != Self)
        Peers.First.push_back(Member.Fleet.Name);
    return Peers;
  }
  std::vector<bool> Added(Members.size());
  const auto Add = [&](std::vector<std::string> &Names, const member *Member) {
    if (!Member || !Member->isListed() || Member->Fleet.Name == Self)
      return;
    const auto Index = static_cast<std::size_t>(Member - Members.data());
    if (!Added[Index])
      Names.push_back(Member->Fleet.Name);
    Added[Index] = true;
  };
  std::vector<const member *> Later;
  for (std::size_t Begin = 0; Begin < Members.size();) {
    const auto Group = domainAt(Begin);
    Begin += Group.size();
    const auto Now = ranked(Group, Stream, /*WithFormer=*/false);
    const auto Before = ranked(Group, Stream, /*WithFormer=*/true);
    for (std::size_t Rank = 0; Rank < Now.size(); ++Rank)
      if (Rank == 0 || Group.front().Fleet.Domain == Domain)
        Add(Peers.First, Now[Rank]);
      else
        Later.push_back(Now[Rank]);
    if (!Now.empty())
      Later.push_back(backupOf(*Now.front(), /*WithFormer=*/false));
    // The record may be older than the last change of the members.
    Later.push_back(backupOf(*Before.front(), /*WithFormer=*/true));
    Later.push_back(backupOf(*Before.front(), /*WithFormer=*/false));
  }
  for (const member *Member : Later)
    Add(Peers.Second, Member);
  return Peers;
}

} // namespace ebonyvale
