#include "decisions/process/quota_share.h"

#include <criterion/criterion.h>

#include <random>

using namespace ebonyvale;
using namespace std::chrono_literals;

namespace {

constexpr instant Start{};
constexpr double Tolerance = 1e-6;

bool near(double Left, double Right) {
  return std::abs(Left - Right) < Tolerance;
}

} // namespace

Test(quota_share, accrues_up_to_its_burst) {
  quota_share Share({100, 300}, 0, Start);
  cr_assert(near(Share.available(Start + 1s), 100));
  cr_assert(near(Share.available(Start + 10s), 300));
}

Test(quota_share, accrues_nothing_before_accrual_starts) {
  quota_share Share({100, 300}, 0, Start + 2s);
  cr_assert(near(Share.available(Start + 1s), 0));
  cr_assert(near(Share.available(Start + 3s), 100));
}

Test(quota_share, unused_tokens_are_refunded) {
  quota_share Share({0, 300}, 300, Start);
  const reservation Reserved = Share.spend({200, 50}, Start);
  cr_assert(near(Share.available(Start), 100));
  Share.settle(Reserved, 120, Start);
  cr_assert(near(Share.available(Start), 180));
}

Test(quota_share, overrun_becomes_debt) {
  quota_share Share({10, 300}, 100, Start);
  Share.settle(Share.spend({100, 100}, Start), 150, Start);
  cr_assert(near(Share.available(Start), -50));
  cr_assert(near(Share.available(Start + 6s), 10));
}

Test(quota_share, refund_is_dropped_when_the_share_has_filled_up) {
  quota_share Share({100, 300}, 300, Start);
  const reservation Reserved = Share.spend({300, 0}, Start);
  cr_assert(near(Share.available(Start + 10s), 300));
  Share.settle(Reserved, 0, Start + 10s);
  cr_assert(near(Share.available(Start + 10s), 300));
  // The refund is not added later either.
  Share.spend({300, 300}, Start + 10s);
  cr_assert(near(Share.available(Start + 10s), 0));
}

Test(quota_share, hold_lowers_the_burst_until_it_expires) {
  quota_share Share({100, 300}, 300, Start);
  cr_assert(near(Share.lend(1, 200, Start + 5s, Start), 200));
  cr_assert(near(Share.available(Start + 4s), 100));
  cr_assert(near(Share.available(Start + 6s), 200));
}

Test(quota_share, lent_tokens_are_reclaimed_once_and_only_during_the_hold) {
  quota_share Share({0, 300}, 300, Start);
  Share.lend(1, 200, Start + 1s, Start);
  Share.reclaim(1, 50, true, Start);
  Share.reclaim(1, 50, true, Start);
  cr_assert(near(Share.available(Start), 150));
  Share.lend(2, 100, Start + 1s, Start);
  Share.reclaim(2, 100, true, Start + 2s);
  cr_assert(near(Share.available(Start + 2s), 50));
}

Test(quota_share, expired_grant_cannot_be_spent) {
  quota_share Share({0, 300}, 0, Start);
  Share.addGrant("peer", 1, 100, Start + 1s, Start);
  cr_assert(near(Share.available(Start), 100));
  // Expiry counts from the clock, so a paused process cannot spend late.
  cr_assert(near(Share.available(Start + 1s), 0));
}

Test(quota_share, random_lending_never_exceeds_rate_and_burst) {
  // Two shares lend to each other. `Bucket` is a token bucket with the sum of
  // their rates and bursts; the tokens used must never exceed it.
  for (std::uint64_t Seed = 1; Seed <= 50; ++Seed) {
    std::mt19937_64 Random(Seed);
    quota_share Shares[] = {{{100, 500}, 500, Start}, {{50, 250}, 250, Start}};
    double Bucket = 750;
    instant Now = Start;
    for (int Step = 0; Step < 500; ++Step) {
      const span_ns Gap =
          fromSeconds(std::uniform_real_distribution<double>(0, 0.5)(Random));
      Now += Gap;
      Bucket = std::min(750.0, Bucket + 150 * toSeconds(Gap));
      quota_share &Borrower = Shares[Random() % 2];
      quota_share &Lender = &Borrower == &Shares[0] ? Shares[1] : Shares[0];
      const auto Id = static_cast<std::uint64_t>(Step);
      const double Lent = Lender.lend(Id, 100, Now + 1100ms, Now);
      Borrower.addGrant("peer", Id, Lent, Now + 1000ms, Now);
      const double Tokens =
          std::uniform_real_distribution<double>(0, 400)(Random);
      if (Borrower.available(Now) < Tokens)
        continue;
      const reservation Reserved = Borrower.spend({Tokens, 0}, Now);
      const double Used =
          Tokens * std::uniform_real_distribution<double>(0, 1)(Random);
      Borrower.settle(Reserved, Used, Now);
      Bucket -= Used;
      cr_assert(Bucket > -Tolerance, "seed %zu step %d: %f",
                static_cast<std::size_t>(Seed), Step, Bucket);
    }
  }
}
