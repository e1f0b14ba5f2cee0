#include "soak/silence_plan.h"

#include <algorithm>
#include <array>
#include <random>

#include <spdlog/fmt/fmt.h>

namespace ebonyvale {
namespace {

using namespace std::chrono_literals;

constexpr std::array<std::string_view, 12> Names{
    "silence",    "idle timeout", "route timeout", "route",
    "kill",       "terminate",    "pause",         "caller link",
    "store link", "store",        "kill others",   "upstream kill"};
constexpr span_ns Lead = 600ms; ///< from a change to the silence after it
constexpr int AnyNumber = 1 << 20;

} // namespace

std::vector<silence_event> makeSilencePlan(std::uint32_t Seed, span_ns Length,
                                           bool Faults, bool Kills) {
  std::vector<silence_event> Plan;
  const auto Append = [&](std::mt19937 &Random, int First, int Last, span_ns At,
                          double MinMs, double MaxMs) {
    std::uniform_int_distribution<int> Kind(First, Last);
    std::uniform_int_distribution<int> Any(0, AnyNumber);
    std::uniform_real_distribution<double> DurationMs(MinMs, MaxMs);
    silence_event Event;
    Event.Kind = static_cast<silence_event_kind>(Kind(Random));
    Event.At = At;
    Event.Duration = fromMs(DurationMs(Random));
    Event.Target = Any(Random);
    Event.Variant = Any(Random);
    Plan.push_back(Event);
  };
  constexpr int Silence = static_cast<int>(silence_event_kind::Silence);
  constexpr int FirstChange = static_cast<int>(silence_event_kind::IdleTimeout);
  constexpr int LastChange = static_cast<int>(silence_event_kind::Route);
  constexpr double MinSilenceMs = 1000;
  constexpr double MaxSilenceMs = 1300;
  std::mt19937 Series(Seed);
  std::uniform_real_distribution<double> StepMs(2500, 4000);
  for (span_ns At = 1s; At < Length; At += fromMs(StepMs(Series))) {
    Append(Series, FirstChange, LastChange, At, 0, 1);
    Append(Series, Silence, Silence, At + Lead, MinSilenceMs, MaxSilenceMs);
  }
  // Each series has numbers of its own, so that faults change no other event.
  const auto AppendOften = [&](std::uint32_t Stream, int First, int Last,
                               double GapMs, double MinMs, double MaxMs) {
    std::seed_seq Sequence{Seed, Stream};
    std::mt19937 Random(Sequence);
    std::exponential_distribution<double> Gap(1 / GapMs);
    for (span_ns At = fromMs(Gap(Random)); At < Length;
         At += fromMs(Gap(Random)))
      Append(Random, First, Last, At, MinMs, MaxMs);
  };
  AppendOften(1, Silence, Silence, 6000, MinSilenceMs, MaxSilenceMs);
  AppendOften(2, FirstChange, LastChange, 2500, 0, 1);
  if (Faults) {
    AppendOften(3, static_cast<int>(silence_event_kind::Kill),
                static_cast<int>(silence_event_kind::Store), 2500, 200, 1500);
    constexpr int KillOthers = static_cast<int>(silence_event_kind::KillOthers);
    AppendOften(4, KillOthers, KillOthers, 8000, 0, 1);
  }
  if (Kills) {
    constexpr int Kill = static_cast<int>(silence_event_kind::UpstreamKill);
    AppendOften(5, Kill, Kill, 2000, MinSilenceMs, MaxSilenceMs);
  }
  std::ranges::stable_sort(Plan, {}, &silence_event::At);
  return Plan;
}

std::string describe(const silence_event &Event) {
  return fmt::format("{:7.0f} ms  {} target {} variant {} for {:.0f} ms",
                     toMs(Event.At),
                     Names[static_cast<std::size_t>(Event.Kind)], Event.Target,
                     Event.Variant, toMs(Event.Duration));
}

} // namespace ebonyvale
