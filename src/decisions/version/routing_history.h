/// \file
/// The services to which requests were sent by earlier configurations.
#ifndef EBONYVALE_DECISIONS_VERSION_ROUTING_HISTORY_H
#define EBONYVALE_DECISIONS_VERSION_ROUTING_HISTORY_H

#include "common/instant.h"
#include "decisions/version/routing_table.h"

#include <cstddef>
#include <deque>
#include <string_view>

namespace ebonyvale {

/// Remembers configurations that were in force until lately. While all of them
/// lead a path to a single service, it began all streams of that path.
class routing_history {
public:
  /// Most configurations that are kept; of more the oldest are dropped.
  static constexpr std::size_t MaxTables = 16;
  /// How long a configuration that is no longer in force is kept.
  static constexpr span_ns Memory = std::chrono::seconds(60);

  /// Records that \p Next comes into force.
  void onInForce(routing_table_ptr Next, instant Now);

  /// Records that configurations may have come and gone unseen.
  void onGap() { Periods.clear(); }

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
};

} // namespace ebonyvale

#endif
