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
#include <utility>

namespace ebonyvale {

/// What a response says of the version that sent it.
struct response_outcome {
  /// The upstream itself answered with a server error, with bytes that are no
  /// response, or ended while it ran the request. Not counted at all: lost
  /// connections that the network or a planned stop explains, refusals that say
  /// "not run", requests that the caller has left.
  bool Failed = false;
  /// Time to the first byte of the response. Nothing: it says little of the
  /// version, since the upstream has just started, had to read prompt segments
  /// that it did not cache, or the caller was slow.
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
enum response_group : std::size_t {
  FormerVersions = 0,
  NewFirst = 1,
  NewSecond = 2
};

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
  /// Shares of failures and of late responses above those of former versions
  /// that a sound version may have.
  static constexpr double FailureTolerance = 0.003;
  static constexpr double LatenessTolerance = 0.05;
  /// Time over which the former versions' shares are averaged.
  static constexpr span_ns BaselineTime = std::chrono::seconds(5);
  /// Largest number of processes of this domain that are kept apart.
  static constexpr std::size_t MaxPeers = 512;
  static constexpr std::size_t MaxDomains = 128;
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
  static constexpr std::size_t Alternatives = 3;
  /// The halves of the ordered version's upstreams, and both together.
  static constexpr std::size_t Parts = 3;
  static constexpr std::size_t Both = 2;
  using counts_by_route = std::map<std::string, route_counts, std::less<>>;

  /// Responses of one kind that came at the same time, by `response_group`.
  struct slice {
    std::array<double, 3> Trials{};
    std::array<double, 3> Bad{};
  };

  /// A sequential test of one kind of bad responses on one route.
  struct sequential_test {
    std::array<std::array<double, Alternatives>, Parts> LogRatios{};
    std::array<double, Parts> Trials{};
    std::array<double, Parts> Bad{};
    /// Alternatives that have been ruled out, and nothing has spoken for since.
    std::array<std::array<bool, Alternatives>, Parts> RuledOut{};
    double Excess = 0;   ///< over what former versions explain
    double Variance = 0; ///< of the excess of a sound version

    /// Adds a slice in which former versions have the share \p FormerRate of
    /// bad responses; \p Effects are the shares that alternatives add to it.
    void add(const slice &Slice, double FormerRate,
             const std::array<double, Alternatives> &Effects);
    /// Logarithm of the likelihood ratio, averaged over the alternatives.
    double logRatio(std::size_t Part) const;
    double bound() const;
    /// Returns whether both halves speak for a fault.
    bool isConfirmed() const;
    /// Returns the half that has the smaller share of bad responses.
    std::size_t betterHalf() const;
    /// Returns the probability that the better half has so few of the bad
    /// responses by chance, exactly where it matters (binomial distribution).
    double splitChance() const;
    /// Returns whether the bad responses of one half cannot be the version's:
    /// the other half would have had more of them.
    bool isOneSided() const;
    /// Returns the part of the upstreams that shows what the version does.
    std::size_t decidingPart() const {
      return isOneSided() ? betterHalf() : Both;
    }
    bool isRuledOut(std::size_t Alternative) const {
      return RuledOut[decidingPart()][Alternative];
    }
  };
  struct route_test {
    route_counts Seen; ///< counters that the tests include
    sequential_test Failures;
    sequential_test Lateness;
    /// Of the former versions, decaying with `BaselineTime`.
    double Trials = 0;
    double Failed = 0;
    std::array<double, response_counts::Classes> Latencies{};
  };
  struct source_state {
    std::size_t Instances = 1;
    instant HeardAt;
    counts_by_route Routes;
  };

  counts_by_route sumOfDomain() const;
  counts_by_route sumOfAll() const;
  double heardShare(instant Now) const;
  /// Returns the class of latencies from which on a response is late, or
  /// nothing while too few of former versions are known.
  static std::optional<std::size_t> lateClass(const route_test &Test);
  /// Adds the new responses among \p Counts to the tests of their route and to
  /// those of all routes.
  void testRoute(const route_counts &Counts, route_test &Test, double Decay);
  void judge(std::string_view Route, const route_test &Test,
             const sequential_test &Kind, std::string_view Reason,
             double MostExcess, release_verdict &Result) const;

  std::string Service;
  std::int64_t OrderRevision = 0;
  std::size_t Instances = 1;
  counts_by_route Own;
  /// Sum of sources of this domain that were dropped.
  counts_by_route Dropped;
  /// By name and boot.
  std::map<std::pair<std::string, std::int64_t>, source_state> Peers;
  std::map<std::string, source_state, std::less<>> Domains;
  std::map<std::string, route_test, std::less<>> Tests;
  route_test AllRoutes; ///< a small fault shows only on all of them together
  release_verdict Verdict;
  instant BeganAt;
  std::optional<instant> TestedAt;
};

} // namespace ebonyvale

#endif
