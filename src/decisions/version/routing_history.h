/// \file
/// The services to which requests were sent by earlier configurations.
#ifndef EBONYVALE_DECISIONS_VERSION_ROUTING_HISTORY_H
#define EBONYVALE_DECISIONS_VERSION_ROUTING_HISTORY_H

#include "common/instant.h"
#include "decisions/version/routing_table.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string_view>

namespace ebonyvale {

/// Remembers configurations that were in force until lately. While all of them
/// lead a path to a single service, it began all streams of that path.
class routing_history {
public:
  /// Most configurations that are kept; of more the oldest are dropped.
  static constexpr std::size_t MaxTables = 16;
  /// How long a configuration that is no longer in force is kept: for as long
  /// as a stream may last, and while the next one is applied.
  static constexpr span_ns Memory = std::chrono::seconds(80);

  /// Records that \p Next comes into force.
  void onInForce(routing_table_ptr Next, instant Now);

  /// Records that configurations may have come and gone unseen.
  void onGap() {
    Periods.clear();
    HasMissed = true;
  }

  /// Records that no instance has served before this one: no stream has begun
  /// under a configuration that it has not read.
  void onFirstInstance();

  /// Returns the oldest configuration since which all are known; 0 if none is.
  std::uint64_t oldestVersion() const {
    return Periods.empty() ? 0 : Periods.front().Table->Version;
  }

  /// Returns since when no instance can have followed a configuration before
  /// \p Version, except while it applied a later one; `instant::min()` for
  /// ever.
  std::optional<instant> noneBefore(std::uint64_t Version) const;

  /// Records that a peer knows what `noneBefore` returns.
  void onPeerKnows(std::uint64_t Version, instant Since);

  /// Returns whether \p Path of \p Host has led to no other service than
  /// \p Service in any configuration of late. Returns false if those since
  /// \p Since are not all known.
  bool ledOnlyTo(std::string_view Service, std::string_view Host,
                 std::string_view Path, instant Since) const;

  /// Returns the longest timeout that \p Path of \p Host has had in the
  /// configurations of late; zero if none has a route for it.
  span_ns longestTimeout(std::string_view Host, std::string_view Path) const;

private:
  struct period {
    routing_table_ptr Table;
    instant From;
    instant Until; ///< `instant::max()` for the one in force
  };

  std::deque<period> Periods; ///< oldest first, without gaps
  bool IsFirst = false;
  bool HasMissed = false; ///< configurations since the start
};

} // namespace ebonyvale

#endif
