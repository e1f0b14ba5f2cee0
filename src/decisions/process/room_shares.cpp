#include "decisions/process/room_shares.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace ebonyvale {
namespace {

/// Name of the entry of all teams beyond those that are told apart; no team can
/// have it.
constexpr std::string_view OtherTeams = "\n";

/// Splits \p Draw into independent numbers in [0, 1).
double unitOf(std::uint64_t Draw, unsigned Index) {
  constexpr unsigned Bits = 21;
  constexpr std::uint64_t Range = std::uint64_t(1) << Bits;
  return static_cast<double>((Draw >> (Index * Bits)) % Range) /
         static_cast<double>(Range);
}

} // namespace

std::string_view roomBoundName(room_bound Bound) {
  constexpr std::array<std::string_view, RoomBoundCount> Names{
      "none", "priority", "part", "room", "deadline"};
  return Names[static_cast<std::size_t>(Bound)];
}

double room_shares::rate(const decaying_sum &Sum, instant Now) const {
  if (Sum.Value == 0)
    return 0;
  const double Time = toSeconds(Options.RateTime);
  return Sum.Value * std::exp(-toSeconds(Now - Sum.At) / Time) / Time;
}

void room_shares::add(decaying_sum &Sum, double Value, instant Now) const {
  Sum.Value = rate(Sum, Now) * toSeconds(Options.RateTime) + Value;
  Sum.At = Now;
}

double room_shares::asked(const team_state &Team, instant Now) const {
  double Sum = 0;
  for (const decaying_sum &Asked : Team.Asked)
    Sum += rate(Asked, Now);
  return Sum;
}

double room_shares::partOfUnitWeight(double Fit, instant Now) const {
  double Asked = 0;
  double Weights = 0;
  for (const auto &[Name, Team] : Teams) {
    if (!isActive(Team, Now))
      continue;
    Asked += asked(Team, Now);
    Weights += Team.Weight;
  }
  return Weights > 0 ? Fit * Asked / Weights : 0;
}

double room_shares::quantileOf(double Rank, double WorkMs, double Draw,
                               instant Now) const {
  double Below = 0;
  double Equal = WorkMs;
  double All = WorkMs;
  for (const rank_entry &Entry : Ranks) {
    if (Now - Entry.At > Options.RankTtl)
      continue;
    All += Entry.WorkMs;
    if (Entry.Rank < Rank)
      Below += Entry.WorkMs;
    else if (Entry.Rank == Rank)
      Equal += Entry.WorkMs;
  }
  return (Below + Draw * Equal) / All;
}

share_decision room_shares::decide(const share_request &Request, double Fit,
                                   instant Now) {
  const bool IsKnown = Teams.contains(Request.Team);
  const std::string_view Name =
      IsKnown || Teams.size() < Options.MaxTeams ? Request.Team : OtherTeams;
  team_state &Team = Teams[std::string(Name)];
  Team.Weight = Request.Weight;
  Team.LastAt = Now;
  ++Team.Requests;
  const auto Priority = static_cast<std::size_t>(
      std::clamp(Request.Priority, 0, PriorityCount - 1));

  share_decision Decision;
  Decision.Part = Team.Weight * partOfUnitWeight(Fit, Now);
  Decision.Use = asked(Team, Now);
  double MoreUrgent = 0;
  for (std::size_t Index = 0; Index < Priority; ++Index)
    MoreUrgent += rate(Team.Asked[Index], Now);
  // The request's own work is not included: what a request finds on arrival is
  // the team's mean rate, also for teams that rarely send.
  const double Own = rate(Team.Asked[Priority], Now);
  const double Position = MoreUrgent + unitOf(Request.Draw, 0) * Own;
  // What a team gets by its floor counts as use of its part.
  const double Floor = Options.Floor * std::min(Fit, 1.0);
  const double Left = Decision.Part - Floor * Decision.Use;
  const double Needed = Position * (1 - Floor);
  const double Excess = Needed <= Left ? (Left > 0 ? Needed / Left : 0)
                                       : 1 + Position / Decision.Part;
  const double Class = Excess <= 1 ? 0 : 1 + static_cast<double>(Priority);
  const double Rank = Class + Excess / (1 + Excess);
  add(Team.Asked[Priority], Request.WorkMs, Now);

  if (Fit < 1) {
    const bool HasFloor = unitOf(Request.Draw, 1) < Floor;
    const double Fraction = (Fit - Floor) / (1 - Floor);
    if (!Request.IsInTime)
      Decision.Bound = room_bound::Deadline;
    else if (!HasFloor &&
             quantileOf(Rank, Request.WorkMs, unitOf(Request.Draw, 2), Now) >=
                 Fraction) {
      if (Excess <= 1)
        Decision.Bound = room_bound::Room;
      else
        Decision.Bound = MoreUrgent > 0 && Own <= Decision.Part
                             ? room_bound::Priority
                             : room_bound::Part;
    }
  }
  Ranks.push_back({Now, Rank, Request.WorkMs});
  while (Ranks.size() > Options.MaxRanks ||
         Now - Ranks.front().At > Options.RankTtl)
    Ranks.pop_front();
  if (Decision.isAdmitted())
    add(Team.Admitted, Request.WorkMs, Now);
  else
    ++Team.Refused[static_cast<std::size_t>(Decision.Bound)];
  return Decision;
}

void room_shares::expire(instant Now) {
  std::erase_if(Teams, [&](const auto &Known) {
    return Now - Known.second.LastAt > Options.ForgetAfter;
  });
}

std::vector<team_room> room_shares::teams(double Fit, instant Now) const {
  const double Unit = partOfUnitWeight(Fit, Now);
  std::vector<team_room> Rooms;
  for (const auto &[Name, Team] : Teams)
    Rooms.push_back({Name == OtherTeams ? "(other teams)" : Name,
                     asked(Team, Now), rate(Team.Admitted, Now),
                     Team.Weight * Unit, Team.Requests, Team.Refused});
  return Rooms;
}

} // namespace ebonyvale
