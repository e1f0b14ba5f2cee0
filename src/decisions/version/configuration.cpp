#include "decisions/version/configuration.h"

#include <algorithm>

namespace ebonyvale {
namespace {

bool matchesPrefix(std::string_view Path, std::string_view Prefix) {
  if (!Path.starts_with(Prefix))
    return false;
  return Path.size() == Prefix.size() || Prefix.ends_with('/') ||
         Path[Prefix.size()] == '/';
}

} // namespace

void configuration::rebuildIndexes() {
  KeyIdsByHash.clear();
  for (const auto &[Id, Key] : Keys)
    KeyIdsByHash.emplace(Key.Hash, Id);
  RoutesByLength.clear();
  for (const auto &[Name, Route] : Routes)
    RoutesByLength.push_back(Name);
  std::ranges::stable_sort(RoutesByLength, std::ranges::greater{},
                           [this](const std::string &Name) {
                             return Routes.find(Name)->second.Prefix.size();
                           });
}

const key_entry *configuration::findKey(const digest &Hash) const {
  // The lookup is not constant-time, but its timing reveals at most bits of an
  // HMAC whose secret the caller does not know. The comparison below is.
  const auto Found = KeyIdsByHash.find(toHex(Hash));
  if (Found == KeyIdsByHash.end())
    return nullptr;
  const key_entry &Key = Keys.find(Found->second)->second;
  const auto Stored = digestFromHex(Key.Hash);
  if (!Stored || !sameDigest(*Stored, Hash))
    return nullptr;
  return &Key;
}

const route *configuration::findRoute(std::string_view Path) const {
  for (const std::string &Name : RoutesByLength) {
    const route &Route = Routes.find(Name)->second;
    if (matchesPrefix(Path, Route.Prefix))
      return &Route;
  }
  return nullptr;
}

std::vector<const upstream *>
configuration::groupMembers(std::string_view Group) const {
  std::vector<const upstream *> Members;
  for (const auto &[Name, Upstream] : Upstreams)
    if (Upstream.Kind == "application" && Upstream.Group == Group)
      Members.push_back(&Upstream);
  return Members;
}

std::vector<const upstream *>
configuration::modelEngines(std::string_view Model) const {
  std::vector<const upstream *> Engines;
  for (const auto &[Name, Upstream] : Upstreams)
    if (Upstream.Kind == "engine" &&
        std::ranges::find(Upstream.Models, Model) != Upstream.Models.end())
      Engines.push_back(&Upstream);
  return Engines;
}

digest chainDigest(const digest &Previous, std::string_view NoteText) {
  return hashText(toHex(Previous) + std::string(NoteText));
}

} // namespace ebonyvale
