/// \file
/// The releases of all services, as one instance knows and carries them out.
#ifndef EBONYVALE_DECISIONS_PROCESS_SERVICE_RELEASES_H
#define EBONYVALE_DECISIONS_PROCESS_SERVICE_RELEASES_H

#include "common/instant.h"
#include "decisions/process/release_evidence.h"
#include "decisions/process/release_exposure.h"
#include "decisions/process/upstream_directory.h"
#include "decisions/version/software_release.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace ebonyvale {

/// What peers tell each other of an order, beside the evidence.
struct release_news {
  std::string Service;
  std::string Software;
  std::int64_t OrderRevision = 0;
  span_ns Age{0};      ///< of the order, at least
  bool Barred = false; ///< the sender sends nothing more to the version
  /// As the store has shown the sender; for peers that cannot read it.
  release_state State = release_state::Running;
};

/// A step of a release at this instance, for the log.
struct release_step {
  std::string Service;
  std::string Software;
  std::string Step; ///< "ordered", "share", "barred", ...
  double Share = 0;
  std::uint64_t Requests = 0;  ///< of this instance, to the service
  std::uint64_t SentToNew = 0; ///< of this instance, to the version
  release_verdict Verdict;
};

/// Exposure, evidence and decisions by service. Without orders it is empty and
/// all upstreams are allowed.
class service_releases : public software_choice {
public:
  service_releases(std::string Self, const release_options &Options)
      : Self(std::move(Self)), Options(Options) {}

  void setOptions(const release_options &New);
  /// Sets the names of all instances, this one included. \p AreKnown: the list
  /// is that of the store, read some time after the start of this process.
  void setInstances(std::vector<std::string> Names, bool AreKnown);

  /// Applies the order for \p Service; nothing: there is none or it was
  /// withdrawn. Has to be called before the entries of upstreams are applied
  /// that were written after it. \p AtStart: it was found by the first read of
  /// this process.
  void onOrder(std::string_view Service,
               const std::optional<release_order> &Order, bool AtStart,
               instant Now);
  /// Applies the status in the store, after the order.
  void onStatus(std::string_view Service,
                const std::optional<release_status> &Status,
                std::int64_t Revision);
  void onUpstreams(const upstream_directory &Directory, instant Now);

  void onSent(std::string_view Service, std::string_view Software, bool IsFirst,
              instant Now);
  void onResponse(std::string_view Service, std::string_view Software,
                  std::string_view Upstream, std::string_view Route,
                  const response_outcome &Outcome, instant Now);
  software_use useOf(std::string_view Service, std::string_view Software,
                     std::string_view Upstream, bool Continues,
                     instant Now) const override;

  /// For the instances of the own failure domain, and for other domains.
  std::vector<evidence_summary> ownSummaries() const;
  std::vector<evidence_summary> domainSummaries() const;
  void onPeerSummary(const evidence_source &Source,
                     const evidence_summary &Summary, instant Now);
  std::vector<release_news> news(instant Now) const;
  void onPeerNews(const release_news &News, instant Now);

  /// Compares versions, and takes the steps that are due at this instance.
  /// Returns them; peers should get the news at once if one is "barred".
  std::vector<release_step> onTick(instant Now);

  /// Instances that may write what the holder of the claim failed to write.
  static constexpr std::size_t StandIns = 3;

  /// Returns what to write for all services. Without the claim a few instances
  /// stand in for its holder, see `software_release::onStandInTick`.
  std::vector<release_write> decide(instant Now, bool HoldsClaim = true);
  void onWriteResult(std::string_view Service, release_write_outcome Outcome,
                     instant Now);
  void onStoreTrouble();

  /// Returns whether there is no order.
  bool empty() const { return Releases.empty(); }
  /// Returns whether an order is in force whose release has not ended.
  bool isActive() const;
  /// Returns whether one is for \p Service.
  bool isActive(std::string_view Service) const;

private:
  struct service_release {
    release_exposure Exposure;
    release_evidence Evidence;
    software_release Decider;
    bool StandsIn = false; ///< this instance is one of `StandIns`
    double LoggedShare = 0;
    bool LoggedBarred = false;
    std::vector<release_step> Steps; ///< not yet returned by `onTick`
  };

  static bool isActive(const service_release &Release);
  service_release *find(std::string_view Service);
  const service_release *find(std::string_view Service) const;
  void updateInstances(service_release &Release) const;
  release_step stepOf(const service_release &Release, std::string Name,
                      instant Now) const;

  std::string Self;
  release_options Options;
  std::vector<std::string> Instances;
  bool InstancesKnown = false;
  std::map<std::string, service_release, std::less<>> Releases;
};

} // namespace ebonyvale

#endif
