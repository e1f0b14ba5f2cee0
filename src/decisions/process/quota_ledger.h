/// \file
/// Admission of requests within the teams' fleet-wide rates and bursts.
///
/// Each instance owns a fixed quota share of every team's limits. A request for
/// which the share has too few tokens waits briefly while lend requests are
/// sent to peers. The ledger is a state machine without I/O: its calls return
/// the actions that the owner has to carry out.
#ifndef EBONYVALE_DECISIONS_PROCESS_QUOTA_LEDGER_H
#define EBONYVALE_DECISIONS_PROCESS_QUOTA_LEDGER_H

#include "common/instant.h"
#include "decisions/process/quota_share.h"
#include "decisions/process/refusal_log.h"

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

/// Options of admission and of lending between the instances of a fleet.
struct quota_ledger_options {
  /// Lifetime of a grant at the borrower, counted from its lend request.
  span_ns GrantDuration = std::chrono::milliseconds(1000);
  /// Time for which the lender's quota stays lowered. Exceeds `GrantDuration`
  /// by more than two clocks can drift apart in that time.
  span_ns HoldDuration = std::chrono::milliseconds(1100);
  /// Time that a request waits for tokens before it is refused.
  span_ns MaxWait = std::chrono::milliseconds(250);
  /// Timeout of a lend request.
  span_ns LendTimeout = std::chrono::milliseconds(100);
  /// Least time between two rounds of lend requests for one team.
  span_ns MinRoundInterval = std::chrono::milliseconds(20);
  /// Fraction of its burst that a new process may spend at once. Above zero
  /// only where no earlier process of the instance can have spent it.
  double StartFraction = 0;
  /// Time between two attempts to rebalance a quota share with peers.
  span_ns RebalanceInterval = std::chrono::milliseconds(500);
  /// Fill level, as a fraction of the burst, below which a share is rebalanced.
  double RebalanceBelow = 0.9;
  /// Number of peers that get a lend request in one rebalance.
  std::size_t RebalancePeers = 2;
  /// Time without requests after which a team is no longer rebalanced.
  span_ns RebalanceIdle = std::chrono::seconds(5);
  /// Number of peers that get a lend request in one round for waiting
  /// requests.
  std::size_t MaxPeersPerRound = 16;
};

/// Identifies a request between the ledger and its owner.
using request_number = std::uint64_t;

/// Purpose of a lend request.
enum class lend_purpose {
  Need,      ///< requests wait for the tokens
  Rebalance, ///< even out the fill levels
};

/// A request to a peer to lend tokens.
struct lend_request {
  /// Unique at the borrower; the same for all peers of one round.
  std::uint64_t LendRequestId = 0;
  std::string Team;
  double Tokens = 0; ///< upper bound of the loan
  lend_purpose Purpose = lend_purpose::Need;
  double Level = 0; ///< tokens in the borrower's share, for a rebalance
  double Burst = 0; ///< of the borrower's share, for a rebalance
};

/// Response to a lend request.
struct lend_response {
  std::uint64_t LendRequestId = 0;
  std::string Team;
  double Lent = 0;
  double Level = 0;       ///< tokens left at the lender
  double Rate = 0;        ///< tokens per second that the lender accrues
  double Outstanding = 0; ///< lent before and not yet known to be spent
};

/// A message that returns lent tokens which were not needed, or reports that
/// they are spent.
struct lend_return {
  std::uint64_t LendRequestId = 0;
  std::string Team;
  double Tokens = 0;   ///< unspent
  bool Closed = false; ///< nothing is left of the grant
};

/// Run the request, and settle the reservation when it has ended.
struct admit_action {
  request_number Request;
  reservation Reserved;
};

/// Refuse the request.
struct refuse_action {
  request_number Request;
  span_ns RetryAfter; ///< time until the fleet may have the tokens
  quota_figures Figures;
};

/// Send `LendRequest` to `Peer`.
struct send_lend_request {
  std::string Peer;
  lend_request LendRequest;
};

/// Send `Return` to `Peer`.
struct send_lend_return {
  std::string Peer;
  lend_return Return;
};

/// An action that the owner of the ledger has to carry out.
using quota_action = std::variant<admit_action, refuse_action,
                                  send_lend_request, send_lend_return>;

/// Limits of a team at this instance.
struct team_limits {
  quota_limits Share;        ///< of this instance
  bool SoleInstance = false; ///< no other instance has a share of the team
};

/// Admits requests of all teams at one instance.
class quota_ledger {
public:
  /// Tokens accrue from \p AccrueFrom on: the start of the process plus
  /// `HoldDuration`, or earlier if no earlier process of the instance can have
  /// lent tokens. \p FirstLendRequestId must differ between processes that run
  /// under the same instance name.
  quota_ledger(quota_ledger_options Options, instant AccrueFrom,
               std::uint64_t FirstLendRequestId)
      : Options(Options), AccrueFrom(AccrueFrom),
        LastLendRequestId(FirstLendRequestId) {}

