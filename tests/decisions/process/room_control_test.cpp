// Room that is short: seen in time, divided among teams and priorities, and
// given back; in virtual time, for fleets of every size.
#include "decisions/process/room_control.h"
#include "decisions/process/room_fleet.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace ebonyvale;
using namespace std::chrono_literals;

namespace {

struct fleet_size {
  std::size_t Instances;
};

fleet_size Sizes[] = {{1}, {8}, {90}, {450}};

constexpr std::size_t TeamCount = 16;
constexpr std::size_t LargeTeams = 4;
constexpr span_ns BurstFrom = 4s;
constexpr span_ns BurstTo = 10s;
/// Share in aim of all requests from which on room counts as given back.
constexpr double Recovered = 0.95;

/// Each team sends urgent requests and a fifth of less urgent ones, 0.9 of the
/// room together; the first one sends five times as much for a while.
std::vector<room_demand> hotTeam() {
  constexpr double All = 0.9;
  constexpr double LargeShare = 0.15;
  constexpr double SmallShare =
      (1 - LargeTeams * LargeShare) / (TeamCount - LargeTeams);
  std::vector<room_demand> Demands;
  for (std::size_t Team = 0; Team < TeamCount; ++Team) {
    const double Load = All * (Team < LargeTeams ? LargeShare : SmallShare);
    const double Factor = Team == 0 ? 5 : 1;
    const std::string Name = "t" + std::to_string(Team);
    Demands.push_back({Name, 0, 0.8 * Load, Factor, BurstFrom, BurstTo});
    Demands.push_back({Name, 2, 0.2 * Load, Factor, BurstFrom, BurstTo});
  }
  return Demands;
}

room_result sumOf(const room_result &Left, const room_result &Right) {
  return {Left.Asked + Right.Asked, Left.InAim + Right.InAim,
          Left.Late + Right.Late, Left.Refused + Right.Refused};
}

double servedShare(const room_result &Result) {
  return (Result.InAim + Result.Late) / std::max(1.0, Result.Asked);
}

/// Jain's index of the teams' shares in aim, the first one left out.
double jainIndex(const room_fleet &Fleet, span_ns From, span_ns To) {
  double Sum = 0;
  double Squares = 0;
  for (std::size_t Team = 1; Team < TeamCount; ++Team) {
    const double Share = sumOf(Fleet.result(2 * Team, From, To),
                               Fleet.result(2 * Team + 1, From, To))
                             .share();
    Sum += Share;
    Squares += Share * Share;
  }
  return Squares > 0 ? Sum * Sum / ((TeamCount - 1) * Squares) : 0;
}

/// Returns the time after \p From until \p Recovered of all requests sent in an
/// interval are served in their aim.
span_ns recoveryTime(const room_fleet &Fleet, span_ns From, span_ns End) {
  for (span_ns At = From; At < End; At += room_fleet::Interval)
    if (Fleet.total(At, At + room_fleet::Interval).share() >= Recovered)
      return At - From;
  return End - From;
}

double goodput(std::size_t Instances, bool IsOn, double Load) {
  room_fleet Fleet(Instances, IsOn, /*Seed=*/1);
  Fleet.play({{"a", 0, Load / 2}, {"b", 0, Load / 2}}, 10s);
  return Load * Fleet.total(2s, 9s).share();
}

} // namespace

ParameterizedTestParameters(room_control, goodput_holds_beyond_the_room) {
  return criterion_test_params(Sizes);
}

ParameterizedTest(fleet_size *Row, room_control,
                  goodput_holds_beyond_the_room) {
  double Peak = 0;
  for (const double Load : {0.5, 1.0, 1.5, 2.0, 3.0}) {
    const double Now = goodput(Row->Instances, true, Load);
    Peak = std::max(Peak, Now);
    cr_expect(Now >= 0.9 * std::min(Load, Peak),
              "%zu instances, load %.1f: goodput %.2f of a peak of %.2f",
              Row->Instances, Load, Now, Peak);
  }
}

ParameterizedTestParameters(room_control, a_burst_of_a_team_takes_no_part) {
  return criterion_test_params(Sizes);
}

ParameterizedTest(fleet_size *Row, room_control,
                  a_burst_of_a_team_takes_no_part) {
  room_fleet Fleet(Row->Instances, true, /*Seed=*/2);
  Fleet.play(hotTeam(), 14s);
  const double Jain = jainIndex(Fleet, BurstFrom, BurstTo);
  cr_expect(Jain >= 0.98, "%zu instances: Jain's index %.3f", Row->Instances,
            Jain);
  const double All = servedShare(Fleet.total(BurstFrom, BurstTo));
  for (std::size_t Team = 0; Team < TeamCount; ++Team) {
    const room_result Result =
        sumOf(Fleet.result(2 * Team, BurstFrom, BurstTo),
              Fleet.result(2 * Team + 1, BurstFrom, BurstTo));
    cr_expect(Team == 0 || Result.share() >= 0.8,
              "%zu instances, team %zu: %.2f in aim", Row->Instances, Team,
              Result.share());
    cr_expect(servedShare(Result) >= All / 4,
              "%zu instances, team %zu: %.2f served of %.2f", Row->Instances,
              Team, servedShare(Result), All);
  }
  const span_ns Back = recoveryTime(Fleet, BurstTo, 14s);
  cr_expect(Back <= 1s, "%zu instances: room is back after %.0f ms",
            Row->Instances, toMs(Back));
}

