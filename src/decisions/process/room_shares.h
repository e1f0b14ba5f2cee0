/// \file
/// Divides the room of one service among teams and priorities while it is
/// short.
#ifndef EBONYVALE_DECISIONS_PROCESS_ROOM_SHARES_H
#define EBONYVALE_DECISIONS_PROCESS_ROOM_SHARES_H

#include "common/instant.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace ebonyvale {

/// Priorities of requests: 0 is the most urgent.
inline constexpr int PriorityCount = 10;

/// Why a request has no room.
enum class room_bound {
  None, ///< it is admitted
  /// Its team's part of the room is used by the team's more urgent requests,
  /// and no other team leaves room for requests as urgent as this one.
  Priority,
  Part, ///< its team sends more than its part, and no other leaves that room
  Room, ///< its team is within its part, but the room is less than assumed
  Deadline, ///< its deadline passes before its turn
};

inline constexpr std::size_t RoomBoundCount = 5;

/// Returns "none", "priority", "part", "room" or "deadline".
std::string_view roomBoundName(room_bound Bound);

/// A request that asks for room.
struct share_request {
  std::string_view Team; ///< empty for requests without a key
  double Weight = 1;     ///< of the team, relative to the others
  int Priority = 0;
  double WorkMs = 1;
  std::uint64_t Draw = 0; ///< hash of the request's id
  /// Whether it can begin before its deadline if it waits like the others.
  bool IsInTime = true;
};

/// Whether a request is admitted, and the rates behind that, in ms of work a
/// second on this instance.
struct share_decision {
  room_bound Bound = room_bound::None;
  double Part = 0; ///< of the team
  double Use = 0;  ///< what the team asks for
  bool isAdmitted() const { return Bound == room_bound::None; }
};

/// What a team asks for and gets, for operators. Rates in ms of work a second.
struct team_room {
  std::string Team;
  double Asked = 0;
  double Admitted = 0;
  double Part = 0;
  std::uint64_t Requests = 0; ///< since the team was last forgotten
  std::array<std::uint64_t, RoomBoundCount> Refused{}; ///< by `room_bound`
};

struct share_options {
  /// Time constant of the rates.
  span_ns RateTime = std::chrono::milliseconds(2000);
  /// Requests that a new one is compared with, and their age.
  std::size_t MaxRanks = 128;
  span_ns RankTtl = std::chrono::milliseconds(2000);
  /// Of the fraction that fits, each team and priority gets at least this much
  /// of what it asks for: no one may be served less than a quarter as often as
  /// all, and other causes of loss come on top.
  double Floor = 0.3;
  /// Teams without requests for this long are forgotten.
  span_ns ForgetAfter = std::chrono::seconds(20);
  /// Teams that are told apart; further ones share an entry.
  std::size_t MaxTeams = 1024;
};

/// Weighted max-min fair shares, decided for each request by its rank.
///
/// A team's part of the room is proportional to its weight among the teams that
/// send. Its requests are stacked by urgency: those within the part come first,
/// the others follow by priority and then by how far the stack exceeds the
/// part. A request is admitted if its rank among the newest requests is within
/// the fraction that fits. So the fraction is kept however few requests a team
/// sends here, what a team leaves goes to the most urgent of the others, and a
/// team that returns finds its part with its first request.
///
/// The load it is for: one or a few teams that send many times their usual, or
/// a burst of one kind of request. Each instance decides by its own traffic,
/// which is a sample of all; nothing is agreed on.
class room_shares {
public:
  explicit room_shares(share_options Options = {}) : Options(Options) {}

  /// Decides on a request while the fraction \p Fit of the demand fits.
  share_decision decide(const share_request &Request, double Fit, instant Now);

  /// Forgets teams that send nothing any more.
  void expire(instant Now);

  /// Returns the teams that have sent lately. \p Fit is as in `decide`.
  std::vector<team_room> teams(double Fit, instant Now) const;

private:
  /// A sum that decays exponentially.
  struct decaying_sum {
    double Value = 0;
    instant At;
  };
  struct team_state {
    double Weight = 1;
    std::array<decaying_sum, PriorityCount> Asked{};
    decaying_sum Admitted;
    instant LastAt;
    std::uint64_t Requests = 0;
    std::array<std::uint64_t, RoomBoundCount> Refused{};
  };
  struct rank_entry {
    instant At;
    double Rank = 0;
    double WorkMs = 0;
  };

  double rate(const decaying_sum &Sum, instant Now) const;
  void add(decaying_sum &Sum, double Value, instant Now) const;
  double asked(const team_state &Team, instant Now) const;
  bool isActive(const team_state &Team, instant Now) const {
    return Now - Team.LastAt <= 2 * Options.RateTime;
  }
  /// Returns the part of a team of weight 1 if \p Fit fits.
  double partOfUnitWeight(double Fit, instant Now) const;
  /// Returns the fraction of recent work whose rank is lower, in [0, 1).
  double quantileOf(double Rank, double WorkMs, double Draw, instant Now) const;

  share_options Options;
  std::map<std::string, team_state, std::less<>> Teams;
  std::deque<rank_entry> Ranks; ///< the oldest first
};

} // namespace ebonyvale

#endif
