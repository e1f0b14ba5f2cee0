/// \file
/// Admission of requests within the teams' fleet-wide rates and bursts.
///
/// Each instance owns a fixed part of every team's limits. A request that its
/// part cannot carry waits briefly while peers are asked to lend tokens. The
/// ledger is a state machine: every call returns the actions that its owner
/// has to carry out.
#ifndef EBONYVALE_DECISIONS_PROCESS_SHARE_LEDGER_H
#define EBONYVALE_DECISIONS_PROCESS_SHARE_LEDGER_H

#include "common/instant.h"
#include "decisions/process/refusal_ledger.h"
#include "decisions/process/token_part.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace ebonyvale {

/// Terms of the protocol between the ledgers of a fleet.
struct share_rules {
  /// How long a taker may spend what it was lent, from its ask on.
  span_ns GrantTerm = std::chrono::milliseconds(1000);
  /// How long a lender keeps its part lowered; longer than `GrantTerm` by more
  /// than two clocks can drift apart in that time.
  span_ns HoldTerm = std::chrono::milliseconds(1100);
  /// How long a request waits for tokens before it is refused.
  span_ns WaitMax = std::chrono::milliseconds(250);
  /// How long an answer of a peer is waited for.
  span_ns AskTimeout = std::chrono::milliseconds(100);
  /// Least time between two rounds of asks for one team.
  span_ns RoundInterval = std::chrono::milliseconds(20);
  /// Part of the burst that a new process may spend at once; above zero only
  /// where no predecessor can have spent it.
  double StartFraction = 0;
  /// Time between two attempts to level out a part with its peers.
  span_ns LevelInterval = std::chrono::milliseconds(500);
  /// Parts that are filled above it ask for nothing.
  double LevelBelow = 0.9;
  /// Peers asked at once to level out.
  std::size_t LevelPeers = 2;
  /// A team without requests for this long is left alone.
  span_ns LevelIdle = std::chrono::seconds(5);
  /// Peers asked at once.
  std::size_t MaxAsked = 16;
};

/// Names a waiting request to the ledger's owner.
using request_number = std::uint64_t;

/// Why a peer is asked.
enum class ask_purpose {
  Need,  ///< requests wait for the tokens
  Level, ///< the asker's part is emptier than others may be
};

/// Asks a peer for tokens.
struct share_ask {
  std::uint64_t AskId = 0; ///< unique at the asker
  std::string Team;
  double Tokens = 0; ///< wanted at most
  ask_purpose Purpose = ask_purpose::Need;
  double Level = 0; ///< of the asker's part
  double Burst = 0; ///< of the asker's part
};

/// A peer's answer.
struct share_reply {
  std::uint64_t AskId = 0;
  std::string Team;
  double Lent = 0;
  double Level = 0;     ///< left at the lender
  double Rate = 0;      ///< at which the lender's part grows
  double MayReturn = 0; ///< lent to others and not yet known to be spent
};

/// Gives back lent tokens that were not needed, or tells that they are spent.
struct share_return {
  std::uint64_t AskId = 0;
  std::string Team;
  double Tokens = 0;   ///< unspent
  bool Closed = false; ///< nothing of the grant can be spent any more
};

/// The request may run; settle the reservation when it has ended.
struct share_admit {
  request_number Request;
  reservation Reserved;
};

/// The request is refused.
struct share_refuse {
  request_number Request;
  span_ns RetryAfter; ///< when the fleet may have the tokens
  limit_figures Figures;
};

/// Send \p Ask to \p Peer.
struct share_send_ask {
  std::string Peer;
  share_ask Ask;
};

/// Send \p Return to \p Peer.
struct share_send_return {
  std::string Peer;
  share_return Return;
};

/// What the owner has to do.
using share_action =
    std::variant<share_admit, share_refuse, share_send_ask, share_send_return>;

/// A team's limits as this instance holds them.
struct team_limits {
  part_limits Part;   ///< of this instance
  bool Alone = false; ///< no other instance has a part
};

