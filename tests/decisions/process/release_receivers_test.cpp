// Which peers get messages on releases.
#include "decisions/process/release_receivers.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <algorithm>
#include <set>

#include <spdlog/fmt/fmt.h>

using namespace ebonyvale;

namespace {

struct receivers_row {
  std::size_t Instances;
  std::size_t Domains;
};

} // namespace

ParameterizedTestParameters(release_receivers, reach_all_at_a_bounded_cost) {
  static receivers_row Rows[] = {{1, 1}, {2, 2}, {8, 2}, {60, 6}, {450, 39}};
  return criterion_test_params(Rows);
}

ParameterizedTest(receivers_row *Row, release_receivers,
                  reach_all_at_a_bounded_cost) {
  const auto NameOf = [](std::size_t Index) {
    return fmt::format("i-{:03}", Index);
  };
  const std::size_t Decider = Row->Instances - 1;
  std::size_t AtDecider = 0;
  for (std::size_t Self = 0; Self < Row->Instances; ++Self) {
    const auto DomainOf = [&](std::size_t Index) {
      return fmt::format("z-{}", Index % Row->Domains);
    };
    release_receivers::peer_map Peers;
    for (std::size_t Index = 0; Index < Row->Instances; ++Index)
      if (Index != Self)
        Peers[NameOf(Index)] = {"127.0.0.1", 1, DomainOf(Index), 0};
    release_receivers Receivers(NameOf(Self), DomainOf(Self));
    std::set<std::string_view> Reached;
    constexpr int Rounds = 120;
    for (int Round = 0; Round < Rounds; ++Round) {
      const auto Next = Receivers.next(Peers, NameOf(Decider));
      cr_assert(Next.Near.size() <= release_receivers::NearFanOut);
      cr_assert(Next.Others.size() <= release_receivers::OtherFanOut + 1);
      Reached.insert(Next.Near.begin(), Next.Near.end());
      Reached.insert(Next.Others.begin(), Next.Others.end());
      if (Round == 0)
        AtDecider += std::ranges::count(Next.Others, NameOf(Decider));
    }
    cr_assert(Reached.size() == Row->Instances - 1, "%zu reached %zu", Self,
              Reached.size());
  }
  // One message of each other domain, and those whose turn it is.
  cr_assert(AtDecider + 1 >= Row->Domains);
  cr_assert(AtDecider <= Row->Domains + 2 * release_receivers::OtherFanOut);
}
