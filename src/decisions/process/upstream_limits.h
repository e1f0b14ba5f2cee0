/// \file
/// Limits on the requests to an upstream that it names in its responses.
#ifndef EBONYVALE_DECISIONS_PROCESS_UPSTREAM_LIMITS_H
#define EBONYVALE_DECISIONS_PROCESS_UPSTREAM_LIMITS_H

#include "common/instant.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace ebonyvale {

/// Remembers which upstreams have named a limit. An upstream in need states in
/// each response how many requests a second it takes from all instances
/// together.
class upstream_limits {
public:
  /// Records that a response of \p Upstream names the limit \p PerSecond, or
  /// none. Returns whether that is news.
  bool onResponse(std::string_view Upstream, std::optional<double> PerSecond,
                  instant Now);

  /// Returns the limit of \p Upstream in requests per second, if it has one.
  std::optional<double> limitOf(std::string_view Upstream) const;

  /// Returns the number of upstreams with a limit.
  std::size_t size() const { return Limits.size(); }

private:
  struct state {
    double PerSecond = 0;
    instant At; ///< of the last response that named it
  };

  std::map<std::string, state, std::less<>> Limits; ///< by upstream
};

} // namespace ebonyvale

#endif
