#include "decisions/process/upstream_scheduler.h"

#include <algorithm>
#include <cmath>

#include <spdlog/fmt/fmt.h>

namespace ebonyvale {
namespace {

std::string addressOf(const upstream_entry &Entry) {
  return fmt::format("{}:{}", Entry.Address, Entry.Port);
}

} // namespace

void upstream_scheduler::advanceBacklog(upstream_state &State, instant Now) {
  State.BacklogMs =
      std::max(0.0, State.BacklogMs -
                        toMs(Now - State.BacklogAt) / slownessOf(State, Now));
  State.BacklogAt = Now;
}

double upstream_scheduler::updateBacklog(upstream_state &State,
                                         instant Now) const {
  advanceBacklog(State, Now);
  State.Peers.expire(Now, Options.LoadReportTtl);
  if (usesLearnedCosts(State))
    // Prompts are prefilled one after the other, whatever waits for a slot.
    return std::max(State.BacklogMs * slownessOf(State, Now),
                    slotWaitMs(State, Now));
  double Sum = State.BacklogMs;
  const std::int64_t InFlight = inFlight(State, Now);
  const auto Slots = std::max<std::int64_t>(1, State.Entry.Slots);
  if (isPlain(State)) {
    // Requests share the slots; those beyond wait for full rounds.
    const double Rounds =
        static_cast<double>(InFlight) / static_cast<double>(Slots);
    return Rounds * Options.PlainRequestMs;
  }
  // A full engine admits a request when another one ends.
  if (InFlight >= Slots)
    Sum += Options.FirstTokenMs * static_cast<double>(InFlight - Slots + 1);
  return Sum;
}

std::int64_t upstream_scheduler::inFlight(const upstream_state &State,
                                          instant Now) const {
  const std::int64_t Known = State.InFlight + State.Peers.inFlight();
  if (!State.Load || Now - State.LoadAt > Options.LoadReportTtl)
    return Known;
  return std::max(Known, State.Load->Running + State.Load->Waiting);
}

/// Returns by how much first chunks have recently exceeded their expected time,
/// with exponential decay. Causes are load that this instance does not know of
/// or an engine that is slower than its data sheet.
double upstream_scheduler::latenessMs(const upstream_state &State,
                                      instant Now) const {
  const double HalfLives =
      toMs(Now - State.LatenessAt) / toMs(Options.LatenessHalfLife);
  return State.LatenessMs * std::exp2(-HalfLives);
}

double upstream_scheduler::distanceMs(const upstream_state &State) const {
  if (State.Entry.Domain == Domain)
    return 0;
  return sameRegion(Domain, State.Entry.Domain) ? Options.DomainMs
                                                : Options.RegionMs;
}

bool upstream_scheduler::sameRegion(std::string_view Left,
                                    std::string_view Right) const {
  const auto LeftRegion = RegionOfDomain.find(Left);
  const auto RightRegion = RegionOfDomain.find(Right);
  return LeftRegion != RegionOfDomain.end() &&
         RightRegion != RegionOfDomain.end() &&
         LeftRegion->second == RightRegion->second;
}

double upstream_scheduler::requestsOfUnknownPeers(const upstream_state &State,
                                                  instant Now) const {
  const span_ns Age = Now - State.LoadAt;
  if (!UnknownPeers || !State.Load || Age > Options.LoadReportTtl)
    return 0;
  const std::int64_t Known = State.InFlight + State.Peers.inFlight();
  const std::int64_t Reported = State.Load->Running + State.Load->Waiting;
  // Requests end, so an older report tells less.
  const double Weight = 1 - toMs(Age) / toMs(Options.LoadReportTtl);
  return Weight *
         static_cast<double>(std::max<std::int64_t>(0, Reported - Known));
}

/// Returns the engine memory that running requests of all instances hold, as of
/// the last `updateBacklog`.
double upstream_scheduler::heldTokens(const upstream_state &State,
                                      instant Now) const {
  return State.HeldTokens + State.Peers.heldTokens() +
         requestsOfUnknownPeers(State, Now) * MeanHeldTokens;
}

double upstream_scheduler::cacheTokens(const upstream_state &State) const {
  const auto Engine = Engines.find(State.Entry.Service);
  return Engine == Engines.end() ? 0 : Engine->second.CacheTokens;
}

double upstream_scheduler::memoryWaitMs(const upstream_state &State,
                                        double Needed, instant Now) const {
  const double Capacity = cacheTokens(State);
  const double Held = heldTokens(State, Now);
  const double Excess = Held + Needed - Options.UsableMemoryFraction * Capacity;
  if (Capacity <= 0 || Excess <= 0 || Held <= 0)
    return 0;
  if (const auto Rest = memoryRestMs(State, Now))
    return std::min(1.0, Excess / Held) * *Rest;
  return Options.MemoryWaitMs * Excess / Capacity;
}

double upstream_scheduler::copyFactor(std::string_view From,
                                      std::string_view To) const {
  if (From == To)
    return 1;
  return sameRegion(From, To) ? Options.DomainFetchFactor
                              : Options.RegionFetchFactor;
}

/// Replaces \p Best by \p Candidate if that lowers the cost of copying and of
/// prefilling the segments not copied.
void upstream_scheduler::keepCheaperCopy(const copy_plan &Candidate,
                                         const schedule_query &Query,
                                         std::size_t CachedCount,
                                         double PrefillTokensPerMs,
                                         copy_plan &Best) const {
  double Missed = 0;
  for (std::size_t Index = CachedCount; Index + 1 < Query.Segments.size();
       ++Index)
    Missed += static_cast<double>(Query.Segments[Index].Tokens);
  const auto Cost = [&](const copy_plan &Plan) {
    return Plan.DurationMs * Options.FetchWeight + (Missed - Plan.Tokens) /
                                                       PrefillTokensPerMs *
                                                       Options.RecomputeWeight;
  };
  if (Candidate.Tokens > 0 && Cost(Candidate) < Cost(Best))
    Best = Candidate;
}

/// Returns the engines from which prefix segments may be copied. Computed once
/// for a request, as the estimate of each engine compares all of them.
std::vector<upstream_scheduler::segment_holder>
upstream_scheduler::holdersOf(const schedule_query &Query, instant Now) const {
  std::vector<segment_holder> Holders;
  const std::size_t Shared =
      Query.Segments.empty() ? 0 : Query.Segments.size() - 1;
  for (const auto &[Id, State] : States) {
    const bool Usable =
        State.Entry.Service == Query.Service && !State.Entry.Leaving &&
        Now >= State.AvoidUntil && Now >= State.PausedUntil &&
        !(Query.Pauses && Now < Query.Pauses->endOf(State.Entry));
    std::size_t SegmentCount = 0;
    while (Usable && SegmentCount < Shared &&
           State.Segments.holds(Query.Segments[SegmentCount].Chain))
      ++SegmentCount;
    if (SegmentCount > 0)
      Holders.push_back({&State, SegmentCount});
  }
  return Holders;
}

/// Returns the cheapest copy of the segments after the first \p CachedCount,
/// from another engine on the same weights or a store. Returns an empty plan if
/// a prefill is cheaper.
upstream_scheduler::copy_plan upstream_scheduler::planCopy(
    const upstream_state &Target, const schedule_query &Query,
    std::size_t CachedCount, std::span<const segment_holder> Holders,
    instant Now) const {
  const double PrefillTokensPerMs = ratesOf(Target, Now).PrefillTokensPerMs;
  copy_plan Best;
  const auto Weights = weightsOf(Target, Query.Model);
  const std::size_t Shared = Query.Segments.size() - 1;
  if (!Weights || CachedCount >= Shared)
    return Best;
  const auto TokensUpTo = [&](std::size_t End) {
    double Sum = 0;
    for (std::size_t Index = CachedCount; Index < End; ++Index)
      Sum += static_cast<double>(Query.Segments[Index].Tokens);
    return Sum;
  };
  const auto Engine = Engines.find(Target.Entry.Service);
  const double Rate =
      Engine == Engines.end() ? 0 : Engine->second.FetchTokensPerMs;
  for (const segment_holder &Holder : Holders) {
    const upstream_state &State = *Holder.State;
    const bool Usable = Rate > 0 && &State != &Target &&
                        Holder.SegmentCount > CachedCount &&
                        weightsOf(State, Query.Model) == Weights;
    if (!Usable)
      continue;
    const double Tokens = TokensUpTo(Holder.SegmentCount);
    const double Factor = copyFactor(State.Entry.Domain, Target.Entry.Domain);
    keepCheaperCopy({addressOf(State.Entry), Tokens, Tokens / Rate * Factor},
                    Query, CachedCount, PrefillTokensPerMs, Best);
  }
  for (const cache_store &Store : Stores) {
    if (Now < Store.PausedUntil || Store.Spec.FetchTokensPerMs <= 0)
      continue;
    std::size_t SegmentCount = 0;
    while (SegmentCount < Shared &&
           Store.Segments.holds(Query.Segments[SegmentCount].Chain ^
                                weightsHash(*Weights)))
      ++SegmentCount;
    const double Tokens = TokensUpTo(SegmentCount);
    const double Factor = copyFactor(Store.Spec.Domain, Target.Entry.Domain);
    keepCheaperCopy({Store.Spec.Address, Tokens,
                     Tokens / Store.Spec.FetchTokensPerMs * Factor},
                    Query, CachedCount, PrefillTokensPerMs, Best);
  }
  return Best;
}

/// Returns the address of a store in the engine's domain that probably lacks a
/// prefix segment, or an empty string. Copies to other domains would occupy a
/// store's link for too long.
std::string
upstream_scheduler::storeMissingSegments(const upstream_state &Target,
                                         const schedule_query &Query,
                                         instant Now) const {
  const auto Weights = weightsOf(Target, Query.Model);
  for (const cache_store &Store : Stores) {
    const bool Usable = Weights && Store.Spec.Domain == Target.Entry.Domain &&
                        Now >= Store.PausedUntil;
    if (!Usable)
      continue;
    for (std::size_t Index = 0; Index + 1 < Query.Segments.size(); ++Index)
      if (!Store.Segments.holds(Query.Segments[Index].Chain ^
                                weightsHash(*Weights)))
        return Store.Spec.Address;
  }
  return {};
}

upstream_scheduler::estimate upstream_scheduler::estimateFor(
    upstream_state &State, const schedule_query &Query,
    const choice_context &Context, instant Now) const {
  estimate Estimate;
  Estimate.BacklogMs = updateBacklog(State, Now);
  Estimate.LatenessMs = latenessMs(State, Now);
  Estimate.CostMs =
      Estimate.BacklogMs + Estimate.LatenessMs + distanceMs(State);
  const double Slowness = slownessOf(State, Now);
  if (usesLearnedCosts(State))
    Estimate.Learned = learnedEstimate(State, Context, Estimate.BacklogMs, Now);
  if (isPlain(State)) {
    const bool IsLearned = Estimate.Learned && Context.Cost;
    Estimate.CostMs +=
        (IsLearned ? Context.Cost->MeanMs : Options.PlainRequestMs) * Slowness;
    Estimate.FirstChunkMs = Estimate.CostMs;
    if (Estimate.Learned)
      Estimate.CostMs += crowdMs(State, Now);
    return Estimate;
  }
  const first_chunk_rates Rates = ratesOf(State, Now);
  Estimate.EngineHeldTokens = heldTokens(State, Now);
  // Memory held by running requests is not available to the cache.
  State.Segments.setCapacity(Options.CacheFraction * cacheTokens(State) -
                             heldTokens(State, Now));
  const std::size_t Shared =
      Query.Segments.empty() ? 0 : Query.Segments.size() - 1;
  std::size_t CachedCount = 0;
  double CachedTokens = 0;
  while (CachedCount < Shared &&
         State.Segments.holds(Query.Segments[CachedCount].Chain))
    CachedTokens += static_cast<double>(Query.Segments[CachedCount++].Tokens);
  double SharedTokens = 0;
  for (std::size_t Index = 0; Index < Shared; ++Index)
    SharedTokens += static_cast<double>(Query.Segments[Index].Tokens);
  double OwnTokens = Query.PromptTokens - SharedTokens;
  // The last segment belongs to a session: an engine that caches it need not
  // prefill it.
  if (CachedCount == Shared && Shared < Query.Segments.size() &&
      State.Segments.holds(Query.Segments.back().Chain))
    OwnTokens -= static_cast<double>(Query.Segments.back().Tokens);
  OwnTokens = std::max(0.0, OwnTokens);
  Estimate.MissedTokens = SharedTokens - CachedTokens;
  if (Estimate.MissedTokens > 0) {
    Estimate.Copy = planCopy(State, Query, CachedCount, Context.Holders, Now);
    Estimate.SaveTo = storeMissingSegments(State, Query, Now);
  }
  const double RecomputedTokens = Estimate.MissedTokens - Estimate.Copy.Tokens;
  Estimate.PrefillMs =
      (OwnTokens + RecomputedTokens) / Rates.PrefillTokensPerMs;
  Estimate.HeldTokens = Query.PromptTokens + Query.ResponseTokens;
  Estimate.InsertedTokens =
      OwnTokens + Query.ResponseTokens + Estimate.MissedTokens;
  const double Wait = memoryWaitMs(State, Estimate.HeldTokens, Now);
  Estimate.FirstChunkMs = Estimate.CostMs +
                          (Rates.FirstTokenMs + Estimate.PrefillMs) * Slowness +
                          Estimate.Copy.DurationMs + Wait;
  Estimate.WaitMs = Estimate.BacklogMs + Estimate.LatenessMs + Wait;
  Estimate.CostMs +=
      (Rates.FirstTokenMs + OwnTokens / Rates.PrefillTokensPerMs) * Slowness +
      Estimate.Copy.DurationMs * Options.FetchWeight + Wait +
      *oldWeightsCostMs(State, Query.Model, Context.UpdatedFraction, Now);
  // The home engine prefills segments that no engine is known to cache, without
  // the recompute weight.
  const double Weight = Context.Home == &State ? 1 : Options.RecomputeWeight;
  Estimate.CostMs +=
      RecomputedTokens / Rates.PrefillTokensPerMs * Slowness * Weight;
  if (Estimate.Learned) {
    Estimate.Learned->PrefilledTokens = OwnTokens + RecomputedTokens;
    Estimate.Learned->ExpectedMs += Rates.FirstTokenMs + Estimate.PrefillMs;
    Estimate.Learned->WaitMs += Wait + Estimate.Copy.DurationMs;
    Estimate.CostMs += crowdMs(State, Now);
  }
  const double LateThresholdMs = toMs(Query.Target) * Options.LateThreshold;
  if (LateThresholdMs > 0)
    Estimate.CostMs += std::max(0.0, Estimate.FirstChunkMs - LateThresholdMs) *
                       Options.LateWeight;
  return Estimate;
}

} // namespace ebonyvale
