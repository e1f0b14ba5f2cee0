#include "decisions/process/fleet_retry_budget.h"

#include <algorithm>

namespace ebonyvale {
namespace {

/// Fraction of the budget that is used. The rest covers requests that leave the
/// window while a retry is in flight.
constexpr double UsedFraction = 0.8;

} // namespace

void fleet_retry_budget::onRequest(instant Now, const retry_options &Options) {
  dropExpired(Now, Options);
  Requests.push_back(Now);
}

bool fleet_retry_budget::take(instant Now, const retry_options &Options,
                              std::size_t Instances) {
  dropExpired(Now, Options);
  const double Slack =
      Options.Slack / static_cast<double>(std::max<std::size_t>(1, Instances));
  const double Allowed =
      UsedFraction *
      (Options.Ratio * static_cast<double>(Requests.size()) + Slack);
  if (static_cast<double>(Retries.size()) + 1 > Allowed)
    return false;
  Retries.push_back(Now);
  return true;
}

void fleet_retry_budget::dropExpired(instant Now,
                                     const retry_options &Options) {
  const instant Oldest = Now - Options.Window;
  while (!Requests.empty() && Requests.front() < Oldest)
    Requests.pop_front();
  while (!Retries.empty() && Retries.front() < Oldest)
    Retries.pop_front();
}

} // namespace ebonyvale
