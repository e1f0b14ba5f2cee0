/// \file
/// How many requests of a service one instance may send to a version of its
/// software that is not proven yet. See docs/design/rollouts.md.
#ifndef EBONYVALE_DECISIONS_PROCESS_RELEASE_EXPOSURE_H
#define EBONYVALE_DECISIONS_PROCESS_RELEASE_EXPOSURE_H

#include "common/instant.h"
#include "decisions/process/release_evidence.h"
#include "decisions/version/software_release.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace ebonyvale {

/// Whether and how an upstream may be chosen.
enum class software_use {
  Allowed,
  Preferred,  ///< the version is due to get this request
  LastResort, ///< only if there is no other: it stops, or has stopped
  Barred,     ///< must not get the request
};

/// What the choice of an upstream asks about its software.
class software_choice {
public:
  virtual ~software_choice() = default;
  /// Returns how \p Upstream may be used for a request. \p Continues: a stream
  /// that began at \p Software and can go on only there.
  virtual software_use useOf(std::string_view Service,
                             std::string_view Software,
                             std::string_view Upstream, bool Continues,
                             instant Now) const = 0;
};

/// Upstreams that get the requests of an unproven version.
struct loaded_upstreams {
  std::vector<std::string> Ids; ///< ordered
  /// Share of the service's requests that gives each of them the load that it
  /// will get when the version has all requests.
  double LoadShare = 0;
};

/// Chooses them of \p Upstreams, the open ones of the version, for a share of
/// the service's requests. All instances choose the same without messages
/// (rendezvous hashing). At least two if there are two, since a fault of one
/// upstream is none of its version.
loaded_upstreams loadedUpstreams(std::span<const std::string> Upstreams,
                                 std::string_view Software, double Share);

/// The exposure of one service's unproven version by this process.
///
/// A process sends a request to the version only while its own requests to it
/// stay within a share of its own requests to the service since it learned of
/// the order. So the sum over any number of processes stays within that share
/// of all requests, whatever messages are lost and processes restarted.
class release_exposure {
public:
  /// Share of `ExposeShare` that is used in each step. The rest covers requests
  /// that are lost on the way and those of the step `Finishing`. The last step
  /// is taken only if the responses do not prove the version sound.
  static constexpr double StepShares[] = {0.2, 0.5, 0.8};
  /// Part of the order's duration from which on a step may be taken.
  static constexpr double StepTimes[] = {0, 0.1, 0.25};
  /// Share for streams that can only go on at the version.
  static constexpr double ContinuingShare = 0.9;
  /// Responses of the version, known from all instances, before each step.
  static constexpr std::uint64_t StepResponses = 8;
  /// Part of `CanarySlack` that is given to processes that were running when
  /// the order came. The rest covers different lists of instances.
  static constexpr double UsedSlack = 0.5;
  /// Where the share gives less than one upstream its later load, requests are
  /// sent at that load for a part of each such period.
  static constexpr span_ns ProbePeriod = std::chrono::seconds(4);
  static constexpr span_ns MinProbe = std::chrono::milliseconds(250);
  /// Part of the bound on the likelihood ratio above which no step is taken.
  static constexpr double SuspiciousPart = 0.3;
  /// Versions of one service that are remembered.
  static constexpr std::size_t MaxFormer = 16;

  explicit release_exposure(const release_options &Options)
      : Options(Options) {}

  void setOptions(const release_options &New) { Options = New; }

  /// Applies an order. \p Rank is this process's place among \p Instances by
  /// `rankIn`, if it ran and knew them before the order came; a process that
  /// finds an order when it starts has no place. An order that comes back after
  /// it was withdrawn goes on with its counts.
  void onOrder(const release_order &NewOrder, std::optional<std::size_t> Rank,
               std::size_t Instances, instant Now);
  void onWithdrawn();
  /// See `software_release::onAge`.
  void onAge(std::int64_t OrderRevision, span_ns Age, instant Now);
  void onStatus(const release_status &Status);
  /// Sets the open upstreams of the ordered version, ordered by id, and the
  /// versions of the others.
  void onUpstreams(std::vector<std::string> NewUpstreams,
                   const std::set<std::string, std::less<>> &FormerVersions);
  /// Applies what the responses of the version say. Bad: it gets no request of
  /// this process any more for this order. Returns whether that is news, which
  /// peers should learn at once.
  bool onEvidence(const release_verdict &Verdict, std::uint64_t NewResponses,
                  instant Now);
  /// A peer has barred the version of this order. Returns whether that is news.
  bool onPeerBarred(std::string_view Software, std::int64_t OrderRevision);

  /// Records that a request was passed on to an upstream. \p IsFirst: it is the
  /// first attempt for a caller's request; further ones do not raise what the
  /// version may get.
  void onSent(std::string_view Software, bool IsFirst, instant Now);

  /// Returns how \p Upstream may be used for a request. \p Continues: a stream
  /// that began at \p Software and can go on only there.
  software_use useOf(std::string_view Software, std::string_view Upstream,
                     bool Continues, instant Now) const;

  /// Returns the group in which a response of \p Upstream is counted.
  response_group groupOf(std::string_view Software,
                         std::string_view Upstream) const;

  bool isBarred() const { return Barred; }
  const std::optional<release_order> &order() const { return Order; }
  std::optional<span_ns> age(instant Now) const;
  /// Returns the share of requests that the version may get now.
  double share(instant Now) const;
  std::uint64_t requests() const { return Requests; }
  std::uint64_t sentToNew() const { return SentToNew; }
  release_state state() const { return State; }

private:
  /// Requests that this process may have sent to the version in all.
  double allowance(double Share) const;
  /// Returns the share of requests that the version may get in this step.
  double stepShare() const;
  /// Returns whether the version is probed at its later load now.
  bool isProbing(instant Now) const;
  void chooseLoaded();

  release_options Options;
  std::optional<release_order> Order;
  instant OrderedAt;
  release_state State = release_state::Running;
  bool Barred = false;
  bool Withdrawn = false;
  std::size_t Step = 0;
  double Slack = 0;
  std::uint64_t Requests = 0;
  std::uint64_t SentToNew = 0;
  double Paced = 0; ///< requests that may be sent now at `LoadShare`
  std::vector<std::string> NewUpstreams;
  std::set<std::string, std::less<>> Former; ///< seen since the order
  bool FormerListed = false;
  loaded_upstreams Loaded;
};

/// Returns the place of \p Self among \p Instances for an order, the same on
/// all instances with the same list (rendezvous hashing).
std::size_t rankIn(std::string_view Self,
                   std::span<const std::string> Instances,
                   const release_order &Order);

} // namespace ebonyvale

#endif
