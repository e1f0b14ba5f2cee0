#include "decisions/process/gossip_schedule.h"

#include <algorithm>

namespace ebonyvale {

gossip_receivers gossip_schedule::next(const peer_map &Peers) {
  gossip_receivers Receivers;
  if (Peers.size() <= FanOut) {
    for (const auto &[Name, Entry] : Peers)
      Receivers.Near.push_back(Name);
    return Receivers;
  }
  append(Peers, /*IsOwn=*/true, LastOwn, Receivers.Near);
  if (Round++ % OtherDomainsInterval == 0)
    append(Peers, /*IsOwn=*/false, LastOther, Receivers.OtherDomains);
  return Receivers;
}

void gossip_schedule::append(const peer_map &Peers, bool IsOwn,
                             std::string &Last,
                             std::vector<std::string_view> &Receivers) const {
  auto Next = Peers.upper_bound(Last);
  for (std::size_t Visited = 0;
       Visited < Peers.size() && Receivers.size() < FanOut; ++Visited, ++Next) {
    if (Next == Peers.end())
      Next = Peers.begin();
    if ((Next->second.Domain == Domain) != IsOwn)
      continue;
    Receivers.push_back(Next->first);
    Last = Next->first;
  }
}

std::size_t gossip_schedule::rounds(const peer_map &Peers) const {
  if (Peers.size() <= FanOut)
    return 1;
  const auto Own = static_cast<std::size_t>(
      std::ranges::count_if(Peers, [this](const auto &Peer) {
        return Peer.second.Domain == Domain;
      }));
  return std::max<std::size_t>(1, (Own + FanOut - 1) / FanOut);
}

} // namespace ebonyvale
