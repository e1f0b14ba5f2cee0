/// \file
/// Distributes hints on cached segments over the fleet.
#ifndef EBONYVALE_DECISIONS_PROCESS_HINT_EXCHANGE_H
#define EBONYVALE_DECISIONS_PROCESS_HINT_EXCHANGE_H

#include "decisions/process/gossip_schedule.h"
#include "decisions/process/upstream_scheduler.h"

#include <cstdint>
#include <deque>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace ebonyvale {

/// Every instance should know which engine caches a segment, whoever had it
/// prefilled. An instance sends its hints to the peers of its failure domain.
/// The first instance of a domain collects them and sends them to the first
/// ones of the other domains, which pass them on in theirs: so a hint crosses
/// between two domains once, not once for each receiver.
class hint_exchange {
public:
  /// Hints that are kept for receivers which have not been sent them yet.
  static constexpr std::size_t MaxKept = 2048;
  /// Hints in one message, so that it fits into a datagram.
  static constexpr std::size_t MaxInMessage = 800;

  hint_exchange(std::string Self, std::string Domain)
      : Self(std::move(Self)), Domain(std::move(Domain)) {}

  /// Adds hints of this instance.
  void addOwn(std::span<const segment_hint> Hints);

  /// Handles hints of the peer \p From. Hints from another domain are passed on
  /// in the own one, others are collected for the other domains.
  void onPeerHints(std::string_view From, std::span<const segment_hint> Hints,
                   const gossip_schedule::peer_map &Peers);

  /// Returns the hints that some of \p Receivers, peers of the own domain or of
  /// a small fleet, have not been sent.
  std::vector<segment_hint>
  takeFor(std::span<const std::string_view> Receivers);

  /// Returns the peers that get the domain's hints, if this instance is the one
  /// that sends them: the first one of each other domain.
  std::vector<std::string_view>
  otherDomains(const gossip_schedule::peer_map &Peers) const;

  /// Returns the hints of the domain that were not yet sent to other domains.
  std::vector<segment_hint> takeForOtherDomains();

private:
  bool isFirst(const gossip_schedule::peer_map &Peers) const;
  static void append(std::deque<segment_hint> &Queue, const segment_hint &Hint);

  std::string Self;
  std::string Domain;
  std::deque<segment_hint> Local; ///< for the own domain, the oldest first
  std::uint64_t LocalAdded = 0;   ///< since the start
  /// Value of `LocalAdded` at the last message to a peer, by its name.
  std::map<std::string, std::uint64_t, std::less<>> LocalSent;
  std::deque<segment_hint> Outbound; ///< for the other domains
};

} // namespace ebonyvale

#endif
