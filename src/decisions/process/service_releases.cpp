#include "decisions/process/service_releases.h"

#include <algorithm>
#include <set>

namespace ebonyvale {

void service_releases::setOptions(const release_options &New) {
  Options = New;
  for (auto &[Service, Release] : Releases) {
    Release.Exposure.setOptions(New);
    Release.Decider.setOptions(New);
  }
}

void service_releases::setInstances(std::vector<std::string> Names,
                                    bool AreKnown) {
  Instances = std::move(Names);
  InstancesKnown = AreKnown;
  for (auto &[Service, Release] : Releases)
    updateInstances(Release);
}

void service_releases::updateInstances(service_release &Release) const {
  Release.Evidence.setInstances(Instances.size());
  const auto &Order = Release.Exposure.order();
  Release.StandsIn = Order && rankIn(Self, Instances, *Order) < StandIns;
}

service_releases::service_release *
service_releases::find(std::string_view Service) {
  const auto Found = Releases.find(Service);
  return Found == Releases.end() ? nullptr : &Found->second;
}

const service_releases::service_release *
service_releases::find(std::string_view Service) const {
  const auto Found = Releases.find(Service);
  return Found == Releases.end() ? nullptr : &Found->second;
}

release_step service_releases::stepOf(const service_release &Release,
                                      std::string Name, instant Now) const {
  const release_exposure &Exposure = Release.Exposure;
  return {Exposure.order()->Service,
          Exposure.order()->Software,
          std::move(Name),
          Exposure.share(Now),
          Exposure.requests(),
          Exposure.sentToNew(),
          Release.Evidence.lastVerdict()};
}

void service_releases::onOrder(std::string_view Service,
                               const std::optional<release_order> &Order,
                               bool AtStart, instant Now) {
  if (!Options.isEnabled())
    return;
  service_release *Known = find(Service);
  if (!Order) {
    if (!Known || !Known->Decider.order())
      return;
    Known->Steps.push_back(stepOf(*Known, "withdrawn", Now));
    Known->Exposure.onWithdrawn();
    Known->Decider.onOrder(std::nullopt, Now);
    return;
  }
  if (!faultOf(*Order).empty())
    return;
  if (!Known) {
    Known = &Releases
                 .try_emplace(std::string(Service),
                              service_release{release_exposure(Options),
                                              release_evidence(),
                                              software_release(Options),
                                              0,
                                              false,
                                              {}})
                 .first->second;
  }
  const bool IsNew = Known->Decider.order() != Order;
  std::optional<std::size_t> Rank;
  if (!AtStart && InstancesKnown)
    Rank = rankIn(Self, Instances, *Order);
  Known->Exposure.onOrder(*Order, Rank, Instances.size(), Now);
  Known->Evidence.onOrder(*Order, Now);
  updateInstances(*Known);
  Known->Decider.onOrder(Order, Now);
  if (!IsNew)
    return;
  Known->LoggedShare = 0;
  Known->LoggedBarred = false;
  Known->Steps.push_back(stepOf(*Known, "ordered", Now));
}

void service_releases::onStatus(std::string_view Service,
                                const std::optional<release_status> &Status,
                                std::int64_t Revision) {
  service_release *Release = find(Service);
  if (!Release)
    return;
  Release->Decider.onStatus(Status, Revision);
  if (Status)
    Release->Exposure.onStatus(*Status);
}

void service_releases::onUpstreams(const upstream_directory &Directory,
                                   instant Now) {
  for (auto &[Service, Release] : Releases) {
    std::vector<std::string> New;
    std::set<std::string, std::less<>> Former;
    std::size_t FormerCount = 0;
    for (const upstream_entry *Entry : Directory.usable(Service)) {
      if (Entry->Software == Release.Exposure.order()->Software) {
        New.push_back(Entry->Id);
        continue;
      }
      Former.insert(Entry->Software);
      ++FormerCount;
    }
    Release.Decider.onUpstreams(New.size(), FormerCount, Now);
    Release.Exposure.onUpstreams(std::move(New), Former);
  }
}

void service_releases::onSent(std::string_view Service,
                              std::string_view Software, bool IsFirst,
                              instant Now) {
  if (service_release *Release = find(Service))
    Release->Exposure.onSent(Software, IsFirst, Now);
}

void service_releases::onResponse(std::string_view Service,
                                  std::string_view Software,
                                  std::string_view Upstream,
                                  std::string_view Route,
                                  const response_outcome &Outcome,
                                  instant Now) {
  service_release *Release = find(Service);
  if (!Release || !isActive(*Release))
    return;
  Release->Evidence.onResponse(
      Route, Release->Exposure.groupOf(Software, Upstream), Outcome, Now);
}

software_use service_releases::useOf(std::string_view Service,
                                     std::string_view Software,
                                     std::string_view Upstream, bool Continues,
                                     instant Now) const {
  if (Releases.empty())
    return software_use::Allowed;
  const service_release *Release = find(Service);
  return Release ? Release->Exposure.useOf(Software, Upstream, Continues, Now)
                 : software_use::Allowed;
}

std::vector<evidence_summary> service_releases::ownSummaries() const {
  std::vector<evidence_summary> Summaries;
  for (const auto &[Service, Release] : Releases)
    if (isActive(Release))
      Summaries.push_back(Release.Evidence.ownSummary());
  return Summaries;
}

std::vector<evidence_summary> service_releases::domainSummaries() const {
  std::vector<evidence_summary> Summaries;
  for (const auto &[Service, Release] : Releases)
    if (isActive(Release))
      Summaries.push_back(Release.Evidence.domainSummary());
  return Summaries;
}

void service_releases::onPeerSummary(const evidence_source &Source,
                                     const evidence_summary &Summary,
                                     instant Now) {
  if (service_release *Release = find(Summary.Service))
    Release->Evidence.onPeerSummary(Source, Summary, Now);
}

std::vector<release_news> service_releases::news(instant Now) const {
  std::vector<release_news> News;
  for (const auto &[Service, Release] : Releases)
    if (const auto Age = Release.Exposure.age(Now); Age && isActive(Release))
      News.push_back({Service, Release.Exposure.order()->Software,
                      Release.Exposure.order()->Revision, *Age,
                      Release.Exposure.isBarred(), Release.Exposure.state()});
  return News;
}

void service_releases::onPeerNews(const release_news &News, instant Now) {
  service_release *Release = find(News.Service);
  if (!Release)
    return;
  Release->Exposure.onAge(News.OrderRevision, News.Age, Now);
  Release->Decider.onAge(News.OrderRevision, News.Age, Now);
  if (News.State != release_state::Running)
    Release->Exposure.onStatus({News.State, News.Software, News.OrderRevision});
  if (News.Barred)
    Release->Exposure.onPeerBarred(News.Software, News.OrderRevision);
}

std::vector<release_step> service_releases::onTick(instant Now) {
  std::vector<release_step> Steps;
  for (auto &[Service, Release] : Releases) {
    if (isActive(Release)) {
      const release_verdict &Verdict = Release.Evidence.verdict(Now);
      Release.Exposure.onEvidence(Verdict, Release.Evidence.newResponses(),
                                  Now);
    }
    if (Release.Exposure.isBarred() &&
        !std::exchange(Release.LoggedBarred, true))
      Release.Steps.push_back(stepOf(Release, "barred", Now));
    const double Share = Release.Exposure.share(Now);
    if (std::exchange(Release.LoggedShare, Share) != Share && Share > 0)
      Release.Steps.push_back(stepOf(Release, "share", Now));
    std::ranges::move(Release.Steps, std::back_inserter(Steps));
    Release.Steps.clear();
  }
  return Steps;
}

std::vector<release_write> service_releases::decide(instant Now,
                                                    bool HoldsClaim) {
  std::vector<release_write> Writes;
  for (auto &[Service, Release] : Releases) {
    release_verdict Verdict = Release.Evidence.lastVerdict();
    if (Release.Exposure.isBarred() && Verdict.State != evidence_state::Bad) {
      Verdict.State = evidence_state::Bad;
      Verdict.Reason = "peer";
    }
    Release.Decider.onEvidence(Verdict);
    if (!HoldsClaim && !Release.StandsIn)
      continue;
    if (auto Write = HoldsClaim ? Release.Decider.onTick(Now)
                                : Release.Decider.onStandInTick(Now))
      Writes.push_back(std::move(*Write));
  }
  return Writes;
}

void service_releases::onWriteResult(std::string_view Service,
                                     release_write_outcome Outcome,
                                     instant Now) {
  if (service_release *Release = find(Service))
    Release->Decider.onWriteResult(Outcome, Now);
}

void service_releases::onStoreTrouble() {
  for (auto &[Service, Release] : Releases)
    Release.Decider.onStoreTrouble();
}

bool service_releases::isActive(const service_release &Release) {
  const release_status *Status = Release.Decider.status();
  return Release.Decider.order() && !(Status && Status->isFinal());
}

bool service_releases::isActive(std::string_view Service) const {
  const service_release *Release = find(Service);
  return Release && isActive(*Release);
}

bool service_releases::isActive() const {
  return std::ranges::any_of(
      Releases, [](const auto &Known) { return isActive(Known.second); });
}

} // namespace ebonyvale
