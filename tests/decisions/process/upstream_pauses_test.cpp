// Pauses that upstreams ask for are kept, in virtual time.
#include "decisions/process/upstream_limits.h"
#include "decisions/process/upstream_pauses.h"
#include "decisions/process/upstream_scheduler.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <queue>
#include <random>
#include <vector>

#include <spdlog/fmt/fmt.h>

using namespace ebonyvale;
using namespace std::chrono_literals;

namespace {

/// From `SettleTime` after it was asked to the end of the pause an instance may
/// send `MaxInPause` requests, by the platform's rule.
constexpr span_ns SettleTime = 500ms;
constexpr std::size_t MaxInPause = 2;

upstream_entry entryOf(std::size_t Index, std::int64_t Born) {
  upstream_entry Entry;
  Entry.Id = fmt::format("u-{}", Index);
  Entry.Born = Born;
  Entry.Service = "s";
  Entry.Address = "10.0.0.1";
  Entry.Port = static_cast<std::uint16_t>(Index + 1);
  Entry.Domain = "d";
  Entry.Slots = 8;
  return Entry;
}

struct pause_row {
  char Name[32];
  std::size_t Instances;
  std::size_t Upstreams;
  double DemandPerSecond; ///< of each instance
  double FaultsPerSecond; ///< restarts, freezes and cuts of instances
  double StartsPerSecond; ///< of upstreams under the same id and address
};

/// Upstreams that turn requests away for some time and ask for pauses.
class pausing_fleet {
public:
  pausing_fleet(const pause_row &Row, unsigned Seed) : Row(Row), Random(Seed) {
    for (std::size_t Index = 0; Index < Row.Upstreams; ++Index)
      Upstreams.push_back({entryOf(Index, 1)});
    for (std::size_t Index = 0; Index < Row.Instances; ++Index) {
      Instances.emplace_back();
      list(Instances.back());
    }
  }

  void run(span_ns Length) {
    constexpr span_ns Step = 5ms;
    for (; Now < instant(Length); Now += Step) {
      while (!Events.empty() && Events.top().At <= Now) {
        const auto Action = Events.top().Action;
        Events.pop();
        Action();
      }
      if (chance(toSeconds(Step)))
        Upstreams[any(Upstreams.size())].BusyUntil = Now + between(500ms, 5s);
      if (chance(Row.StartsPerSecond * toSeconds(Step)))
        startAgain(any(Upstreams.size()));
      if (chance(Row.FaultsPerSecond * toSeconds(Step)))
        injectFault(any(Instances.size()));
      for (std::size_t Index = 0; Index < Instances.size(); ++Index)
        if (Now >= Instances[Index].StoppedUntil &&
            chance(Row.DemandPerSecond * toSeconds(Step)))
          send(Index);
    }
  }

  /// Returns the largest number of requests of one instance within a pause that
  /// an upstream had asked it for.
  std::size_t mostInPause() const {
    std::size_t Most = 0;
    for (const asked &Asked : Pauses) {
      const auto Count =
          std::ranges::count_if(Arrivals, [&](const arrival &Arrival) {
            return Arrival.Instance == Asked.Instance &&
                   Arrival.Upstream == Asked.Upstream &&
                   Arrival.Born == Asked.Born &&
                   Arrival.At > Asked.At + SettleTime &&
                   Arrival.At < std::min(Asked.End, excusedAt(Asked));
          });
      Most = std::max(Most, static_cast<std::size_t>(Count));
    }
    return Most;
  }

  std::size_t pauses() const { return Pauses.size(); }
  std::size_t Served = 0;
  std::size_t Refused = 0;
  std::size_t FalseRetryAfter = 0; ///< refusals that name another time

private:
  struct upstream {
    upstream_entry Entry;
    instant BusyUntil;
  };
  struct instance {
    upstream_directory Directory;
    upstream_scheduler Scheduler{{}, "d", {}};
    upstream_pauses Pauses;
    instant StoppedUntil;
    std::vector<instant> Faults;
    unsigned Starts = 0;
  };
  struct arrival {
    std::size_t Instance;
    std::size_t Upstream;
    std::int64_t Born;
    instant At;
  };
  struct asked {
    std::size_t Instance;
    std::size_t Upstream;
    std::int64_t Born;
    instant At; ///< when the upstream responded
    instant End;
  };
  struct event {
    instant At;
    std::size_t Number;
    std::function<void()> Action;
    bool operator<(const event &Other) const {
      return std::pair(At, Number) > std::pair(Other.At, Other.Number);
    }
  };

