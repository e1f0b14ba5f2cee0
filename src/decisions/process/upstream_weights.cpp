// What the scheduler knows of weights: announced versions, those that engines
// hold, and the cost of outdated ones.
#include "decisions/process/upstream_scheduler.h"

#include <algorithm>

namespace ebonyvale {

std::uint64_t upstream_scheduler::weightsHash(std::int64_t Version) {
  // Fibonacci hashing spreads small numbers over all bits.
  constexpr std::uint64_t Multiplier = 0x9e3779b97f4a7c15;
  return static_cast<std::uint64_t>(Version) * Multiplier;
}

std::optional<std::int64_t>
upstream_scheduler::weightsOf(const upstream_state &State,
                              std::string_view Model) {
  const auto Found = State.Weights.find(Model);
  if (Found == State.Weights.end())
    return std::nullopt;
  return Found->second;
}

void upstream_scheduler::onWeightsMismatch(std::string_view Upstream,
                                           std::string_view Model,
                                           instant Now) {
  upstream_state *State = find(Upstream);
  if (!State)
    return;
  State->Weights.erase(std::string(Model));
  State->Segments.clear();
  State->AvoidUntil =
      std::max(State->AvoidUntil, Now + std::chrono::milliseconds(100));
}

void upstream_scheduler::onWeights(std::string_view Upstream,
                                   std::string_view Model,
                                   std::int64_t Version) {
  upstream_state *State = find(Upstream);
  if (!State)
    return;
  std::int64_t &Held = State->Weights[std::string(Model)];
  if (Version <= Held)
    return;
  Held = Version;
  // Segments cached under other weights are invalid.
  State->Segments.clear();
}

void upstream_scheduler::pause(std::string_view Upstream, instant Until) {
  if (upstream_state *State = find(Upstream))
    State->PausedUntil = Until;
}

/// Returns the fraction of \p Usable with the newest weights or unknown
/// weights.
double
upstream_scheduler::updatedFraction(std::string_view Model,
                                    std::span<const candidate> Usable) const {
  const weights_announcement *Newest = Announced.newest(Model);
  if (!Newest || Usable.empty())
    return 0;
  const auto Updated =
      std::ranges::count_if(Usable, [&](const candidate &Candidate) {
        const auto Held = weightsOf(*Candidate.State, Model);
        return !Held || *Held >= Newest->Version;
      });
  return static_cast<double>(Updated) / static_cast<double>(Usable.size());
}

const weights_announcement *
upstream_scheduler::firstNewer(const upstream_state &State,
                               std::string_view Model) const {
  const auto Held = weightsOf(State, Model);
  return Held ? Announced.firstNewer(Model, *Held) : nullptr;
}

/// Returns the cost of using outdated weights, 0 if they are current or
/// unknown, or nothing if they are too old to be used.
std::optional<double> upstream_scheduler::oldWeightsCostMs(
    const upstream_state &State, std::string_view Model, double UpdatedFraction,
    instant Now) const {
  const weights_announcement *Newer = firstNewer(State, Model);
  if (!Newer)
    return 0;
  if (Now > Announced.usableUntil(*Newer))
    return std::nullopt;
  return Announced.age(*Newer, Now) > Options.OldWeightsGrace
             ? Options.OldWeightsMs * UpdatedFraction
             : 0;
}

} // namespace ebonyvale
