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

/// Upstreams that take orders as the platform describes them, on virtual time.
class upstream_play {
public:
  explicit upstream_play(int Count, std::uint32_t Seed) : Random(Seed) {
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

  /// Runs \p Rollout until \p End. \p LosesAnswers: part of the order answers
  /// that are lost, half of those orders being carried out late.
  void run(weights_rollout &Rollout, span_ns End, double LosesAnswers) {
    for (; Now < instant(End); Now += 50ms) {
      advance();
      carryOut(Rollout, Rollout.onTick(Now), LosesAnswers);
    }
  }

  bool allAt(std::int64_t Version) const {
    return std::ranges::all_of(Upstreams, [Version](const auto &Entry) {
      return Entry.second.Version == Version;
    });
  }

  std::size_t MostLoading = 0;
  std::size_t OrdersWithoutPause = 0;
  std::size_t Orders = 0;
  instant Now;

private:
  struct late_order {
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
    std::vector<late_order> Late;
  };

  static bool take(upstream_state &State, std::int64_t Version,
                   std::int64_t Expected, instant At) {
    if (State.Loading != 0 || Expected != State.Accepted)
      return false;
    ++State.Accepted;
    State.Loading = Version;
    State.DoneAt = At + 760ms;
    return true;
  }

  void advance() {
    std::size_t Loading = 0;
    for (auto &[Id, State] : Upstreams) {
      for (const late_order &Order : State.Late)
        if (Order.At <= Now)
          take(State, Order.Version, Order.Expected, Now);
      std::erase_if(State.Late,
                    [this](const auto &Order) { return Order.At <= Now; });
      if (State.Loading != 0 && Now >= State.DoneAt)
        State.Version = std::exchange(State.Loading, 0);
      Loading += State.Loading != 0 ? 1 : 0;
    }
    MostLoading = std::max(MostLoading, Loading);
  }

  void carryOut(weights_rollout &Rollout, const rollout_actions &Actions,
                double LosesAnswers) {
    for (const rollout_action &Action : Actions) {
      if (const auto *Pause = std::get_if<rollout_pause>(&Action)) {
        upstream_state &State = Upstreams.at(Pause->Upstream);
        State.PausedSince = Pause->For == span_ns(0)
                                ? instant::max()
                                : std::min(State.PausedSince, Now);
      } else if (const auto *Look = std::get_if<rollout_look>(&Action)) {
        const upstream_state &State = Upstreams.at(Look->Upstream);
        const rollout_report Report{
            State.Loading != 0, State.Accepted, {{"m", State.Version}}};
        carryOut(Rollout, Rollout.onReport(Look->Upstream, &Report, Now),
                 LosesAnswers);
      } else if (const auto *Order = std::get_if<rollout_order>(&Action)) {
        receive(Rollout, *Order, LosesAnswers);
      }
    }
  }

  void receive(weights_rollout &Rollout, const rollout_order &Order,
               double LosesAnswers) {
    upstream_state &State = Upstreams.at(Order.Upstream);
    ++Orders;
    OrdersWithoutPause += State.PausedSince > Now - 200ms ? 1 : 0;
    std::uniform_real_distribution<double> Chance(0, 1);
    if (Chance(Random) < LosesAnswers) {
      if (Chance(Random) < 0.5)
        State.Late.push_back({Now + 4s, Order.Version, Order.AcceptedOrders});
      else
        take(State, Order.Version, Order.AcceptedOrders, Now);
      Rollout.onOrderAnswer(Order.Upstream, order_outcome::Unknown, Now);
      return;
    }
    const bool Taken = take(State, Order.Version, Order.AcceptedOrders, Now);
    Rollout.onOrderAnswer(
        Order.Upstream, Taken ? order_outcome::Taken : order_outcome::Conflict,
        Now);
  }

  std::map<std::string, upstream_state> Upstreams;
  std::mt19937 Random;
};

} // namespace

Test(weights_rollout, brings_nine_engines_up_two_at_a_time) {
  upstream_play Play(9, 1);
  weights_rollout Rollout({.AtOnce = 2});
  Rollout.update(Play.directory());
  Rollout.want("m", 2);
  Play.run(Rollout, 8s, 0);
  cr_assert(Play.allAt(2));
  cr_assert(Play.MostLoading <= 2, "%zu loaded at once", Play.MostLoading);
  cr_assert(Play.Orders == 9, "%zu orders", Play.Orders);
  cr_assert(Play.OrdersWithoutPause == 0);
  cr_assert(Rollout.pending() == 0);
}

/// With three at once 140 engines took longer than a version may be missing.
Test(weights_rollout, a_large_fleet_is_through_within_the_bound) {
  upstream_play Play(140, 4);
  weights_rollout Rollout({});
  Rollout.update(Play.directory());
  Rollout.want("m", 2);
  Play.run(Rollout, 12s, 0);
  cr_assert(Play.allAt(2));
  cr_assert(Play.MostLoading <= 28, "%zu loaded at once", Play.MostLoading);
}

Test(weights_rollout, a_version_every_four_seconds_ends_at_the_newest) {
  upstream_play Play(9, 2);
  weights_rollout Rollout({.AtOnce = 2});
  Rollout.update(Play.directory());
  for (std::int64_t Version = 2; Version <= 5; ++Version) {
    Rollout.want("m", Version);
    Play.run(Rollout, 4s * (Version - 1), 0);
  }
  Play.run(Rollout, 24s, 0);
  cr_assert(Play.allAt(5));
  cr_assert(Play.MostLoading <= 2);
}

Test(weights_rollout, lost_and_late_orders_leave_nothing_old) {
  for (std::uint32_t Seed = 1; Seed <= 20; ++Seed) {
    upstream_play Play(9, Seed);
    weights_rollout Rollout({.AtOnce = 2});
    Rollout.update(Play.directory());
    Rollout.want("m", 2);
    Play.run(Rollout, 25s, 0.5);
    cr_assert(Play.allAt(2), "seed %u", Seed);
    // Late orders may overlap with later ones, never by more than those.
    cr_assert(Play.MostLoading <= 4, "seed %u: %zu", Seed, Play.MostLoading);
  }
}

Test(weights_rollout, abandoned_work_pauses_nothing) {
  upstream_play Play(3, 3);
  weights_rollout Rollout({.AtOnce = 2});
  Rollout.update(Play.directory());
  Rollout.want("m", 2);
  std::set<std::string> Paused;
  for (const rollout_action &Action : Rollout.onTick(instant(1s)))
    if (const auto *Pause = std::get_if<rollout_pause>(&Action))
      Paused.insert(Pause->Upstream);
  cr_assert(Paused.size() == 2);
  for (const rollout_action &Action : Rollout.abandon()) {
    const auto *Pause = std::get_if<rollout_pause>(&Action);
    cr_assert(Pause && Pause->For == span_ns(0));
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
  weights_rollout Rollout({.AtOnce = 2});
  Rollout.update(Directory);
  Rollout.want("m", 3);
  Rollout.want("m", 2);
  cr_assert(Rollout.onTick(instant(1s)).empty());
  cr_assert(Rollout.pending() == 0);
}