  /// Sets the limits of \p Team and creates it if it is unknown.
  void setTeam(std::string_view Team, const team_limits &Limits, instant Now);

  /// Removes the teams that are not in \p Teams and refuses their waiting
  /// requests.
  std::vector<quota_action> keepTeams(std::span<const std::string> Teams);

  /// Removes \p Team, which has no limits any more, and admits its waiting
  /// requests.
  std::vector<quota_action> liftLimits(std::string_view Team);

  /// Sets the peers that can lend tokens, nearest first.
  void setPeers(std::vector<std::string> Names);

  /// Requests \p Cost tokens for \p Request. The request is admitted or refused
  /// by the actions of this call, or of a later `onLendResponse` or `onTick`:
  /// within `MaxWait` after accrual has started, or when a round of lend
  /// requests that is open at that time ends.
  std::vector<quota_action> request(request_number Request,
                                    std::string_view Team,
                                    const token_cost &Cost, instant Now);

  /// Drops a waiting request whose caller has disconnected.
  void withdraw(std::string_view Team, request_number Request);

  /// Handles a lend request of \p Peer and returns the response to send.
  lend_response onLendRequest(std::string_view Peer,
                              const lend_request &Request, instant Now);

  /// Handles the response of \p Peer to a lend request.
  std::vector<quota_action> onLendResponse(const std::string &Peer,
                                           const lend_response &Response,
                                           instant Now);

  /// Handles the return of lent tokens by \p Peer.
  void onLendReturn(std::string_view Peer, const lend_return &Return,
                    instant Now);

  /// Settles an admitted request, which has used \p Used tokens.
  void settle(std::string_view Team, const reservation &Reserved, double Used,
              instant Now);

  /// Handles timeouts. To be called when `nextTick` is due.
  std::vector<quota_action> onTick(instant Now);

  /// Returns when `onTick` has to be called, if at all.
  std::optional<instant> nextTick(instant Now) const;

  /// Returns the tokens that this instance could spend for \p Team.
  double available(std::string_view Team, instant Now);

private:
  struct waiter {
    request_number Request;
    token_cost Cost;
    instant Deadline;
  };
  struct peer_level {
    double Level; ///< including tokens that may be returned to the peer
    double Rate;
    instant At;
  };
  struct lend_round {
    std::uint64_t LendRequestId = 0;
    instant StartedAt;
    std::vector<std::string> Pending; ///< peers that have not responded
    bool Open = false; ///< responses are outstanding and not timed out
  };
  struct team_state {
    quota_share Share;
    team_limits Limits;
    instant AccrueFrom;
    std::deque<waiter> Waiting;
    std::map<std::string, peer_level, std::less<>> PeerLevels;
    lend_round Demand;    ///< for waiting requests
    lend_round Rebalance; ///< to even out fill levels
    instant NextRebalance;
    instant LastRequest;
    instant NextRoundAt; ///< no `Demand` round starts before
    instant WakeAt;      ///< when `onTick` processes waiting requests
  };
  using team_map = std::map<std::string, team_state, std::less<>>;
  using action_list = std::vector<quota_action>;

  /// Admits and refuses waiting requests, returns unneeded grants and starts a
  /// round of lend requests if tokens are missing.
  void processWaiting(const std::string &Name, team_state &Team, instant Now,
                      action_list &Actions);
  static void admitWaiting(team_state &Team, instant Now, action_list &Actions);
  void refuseUnservable(team_state &Team, instant Now, action_list &Actions);
  void closeTimedOutRound(team_state &Team, instant Now) const;
  void startRound(const std::string &Name, team_state &Team, double Missing,
                  instant Now, action_list &Actions);
  /// Returns up to \p AtMost peers, those with the most tokens first.
  std::vector<std::string> choosePeers(const team_state &Team,
                                       std::size_t AtMost, instant Now) const;
  void rebalance(const std::string &Name, team_state &Team, instant Now,
                 action_list &Actions);
  static void acceptRebalanced(const std::string &Peer,
                               const lend_response &Response, team_state &Team,
                               instant Now, action_list &Actions);
  /// Returns whether the instance has peers and \p Team recent requests.
  bool canRebalance(const team_state &Team, instant Now) const;
  static void releaseGrants(const std::string &Name, team_state &Team,
                            instant Now, action_list &Actions);
  /// Sets `WakeAt` of \p Team, which must have a waiting request.
  void scheduleWake(team_state &Team, instant Now) const;
  /// Returns the estimated time until the fleet has \p Tokens for the team,
  /// zero if it may have them now.
  span_ns timeUntilAvailable(team_state &Team, double Tokens,
                             instant Now) const;
  quota_figures figuresOf(team_state &Team, double Requested,
                          instant Now) const;

  quota_ledger_options Options;
  instant AccrueFrom;
  team_map Teams;
  std::vector<std::string> Peers;
  std::uint64_t LastLendRequestId;
};

} // namespace ebonyvale

#endif
