// What the scheduler learns of costs and speeds, and the estimates that follow
// from it.
#include "decisions/process/upstream_scheduler.h"

#include <algorithm>
#include <cmath>

namespace ebonyvale {
namespace {

double slotsOf(const upstream_entry &Entry) {
  return static_cast<double>(std::max<std::int64_t>(1, Entry.Slots));
}

} // namespace

void upstream_scheduler::recordLoad(upstream_state &State,
                                    const reported_load &Load, instant At) {
  State.Load = Load;
  State.LoadAt = At;
  if (Load.SlownessPercent != reported_load::UsualSlownessPercent &&
      State.Service)
    Costs.onSlownessStated(*State.Service);
  if (usesLearnedCosts(State))
    State.Speed.onStated(Load.SlownessPercent, At);
}

double upstream_scheduler::slownessOf(const upstream_state &State,
                                      instant Now) {
  return usesLearnedCosts(State) ? State.Speed.slowness(Now) : 1;
}

double upstream_scheduler::occupied(const upstream_state &State,
                                    instant Now) const {
  return std::min(1.0, static_cast<double>(inFlight(State, Now)) /
                           slotsOf(State.Entry));
}

first_chunk_rates upstream_scheduler::ratesOf(const upstream_state &State,
                                              instant Now) const {
  if (!usesLearnedCosts(State))
    return {Options.PrefillTokensPerMs, Options.FirstTokenMs};
  return State.Service->rates(occupied(State, Now));
}

std::optional<double> upstream_scheduler::ownRestMs(const upstream_state &State,
                                                    instant Now) const {
  if (!usesLearnedCosts(State))
    return std::nullopt;
  // Beyond the slots, requests take turns.
  const double Requests =
      std::max(1.0, static_cast<double>(inFlight(State, Now)));
  const double Pace =
      std::min(1.0, slotsOf(State.Entry) / Requests) / slownessOf(State, Now);
  return State.Work.restMs(Pace, Now);
}

std::optional<double>
upstream_scheduler::meanServiceMs(const upstream_state &State) const {
  if (!State.Service->meanServiceMs())
    return std::nullopt;
  return *State.Service->meanServiceMs() +
         (isPlain(State) ? 0 : Options.FirstTokenMs);
}

double upstream_scheduler::restMs(const upstream_state &State,
                                  instant Now) const {
  const std::int64_t Stated = State.InFlight + State.Peers.inFlight() -
                              State.Peers.inFlightWithoutRest();
  const std::int64_t Others = inFlight(State, Now) - Stated;
  const double MeanMs = meanServiceMs(State).value_or(
      isPlain(State) ? Options.PlainRequestMs : Options.FirstTokenMs);
  return ownRestMs(State, Now).value_or(0) + State.Peers.restMs() +
         static_cast<double>(std::max<std::int64_t>(0, Others)) * MeanMs;
}

double upstream_scheduler::slotWaitMs(const upstream_state &State,
                                      instant Now) const {
  const auto Requests = static_cast<double>(inFlight(State, Now));
  const double Slots = slotsOf(State.Entry);
  if (Requests < Slots)
    return 0;
  // All slots together end the requests before this one.
  return (Requests - Slots + 1) * restMs(State, Now) / Requests / Slots *
         slownessOf(State, Now);
}

double upstream_scheduler::crowdMs(const upstream_state &State,
                                   instant Now) const {
  return Options.CrowdWeight * restMs(State, Now) / slotsOf(State.Entry) *
         slownessOf(State, Now);
}

std::optional<double>
upstream_scheduler::memoryRestMs(const upstream_state &State,
                                 instant Now) const {
  const std::int64_t Requests = inFlight(State, Now);
  if (!usesLearnedCosts(State) || Requests == 0 || !meanServiceMs(State))
    return std::nullopt;
  return restMs(State, Now) / static_cast<double>(Requests) *
         slownessOf(State, Now);
}

learned_estimate
upstream_scheduler::learnedEstimate(const upstream_state &State,
                                    const choice_context &Context,
                                    double WaitMs, instant Now) const {
  learned_estimate Learned;
  Learned.Cost = Context.Cost;
  Learned.Slowness = slownessOf(State, Now);
  Learned.WaitMs = WaitMs;
  Learned.DistanceMs = distanceMs(State);
  Learned.Occupied = occupied(State, Now);
  Learned.ExpectedMs = Context.Cost     ? Context.Cost->MeanMs
                       : isPlain(State) ? Options.PlainRequestMs
                                        : 0;
  return Learned;
}

void upstream_scheduler::learnFirstChunk(const schedule_choice &Choice,
                                         span_ns After) {
  const upstream_state *State = find(Choice.Upstream);
  if (!State || !State->Service || !Choice.Learned || isPlain(*State))
    return;
  const learned_estimate &Learned = *Choice.Learned;
  // The wait is only an estimate, so where it dominates, little is learned.
  constexpr double MaxWaitFraction = 0.25;
  const double Ms = toMs(After) - Learned.DistanceMs - Learned.WaitMs;
  if (Learned.WaitMs <= MaxWaitFraction * Ms)
    State->Service->onFirstChunk(Learned.PrefilledTokens, Learned.Occupied,
                                 Ms / Learned.Slowness);
}

void upstream_scheduler::onServed(const schedule_choice &Choice,
                                  span_ns FirstChunkAfter, span_ns After,
                                  instant Now) {
  upstream_state *State = find(Choice.Upstream);
  if (!State || !Choice.Learned)
    return;
  const learned_estimate &Learned = *Choice.Learned;
  double Ms = toMs(After - FirstChunkAfter);
  // A response that is not streamed has no first chunk of its own.
  if (isPlain(*State) || FirstChunkAfter >= After) {
    // The wait is only an estimate: at least this fraction was service.
    constexpr double MinServiceFraction = 0.2;
    Ms = std::max(toMs(After) - Learned.DistanceMs - Learned.WaitMs,
                  toMs(After) * MinServiceFraction);
  }
  // The slowness may have changed meanwhile.
  const double Slowness = std::sqrt(Learned.Slowness * slownessOf(*State, Now));
  if (Learned.Cost)
    State->Speed.onObserved(Ms, Learned.Cost->MedianMs, Now);
  Costs.onServed(Learned.Attributes, Ms / Slowness);
}

} // namespace ebonyvale
