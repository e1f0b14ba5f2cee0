#include "decisions/process/peer_loads.h"

namespace ebonyvale {
namespace {

double increase(double Sum, double Before) {
  return Sum < Before ? Sum : Sum - Before;
}

} // namespace

peer_loads::additions peer_loads::onReport(std::uint32_t Peer,
                                           const peer_load &Load, instant Now) {
  const auto [Known, IsNew] = Reports.try_emplace(Peer);
  report &Report = Known->second;
  additions Added;
  if (!IsNew)
    Added = {increase(Load.SentPrefillMs, Report.SentPrefillMs),
             increase(Load.InsertedTokens, Report.InsertedTokens)};
  uncount(Report);
  Report = {Load.InFlight,       Load.HeldTokens, Load.SentPrefillMs,
            Load.InsertedTokens, Load.RestMs,     Now,
            /*Counted=*/true};
  InFlight += Report.InFlight;
  HeldTokens += Report.HeldTokens;
  RestMs += Report.RestMs.value_or(0);
  InFlightWithoutRest += Report.RestMs ? 0 : Report.InFlight;
  Arrivals.push_back({Now, Peer});
  return Added;
}

void peer_loads::uncount(report &Report) {
  if (!Report.Counted)
    return;
  Report.Counted = false;
  InFlight -= Report.InFlight;
  HeldTokens -= Report.HeldTokens;
  RestMs -= Report.RestMs.value_or(0);
  InFlightWithoutRest -= Report.RestMs ? 0 : Report.InFlight;
}

void peer_loads::expire(instant Now, span_ns Ttl) {
  while (!Arrivals.empty() && Now - Arrivals.front().At > Ttl) {
    const arrival Oldest = Arrivals.front();
    Arrivals.pop_front();
    const auto Found = Reports.find(Oldest.Peer);
    // A newer report of the peer has an arrival of its own.
    if (Found == Reports.end() || Found->second.At != Oldest.At)
      continue;
    uncount(Found->second);
    Expired.push_back(Oldest);
  }
  while (!Expired.empty() && Now - Expired.front().At > ForgetAfter) {
    const auto Found = Reports.find(Expired.front().Peer);
    if (Found != Reports.end() && Found->second.At == Expired.front().At)
      Reports.erase(Found);
    Expired.pop_front();
  }
}

} // namespace ebonyvale
