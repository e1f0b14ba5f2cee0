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

std::uint64_t upstream_scheduler::weightsMark(std::int64_t Version) {
  // Spreads small numbers over all bits (Fibonacci hashing).
  constexpr std::uint64_t Multiplier = 0x9e3779b97f4a7c15;
  return static_cast<std::uint64_t>(Version) * Multiplier;
}

double upstream_scheduler::backlog(upstream_state &State, instant Now) const {
  State.BacklogMs =
      std::max(0.0, State.BacklogMs - toMs(Now - State.BacklogAt));
  State.BacklogAt = Now;
  double Sum = State.BacklogMs;
  std::int64_t InFlight = State.InFlight;
  for (const auto &[Name, View] : State.Peers)
    if (Now - View.At <= Terms.LoadTerm)
      InFlight += View.InFlight;
  if (State.Load && Now - State.LoadAt <= Terms.LoadTerm)
    InFlight = std::max(InFlight, State.Load->Running + State.Load->Waiting);
  const auto Slots = std::max<std::int64_t>(1, State.Entry.Slots);
  if (isPlain(State)) {
    // Calls share the slots; what does not fit waits for whole turns.
    const double Turns =
        static_cast<double>(InFlight) / static_cast<double>(Slots);
    return Turns * Terms.PlainWorkMs;
  }
  // Full engines admit a request when another one ends.
  if (InFlight >= Slots)
    Sum += Terms.FirstTokenMs * static_cast<double>(InFlight - Slots + 1);
  return Sum;
}

/// By how much late first parts have exceeded what was expected of them: work
/// that this instance does not know of, or an engine that is slower than its
/// data sheet.
double upstream_scheduler::surplus(const upstream_state &State,
                                   instant Now) const {
  const double HalfLives =
      toMs(Now - State.SurplusAt) / toMs(Terms.SurplusHalfLife);
  return State.SurplusMs * std::exp2(-HalfLives);
}

double upstream_scheduler::distance(const upstream_state &State) const {
  if (State.Entry.Domain == Domain)
    return 0;
  return sameRegion(Domain, State.Entry.Domain) ? Terms.DomainMs
                                                : Terms.RegionMs;
}

bool upstream_scheduler::sameRegion(std::string_view Left,
                                    std::string_view Right) const {
  const auto LeftRegion = RegionOfDomain.find(Left);
  const auto RightRegion = RegionOfDomain.find(Right);
  return LeftRegion != RegionOfDomain.end() &&
         RightRegion != RegionOfDomain.end() &&
         LeftRegion->second == RightRegion->second;
}

/// Memory of an engine that running requests hold, all instances' together.
double upstream_scheduler::heldTokens(const upstream_state &State,
                                      instant Now) const {
  double Held = State.HeldTokens;
  for (const auto &[Name, View] : State.Peers)
    if (Now - View.At <= Terms.LoadTerm)
      Held += View.HeldTokens;
  return Held;
}

double upstream_scheduler::cacheTokens(const upstream_state &State) const {
  const auto Engine = Engines.find(State.Entry.Service);
  return Engine == Engines.end() ? 0 : Engine->second.CacheTokens;
}

double upstream_scheduler::memoryWait(const upstream_state &State,
                                      double Needed, instant Now) const {
  const double Capacity = cacheTokens(State);
  const double Held = heldTokens(State, Now);
  const double Excess = Held + Needed - Terms.UsableMemory * Capacity;
  if (Capacity <= 0 || Excess <= 0 || Held <= 0)
    return 0;
  return Terms.MemoryWaitMs * Excess / Capacity;
}

std::optional<std::int64_t>
upstream_scheduler::weightsOf(const upstream_state &State,
                              std::string_view Model) {
  const auto Found = State.Weights.find(Model);
  if (Found == State.Weights.end())
    return std::nullopt;
  return Found->second;
}

double upstream_scheduler::copyFactor(std::string_view From,
                                      std::string_view To) const {
  if (From == To)
    return 1;
  return sameRegion(From, To) ? Terms.DomainFetchFactor
                              : Terms.RegionFetchFactor;
}

/// Takes \p Offer if it spares more reading than it costs.
void upstream_scheduler::considerCopy(const copy_plan &Offer,
                                      const schedule_query &Query,
                                      std::size_t Held, copy_plan &Best) const {
  double Missed = 0;
  for (std::size_t Index = Held; Index + 1 < Query.Parts.size(); ++Index)
    Missed += static_cast<double>(Query.Parts[Index].Tokens);
  const auto Cost = [&](const copy_plan &Plan) {
    return Plan.Ms * Terms.FetchWeight + (Missed - Plan.Tokens) /
                                             Terms.PrefillTokensPerMs *
                                             Terms.RecomputeWeight;
  };
  if (Offer.Tokens > 0 && Cost(Offer) < Cost(Best))
    Best = Offer;
}

