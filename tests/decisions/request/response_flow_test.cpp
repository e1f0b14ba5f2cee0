#include "decisions/request/response_flow.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace ebonyvale;

namespace {

using enum error_kind;
using enum attempt_stage;
using action = retry_decision::action;

constexpr instant Start{};
constexpr span_ns Limit = std::chrono::seconds(10);

/// The failure of an attempt and the expected decision.
struct failure_row {
  bool Repeatable;
  bool Resumable;
  attempt_stage Reached;
  int Delivered;
  bool MayRetry;
  bool PastDeadline;
  action Action;
  error_kind Kind; ///< unless the action is Retry
};

response_flow makeFlow(const failure_row &Row) {
  response_flow Flow("r", {Row.Repeatable, Row.Resumable, 3, Start + Limit});
  Flow.begin();
  for (int Sequence = 1; Sequence <= Row.Delivered; ++Sequence)
    Flow.onStreamEvent(Flow.attemptId() + ":" + std::to_string(Sequence));
  return Flow;
}

} // namespace

ParameterizedTestParameters(response_flow, failed_attempt) {
  static failure_row Rows[] = {
      // Nothing was sent: a retry is safe for any request.
      {false, false, NotSent, 0, true, false, action::Retry, {}},
      {false, false, NotSent, 0, false, false, action::Refuse,
       UpstreamUnreachable},
      {true, true, NotSent, 0, true, true, action::Refuse, DeadlineTooShort},
      // A request that is not repeatable is not retried once a byte was sent.
      {false, false, Sent, 0, true, false, action::Refuse, OutcomeUnknown},
      {false, false, Responding, 0, true, false, action::Refuse,
       OutcomeUnknown},
      // A repeatable request is retried while budget and deadline allow it.
      {true, false, Sent, 0, true, false, action::Retry, {}},
      {true, false, Sent, 0, false, false, action::Refuse, RetryBudgetSpent},
      {true, false, Responding, 0, true, true, action::Refuse,
       DeadlineExceeded},
      // A started stream is resumed, or interrupted with an error.
      {true, true, Responding, 5, true, false, action::Retry, {}},
      {true, true, Responding, 5, false, false, action::Interrupt,
       StreamInterrupted},
      {true, false, Responding, 5, true, false, action::Interrupt,
       StreamInterrupted},
  };
  return criterion_test_params(Rows);
}

ParameterizedTest(failure_row *Row, response_flow, failed_attempt) {
  response_flow Flow = makeFlow(*Row);
  const instant Now = Row->PastDeadline ? Start + Limit : Start;
  const retry_decision Decision = Flow.onLost(Row->Reached, Row->MayRetry, Now);
  cr_assert(Decision.Action == Row->Action);
  if (Row->Action != action::Retry)
    cr_assert(Decision.Kind == Row->Kind);
}

Test(response_flow, events_are_delivered_once_and_in_order) {
  response_flow Flow("r", {true, true, 3, Start + Limit});
  Flow.begin();
  cr_assert(Flow.onStreamEvent("r.1:1") == event_disposition::Deliver);
  cr_assert(Flow.onStreamEvent("r.1:1") == event_disposition::DropDuplicate);
  cr_assert(Flow.onStreamEvent("q.1:2") == event_disposition::DropForeign);
  cr_assert(Flow.onStreamEvent("r.1:x") == event_disposition::DropForeign);
  cr_assert(Flow.onStreamEvent("r.1:3") == event_disposition::Gap);
  Flow.onLost(Responding, true, Start);
  Flow.begin();
  // A late event of the first attempt, then one of the second.
  cr_assert(Flow.onStreamEvent("r.1:2") == event_disposition::DropForeign);
  cr_assert(Flow.onStreamEvent("r.2:2") == event_disposition::Deliver);
  cr_assert(Flow.delivered() == 2);
}

Test(response_flow, not_run_is_reported_only_if_no_attempt_may_have_run) {
  response_flow Flow("r", {true, true, 1, Start + Limit});
  Flow.begin();
  cr_assert(Flow.onNotRun(true, Start).Kind == UpstreamRefused);
  cr_assert(errorRow(UpstreamRefused).Ran == ran_state::No);
  response_flow Lost("r", {true, true, 2, Start + Limit});
  Lost.begin();
  Lost.onLost(Sent, true, Start);
  Lost.begin();
  // The second attempt did not run, but the first may have.
  cr_assert(Lost.onNotRun(true, Start).Kind == RetryBudgetSpent);
}

Test(response_flow, earlier_attempt_that_may_have_run_is_recorded) {
  response_flow Flow("r", {true, true, 3, Start + Limit});
  Flow.begin();
  Flow.onLost(NotSent, true, Start);
  cr_assert(!Flow.mayHaveRun());
  Flow.begin();
  Flow.onLost(Sent, true, Start);
  // Before the third attempt nothing is in flight, but the second may have run.
  cr_assert(Flow.mayHaveRun());
  cr_assert(Flow.onNoUpstream(NoUpstream).Kind == RetryBudgetSpent);
}
