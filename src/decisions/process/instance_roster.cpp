#include "decisions/process/instance_roster.h"

#include <algorithm>

namespace ebonyvale {

void instance_roster::putEntry(std::string_view Name, const roster_entry &Entry,
                               instant Now) {
  const auto [Found, New] = Instances.try_emplace(std::string(Name));
  Found->second.Entry = Entry;
  if (New)
    Found->second.UnmarkedAt = Now;
}

void instance_roster::removeEntry(std::string_view Name) {
  if (const auto Found = Instances.find(Name);
      Found != Instances.end() && !Found->second.Marked)
    Instances.erase(Found);
}

void instance_roster::putMark(std::string_view Name, instant) {
  Instances[std::string(Name)].Marked = true;
}

void instance_roster::removeMark(std::string_view Name, instant Now) {
  const auto Found = Instances.find(Name);
  if (Found == Instances.end() || !Found->second.Marked)
    return;
  Found->second.Marked = false;
  Found->second.UnmarkedAt = Now;
}

std::size_t instance_roster::sharers(instant Now, instant Started) const {
  const bool Starting = Now - Started < StartTerm;
  const auto Counts = [&](const auto &Instance) {
    const state &State = Instance.second;
    return State.Marked || Starting || Now - State.UnmarkedAt < GoneTerm;
  };
  const auto Count =
      static_cast<std::size_t>(std::ranges::count_if(Instances, Counts));
  // This instance shares as well, also before its own entry has been read.
  const auto Own = Instances.find(Self);
  const bool OwnCounted = Own != Instances.end() && Counts(*Own);
  return OwnCounted ? Count : Count + 1;
}

std::vector<std::pair<std::string, roster_entry>>
instance_roster::peers() const {
  std::vector<std::pair<std::string, roster_entry>> Found;
  for (const auto &[Name, State] : Instances)
    if (State.Marked && State.Entry && Name != Self)
      Found.emplace_back(Name, *State.Entry);
  return Found;
}

std::vector<std::string> instance_roster::forgotten(instant Now) const {
  std::vector<std::string> Names;
  for (const auto &[Name, State] : Instances)
    if (!State.Marked && Name != Self && Now - State.UnmarkedAt >= ForgetTerm)
      Names.push_back(Name);
  return Names;
}

} // namespace ebonyvale
