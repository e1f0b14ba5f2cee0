#include "decisions/process/fleet_retry_budget.h"

namespace ebonyvale {
namespace {

/// Fraction of the budget that is used. The rest covers requests that leave the
/// window while a retry is in flight.
constexpr double UsedFraction = 0.8;
/// Fraction of its share of the slack that a process uses in the first window
/// of its life, since the one before it may have spent the whole share. What
/// `UsedFraction` leaves covers two restarts of the whole fleet in a window.
constexpr double StartFraction = 0.1;

} // namespace

void fleet_retry_budget::onRequest(instant Now, const retry_options &Options) {
  dropExpired(Now, Options);
  Requests.push_back(Now);
}

bool fleet_retry_budget::take(instant Now, const retry_options &Options,
                              std::size_t Instances) {
  dropExpired(Now, Options);
  double Slack = 0;
  if (Instances > 0)
    Slack = Options.Slack / static_cast<double>(Instances);
  if (Now - Started < Options.Window)
    Slack *= StartFraction / UsedFraction;
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
