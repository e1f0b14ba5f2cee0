// Hundreds of instances follow one store through the first of each failure
// domain, on virtual time: number of store calls, age of what is known, and
// correctness of that age, in calm and under faults.
#include "decisions/process/change_log.h"
#include "decisions/process/change_source.h"
#include "load/virtual_loop.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <algorithm>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

using namespace ebonyvale;
using namespace std::chrono_literals;

namespace {

constexpr span_ns ReadInterval = 1200ms;
constexpr span_ns MaxReadAge = 2400ms;
constexpr span_ns PollInterval = 400ms;
constexpr span_ns PollTimeout = 240ms;
constexpr span_ns WatchPause = 480ms;
constexpr span_ns ApplyBound = 4000ms;

enum class fault {
  None,
  FirstFrozen, ///< the first instance of the domain is frozen
  FirstCut,    ///< it cannot reach the store
  FirstSlow,   ///< it responds after the timeout of a poll
  ThreeCut,    ///< the first three cannot reach the store
  DomainCut,   ///< no instance of the domain can reach the store
  Loss,        ///< one message of five is lost
  FirstKilled, ///< it is gone, but still listed
};

/// The store: a revision that rises, and the history of it.
struct simulated_store {
  std::vector<std::pair<instant, std::int64_t>> History{{instant(), 1}};
  std::size_t Calls = 0;

  std::int64_t revision() const { return History.back().second; }
  std::int64_t revisionAt(instant At) const {
    std::int64_t Found = 1;
    for (const auto &[When, Revision] : History)
      if (When <= At)
        Found = Revision;
    return Found;
  }
};

class simulated_fleet;

/// One instance, with the loops of the gateway's store follower.
class simulated_instance {
public:
  simulated_instance(simulated_fleet &Fleet, std::size_t Domain,
                     std::size_t Rank);

  void start();
  void follow();
  void readIfOld();
  void onPoll(simulated_instance &From, std::uint64_t Number);
  void onResponse(const std::string &From, std::uint64_t Number,
                  std::optional<span_ns> Age, std::int64_t PeerRevision);

  std::optional<span_ns> age() const;

  simulated_fleet &Fleet;
  std::size_t Domain;
  std::size_t Rank;
  std::string Name;
  change_source Source;
  std::int64_t Revision = 0;     ///< newest state that it has
  std::optional<instant> ReadAt; ///< its state is that of the store then
};

class simulated_fleet {
public:
  simulated_fleet(std::size_t Domains, std::size_t PerDomain, fault Fault)
      : Fault(Fault), Random(7) {
    for (std::size_t Domain = 0; Domain < Domains; ++Domain)
      for (std::size_t Rank = 0; Rank < PerDomain; ++Rank)
        Instances.push_back(
            std::make_unique<simulated_instance>(*this, Domain, Rank));
    std::map<std::string, instance_endpoint, std::less<>> All;
    for (auto &Instance : Instances)
      All[Instance->Name].Domain = domainOf(*Instance);
    for (auto &Instance : Instances)
      Instance->Source.setCandidates(
          followCandidates(Instance->Name, domainOf(*Instance), All));
  }

  static std::string domainOf(const simulated_instance &Instance) {
    return std::to_string(Instance.Domain);
  }
  bool faulty() const { return Fault != fault::None && Loop.now() >= FaultAt; }
  bool isFirst(const simulated_instance &Instance) const {
    return Instance.Domain == 0 && Instance.Rank == 0;
  }
  bool isFrozen(const simulated_instance &Instance) const {
    return faulty() && isFirst(Instance) &&
           (Fault == fault::FirstFrozen || Fault == fault::FirstKilled);
  }
  bool reachesStore(const simulated_instance &Instance) const {
    if (!faulty() || Instance.Domain != 0)
      return true;
    if (Fault == fault::FirstCut)
      return Instance.Rank > 0;
    if (Fault == fault::ThreeCut)
      return Instance.Rank > 2;
    return Fault != fault::DomainCut;
  }
  bool loses() {
    return faulty() && Fault == fault::Loss &&
           std::uniform_int_distribution(0, 4)(Random) == 0;
  }
  /// Delay of a message or call, from 1 to 20 ms.
  span_ns delay() {
    return std::chrono::microseconds(
        std::uniform_int_distribution(1000, 20000)(Random));
  }
  span_ns responseDelay(const simulated_instance &Instance) {
    const bool Slow =
        faulty() && Fault == fault::FirstSlow && isFirst(Instance);
    return delay() + (Slow ? span_ns(400ms) : span_ns(0));
  }
  simulated_instance *find(std::string_view Name) {
    for (auto &Instance : Instances)
      if (Instance->Name == Name)
        return Instance.get();
    return nullptr;
  }