  bool chance(double Probability) {
    return std::uniform_real_distribution<double>(0, 1)(Random) < Probability;
  }
  std::size_t any(std::size_t Count) {
    return std::uniform_int_distribution<std::size_t>(0, Count - 1)(Random);
  }
  span_ns between(span_ns Least, span_ns Most) {
    return fromMs(std::uniform_real_distribution<double>(toMs(Least),
                                                         toMs(Most))(Random));
  }
  void after(span_ns Delay, std::function<void()> Action) {
    Events.push({Now + Delay, ++EventCount, std::move(Action)});
  }
  void deliver(std::size_t Index, span_ns Delay, std::function<void()> Action) {
    after(Delay, [this, Index, Starts = Instances[Index].Starts,
                  Action = std::move(Action)] {
      const instance &Instance = Instances[Index];
      if (Instance.Starts != Starts)
        return;
      if (Now < Instance.StoppedUntil)
        return deliver(Index, Instance.StoppedUntil - Now, Action);
      Action();
    });
  }

  /// Returns when a restart, freeze or cut of the instance begins to excuse
  /// what follows \p Asked.
  instant excusedAt(const asked &Asked) const {
    for (const instant Fault : Instances[Asked.Instance].Faults)
      if (Fault >= Asked.At)
        return Fault;
    return instant::max();
  }

  void list(instance &Instance) {
    std::vector<upstream_entry> Entries;
    for (const upstream &Upstream : Upstreams)
      Entries.push_back(Upstream.Entry);
    Instance.Directory.setAll(std::move(Entries), listing_kind::Continuous,
                              Now);
    Instance.Scheduler.update(Instance.Directory);
  }

  void startAgain(std::size_t Index) {
    upstream &Upstream = Upstreams[Index];
    ++Upstream.Entry.Born;
    Upstream.BusyUntil = Now;
    for (std::size_t Peer = 0; Peer < Instances.size(); ++Peer)
      deliver(Peer, between(5ms, 200ms), [this, Peer, Entry = Upstream.Entry] {
        instance &Instance = Instances[Peer];
        Instance.Directory.put(Entry.Id, Entry, Now);
        Instance.Scheduler.update(Instance.Directory);
      });
  }

  void send(std::size_t Index) {
    instance &Instance = Instances[Index];
    schedule_query Query;
    Query.Service = "s";
    Query.TimeLeft = 4s;
    Query.Pauses = &Instance.Pauses;
    const schedule_outcome Outcome = Instance.Scheduler.choose(Query, Now);
    if (!Outcome.Choice) {
      ++Refused;
      return checkRetryAfter(Instance, Outcome.Refusal.RetryAfter);
    }
    const schedule_choice &Choice = *Outcome.Choice;
    const std::size_t Target = std::stoul(Choice.Upstream.substr(2));
    const upstream_process Process =
        Instance.Directory.find(Choice.Upstream)->process();
    Instance.Scheduler.onSent(Choice, Query, Now);
    deliver(Index, between(20ms, 60ms), [this, Index, Choice] {
      Instances[Index].Scheduler.onEnded(Choice, Now);
    });
    after(between(1ms, 10ms), [this, Index, Target, Process] {
      onArrival(Index, Target, Process);
    });
  }

  void onArrival(std::size_t Index, std::size_t Target,
                 const upstream_process &Process) {
    const upstream &Upstream = Upstreams[Target];
    // A process that is gone or was not meant refuses as another one.
    if (Upstream.Entry.Born != Process.Born)
      return;
    Arrivals.push_back({Index, Target, Process.Born, Now});
    if (Now >= Upstream.BusyUntil) {
      ++Served;
      return;
    }
    const span_ns Pause = between(200ms, 6s);
    Pauses.push_back({Index, Target, Process.Born, Now, Now + Pause});
    deliver(Index, between(1ms, 200ms), [this, Index, Process, Pause] {
      Instances[Index].Pauses.onAsked(Process, Pause, Now);
      Instances[Index].Scheduler.onFull(Process.Id, Now);
    });
  }

  void checkRetryAfter(const instance &Instance, span_ns RetryAfter) {
    instant First = instant::max();
    for (const auto &[Id, Entry] : Instance.Directory.all())
      First = std::min(First, Instance.Pauses.endOf(Entry));
    // Shorter ones are rounded up.
    constexpr span_ns Rounding = 60ms;
    if (Now + RetryAfter < First || Now + RetryAfter > First + Rounding)
      ++FalseRetryAfter;
  }

