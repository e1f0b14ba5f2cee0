// Attempts that are sent through a peer.
#include "gateway/request/forward_session.h"

namespace ebonyvale {

void forward_session::onRelayOutcome(relay_outcome Outcome) {
  const std::string_view Reason = relayOutcomeName(Outcome);
  switch (Outcome) {
  case relay_outcome::Unreachable:
    return onRelayFailed(relay_failure::Unreachable, Reason);
  case relay_outcome::Declined:
    return onRelayFailed(relay_failure::Declined, Reason);
  case relay_outcome::Busy:
    return onRelayFailed(relay_failure::Busy, Reason);
  case relay_outcome::Lost:
    return loseAttempt(Reason, crash_evidence::None);
  case relay_outcome::LostReused:
    return loseAttempt(Reason, crash_evidence::Unexplained);
  case relay_outcome::LostWaiting:
    return loseAttempt(Reason, crash_evidence::Lost);
  case relay_outcome::LostBegun:
    HeadReceived = true;
    Response = {};
    return loseAttempt(Reason, crash_evidence::Lost);
  }
}

void forward_session::onRelayLost(const exchange_loss &Loss) {
  if (Loss.Stage == exchange_stage::NotSent)
    return onRelayFailed(relay_failure::Lost, lossName(Loss.Reason));
  // A relay closes the connection if the upstream breaks off its response. It
  // tells if the upstream has ended with it.
  if (HeadReceived)
    return loseAttempt("broken_off_at_relay", crash_evidence::Unexplained);
  if (const upstream_entry *Entry = Core.directory().find(Choice->Upstream))
    Core.upstreamPaths().onRelayFailed(Choice->Relay, *Entry,
                                       relay_failure::Lost, readBootClock());
  Core.counters().onUpstreamLoss("relay_lost");
  onAttemptEnd(attempt_outcome::Lost, "relay_lost");
}

void forward_session::onRelayFailed(relay_failure Failure,
                                    std::string_view Reason) {
  ++RelayFailures;
  if (const upstream_entry *Entry = Core.directory().find(Choice->Upstream))
    Core.upstreamPaths().onRelayFailed(Choice->Relay, *Entry, Failure,
                                       readBootClock());
  onAttemptEnd(attempt_outcome::NotSent, Reason);
}

} // namespace ebonyvale
