#include "decisions/version/routing_history.h"

#include <algorithm>
#include <utility>

namespace ebonyvale {

void routing_history::onInForce(routing_table_ptr Next, instant Now) {
  if (!Periods.empty())
    Periods.back().Until = Now;
  Periods.push_back({std::move(Next), Now, instant::max()});
  while (Periods.size() > MaxTables || Now - Periods.front().Until > Memory)
    Periods.pop_front();
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