/// The engines from which a part of the shared prompt may be copied. Looked up
/// once for a request, since each engine is weighed against all of them.
std::vector<upstream_scheduler::part_holder>
upstream_scheduler::holdersOf(const schedule_query &Query, instant Now) const {
  std::vector<part_holder> Holders;
  const std::size_t Shared = Query.Parts.empty() ? 0 : Query.Parts.size() - 1;
  for (const auto &[Id, State] : States) {
    const bool Usable = State.Entry.Service == Query.Service &&
                        Now >= State.AvoidUntil && Now >= State.PausedUntil;
    std::size_t Parts = 0;
    while (Usable && Parts < Shared &&
           State.Parts.holds(Query.Parts[Parts].Chain))
      ++Parts;
    if (Parts > 0)
      Holders.push_back({&State, Parts});
  }
  return Holders;
}

/// From where the parts behind the first \p Held ones are copied best: another
/// engine on the same weights or a store. Nothing where reading is cheaper.
upstream_scheduler::copy_plan upstream_scheduler::planCopy(
    const upstream_state &Target, const schedule_query &Query, std::size_t Held,
    std::span<const part_holder> Holders, instant Now) const {
  copy_plan Best;
  const auto Weights = weightsOf(Target, Query.Model);
  const std::size_t Shared = Query.Parts.size() - 1;
  if (!Weights || Held >= Shared)
    return Best;
  const auto TokensUpTo = [&](std::size_t End) {
    double Sum = 0;
    for (std::size_t Index = Held; Index < End; ++Index)
      Sum += static_cast<double>(Query.Parts[Index].Tokens);
    return Sum;
  };
  const auto Engine = Engines.find(Target.Entry.Service);
  const double Rate =
      Engine == Engines.end() ? 0 : Engine->second.FetchTokensPerMs;
  for (const part_holder &Holder : Holders) {
    const upstream_state &State = *Holder.State;
    const bool Usable = Rate > 0 && &State != &Target && Holder.Parts > Held &&
                        weightsOf(State, Query.Model) == Weights;
    if (!Usable)
      continue;
    const double Tokens = TokensUpTo(Holder.Parts);
    const double Factor = copyFactor(State.Entry.Domain, Target.Entry.Domain);
    considerCopy({addressOf(State.Entry), Tokens, Tokens / Rate * Factor},
                 Query, Held, Best);
  }
  for (const cache_store &Store : Stores) {
    if (Now < Store.PausedUntil || Store.Place.FetchTokensPerMs <= 0)
      continue;
    std::size_t Parts = 0;
    while (Parts < Shared &&
           Store.Parts.holds(Query.Parts[Parts].Chain ^ weightsMark(*Weights)))
      ++Parts;
    const double Tokens = TokensUpTo(Parts);
    const double Factor = copyFactor(Store.Place.Domain, Target.Entry.Domain);
    considerCopy({Store.Place.Address, Tokens,
                  Tokens / Store.Place.FetchTokensPerMs * Factor},
                 Query, Held, Best);
  }
  return Best;
}

/// A store in the engine's own domain that is not believed to hold the whole
/// shared prompt. Copies over longer ways occupy a store's link for too long.
std::string upstream_scheduler::storeLacking(const upstream_state &Target,
                                             const schedule_query &Query,
                                             instant Now) const {
  const auto Weights = weightsOf(Target, Query.Model);
  for (const cache_store &Store : Stores) {
    const bool Usable = Weights && Store.Place.Domain == Target.Entry.Domain &&
                        Now >= Store.PausedUntil;
    if (!Usable)
      continue;
    for (std::size_t Index = 0; Index + 1 < Query.Parts.size(); ++Index)
      if (!Store.Parts.holds(Query.Parts[Index].Chain ^ weightsMark(*Weights)))
        return Store.Place.Address;
  }
  return {};
}

