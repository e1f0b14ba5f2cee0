#include "soak/soak_plan.h"

#include <array>
#include <random>

#include <spdlog/fmt/fmt.h>

namespace ebonyvale {
namespace {

constexpr std::array<std::string_view, SoakKinds> Names{
    "caller link", "store link", "upstream link", "store",   "history",
    "upstream",    "replaced",   "draining",      "term",    "kill",
    "kill all",    "pause",      "withdraw",      "version", "weights"};

/// How often each kind is drawn, against each other.
constexpr std::array<double, SoakKinds> Weights{6, 6, 8, 8, 3, 10, 3, 3,
                                                4, 4, 1, 5, 4, 4,  3};

} // namespace

std::string_view soakKindName(soak_kind Kind) {
  return Names[static_cast<std::size_t>(Kind)];
}

std::vector<soak_event> makeSoakPlan(std::uint32_t Seed,
                                     const soak_size &Size) {
  std::mt19937 Random(Seed);
  std::discrete_distribution<int> Kind(Weights.begin(), Weights.end());
  std::exponential_distribution<double> Gap(1 / toMs(Size.Gap));
  std::uniform_real_distribution<double> Lasting(100, 2500);
  std::uniform_int_distribution<int> Any(0, 1 << 20);
  std::vector<soak_event> Plan;
  for (span_ns At = fromMs(Gap(Random)); At < Size.Length;
       At += fromMs(Gap(Random))) {
    soak_event Event;
    Event.Kind = static_cast<soak_kind>(Kind(Random));
    Event.At = At;
    Event.For = fromMs(Lasting(Random));
    Event.Which = static_cast<std::size_t>(Any(Random));
    Event.How = Any(Random);
    Plan.push_back(Event);
  }
  return Plan;
}

std::string describe(const soak_event &Event) {
  return fmt::format("{:7.0f} ms  {} {} how {} for {:.0f} ms", toMs(Event.At),
                     soakKindName(Event.Kind), Event.Which, Event.How,
                     toMs(Event.For));
}

} // namespace ebonyvale
