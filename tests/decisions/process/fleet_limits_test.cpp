// Limits that each instance enforces on its own must hold for the whole fleet.
#include "decisions/process/fleet_retry_budget.h"
#include "decisions/process/freshness.h"
#include "decisions/process/instance_roster.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

using namespace ebonyvale;
using namespace std::chrono_literals;

namespace {

struct budget_row {
  std::size_t Instances;
  double FailureFraction;
  unsigned Seed;
};

/// Checks that the retries in each window before one of them stay within the
/// budget that the requests in it give.
void checkWindows(const char *Name, const std::vector<instant> &Requests,
                  const std::vector<instant> &Retries,
                  const retry_options &Options) {
  const auto CountIn = [](const std::vector<instant> &Times, instant From,
                          instant To) {
    return std::ranges::upper_bound(Times, To) -
           std::ranges::lower_bound(Times, From);
  };
  cr_assert(!Retries.empty());
  for (const instant End : Retries) {
    const auto RetryCount = CountIn(Retries, End - 10s, End);
    const double Allowed =
        Options.Ratio * static_cast<double>(CountIn(Requests, End - 10s, End)) +
        Options.Slack;
    cr_assert(static_cast<double>(RetryCount) <= Allowed,
              "%s: %td retries, %.0f allowed", Name, RetryCount, Allowed);
  }
}

} // namespace

ParameterizedTestParameters(fleet_retry_budget, holds_in_every_sliding_window) {
  static budget_row Rows[] = {{1, 0.5, 1}, {8, 1.0, 2},  {8, 0.3, 3},
                              {9, 1.0, 4}, {59, 1.0, 5}, {86, 0.8, 6}};
  return criterion_test_params(Rows);
}

/// Requests fail at random and are retried while the budget allows it. The
/// check counts requests and retries of all instances in the window before each
/// retry.
ParameterizedTest(budget_row *Row, fleet_retry_budget,
                  holds_in_every_sliding_window) {
  const retry_options Options{0.2, 56, 10s};
  std::vector<fleet_retry_budget> Fleet(Row->Instances,
                                        fleet_retry_budget(instant(-20s)));
  std::mt19937 Random(Row->Seed);
  std::uniform_real_distribution<double> Chance(0, 1);
  std::uniform_int_distribution<std::size_t> AnyInstance(0, Row->Instances - 1);
  std::vector<instant> Requests;
  std::vector<instant> Retries;
  for (instant Now; Now < instant(40s); Now += 10ms) {
    // A burst from 15 s to 20 s, and no requests after 30 s.
    const bool Burst = Now > instant(15s) && Now < instant(20s);
    const int Arrivals = Now > instant(30s) ? 0 : Burst ? 4 : 1;
    for (int Index = 0; Index < Arrivals; ++Index) {
      fleet_retry_budget &Instance = Fleet[AnyInstance(Random)];
      Instance.onRequest(Now, Options);
      Requests.push_back(Now);
      while (Chance(Random) < Row->FailureFraction &&
             Instance.take(Now, Options, Row->Instances))
        Retries.push_back(Now);
    }
  }
  checkWindows("no process ends", Requests, Retries, Options);
}

namespace {

/// What happens to instances while all of them retry as often as they may.
enum class disruption {
  KillInTurn, ///< each is killed, and back at once, one every 900 ms
  KillAll,    ///< all are killed at once, and back at once, three times
  StopInTurn, ///< each leaves, and is back after a second, one every 2 s
  LoseMost,   ///< all but one leave for good
  Unlisted,   ///< all are killed, and none knows the others for a while
};

struct disruption_row {
  char Name[24];
  std::size_t Instances;
  disruption Kind;
};

/// An instance whose process can be replaced. All see changes of the others
/// after `NoticeTime`.
struct simulated_instance {
  std::string Name;
  instance_roster Roster;
  fleet_retry_budget Budget;
  bool Runs = true;
  bool KnowsRoster = true;
};

/// Time after which instances notice that the presence of another has ended or
/// has begun.
constexpr span_ns NoticeTime = 300ms;

class simulated_fleet {
public:
  explicit simulated_fleet(std::size_t Instances) {
    for (std::size_t Index = 0; Index < Instances; ++Index) {
      const std::string Name = "i-" + std::to_string(Index);
      Fleet.push_back(
          {Name, instance_roster(Name), fleet_retry_budget(instant(-20s))});
    }
    for (simulated_instance &Instance : Fleet)
      readRoster(Instance, instant(-20s));
  }

