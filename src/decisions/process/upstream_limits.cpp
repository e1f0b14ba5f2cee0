#include "decisions/process/upstream_limits.h"

namespace ebonyvale {

bool upstream_limits::onResponse(std::string_view Upstream,
                                 std::optional<double> PerSecond, instant Now) {
  const auto Known = Limits.find(Upstream);
  if (!PerSecond) {
    if (Known == Limits.end())
      return false;
    Limits.erase(Known);
    return true;
  }
  if (Known != Limits.end() && Known->second.PerSecond == *PerSecond) {
    Known->second.At = Now;
    return false;
  }
  Limits.insert_or_assign(std::string(Upstream), state{*PerSecond, Now});
  return true;
}

std::optional<double>
upstream_limits::limitOf(std::string_view Upstream) const {
  const auto Known = Limits.find(Upstream);
  if (Known == Limits.end())
    return std::nullopt;
  return Known->second.PerSecond;
}

} // namespace ebonyvale
