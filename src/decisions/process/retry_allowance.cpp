#include "decisions/process/retry_allowance.h"

#include <algorithm>

namespace ebonyvale {
namespace {

/// Part of the budget that is used. The rest covers requests that leave the
/// window while a repeat is on its way.
constexpr double UsedPart = 0.8;

} // namespace

void retry_allowance::onRequest(instant Now, const retry_terms &Terms) {
  dropOld(Now, Terms);
  Requests.push_back(Now);
}

bool retry_allowance::take(instant Now, const retry_terms &Terms,
                           std::size_t Instances) {
  dropOld(Now, Terms);
  const double Slack =
      Terms.Slack / static_cast<double>(std::max<std::size_t>(1, Instances));
  const double Allowed =
      UsedPart * (Terms.Ratio * static_cast<double>(Requests.size()) + Slack);
  if (static_cast<double>(Repeats.size()) + 1 > Allowed)
    return false;
  Repeats.push_back(Now);
  return true;
}

void retry_allowance::dropOld(instant Now, const retry_terms &Terms) {
  const instant Oldest = Now - Terms.Window;
  while (!Requests.empty() && Requests.front() < Oldest)
    Requests.pop_front();
  while (!Repeats.empty() && Repeats.front() < Oldest)
    Repeats.pop_front();
}

} // namespace ebonyvale
