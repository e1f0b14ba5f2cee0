// Releases of sound and faulty versions by fleets under trouble, in virtual
// time. Prints false roll-backs, missed versions and exposure of each cell.
#include "decisions/process/released_fleet.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <algorithm>
#include <cmath>

#include <spdlog/fmt/fmt.h>

using namespace ebonyvale;

namespace {

struct fleet_row {
  std::size_t Instances;
  unsigned Seeds;
  trouble Trouble = trouble::None;
  span_ns Duration = 30s;
};

/// Largest number of cases that a rate explains, all but once in a thousand.
unsigned mostCases(double Rate, unsigned Trials) {
  double Chance = std::pow(1 - Rate, Trials);
  double Sum = Chance;
  unsigned Cases = 0;
  for (; Sum < 0.999 && Cases < Trials; ++Cases) {
    Chance *= (Trials - Cases) * Rate / ((Cases + 1) * (1 - Rate));
    Sum += Chance;
  }
  return Cases;
}

} // namespace

ParameterizedTestParameters(service_releases, versions_and_troubles) {
  static fleet_row Rows[21];
  std::size_t Count = 0;
  constexpr std::pair<std::size_t, unsigned> Sizes[] = {
      {1, 20}, {8, 20}, {60, 6}, {450, 1}};
  for (const auto &[Instances, Seeds] : Sizes)
    for (const trouble Trouble :
         {trouble::None, trouble::DeciderKilled, trouble::HalfCutOff,
          trouble::MessagesLost, trouble::StoreDown})
      if (Instances > 1 ||
          (Trouble != trouble::HalfCutOff && Trouble != trouble::MessagesLost))
        Rows[Count++] = {Instances, Seeds, Trouble};
  Rows[Count++] = {8, 20, trouble::None, 12s};
  return cr_make_param_array(fleet_row, Rows, Count);
}

ParameterizedTest(fleet_row *Row, service_releases, versions_and_troubles) {
  // Two tests on each of two routes and on both together.
  constexpr double FalseRollbacks = 6 * release_evidence::FalseAlarm;
  constexpr double Misses = release_evidence::Miss;
  const bool IsDeciderKilled = Row->Trouble == trouble::DeciderKilled;
  for (const version_kind &Version : Versions) {
    unsigned Wrong = 0;
    unsigned Unproven = 0;
    unsigned Untested = 0;
    unsigned Tardy = 0;
    std::size_t Late = 0;
    double MostOver = -1e9;
    double MostShare = 0;
    double Ended = 0;
    for (unsigned Seed = 1; Seed <= Row->Seeds; ++Seed) {
      const outcome Result = released_fleet(Version, Row->Instances,
                                            Row->Trouble, Row->Duration, Seed)
                                 .run();
      const bool IsCompleted = Result.State == release_state::Completed;
      const bool IsUnproven = Result.Reason == "not_proven";
      cr_expect(IsCompleted || Result.State == release_state::RolledBack);
      Wrong += IsCompleted == Version.IsBad && !IsUnproven;
      Unproven += IsUnproven;
      Untested += IsCompleted && Result.Reason == "too_few_responses";
      Tardy += Result.EndedAt > toSeconds(Row->Duration);
      Late += Version.IsBad ? Result.Late : 0;
      const auto Requests = static_cast<double>(Result.Requests);
      const auto Exposed = static_cast<double>(Result.Exposed);
      if (Version.IsBad)
        MostOver = std::max(MostOver, Exposed - Bounds.ExposeShare * Requests -
                                          Bounds.CanarySlack);
      MostShare = std::max(MostShare, Exposed / Requests);
      Ended += Result.EndedAt / Row->Seeds;
    }
    fmt::print("{:>3} instances, {:.0f} s, {:<14} {:<15} {:>2} of {:>2} {}, {} "
               "with few responses, {} not "
               "proven, {} late, share at most {:.3f}, end at {:.1f} s\n",
               Row->Instances, toSeconds(Row->Duration),
               TroubleNames[static_cast<int>(Row->Trouble)], Version.Name,
               Wrong, Row->Seeds, Version.IsBad ? "missed" : "rolled back",
               Untested, Unproven, Tardy, MostShare, Ended);
    cr_expect(MostOver <= 0, "%s: %.0f requests over the bound", Version.Name,
              MostOver);
    cr_expect(Late == 0, "%s: %zu requests after a roll-back was due",
              Version.Name, Late);
    // A claim is taken over within 2.5 s.
    cr_expect(Tardy == 0 || IsDeciderKilled, "%s: %u after the deadline",
              Version.Name, Tardy);
    // A small fault takes more responses than some of these fleets get. What
    // is completed with too few keeps the bound on exposure, as above.
    const bool IsScarce = Row->Duration < 30s || Version.IsSmall;
    const unsigned Missed = IsScarce ? Wrong - Untested : Wrong;
    cr_expect(
        (Version.IsBad ? Missed : Wrong) <=
            mostCases(Version.IsBad ? Misses : FalseRollbacks, Row->Seeds),
        "%s: %u wrong", Version.Name, Wrong);
    // The evidence of a single instance ends with its process.
    if (!Version.IsBad && !Version.OneUpstream &&
        !(Row->Instances == 1 && IsDeciderKilled))
      cr_expect(Unproven <= mostCases(FalseRollbacks, Row->Seeds),
                "%s: %u not proven", Version.Name, Unproven);
  }
}
