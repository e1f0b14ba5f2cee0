#include "decisions/process/release_receivers.h"

#include <algorithm>

namespace ebonyvale {

release_receivers::round release_receivers::next(const peer_map &Peers,
                                                 std::string_view Decider) {
  // Instances begin at different peers, so that each gets as many messages.
  if (LastNear.empty())
    LastNear = LastOther = Self;
  round Round{take(Peers, /*IsOwn=*/true, NearFanOut, LastNear),
              take(Peers, /*IsOwn=*/false, OtherFanOut, LastOther)};
  const bool IsFirst = std::ranges::none_of(Peers, [this](const auto &Peer) {
    return Peer.second.Domain == Domain && Peer.first < Self;
  });
  const auto Found = Peers.find(Decider);
  if (IsFirst && Found != Peers.end() && Found->second.Domain != Domain &&
      std::ranges::find(Round.Others, Decider) == Round.Others.end())
    Round.Others.push_back(Found->first);
  return Round;
}

std::vector<std::string_view> release_receivers::take(const peer_map &Peers,
                                                      bool IsOwn,
                                                      std::size_t Count,
                                                      std::string &Last) const {
  std::vector<std::string_view> Taken;
  auto Next = Peers.upper_bound(Last);
  for (std::size_t Visited = 0; Visited < Peers.size() && Taken.size() < Count;
       ++Visited, ++Next) {
    if (Next == Peers.end())
      Next = Peers.begin();
    if ((Next->second.Domain == Domain) == IsOwn)
      Taken.push_back(Next->first);
  }
  if (!Taken.empty())
    Last = Taken.back();
  return Taken;
}

} // namespace ebonyvale
