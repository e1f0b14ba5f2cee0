#include "soak/soak_plan.h"

#include <array>
#include <random>

#include <spdlog/fmt/fmt.h>

namespace ebonyvale {
namespace {

constexpr std::array<std::string_view, SoakEventKinds> Names{
    "caller link", "store link",  "upstream link",  "store",     "compaction",
    "upstream",    "replacement", "draining",       "terminate", "kill",
    "kill all",    "pause",       "key withdrawal", "version",   "weights"};

/// Relative frequency of each kind.
constexpr std::array<double, SoakEventKinds> Weights{6, 6, 8, 8, 3, 10, 3, 3,
                                                     4, 4, 1, 5, 4, 4,  3};

} // namespace

std::string_view soakEventKindName(soak_event_kind Kind) {
  return Names[static_cast<std::size_t>(Kind)];
}

std::vector<soak_event> makeSoakPlan(std::uint32_t Seed,
                                     const soak_size &Size) {
  std::mt19937 Random(Seed);
  std::discrete_distribution<int> Kind(Weights.begin(), Weights.end());
  std::exponential_distribution<double> Gap(1 / toMs(Size.Gap));
  std::uniform_real_distribution<double> DurationMs(100, 2500);
  std::uniform_int_distribution<int> AnyInteger(0, 1 << 20);
  std::vector<soak_event> Plan;
  for (span_ns At = fromMs(Gap(Random)); At < Size.Length;
       At += fromMs(Gap(Random))) {
    soak_event Event;
    Event.Kind = static_cast<soak_event_kind>(Kind(Random));
    Event.At = At;
    Event.Duration = fromMs(DurationMs(Random));
    Event.Target = static_cast<std::size_t>(AnyInteger(Random));
    Event.Variant = AnyInteger(Random);
    Plan.push_back(Event);
  }
  return Plan;
}

std::string describe(const soak_event &Event) {
  return fmt::format("{:7.0f} ms  {} target {} variant {} for {:.0f} ms",
                     toMs(Event.At), soakEventKindName(Event.Kind),
                     Event.Target, Event.Variant, toMs(Event.Duration));
}

} // namespace ebonyvale
