/// \file
/// Releases of a service's software: orders of operators, their states, and
/// the steps of the instance that decides about one. See
/// docs/design/rollouts.md.
#ifndef EBONYVALE_DECISIONS_VERSION_SOFTWARE_RELEASE_H
#define EBONYVALE_DECISIONS_VERSION_SOFTWARE_RELEASE_H

#include "common/instant.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace ebonyvale {

/// Bounds of the platform on releases.
struct release_options {
  /// Largest share of a service's requests that an unproven version may get.
  /// Zero: orders are ignored.
  double ExposeShare = 0;
  /// Requests of all instances together that it may get beyond that share.
  double CanarySlack = 0;
  /// Time from the 50th bad response until no request may be sent to it. For
  /// reports only: an instance stops as soon as it knows.
  span_ns RollbackTime = std::chrono::seconds(5);

  bool isEnabled() const { return ExposeShare > 0; }
};

/// An operator's order to move a service to a version of its software.
struct release_order {
  std::string Service;
  std::string Software;
  span_ns Duration{0};       ///< from the order to its deadline
  std::int64_t Revision = 0; ///< of the order's item in the store

  bool operator==(const release_order &) const = default;
};

/// Returns why \p Order cannot be carried out; empty: it can.
std::string faultOf(const release_order &Order);

enum class release_state {
  Running,    ///< the version gets at most its share
  Finishing,  ///< all requests go to the version; it can still be rolled back
  Completed,  ///< the former version's upstreams stop
  RolledBack, ///< the version gets no more requests
};

std::string_view toString(release_state State);

/// How far a release is, as the deciding instance has recorded in the store.
struct release_status {
  release_state State = release_state::Running;
  std::string Software;
  std::int64_t OrderRevision = 0;

  bool isFinal() const {
    return State == release_state::Completed ||
           State == release_state::RolledBack;
  }
  bool isOf(const release_order &Order) const {
    return Software == Order.Software && OrderRevision == Order.Revision;
  }
  bool operator==(const release_status &) const = default;
};

/// What the responses of a version say, compared with the former ones.
enum class evidence_state {
  Scarce,      ///< too few responses on some route
  LikelySound, ///< a fault of one route is ruled out, a small one of all is not
  Sound,       ///< both are ruled out
  Bad,
};

/// The result of the comparison, with the figures that decided it.
struct release_verdict {
  evidence_state State = evidence_state::Scarce;
  std::string Route;  ///< that decided it
  std::string Reason; ///< "failures", "lateness", "count" or "peer"
  std::uint64_t NewResponses = 0;
  std::uint64_t NewBad = 0;
  std::uint64_t OldResponses = 0;
  std::uint64_t OldBad = 0;
  double LogRatio = 0;        ///< logarithm of the likelihood ratio of the test
  double Bound = 0;           ///< of `LogRatio`
  std::uint64_t Requests = 0; ///< to the service, as far as known
  std::uint64_t Exposed = 0;  ///< of these to the ordered version
  double PerSecond = 0;       ///< requests to the service
  /// The part of these on routes with too few responses.
  double UnprovenPerSecond = 0;
};

/// The next state to record in the store. Only valid if the order and the
/// status still have the revisions they had when it was decided.
struct release_write {
  std::string Service;
  release_status Status;
  std::int64_t ExpectedOrderRevision = 0;
  std::int64_t ExpectedStatusRevision = 0; ///< 0: there is no status
  std::string Reason;                      ///< for the log
  release_verdict Verdict;                 ///< for the log
};

enum class release_write_outcome {
  Written,
  Conflict, ///< the order, the status or the claim has changed
  Unknown,  ///< no response: it may have been written, or will be
};

