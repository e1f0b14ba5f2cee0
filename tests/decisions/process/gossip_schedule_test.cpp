// Receivers of load messages in fleets of several sizes.
#include "decisions/process/gossip_schedule.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <map>
#include <set>

using namespace ebonyvale;

namespace {

struct fleet_row {
  std::size_t Domains;
  std::size_t PerDomain;
  std::size_t MaxReceivers; ///< on average in a round
};

gossip_schedule::peer_map peersOf(const fleet_row &Row) {
  gossip_schedule::peer_map Peers;
  for (std::size_t Domain = 0; Domain < Row.Domains; ++Domain)
    for (std::size_t Rank = 0; Rank < Row.PerDomain; ++Rank)
      Peers["i-" + std::to_string(Domain) + "-" + std::to_string(Rank)].Domain =
          std::to_string(Domain);
  Peers.erase("i-0-0"); // this instance
  return Peers;
}

} // namespace

ParameterizedTestParameters(gossip_schedule, fleets) {
  static fleet_row Rows[] = {
      {3, 3, 8}, {1, 8, 7}, {6, 4, 4}, {6, 12, 9}, {6, 50, 9}, {1, 300, 8},
  };
  return criterion_test_params(Rows);
}

ParameterizedTest(fleet_row *Row, gossip_schedule, fleets) {
  const auto Peers = peersOf(*Row);
  gossip_schedule Schedule("0");
  const std::size_t Rounds = Schedule.rounds(Peers);
  const std::size_t Own = Row->PerDomain - 1;
  cr_assert(Rounds ==
            std::max<std::size_t>(1, (Own + gossip_schedule::FanOut - 1) /
                                         gossip_schedule::FanOut));
  std::map<std::string, std::size_t> Messages;
  std::set<std::string> Recent;
  std::size_t Sent = 0;
  constexpr std::size_t Count = 1600;
  for (std::size_t Round = 0; Round < Count; ++Round) {
    const gossip_receivers Receivers = Schedule.next(Peers);
    for (const auto &Names : {Receivers.Near, Receivers.OtherDomains})
      for (const std::string_view Name : Names) {
        ++Sent;
        ++Messages[std::string(Name)];
        if (Peers.find(Name)->second.Domain == "0")
          Recent.insert(std::string(Name));
      }
    for (const std::string_view Name : Receivers.OtherDomains)
      cr_assert(Peers.find(Name)->second.Domain != "0");
    if ((Round + 1) % Rounds != 0)
      continue;
    cr_assert(Recent.size() == Own, "every peer of the domain in %zu rounds",
              Rounds);
    Recent.clear();
  }
  cr_assert(Messages.size() == Peers.size(), "every peer gets messages");
  cr_assert(Sent <= Count * Row->MaxReceivers);
}