/// The ledger of one process.
class share_ledger {
public:
  /// \p AccrueFrom is the start of the process plus the hold term, or earlier
  /// when no predecessor can have lent anything. \p FirstAskId must differ
  /// between processes that run under the same name.
  share_ledger(share_rules Rules, instant AccrueFrom, std::uint64_t FirstAskId)
      : Rules(Rules), AccrueFrom(AccrueFrom), LastAskId(FirstAskId) {}

  /// Takes the limits of a team; unknown teams are created.
  void setTeam(std::string_view Team, const team_limits &Limits, instant Now);

  /// Forgets teams that are not in \p Teams, refusing what waits for them.
  std::vector<share_action> keepTeams(std::span<const std::string> Teams);

  /// Peers that can be asked, nearest first.
  void setPeers(std::vector<std::string> Names);

  /// A request wants tokens. It is admitted or refused now, or later by
  /// `onReply` or `onTick`, never after `WaitMax`.
  std::vector<share_action> request(request_number Request,
                                    std::string_view Team,
                                    const token_cost &Cost, instant Now);

  /// The caller of a waiting request has gone.
  void withdraw(std::string_view Team, request_number Request);

  /// A peer asks; the answer is to be sent back to it.
  share_reply onAsk(std::string_view Peer, const share_ask &Ask, instant Now);

  /// A peer has answered.
  std::vector<share_action> onReply(const std::string &Peer,
                                    const share_reply &Reply, instant Now);

  /// A peer gives back what it did not need.
  void onReturn(std::string_view Peer, const share_return &Return, instant Now);

  /// Settles an admitted request by the tokens that it used.
  void settle(std::string_view Team, const reservation &Reserved, double Used,
              instant Now);

  /// Time has passed. To be called when `nextTick` is due.
  std::vector<share_action> onTick(instant Now);

  /// When `onTick` has to be called, if anything waits.
  std::optional<instant> nextTick(instant Now) const;

  /// Tokens that this instance could spend for a team.
  double available(std::string_view Team, instant Now);

private:
  struct waiter {
    request_number Request;
    token_cost Cost;
    instant Until;
  };
  struct peer_level {
    double Level; ///< what may have come back included
    double Rate;
    instant At;
  };
  struct ask_round {
    std::uint64_t AskId = 0;
    instant AskedAt;
    std::vector<std::string> Unanswered;
    bool Open = false; ///< answers are still waited for
  };
  struct team_state {
    token_part Part;
    team_limits Limits;
    instant AccrueFrom;
    std::deque<waiter> Waiting;
    std::map<std::string, peer_level, std::less<>> Known;
    ask_round Round;    ///< for requests that wait
    ask_round Leveling; ///< to level out the parts
    instant LevelAt;    ///< when to level out next
    instant LastRequest;
    instant RoundAllowed; ///< no round of asks starts before it
    instant WakeAt;       ///< when `onTick` has something to do
  };
  using team_map = std::map<std::string, team_state, std::less<>>;
  using action_list = std::vector<share_action>;

  void progress(const std::string &Name, team_state &Team, instant Now,
                action_list &Actions);
  static void admitWaiting(team_state &Team, instant Now, action_list &Actions);
  void refuseHopeless(team_state &Team, instant Now, action_list &Actions);
  void closeExpiredRound(team_state &Team, instant Now) const;
  void startRound(const std::string &Name, team_state &Team, double Missing,
                  instant Now, action_list &Actions);
  std::vector<std::string> choosePeers(const team_state &Team,
                                       std::size_t AtMost, instant Now) const;
  void levelOut(const std::string &Name, team_state &Team, instant Now,
                action_list &Actions);
  static void takeLeveled(const std::string &Peer, const share_reply &Reply,
                          team_state &Team, instant Now, action_list &Actions);
  bool wantsLeveling(const team_state &Team, instant Now) const;
  static void endGrants(const std::string &Name, team_state &Team, instant Now,
                        action_list &Actions);
  void planWake(team_state &Team, instant Now) const;
  span_ns timeUntil(team_state &Team, double Tokens, instant Now) const;
  limit_figures figures(team_state &Team, double Asked, instant Now) const;

  share_rules Rules;
  instant AccrueFrom;
  team_map Teams;
  std::vector<std::string> Peers;
  std::uint64_t LastAskId;
};

} // namespace ebonyvale

#endif
