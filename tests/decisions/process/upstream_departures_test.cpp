// What upstreams state of their leaving holds for the whole fleet, in virtual
// time.
#include "decisions/process/upstream_scheduler.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <vector>

#include <spdlog/fmt/fmt.h>

using namespace ebonyvale;
using namespace std::chrono_literals;

namespace {

constexpr span_ns DrainBound = 2500ms; // the platform's bound `drainMs`

struct fleet_row {
  char Name[32];
  std::size_t Instances;
  double DemandPerSecond;  ///< of each instance
  double Lost;             ///< fraction of the messages between instances
  double FaultsPerSecond;  ///< restarts, freezes and cuts of instances
  double LapsesPerSecond;  ///< entries removed and written again, old copies
  bool ClocksJump = false; ///< every other process states an earlier start
};

/// Upstreams that leave one after the other and start again, mostly under the
/// id or at the address of an earlier one, and instances that learn of it from
/// responses and from messages. The store lists each as ready to its end.
class leaving_fleet {
public:
  leaving_fleet(const fleet_row &Row, unsigned Seed) : Row(Row), Random(Seed) {
    for (std::size_t Index = 0; Index < Upstreams; ++Index)
      Processes.push_back({fmt::format("u-{}", Index), ++LastBorn, "10.0.0.1",
                           static_cast<std::uint16_t>(Index + 1)});
    Copy = Processes;
    for (std::size_t Index = 0; Index < Row.Instances; ++Index)
      list(Instances.emplace_back(), Processes, listing_kind::Continuous);
  }

  void run(span_ns Length) {
    constexpr span_ns Step = 5ms;
    constexpr span_ns LeavePause = 6s;
    constexpr int StepsPerGossip = GossipInterval / Step;
    int Steps = 0;
    instant NextLeave(2s);
    for (; Now < instant(Length); Now += Step) {
      while (!Events.empty() && Events.top().At <= Now) {
        const auto Action = Events.top().Action;
        Events.pop();
        Action();
      }
      if (Now >= NextLeave) {
        NextLeave += LeavePause;
        leave(any(Upstreams));
      }
      if (chance(Row.FaultsPerSecond * toSeconds(Step)))
        injectFault(Instances[any(Instances.size())]);
      if (chance(Row.LapsesPerSecond * toSeconds(Step)))
        rewrite(any(Upstreams));
      for (instance &Instance : Instances)
        if (Now >= Instance.StoppedUntil &&
            chance(Row.DemandPerSecond * toSeconds(Step)))
          send(Instance);
      if (++Steps % StepsPerGossip == 0)
        gossip();
    }
  }

  std::size_t LateOfTold = 0;  ///< sent too late by an instance that was told
  std::size_t LateOfFleet = 0; ///< sent too late after any instance was told
  std::size_t ToStartedAgain = 0; ///< sent to processes that do not leave
  std::size_t Told = 0;           ///< departures in messages between instances
  std::size_t left() const { return LeavingSince.size(); }

private:
  static constexpr std::size_t Upstreams = 6;
  static constexpr span_ns GossipInterval = 80ms;

  struct instance {
    upstream_directory Directory;
    /// When a response of the process that states its leaving was passed on.
    std::map<std::int64_t, instant> ToldAt; ///< by the process's start
    instant StoppedUntil;
    instant CutUntil;
    unsigned Starts = 0;
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
  /// Runs \p Action at \p Instance unless it has been restarted; later if it is
  /// frozen.
  void deliver(instance &Instance, span_ns Delay,
               std::function<void()> Action) {
    after(Delay, [this, &Instance, Starts = Instance.Starts,
                  Action = std::move(Action)] {
      if (Instance.Starts != Starts)
        return;
      if (Now < Instance.StoppedUntil)
        return deliver(Instance, Instance.StoppedUntil - Now, Action);
      Action();
    });
  }

  static upstream_entry entryOf(const upstream_process &Process) {
    upstream_entry Entry;
    Entry.Id = Process.Id;
    Entry.Born = Process.Born;
    Entry.Service = "s";
    Entry.Address = Process.Address;
    Entry.Port = Process.Port;
    return Entry;
  }

