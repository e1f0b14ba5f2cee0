#include "decisions/request/forward_flow.h"

namespace ebonyvale {

forward_next forward_flow::onEnd(attempt_end End, bool BudgetLeft) {
  const bool RanNow =
      End == attempt_end::Lost || End == attempt_end::ServerError;
  Ran = Ran || RanNow;
  // Nothing reached an upstream, so the attempt counts against no limit.
  if (End == attempt_end::NotSent && !Delivered)
    return forward_next::TryElsewhere;
  // It was never sent to an upstream that could have run it.
  if (End == attempt_end::NotMeant)
    --Sent;
  const bool Repeatable = Delivered ? Rules.Resumable
                          : Ran     ? Rules.Repeat == repeat_rule::Idempotent
                                    : true;
  if (Repeatable && mayTryAgain() && BudgetLeft)
    return forward_next::TryElsewhere;
  if (End == attempt_end::ServerError && !Delivered)
    return forward_next::PassOn;
  return giveUp();
}

forward_next forward_flow::giveUp() const {
  if (Delivered)
    return forward_next::BreakOff;
  return Ran ? forward_next::Unknown : forward_next::Refuse;
}

} // namespace ebonyvale
