#include "decisions/process/token_part.h"

#include <criterion/criterion.h>

#include <random>

using namespace ebonyvale;
using namespace std::chrono_literals;

namespace {

constexpr instant Start{};
constexpr double Rounding = 1e-6;

bool near(double Left, double Right) {
  return std::abs(Left - Right) < Rounding;
}

} // namespace

Test(token_part, accrues_up_to_its_burst) {
  token_part Part({100, 300}, 0, Start);
  cr_assert(near(Part.available(Start + 1s), 100));
  cr_assert(near(Part.available(Start + 10s), 300));
}

Test(token_part, accrues_nothing_before_it_may) {
  token_part Part({100, 300}, 0, Start + 2s);
  cr_assert(near(Part.available(Start + 1s), 0));
  cr_assert(near(Part.available(Start + 3s), 100));
}

Test(token_part, refund_returns_what_was_not_used) {
  token_part Part({0, 300}, 300, Start);
  const reservation Reserved = Part.spend({200, 50}, Start);
  cr_assert(near(Part.available(Start), 100));
  Part.settle(Reserved, 120, Start);
  cr_assert(near(Part.available(Start), 180));
}

Test(token_part, overrun_becomes_debt) {
  token_part Part({10, 300}, 100, Start);
  Part.settle(Part.spend({100, 100}, Start), 150, Start);
  cr_assert(near(Part.available(Start), -50));
  cr_assert(near(Part.available(Start + 6s), 10));
}

Test(token_part, refund_never_adds_to_a_part_that_filled_up_meanwhile) {
  token_part Part({100, 300}, 300, Start);
  const reservation Reserved = Part.spend({300, 0}, Start);
  cr_assert(near(Part.available(Start + 10s), 300));
  Part.settle(Reserved, 0, Start + 10s);
  cr_assert(near(Part.available(Start + 10s), 300));
  // Nor does it come back later.
  Part.spend({300, 300}, Start + 10s);
  cr_assert(near(Part.available(Start + 10s), 0));
}

Test(token_part, hold_lowers_the_burst_until_it_ends) {
  token_part Part({100, 300}, 300, Start);
  cr_assert(near(Part.lend(1, 200, Start + 5s, Start), 200));
  cr_assert(near(Part.available(Start + 4s), 100));
  cr_assert(near(Part.available(Start + 6s), 200));
}

Test(token_part, lender_takes_back_once_and_only_while_it_holds) {
  token_part Part({0, 300}, 300, Start);
  Part.lend(1, 200, Start + 1s, Start);
  Part.takeBack(1, 50, true, Start);
  Part.takeBack(1, 50, true, Start);
  cr_assert(near(Part.available(Start), 150));
  Part.lend(2, 100, Start + 1s, Start);
  Part.takeBack(2, 100, true, Start + 2s);
  cr_assert(near(Part.available(Start + 2s), 50));
}

Test(token_part, lapsed_grant_cannot_be_spent) {
  token_part Part({0, 300}, 0, Start);
  Part.addGrant("peer", 1, 100, Start + 1s, Start);
  cr_assert(near(Part.available(Start), 100));
  // A process that was paused finds its grant gone.
  cr_assert(near(Part.available(Start + 1s), 0));
}

Test(token_part, random_histories_never_exceed_rate_and_burst) {
  // Two parts lend to each other; whatever they do, what is spent over any
  // span that starts now fits into the sum of both bursts and rates.
  for (std::uint64_t Seed = 1; Seed <= 50; ++Seed) {
    std::mt19937_64 Random(Seed);
    token_part Parts[] = {{{100, 500}, 500, Start}, {{50, 250}, 250, Start}};
    double Bucket = 750;
    instant Now = Start;
    for (int Step = 0; Step < 500; ++Step) {
      const span_ns Gap =
          fromSeconds(std::uniform_real_distribution<double>(0, 0.5)(Random));
      Now += Gap;
      Bucket = std::min(750.0, Bucket + 150 * toSeconds(Gap));
      token_part &Taker = Parts[Random() % 2];
      token_part &Lender = &Taker == &Parts[0] ? Parts[1] : Parts[0];
      const auto Id = static_cast<std::uint64_t>(Step);
      const double Lent = Lender.lend(Id, 100, Now + 1100ms, Now);
      Taker.addGrant("peer", Id, Lent, Now + 1000ms, Now);
      const double Tokens =
          std::uniform_real_distribution<double>(0, 400)(Random);
      if (Taker.available(Now) < Tokens)
        continue;
      const reservation Reserved = Taker.spend({Tokens, 0}, Now);
      const double Used =
          Tokens * std::uniform_real_distribution<double>(0, 1)(Random);
      Taker.settle(Reserved, Used, Now);
      Bucket -= Used;
      cr_assert(Bucket > -Rounding, "seed %zu step %d: %f",
                static_cast<std::size_t>(Seed), Step, Bucket);
    }
  }
}
