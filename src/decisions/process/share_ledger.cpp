#include "decisions/process/share_ledger.h"

#include <algorithm>
#include <functional>

namespace ebonyvale {
namespace {

/// Peers are asked until their known levels cover this many times the need,
/// since levels may have fallen since they were heard of.
constexpr double AskedCover = 2.0;

/// Longest advice to a refused caller.
constexpr span_ns MaxRetryAfter = std::chrono::hours(1);

double waitingTokens(const auto &Waiting) {
  double Sum = 0;
  for (const auto &Waiter : Waiting)
    Sum += Waiter.Cost.Tokens;
  return Sum;
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
    return {Ask.AskId, Ask.Team, 0, 0, 0};
  team_state &Team = Found->second;
  const double Promised = waitingTokens(Team.Waiting);
  const double Spare = std::max(0.0, Team.Part.ownLevel(Now) - Promised);
  const double Lent =
      Team.Part.lend(holdId(Peer, Ask.AskId), std::min(Ask.Tokens, Spare),
                     Now + Rules.HoldTerm, Now);
  return {Ask.AskId, Ask.Team, Lent, Spare - Lent, Team.Limits.Part.Rate};
}

std::vector<share_action> share_ledger::onReply(const std::string &Peer,
                                                const share_reply &Reply,
                                                instant Now) {
  action_list Actions;
  const auto Found = Teams.find(Reply.Team);
  if (Found == Teams.end())
    return Actions;
  team_state &Team = Found->second;
  auto &Unanswered = Team.Round.Unanswered;
  const auto Asked = std::ranges::find(Unanswered, Peer);
  const bool Expected =
      Reply.AskId == Team.Round.AskId && Asked != Unanswered.end();
  if (!Expected) {
    // A reply to an older round or a repeated one; nothing of it is used.
    return Actions;
  }
  Unanswered.erase(Asked);
  Team.Known[Peer] = {Reply.Level, Reply.Rate, Now};
  Team.Part.addGrant(Peer, Reply.AskId, Reply.Lent,
                     Team.Round.AskedAt + Rules.GrantTerm, Now);
  if (Unanswered.empty())
    Team.Round.Open = false;
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
  for (auto &[Name, Team] : Teams)
    if (!Team.Waiting.empty() && Team.WakeAt <= Now)
      progress(Name, Team, Now, Actions);
  return Actions;
}

std::optional<instant> share_ledger::nextTick() const {
  std::optional<instant> Next;
  for (const auto &[Name, Team] : Teams)
    if (!Team.Waiting.empty() && (!Next || Team.WakeAt < *Next))
      Next = Team.WakeAt;
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
    // Answers that are still to come may bring all that is missing.
    const span_ns Wait = Team.Round.Open
                             ? span_ns(0)
                             : timeUntil(Team, Ahead + Waiter.Cost.Tokens, Now);
    if (Now + Wait < Waiter.Until) {
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
  Team.Round = {++LastAskId, Now, choosePeers(Team, Missing, Now), true};
  Team.RoundAllowed = Now + Rules.RoundInterval;
  for (const std::string &Peer : Team.Round.Unanswered)
    Actions.push_back(share_send_ask{Peer, {Team.Round.AskId, Name, Missing}});
}

std::vector<std::string> share_ledger::choosePeers(const team_state &Team,
                                                   double Missing,
                                                   instant Now) const {
  struct candidate {
    double Level;
    std::size_t Distance;
  };
  std::vector<candidate> Candidates;
  std::vector<std::string> Chosen;
  for (std::size_t Index = 0; Index < Peers.size(); ++Index) {
    const auto Known = Team.Known.find(Peers[Index]);
    if (Known == Team.Known.end()) {
      Chosen.push_back(Peers[Index]);
      continue;
    }
    const peer_level &Heard = Known->second;
    Candidates.push_back(
        {Heard.Level + Heard.Rate * toSeconds(Now - Heard.At), Index});
  }
  std::ranges::stable_sort(Candidates, std::ranges::greater{},
                           &candidate::Level);
  double Covered = 0;
  for (const candidate &Candidate : Candidates) {
    if (Covered >= AskedCover * Missing)
      break;
    Covered += Candidate.Level;
    Chosen.push_back(Peers[Candidate.Distance]);
  }
  if (Chosen.size() > Rules.MaxAsked)
    Chosen.resize(Rules.MaxAsked);
  return Chosen;
}

void share_ledger::endGrants(const std::string &Name, team_state &Team,
                             instant Now, action_list &Actions) {
  const double Needed = waitingTokens(Team.Waiting);
  for (token_part::grant_end &End : Team.Part.endGrants(Needed, Now))
    Actions.push_back(share_send_return{
        std::move(End.Lender), {End.AskId, Name, End.Unspent, End.Closed}});
}

void share_ledger::planWake(team_state &Team, instant Now) const {
  instant Wake = Team.Waiting.front().Until;
  for (const waiter &Waiter : Team.Waiting)
    Wake = std::min(Wake, Waiter.Until);
  if (Team.Round.Open) {
    Wake = std::min(Wake, Team.Round.AskedAt + Rules.AskTimeout);
  } else {
    const span_ns Wait = timeUntil(Team, Team.Waiting.front().Cost.Tokens, Now);
    Wake = std::min(Wake, std::max(Now + Wait, Team.RoundAllowed));
  }
  Team.WakeAt = Wake;
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
