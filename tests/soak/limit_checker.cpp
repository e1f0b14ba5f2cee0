#include "soak/limit_checker.h"

#include <algorithm>

#include <spdlog/fmt/fmt.h>

namespace ebonyvale {

void limit_checker::onLimit(std::string_view Name,
                            std::optional<double> PerSecond, instant Now) {
  upstream &Upstream = Upstreams[std::string(Name)];
  const bool Begins = Upstream.Limits.empty() || !Upstream.Limits.back().second;
  // What arrives while there is no limit does not count.
  if (Begins || !PerSecond)
    Upstream.ToldAt.clear();
  Upstream.Limits.emplace_back(Now, PerSecond);
}

void limit_checker::onPassedOn(std::string_view Name, std::size_t Gateway,
                               instant Now) {
  const auto Found = Upstreams.find(Name);
  if (Found != Upstreams.end() && Found->second.Limits.back().second)
    Found->second.ToldAt.try_emplace(Gateway, Now);
}

void limit_checker::onArrival(std::string_view Name, std::size_t Gateway,
                              instant Now) {
  const auto Found = Upstreams.find(Name);
  if (Found == Upstreams.end())
    return;
  upstream &Upstream = Found->second;
  const auto ToldAt = Upstream.ToldAt.find(Gateway);
  const auto FaultEnd = FaultEnds.find(Gateway);
  const bool Faulted = FaultEnd != FaultEnds.end() && Now < FaultEnd->second;
  if (!Faulted && Now >= Upstream.LinkFaultEnd &&
      ToldAt != Upstream.ToldAt.end() && Now - ToldAt->second >= Told)
    Upstream.Arrivals.push_back(Now);
}

void limit_checker::onGatewayFault(std::size_t Gateway, instant Until) {
  instant &End = FaultEnds[Gateway];
  End = std::max(End, Until + Settle);
}

void limit_checker::onLinkFault(std::string_view Name, instant Until) {
  constexpr span_ns Delivery = std::chrono::seconds(1);
  upstream &Upstream = Upstreams[std::string(Name)];
  if (Upstream.Limits.empty())
    Upstream.Limits.emplace_back(instant(), std::nullopt);
  Upstream.LinkFaultEnd = std::max(Upstream.LinkFaultEnd, Until + Delivery);
}

std::optional<double> limit_checker::allowed(const upstream &Upstream,
                                             instant End) {
  double Sum = 0;
  const instant Begin = End - Window;
  instant To = End;
  instant NamedSince = End;
  double FirstNamed = 0;
  for (auto Limit = Upstream.Limits.rbegin(); Limit != Upstream.Limits.rend();
       ++Limit) {
    if (Limit->first >= End)
      continue;
    if (!Limit->second)
      break;
    NamedSince = Limit->first;
    FirstNamed = *Limit->second;
    if (To > Begin)
      Sum += *Limit->second * toSeconds(To - std::max(Limit->first, Begin));
    To = Limit->first;
  }
  if (End - NamedSince < Settle)
    return std::nullopt;
  // The part of the window before the naming allows as much as that after it.
  if (To > Begin)
    Sum += FirstNamed * toSeconds(To - Begin);
  return Factor * Sum + Slack;
}

span_ns limit_checker::stallTime(instant End) const {
  span_ns Sum{0};
  for (const auto &[At, Duration] : Stalls)
    if (At > End - Window && At - Duration < End)
      Sum += Duration;
  return std::min<span_ns>(Sum, Window);
}

std::vector<std::string> limit_checker::violations() const {
  std::vector<std::string> Lines;
  for (const auto &[Name, Upstream] : Upstreams) {
    std::size_t First = 0;
    for (std::size_t Last = 0; Last < Upstream.Arrivals.size(); ++Last) {
      const instant End = Upstream.Arrivals[Last];
      const span_ns Counted = Window - stallTime(End);
      while (First < Last && End - Upstream.Arrivals[First] >= Counted)
        ++First;
      const auto Allowed = allowed(Upstream, End);
      const std::size_t Count = Last - First + 1;
      if (!Allowed || static_cast<double>(Count) <= *Allowed)
        continue;
      Lines.push_back(fmt::format("{} got {} requests in 4 s, its limits "
                                  "allow {:.1f}",
                                  Name, Count, *Allowed));
      break;
    }
  }
  return Lines;
}

} // namespace ebonyvale
