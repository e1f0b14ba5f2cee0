#include "decisions/request/forward_flow.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace ebonyvale;

namespace {

struct flow_row {
  repeat_policy Repeat;
  bool Resumable;
  int MaxAttempts;
  bool Delivered;
  attempt_outcome Outcome;
  bool BudgetLeft;
  forward_decision Expected;
};

using enum attempt_outcome;
using enum forward_decision;
constexpr auto AtMostOnce = repeat_policy::AtMostOnce;
constexpr auto Idempotent = repeat_policy::Idempotent;

} // namespace

ParameterizedTestParameters(forward_flow, after_the_first_attempt) {
  static flow_row Rows[] = {
      // At most once: no retry after an attempt that may have run.
      {AtMostOnce, false, 2, false, Lost, true, Unknown},
      {AtMostOnce, false, 2, false, ServerError, true, PassThrough},
      {AtMostOnce, false, 2, false, NotRun, true, RetryElsewhere},
      {AtMostOnce, false, 1, false, NotRun, true, Refuse},
      {AtMostOnce, false, 2, false, NotRun, false, Refuse},
      {AtMostOnce, false, 1, false, WrongTarget, true, RetryElsewhere},
      {AtMostOnce, false, 1, false, WrongTarget, false, Refuse},
      {AtMostOnce, false, 1, false, NotSent, false, RetryElsewhere},
      {AtMostOnce, false, 2, true, Lost, true, Truncate},
      // Idempotent: retried while attempts and budget allow it.
      {Idempotent, false, 2, false, Lost, true, RetryElsewhere},
      {Idempotent, false, 1, false, Lost, true, Unknown},
      {Idempotent, false, 2, false, Lost, false, Unknown},
      {Idempotent, false, 2, false, ServerError, true, RetryElsewhere},
      {Idempotent, false, 1, false, ServerError, true, PassThrough},
      // A started stream is retried only if it can be resumed.
      {Idempotent, true, 2, true, Lost, true, RetryElsewhere},
      {Idempotent, true, 1, true, Lost, true, Truncate},
      {Idempotent, false, 2, true, Lost, true, Truncate},
      {Idempotent, true, 2, true, ServerError, false, Truncate},
  };
  return criterion_test_params(Rows);
}

ParameterizedTest(flow_row *Row, forward_flow, after_the_first_attempt) {
  forward_flow Flow({Row->Repeat, Row->Resumable, Row->MaxAttempts});
  Flow.onSent();
  if (Row->Delivered)
    Flow.onDelivered();
  cr_assert(Flow.onEnd(Row->Outcome, Row->BudgetLeft) == Row->Expected);
}

Test(forward_flow, not_run_is_not_reported_after_a_lost_attempt) {
  // The first attempt may have run, although the second did not.
  forward_flow Flow({Idempotent, false, 3});
  Flow.onSent();
  cr_assert(Flow.onEnd(Lost, true) == RetryElsewhere);
  Flow.onSent();
  cr_assert(Flow.onEnd(NotRun, false) == Unknown);
  cr_assert(Flow.mayHaveRun());
  cr_assert(Flow.failureDecision() == Unknown);
}

Test(forward_flow, continues_no_stream_after_an_event_without_an_id) {
  forward_flow Flow({Idempotent, true, 4});
  Flow.onSent();
  Flow.onPlaced(false);
  cr_assert(Flow.onEnd(Lost, true) == RetryElsewhere, "nothing was delivered");
  Flow.onSent();
  Flow.onDelivered();
  Flow.onPlaced(true);
  cr_assert(Flow.onEnd(Lost, true) == RetryElsewhere);
  Flow.onSent();
  Flow.onPlaced(false);
  cr_assert(!Flow.mayContinue());
  cr_assert(Flow.onEnd(Lost, true) == Truncate);
}