  void list(instance &Instance, const std::vector<upstream_process> &Listed,
            listing_kind Kind) {
    std::vector<upstream_entry> Entries;
    for (const upstream_process &Process : Listed)
      Entries.push_back(entryOf(Process));
    Instance.Directory.setAll(std::move(Entries), Kind, Now);
  }

  /// Lets an upstream state that it leaves, end and start again.
  void leave(std::size_t Index) {
    const upstream_process Left = Processes[Index];
    LeavingSince[Left.Born] = Now;
    after(between(4s, 5s), [this, Index, Left] {
      Copy = Processes;
      ++LastBorn;
      upstream_process &Next = Processes[Index];
      Next.Born = Row.ClocksJump && LastBorn % 2 != 0
                      ? FirstBorn - (LastBorn - LastOfFirst)
                      : LastBorn;
      if (chance(0.3)) // another id at the address
        Next.Id = fmt::format("u-{}-{}", Index, LastBorn);
      else if (chance(0.3)) // the id at another address
        Next.Port = static_cast<std::uint16_t>(LastBorn);
      for (instance &Instance : Instances)
        deliver(Instance, between(5ms, 200ms), [this, &Instance, Left, Next] {
          if (Left.Id != Next.Id)
            Instance.Directory.remove(Left.Id, Now);
          Instance.Directory.put(Next.Id, entryOf(Next), Now);
        });
    });
  }

  /// Removes an entry and writes it again, or returns to an older copy until
  /// all upstreams have written again.
  void rewrite(std::size_t Index) {
    const upstream_process Process = Processes[Index];
    const bool Restores = chance(0.5);
    for (instance &Instance : Instances)
      deliver(Instance, between(5ms, 200ms),
              [this, &Instance, Process, Restores] {
                if (Restores)
                  return restore(Instance);
                if (!Instance.Directory.find(Process.Id))
                  return;
                Instance.Directory.remove(Process.Id, Now);
                Instance.Directory.put(Process.Id, entryOf(Process), Now);
              });
  }

  void restore(instance &Instance) {
    list(Instance, Copy, listing_kind::AfterRestore);
    deliver(Instance, between(500ms, 2s), [this, &Instance] {
      for (const upstream_process &Process : Processes)
        Instance.Directory.put(Process.Id, entryOf(Process), Now);
    });
  }

  void send(instance &Instance) {
    Instance.Directory.expire(Now);
    const auto Usable = Instance.Directory.usable("s");
    if (Usable.empty())
      return;
    const upstream_process Process = Usable[any(Usable.size())]->process();
    const auto Told = Instance.ToldAt.find(Process.Born);
    if (Told != Instance.ToldAt.end() && Now - Told->second > DrainBound)
      ++LateOfTold;
    const auto First = FirstToldAt.find(Process.Born);
    if (First != FirstToldAt.end() && Now - First->second > DrainBound)
      ++LateOfFleet;
    const bool StartedAgain =
        Process.Born > LastOfFirst || Process.Born < FirstBorn;
    if (StartedAgain && !LeavingSince.contains(Process.Born))
      ++ToStartedAgain;
    after(between(1ms, 10ms), [this, &Instance, Process] {
      after(between(5ms, 600ms), [this, &Instance, Process] {
        if (!LeavingSince.contains(Process.Born))
          return;
        deliver(Instance, between(1ms, 10ms), [this, &Instance, Process] {
          Instance.ToldAt.try_emplace(Process.Born, Now);
          FirstToldAt.try_emplace(Process.Born, Now);
          if (!Instance.Directory.onLeaving(Process, Now))
            return;
          for (instance &Peer : Instances)
            tell(Instance, Peer, Process);
        });
      });
    });
  }

  void gossip() {
    constexpr std::size_t FanOut = 8;
    for (std::size_t From = 0; From < Instances.size(); ++From)
      for (std::size_t To = 0; To < std::min(FanOut, Instances.size()); ++To)
        if (Now >= Instances[From].StoppedUntil)
          for (const upstream_process &Process :
               Instances[From].Directory.departures().knownSince(
                   Now - upstream_departures::RepeatRounds * GossipInterval))
            tell(Instances[From],
                 Instances[(From + Round * FanOut + To) % Instances.size()],
                 Process);
    ++Round;
  }