upstream_scheduler::estimate upstream_scheduler::estimateFor(
    upstream_state &State, const schedule_query &Query,
    const choice_context &Context, instant Now) const {
  estimate Estimate;
  Estimate.BacklogMs = backlog(State, Now);
  Estimate.SurplusMs = surplus(State, Now);
  Estimate.Ms = Estimate.BacklogMs + Estimate.SurplusMs + distance(State);
  if (isPlain(State)) {
    Estimate.Ms += Terms.PlainWorkMs;
    Estimate.FirstMs = Estimate.Ms;
    return Estimate;
  }
  Estimate.EngineHeldTokens = heldTokens(State, Now);
  // What running requests hold cannot cache anything else.
  State.Parts.setRoom(Terms.CacheRoom * cacheTokens(State) -
                      heldTokens(State, Now));
  const std::size_t Shared = Query.Parts.empty() ? 0 : Query.Parts.size() - 1;
  std::size_t Held = 0;
  double HeldTokens = 0;
  while (Held < Shared && State.Parts.holds(Query.Parts[Held].Chain))
    HeldTokens += static_cast<double>(Query.Parts[Held++].Tokens);
  double SharedTokens = 0;
  for (std::size_t Index = 0; Index < Shared; ++Index)
    SharedTokens += static_cast<double>(Query.Parts[Index].Tokens);
  double Own = Query.PromptTokens - SharedTokens;
  // The last part is a session's: an engine that had it reads nothing of it.
  if (Held == Shared && Shared < Query.Parts.size() &&
      State.Parts.holds(Query.Parts.back().Chain))
    Own -= static_cast<double>(Query.Parts.back().Tokens);
  Own = std::max(0.0, Own);
  Estimate.MissedTokens = SharedTokens - HeldTokens;
  if (Estimate.MissedTokens > 0) {
    Estimate.Copy = planCopy(State, Query, Held, Context.Holders, Now);
    Estimate.SaveTo = storeLacking(State, Query, Now);
  }
  const double Read = Estimate.MissedTokens - Estimate.Copy.Tokens;
  Estimate.WorkMs = (Own + Read) / Terms.PrefillTokensPerMs;
  Estimate.HeldTokens = Query.PromptTokens + Query.AnswerTokens;
  Estimate.InsertedTokens = Own + Query.AnswerTokens + Estimate.MissedTokens;
  const double Wait = memoryWait(State, Estimate.HeldTokens, Now);
  Estimate.FirstMs = Estimate.Ms + Terms.FirstTokenMs + Estimate.WorkMs +
                     Estimate.Copy.Ms + Wait;
  Estimate.WaitMs = Estimate.BacklogMs + Estimate.SurplusMs + Wait;
  Estimate.Ms += Terms.FirstTokenMs + Own / Terms.PrefillTokensPerMs +
                 Estimate.Copy.Ms * Terms.FetchWeight + Wait +
                 *weightsCost(State, Query.Model, Context.UpdatedPart, Now);
  // What nobody is known to hold is read at its home at no further cost.
  const double Weight = Context.Home == &State ? 1 : Terms.RecomputeWeight;
  Estimate.Ms += Read / Terms.PrefillTokensPerMs * Weight;
  const double Safe = toMs(Query.Target) * Terms.SafeTarget;
  if (Safe > 0)
    Estimate.Ms += std::max(0.0, Estimate.FirstMs - Safe) * Terms.LateWeight;
  return Estimate;
}

/// The part of \p Usable that has the newest weights, or shows none.
double
upstream_scheduler::updatedPart(std::string_view Model,
                                std::span<upstream_state *const> Usable) const {
  const auto Versions = Named.find(Model);
  if (Versions == Named.end() || Versions->second.empty() || Usable.empty())
    return 0;
  const std::int64_t Newest = Versions->second.back().Version;
  const auto Updated =
      std::ranges::count_if(Usable, [&](const upstream_state *State) {
        const auto Held = weightsOf(*State, Model);
        return !Held || *Held >= Newest;
      });
  return static_cast<double>(Updated) / static_cast<double>(Usable.size());
}

/// Nothing where the upstream's weights are too old to be used at all.
std::optional<double>
upstream_scheduler::weightsCost(const upstream_state &State,
                                std::string_view Model, double UpdatedPart,
                                instant Now) const {
  const auto Versions = Named.find(Model);
  const auto Held = weightsOf(State, Model);
  if (Versions == Named.end() || !Held)
    return 0;
  // The first newer version is the one that has waited longest.
  for (const named_weights &Newer : Versions->second) {
    if (Newer.Version <= *Held)
      continue;
    const span_ns Age = Now - Newer.LearntAt;
    if (Age > Terms.OldWeightsBound)
      return std::nullopt;
    return Age > Terms.OldWeightsGrace ? Terms.OldWeightsMs * UpdatedPart : 0;
  }
  return 0;
}

} // namespace ebonyvale
