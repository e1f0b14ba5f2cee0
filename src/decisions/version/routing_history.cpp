#include "decisions/version/routing_history.h"

#include <algorithm>
#include <utility>

namespace ebonyvale {

void routing_history::onInForce(routing_table_ptr Next, instant Now) {
  if (!Periods.empty())
    Periods.back().Until = Now;
  const bool KnowsAll = Periods.empty() && IsFirst && !HasMissed;
  Periods.push_back(
      {std::move(Next), KnowsAll ? instant::min() : Now, instant::max()});
  while (Periods.size() > MaxTables || Now - Periods.front().Until > Memory) {
    Periods.pop_front();
    HasMissed = true;
  }
}

void routing_history::onFirstInstance() {
  IsFirst = true;
  if (!HasMissed && !Periods.empty())
    Periods.front().From = instant::min();
}

std::optional<instant>
routing_history::noneBefore(std::uint64_t Version) const {
  for (const period &Period : Periods)
    if (Period.Table->Version >= Version)
      return Period.From;
  return std::nullopt;
}

void routing_history::onPeerKnows(std::uint64_t Version, instant Since) {
  if (Version != 0 && Version == oldestVersion())
    Periods.front().From = std::min(Periods.front().From, Since);
}

bool routing_history::ledOnlyTo(std::string_view Service, std::string_view Host,
                                std::string_view Path, instant Since) const {
  if (Periods.empty() || Periods.front().From > Since)
    return false;
  return std::ranges::all_of(Periods, [&](const period &Period) {
    const forward_route *Route = Period.Table->findRoute(Host, Path);
    return !Route || std::ranges::all_of(
                         Route->Split, [&](const weighted_service &Candidate) {
                           return Candidate.Weight <= 0 ||
                                  Candidate.Service == Service;
                         });
  });
}

span_ns routing_history::longestTimeout(std::string_view Host,
                                        std::string_view Path) const {
  span_ns Longest{0};
  for (const period &Period : Periods)
    if (const forward_route *Route = Period.Table->findRoute(Host, Path))
      Longest = std::max(Longest, Route->Timeout);
  return Longest;
}

} // namespace ebonyvale
