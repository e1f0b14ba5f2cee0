/// \file
/// Decides whether an instance follows the store itself or a peer that does.
#ifndef EBONYVALE_DECISIONS_PROCESS_CHANGE_SOURCE_H
#define EBONYVALE_DECISIONS_PROCESS_CHANGE_SOURCE_H

#include "common/instant.h"
#include "decisions/process/instance_roster.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace ebonyvale {

struct change_source_options {
  /// Lost polls in a row after which a peer is avoided.
  unsigned MaxLostPolls = 2;
  /// Largest age of a peer's last read of the store.
  span_ns MaxReadAge = std::chrono::milliseconds(2000);
  /// Time for which a peer is not polled after it was lost or out of date.
  span_ns AvoidTime = std::chrono::seconds(5);
};

/// Number of peers of the own failure domain, and of other domains, that an
/// instance may follow.
inline constexpr std::size_t MaxOwnCandidates = 3;
inline constexpr std::size_t MaxOtherCandidates = 2;

/// Returns the peers that \p Self may follow, the preferred one first. These
/// are the peers of its failure domain \p Domain with earlier names, then the
/// first peer of each other domain. The first instance of a domain has no peer
/// to prefer; it may follow the first ones of other domains with earlier names.
/// So the first instance of the fleet follows the store.
std::vector<std::string> followCandidates(
    std::string_view Self, std::string_view Domain,
    const std::map<std::string, instance_endpoint, std::less<>> &Peers);

/// Store calls are billed and limited for the whole fleet. So that their number
/// does not grow with the fleet, the first instance by name follows the store,
/// the first one of each failure domain follows that instance, and the others
/// follow the first one of their domain. Each instance decides by itself from
/// what its polls return; a peer that is silent, frozen or cut off from the
/// store is replaced by the next candidate, and finally by the store itself.
///
/// The load it is for: hundreds of instances that need the same few documents.
class change_source {
public:
  /// A poll in flight.
  struct poll {
    std::string Peer;
    std::uint64_t Number = 0;
    instant SentAt;
  };

  explicit change_source(const change_source_options &Options)
      : Options(Options) {}

  /// Sets the peers that may be followed, see `followCandidates`.
  void setCandidates(std::vector<std::string> Names) {
    Candidates = std::move(Names);
  }

  /// Changes the largest age of a peer's last read.
  void setMaxReadAge(span_ns Age) { Options.MaxReadAge = Age; }

  /// Returns the peer to follow, or nothing for the store.
  std::optional<std::string_view> choose(instant Now) const;

  /// Begins a poll of \p Peer; an earlier one is given up.
  const poll &startPoll(std::string_view Peer, instant Now);

  /// Returns the poll in flight, if any.
  const std::optional<poll> &pending() const { return Pending; }

  /// Handles a response. \p ReadAge is the age of the peer's last read when it
  /// responded. Returns the time at or after which the peer's state is known to
  /// have been read from the store, by the clock of this instance; nothing if
  /// the response is not to the pending poll, or too old to be used.
  std::optional<instant> onResponse(std::string_view Peer, std::uint64_t Number,
                                    std::optional<span_ns> ReadAge,
                                    instant Now);

  /// Handles the pending poll's timeout: gives it up, and avoids the peer if
  /// too many polls were lost.
  void onTimeout(instant Now);

private:
  void avoid(std::string_view Peer, instant Now);

  change_source_options Options;
  std::vector<std::string> Candidates; ///< the preferred one first
  std::map<std::string, instant, std::less<>> AvoidUntil;
  std::optional<poll> Pending;
  unsigned LostPolls = 0; ///< in a row
  std::uint64_t LastNumber = 0;
};

} // namespace ebonyvale

#endif
