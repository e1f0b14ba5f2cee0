#include "decisions/process/upstream_work.h"

#include <algorithm>

namespace ebonyvale {

void upstream_work::onSent(std::uint64_t Number, double ExpectedMs,
                           instant Now) {
  Requests.push_back({Number, ExpectedMs, Now});
}

void upstream_work::onEnded(std::uint64_t Number) {
  const auto Found = std::ranges::find(Requests, Number, &request::Number);
  if (Found == Requests.end())
    return;
  *Found = Requests.back();
  Requests.pop_back();
}

double upstream_work::restMs(double Pace, instant Now) const {
  double Sum = 0;
  for (const request &Request : Requests)
    Sum += std::max(Request.ExpectedMs - toMs(Now - Request.SentAt) * Pace,
                    Request.ExpectedMs * MinRest);
  return Sum;
}

} // namespace ebonyvale