  void tell(instance &From, instance &To, const upstream_process &Process) {
    if (&From == &To)
      return;
    ++Told;
    if (Now < From.CutUntil || Now < To.CutUntil || chance(Row.Lost))
      return;
    deliver(To, between(1ms, 20ms),
            [this, &To, Process] { To.Directory.onLeaving(Process, Now); });
  }

  void injectFault(instance &Instance) {
    const span_ns Duration = between(500ms, 4s);
    const std::size_t Kind = any(3);
    if (Kind == 0) {
      Instance.CutUntil = Now + Duration;
      return;
    }
    Instance.StoppedUntil = Now + Duration;
    Instance.ToldAt.clear(); // a freeze or a restart excuses
    if (Kind == 1)
      return; // frozen
    ++Instance.Starts;
    Instance.Directory = upstream_directory();
    list(Instance, Processes, listing_kind::Continuous);
  }

  static constexpr std::int64_t FirstBorn = 1000;
  /// Start of the last of the upstreams that run from the beginning on.
  static constexpr std::int64_t LastOfFirst =
      FirstBorn + static_cast<std::int64_t>(Upstreams);

  fleet_row Row;
  std::mt19937 Random;
  instant Now;
  std::deque<instance> Instances;
  std::vector<upstream_process> Processes; ///< that run
  std::vector<upstream_process> Copy;      ///< that ran some seconds ago
  std::map<std::int64_t, instant> LeavingSince;
  std::map<std::int64_t, instant> FirstToldAt;
  std::int64_t LastBorn = FirstBorn;
  std::priority_queue<event> Events;
  std::size_t EventCount = 0;
  std::size_t Round = 0;
};

} // namespace

ParameterizedTestParameters(upstream_departures, hold_for_the_whole_fleet) {
  static fleet_row Rows[] = {
      {"one instance", 1, 20, 0, 0, 0},
      {"calm", 8, 5, 0, 0, 0},
      {"lost messages", 8, 5, 0.2, 0, 0},
      {"lapsed entries", 8, 5, 0.2, 0, 0.5},
      {"many instances", 59, 2, 0.2, 0, 0.5},
      {"hundreds", 300, 0.5, 0.2, 0, 0.2},
      {"faults", 8, 5, 0.2, 0.7, 0.5},
      {"faults, many instances", 59, 2, 0.2, 3, 0.5},
      {"clocks jump", 8, 5, 0.2, 0, 0, true},
      {"clocks jump, lapsed entries", 8, 5, 0.2, 0, 0.5, true},
      {"clocks jump, faults", 59, 2, 0.2, 3, 0.5, true},
  };
  return criterion_test_params(Rows);
}

ParameterizedTest(fleet_row *Row, upstream_departures,
                  hold_for_the_whole_fleet) {
  constexpr unsigned Seeds = 10;
  for (unsigned Seed = 1; Seed <= Seeds; ++Seed) {
    leaving_fleet Fleet(*Row, Seed);
    Fleet.run(30s);
    cr_assert(Fleet.LateOfTold == 0, "%s, seed %u: %zu late requests",
              Row->Name, Seed, Fleet.LateOfTold);
    // Instances that are cut off or have just started were not told.
    if (Row->FaultsPerSecond == 0)
      cr_assert(Fleet.LateOfFleet == 0,
                "%s, seed %u: %zu late requests of instances that were not "
                "told by the upstream",
                Row->Name, Seed, Fleet.LateOfFleet);
    cr_assert(Fleet.ToStartedAgain > 0, "%s, seed %u", Row->Name, Seed);
  }
}

struct size_row {
  std::size_t Instances;
};

ParameterizedTestParameters(upstream_departures, cost_little_at_size) {
  static size_row Rows[] = {{8}, {59}, {295}, {450}};
  return criterion_test_params(Rows);
}

/// While all 11,000 upstreams of the target are replaced within an hour, their
/// departures must leave room in the 7 KB a second that an instance may use.
ParameterizedTest(size_row *Row, upstream_departures, cost_little_at_size) {
  constexpr double BytesOfOne = 64; // checked by peer_gossip
  constexpr double DeparturesPerSecond = 11000.0 / 3600;
  constexpr double BytesPerSecond = 7000;
  const double Demand = 40.0 / static_cast<double>(Row->Instances);
  leaving_fleet Fleet({"", Row->Instances, Demand, 0.02, 0, 0}, 1);
  Fleet.run(30s);
  const double Each = static_cast<double>(Fleet.Told) /
                      static_cast<double>(Row->Instances * Fleet.left());
  cr_log_info("%zu instances: %.1f messages of each for a departure",
              Row->Instances, Each);
  cr_assert(Each * BytesOfOne * DeparturesPerSecond < BytesPerSecond / 2,
            "%g messages", Each);
}

namespace {

upstream_entry entryOf(const char *Id, std::int64_t Born) {
  upstream_entry Entry;
  Entry.Id = Id;
  Entry.Born = Born;
  Entry.Service = "s";
  Entry.Address = "10.0.0.1";
  Entry.Port = static_cast<std::uint16_t>(Id[0]);
  Entry.Models = {{"m", 1}};
  return Entry;
}

} // namespace

namespace {

struct order_row {
  char Name[32];
  std::int64_t Earlier; ///< stated start of the process that ran first
  std::int64_t Later;
};

order_row Orders[] = {
    {"clocks alike", 1000, 2000},
    {"clock jumped back", 2000, 1000},
};

} // namespace

ParameterizedTestParameters(upstream_departures,
                            of_earlier_processes_change_nothing) {
  return criterion_test_params(Orders);
}

/// A late message about an earlier process must not hide that the later one
/// leaves.
ParameterizedTest(order_row *Row, upstream_departures,
                  of_earlier_processes_change_nothing) {
  const upstream_entry Earlier = entryOf("a", Row->Earlier);
  const upstream_entry Later = entryOf("a", Row->Later);
  upstream_directory Directory;
  Directory.setAll({Later}, listing_kind::Continuous, instant(0s));
  cr_assert(Directory.onLeaving(Later.process(), instant(1s)));
  Directory.onLeaving(Earlier.process(), instant(2s));
  cr_assert(Directory.usable("s").empty(), "%s", Row->Name);
  cr_assert(!Directory.onLeaving(Later.process(), instant(3s)));
  cr_assert(!Directory.onLeaving(Earlier.process(), instant(3s)), "%s",
            Row->Name);
  Directory.put("a", Later, instant(4s));
  cr_assert(Directory.usable("s").empty(), "%s", Row->Name);
  Directory.put("a", Earlier, instant(5s));
  cr_assert(Directory.usable("s").empty(), "%s", Row->Name);
}

ParameterizedTestParameters(upstream_departures,
                            hold_for_the_process_whatever_start_it_states) {
  return criterion_test_params(Orders);
}

/// A later process whose clock jumped back counted as ended, and was not
/// believed when it left.
ParameterizedTest(order_row *Row, upstream_departures,
                  hold_for_the_process_whatever_start_it_states) {
  const upstream_entry Earlier = entryOf("a", Row->Earlier);
  const upstream_entry Later = entryOf("a", Row->Later);
  upstream_directory Directory;
  Directory.setAll({Earlier}, listing_kind::Continuous, instant(0s));
  Directory.onLeaving(Earlier.process(), instant(1s));
  Directory.put("a", Later, instant(2s));
  cr_expect(Directory.usable("s").size() == 1, "%s: no request", Row->Name);
  cr_expect(Directory.onLeaving(Later.process(), instant(3s)), "%s: no news",
            Row->Name);
  cr_expect(Directory.usable("s").empty(), "%s", Row->Name);
}

ParameterizedTestParameters(upstream_departures,
                            hold_in_copies_that_list_replaced_processes) {
  return criterion_test_params(Orders);
}

/// A process that was seen replaced has ended, whether it stated that or not.
ParameterizedTest(order_row *Row, upstream_departures,
                  hold_in_copies_that_list_replaced_processes) {
  const upstream_entry Earlier = entryOf("a", Row->Earlier);
  const upstream_entry Later = entryOf("a", Row->Later);
  for (const bool ListsAll : {false, true}) {
    upstream_directory Directory;
    Directory.setAll({Earlier}, listing_kind::Continuous, instant(0s));
    if (ListsAll)
      Directory.setAll({Later}, listing_kind::AfterOutage, instant(1s));
    else
      Directory.put("a", Later, instant(1s));
    Directory.onLeaving(Later.process(), instant(2s));
    Directory.setAll({Earlier}, listing_kind::AfterRestore, instant(3s));
    cr_assert(Directory.usable("s").empty(), "%s", Row->Name);
    Directory.put("a", entryOf("a", 3000), instant(4s));
    cr_assert(Directory.usable("s").size() == 1, "%s", Row->Name);
  }
}

/// Of an id that starts again and again, those that are listed, or that left
/// last, are remembered.
Test(upstream_departures, of_many_starts_are_bounded) {
  upstream_directory Directory;
  Directory.setAll({entryOf("a", 1)}, listing_kind::Continuous, instant(0s));
  for (std::int64_t Born = 1; Born <= 100; ++Born)
    Directory.onLeaving(entryOf("a", Born).process(), instant(1s));
  Directory.expire(instant(2s));
  cr_assert(Directory.departures().size() == upstream_departures::MaxOfId);
  cr_assert(Directory.usable("s").empty());
}

/// Without a start nothing tells a process from a later one, which would never
/// get a request.
Test(upstream_departures, of_unknown_start_are_forgotten) {
  upstream_directory Directory;
  Directory.setAll({entryOf("a", 0), entryOf("b", 1000)},
                   listing_kind::Continuous, instant(0s));
  Directory.onLeaving(entryOf("a", 0).process(), instant(0s));
  Directory.onLeaving(entryOf("b", 1000).process(), instant(0s));
  cr_assert(Directory.usable("s").empty());
  Directory.expire(instant(upstream_departures::KeepUnlisted + 1s));
  const auto Usable = Directory.usable("s");
  cr_assert(Usable.size() == 1 && Usable[0]->Id == "a");
}

/// Those that have left are remembered for a while only.
Test(upstream_departures, are_forgotten_after_the_end) {
  upstream_directory Directory;
  Directory.setAll({entryOf("a", 1000)}, listing_kind::Continuous, instant(0s));
  Directory.onLeaving(entryOf("a", 1000).process(), instant(0s));
  Directory.expire(instant(100s));
  cr_assert(Directory.departures().size() == 1);
  Directory.remove("a", instant(100s));
  Directory.expire(instant(101s + upstream_departures::KeepUnlisted));
  cr_assert(Directory.departures().size() == 0);
}

/// Cached segments are not copied from an upstream that leaves.
Test(upstream_departures, are_no_source_of_copies) {
  const std::vector<prompt_segment> Prompt{{11, 2500}, {22, 3800}, {33, 2900}};
  upstream_directory Directory;
  Directory.setAll({entryOf("a", 1000), entryOf("b", 1000)},
                   listing_kind::Continuous, instant(0s));
  upstream_scheduler Scheduler({}, "d", {});
  Scheduler.setEngine("s", {119'004, 880});
  Scheduler.update(Directory);
  schedule_query Query;
  Query.Service = "s";
  Query.Model = "m";
  Query.Segments = Prompt;
  Query.PromptTokens = 9200;
  Query.ResponseTokens = 10;
  Query.TimeLeft = 4s;
  const auto First = Scheduler.choose(Query, instant(1s)).Choice;
  Scheduler.onSent(*First, Query, instant(1s));
  const std::vector<std::string> Tried{First->Upstream};
  Query.Tried = Tried;
  const auto Before = Scheduler.choose(Query, instant(3s));
  cr_assert(Before.Choice && !Before.Choice->FetchFrom.empty());
  Directory.onLeaving(Directory.find(First->Upstream)->process(), instant(3s));
  Scheduler.update(Directory);
  const auto After = Scheduler.choose(Query, instant(3s));
  cr_assert(After.Choice && After.Choice->FetchFrom.empty());
}
