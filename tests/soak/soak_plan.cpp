#include "soak/soak_plan.h"

#include <algorithm>
#include <array>
#include <random>

#include <spdlog/fmt/fmt.h>

namespace ebonyvale {
namespace {

constexpr std::array<std::string_view, SoakEventKinds> Names{
    "caller link",    "store link", "upstream link", "store",
    "compaction",     "upstream",   "replacement",   "draining",
    "terminate",      "kill",       "kill all",      "pause",
    "key withdrawal", "version",    "weights",       "named limit",
    "restore",        "release",    "leaving",       "requested pause",
    "other build"};

/// Relative frequency of each kind before `NamedLimit`.
constexpr std::array<double, SoakEventKinds - 6> Weights{
    6, 6, 8, 8, 3, 10, 3, 3, 4, 4, 1, 5, 4, 4, 3};

/// Appends events of \p Kind to \p Plan. They are drawn from numbers of their
/// own, so that the other events of a seed stay as they are.
void appendEvents(std::vector<soak_event> &Plan, soak_event_kind Kind,
                  std::uint32_t Seed, span_ns Length, span_ns MeanGap,
                  span_ns MaxDuration) {
  std::seed_seq Sequence{Seed, static_cast<std::uint32_t>(Kind)};
  std::mt19937 Random(Sequence);
  std::exponential_distribution<double> Gap(1 / toMs(MeanGap));
  std::uniform_real_distribution<double> DurationMs(toMs(MaxDuration) / 4,
                                                    toMs(MaxDuration));
  std::uniform_int_distribution<int> AnyInteger(0, 1 << 20);
  for (span_ns At = fromMs(Gap(Random)); At < Length;
       At += fromMs(Gap(Random))) {
    soak_event Event{Kind, At, fromMs(DurationMs(Random)), 0, 0};
    Event.Target = static_cast<std::size_t>(AnyInteger(Random));
    Event.Variant = AnyInteger(Random);
    Plan.push_back(Event);
  }
}

} // namespace

std::string_view soakEventKindName(soak_event_kind Kind) {
  return Names[static_cast<std::size_t>(Kind)];
}

bool touchesGatewaysOnly(soak_event_kind Kind) {
  using enum soak_event_kind;
  return Kind == CallerLink || Kind == StoreLink || Kind == Store ||
         Kind == Compaction || Kind == Terminate || Kind == Kill ||
         Kind == KillAll || Kind == Pause;
}

soak_size releaseSize(span_ns Length) {
  soak_size Size;
  Size.Gateways = 6;
  Size.Upstreams = 6;
  Size.Callers = 36;
  Size.Streamers = 24;
  Size.Length = Length;
  Size.Gap = std::chrono::seconds(3);
  Size.LimitGap = std::chrono::seconds(30);
  Size.RestoreGap = std::chrono::seconds(30);
  Size.ReleaseGap = std::chrono::seconds(6);
  Size.LeavingGap = std::chrono::seconds(20);
  Size.PauseGap = std::chrono::seconds(20);
  Size.KillGap = std::chrono::seconds(2);
  return Size;
}

std::optional<soak_size> chooseSize(const size_request &Request) {
  soak_size Size;
  Size.Length = Request.Length;
  if (Request.Releases)
    Size = releaseSize(Request.Length);
  const std::size_t UsualCallers = Size.Callers;
  Size.Gateways = Request.Gateways.value_or(Size.Gateways);
  Size.Callers = Request.Callers.value_or(Size.Callers);
  Size.Streamers = Size.Streamers * Size.Callers / UsualCallers;
  if (Request.TwoBuilds)
    Size.BuildGap = std::chrono::milliseconds(1500);
  if (Size.Gateways == 0 || Size.Callers == 0)
    return std::nullopt;
  return Size;
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
  appendEvents(Plan, soak_event_kind::NamedLimit, Seed, Size.Length,
               Size.LimitGap, std::chrono::seconds(10));
  appendEvents(Plan, soak_event_kind::Restore, Seed, Size.Length,
               Size.RestoreGap, std::chrono::seconds(4));
  appendEvents(Plan, soak_event_kind::Release, Seed, Size.Length,
               Size.ReleaseGap, std::chrono::seconds(4));
  appendEvents(Plan, soak_event_kind::Leaving, Seed, Size.Length,
               Size.LeavingGap, std::chrono::seconds(8));
  appendEvents(Plan, soak_event_kind::RequestedPause, Seed, Size.Length,
               Size.PauseGap, std::chrono::seconds(4));
  if (Size.KillGap > span_ns(0))
    appendEvents(Plan, soak_event_kind::Kill, Seed, Size.Length, Size.KillGap,
                 std::chrono::seconds(1));
  if (Size.BuildGap > span_ns(0))
    appendEvents(Plan, soak_event_kind::OtherBuild, Seed, Size.Length,
                 Size.BuildGap, std::chrono::seconds(1));
  std::ranges::stable_sort(Plan, {}, &soak_event::At);
  return Plan;
}

std::string describe(const soak_event &Event) {
  return fmt::format("{:7.0f} ms  {} target {} variant {} for {:.0f} ms",
                     toMs(Event.At), soakEventKindName(Event.Kind),
                     Event.Target, Event.Variant, toMs(Event.Duration));
}

} // namespace ebonyvale