/// The steps of one service's release. Its state is that of the store, so that
/// any instance can go on with it; `onTick` is only called by the one that
/// holds the claim.
class software_release {
public:
  /// Time before the deadline at which `Completed` is first written. What is
  /// sent to the version after that cannot be taken back, so it is short.
  static constexpr span_ns WriteMargin = std::chrono::milliseconds(1000);
  /// The same as a share of the duration; the longer one applies.
  static constexpr double WriteMarginShare = 0.025;
  /// For how long all requests go to the version before the former one stops,
  /// so that those running there can end.
  static constexpr span_ns FinishingTime = std::chrono::milliseconds(500);
  /// Neither begins before this share of the duration; orders of a few seconds
  /// would otherwise be decided at once.
  static constexpr double MinDecisionShare = 0.7;
  /// Share of the duration at which a release is finished whose store had
  /// trouble while it ran.
  static constexpr double UnstableDecisionShare = 0.85;
  /// Logarithm of the likelihood ratio up to which nothing speaks against a
  /// version.
  static constexpr double UnsuspectedRatio = 1;
  /// Delay after which other instances complete a release that the holder of
  /// the claim was to complete.
  static constexpr span_ns StandInDelay = std::chrono::milliseconds(300);
  /// Parts of `ExposeShare` and of `CanarySlack` that a version may get which
  /// is completed without being proven, should it be bad.
  static constexpr double UnprovenShare = 0.95;
  static constexpr double UnprovenSlack = 0.9;

  /// Returns the largest share of requests that leaves room in \p ExposeShare
  /// for those that the version gets from `Finishing` to the deadline. So the
  /// bound holds whatever the version is, also if it is completed wrongly.
  static double mostShare(double ExposeShare, span_ns Duration);
  /// Time without an answer after which a write is repeated.
  static constexpr span_ns WriteRetry = std::chrono::milliseconds(300);
  /// Time without an upstream of a former version after which there is none to
  /// return to.
  static constexpr span_ns FormerGoneAfter = std::chrono::seconds(10);

  explicit software_release(const release_options &Options)
      : Options(Options) {}

  void setOptions(const release_options &New) { Options = New; }

  /// Applies the order that the store has now; the same one may be passed
  /// again. Nothing: it was withdrawn.
  void onOrder(const std::optional<release_order> &NewOrder, instant Now);
  /// Records that the order of that revision is at least \p Age old, as a peer
  /// or a record says.
  void onAge(std::int64_t OrderRevision, span_ns Age, instant Now);
  /// Applies the status in the store; nothing: there is none.
  void onStatus(const std::optional<release_status> &NewStatus,
                std::int64_t Revision);
  /// Numbers of open upstreams of the ordered and of other versions.
  void onUpstreams(std::size_t NewCount, std::size_t FormerCount, instant Now);
  void onEvidence(const release_verdict &NewVerdict) { Verdict = NewVerdict; }
  /// Records a failed or slow call to the store.
  void onStoreTrouble() { StoreTrouble = true; }
  void onWriteResult(release_write_outcome Outcome, instant Now);

  /// Returns the status to write now, if any. Must be called only while the
  /// claim is held.
  std::optional<release_write> onTick(instant Now);

  /// Returns the status that an instance without the claim may write: the end
  /// of a release whose decision was taken, or a roll-back. The revisions that
  /// it is written under let only one instance do it.
  std::optional<release_write> onStandInTick(instant Now);

  /// Returns the time since the order, as far as known.
  std::optional<span_ns> age(instant Now) const;
  const std::optional<release_order> &order() const { return Order; }
  /// Returns the status, if it is one of the order in force.
  const release_status *status() const {
    return Order && Status && Status->isOf(*Order) ? &*Status : nullptr;
  }

private:
  std::optional<release_write> write(release_state State, std::string Reason,
                                     instant Now);
  /// Returns when `Finishing` and when `Completed` is due.
  instant finishingAt() const;
  instant completedAt() const;
  /// Returns whether a write may be tried.
  bool isReady(instant Now) const;
  /// Returns when a release that is `Finishing` has to be completed.
  instant endingAt(instant Now);
  /// Returns whether the bound on exposure holds if the version gets all
  /// requests from now on and is bad.
  bool isBounded(instant Now) const;

  release_options Options;
  std::optional<release_order> Order;
  std::optional<release_status> Status;
  std::int64_t StatusRevision = 0;
  instant OrderedAt; ///< latest time at which the order may have been given
  std::size_t NewUpstreams = 0;
  std::size_t FormerUpstreams = 0;
  instant FormerSeenAt;
  std::optional<instant> FinishingSince;
  release_verdict Verdict;
  bool StoreTrouble = false;
  std::optional<instant> WrittenAt; ///< of a write without a result
};

} // namespace ebonyvale

#endif