ParameterizedTestParameters(room_control, urgent_requests_go_first) {
  return criterion_test_params(Sizes);
}

/// 2.5 times as many less urgent requests, then a quarter of the upstreams
/// lost.
ParameterizedTest(fleet_size *Row, room_control, urgent_requests_go_first) {
  constexpr std::size_t Teams = 8;
  constexpr span_ns LostFrom = 12s;
  constexpr span_ns LostTo = 16s;
  std::vector<room_demand> Demands;
  for (std::size_t Team = 0; Team < Teams; ++Team) {
    const std::string Name = "t" + std::to_string(Team);
    Demands.push_back({Name, 0, 0.5 / Teams, 1, 0s, 0s});
    Demands.push_back({Name, 2, 0.4 / Teams, 2.5, BurstFrom, BurstTo});
  }
  room_fleet Fleet(Row->Instances, true, /*Seed=*/3);
  Fleet.loseUpstreams(0.25, LostFrom, LostTo);
  Fleet.play(Demands, 20s);
  for (const auto &[From, To] :
       {std::pair(BurstFrom, BurstTo), std::pair(LostFrom, LostTo)}) {
    room_result Urgent;
    room_result Other;
    for (std::size_t Team = 0; Team < Teams; ++Team) {
      Urgent = sumOf(Urgent, Fleet.result(2 * Team, From, To));
      Other = sumOf(Other, Fleet.result(2 * Team + 1, From, To));
    }
    cr_expect(Urgent.share() >= 0.9, "%zu instances: urgent %.2f in aim",
              Row->Instances, Urgent.share());
    cr_expect(servedShare(Other) >= servedShare(sumOf(Urgent, Other)) / 4,
              "%zu instances: less urgent %.2f served", Row->Instances,
              servedShare(Other));
    const span_ns Back = recoveryTime(Fleet, To, To + 2s);
    cr_expect(Back <= 1s, "%zu instances: room is back after %.0f ms",
              Row->Instances, toMs(Back));
  }
}

/// The loads above are ones that first come first served does not bear.
Test(room_control, undivided_room_is_lost_to_the_burst) {
  cr_expect(goodput(8, false, 1.5) < 0.5);
  room_fleet Fleet(8, false, /*Seed=*/2);
  Fleet.play(hotTeam(), 14s);
  cr_expect(Fleet.result(2, BurstFrom, BurstTo).share() < 0.5);
  cr_expect(recoveryTime(Fleet, BurstTo, 14s) > 1s);
}

namespace {

const instant T0{std::chrono::hours(1)};
constexpr span_ns Aim = 400ms;

struct signal_row {
  char Name[40];
  std::size_t Busy;    ///< of ten upstreams, with two requests waiting
  std::size_t Silent;  ///< of ten requests, without a response
  std::size_t Refused; ///< of ten requests, by full upstreams
  double DelayMs;      ///< of the others, beyond the work
  bool IsShort;
};

} // namespace

ParameterizedTestParameters(overload_control, is_short_only_without_room) {
  static signal_row Rows[] = {
      {"calm", 0, 0, 0, 0, false},
      {"queues everywhere", 10, 0, 0, 200, true},
      {"queues reported by peers alone", 10, 0, 0, 0, true},
      {"late responses, no queue anywhere", 0, 0, 0, 300, false},
      {"a quarter dark", 2, 3, 0, 0, false},
      {"a quarter with queues", 2, 0, 0, 100, false},
      {"most are refused as full", 5, 0, 8, 0, true},
  };
  return criterion_test_params(Rows);
}

/// Within 300 ms, from ten requests and ten upstreams.
ParameterizedTest(signal_row *Row, overload_control,
                  is_short_only_without_room) {
  overload_control Control;
  for (std::uint64_t Number = 0; Number < 10; ++Number) {
    const instant SentAt = T0 + Number * 10ms;
    Control.onSent(Number, 60, Aim, SentAt);
    if (Number < Row->Silent)
      continue;
    if (Number < Row->Silent + Row->Refused) {
      Control.onEnded(Number);
      Control.onFull(SentAt + 5ms);
    } else {
      Control.onFirstChunk(Number, SentAt + 60ms + fromMs(Row->DelayMs));
    }
  }
  for (std::size_t Index = 0; Index < 10; ++Index)
    Control.onReport(std::to_string(Index),
                     {6, Index < Row->Busy ? 12 : 0, 6 + 1, 6}, T0 + 250ms);
  const room_state State = Control.update(T0 + 300ms);
  cr_assert(State.isShort() == Row->IsShort, "%s: fits %.2f, delay %.0f ms",
            Row->Name, State.Fit, State.DelayMs);
  // What is not confirmed does not last.
  cr_assert(!Control.update(T0 + 5s).isShort(), "%s", Row->Name);
}

