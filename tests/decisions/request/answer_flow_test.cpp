#include "decisions/request/answer_flow.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace ebonyvale;

namespace {

using enum error_kind;
using enum attempt_stage;
using action = flow_step::action;

constexpr instant Start{};
constexpr span_ns Limit = std::chrono::seconds(10);

/// A loss and what must follow it.
struct loss_row {
  bool Repeatable;
  bool Resumable;
  attempt_stage Reached;
  int Delivered;
  bool MayRetry;
  bool Late;
  action Action;
  error_kind Kind; ///< where the action is not Retry
};

answer_flow makeFlow(const loss_row &Row) {
  answer_flow Flow("r", {Row.Repeatable, Row.Resumable, 3, Start + Limit});
  Flow.begin();
  for (int Piece = 1; Piece <= Row.Delivered; ++Piece)
    Flow.onPiece(Flow.attemptId() + ":" + std::to_string(Piece));
  return Flow;
}

} // namespace

ParameterizedTestParameters(answer_flow, loss) {
  static loss_row Rows[] = {
      // Nothing was sent: another attempt is always safe.
      {false, false, NotSent, 0, true, false, action::Retry, {}},
      {false, false, NotSent, 0, false, false, action::Refuse,
       UpstreamUnreachable},
      {true, true, NotSent, 0, true, true, action::Refuse, DeadlineTooShort},
      // A call that may not be repeated ends with its first byte.
      {false, false, Sent, 0, true, false, action::Refuse, OutcomeUnknown},
      {false, false, Answering, 0, true, false, action::Refuse, OutcomeUnknown},
      // A repeatable one goes on while the budget lasts.
      {true, false, Sent, 0, true, false, action::Retry, {}},
      {true, false, Sent, 0, false, false, action::Refuse, RetryBudgetSpent},
      {true, false, Answering, 0, true, true, action::Refuse, DeadlineExceeded},
      // A stream that has begun resumes or is broken off with a mark.
      {true, true, Answering, 5, true, false, action::Retry, {}},
      {true, true, Answering, 5, false, false, action::Interrupt,
       StreamInterrupted},
      {true, false, Answering, 5, true, false, action::Interrupt,
       StreamInterrupted},
  };
  return criterion_test_params(Rows);
}

ParameterizedTest(loss_row *Row, answer_flow, loss) {
  answer_flow Flow = makeFlow(*Row);
  const instant Now = Row->Late ? Start + Limit : Start;
  const flow_step Step = Flow.onLost(Row->Reached, Row->MayRetry, Now);
  cr_assert(Step.Action == Row->Action);
  if (Row->Action != action::Retry)
    cr_assert(Step.Kind == Row->Kind);
}

Test(answer_flow, pieces_are_delivered_once_and_in_order) {
  answer_flow Flow("r", {true, true, 3, Start + Limit});
  Flow.begin();
  cr_assert(Flow.onPiece("r.1:1") == piece_verdict::Deliver);
  cr_assert(Flow.onPiece("r.1:1") == piece_verdict::DropRepeat);
  cr_assert(Flow.onPiece("q.1:2") == piece_verdict::DropCrossed);
  cr_assert(Flow.onPiece("r.1:x") == piece_verdict::DropCrossed);
  cr_assert(Flow.onPiece("r.1:3") == piece_verdict::Gap);
  Flow.onLost(Answering, true, Start);
  Flow.begin();
  // Late pieces of the first attempt, then the second one's.
  cr_assert(Flow.onPiece("r.1:2") == piece_verdict::DropCrossed);
  cr_assert(Flow.onPiece("r.2:2") == piece_verdict::Deliver);
  cr_assert(Flow.delivered() == 2);
}

Test(answer_flow, proof_of_not_run_keeps_the_refusal_honest) {
  answer_flow Flow("r", {true, true, 1, Start + Limit});
  Flow.begin();
  cr_assert(Flow.onNotRun(true, Start).Kind == UpstreamRefused);
  cr_assert(errorRow(UpstreamRefused).Ran == ran_state::No);
  answer_flow Lost("r", {true, true, 2, Start + Limit});
  Lost.begin();
  Lost.onLost(Sent, true, Start);
  Lost.begin();
  // The second attempt did not run, but the first may have.
  cr_assert(Lost.onNotRun(true, Start).Kind == RetryBudgetSpent);
}

Test(answer_flow, earlier_attempt_that_may_have_run_is_remembered) {
  answer_flow Flow("r", {true, true, 3, Start + Limit});
  Flow.begin();
  Flow.onLost(NotSent, true, Start);
  cr_assert(!Flow.mayHaveRun());
  Flow.begin();
  Flow.onLost(Sent, true, Start);
  // While the third attempt waits for an upstream, "not run" is not true.
  cr_assert(Flow.mayHaveRun());
  cr_assert(Flow.onNoUpstream(NoUpstream).Kind == RetryBudgetSpent);
}
