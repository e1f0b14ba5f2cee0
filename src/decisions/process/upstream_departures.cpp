#include "decisions/process/upstream_departures.h"

#include <algorithm>

namespace ebonyvale {

bool upstream_departures::add(const upstream_process &Process, instant Now) {
  if (contains(Process))
    return false;
  Known[Process.Id].push_back({Process, Now, Now});
  return true;
}

bool upstream_departures::contains(const upstream_process &Process) const {
  const auto OfId = Known.find(Process.Id);
  return OfId != Known.end() &&
         std::ranges::find(OfId->second, Process, &departure::Process) !=
             OfId->second.end();
}

std::vector<upstream_process>
upstream_departures::knownSince(instant Since) const {
  std::vector<upstream_process> Processes;
  for (const auto &[Id, OfId] : Known)
    for (const departure &Departure : OfId)
      if (Departure.LearnedAt >= Since)
        Processes.push_back(Departure.Process);
  return Processes;
}

bool upstream_departures::expire(
    const std::function<bool(const upstream_process &)> &IsListed,
    instant Now) {
  std::size_t Forgotten = 0;
  for (auto &[Id, OfId] : Known) {
    for (departure &Departure : OfId)
      if (Departure.Process.Born != 0 && IsListed(Departure.Process))
        Departure.NeededAt = Now;
    Forgotten += std::erase_if(OfId, [Now](const departure &Departure) {
      return Now - Departure.NeededAt > KeepUnlisted;
    });
    for (; OfId.size() > MaxOfId; ++Forgotten)
      OfId.erase(std::ranges::min_element(OfId, {}, &departure::NeededAt));
  }
  std::erase_if(Known, [](const auto &OfId) { return OfId.second.empty(); });
  return Forgotten > 0;
}

std::size_t upstream_departures::size() const {
  std::size_t Size = 0;
  for (const auto &[Id, OfId] : Known)
    Size += OfId.size();
  return Size;
}

} // namespace ebonyvale