  /// Ends the process \p Index. Its presence ends with its lease, unless it
  /// \p Leaves.
  void end(std::size_t Index, bool Leaves, instant Now) {
    constexpr span_ns LeaseTime = 3s;
    Fleet[Index].Runs = false;
    Changes.push_back({Now + NoticeTime + (Leaves ? span_ns(0) : LeaseTime),
                       Index, /*IsPresent=*/false});
  }

  /// Starts a new process of the instance \p Index.
  void start(std::size_t Index, bool KnowsRoster, instant Now) {
    simulated_instance &Instance = Fleet[Index];
    std::erase_if(Changes, [Index](const change &Change) {
      return Change.Index == Index;
    });
    Instance.Roster = instance_roster(Instance.Name);
    Instance.Budget = fleet_retry_budget(Now);
    Instance.Runs = true;
    Instance.KnowsRoster = KnowsRoster;
    readRoster(Instance, Now);
    Changes.push_back({Now + NoticeTime, Index, /*IsPresent=*/true});
  }

  void advance(instant Now) {
    for (const change &Change : Changes)
      if (Change.At <= Now)
        for (simulated_instance &Instance : Fleet) {
          const std::string &Name = Fleet[Change.Index].Name;
          if (Change.IsPresent)
            Instance.Roster.putPresence(Name, Now);
          else
            Instance.Roster.removePresence(Name, Now);
        }
    std::erase_if(Changes,
                  [Now](const change &Change) { return Change.At <= Now; });
  }

  bool retry(std::size_t Index, instant Now, const retry_options &Options) {
    simulated_instance &Instance = Fleet[Index];
    const std::size_t Instances =
        Instance.KnowsRoster
            ? Instance.Roster.spendingCount(Now, Options.Window)
            : 0;
    return Instance.Budget.take(Now, Options, Instances);
  }

  std::vector<simulated_instance> Fleet;

private:
  struct change {
    instant At;
    std::size_t Index;
    bool IsPresent;
  };

  void readRoster(simulated_instance &Reader, instant Now) const {
    for (const simulated_instance &Other : Fleet) {
      Reader.Roster.putEntry(Other.Name, {"127.0.0.1", 1, "d"}, Now);
      if (Other.Runs)
        Reader.Roster.putPresence(Other.Name, Now);
    }
  }

  std::vector<change> Changes;
};

/// Applies \p Kind as it is due at \p Now, from 10 s on.
void disrupt(simulated_fleet &Fleet, disruption Kind, instant Now) {
  const auto Due = [&](span_ns Period, span_ns Phase) {
    return Now >= instant(10s) && (Now - instant(10s)) % Period == Phase;
  };
  const std::size_t Count = Fleet.Fleet.size();
  const auto TurnOf = [&](span_ns Period) {
    return static_cast<std::size_t>((Now - instant(10s)) / Period) % Count;
  };
  switch (Kind) {
  case disruption::KillInTurn:
    if (Due(900ms, 0ms))
      Fleet.end(TurnOf(900ms), false, Now);
    if (Due(900ms, 100ms))
      Fleet.start(TurnOf(900ms), true, Now);
    return;
  case disruption::KillAll:
  case disruption::Unlisted:
    for (std::size_t Index = 0; Index < Count; ++Index) {
      if (Due(6s, 0ms))
        Fleet.end(Index, false, Now);
      if (Due(6s, 300ms))
        Fleet.start(Index, Kind == disruption::KillAll, Now);
    }
    return;
  case disruption::StopInTurn:
    if (Due(2s, 0ms))
      Fleet.end(TurnOf(2s), true, Now);
    if (Due(2s, 1s))
      Fleet.start(TurnOf(2s), true, Now);
    return;
  case disruption::LoseMost:
    if (Now == instant(15s))
      for (std::size_t Index = 1; Index < Count; ++Index)
        Fleet.end(Index, true, Now);
    return;
  }
}

} // namespace

