/// \file
/// Limits on the requests to an upstream that it names in its responses.
#ifndef EBONYVALE_DECISIONS_PROCESS_UPSTREAM_LIMITS_H
#define EBONYVALE_DECISIONS_PROCESS_UPSTREAM_LIMITS_H

#include "common/instant.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ebonyvale {

/// What an instance knows of the limit of an upstream.
struct named_limit {
  std::string Upstream;
  std::optional<double> PerSecond; ///< over all instances; absent: no limit
  instant At;                      ///< when the upstream had it
};

/// An instance that may send requests to upstreams.
struct limit_member {
  std::string Name;
  std::string Domain; ///< failure domain

  bool operator==(const limit_member &) const = default;
};

/// Number of instances that share the limit \p PerSecond of one upstream, of
/// \p Members that there are. In any 4 s they send at most 4 times the limit
/// and one request each; the platform tolerates 6 times the limit and 5
/// requests. The difference covers instances that know different members.
std::size_t limitHolders(double PerSecond, std::size_t Members);

/// Returns whether \p Self is one of the instances that share the limit
/// \p PerSecond of \p Upstream in the failure domain \p Domain. All instances
/// with the same members agree on them without messages (rendezvous hashing).
/// Instances of the upstream's domain come first, since they are nearest.
bool holdsLimit(std::string_view Self, std::string_view Upstream,
                std::string_view Domain, double PerSecond,
                const std::vector<limit_member> &Members);

/// Keeps the requests of one instance within its part of the limits that
/// upstreams name. An upstream in need states in each response how many
/// requests a second it takes from all instances together.
///
/// The load it is for: some upstreams take fewer requests a second than there
/// are instances, so an equal part for each would be less than one request.
/// A few instances share such a limit, and the others send nothing there.
class upstream_limits {
public:
  /// Limits that nothing has confirmed for this long are forgotten; in a large
  /// fleet later, so that not all of it asks the upstream again at once.
  static constexpr span_ns ForgetAfter = std::chrono::seconds(30);
  static constexpr span_ns ForgetAfterPerMember = std::chrono::seconds(4);
  /// Requests a second to an upstream that names less, since only a response
  /// can tell that the limit has ended.
  static constexpr double MinPerSecond = 0.25;

  explicit upstream_limits(std::string Self) : Self(std::move(Self)) {}

  /// Sets all instances, this one included. Before the first call this
  /// instance has no part of any limit.
  void setMembers(std::vector<limit_member> NewMembers);

  /// Records that a response of \p Upstream to a request that was sent at
  /// \p SentAt names the limit \p PerSecond, or none. Returns whether that is
  /// news, which peers should learn at once.
  bool onResponse(std::string_view Upstream, std::optional<double> PerSecond,
                  instant SentAt, instant Now);
  /// Records what a peer has learned. Returns whether that is news.
  bool onPeerLimit(const named_limit &Limit, instant Now);

  /// Returns when a request may be sent to \p Upstream in the failure domain
  /// \p Domain: \p Now, later, or `instant::max()` for an upstream whose limit
  /// other instances share.
  instant availableAt(std::string_view Upstream, std::string_view Domain,
                      instant Now);
  /// Records that a request was sent to \p Upstream.
  void onSent(std::string_view Upstream, instant Now);

  /// Returns the limits, or their ends, that responses to this instance have
  /// stated after \p Since.
  std::vector<named_limit> ownSince(instant Since) const;

  /// Returns the limit of \p Upstream in requests per second, if it has one.
  std::optional<double> limitOf(std::string_view Upstream) const;

  /// Forgets what nothing has confirmed for long.
  void expire(instant Now);

  /// Returns whether there is a limit, or the end of one that peers may not
  /// know yet.
  bool empty() const { return States.empty(); }
  /// Returns the number of upstreams with a limit.
  std::size_t count() const;

private:
  struct state {
    std::optional<double> PerSecond;
    instant At;         ///< of the newest evidence
    instant OwnAt;      ///< of the last response that stated it
    instant ChangedAt;  ///< when `PerSecond` last changed
    bool IsOwn = false; ///< stated by a response to this instance
    bool Holds = false; ///< this instance has a part, see `Generation`
    double Level = 0;   ///< requests that may be sent, as of `LevelAt`
    instant LevelAt;
    std::uint64_t Generation = 0; ///< of members for which `Holds` is valid
  };

  bool accept(std::string_view Upstream, std::optional<double> PerSecond,
              instant At, instant Now);
  /// Returns this instance's part in requests per second.
  double partOf(const state &State) const;
  void accrue(state &State, instant Now) const;

  std::string Self;
  std::vector<limit_member> Members;
  std::uint64_t Generation = 1;
  std::map<std::string, state, std::less<>> States; ///< by upstream
};

} // namespace ebonyvale

#endif
