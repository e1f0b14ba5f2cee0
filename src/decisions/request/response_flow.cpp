#include "decisions/request/response_flow.h"

#include <charconv>

#include <spdlog/fmt/fmt.h>

namespace ebonyvale {

const std::string &response_flow::begin() {
  ++Attempts;
  AttemptId = fmt::format("{}.{}", RequestId, Attempts);
  Stage = attempt_stage::NotSent;
  return AttemptId;
}

bool response_flow::onHead(std::string_view EchoedId) {
  // Without an echoed id, the connection identifies the request, as in plain
  // HTTP.
  if (!EchoedId.empty() && EchoedId != AttemptId)
    return false;
  Stage = attempt_stage::Responding;
  return true;
}

event_disposition response_flow::onStreamEvent(std::string_view EventId) {
  if (EventId.empty()) {
    ++Delivered;
    return event_disposition::Deliver;
  }
  const std::size_t Colon = EventId.rfind(':');
  if (Colon == std::string_view::npos || EventId.substr(0, Colon) != AttemptId)
    return event_disposition::DropForeign;
  const std::string_view Digits = EventId.substr(Colon + 1);
  std::uint64_t Sequence = 0;
  const auto [End, Error] =
      std::from_chars(Digits.data(), Digits.data() + Digits.size(), Sequence);
  if (Error != std::errc() || End != Digits.data() + Digits.size())
    return event_disposition::DropForeign;
  if (Sequence <= Delivered)
    return event_disposition::DropDuplicate;
  if (Sequence != Delivered + 1)
    return event_disposition::Gap;
  Delivered = Sequence;
  return event_disposition::Deliver;
}

retry_decision response_flow::onLost(attempt_stage Reached, bool MayRetry,
                                     instant Now) {
  using action = retry_decision::action;
  Stage = attempt_stage::Done;
  if (Reached == attempt_stage::NotSent && !EverSent)
    return retryOrRefuse(error_kind::UpstreamUnreachable, MayRetry, Now);
  EverSent = EverSent || Reached != attempt_stage::NotSent;
  if (!Options.Repeatable)
    return {action::Refuse, error_kind::OutcomeUnknown};
  if (Delivered > 0) {
    const retry_decision Decision =
        retryOrRefuse(error_kind::StreamInterrupted, MayRetry, Now);
    if (Decision.Action == action::Retry && Options.Resumable)
      return Decision;
    return {action::Interrupt, error_kind::StreamInterrupted};
  }
  return retryOrRefuse(error_kind::RetryBudgetSpent, MayRetry, Now);
}

retry_decision response_flow::onNotRun(bool MayRetry, instant Now) {
  Stage = attempt_stage::Done;
  const error_kind Kind =
      EverSent ? error_kind::RetryBudgetSpent : error_kind::UpstreamRefused;
  if (Delivered > 0)
    return onLost(attempt_stage::NotSent, MayRetry, Now);
  return retryOrRefuse(Kind, MayRetry, Now);
}

retry_decision response_flow::onNoUpstream(error_kind Reason) const {
  using action = retry_decision::action;
  if (Delivered > 0)
    return {action::Interrupt, error_kind::StreamInterrupted};
  if (EverSent)
    return {action::Refuse, error_kind::RetryBudgetSpent};
  return {action::Refuse,
          Attempts > 0 ? error_kind::UpstreamUnreachable : Reason};
}

retry_decision response_flow::retryOrRefuse(error_kind Kind, bool MayRetry,
                                            instant Now) const {
  using action = retry_decision::action;
  if (Now >= Options.Deadline)
    return {action::Refuse, EverSent ? error_kind::DeadlineExceeded
                                     : error_kind::DeadlineTooShort};
  if (!MayRetry || Attempts >= Options.MaxAttempts)
    return {action::Refuse, Kind};
  return {action::Retry, Kind};
}

} // namespace ebonyvale
