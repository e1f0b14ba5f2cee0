#include "decisions/process/release_exposure.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace ebonyvale {
namespace {

/// Requests to an unproven version that may follow each other at once.
constexpr double MaxPaced = 2;

std::uint64_t rankOf(std::string_view Name, std::string_view Seed) {
  return XXH3_64bits_withSeed(Name.data(), Name.size(),
                              XXH3_64bits(Seed.data(), Seed.size()));
}

} // namespace

loaded_upstreams loadedUpstreams(std::span<const std::string> Upstreams,
                                 std::string_view Software, double Share) {
  loaded_upstreams Loaded;
  if (Upstreams.empty())
    return Loaded;
  constexpr std::size_t MinLoaded = 2;
  const auto Count = static_cast<double>(Upstreams.size());
  const auto Wanted = static_cast<std::size_t>(Share * Count);
  const std::size_t Chosen =
      std::min(std::max(Wanted, MinLoaded), Upstreams.size());
  std::vector<std::pair<std::uint64_t, std::string_view>> Ranked;
  Ranked.reserve(Upstreams.size());
  for (const std::string &Id : Upstreams)
    Ranked.emplace_back(rankOf(Id, Software), Id);
  std::ranges::partial_sort(Ranked, Ranked.begin() +
                                        static_cast<std::ptrdiff_t>(Chosen));
  for (std::size_t Index = 0; Index < Chosen; ++Index)
    Loaded.Ids.emplace_back(Ranked[Index].second);
  Loaded.LoadShare = static_cast<double>(Chosen) / Count;
  return Loaded;
}

std::size_t rankIn(std::string_view Self,
                   std::span<const std::string> Instances,
                   const release_order &Order) {
  const std::string Seed = Order.Service + " " + Order.Software + " " +
                           std::to_string(Order.Revision);
  const auto Own = std::pair(rankOf(Self, Seed), Self);
  return static_cast<std::size_t>(
      std::ranges::count_if(Instances, [&](const std::string &Name) {
        return std::pair(rankOf(Name, Seed), std::string_view(Name)) < Own;
      }));
}

void release_exposure::onOrder(const release_order &NewOrder,
                               std::optional<std::size_t> Rank,
                               std::size_t Instances, instant Now) {
  Withdrawn = false;
  if (Order == NewOrder)
    return;
  Order = NewOrder;
  OrderedAt = Now;
  State = release_state::Running;
  Barred = false;
  Step = 0;
  Requests = SentToNew = 0;
  Paced = 0;
  Former.clear();
  FormerListed = false;
  // The parts must not exceed the sum however many instances there are: beyond
  // one request for each, the first ones by rank get it.
  Slack = 0;
  const double All = std::floor(UsedSlack * Options.CanarySlack);
  if (Rank && Instances > 0) {
    const double Part = std::floor(All / static_cast<double>(Instances));
    const bool IsFirst = static_cast<double>(*Rank) < All;
    Slack = Part >= 1 ? Part : (IsFirst ? 1 : 0);
  }
}

void release_exposure::onWithdrawn() { Withdrawn = true; }

void release_exposure::onAge(std::int64_t OrderRevision, span_ns Age,
                             instant Now) {
  if (Order && Order->Revision == OrderRevision)
    OrderedAt = std::min(OrderedAt, Now - Age);
}

std::optional<span_ns> release_exposure::age(instant Now) const {
  if (!Order || Withdrawn)
    return std::nullopt;
  return Now - OrderedAt;
}

void release_exposure::onStatus(const release_status &Status) {
  if (!Order || !Status.isOf(*Order))
    return;
  // A restored store may hold an earlier state.
  if (State == release_state::Completed || State == release_state::RolledBack)
    return;
  State = Status.State;
  if (State == release_state::RolledBack)
    Barred = true;
}

void release_exposure::onUpstreams(
    std::vector<std::string> NewIds,
    const std::set<std::string, std::less<>> &FormerVersions) {
  NewUpstreams = std::move(NewIds);
  FormerListed = !FormerVersions.empty();
  if (State != release_state::Completed)
    for (const std::string &Version : FormerVersions)
      if (Former.size() < MaxFormer)
        Former.insert(Version);
  chooseLoaded();
}

void release_exposure::chooseLoaded() {
  Loaded = Order ? loadedUpstreams(NewUpstreams, Order->Software, stepShare())
                 : loaded_upstreams{};
}

