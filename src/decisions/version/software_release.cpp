#include "decisions/version/software_release.h"

#include <algorithm>
#include <utility>

namespace ebonyvale {
namespace {

/// Longest duration of an order; others are taken for errors of unit.
constexpr span_ns MaxDuration = std::chrono::hours(24 * 7);
/// Longest name of a version that the store and headers can hold.
constexpr std::size_t MaxName = 128;

span_ns part(span_ns Whole, double Share) {
  return fromSeconds(toSeconds(Whole) * Share);
}

/// Parts of the bound on exposure that a version gets in any case, so that
/// there are responses to judge it by, and at most.
constexpr double LeastExposure = 0.2;
constexpr double MostExposure = 0.8;

/// Returns how long before the deadline an order is completed.
span_ns marginOf(span_ns Duration) {
  return std::max(software_release::WriteMargin,
                  part(Duration, software_release::WriteMarginShare));
}

} // namespace

std::string faultOf(const release_order &Order) {
  if (Order.Service.empty())
    return "no service is named";
  if (Order.Software.empty() || Order.Software.size() > MaxName)
    return "the version's name is empty or too long";
  if (Order.Duration <= span_ns(0) || Order.Duration > MaxDuration)
    return "the duration is not between 0 and 7 days";
  return "";
}

std::string_view toString(release_state State) {
  switch (State) {
  case release_state::Running:
    return "running";
  case release_state::Finishing:
    return "finishing";
  case release_state::Completed:
    return "completed";
  case release_state::RolledBack:
    return "rolled_back";
  }
  return "";
}

void software_release::onOrder(const std::optional<release_order> &NewOrder,
                               instant Now) {
  if (NewOrder == Order)
    return;
  Order = NewOrder;
  OrderedAt = Now;
  FormerSeenAt = Now;
  FinishingSince.reset();
  Verdict = {};
  StoreTrouble = false;
  WrittenAt.reset();
}

void software_release::onAge(std::int64_t OrderRevision, span_ns Age,
                             instant Now) {
  if (Order && Order->Revision == OrderRevision)
    OrderedAt = std::min(OrderedAt, Now - Age);
}

void software_release::onStatus(const std::optional<release_status> &NewStatus,
                                std::int64_t Revision) {
  Status = NewStatus;
  StatusRevision = Revision;
}

void software_release::onUpstreams(std::size_t NewCount,
                                   std::size_t FormerCount, instant Now) {
  NewUpstreams = NewCount;
  FormerUpstreams = FormerCount;
  if (FormerCount > 0)
    FormerSeenAt = Now;
}

void software_release::onWriteResult(release_write_outcome Outcome,
                                     instant Now) {
  if (Outcome == release_write_outcome::Written) {
    WrittenAt.reset();
    return;
  }
  WrittenAt = Now;
  StoreTrouble = StoreTrouble || Outcome == release_write_outcome::Unknown;
}

std::optional<span_ns> software_release::age(instant Now) const {
  if (!Order)
    return std::nullopt;
  return Now - OrderedAt;
}

double software_release::mostShare(double ExposeShare, span_ns Duration) {
  const double Later = toSeconds(marginOf(Duration) + FinishingTime) /
                       std::max(toSeconds(Duration), 1e-9);
  return std::clamp(UnprovenShare * ExposeShare - Later,
                    LeastExposure * ExposeShare, MostExposure * ExposeShare);
}

instant software_release::finishingAt() const {
  const span_ns Duration = Order->Duration;
  span_ns After =
      std::max(part(Duration, MinDecisionShare),
               Duration - marginOf(Order->Duration) - FinishingTime);
  if (StoreTrouble)
    After = std::min(After, part(Duration, UnstableDecisionShare));
  return OrderedAt + After;
}

instant software_release::completedAt() const {
  return std::max(finishingAt() + FinishingTime / 2,
                  OrderedAt + Order->Duration - marginOf(Order->Duration));
}

bool software_release::isBounded(instant Now) const {
  const double Left = toSeconds(std::max<span_ns>(
      OrderedAt + Order->Duration - Now, marginOf(Order->Duration)));
  const double Later = Left * Verdict.PerSecond;
  const double Allowed = UnprovenShare * Options.ExposeShare *
                             (static_cast<double>(Verdict.Requests) + Later) +
                         UnprovenSlack * Options.CanarySlack;
  return Verdict.Exposed > 0 &&
         static_cast<double>(Verdict.Exposed) + Later <= Allowed;
}

std::optional<release_write>
software_release::write(release_state State, std::string Reason, instant Now) {
  WrittenAt = Now;
  if (State == release_state::Finishing)
    FinishingSince = Now;
  return release_write{
      Order->Service,    {State, Order->Software, Order->Revision},
      Order->Revision,   StatusRevision,
      std::move(Reason), Verdict};
}

bool software_release::isReady(instant Now) const {
  return Options.isEnabled() && Order && faultOf(*Order).empty() &&
         !(WrittenAt && Now - *WrittenAt < WriteRetry);
}

instant software_release::endingAt(instant Now) {
  if (!FinishingSince)
    FinishingSince = Now;
  return std::min(*FinishingSince + FinishingTime,
                  std::max(*FinishingSince + FinishingTime / 2, completedAt()));
}

std::optional<release_write> software_release::onStandInTick(instant Now) {
  const release_status *Current = status();
  if (!isReady(Now) || !Current || Current->isFinal())
    return std::nullopt;
  if (Verdict.State == evidence_state::Bad)
    return write(release_state::RolledBack, Verdict.Reason, Now);
  if (Current->State == release_state::Finishing &&
      Now >= endingAt(Now) + StandInDelay)
    return write(release_state::Completed, "no_fault_found", Now);
  return std::nullopt;
}

std::optional<release_write> software_release::onTick(instant Now) {
  if (!isReady(Now))
    return std::nullopt;
  const release_status *Current = status();
  if (!Current)
    return write(release_state::Running, "ordered", Now);
  if (Current->isFinal())
    return std::nullopt;
  if (Verdict.State == evidence_state::Bad)
    return write(release_state::RolledBack, Verdict.Reason, Now);
  if (Current->State == release_state::Finishing) {
    if (Now < endingAt(Now))
      return std::nullopt;
    return write(release_state::Completed, "no_fault_found", Now);
  }
  if (NewUpstreams > 0 && FormerUpstreams == 0 &&
      Now - FormerSeenAt >= FormerGoneAfter)
    return write(release_state::Completed, "no_former_version", Now);
  if (Now < finishingAt())
    return std::nullopt;
  const bool IsSound = Verdict.State == evidence_state::Sound;
  if (NewUpstreams > 0 && IsSound && (isBounded(Now) || Now >= completedAt()))
    return write(release_state::Finishing, "no_fault_found", Now);
  if (Now < completedAt())
    return std::nullopt;
  if (NewUpstreams == 0)
    return write(release_state::RolledBack, "no_upstream", Now);
  const bool IsUnsuspected = Verdict.LogRatio <= UnsuspectedRatio;
  return IsUnsuspected && isBounded(Now)
             ? write(release_state::Completed, "too_few_responses", Now)
             : write(release_state::RolledBack, "not_proven", Now);
}

} // namespace ebonyvale
