#include "decisions/process/instance_roster.h"

#include <algorithm>

namespace ebonyvale {

void instance_roster::putEntry(std::string_view Name,
                               const instance_endpoint &Entry, instant Now) {
  const auto [Found, New] = Instances.try_emplace(std::string(Name));
  Found->second.Entry = Entry;
  if (New)
    Found->second.AbsentSince = Now;
  updatePeer(Name);
}

void instance_roster::removeEntry(std::string_view Name) {
  if (const auto Found = Instances.find(Name);
      Found != Instances.end() && !Found->second.HasPresence)
    Instances.erase(Found);
}

void instance_roster::putPresence(std::string_view Name, instant) {
  Instances[std::string(Name)].HasPresence = true;
  updatePeer(Name);
}

void instance_roster::removePresence(std::string_view Name, instant Now) {
  const auto Found = Instances.find(Name);
  if (Found == Instances.end() || !Found->second.HasPresence)
    return;
  Found->second.HasPresence = false;
  Found->second.AbsentSince = Now;
  updatePeer(Name);
}

void instance_roster::updatePeer(std::string_view Name) {
  const auto Found = Instances.find(Name);
  const bool IsPeer = Found != Instances.end() && Found->second.HasPresence &&
                      Found->second.Entry && Name != Self;
  const auto Known = Peers.find(Name);
  if (!IsPeer) {
    if (Known == Peers.end())
      return;
    Peers.erase(Known);
  } else if (Known == Peers.end()) {
    Peers.emplace(Name, *Found->second.Entry);
  } else if (Known->second != *Found->second.Entry) {
    Known->second = *Found->second.Entry;
  } else {
    return;
  }
  ++Generation;
}

std::size_t instance_roster::quotaShareCount(instant Now,
                                             instant Started) const {
  // This instance has a share even before its own entry has been read.
  const auto Peers = std::ranges::count_if(Instances, [&](const auto &Listed) {
    return Listed.first != Self && counts(Listed.second, Now, Started);
  });
  return static_cast<std::size_t>(Peers) + 1;
}

std::size_t instance_roster::spendingCount(instant Now, span_ns Window) const {
  const span_ns Grace = std::max<span_ns>(Window, PresenceGrace);
  const auto Peers = std::ranges::count_if(Instances, [&](const auto &Listed) {
    const state &State = Listed.second;
    return Listed.first != Self &&
           (State.HasPresence || Now - State.AbsentSince < Grace);
  });
  return static_cast<std::size_t>(Peers) + 1;
}

std::vector<std::pair<std::string_view, std::string_view>>
instance_roster::countedPeers(instant Now, instant Started) const {
  std::vector<std::pair<std::string_view, std::string_view>> Counted;
  for (const auto &[Name, State] : Instances)
    if (Name != Self && counts(State, Now, Started))
      Counted.emplace_back(Name, State.Entry ? State.Entry->Domain
                                             : std::string_view());
  return Counted;
}

std::vector<std::string> instance_roster::staleEntries(instant Now) const {
  std::vector<std::string> Names;
  for (const auto &[Name, State] : Instances)
    if (!State.HasPresence && Name != Self &&
        Now - State.AbsentSince >= StaleEntryAge)
      Names.push_back(Name);
  return Names;
}

} // namespace ebonyvale
