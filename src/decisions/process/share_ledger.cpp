#include "decisions/process/share_ledger.h"

#include <algorithm>
#include <functional>
#include <limits>

namespace ebonyvale {
namespace {

/// Longest advice to a refused caller.
constexpr span_ns MaxRetryAfter = std::chrono::hours(1);

double waitingTokens(const auto &Waiting) {
  double Sum = 0;
  for (const auto &Waiter : Waiting)
    Sum += Waiter.Cost.Tokens;
  return Sum;
}

/// Tokens that leave lender and asker filled to the same degree.
double levelingOffer(double Spare, double Burst, const share_ask &Ask) {
  if (Burst <= 0 || Ask.Burst <= 0)
    return 0;
  const double Difference = Spare / Burst - Ask.Level / Ask.Burst;
  return Difference / (1 / Burst + 1 / Ask.Burst);
}

std::uint64_t holdId(std::string_view Peer, std::uint64_t AskId) {
  return std::hash<std::string_view>{}(Peer) ^ AskId;
}

} // namespace

void share_ledger::setTeam(std::string_view Team, const team_limits &Limits,
                           instant Now) {
  const auto Found = Teams.find(Team);
  if (Found == Teams.end()) {
    const instant From = Limits.Alone ? Now : std::max(AccrueFrom, Now);
    const double Level = Limits.Part.Burst * Rules.StartFraction;
    Teams.emplace(std::string(Team),
                  team_state{token_part(Limits.Part, Level, From),
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
  Found->second.Part.setLimits(Limits.Part, Now);
}

std::vector<share_action>
share_ledger::keepTeams(std::span<const std::string> Names) {
  action_list Actions;
  std::erase_if(Teams, [&](auto &Entry) {
    if (std::ranges::find(Names, Entry.first) != Names.end())
      return false;
    for (const waiter &Waiter : Entry.second.Waiting)
      Actions.push_back(share_refuse{Waiter.Request, span_ns(0), {}});
    return true;
  });
  return Actions;
}

void share_ledger::setPeers(std::vector<std::string> Names) {
  Peers = std::move(Names);
  for (auto &[Name, Team] : Teams)
    std::erase_if(Team.Known, [this](const auto &Entry) {
      return std::ranges::find(Peers, Entry.first) == Peers.end();
    });
}

std::vector<share_action> share_ledger::request(request_number Request,
                                                std::string_view Team,
                                                const token_cost &Cost,
                                                instant Now) {
  action_list Actions;
  const auto Found = Teams.find(Team);
  if (Found == Teams.end()) {
    Actions.push_back(
        share_refuse{Request, MaxRetryAfter, {Cost.Tokens, 0, 0}});
    return Actions;
  }
  Found->second.LastRequest = Now;
  // Before accrual starts requests are held rather than refused.
  const instant From = std::max(Now, Found->second.AccrueFrom);
  Found->second.Waiting.push_back({Request, Cost, From + Rules.WaitMax});
  progress(Found->first, Found->second, Now, Actions);
  return Actions;
}

void share_ledger::withdraw(std::string_view Team, request_number Request) {
  const auto Found = Teams.find(Team);
  if (Found != Teams.end())
    std::erase_if(Found->second.Waiting, [Request](const waiter &Waiter) {
      return Waiter.Request == Request;
    });
}

share_reply share_ledger::onAsk(std::string_view Peer, const share_ask &Ask,
                                instant Now) {
  const auto Found = Teams.find(Ask.Team);
  if (Found == Teams.end())
    return {Ask.AskId, Ask.Team, 0, 0, 0, 0};
  team_state &Team = Found->second;
  const double Promised = waitingTokens(Team.Waiting);
  const double Spare = std::max(0.0, Team.Part.ownLevel(Now) - Promised);
  const double Offer = Ask.Purpose == ask_purpose::Level
                           ? levelingOffer(Spare, Team.Limits.Part.Burst, Ask)
                           : Spare;
  const double LentBefore = Team.Part.lentTokens();
  const double Lent =
      Team.Part.lend(holdId(Peer, Ask.AskId), std::min(Ask.Tokens, Offer),
                     Now + Rules.HoldTerm, Now);
  return {Ask.AskId, Ask.Team, Lent, Spare - Lent, Team.Limits.Part.Rate,
          LentBefore};
}

std::vector<share_action> share_ledger::onReply(const std::string &Peer,
                                                const share_reply &Reply,
                                                instant Now) {
  action_list Actions;
  const auto Found = Teams.find(Reply.Team);
  if (Found == Teams.end())
    return Actions;
  team_state &Team = Found->second;
  const bool IsLeveling = Reply.AskId == Team.Leveling.AskId;
  ask_round &Round = IsLeveling ? Team.Leveling : Team.Round;
  auto &Unanswered = Round.Unanswered;
  const auto Asked = std::ranges::find(Unanswered, Peer);
  const bool Expected = Reply.AskId == Round.AskId && Asked != Unanswered.end();
  if (!Expected) {
    // A reply to an older round or a repeated one; nothing of it is used.
    return Actions;
  }
  Unanswered.erase(Asked);
  Team.Known[Peer] = {Reply.Level + Reply.MayReturn, Reply.Rate, Now};
  const instant SpendBefore = Round.AskedAt + Rules.GrantTerm;
  if (!IsLeveling)
    Team.Part.addGrant(Peer, Reply.AskId, Reply.Lent, SpendBefore, Now);
  else if (Now < SpendBefore)
    takeLeveled(Peer, Reply, Team, Now, Actions);
  if (Unanswered.empty())
    Round.Open = false;
  progress(Found->first, Team, Now, Actions);
  return Actions;
}

void share_ledger::onReturn(std::string_view Peer, const share_return &Return,
                            instant Now) {
  const auto Found = Teams.find(Return.Team);
  if (Found != Teams.end())
    Found->second.Part.takeBack(holdId(Peer, Return.AskId), Return.Tokens,
                                Return.Closed, Now);
}

void share_ledger::settle(std::string_view Team, const reservation &Reserved,
                          double Used, instant Now) {
  const auto Found = Teams.find(Team);
  if (Found != Teams.end())
    Found->second.Part.settle(Reserved, Used, Now);
}

std::vector<share_action> share_ledger::onTick(instant Now) {
  action_list Actions;
  for (auto &[Name, Team] : Teams) {
    if (!Team.Waiting.empty() && Team.WakeAt <= Now)
      progress(Name, Team, Now, Actions);
    if (wantsLeveling(Team, Now) && Team.LevelAt <= Now)
      levelOut(Name, Team, Now, Actions);
  }
  return Actions;
}

std::optional<instant> share_ledger::nextTick(instant Now) const {
  std::optional<instant> Next;
  const auto Consider = [&Next](instant At) {
    if (!Next || At < *Next)
      Next = At;
  };
  for (const auto &[Name, Team] : Teams) {
    if (!Team.Waiting.empty())
      Consider(Team.WakeAt);
    if (wantsLeveling(Team, Now))
      Consider(Team.LevelAt);
  }
  return Next;
}

double share_ledger::available(std::string_view Team, instant Now) {
  const auto Found = Teams.find(Team);
  return Found == Teams.end() ? 0 : Found->second.Part.available(Now);
}

void share_ledger::progress(const std::string &Name, team_state &Team,
                            instant Now, action_list &Actions) {
  admitWaiting(Team, Now, Actions);
  closeExpiredRound(Team, Now);
  refuseHopeless(Team, Now, Actions);
  admitWaiting(Team, Now, Actions);
  if (!Team.Round.Open)
    endGrants(Name, Team, Now, Actions);
  if (Team.Waiting.empty())
    return;
  const double Missing = waitingTokens(Team.Waiting) - Team.Part.available(Now);
  const bool MayAsk = !Team.Round.Open && Now >= Team.RoundAllowed;
  if (MayAsk && Missing > 0 && !Peers.empty() &&
      timeUntil(Team, Team.Waiting.front().Cost.Tokens, Now).count() == 0)
    startRound(Name, Team, Missing, Now, Actions);
  planWake(Team, Now);
}

void share_ledger::admitWaiting(team_state &Team, instant Now,
                                action_list &Actions) {
  while (!Team.Waiting.empty()) {
    const waiter Front = Team.Waiting.front();
    if (Team.Part.available(Now) < Front.Cost.Tokens)
      return;
    Team.Waiting.pop_front();
    Actions.push_back(
        share_admit{Front.Request, Team.Part.spend(Front.Cost, Now)});
  }
}

void share_ledger::refuseHopeless(team_state &Team, instant Now,
                                  action_list &Actions) {
  double Ahead = 0;
  std::deque<waiter> Kept;
  for (const waiter &Waiter : Team.Waiting) {
    // Answers that are still to come may bring all that is missing, so
    // nobody is refused before they are in.
    const span_ns Wait = Team.Round.Open
                             ? span_ns(0)
                             : timeUntil(Team, Ahead + Waiter.Cost.Tokens, Now);
    if (Team.Round.Open || Now + Wait < Waiter.Until) {
      Ahead += Waiter.Cost.Tokens;
      Kept.push_back(Waiter);
      continue;
    }
    Actions.push_back(share_refuse{Waiter.Request, Wait,
                                   figures(Team, Waiter.Cost.Tokens, Now)});
  }
  Team.Waiting = std::move(Kept);
}

void share_ledger::closeExpiredRound(team_state &Team, instant Now) const {
  if (!Team.Round.Open || Now < Team.Round.AskedAt + Rules.AskTimeout)
    return;
  Team.Round.Open = false;
  // A silent peer is taken to hold nothing now; its level may grow again.
  for (const std::string &Peer : Team.Round.Unanswered)
    Team.Known[Peer] = {0, Team.Limits.Part.Rate, Now};
}

void share_ledger::startRound(const std::string &Name, team_state &Team,
                              double Missing, instant Now,
                              action_list &Actions) {
  Team.Round = {++LastAskId, Now, choosePeers(Team, Rules.MaxAsked, Now), true};
  Team.RoundAllowed = Now + Rules.RoundInterval;
  for (const std::string &Peer : Team.Round.Unanswered)
    Actions.push_back(share_send_ask{
        Peer, {Team.Round.AskId, Name, Missing, ask_purpose::Need, 0, 0}});
}

std::vector<std::string> share_ledger::choosePeers(const team_state &Team,
                                                   std::size_t AtMost,
                                                   instant Now) const {
  struct candidate {
    double Level;
    const std::string *Name;
  };
  std::vector<candidate> Candidates;
  for (const std::string &Peer : Peers) {
    const auto Known = Team.Known.find(Peer);
    double Level = std::numeric_limits<double>::infinity();
    if (Known != Team.Known.end())
      Level = Known->second.Level +
              Known->second.Rate * toSeconds(Now - Known->second.At);
    Candidates.push_back({Level, &Peer});
  }
  // Peers of which nothing is known come first, then the fullest.
  std::ranges::stable_sort(Candidates, std::ranges::greater{},
                           &candidate::Level);
  std::vector<std::string> Chosen;
  for (const candidate &Candidate : Candidates)
    if (Chosen.size() < AtMost)
      Chosen.push_back(*Candidate.Name);
  return Chosen;
}

bool share_ledger::wantsLeveling(const team_state &Team, instant Now) const {
  return !Peers.empty() && Now - Team.LastRequest < Rules.LevelIdle;
}

void share_ledger::levelOut(const std::string &Name, team_state &Team,
                            instant Now, action_list &Actions) {
  Team.LevelAt = Now + Rules.LevelInterval;
  const double Burst = Team.Limits.Part.Burst;
  const double Level = Team.Part.ownLevel(Now) - waitingTokens(Team.Waiting);
  if (Level >= Burst * Rules.LevelBelow)
    return;
  const double Room = Burst - Level;
  Team.Leveling = {++LastAskId, Now, choosePeers(Team, Rules.LevelPeers, Now),
                   true};
  for (const std::string &Peer : Team.Leveling.Unanswered)
    Actions.push_back(share_send_ask{
        Peer,
        {Team.Leveling.AskId, Name, Room, ask_purpose::Level, Level, Burst}});
}

void share_ledger::takeLeveled(const std::string &Peer,
                               const share_reply &Reply, team_state &Team,
                               instant Now, action_list &Actions) {
  if (Reply.Lent <= 0)
    return;
  const double Unspent = Team.Part.absorb(Reply.Lent, Now);
  Actions.push_back(
      share_send_return{Peer, {Reply.AskId, Reply.Team, Unspent, true}});
}

void share_ledger::endGrants(const std::string &Name, team_state &Team,
                             instant Now, action_list &Actions) {
  const double Needed = waitingTokens(Team.Waiting);
  for (token_part::grant_end &End : Team.Part.endGrants(Needed, Now))
    Actions.push_back(share_send_return{
        std::move(End.Lender), {End.AskId, Name, End.Unspent, End.Closed}});
}

void share_ledger::planWake(team_state &Team, instant Now) const {
  if (Team.Round.Open) {
    Team.WakeAt = Team.Round.AskedAt + Rules.AskTimeout;
    return;
  }
  const span_ns Wait = timeUntil(Team, Team.Waiting.front().Cost.Tokens, Now);
  Team.WakeAt = std::max(Now + Wait, Team.RoundAllowed);
  for (const waiter &Waiter : Team.Waiting)
    Team.WakeAt = std::min(Team.WakeAt, Waiter.Until);
}

span_ns share_ledger::timeUntil(team_state &Team, double Tokens,
                                instant Now) const {
  double Level = Team.Part.available(Now);
  double Rate = Team.Limits.Part.Rate;
  if (Level >= Tokens)
    return span_ns(0);
  for (const std::string &Peer : Peers) {
    const auto Known = Team.Known.find(Peer);
    if (Known == Team.Known.end())
      return span_ns(0); // it may hold all that is missing
    const peer_level &Heard = Known->second;
    Level += Heard.Level + Heard.Rate * toSeconds(Now - Heard.At);
    Rate += Heard.Rate;
  }
  if (Level >= Tokens)
    return span_ns(0);
  if (Rate <= 0)
    return MaxRetryAfter;
  return std::min(MaxRetryAfter, fromSeconds((Tokens - Level) / Rate) +
                                     std::chrono::microseconds(1));
}

limit_figures share_ledger::figures(team_state &Team, double Asked,
                                    instant Now) const {
  return {Asked, Team.Part.available(Now), Team.Limits.Part.Burst};
}

} // namespace ebonyvale
