#include "decisions/process/hint_exchange.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace ebonyvale {

void hint_exchange::append(std::deque<segment_hint> &Queue,
                           const segment_hint &Hint) {
  Queue.push_back(Hint);
  if (Queue.size() > MaxKept)
    Queue.pop_front();
}

void hint_exchange::addOwn(std::span<const segment_hint> Hints) {
  for (const segment_hint &Hint : Hints) {
    append(Local, Hint);
    append(Outbound, Hint);
  }
  LocalAdded += Hints.size();
}

bool hint_exchange::isFirst(const gossip_schedule::peer_map &Peers) const {
  const auto End = Peers.lower_bound(Self);
  return std::none_of(Peers.begin(), End, [this](const auto &Peer) {
    return Peer.second.Domain == Domain;
  });
}

void hint_exchange::onPeerHints(std::string_view From,
                                std::span<const segment_hint> Hints,
                                const gossip_schedule::peer_map &Peers) {
  // In a small fleet, the sender has sent them to all.
  if (Peers.size() <= gossip_schedule::FanOut)
    return;
  const auto Sender = Peers.find(From);
  if (Sender == Peers.end() || !isFirst(Peers))
    return;
  const bool IsOwn = Sender->second.Domain == Domain;
  for (const segment_hint &Hint : Hints)
    append(IsOwn ? Outbound : Local, Hint);
  if (!IsOwn)
    LocalAdded += Hints.size();
}

std::vector<segment_hint>
hint_exchange::takeFor(std::span<const std::string_view> Receivers) {
  std::uint64_t Unsent = 0;
  for (const std::string_view Name : Receivers) {
    std::uint64_t &Sent = LocalSent[std::string(Name)];
    Unsent = std::max(Unsent, LocalAdded - std::exchange(Sent, LocalAdded));
  }
  Unsent = std::min<std::uint64_t>({Unsent, Local.size(), MaxInMessage});
  return {Local.end() - static_cast<std::ptrdiff_t>(Unsent), Local.end()};
}

std::vector<std::string_view>
hint_exchange::otherDomains(const gossip_schedule::peer_map &Peers) const {
  std::vector<std::string_view> Firsts;
  if (Peers.size() <= gossip_schedule::FanOut || !isFirst(Peers))
    return Firsts;
  std::map<std::string_view, std::string_view> FirstOf;
  for (const auto &[Name, Entry] : Peers)
    if (Entry.Domain != Domain)
      FirstOf.try_emplace(Entry.Domain, Name);
  for (const auto &[OtherDomain, Name] : FirstOf)
    Firsts.push_back(Name);
  return Firsts;
}

std::vector<segment_hint> hint_exchange::takeForOtherDomains() {
  const std::size_t Count = std::min(Outbound.size(), MaxInMessage);
  std::vector<segment_hint> Taken(
      std::make_move_iterator(Outbound.end() -
                              static_cast<std::ptrdiff_t>(Count)),
      std::make_move_iterator(Outbound.end()));
  Outbound.clear();
  return Taken;
}

} // namespace ebonyvale
