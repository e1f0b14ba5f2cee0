/// \file
/// Load that the other instances put on one upstream.
#ifndef EBONYVALE_DECISIONS_PROCESS_PEER_LOADS_H
#define EBONYVALE_DECISIONS_PROCESS_PEER_LOADS_H

#include "common/instant.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace ebonyvale {

/// Load that one instance puts on one upstream. Sums count from the instance's
/// start, so that a lost message has no lasting effect.
struct peer_load {
  std::string Upstream;
  std::int64_t InFlight = 0;
  double SentPrefillMs = 0;  ///< prefill time of all requests sent
  double HeldTokens = 0;     ///< memory of the requests in flight
  double InsertedTokens = 0; ///< inserted into its cache since the start
  /// Expected rest of the requests in flight, at usual speed; absent if the
  /// instance does not use learned costs.
  std::optional<double> RestMs;
};

/// Keeps the newest report of each peer and the totals of the current ones, so
/// that a decision over many upstreams does not visit all peers of each.
class peer_loads {
public:
  /// Time after which a peer that has not reported is forgotten.
  static constexpr span_ns ForgetAfter = std::chrono::seconds(20);

  /// What a peer has added since its previous report.
  struct additions {
    double PrefillMs = 0;
    double InsertedTokens = 0;
  };

  /// Replaces the report of the peer \p Peer. Requests that a peer sent before
  /// its first report are treated as finished. A sum below the previous one
  /// means that the peer has restarted from zero.
  additions onReport(std::uint32_t Peer, const peer_load &Load, instant Now);

  /// Stops counting reports older than \p Ttl.
  void expire(instant Now, span_ns Ttl);

  /// Returns the totals of the reports that `expire` has left.
  std::int64_t inFlight() const { return InFlight; }
  double heldTokens() const { return InFlight > 0 ? HeldTokens : 0; }
  /// Returns the expected rest of the requests whose peers have stated it, and
  /// the number of the others.
  double restMs() const { return InFlight > InFlightWithoutRest ? RestMs : 0; }
  std::int64_t inFlightWithoutRest() const { return InFlightWithoutRest; }

private:
  struct report {
    std::int64_t InFlight = 0;
    double HeldTokens = 0;
    double SentPrefillMs = 0;
    double InsertedTokens = 0;
    std::optional<double> RestMs;
    instant At;
    bool Counted = false; ///< in the totals
  };
  struct arrival {
    instant At;
    std::uint32_t Peer = 0;
  };

  void uncount(report &Report);

  std::unordered_map<std::uint32_t, report> Reports; ///< by peer
  std::deque<arrival> Arrivals;                      ///< the oldest first
  std::deque<arrival> Expired; ///< reports not counted, the oldest first
  std::int64_t InFlight = 0;
  double HeldTokens = 0;
  double RestMs = 0;
  std::int64_t InFlightWithoutRest = 0;
};

} // namespace ebonyvale

#endif
