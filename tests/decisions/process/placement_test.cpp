#include "decisions/process/dispatcher.h"

#include <criterion/criterion.h>

using namespace ebonyvale;
using namespace std::chrono_literals;

namespace {

constexpr instant Start{};

configuration fleetOf(int Engines) {
  configuration Config;
  Config.Domains["d"] = {"d", "r", 1, 1};
  for (int Index = 0; Index < Engines; ++Index) {
    const std::string Name = "e" + std::to_string(Index);
    upstream Engine;
    Engine.Name = Name;
    Engine.Address = "127.0.0.1";
    Engine.Port = 1000 + Index;
    Engine.Domain = "d";
    Engine.Concurrency = 2;
    Config.Upstreams[Name] = Engine;
  }
  return Config;
}

std::vector<dispatch_start> startsOf(const dispatch_actions &Actions) {
  std::vector<dispatch_start> Starts;
  for (const dispatch_action &Action : Actions)
    if (const auto *Start = std::get_if<dispatch_start>(&Action))
      Starts.push_back(*Start);
  return Starts;
}

/// A dispatcher with \p Count engines and the prefix policy.
struct placement_fixture {
  explicit placement_fixture(int Count)
      : Engines("d", "r"),
        Dispatcher({}, Engines, makePlacementPolicy("prefix", 1)) {
    Engines.update(fleetOf(Count));
    for (int Index = 0; Index < Count; ++Index)
      All.push_back(Engines.idOf("e" + std::to_string(Index)));
  }

  dispatch_actions submit(const piece_chain &Chain, instant Now,
                          bool Suspected = false,
                          const std::string &Team = "t") {
    dispatch_request Request;
    Request.Number = ++Number;
    Request.Team = Team;
    Request.Tokens = 100;
    Request.Chain = Chain;
    Request.PieceMs = 10;
    Request.Candidates = All;
    Request.Suspected = Suspected;
    Request.Deadline = Now + 10s;
    return Dispatcher.submit(std::move(Request), Now);
  }

  /// Submits a request that must start at once.
  dispatch_start started(const piece_chain &Chain, instant Now) {
    const std::vector<dispatch_start> Starts = startsOf(submit(Chain, Now));
    cr_assert(Starts.size() == 1);
    return Starts[0];
  }

  /// Submits a request, completes it and returns its start action.
  dispatch_start served(const piece_chain &Chain, instant Now) {
    const dispatch_start Start = started(Chain, Now);
    Engines.onResponse(Start.Engine, "life-1", {}, Now);
    Dispatcher.onEnded(Start.Number, 100, Now);
    return Start;
  }

  engine_table Engines;
  dispatcher Dispatcher;
  std::vector<engine_id> All;
  std::uint64_t Number = 0;
};

const piece_chain Prefix{11, 12, 13, 14, 15, 16, 17, 18};

} // namespace

Test(placement, prefix_goes_to_engine_that_caches_it) {
  placement_fixture Fleet(5);
  const dispatch_start First = Fleet.served(Prefix, Start);
  cr_assert(First.ExpectedPieces == 0);
  piece_chain Longer = Prefix;
  Longer.push_back(99);
  const dispatch_start Second = Fleet.served(Longer, Start + 1s);
  cr_assert(Second.Engine == First.Engine);
  cr_assert(Second.ExpectedPieces == Prefix.size());
  cr_assert(Second.ExpectedAge == 1s);
}

Test(placement, instances_choose_same_engine_for_unknown_prefix) {
  placement_fixture Here(5);
  placement_fixture There(5);
  for (piece_hash Piece = 1; Piece <= 20; ++Piece) {
    const piece_chain Chain(8, Piece);
    cr_assert(Here.served(Chain, Start).Engine ==
              There.served(Chain, Start).Engine);
  }
}

Test(placement, expects_nothing_cached_by_new_incarnation) {
  placement_fixture Fleet(3);
  const dispatch_start First = Fleet.served(Prefix, Start);
  Fleet.Engines.onResponse(First.Engine, "life-2", {}, Start + 1s);
  cr_assert(Fleet.started(Prefix, Start + 1s).ExpectedPieces == 0);
}

Test(placement, expects_nothing_cached_after_broken_connection) {
  placement_fixture Fleet(3);
  const dispatch_start First = Fleet.served(Prefix, Start);
  Fleet.Engines.onFailure(First.Engine, Start);
  const dispatch_start Second = Fleet.started(Prefix, Start + 10s);
  cr_assert(Second.ExpectedPieces == 0);
}

Test(placement, expects_nothing_cached_at_new_address) {
  placement_fixture Fleet(3);
  const dispatch_start First = Fleet.served(Prefix, Start);
  configuration Moved = fleetOf(3);
  for (auto &[Name, Upstream] : Moved.Upstreams)
    Upstream.Port += 100;
  Fleet.Engines.update(Moved);
  cr_assert(Fleet.started(Prefix, Start).ExpectedPieces == 0);
  cr_assert(Fleet.Engines.at(First.Engine).Port >= 1100);
}

Test(placement, learns_residence_from_responses) {
  placement_fixture Fleet(1);
  const dispatch_start Cold = Fleet.served(Prefix, Start);
  Fleet.Dispatcher.onUsage(Cold, 0);
  for (int Round = 1; Round <= 30; ++Round) {
    const dispatch_start Warm = Fleet.served(Prefix, Start + 5s * Round);
    // The engine has evicted the pieces within five seconds.
    Fleet.Dispatcher.onUsage(Warm, 0);
  }
  cr_assert(Fleet.Engines.at(Cold.Engine).Residence < 6s);
  cr_assert(Fleet.served(Prefix, Start + 200s).ExpectedPieces == 0);
}

