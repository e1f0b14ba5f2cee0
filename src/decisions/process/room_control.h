/// \file
/// Admission to services whose room is short: what is known of each service's
/// room, and its division among teams and priorities.
#ifndef EBONYVALE_DECISIONS_PROCESS_ROOM_CONTROL_H
#define EBONYVALE_DECISIONS_PROCESS_ROOM_CONTROL_H

#include "common/instant.h"
#include "decisions/process/overload_control.h"
#include "decisions/process/room_shares.h"
#include "decisions/version/routing_table.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace ebonyvale {

/// A request that is about to be sent to \p Service for the first time.
struct room_request {
  std::string_view Service;
  std::string_view Team; ///< empty for requests without a key
  std::string_view Id;
  std::uint64_t Number = 0; ///< unique in the process
  int Priority = 0;         ///< 0 is the most urgent
  double WorkMs = 0;   ///< expected time to the first chunk without waiting
  span_ns Aim{0};      ///< time to the first chunk; 0: none
  span_ns TimeLeft{0}; ///< until the deadline
};

/// Why a request is refused, and when a retry may find room.
struct room_refusal {
  room_bound Bound = room_bound::None;
  span_ns RetryAfter{0};
  room_state Room;
  share_decision Share;
};

/// State of a service's room, for operators.
struct room_view {
  std::string Service;
  room_state Room;
  std::vector<team_room> Teams;
};

/// A change between enough and short room.
struct room_change {
  std::string Service;
  room_state Room;
};

/// Keeps an `overload_control` and the `room_shares` of each service. While it
/// is off, it keeps nothing and admits every request.
class room_control {
public:
  explicit room_control(bool IsOn = false) : IsOn(IsOn) {}
  bool isOn() const { return IsOn; }

  /// Sets the weights of the teams: their rates. A team without a rate weighs
  /// as much as the mean of the others.
  void setTeams(std::span<const team_entry> Teams);

  /// Admits \p Request, which the caller must then report with `onFirstChunk`
  /// or `onEnded`, or refuses it.
  std::optional<room_refusal> admit(const room_request &Request, instant Now);
  /// See `overload_control`.
  void onFirstChunk(std::string_view Service, std::uint64_t Number,
                    instant Now);
  void onEnded(std::string_view Service, std::uint64_t Number);
  void onFull(std::string_view Service, instant Now);
  void onReport(std::string_view Service, std::string_view Upstream,
                const queue_report &Report, instant At);

  /// Returns the services whose room has become short, or enough, since the
  /// last call, and forgets services and teams without requests.
  std::vector<room_change> takeChanges(instant Now);

  /// Returns the number of services whose room was short at the last call of
  /// `takeChanges`.
  std::size_t shortCount() const;

  /// Returns all services, ordered by name.
  std::vector<room_view> views(instant Now) const;

private:
  struct service_room {
    overload_control Control;
    room_shares Shares;
    bool WasShort = false;
    instant LastAt;
  };

  double weightOf(std::string_view Team) const;

  bool IsOn;
  std::map<std::string, service_room, std::less<>> Services;
  std::map<std::string, double, std::less<>> Weights; ///< by team
  double MeanWeight = 1;
  instant ExpiredAt;
};

} // namespace ebonyvale

#endif
