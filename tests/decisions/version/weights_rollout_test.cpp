#include "decisions/version/weights_rollout.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <utility>

using namespace ebonyvale;
using namespace std::chrono_literals;

namespace {

/// Simulates upstreams that load weights by order, in virtual time.
class upstream_simulation {
public:
  explicit upstream_simulation(int Count, std::uint32_t Seed) : Random(Seed) {
    for (int Index = 0; Index < Count; ++Index)
      Upstreams["u" + std::to_string(Index)] = {};
  }

  upstream_directory directory() const {
    std::vector<upstream_entry> Entries;
    for (const auto &[Id, State] : Upstreams) {
      upstream_entry Entry;
      Entry.Id = Id;
      Entry.Service = "s";
      Entry.Models = {{"m", State.Listed}};
      Entries.push_back(Entry);
    }
    upstream_directory Directory;
    Directory.setAll(Entries, listing_kind::Continuous, instant{});
    return Directory;
  }

  /// Runs \p Rollout until \p End. A fraction \p ResponseLoss of the responses
  /// to orders is lost; half of these orders take effect 4 s late.
  void run(weights_rollout &Rollout, span_ns End, double ResponseLoss) {
    for (; Now < instant(End); Now += 50ms) {
      advance();
      execute(Rollout, Rollout.onTick(Now), ResponseLoss);
    }
  }

  std::size_t countAt(std::int64_t Version) const {
    return static_cast<std::size_t>(
        std::ranges::count_if(Upstreams, [Version](const auto &Entry) {
          return Entry.second.Version == Version;
        }));
  }

  bool allAt(std::int64_t Version) const {
    return countAt(Version) == Upstreams.size();
  }

  /// No order gets a response; each takes effect 2 to 12 s later.
  bool AllLate = false;
  span_ns LoadTime = 760ms;
  std::size_t MaxLoading = 0;
  std::size_t OrdersWithoutPause = 0;
  std::size_t Orders = 0;
  instant Now;

private:
  struct delayed_order {
    instant At;
    std::int64_t Version;
    std::int64_t Expected;
  };
  struct upstream_state {
    std::int64_t Version = 1;
    std::int64_t Listed = 1;
    std::int64_t Loading = 0;
    std::int64_t Accepted = 0;
    instant DoneAt;
    instant PausedSince = instant::max();
    std::vector<delayed_order> DelayedOrders;
  };

  /// Accepts the order unless one is in progress or the count differs.
  bool acceptOrder(upstream_state &State, std::int64_t Version,
                   std::int64_t Expected, instant At) const {
    if (State.Loading != 0 || Expected != State.Accepted)
      return false;
    ++State.Accepted;
    State.Loading = Version;
    State.DoneAt = At + LoadTime;
    return true;
  }

  void advance() {
    std::size_t Loading = 0;
    for (auto &[Id, State] : Upstreams) {
      for (const delayed_order &Order : State.DelayedOrders)
        if (Order.At <= Now)
          acceptOrder(State, Order.Version, Order.Expected, Now);
      std::erase_if(State.DelayedOrders,
                    [this](const auto &Order) { return Order.At <= Now; });
      if (State.Loading != 0 && Now >= State.DoneAt)
        State.Version = std::exchange(State.Loading, 0);
      Loading += State.Loading != 0 ? 1 : 0;
    }
    MaxLoading = std::max(MaxLoading, Loading);
  }

  void execute(weights_rollout &Rollout, const rollout_actions &Actions,
               double ResponseLoss) {
    for (const rollout_action &Action : Actions) {
      if (const auto *Pause = std::get_if<rollout_pause>(&Action)) {
        upstream_state &State = Upstreams.at(Pause->Upstream);
        State.PausedSince = Pause->PauseTime == span_ns(0)
                                ? instant::max()
                                : std::min(State.PausedSince, Now);
      } else if (const auto *Poll = std::get_if<rollout_poll>(&Action)) {
        const upstream_state &State = Upstreams.at(Poll->Upstream);
        const rollout_report Report{
            State.Loading != 0, State.Accepted, {{"m", State.Version}}};
        execute(Rollout, Rollout.onReport(Poll->Upstream, &Report, Now),
                ResponseLoss);
      } else if (const auto *Order = std::get_if<rollout_order>(&Action)) {
        sendOrder(Rollout, *Order, ResponseLoss);
      }
    }
  }