  void injectFault(std::size_t Index) {
    instance &Instance = Instances[Index];
    Instance.Faults.push_back(Now);
    if (chance(0.3))
      return; // cut: what it was asked may have been lost
    Instance.StoppedUntil = Now + between(500ms, 3s);
    if (chance(0.5))
      return; // frozen
    ++Instance.Starts;
    Instance.Directory = upstream_directory();
    Instance.Scheduler = upstream_scheduler({}, "d", {});
    Instance.Pauses = upstream_pauses();
    list(Instance);
  }

  pause_row Row;
  std::mt19937 Random;
  instant Now;
  std::vector<upstream> Upstreams;
  std::deque<instance> Instances;
  std::vector<arrival> Arrivals;
  std::vector<asked> Pauses;
  std::priority_queue<event> Events;
  std::size_t EventCount = 0;
};

} // namespace

ParameterizedTestParameters(upstream_pauses, are_kept) {
  static pause_row Rows[] = {
      {"one instance", 1, 4, 40, 0, 0},
      {"two upstreams", 8, 2, 10, 0, 0},
      {"calm", 8, 6, 10, 0, 0},
      {"upstreams start again", 8, 6, 10, 0, 1},
      {"faults", 8, 6, 10, 1, 0.5},
      {"many instances", 59, 12, 3, 1, 0.5},
      {"hundreds", 300, 20, 0.5, 1, 0.5},
  };
  return criterion_test_params(Rows);
}

ParameterizedTest(pause_row *Row, upstream_pauses, are_kept) {
  constexpr unsigned Seeds = 8;
  for (unsigned Seed = 1; Seed <= Seeds; ++Seed) {
    pausing_fleet Fleet(*Row, Seed);
    Fleet.run(30s);
    cr_assert(Fleet.mostInPause() <= MaxInPause, "%s, seed %u: %zu requests",
              Row->Name, Seed, Fleet.mostInPause());
    cr_assert(Fleet.FalseRetryAfter == 0, "%s, seed %u: %zu of %zu refusals",
              Row->Name, Seed, Fleet.FalseRetryAfter, Fleet.Refused);
    cr_assert(Fleet.pauses() > 0 && Fleet.Served > 0);
  }
}

/// A longer pause than any sound upstream asks for would lose the upstream.
Test(upstream_pauses, are_bounded) {
  upstream_pauses Pauses;
  const upstream_entry Entry = entryOf(0, 1);
  const instant End = Pauses.onAsked(Entry.process(), 1000h, instant(1s));
  cr_assert(End == instant(1s) + upstream_pauses::MaxPause);
  Pauses.expire(End);
  cr_assert(Pauses.size() == 0);
}

/// Responses may overtake each other: a shorter pause ends no longer one.
struct replaced_row {
  char Name[32];
  int ReplacedMs; ///< after the pause of a second was asked for
  bool SamePort;
  bool Holds; ///< for the next process
};

ParameterizedTestParameters(upstream_pauses, follow_an_unlisted_process) {
  static replaced_row Rows[] = {{"within it", 400, true, true},
                                {"after it", 1000, true, false},
                                {"at another address", 400, false, false}};
  return criterion_test_params(Rows);
}

ParameterizedTest(replaced_row *Row, upstream_pauses,
                  follow_an_unlisted_process) {
  const upstream_entry Listed = entryOf(0, 1);
  upstream_entry Next = entryOf(0, 2);
  upstream_pauses Pauses;
  const instant End = Pauses.onAsked(Listed.process(), 1s, instant(1s));
  Pauses.onReplaced(Listed.process(), Next.process(),
                    instant(1s) + std::chrono::milliseconds(Row->ReplacedMs));
  Next.Port += Row->SamePort ? 0 : 1;
  cr_assert(Pauses.endOf(Listed) == End);
  cr_assert(Pauses.endOf(Next) == (Row->Holds ? End : instant()), "%s",
            Row->Name);
}

Test(upstream_pauses, are_not_shortened) {
  upstream_pauses Pauses;
  const upstream_entry Entry = entryOf(0, 1);
  Pauses.onAsked(Entry.process(), 5s, instant(1s));
  Pauses.onAsked(Entry.process(), 1s, instant(2s));
  cr_assert(Pauses.endOf(Entry) == instant(6s));
  cr_assert(Pauses.endOf(entryOf(0, 2)) == instant());
  Pauses.onAsked(entryOf(0, 2).process(), 1s, instant(2s));
  Pauses.onAsked(Entry.process(), 9s, instant(2s));
  cr_assert(Pauses.endOf(entryOf(0, 2)) == instant(3s));
}