  const instant FaultAt = instant(10s);
  fault Fault;
  std::mt19937 Random;
  virtual_loop Loop;
  simulated_store Store;
  std::vector<std::unique_ptr<simulated_instance>> Instances;
};

std::string nameOf(std::size_t Domain, std::size_t Rank) {
  char Text[32];
  std::snprintf(Text, sizeof(Text), "d%zu-%03zu", Domain, Rank);
  return Text;
}

change_source_options sourceOptions() {
  change_source_options Options;
  Options.MaxReadAge = MaxReadAge;
  return Options;
}

simulated_instance::simulated_instance(simulated_fleet &Fleet,
                                       std::size_t Domain, std::size_t Rank)
    : Fleet(Fleet), Domain(Domain), Rank(Rank), Name(nameOf(Domain, Rank)),
      Source(sourceOptions()) {}

std::optional<span_ns> simulated_instance::age() const {
  if (!ReadAt)
    return std::nullopt;
  return Fleet.Loop.now() - *ReadAt;
}

void simulated_instance::start() {
  follow();
  readIfOld();
}

void simulated_instance::readIfOld() {
  const instant Now = Fleet.Loop.now();
  if (Fleet.isFrozen(*this))
    return Fleet.Loop.callAfter(10ms, [this] { readIfOld(); });
  const span_ns MaxAge = Source.choose(Now) ? MaxReadAge : ReadInterval;
  if (age() && *age() < MaxAge)
    return Fleet.Loop.callAfter(MaxAge - *age(), [this] { readIfOld(); });
  ++Fleet.Store.Calls;
  Fleet.Loop.callAfter(Fleet.delay(), [this, SentAt = Now] {
    if (Fleet.reachesStore(*this) && !Fleet.isFrozen(*this)) {
      Revision = Fleet.Store.revision();
      ReadAt = std::max(ReadAt.value_or(SentAt), SentAt);
      return readIfOld();
    }
    Fleet.Loop.callAfter(1s, [this] { readIfOld(); });
  });
}

void simulated_instance::follow() {
  const instant Now = Fleet.Loop.now();
  if (Fleet.isFrozen(*this))
    return Fleet.Loop.callAfter(10ms, [this] { follow(); });
  const auto Peer = Source.choose(Now);
  if (!Peer) {
    ++Fleet.Store.Calls;
    Fleet.Loop.callAfter(Fleet.delay(), [this] {
      if (Fleet.reachesStore(*this) && !Fleet.isFrozen(*this))
        Revision = Fleet.Store.revision();
      Fleet.Loop.callAfter(WatchPause, [this] { follow(); });
    });
    return;
  }
  const std::uint64_t Number = Source.startPoll(*Peer, Now).Number;
  simulated_instance *Target = Fleet.find(*Peer);
  if (!Fleet.loses())
    Fleet.Loop.callAfter(Fleet.delay(), [this, Target, Number] {
      Target->onPoll(*this, Number);
    });
  Fleet.Loop.callAfter(PollTimeout, [this, Number] {
    if (!Source.pending() || Source.pending()->Number != Number)
      return;
    Source.onTimeout(Fleet.Loop.now());
    follow();
  });
}

void simulated_instance::onPoll(simulated_instance &From,
                                std::uint64_t Number) {
  if (Fleet.isFrozen(*this) || Fleet.loses())
    return;
  Fleet.Loop.callAfter(Fleet.responseDelay(*this),
                       [this, &From, Number, Age = age(), State = Revision] {
                         From.onResponse(Name, Number, Age, State);
                       });
}

void simulated_instance::onResponse(const std::string &From,
                                    std::uint64_t Number,
                                    std::optional<span_ns> Age,
                                    std::int64_t PeerRevision) {
  if (!Source.pending() || Source.pending()->Number != Number)
    return;
  const auto Read = Source.onResponse(From, Number, Age, Fleet.Loop.now());
  if (!Read)
    return follow();
  Revision = std::max(Revision, PeerRevision);
  ReadAt = std::max(ReadAt.value_or(*Read), *Read);
  Fleet.Loop.callAfter(PollInterval, [this] { follow(); });
}

struct fleet_row {
  fault Fault;
  /// Most store calls a second of all instances while the fault lasts.
  double MaxCalls;
};

} // namespace

