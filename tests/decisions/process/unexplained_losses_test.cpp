// Losses that wait until it is known whether their upstreams have ended.
#include "decisions/process/unexplained_losses.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace ebonyvale;
using namespace std::chrono_literals;

namespace {

unexplained_loss lossOf(std::optional<request_fingerprint> Request,
                        engine_id Upstream, std::int64_t Born,
                        instant At = instant(1s)) {
  unexplained_loss Loss{Request, {}, {}, {}, At, {}};
  Loss.Lost = {Upstream, Born};
  return Loss;
}

struct idle_row {
  bool Reused;
  bool HeadReceived;
  span_ns After;
  bool MayBeIdleClose;
};

} // namespace

ParameterizedTestParameters(unexplained_losses, are_those_of_used_connections) {
  static idle_row Rows[] = {
      {true, false, 0ms, true},    {true, false, 99ms, true},
      {true, false, 100ms, false}, {true, true, 1ms, false},
      {false, false, 1ms, false},
  };
  return criterion_test_params(Rows);
}

ParameterizedTest(idle_row *Row, unexplained_losses,
                  are_those_of_used_connections) {
  cr_assert(mayBeIdleClose(Row->Reused, Row->HeadReceived, Row->After) ==
            Row->MayBeIdleClose);
}

Test(unexplained_losses, are_taken_by_process) {
  unexplained_losses Losses;
  Losses.add(lossOf(1, 10, 5));
  Losses.add(lossOf(2, 10, 6)); // another process of the upstream
  Losses.add(lossOf(3, 11, 5));
  Losses.add(lossOf(std::nullopt, 10, 5)); // a peer's request
  Losses.add(lossOf(4, 10, 5));
  const auto Taken = Losses.takeOf({10, 5});
  cr_assert(Taken.size() == 2);
  cr_assert(Taken[0].Request == 1 && Taken[1].Request == 4);
  cr_assert(Losses.size() == 3);
}

Test(unexplained_losses, of_a_completed_request_are_dropped) {
  unexplained_losses Losses;
  const std::uint64_t First = Losses.add(lossOf(1, 10, 5));
  const std::uint64_t Second = Losses.add(lossOf(2, 10, 5));
  Losses.onCompleted(1);
  cr_assert(!Losses.take(First));
  cr_assert(Losses.take(Second)->Request == 2);
  cr_assert(!Losses.take(Second));
}

Test(unexplained_losses, are_kept_for_a_bounded_time_and_number) {
  unexplained_losses Losses;
  const std::uint64_t Old = Losses.add(lossOf(1, 10, 5, instant(1s)));
  const std::uint64_t New = Losses.add(lossOf(2, 10, 5, instant(3s)));
  Losses.expire(instant(1s) + unexplained_losses::KeepFor);
  cr_assert(!Losses.contains(Old) && Losses.contains(New));
  for (std::size_t Index = 0; Index < unexplained_losses::MaxLosses; ++Index)
    Losses.add(lossOf(3, 10, 5, instant(3s)));
  cr_assert(Losses.size() == unexplained_losses::MaxLosses);
  cr_assert(!Losses.contains(New), "the oldest goes first");
}
