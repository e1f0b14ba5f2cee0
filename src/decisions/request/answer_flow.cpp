#include "decisions/request/answer_flow.h"

#include <charconv>

#include <spdlog/fmt/fmt.h>

namespace ebonyvale {

const std::string &answer_flow::begin() {
  ++Attempts;
  AttemptId = fmt::format("{}.{}", RequestId, Attempts);
  Stage = attempt_stage::NotSent;
  return AttemptId;
}

bool answer_flow::onHead(std::string_view EchoedId) {
  // An upstream that does not echo ids is trusted to keep its connections
  // apart, as HTTP prescribes.
  if (!EchoedId.empty() && EchoedId != AttemptId)
    return false;
  Stage = attempt_stage::Answering;
  return true;
}

piece_verdict answer_flow::onPiece(std::string_view EventId) {
  if (EventId.empty()) {
    ++Delivered;
    return piece_verdict::Deliver;
  }
  const std::size_t Colon = EventId.rfind(':');
  if (Colon == std::string_view::npos || EventId.substr(0, Colon) != AttemptId)
    return piece_verdict::DropCrossed;
  const std::string_view Digits = EventId.substr(Colon + 1);
  std::uint64_t Sequence = 0;
  const auto [End, Error] =
      std::from_chars(Digits.data(), Digits.data() + Digits.size(), Sequence);
  if (Error != std::errc() || End != Digits.data() + Digits.size())
    return piece_verdict::DropCrossed;
  if (Sequence <= Delivered)
    return piece_verdict::DropRepeat;
  if (Sequence != Delivered + 1)
    return piece_verdict::Gap;
  Delivered = Sequence;
  return piece_verdict::Deliver;
}

flow_step answer_flow::onLost(attempt_stage Reached, bool MayRetry,
                              instant Now) {
  using action = flow_step::action;
  Stage = attempt_stage::Done;
  if (Reached == attempt_stage::NotSent && !EverSent)
    return retryOr(error_kind::UpstreamUnreachable, MayRetry, Now);
  EverSent = EverSent || Reached != attempt_stage::NotSent;
  if (!Rules.Repeatable)
    return {action::Refuse, error_kind::OutcomeUnknown};
  if (Delivered > 0) {
    const flow_step Step =
        retryOr(error_kind::StreamInterrupted, MayRetry, Now);
    if (Step.Action == action::Retry && Rules.Resumable)
      return Step;
    return {action::Interrupt, error_kind::StreamInterrupted};
  }
  return retryOr(error_kind::RetryBudgetSpent, MayRetry, Now);
}

flow_step answer_flow::onNotRun(bool MayRetry, instant Now) {
  Stage = attempt_stage::Done;
  const error_kind Kind =
      EverSent ? error_kind::RetryBudgetSpent : error_kind::UpstreamRefused;
  if (Delivered > 0)
    return onLost(attempt_stage::NotSent, MayRetry, Now);
  return retryOr(Kind, MayRetry, Now);
}

flow_step answer_flow::onNoUpstream(error_kind Reason) const {
  using action = flow_step::action;
  if (Delivered > 0)
    return {action::Interrupt, error_kind::StreamInterrupted};
  if (EverSent)
    return {action::Refuse, error_kind::RetryBudgetSpent};
  return {action::Refuse,
          Attempts > 0 ? error_kind::UpstreamUnreachable : Reason};
}

flow_step answer_flow::retryOr(error_kind Kind, bool MayRetry,
                               instant Now) const {
  using action = flow_step::action;
  if (Now >= Rules.Deadline)
    return {action::Refuse, EverSent ? error_kind::DeadlineExceeded
                                     : error_kind::DeadlineTooShort};
  if (!MayRetry || Attempts >= Rules.MaxAttempts)
    return {action::Refuse, Kind};
  return {action::Retry, Kind};
}

} // namespace ebonyvale