  void sendOrder(weights_rollout &Rollout, const rollout_order &Order,
                 double ResponseLoss) {
    upstream_state &State = Upstreams.at(Order.Upstream);
    ++Orders;
    OrdersWithoutPause += State.PausedSince > Now - 200ms ? 1 : 0;
    std::uniform_real_distribution<double> Uniform(0, 1);
    if (AllLate) {
      std::uniform_int_distribution<int> Delay(2000, 12000);
      State.DelayedOrders.push_back(
          {Now + std::chrono::milliseconds(Delay(Random)), Order.Version,
           Order.AcceptedOrders});
      execute(
          Rollout,
          Rollout.onOrderResponse(Order.Upstream, order_outcome::Unknown, Now),
          ResponseLoss);
      return;
    }
    if (Uniform(Random) < ResponseLoss) {
      if (Uniform(Random) < 0.5)
        State.DelayedOrders.push_back(
            {Now + 4s, Order.Version, Order.AcceptedOrders});
      else
        acceptOrder(State, Order.Version, Order.AcceptedOrders, Now);
      Rollout.onOrderResponse(Order.Upstream, order_outcome::Unknown, Now);
      return;
    }
    const bool Accepted =
        acceptOrder(State, Order.Version, Order.AcceptedOrders, Now);
    Rollout.onOrderResponse(Order.Upstream,
                            Accepted ? order_outcome::AcceptedOrLoaded
                                     : order_outcome::Conflict,
                            Now);
  }

  std::map<std::string, upstream_state> Upstreams;
  std::mt19937 Random;
};

} // namespace

Test(weights_rollout, updates_nine_engines_two_at_a_time) {
  upstream_simulation Simulation(9, 1);
  weights_rollout Rollout({.MaxConcurrent = 2});
  Rollout.update(Simulation.directory());
  Rollout.setTargetVersion("m", 2);
  Simulation.run(Rollout, 8s, 0);
  cr_assert(Simulation.allAt(2));
  cr_assert(Simulation.MaxLoading <= 2, "%zu loaded concurrently",
            Simulation.MaxLoading);
  cr_assert(Simulation.Orders == 9, "%zu orders", Simulation.Orders);
  cr_assert(Simulation.OrdersWithoutPause == 0);
  cr_assert(Rollout.pending() == 0);
}

/// With a fixed limit of three concurrent upstreams, a fleet of 140 engines
/// missed the time limit for putting a new version into use.
Test(weights_rollout, a_large_fleet_is_updated_within_the_time_limit) {
  upstream_simulation Simulation(140, 4);
  weights_rollout Rollout({});
  Rollout.update(Simulation.directory());
  Rollout.setTargetVersion("m", 2);
  Simulation.run(Rollout, 12s, 0);
  cr_assert(Simulation.allAt(2));
  cr_assert(Simulation.MaxLoading <= 28, "%zu loaded concurrently",
            Simulation.MaxLoading);
}

/// Versions came every 3.5 s. Engines that load in 320 ms were polled
/// 700 ms after the order, so that not all had them when the next came.
Test(weights_rollout, engines_that_load_fast_are_updated_fast) {
  upstream_simulation Simulation(12, 3);
  Simulation.LoadTime = 320ms;
  weights_rollout Rollout({});
  Rollout.update(Simulation.directory());
  for (std::int64_t Version = 2; Version <= 4; ++Version) {
    Rollout.setTargetVersion("m", Version);
    Simulation.run(Rollout, 3500ms * (Version - 1), 0);
  }
  cr_assert(Simulation.allAt(4), "%zu of 12", Simulation.countAt(4));
  cr_assert(Simulation.MaxLoading <= 3, "%zu loaded concurrently",
            Simulation.MaxLoading);
}

Test(weights_rollout, versions_every_four_seconds_end_at_the_newest) {
  upstream_simulation Simulation(9, 2);
  weights_rollout Rollout({.MaxConcurrent = 2});
  Rollout.update(Simulation.directory());
  for (std::int64_t Version = 2; Version <= 5; ++Version) {
    Rollout.setTargetVersion("m", Version);
    Simulation.run(Rollout, 4s * (Version - 1), 0);
  }
  Simulation.run(Rollout, 24s, 0);
  cr_assert(Simulation.allAt(5));
  cr_assert(Simulation.MaxLoading <= 2);
}