ParameterizedTestParameters(fleet_retry_budget, holds_while_processes_end) {
  using enum disruption;
  static disruption_row Rows[] = {
      {"killed in turn", 8, KillInTurn},  {"killed in turn", 59, KillInTurn},
      {"all killed", 8, KillAll},         {"all killed", 59, KillAll},
      {"stopped in turn", 8, StopInTurn}, {"most lost", 8, LoseMost},
      {"most lost", 59, LoseMost},        {"roster unknown", 8, Unlisted},
  };
  return criterion_test_params(Rows);
}

/// Processes that end handed out shares of the budget again: their successors
/// had spent nothing, and the others divided the slack among fewer.
ParameterizedTest(disruption_row *Row, fleet_retry_budget,
                  holds_while_processes_end) {
  const retry_options Options{0.2, 56, 10s};
  simulated_fleet Fleet(Row->Instances);
  std::mt19937 Random(7);
  std::vector<instant> Requests;
  std::vector<instant> Retries;
  for (instant Now; Now < instant(50s); Now += 10ms) {
    disrupt(Fleet, Row->Kind, Now);
    Fleet.advance(Now);
    const std::size_t Index = Random() % Row->Instances;
    // 25 requests a second, each of which is refused as often as it is sent.
    if (Now.time_since_epoch() % 40ms != 0ms || !Fleet.Fleet[Index].Runs)
      continue;
    Fleet.Fleet[Index].Budget.onRequest(Now, Options);
    Requests.push_back(Now);
    while (Fleet.retry(Index, Now, Options))
      Retries.push_back(Now);
  }
  checkWindows(Row->Name, Requests, Retries, Options);
}

Test(instance_roster,
     instance_without_presence_counts_until_it_stops_spending) {
  instance_roster Roster("a");
  const instant Started(0s);
  for (const char *Name : {"a", "b", "c"}) {
    Roster.putEntry(Name, {"127.0.0.1", 1, "d"}, instant(0s));
    Roster.putPresence(Name, instant(0s));
  }
  cr_assert(Roster.quotaShareCount(instant(20s), Started) == 3);
  Roster.removePresence("b", instant(20s));
  cr_assert(Roster.quotaShareCount(instant(25s), Started) == 3);
  cr_assert(Roster.quotaShareCount(instant(26s), Started) == 2);
  cr_assert(Roster.peers().size() == 1);
}

Test(instance_roster, restart_of_the_fleet_does_not_enlarge_quota_shares) {
  // Entries have persisted, presences have expired with their leases.
  instance_roster Roster("a");
  for (const char *Name : {"a", "b", "c", "d"})
    Roster.putEntry(Name, {"127.0.0.1", 1, "x"}, instant(100s));
  Roster.putPresence("a", instant(100s));
  cr_assert(Roster.quotaShareCount(instant(101s), instant(100s)) == 4);
  cr_assert(Roster.quotaShareCount(instant(109s), instant(100s)) == 1);
  cr_assert(Roster.staleEntries(instant(129s)).empty());
  cr_assert(Roster.staleEntries(instant(131s)).size() == 3);
}

Test(freshness, a_restored_store_confirms_nothing_until_operators_wrote) {
  freshness Freshness;
  freshness_options Options;
  Options.RewriteTime = 2s;
  Freshness.onRead(instant(10s));
  Freshness.onRestored(instant(11s), Options);
  Freshness.onRead(instant(12s));
  cr_assert(Freshness.age(instant(12s)) == 2s);
  Freshness.onRead(instant(13s));
  cr_assert(Freshness.age(instant(13s)) == 0s);
  Freshness.onRestored(instant(14s), Options);
  Freshness.onWrittenAgain();
  Freshness.onRead(instant(14500ms));
  cr_assert(Freshness.age(instant(15s)) == 500ms);
}

Test(freshness, age_counts_from_when_the_read_was_sent) {
  freshness Freshness;
  const freshness_options Options;
  cr_assert(!Freshness.isFreshForKeys(instant(0s), Options));
  cr_assert(!Freshness.isFreshForAbsence(instant(0s), Options));
  Freshness.onRead(instant(10s));
  // A late response to an earlier read does not change the age.
  Freshness.onRead(instant(8s));
  cr_assert(Freshness.isFreshForKeys(instant(14600ms), Options));
  cr_assert(!Freshness.isFreshForKeys(instant(14700ms), Options));
  cr_assert(Freshness.isFreshForAbsence(instant(12400ms), Options));
  cr_assert(!Freshness.isFreshForAbsence(instant(12500ms), Options));
}
