#include "decisions/request/forward_flow.h"

namespace ebonyvale {

forward_decision forward_flow::onEnd(attempt_outcome Outcome, bool BudgetLeft) {
  const bool AttemptMayHaveRun = Outcome == attempt_outcome::Lost ||
                                 Outcome == attempt_outcome::ServerError;
  MayHaveRun = MayHaveRun || AttemptMayHaveRun;
  // Nothing was sent, so neither attempts nor retry budget limit the retry.
  if (Outcome == attempt_outcome::NotSent) {
    --Sent;
    return forward_decision::RetryElsewhere;
  }
  // The upstream could not run it, so it does not count as an attempt.
  if (Outcome == attempt_outcome::WrongTarget)
    --Sent;
  const bool Repeatable = Delivered ? mayContinue()
                          : MayHaveRun
                              ? Options.Repeat == repeat_policy::Idempotent
                              : true;
  if (Repeatable && hasAttemptsLeft() && BudgetLeft)
    return forward_decision::RetryElsewhere;
  if (Outcome == attempt_outcome::ServerError && !Delivered)
    return forward_decision::PassThrough;
  return failureDecision();
}

forward_decision forward_flow::failureDecision() const {
  if (Delivered)
    return forward_decision::Truncate;
  return MayHaveRun ? forward_decision::Unknown : forward_decision::Refuse;
}

} // namespace ebonyvale
