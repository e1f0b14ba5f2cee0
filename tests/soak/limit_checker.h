/// \file
/// Checks that upstreams get no more requests than the limits that they name.
#ifndef EBONYVALE_TESTS_SOAK_LIMIT_CHECKER_H
#define EBONYVALE_TESTS_SOAK_LIMIT_CHECKER_H

#include "common/instant.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace ebonyvale {

/// Applies the platform's rule: from `Settle` after an upstream first named a
/// limit, any `Window` brings it at most 1.5 times what the limit allows and 5
/// requests more, from gateways that had passed on a response with a limit at
/// least `Told` before. Gateways are not counted while they are faulted.
class limit_checker {
public:
  static constexpr span_ns Settle = std::chrono::seconds(3);
  static constexpr span_ns Window = std::chrono::seconds(4);
  static constexpr span_ns Told = std::chrono::milliseconds(500);
  static constexpr double Factor = 1.5;
  static constexpr double Slack = 5;

  /// From \p Now on \p Upstream names \p PerSecond, or no limit.
  void onLimit(std::string_view Upstream, std::optional<double> PerSecond,
               instant Now);
  /// \p Gateway has passed on a response of \p Upstream that names a limit.
  void onPassedOn(std::string_view Upstream, std::size_t Gateway, instant Now);
  /// A request from \p Gateway reaches \p Upstream.
  void onArrival(std::string_view Upstream, std::size_t Gateway, instant Now);
  /// \p Gateway is restarted or frozen until \p Until.
  void onGatewayFault(std::size_t Gateway, instant Until);
  /// Connections to \p Upstream may delay requests until \p Until.
  void onLinkFault(std::string_view Upstream, instant Until);
  /// The checking process stalled for \p Duration until \p Now, so that
  /// arrivals may seem closer to each other than they were.
  void onStall(span_ns Duration, instant Now) {
    Stalls.emplace_back(Now, Duration);
  }

  /// Returns one line for each upstream that got too many requests.
  std::vector<std::string> violations() const;

private:
  struct upstream {
    /// The limits that it named, each from its time on.
    std::vector<std::pair<instant, std::optional<double>>> Limits;
    std::map<std::size_t, instant> ToldAt; ///< by gateway, since the naming
    std::vector<instant> Arrivals;         ///< that count
    instant LinkFaultEnd;
  };

  /// Returns the requests that the limits of \p Upstream allow in the window
  /// before \p End; nothing if it named none at some time in it.
  static std::optional<double> allowed(const upstream &Upstream, instant End);

  /// Returns how long the checking process stalled in the window before \p End,
  /// at most `Window`.
  span_ns stallTime(instant End) const;

  std::map<std::string, upstream, std::less<>> Upstreams;
  std::map<std::size_t, instant> FaultEnds;        ///< by gateway
  std::vector<std::pair<instant, span_ns>> Stalls; ///< end and duration
};

} // namespace ebonyvale

#endif