struct order_row {
  char Name[32];
  std::int64_t Earlier; ///< stated start of the process that asked first
  std::int64_t Later;
};

ParameterizedTestParameters(upstream_pauses, hold_whatever_start_is_stated) {
  static order_row Rows[] = {
      {"clocks alike", 1000, 2000},
      {"clock jumped back", 2000, 1000},
  };
  return criterion_test_params(Rows);
}

/// A later process whose clock jumped back was taken for the earlier one.
ParameterizedTest(order_row *Row, upstream_pauses,
                  hold_whatever_start_is_stated) {
  upstream_pauses Pauses;
  const upstream_entry Earlier = entryOf(0, Row->Earlier);
  const upstream_entry Later = entryOf(0, Row->Later);
  Pauses.onAsked(Earlier.process(), 9s, instant(1s));
  Pauses.onAsked(Later.process(), 5s, instant(2s));
  cr_assert(Pauses.endOf(Later) == instant(7s), "%s", Row->Name);
  // A response of the earlier process that arrives late.
  Pauses.onAsked(Earlier.process(), 1s, instant(3s));
  cr_assert(Pauses.endOf(Later) == instant(7s), "%s", Row->Name);
  cr_assert(Pauses.endOf(Earlier) == instant(10s), "%s", Row->Name);
  Pauses.expire(instant(8s));
  cr_assert(Pauses.size() == 1, "%s", Row->Name);
}

/// Each start of an upstream may ask for ten minutes.
Test(upstream_pauses, of_many_starts_are_bounded) {
  upstream_pauses Pauses;
  for (std::int64_t Born = 100; Born > 0; --Born)
    Pauses.onAsked(entryOf(0, Born).process(), 9min, instant(1s));
  cr_assert(Pauses.size() == upstream_pauses::MaxOfId);
  cr_assert(Pauses.endOf(entryOf(0, 1)) == instant(1s) + 9min);
}

struct strictest_row {
  char Name[16];
  bool Leaves;
  double LimitPerSecond; ///< 0: none
  double PauseSeconds;   ///< 0: none
  double AvailableAfter; ///< seconds; negative: not at all
};

ParameterizedTestParameters(upstream_pauses, the_strictest_statement_holds) {
  static strictest_row Rows[] = {
      {"limit", false, 0.25, 0, 2},        {"pause", false, 0, 3, 3},
      {"longer pause", false, 0.25, 3, 3}, {"longer limit", false, 0.25, 1, 2},
      {"leaving", true, 0.25, 3, -1},
  };
  return criterion_test_params(Rows);
}

ParameterizedTest(strictest_row *Row, upstream_pauses,
                  the_strictest_statement_holds) {
  const instant Now(10s);
  upstream_directory Directory;
  const upstream_entry Entry = entryOf(0, 1);
  Directory.setAll({Entry}, listing_kind::Continuous, Now);
  upstream_limits Limits("i-0");
  Limits.setMembers({{"i-0", "d"}});
  upstream_pauses Pauses;
  if (Row->LimitPerSecond > 0)
    Limits.onResponse(Entry.Id, Row->LimitPerSecond, Now, Now);
  if (Row->PauseSeconds > 0)
    Pauses.onAsked(Entry.process(), fromSeconds(Row->PauseSeconds), Now);
  if (Row->Leaves)
    Directory.onLeaving(Entry.process(), Now);
  upstream_scheduler Scheduler({}, "d", {});
  Scheduler.update(Directory);
  schedule_query Query;
  Query.Service = "s";
  Query.TimeLeft = 4s;
  Query.Limits = &Limits;
  Query.Pauses = &Pauses;
  const auto Refusal = Scheduler.choose(Query, Now);
  cr_assert(!Refusal.Choice, "%s", Row->Name);
  if (Row->AvailableAfter >= 0)
    cr_assert(std::abs(toSeconds(Refusal.Refusal.RetryAfter) -
                       Row->AvailableAfter) < 0.01,
              "%s: %g s", Row->Name, toSeconds(Refusal.Refusal.RetryAfter));
  constexpr int Steps = 100;
  for (int Step = 0; Step < Steps; ++Step) {
    const instant At = Now + Step * 100ms;
    const bool Expected = Row->AvailableAfter >= 0 &&
                          toSeconds(At - Now) >= Row->AvailableAfter + 0.001;
    if (std::abs(toSeconds(At - Now) - Row->AvailableAfter) > 0.05)
      cr_assert(Scheduler.choose(Query, At).Choice.has_value() == Expected,
                "%s after %g s", Row->Name, toSeconds(At - Now));
  }
}