Test(dispatcher, popular_prefix_spreads_to_more_engines) {
  placement_fixture Fleet(3);
  const engine_id Home = Fleet.served(Prefix, Start).Engine;
  std::vector<engine_id> Used;
  for (int Index = 0; Index < 6; ++Index)
    for (const dispatch_start &Started :
         startsOf(Fleet.submit(Prefix, Start))) {
      Used.push_back(Started.Engine);
      // The reported prefill queue is longer than computing the prefix on
      // another engine would take.
      Fleet.Engines.onResponse(Started.Engine, "life-1", {1000, 2}, Start);
    }
  cr_assert(std::ranges::count(Used, Home) < std::ssize(Used));
}

Test(dispatcher, refuses_queued_requests_when_only_engine_is_lost) {
  placement_fixture Fleet(1);
  Fleet.started(Prefix, Start);
  Fleet.started(Prefix, Start);
  cr_assert(Fleet.submit(Prefix, Start).empty());
  cr_assert(Fleet.Dispatcher.queued() == 1);
  Fleet.Engines.onFailure(Fleet.All[0], Start);
  const auto Actions = Fleet.Dispatcher.onUnusable(Fleet.All[0], Start);
  cr_assert(Actions.size() == 1);
  cr_assert(std::get<dispatch_refuse>(Actions[0]).Kind ==
            error_kind::NoUpstream);
  cr_assert(Fleet.Dispatcher.queued() == 0);
}

Test(dispatcher, suspects_never_share_an_engine) {
  placement_fixture Fleet(2);
  const auto First = Fleet.submit({}, Start, true);
  const auto Second = Fleet.submit({}, Start, true);
  const auto Third = Fleet.submit({}, Start, true);
  const auto &A = std::get<dispatch_start>(First[0]);
  const auto &B = std::get<dispatch_start>(Second[0]);
  cr_assert(A.Engine != B.Engine);
  cr_assert(Third.empty());
  const auto Freed = Fleet.Dispatcher.onEnded(A.Number, 1, Start);
  cr_assert(Freed.size() == 1);
  cr_assert(std::get<dispatch_start>(Freed[0]).Engine == A.Engine);
}

Test(dispatcher, refuses_on_submit_if_deadline_cannot_be_met) {
  placement_fixture Fleet(1);
  instant Now = Start;
  std::vector<std::uint64_t> Running;
  for (int Index = 0; Index < 2; ++Index)
    Running.push_back(Fleet.started({}, Now).Number);
  for (int Index = 0; Index < 30; ++Index)
    Fleet.submit({}, Now);
  // At one request per second, thirty cannot start within ten seconds.
  for (int Index = 0; Index < 3; ++Index) {
    Now += 1s;
    const auto Actions = Fleet.Dispatcher.onEnded(Running[0], 100, Now);
    Running[0] = std::get<dispatch_start>(Actions[0]).Number;
  }
  const auto Refused = Fleet.submit({}, Now);
  cr_assert(Refused.size() == 1);
  const auto &Refusal = std::get<dispatch_refuse>(Refused[0]);
  cr_assert(Refusal.Kind == error_kind::DeadlineTooShort);
  cr_assert(Refusal.RetryAfter > 10s);
}

Test(fair_queue, large_queue_of_one_team_does_not_delay_others) {
  fair_queue Queue;
  for (std::uint64_t Index = 0; Index < 100; ++Index)
    Queue.push({Index, "large", 1, 1000, service_class::Interactive});
  Queue.push({1000, "small", 1, 1000, service_class::Interactive});
  std::size_t Before = 0;
  while (Queue.pop()->Team != "small")
    ++Before;
  cr_assert(Before <= 4);
}

Test(fair_queue, serves_teams_by_weight_and_batch_last) {
  fair_queue Queue;
  Queue.push({1, "batch", 1, 10, service_class::Batch});
  for (std::uint64_t Index = 0; Index < 400; ++Index)
    Queue.push({100 + Index, Index % 2 == 0 ? "weight-1" : "weight-3",
                Index % 2 == 0 ? 1 : 3, 1000, service_class::Interactive});
  std::size_t Three = 0;
  for (int Index = 0; Index < 200; ++Index)
    Three += Queue.pop()->Team == "weight-3" ? 1 : 0;
  cr_assert(Three >= 140 && Three <= 160);
  std::optional<queued_request> Last;
  while (Queue.size() > 0)
    Last = Queue.pop();
  cr_assert(Last->Number == 1);
}

Test(placement, follows_peer_hint) {
  placement_fixture Fleet(5);
  placement_fixture Other(5);
  const dispatch_start Home = Other.served(Prefix, Start);
  const engine_id Elsewhere = Home.Engine == 0 ? 1 : 0;
  Fleet.Dispatcher.onPeerHint(Prefix.front(), Elsewhere, Start);
  cr_assert(Fleet.served(Prefix, Start).Engine == Elsewhere);
}

Test(placement, announces_new_prefix_to_peers_once) {
  placement_fixture Fleet(5);
  const auto Hints = [&Fleet](instant Now) {
    std::size_t Count = 0;
    for (const dispatch_action &Action : Fleet.submit(Prefix, Now))
      Count += std::holds_alternative<dispatch_hint>(Action) ? 1 : 0;
    return Count;
  };
  cr_assert(Hints(Start) == 1);
  cr_assert(Hints(Start + 1s) == 0);
}
