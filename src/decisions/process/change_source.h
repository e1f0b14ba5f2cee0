/// \file
/// Decides whether an instance follows the store itself or a peer that does.
#ifndef EBONYVALE_DECISIONS_PROCESS_CHANGE_SOURCE_H
#define EBONYVALE_DECISIONS_PROCESS_CHANGE_SOURCE_H

#include "common/instant.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ebonyvale {

struct change_source_options {
  /// Time without a response after which a poll counts as lost.
  span_ns ResponseTimeout = std::chrono::milliseconds(250);
  /// Lost polls in a row after which a peer is avoided.
  unsigned MaxLostPolls = 2;
  /// Largest age of a peer's last read of the store.
  span_ns MaxReadAge = std::chrono::milliseconds(2000);
  /// Time for which a peer is not polled after it was lost or out of date.
  span_ns AvoidTime = std::chrono::seconds(5);
  /// Number of peers that an instance may follow: the first ones by name. If
  /// all are avoided, it follows the store.
  std::size_t MaxCandidates = 3;
};

/// Store calls are billed and limited for the whole fleet. So that their number
/// does not grow with the fleet, the first instance of a failure domain by name
/// follows the store and the others poll it. Each instance decides by itself
/// from what its polls return; a peer that is silent, frozen or cut off from
/// the store is replaced by the next one, and finally by the store itself.
///
/// Answers a load of hundreds of instances that follow one small set of
/// documents.
class change_source {
public:
  /// A poll in flight.
  struct poll {
    std::string Peer;
    std::uint64_t Number = 0;
    instant SentAt;
  };

  change_source(std::string Self, const change_source_options &Options)
      : Self(std::move(Self)), Options(Options) {}

  /// Sets the other live instances of the failure domain.
  void setPeers(const std::vector<std::string> &Names);

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

  std::string Self;
  change_source_options Options;
  std::vector<std::string> Candidates; ///< before this instance by name
  std::map<std::string, instant, std::less<>> AvoidUntil;
  std::optional<poll> Pending;
  unsigned LostPolls = 0; ///< in a row
  std::uint64_t LastNumber = 0;
};

} // namespace ebonyvale

#endif