bool release_exposure::onEvidence(const release_verdict &Verdict,
                                  std::uint64_t NewResponses, instant Now) {
  if (!Order || Barred || State == release_state::Completed)
    return false;
  if (Verdict.State == evidence_state::Bad) {
    Barred = true;
    return true;
  }
  const std::size_t Next = Step + 1;
  const bool IsNeeded = Next + 1 < std::size(StepShares) ||
                        Verdict.State != evidence_state::Sound;
  if (Next < std::size(StepShares) && IsNeeded &&
      toSeconds(Now - OrderedAt) >=
          StepTimes[Next] * toSeconds(Order->Duration) &&
      NewResponses >= StepResponses * Next &&
      Verdict.LogRatio <= SuspiciousPart * Verdict.Bound) {
    Step = Next;
    chooseLoaded();
  }
  return false;
}

bool release_exposure::onPeerBarred(std::string_view Software,
                                    std::int64_t OrderRevision) {
  if (!Order || Order->Software != Software ||
      Order->Revision != OrderRevision || State == release_state::Completed)
    return false;
  return !std::exchange(Barred, true);
}

void release_exposure::onSent(std::string_view Software, bool IsFirst,
                              instant) {
  if (!Order)
    return;
  if (IsFirst) {
    ++Requests;
    Paced = std::min(MaxPaced, Paced + Loaded.LoadShare);
  }
  if (Software != Order->Software)
    return;
  ++SentToNew;
  Paced = std::max(0.0, Paced - 1);
}

double release_exposure::stepShare() const {
  return std::min(
      Options.ExposeShare * StepShares[Step],
      software_release::mostShare(Options.ExposeShare, Order->Duration));
}

double release_exposure::allowance(double Share) const {
  return Share * static_cast<double>(Requests) + Slack;
}

double release_exposure::share(instant) const {
  if (!Order || Barred || Withdrawn)
    return 0;
  return State == release_state::Running ? stepShare() : 1;
}

bool release_exposure::isProbing(instant Now) const {
  const double Duty = stepShare() / std::max(Loaded.LoadShare, 1e-9);
  if (Duty >= 1)
    return true;
  const span_ns Probe =
      std::max(MinProbe, fromSeconds(Duty * toSeconds(ProbePeriod)));
  return (Now - OrderedAt) % ProbePeriod < Probe;
}

software_use release_exposure::useOf(std::string_view Software,
                                     std::string_view Upstream, bool Continues,
                                     instant Now) const {
  if (!Order)
    return software_use::Allowed;
  const bool IsCompleted = State == release_state::Completed;
  const bool IsFinishing =
      State == release_state::Finishing && !Barred && !Withdrawn;
  if (Software != Order->Software)
    return !Continues && !NewUpstreams.empty() && Former.contains(Software) &&
                   (IsFinishing || (IsCompleted && !Withdrawn))
               ? software_use::LastResort
               : software_use::Allowed;
  if (IsCompleted)
    return software_use::Allowed;
  if (Withdrawn)
    return FormerListed ? software_use::Barred : software_use::Allowed;
  if (Barred)
    return software_use::Barred;
  // A service that has had no other version has none to return to.
  if (Former.empty())
    return software_use::Allowed;
  if (IsFinishing)
    return software_use::Preferred;
  const auto Sent = static_cast<double>(SentToNew) + 1;
  if (Continues)
    return Sent <= allowance(Options.ExposeShare * ContinuingShare)
               ? software_use::Allowed
               : software_use::Barred;
  const bool IsDue =
      Sent <= allowance(stepShare()) && Paced >= 1 && isProbing(Now) &&
      std::ranges::find(Loaded.Ids, Upstream) != Loaded.Ids.end();
  return IsDue ? software_use::Preferred : software_use::Barred;
}

response_group release_exposure::groupOf(std::string_view Software,
                                         std::string_view Upstream) const {
  if (!Order || Software != Order->Software)
    return FormerVersions;
  const auto Found = std::ranges::find(Loaded.Ids, Upstream);
  const std::uint64_t Index =
      Found == Loaded.Ids.end()
          ? rankOf(Upstream, Software)
          : static_cast<std::uint64_t>(Found - Loaded.Ids.begin());
  return Index % 2 == 0 ? NewFirst : NewSecond;
}

} // namespace ebonyvale
