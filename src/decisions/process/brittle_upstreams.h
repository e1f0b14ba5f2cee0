/// \file
/// Upstreams that fall over if they have to turn many requests away.
#ifndef EBONYVALE_DECISIONS_PROCESS_BRITTLE_UPSTREAMS_H
#define EBONYVALE_DECISIONS_PROCESS_BRITTLE_UPSTREAMS_H

#include "common/instant.h"
#include "decisions/process/upstream_directory.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace ebonyvale {

/// A refusal of a brittle upstream, as peers report it to each other.
struct brittle_refusal {
  std::string Upstream;
  std::int64_t Tolerated = 0; ///< refusals in a second, over all instances
};

/// Keeps the requests that brittle upstreams turn away within what they
/// tolerate, summed over all instances. Room elsewhere is used meanwhile.
///
/// The load it is for: all instances send to an upstream whose queue has become
/// shorter, so that each meets refusals of its own. Every refusal is told to
/// all peers, and all stop for a while at half of what is tolerated; in a
/// larger fleet at the first refusal and for longer, which keeps the messages
/// few. An instance that may send no further message stops for longer by
/// itself.
class brittle_upstreams {
public:
  /// Largest number of peers of a small fleet.
  static constexpr std::size_t SmallFleet = 16;
  /// Refusals a second that all instances together tell each other in a larger
  /// fleet, and how many an instance may tell at once.
  static constexpr double ToldPerSecond = 64;
  static constexpr double ToldAtOnce = 2;
  /// Time in which refusals count, as the platform states it, and a margin for
  /// their way.
  static constexpr span_ns Window = std::chrono::milliseconds(1100);
  static constexpr span_ns MaxPause = std::chrono::seconds(30);
  /// Statements that nothing has confirmed for this long are forgotten.
  static constexpr span_ns ForgetAfter = std::chrono::seconds(60);

  /// Records whether a response of \p Process states that it tolerates
  /// \p Tolerated refusals in a second, or that it is not brittle. Returns
  /// whether that is news.
  bool onStated(const upstream_process &Process,
                std::optional<std::int64_t> Tolerated, instant Now);
  /// Records that \p Process has turned a request of this instance away, which
  /// has \p Peers. Returns what to tell them, if anything.
  std::optional<brittle_refusal> onRefused(const upstream_process &Process,
                                           std::size_t Peers, instant Now);
  /// Records that \p Entry has turned a request of one of \p Peers away.
  void onPeerRefused(const upstream_entry &Entry,
                     const brittle_refusal &Refusal, std::size_t Peers,
                     instant Now);

  /// Returns from when on a request may be sent to \p Entry.
  instant availableAt(const upstream_entry &Entry, instant Now) const;
  /// Forgets what is out of date.
  void expire(instant Now);
  std::size_t size() const { return States.size(); }

private:
  struct state {
    upstream_process Process;
    std::int64_t Tolerated = 0;
    instant StatedAt;
    std::deque<instant> Refusals; ///< of all instances that are known
    instant PausedUntil;
  };

  state &stateOf(const upstream_process &Process);
  static void add(state &State, std::size_t Peers, instant Now);
  /// Takes the right to tell the peers; returns false if there is none.
  bool takeMessage(std::size_t Peers, instant Now);

  double Messages = ToldAtOnce; ///< that may be sent, as of `MessagesAt`
  instant MessagesAt;
  std::map<std::string, state, std::less<>> States; ///< by id
};

} // namespace ebonyvale

#endif
