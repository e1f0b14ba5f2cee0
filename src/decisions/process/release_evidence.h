/// \file
/// Compares the responses of an unproven version of a service's software with
/// those of the former ones. See docs/design/rollouts.md.
#ifndef EBONYVALE_DECISIONS_PROCESS_RELEASE_EVIDENCE_H
#define EBONYVALE_DECISIONS_PROCESS_RELEASE_EVIDENCE_H

#include "common/instant.h"
#include "decisions/version/software_release.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace ebonyvale {

/// What a response says of the version that sent it.
struct response_outcome {
  /// The upstream itself answered with a server error, with bytes that are no
  /// response, or ended while it ran the request. Not counted at all: lost
  /// connections that the network or a planned stop explains, refusals that say
  /// "not run", requests that the caller has left.
  bool Failed = false;
  /// Time to the first byte of the response. Nothing: it says little of the
  /// version, since the upstream has just started or the caller was slow.
  std::optional<span_ns> Latency;
};

/// Responses to one route by one group of upstreams. Counters only grow.
struct response_counts {
  /// Upper ends of the classes of latencies grow by this factor from
  /// `FirstClassMs`.
  static constexpr double ClassFactor = 1.5;
  static constexpr double FirstClassMs = 1;
  static constexpr std::size_t Classes = 24;

  std::uint64_t Responses = 0;
  std::uint64_t Failures = 0;
  std::array<std::uint64_t, Classes> Latencies{};

  void add(const response_counts &Other);
  /// Raises each counter to that of \p Other.
  void raiseTo(const response_counts &Other);
  bool operator==(const response_counts &) const = default;
};

/// Groups of upstreams: those of former versions, and the ordered version's in
/// two halves, since a fault of one upstream is none of its version.
enum response_group : std::size_t { Former = 0, NewFirst = 1, NewSecond = 2 };

/// Responses to one route by group.
using route_counts = std::array<response_counts, 3>;

/// What an instance, or the instances of a failure domain, have counted.
struct evidence_summary {
  /// Routes counted each by itself; all further ones count as `OtherRoutes`.
  static constexpr std::size_t MaxRoutes = 16;
  static constexpr std::string_view OtherRoutes = "*";

  std::string Service;
  std::int64_t OrderRevision = 0;
  std::size_t Instances = 1; ///< that it covers
  std::map<std::string, route_counts, std::less<>> Routes;
};

/// Where a summary comes from.
struct evidence_source {
  std::string Name;      ///< of the instance or of the failure domain
  std::int64_t Boot = 0; ///< identifies the process; 0 for a failure domain
  bool IsDomain = false; ///< sum over another failure domain
};

/// The evidence for one service's order, as one instance knows it: its own,
/// that of the instances of its failure domain, and a sum for each other
/// domain.
class release_evidence {
public:
  /// Probability of rolling a sound version back, per test, and of not seeing a
  /// bad one in the responses after which it counts as sound.
  static constexpr double FalseAlarm = 0.01;
  static constexpr double Miss = 0.05;
  /// Excess of bad responses over what the former versions explain that bars
  /// the version whatever the test says; the platform's bound is 50.
  static constexpr double MaxExcess = 25;
  /// An instance counts as heard for this long after its last summary.
  static constexpr span_ns HeardFor = std::chrono::seconds(3);

  /// Begins anew for an order, unless it is the one in force.
  void onOrder(const release_order &Order, instant Now);
  void clear();
  /// Sets the number of instances of the fleet, this one included.
  void setInstances(std::size_t Count) { Instances = Count; }

  void onResponse(std::string_view Route, response_group Group,
                  const response_outcome &Outcome, instant Now);

  /// Returns this process's counters, to be sent to its failure domain.
  evidence_summary ownSummary() const;
  /// Returns the sum over this instance's failure domain, to be sent to others.
  evidence_summary domainSummary() const;
  /// Merges a summary. Repeated, late and lost ones do no harm.
  void onPeerSummary(const evidence_source &Source,
                     const evidence_summary &Summary, instant Now);

  /// Adds the responses since the last call to the test, all at a time being
  /// compared with each other. Returns the result; Bad stays for the order.
  const release_verdict &verdict(instant Now);
  const release_verdict &lastVerdict() const { return Verdict; }
  /// Returns the known responses of the ordered version.
  std::uint64_t newResponses() const;

private:
  /// A sequential test of one kind of bad responses.
  struct sequential_test {
    std::array<std::array<double, 3>, 3> LogRatios{}; ///< by part, alternative
    std::array<std::uint64_t, 3> Trials{};            ///< by part
    double Excess = 0;
    double OldTrials = 0; ///< of the last seconds
    double OldBad = 0;
    double AllOldTrials = 0;
    double AllOldBad = 0;
    std::uint64_t Bad = 0;
  };
  struct route_test {
    route_counts Seen; ///< counters that the tests include
    sequential_test Failures;
    sequential_test Lateness;
  };
  struct peer_state {
    std::int64_t Boot = 0;
    std::size_t Instances = 1;
    instant HeardAt;
    std::map<std::string, route_counts, std::less<>> Routes;
  };

  std::map<std::string, route_counts, std::less<>> sumOfDomain() const;
  std::map<std::string, route_counts, std::less<>> sumOfAll() const;

  std::string Service;
  std::int64_t OrderRevision = 0;
  std::size_t Instances = 1;
  std::map<std::string, route_counts, std::less<>> Own;
  /// Counters of processes of this domain that have ended.
  std::map<std::string, route_counts, std::less<>> Ended;
  std::map<std::string, peer_state, std::less<>> Peers;
  std::map<std::string, peer_state, std::less<>> Domains;
  std::map<std::string, route_test, std::less<>> Tests;
  release_verdict Verdict;
  std::optional<instant> TestedAt;
};

} // namespace ebonyvale

#endif
