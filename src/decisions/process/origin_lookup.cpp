#include "decisions/process/origin_lookup.h"

#include "decisions/process/stream_origins.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace ebonyvale {

origin_lookup::origin_lookup(lookup_peers Peers, instant Now)
    : Pending(std::move(Peers.First)), Second(std::move(Peers.Second)),
      RepeatAt(Now), EndsAt(Now + Timeout) {}

std::vector<std::string> origin_lookup::takeToAsk(instant Now) {
  if (state(Now) != lookup_state::Pending)
    return {};
  // None are left to answer when all first peers know nothing.
  if (Now < RepeatAt && !Pending.empty())
    return {};
  RepeatAt = Now + RepeatAfter;
  if (std::exchange(Started, true) || Pending.empty())
    std::ranges::move(std::exchange(Second, {}), std::back_inserter(Pending));
  return Pending;
}

void origin_lookup::onAnswer(std::string_view Peer,
                             std::optional<std::string_view> Known) {
  std::erase(Pending, Peer);
  if (Known && isUnknownSoftware(*Known))
    Begun = true;
  else if (Known && Software.empty())
    Software = *Known;
}

lookup_state origin_lookup::state(instant Now) const {
  if (!Software.empty())
    return lookup_state::Known;
  if (Now >= EndsAt || (Pending.empty() && Second.empty()))
    return Begun ? lookup_state::Uncertain : lookup_state::Unknown;
  return lookup_state::Pending;
}

} // namespace ebonyvale