Test(weights_rollout, all_upstreams_are_updated_despite_lost_and_late_orders) {
  for (std::uint32_t Seed = 1; Seed <= 20; ++Seed) {
    upstream_simulation Simulation(9, Seed);
    weights_rollout Rollout({.MaxConcurrent = 2});
    Rollout.update(Simulation.directory());
    Rollout.setTargetVersion("m", 2);
    Simulation.run(Rollout, 25s, 0.5);
    cr_assert(Simulation.allAt(2), "seed %u", Seed);
    // An order that takes effect late may overlap with the orders that follow,
    // so the limit of 2 can be exceeded, at most twofold.
    cr_assert(Simulation.MaxLoading <= 4, "seed %u: %zu", Seed,
              Simulation.MaxLoading);
  }
}

/// The platform allows 14 s and one upstream of nine.
Test(weights_rollout, late_orders_do_not_keep_others_waiting) {
  for (std::uint32_t Seed = 1; Seed <= 20; ++Seed) {
    upstream_simulation Simulation(9, Seed);
    Simulation.AllLate = true;
    weights_rollout Rollout({});
    Rollout.update(Simulation.directory());
    Rollout.setTargetVersion("m", 2);
    Simulation.run(Rollout, 14s, 0);
    cr_assert(Simulation.countAt(2) >= 8, "seed %u: %zu of 9", Seed,
              Simulation.countAt(2));
  }
}

Test(weights_rollout, abandon_ends_all_pauses) {
  upstream_simulation Simulation(3, 3);
  weights_rollout Rollout({.MaxConcurrent = 2});
  Rollout.update(Simulation.directory());
  Rollout.setTargetVersion("m", 2);
  std::set<std::string> Paused;
  for (const rollout_action &Action : Rollout.onTick(instant(1s)))
    if (const auto *Pause = std::get_if<rollout_pause>(&Action))
      Paused.insert(Pause->Upstream);
  cr_assert(Paused.size() == 2);
  for (const rollout_action &Action : Rollout.abandon()) {
    const auto *Pause = std::get_if<rollout_pause>(&Action);
    cr_assert(Pause && Pause->PauseTime == span_ns(0));
    Paused.erase(Pause->Upstream);
  }
  cr_assert(Paused.empty());
}

Test(weights_rollout, lower_versions_and_draining_engines_get_no_order) {
  upstream_entry Draining;
  Draining.Id = "d";
  Draining.Draining = true;
  Draining.Models = {{"m", 1}};
  upstream_directory Directory;
  Directory.setAll({Draining}, listing_kind::Continuous, instant{});
  weights_rollout Rollout({.MaxConcurrent = 2});
  Rollout.update(Directory);
  Rollout.setTargetVersion("m", 3);
  Rollout.setTargetVersion("m", 2);
  cr_assert(Rollout.onTick(instant(1s)).empty());
  cr_assert(Rollout.pending() == 0);
}

/// An upstream that rejects an order gets new requests again at once.
Test(weights_rollout, a_rejected_order_ends_the_pause) {
  weights_rollout Rollout(rollout_options{});
  upstream_simulation Upstreams(1, 1);
  Rollout.update(Upstreams.directory());
  Rollout.setTargetVersion("m", 2);
  instant Now;
  bool Ordered = false;
  const rollout_report Report{false, 0, {{"m", 1}}};
  for (; !Ordered && Now < instant(10s); Now += 50ms)
    for (const rollout_action &Action : Rollout.onTick(Now))
      if (std::holds_alternative<rollout_poll>(Action))
        for (const rollout_action &Next : Rollout.onReport("u0", &Report, Now))
          Ordered = Ordered || std::holds_alternative<rollout_order>(Next);
  cr_assert(Ordered);
  const rollout_actions Actions =
      Rollout.onOrderResponse("u0", order_outcome::Rejected, Now);
  cr_assert(Actions.size() == 1);
  const auto *Pause = std::get_if<rollout_pause>(&Actions[0]);
  cr_assert(Pause && Pause->PauseTime == span_ns(0));
}
