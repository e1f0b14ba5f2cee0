#include "decisions/process/quota_ledger.h"

#include <algorithm>
#include <functional>
#include <limits>

namespace ebonyvale {
namespace {

/// Upper bound of the retry delay reported to a refused caller.
constexpr span_ns MaxRetryAfter = std::chrono::hours(1);

/// Returns the sum of the tokens that requests in \p Waiting need.
double waitingTokens(const auto &Waiting) {
  double Sum = 0;
  for (const auto &Waiter : Waiting)
    Sum += Waiter.Cost.Tokens;
  return Sum;
}

/// Returns the tokens to lend so that the shares of lender and borrower are
/// filled to the same fraction of their bursts.
double rebalanceOffer(double Spare, double Burst, const lend_request &Request) {
  if (Burst <= 0 || Request.Burst <= 0)
    return 0;
  const double Difference = Spare / Burst - Request.Level / Request.Burst;
  return Difference / (1 / Burst + 1 / Request.Burst);
}

/// Identifies the hold of the tokens that \p Peer borrowed by its request
/// \p LendRequestId.
std::uint64_t holdId(std::string_view Peer, std::uint64_t LendRequestId) {
  return std::hash<std::string_view>{}(Peer) ^ LendRequestId;
}

} // namespace

void quota_ledger::setTeam(std::string_view Team, const team_limits &Limits,
                           instant Now) {
  const auto Found = Teams.find(Team);
  if (Found == Teams.end()) {
    const instant From = Limits.SoleInstance ? Now : std::max(AccrueFrom, Now);
    const double Level = Limits.Share.Burst * Options.StartFraction;
    Teams.emplace(std::string(Team),
                  team_state{quota_share(Limits.Share, Level, From),
                             Limits,
                             From,
                             {},
                             {},
                             {},
                             {},
                             From,
                             From,
                             Now,
                             Now});
    return;
  }
  Found->second.Limits = Limits;
  Found->second.Share.setLimits(Limits.Share, Now);
}

std::vector<quota_action>
quota_ledger::keepTeams(std::span<const std::string> Names) {
  action_list Actions;
  std::erase_if(Teams, [&](auto &Entry) {
    if (std::ranges::find(Names, Entry.first) != Names.end())
      return false;
    for (const waiter &Waiter : Entry.second.Waiting)
      Actions.push_back(refuse_action{Waiter.Request, span_ns(0), {}});
    return true;
  });
  return Actions;
}

std::vector<quota_action> quota_ledger::liftLimits(std::string_view Team) {
  action_list Actions;
  const auto Found = Teams.find(Team);
  if (Found == Teams.end())
    return Actions;
  for (const waiter &Waiter : Found->second.Waiting)
    Actions.push_back(admit_action{Waiter.Request, {}});
  Teams.erase(Found);
  return Actions;
}

void quota_ledger::setPeers(std::vector<std::string> Names) {
  Peers = std::move(Names);
  for (auto &[Name, Team] : Teams)
    std::erase_if(Team.PeerLevels, [this](const auto &Entry) {
      return std::ranges::find(Peers, Entry.first) == Peers.end();
    });
}

std::vector<quota_action> quota_ledger::request(request_number Request,
                                                std::string_view Team,
                                                const token_cost &Cost,
                                                instant Now) {
  action_list Actions;
  const auto Found = Teams.find(Team);
  if (Found == Teams.end()) {
    Actions.push_back(
        refuse_action{Request, MaxRetryAfter, {Cost.Tokens, 0, 0}});
    return Actions;
  }
  Found->second.LastRequest = Now;
  // Until accrual starts, requests wait instead of being refused.
  const instant From = std::max(Now, Found->second.AccrueFrom);
  Found->second.Waiting.push_back({Request, Cost, From + Options.MaxWait});
  processWaiting(Found->first, Found->second, Now, Actions);
  return Actions;
}

void quota_ledger::withdraw(std::string_view Team, request_number Request) {
  const auto Found = Teams.find(Team);
  if (Found != Teams.end())
    std::erase_if(Found->second.Waiting, [Request](const waiter &Waiter) {
      return Waiter.Request == Request;
    });
}

lend_response quota_ledger::onLendRequest(std::string_view Peer,
                                          const lend_request &Request,
                                          instant Now) {
  const auto Found = Teams.find(Request.Team);
  if (Found == Teams.end())
    return {Request.LendRequestId, Request.Team, 0, 0, 0, 0};
  team_state &Team = Found->second;
  const double Needed = waitingTokens(Team.Waiting);
  const double Spare = std::max(0.0, Team.Share.ownLevel(Now) - Needed);
  const double Offer =
      Request.Purpose == lend_purpose::Rebalance
          ? rebalanceOffer(Spare, Team.Limits.Share.Burst, Request)
          : Spare;
  const double LentBefore = Team.Share.lentTokens();
  const double Lent = Team.Share.lend(holdId(Peer, Request.LendRequestId),
                                      std::min(Request.Tokens, Offer),
                                      Now + Options.HoldDuration, Now);
  return {Request.LendRequestId, Request.Team,           Lent,
          Spare - Lent,          Team.Limits.Share.Rate, LentBefore};
}

std::vector<quota_action>
quota_ledger::onLendResponse(const std::string &Peer,
                             const lend_response &Response, instant Now) {
  action_list Actions;
  const auto Found = Teams.find(Response.Team);
  if (Found == Teams.end())
    return Actions;
  team_state &Team = Found->second;
  const bool IsRebalance =
      Response.LendRequestId == Team.Rebalance.LendRequestId;
  lend_round &Round = IsRebalance ? Team.Rebalance : Team.Demand;
  auto &Pending = Round.Pending;
  const auto PeerEntry = std::ranges::find(Pending, Peer);
  const bool Expected = Response.LendRequestId == Round.LendRequestId &&
                        PeerEntry != Pending.end();
  if (!Expected) {
    // The response repeats an earlier one or belongs to an earlier round; its
    // tokens are not used.
    return Actions;
  }
  Pending.erase(PeerEntry);
  Team.PeerLevels[Peer] = {Response.Level + Response.Outstanding, Response.Rate,
                           Now};
  const instant SpendBefore = Round.StartedAt + Options.GrantDuration;
  if (!IsRebalance)
    Team.Share.addGrant(Peer, Response.LendRequestId, Response.Lent,
                        SpendBefore, Now);
  else if (Now < SpendBefore)
    acceptRebalanced(Peer, Response, Team, Now, Actions);
  if (Pending.empty())
    Round.Open = false;
  processWaiting(Found->first, Team, Now, Actions);
  return Actions;
}

void quota_ledger::onLendReturn(std::string_view Peer,
                                const lend_return &Return, instant Now) {
  const auto Found = Teams.find(Return.Team);
  if (Found != Teams.end())
    Found->second.Share.reclaim(holdId(Peer, Return.LendRequestId),
                                Return.Tokens, Return.Closed, Now);
}

void quota_ledger::settle(std::string_view Team, const reservation &Reserved,
                          double Used, instant Now) {
  const auto Found = Teams.find(Team);
  if (Found != Teams.end())
    Found->second.Share.settle(Reserved, Used, Now);
}

std::vector<quota_action> quota_ledger::onTick(instant Now) {
  action_list Actions;
  for (auto &[Name, Team] : Teams) {
    if (!Team.Waiting.empty() && Team.WakeAt <= Now)
      processWaiting(Name, Team, Now, Actions);
    if (canRebalance(Team, Now) && Team.NextRebalance <= Now)
      rebalance(Name, Team, Now, Actions);
  }
  return Actions;
}

std::optional<instant> quota_ledger::nextTick(instant Now) const {
  std::optional<instant> Next;
  const auto Consider = [&Next](instant At) {
    if (!Next || At < *Next)
      Next = At;
  };
  for (const auto &[Name, Team] : Teams) {
    if (!Team.Waiting.empty())
      Consider(Team.WakeAt);
    if (canRebalance(Team, Now))
      Consider(Team.NextRebalance);
  }
  return Next;
}

double quota_ledger::available(std::string_view Team, instant Now) {
  const auto Found = Teams.find(Team);
  return Found == Teams.end() ? 0 : Found->second.Share.available(Now);
}

void quota_ledger::processWaiting(const std::string &Name, team_state &Team,
                                  instant Now, action_list &Actions) {
  admitWaiting(Team, Now, Actions);
  closeTimedOutRound(Team, Now);
  refuseUnservable(Team, Now, Actions);
  admitWaiting(Team, Now, Actions);
  if (!Team.Demand.Open)
    releaseGrants(Name, Team, Now, Actions);
  if (Team.Waiting.empty())
    return;
  const double Missing =
      waitingTokens(Team.Waiting) - Team.Share.available(Now);
  const bool MayStartRound = !Team.Demand.Open && Now >= Team.NextRoundAt;
  if (MayStartRound && Missing > 0 && !Peers.empty() &&
      timeUntilAvailable(Team, Team.Waiting.front().Cost.Tokens, Now).count() ==
          0)
    startRound(Name, Team, Missing, Now, Actions);
  scheduleWake(Team, Now);
}

void quota_ledger::admitWaiting(team_state &Team, instant Now,
                                action_list &Actions) {
  while (!Team.Waiting.empty()) {
    const waiter Front = Team.Waiting.front();
    if (Team.Share.available(Now) < Front.Cost.Tokens)
      return;
    Team.Waiting.pop_front();
    Actions.push_back(
        admit_action{Front.Request, Team.Share.spend(Front.Cost, Now)});
  }
}

void quota_ledger::refuseUnservable(team_state &Team, instant Now,
                                    action_list &Actions) {
  double Ahead = 0;
  std::deque<waiter> Kept;
  for (const waiter &Waiter : Team.Waiting) {
    // Outstanding responses may bring all missing tokens, so no request is
    // refused before the round has ended.
    const span_ns Wait =
        Team.Demand.Open
            ? span_ns(0)
            : timeUntilAvailable(Team, Ahead + Waiter.Cost.Tokens, Now);
    if (Team.Demand.Open || Now + Wait < Waiter.Deadline) {
      Ahead += Waiter.Cost.Tokens;
      Kept.push_back(Waiter);
      continue;
    }
    Actions.push_back(refuse_action{Waiter.Request, Wait,
                                    figuresOf(Team, Waiter.Cost.Tokens, Now)});
  }
  Team.Waiting = std::move(Kept);
}

void quota_ledger::closeTimedOutRound(team_state &Team, instant Now) const {
  if (!Team.Demand.Open || Now < Team.Demand.StartedAt + Options.LendTimeout)
    return;
  Team.Demand.Open = false;
  // A peer that timed out is assumed to have no tokens now and to accrue some
  // at the rate of the own share.
  for (const std::string &Peer : Team.Demand.Pending)
    Team.PeerLevels[Peer] = {0, Team.Limits.Share.Rate, Now};
}

void quota_ledger::startRound(const std::string &Name, team_state &Team,
                              double Missing, instant Now,
                              action_list &Actions) {
  Team.Demand = {++LastLendRequestId, Now,
                 choosePeers(Team, Options.MaxPeersPerRound, Now), true};
  Team.NextRoundAt = Now + Options.MinRoundInterval;
  for (const std::string &Peer : Team.Demand.Pending)
    Actions.push_back(send_lend_request{
        Peer,
        {Team.Demand.LendRequestId, Name, Missing, lend_purpose::Need, 0, 0}});
}

std::vector<std::string> quota_ledger::choosePeers(const team_state &Team,
                                                   std::size_t AtMost,
                                                   instant Now) const {
  struct candidate {
    double Level;
    const std::string *Name;
  };
  std::vector<candidate> Candidates;
  for (const std::string &Peer : Peers) {
    const auto Found = Team.PeerLevels.find(Peer);
    double Level = std::numeric_limits<double>::infinity();
    if (Found != Team.PeerLevels.end())
      Level = Found->second.Level +
              Found->second.Rate * toSeconds(Now - Found->second.At);
    Candidates.push_back({Level, &Peer});
  }
  // Peers of unknown level come first, then those with the most tokens.
  std::ranges::stable_sort(Candidates, std::ranges::greater{},
                           &candidate::Level);
  std::vector<std::string> Chosen;
  for (const candidate &Candidate : Candidates)
    if (Chosen.size() < AtMost)
      Chosen.push_back(*Candidate.Name);
  return Chosen;
}

bool quota_ledger::canRebalance(const team_state &Team, instant Now) const {
  return !Peers.empty() && Now - Team.LastRequest < Options.RebalanceIdle;
}

void quota_ledger::rebalance(const std::string &Name, team_state &Team,
                             instant Now, action_list &Actions) {
  Team.NextRebalance = Now + Options.RebalanceInterval;
  const double Burst = Team.Limits.Share.Burst;
  const double Level = Team.Share.ownLevel(Now) - waitingTokens(Team.Waiting);
  if (Level >= Burst * Options.RebalanceBelow)
    return;
  const double Room = Burst - Level;
  Team.Rebalance = {++LastLendRequestId, Now,
                    choosePeers(Team, Options.RebalancePeers, Now), true};
  for (const std::string &Peer : Team.Rebalance.Pending)
    Actions.push_back(
        send_lend_request{Peer,
                          {Team.Rebalance.LendRequestId, Name, Room,
                           lend_purpose::Rebalance, Level, Burst}});
}

void quota_ledger::acceptRebalanced(const std::string &Peer,
                                    const lend_response &Response,
                                    team_state &Team, instant Now,
                                    action_list &Actions) {
  if (Response.Lent <= 0)
    return;
  const double Unspent = Team.Share.addRebalanced(Response.Lent, Now);
  Actions.push_back(send_lend_return{
      Peer, {Response.LendRequestId, Response.Team, Unspent, true}});
}

void quota_ledger::releaseGrants(const std::string &Name, team_state &Team,
                                 instant Now, action_list &Actions) {
  const double Needed = waitingTokens(Team.Waiting);
  for (quota_share::ended_grant &End : Team.Share.releaseGrants(Needed, Now))
    Actions.push_back(
        send_lend_return{std::move(End.Lender),
                         {End.LendRequestId, Name, End.Unspent, End.Closed}});
}

void quota_ledger::scheduleWake(team_state &Team, instant Now) const {
  if (Team.Demand.Open) {
    Team.WakeAt = Team.Demand.StartedAt + Options.LendTimeout;
    return;
  }
  const span_ns Wait =
      timeUntilAvailable(Team, Team.Waiting.front().Cost.Tokens, Now);
  Team.WakeAt = std::max(Now + Wait, Team.NextRoundAt);
  for (const waiter &Waiter : Team.Waiting)
    Team.WakeAt = std::min(Team.WakeAt, Waiter.Deadline);
}

span_ns quota_ledger::timeUntilAvailable(team_state &Team, double Tokens,
                                         instant Now) const {
  double Level = Team.Share.available(Now);
  double Rate = Team.Limits.Share.Rate;
  if (Level >= Tokens)
    return span_ns(0);
  for (const std::string &Peer : Peers) {
    const auto Found = Team.PeerLevels.find(Peer);
    if (Found == Team.PeerLevels.end())
      return span_ns(0); // the peer may have all missing tokens
    const peer_level &Known = Found->second;
    Level += Known.Level + Known.Rate * toSeconds(Now - Known.At);
    Rate += Known.Rate;
  }
  if (Level >= Tokens)
    return span_ns(0);
  if (Rate <= 0)
    return MaxRetryAfter;
  return std::min(MaxRetryAfter, fromSeconds((Tokens - Level) / Rate) +
                                     std::chrono::microseconds(1));
}

quota_figures quota_ledger::figuresOf(team_state &Team, double Requested,
                                      instant Now) const {
  return {Requested, Team.Share.available(Now), Team.Limits.Share.Burst};
}

} // namespace ebonyvale