/// Upstreams stay busy after long queues have gone: the demand is let in within
/// a second.
Test(overload_control, long_queues_do_not_outlast_themselves) {
  overload_control Control;
  const auto Report = [&](std::int64_t Waiting, instant At) {
    for (std::size_t Index = 0; Index < 10; ++Index)
      Control.onReport(std::to_string(Index), {6, Waiting, 6, 6}, At);
  };
  Control.onSent(1, 60, Aim, T0);
  instant Now = T0;
  for (; Now < T0 + 3s; Now += 100ms) {
    Report(60, Now);
    Control.update(Now);
  }
  cr_assert(Control.state().Fit < 0.2);
  for (; Now < T0 + 4s; Now += 100ms) {
    Report(0, Now);
    Control.update(Now);
  }
  cr_assert(!Control.state().isShort(), "fits %.2f", Control.state().Fit);
}

namespace {

struct sparse_row {
  std::size_t Teams;
  double PerSecond; ///< of all teams
  double Fit;
};

} // namespace

ParameterizedTestParameters(room_shares, the_fraction_holds_for_rare_requests) {
  static sparse_row Rows[] = {
      {1, 5, 0.5}, {16, 5, 0.3}, {510, 42, 0.5}, {510, 42, 0.8}, {2000, 2, 0.5},
  };
  return criterion_test_params(Rows);
}

ParameterizedTest(sparse_row *Row, room_shares,
                  the_fraction_holds_for_rare_requests) {
  std::mt19937_64 Random(1);
  std::exponential_distribution<double> Gap(Row->PerSecond);
  room_shares Shares;
  instant Now = T0;
  double Admitted = 0;
  constexpr int Requests = 3000;
  for (int Number = 0; Number < Requests; ++Number) {
    Now += fromSeconds(Gap(Random));
    const std::string Team = std::to_string(Random() % Row->Teams);
    const share_decision Decision =
        Shares.decide({Team, 1, static_cast<int>(Random() % 3),
                       20.0 + Random() % 60, Random()},
                      Row->Fit, Now);
    Admitted += Decision.isAdmitted() ? 1 : 0;
  }
  cr_assert(std::abs(Admitted / Requests - Row->Fit) < 0.05, "%f",
            Admitted / Requests);
  cr_assert(Shares.teams(Row->Fit, Now).size() <= share_options().MaxTeams + 1);
  Shares.expire(Now + 60s);
  cr_assert(Shares.teams(Row->Fit, Now).empty());
}

/// Refused at one moment, callers return over all the time that they have.
Test(room_control, a_refused_crowd_returns_spread) {
  room_control Control(true);
  std::vector<double> Returns;
  constexpr std::uint64_t Crowd = 2000;
  for (std::uint64_t Number = 0; Number < Crowd; ++Number) {
    const std::string Id = "id-" + std::to_string(Number);
    const instant Now = Number <= 20 ? T0 + 300ms : T0 + 400ms;
    const auto Refusal =
        Control.admit({"s", "t", Id, Number, 0, 60, Aim, 4s}, Now);
    if (Refusal)
      Returns.push_back(toMs(Refusal->RetryAfter));
    // Queues at all upstreams, after the first few requests.
    if (Number == 20)
      for (std::size_t Index = 0; Index < 10; ++Index)
        Control.onReport("s", std::to_string(Index), {6, 12, 6, 6}, T0 + 300ms);
  }
  cr_assert(Returns.size() > Crowd / 10);
  constexpr double BinMs = 20;
  std::map<int, std::size_t> Bins;
  for (const double Return : Returns) {
    cr_assert(Return >= 50 && Return <= 4000.0 / 3);
    ++Bins[static_cast<int>(Return / BinMs)];
  }
  for (const auto &[Bin, Count] : Bins)
    cr_assert(Count * 5 < Returns.size(), "%zu of %zu return at %d ms", Count,
              Returns.size(), static_cast<int>(Bin * BinMs));
}

Test(room_control, keeps_nothing_while_it_is_off) {
  room_control Control;
  for (std::uint64_t Number = 0; Number < 100; ++Number)
    cr_assert(!Control.admit({"s", "t", "id", Number, 0, 60, Aim, 4s}, T0));
  Control.onFull("s", T0);
  cr_assert(Control.views(T0).empty());
}