ParameterizedTestParameters(change_source, many_instances_follow_one_store) {
  // 300 instances that each follow the store make 840 calls a second.
  static fleet_row Rows[] = {
      {fault::None, 84},      {fault::FirstFrozen, 84}, {fault::FirstCut, 84},
      {fault::FirstSlow, 84}, {fault::ThreeCut, 100},   {fault::DomainCut, 150},
      {fault::Loss, 100},     {fault::FirstKilled, 84},
  };
  return criterion_test_params(Rows);
}

ParameterizedTest(fleet_row *Row, change_source,
                  many_instances_follow_one_store) {
  simulated_fleet Fleet(6, 50, Row->Fault);
  // The state of the store changes every 1.3 seconds.
  std::function<void()> Change = [&] {
    Fleet.Store.History.emplace_back(Fleet.Loop.now(),
                                     Fleet.Store.revision() + 1);
    Fleet.Loop.callAfter(1300ms, Change);
  };
  Fleet.Loop.callAfter(1300ms, Change);
  for (auto &Instance : Fleet.Instances)
    Fleet.Loop.callAfter(Fleet.delay() * 15,
                         [&Instance] { Instance->start(); });
  std::size_t CallsBefore = 0;
  std::size_t Late = 0;
  std::size_t Stale = 0;
  std::size_t Checks = 0;
  const instant End(40s);
  std::function<void()> Check = [&] {
    const instant Now = Fleet.Loop.now();
    if (Now >= Fleet.FaultAt && CallsBefore == 0)
      CallsBefore = Fleet.Store.Calls;
    for (auto &Instance : Fleet.Instances) {
      if (!Instance->ReadAt)
        continue;
      // What an instance has is never older than it says.
      cr_assert(Instance->Revision >= Fleet.Store.revisionAt(*Instance->ReadAt),
                "%s", Instance->Name.c_str());
      if (Fleet.isFrozen(*Instance) || !Fleet.reachesStore(*Instance) ||
          Now < instant(5s))
        continue;
      ++Checks;
      if (Instance->Revision < Fleet.Store.revisionAt(Now - ApplyBound))
        ++Late;
      if (*Instance->age() >= ApplyBound)
        ++Stale;
    }
    Fleet.Loop.callAfter(50ms, Check);
  };
  Fleet.Loop.callAfter(50ms, Check);
  Fleet.Loop.runUntil(End);
  cr_assert(Checks > 100'000);
  cr_assert(Late == 0, "%zu of %zu", Late, Checks);
  cr_assert(Stale == 0, "%zu of %zu", Stale, Checks);
  const double Rate = static_cast<double>(Fleet.Store.Calls - CallsBefore) /
                      toSeconds(End - Fleet.FaultAt);
  cr_assert(Rate <= Row->MaxCalls, "%.1f calls/s", Rate);
}

/// A process that was frozen between a poll and its response must not take
/// the response for new.
Test(change_source, the_age_counts_from_the_poll) {
  change_source Source(sourceOptions());
  Source.setCandidates({"a"});
  const std::uint64_t Number = Source.startPoll("a", instant(10s)).Number;
  const auto Read = Source.onResponse("a", Number, 500ms, instant(11800ms));
  cr_assert(Read && *Read == instant(9500ms));
}

Test(change_source, an_old_response_is_not_used) {
  change_source Source(sourceOptions());
  Source.setCandidates({"a"});
  const std::uint64_t Number = Source.startPoll("a", instant(10s)).Number;
  Source.onTimeout(instant(11s));
  cr_assert(!Source.onResponse("a", Number, 500ms, instant(11s)));
  const std::uint64_t Second = Source.startPoll("a", instant(11s)).Number;
  cr_assert(!Source.onResponse("a", Second, std::nullopt, instant(11s)));
  cr_assert(!Source.choose(instant(12s)));
  cr_assert(Source.choose(instant(17s)) == "a");
}

struct candidates_row {
  char Self[8];
  char Candidates[32];
};

struct batch_row {
  std::int64_t After;
  std::size_t Limit;
  std::size_t Items;
  std::int64_t Revision;
  bool HasMore;
  bool HasGap;
};

ParameterizedTestParameters(change_source, candidates) {
  // The letter is the failure domain.
  static candidates_row Rows[] = {
      {"a1", ""},      {"a2", "a1 b1 c1"},       {"a5", "a1 a2 a3 b1 c1"},
      {"b1", "a1"},    {"b2", "b1 a1 c1"},       {"c1", "a1 b1"},
      {"d1", "a1 b1"}, {"d4", "d1 d2 d3 a1 b1"},
  };
  return criterion_test_params(Rows);
}

ParameterizedTest(candidates_row *Row, change_source, candidates) {
  std::map<std::string, instance_endpoint, std::less<>> Peers;
  for (const char Domain : std::string("abcd"))
    for (const char Rank : std::string("12345"))
      Peers[std::string{Domain, Rank}].Domain = std::string{Domain};
  const std::string Self = Row->Self;
  Peers.erase(Self);
  std::string Found;
  for (const std::string &Name :
       followCandidates(Self, Self.substr(0, 1), Peers))
    Found += (Found.empty() ? "" : " ") + Name;
  cr_assert(Found == Row->Candidates, "%s", Found.c_str());
}

ParameterizedTestParameters(change_log, batches) {
  static batch_row Rows[] = {
      {10, 10'000, 4, 20, false, false}, {12, 10'000, 2, 20, false, false},
      {20, 10'000, 0, 20, false, false}, {25, 10'000, 0, 25, false, false},
      {9, 10'000, 0, 0, false, true},    {10, 1, 2, 12, true, false},
      {12, 1, 1, 13, true, false},
  };
  return criterion_test_params(Rows);
}

/// The log continues after revision 10. Two items share revision 12.
ParameterizedTest(batch_row *Row, change_log, batches) {
  change_log Log;
  Log.restart(10, listing_kind::AfterOutage);
  std::string Key = "k";
  for (const std::int64_t Revision : {12, 12, 13, 15})
    Log.append({Key += "k", "v", Revision, false}, instant(1s));
  Log.advance(20, instant(1s));
  const change_batch Batch = Log.since(Row->After, Row->Limit);
  cr_assert(Batch.HasGap == Row->HasGap);
  cr_assert(Batch.HasMore == Row->HasMore);
  cr_assert(Batch.Items.size() == Row->Items);
  cr_assert(Batch.Revision == Row->Revision);
  if (Batch.HasGap)
    cr_assert(Batch.GapKind == listing_kind::AfterOutage);
}

Test(change_log, is_bounded_in_time_and_size) {
  change_log Log;
  Log.restart(1, listing_kind::Continuous);
  Log.append({"k", "v", 2, false}, instant(1s));
  Log.advance(3, instant(1s) + change_log::MaxAge + 1s);
  cr_assert(Log.since(1, 1000).HasGap);
  cr_assert(!Log.since(2, 1000).HasGap);
  constexpr std::int64_t Many = 5000;
  for (std::int64_t Revision = 4; Revision < Many; ++Revision)
    Log.append(
        {std::to_string(Revision), std::string(1024, 'x'), Revision, false},
        instant(30s));
  cr_assert(Log.since(4, 1000).HasGap);
  const change_batch Newest = Log.since(Many - 100, 10'000'000);
  cr_assert(!Newest.HasGap && Newest.Items.size() == 99);
}

/// Thousands of upstreams that change every second cause no gap.
Test(change_log, the_last_change_of_a_key_replaces_earlier_ones) {
  change_log Log;
  Log.restart(1, listing_kind::Continuous);
  std::int64_t Revision = 1;
  constexpr int Keys = 3000;
  for (int Round = 0; Round < 20; ++Round)
    for (int Key = 0; Key < Keys; ++Key)
      Log.append({std::to_string(Key), std::string(300, 'x'), ++Revision,
                  Key == 7 && Round == 19},
                 instant(1s));
  const change_batch All = Log.since(1, 100'000'000);
  cr_assert(!All.HasGap && All.Items.size() == Keys);
  cr_assert(All.Revision == Revision);
  cr_assert(std::ranges::is_sorted(All.Items, {}, &store_item::Revision));
  cr_assert(std::ranges::count_if(All.Items, &store_item::Removed) == 1);
  // A reader in the middle of the rounds gets all keys once.
  std::int64_t After = Keys * 10;
  std::size_t Items = 0;
  for (bool HasMore = true; HasMore;) {
    const change_batch Batch = Log.since(After, 12'000);
    cr_assert(!Batch.HasGap);
    Items += Batch.Items.size();
    After = Batch.Revision;
    HasMore = Batch.HasMore;
  }
  cr_assert(Items == Keys);
}
