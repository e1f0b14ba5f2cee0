// Totals of peers' reports, compared with a visit of all reports.
#include "decisions/process/peer_loads.h"

#include <criterion/criterion.h>

#include <cmath>
#include <map>
#include <random>

using namespace ebonyvale;
using namespace std::chrono_literals;

Test(peer_loads, totals_are_those_of_the_current_reports) {
  constexpr span_ns Ttl = 1500ms;
  std::mt19937 Random(3);
  peer_loads Loads;
  std::map<std::uint32_t, std::pair<peer_load, instant>> Reports;
  instant Now(1s);
  for (int Step = 0; Step < 20'000; ++Step) {
    Now += std::chrono::milliseconds(Random() % 40);
    peer_load Load;
    Load.InFlight = Random() % 5;
    Load.HeldTokens = static_cast<double>(Load.InFlight * 9000);
    const std::uint32_t Peer = Random() % 300;
    Loads.onReport(Peer, Load, Now);
    Reports[Peer] = {Load, Now};
    Loads.expire(Now, Ttl);
    std::int64_t InFlight = 0;
    double Held = 0;
    for (const auto &[Number, Report] : Reports)
      if (Now - Report.second <= Ttl) {
        InFlight += Report.first.InFlight;
        Held += Report.first.HeldTokens;
      }
    cr_assert(Loads.inFlight() == InFlight);
    cr_assert(std::abs(Loads.heldTokens() - Held) < 1);
  }
}

Test(peer_loads, additions_are_counted_once) {
  peer_loads Loads;
  const auto Report = [&](double Sum, instant Now) {
    peer_load Load;
    Load.SentPrefillMs = Sum;
    Load.InsertedTokens = 2 * Sum;
    return Loads.onReport(1, Load, Now);
  };
  cr_assert(Report(100, instant(1s)).PrefillMs == 0, "sent before");
  cr_assert(Report(130, instant(2s)).PrefillMs == 30);
  cr_assert(Report(130, instant(3s)).PrefillMs == 0, "sent twice");
  cr_assert(Report(20, instant(4s)).InsertedTokens == 40, "restarted");
  Loads.expire(instant(5s) + peer_loads::ForgetAfter, 1500ms);
  cr_assert(Report(50, instant(40s)).PrefillMs == 0, "forgotten");
}
