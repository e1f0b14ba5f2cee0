/// \file
/// State of one response over its attempts: which stream events are delivered,
/// whether a failed attempt is retried, and how a failure is reported to the
/// caller.
#ifndef EBONYVALE_DECISIONS_REQUEST_RESPONSE_FLOW_H
#define EBONYVALE_DECISIONS_REQUEST_RESPONSE_FLOW_H

#include "common/error_kind.h"
#include "common/instant.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace ebonyvale {

/// Progress of an attempt.
enum class attempt_stage {
  NotSent,    ///< no byte was sent, so the upstream cannot have run it
  Sent,       ///< the upstream may have received and run the request
  Responding, ///< the response head has arrived
  Done,       ///< completed or lost
};

/// Retry options of the route and the deadline of the request.
struct response_options {
  bool Repeatable = true; ///< the request may run more than once
  bool Resumable = false; ///< another upstream can continue the stream
  unsigned MaxAttempts = 3;
  instant Deadline;
};

/// How to handle an event of a streamed response.
enum class event_disposition {
  Deliver,
  DropForeign,   ///< the event belongs to another attempt or request
  DropDuplicate, ///< the event has already been delivered
  Gap,           ///< earlier events are missing; the attempt is lost
};

/// The action to take after a failed attempt.
struct retry_decision {
  enum class action { Retry, Refuse, Interrupt };
  action Action = action::Refuse;
  error_kind Kind{}; ///< the error to report for Refuse and Interrupt
};

/// Tracks the attempts of one request and the events of its response.
class response_flow {
public:
  /// Creates the flow of the request \p RequestId, which must be unique in the
  /// fleet since attempt ids are derived from it.
  response_flow(std::string RequestId, response_options Options)
      : RequestId(std::move(RequestId)), Options(Options) {}

  /// Starts the next attempt and returns its id, "RequestId.N".
  const std::string &begin();

  /// Returns the id of the current attempt.
  const std::string &attemptId() const { return AttemptId; }

  /// Returns the number of attempts started.
  unsigned attempts() const { return Attempts; }

  /// Returns the number of events delivered; a resumed stream starts after
  /// them.
  std::uint64_t delivered() const { return Delivered; }

  /// Returns whether an earlier attempt may have run. The request must then not
  /// be reported as "not run", even if no attempt is in flight.
  bool mayHaveRun() const { return EverSent; }

  /// Records that the response head has arrived. Returns false when the head
  /// echoes the id of another attempt.
  bool onHead(std::string_view EchoedId);

  /// Returns how to handle the event with the id "attempt:sequence". The first
  /// event of a response has sequence 1; an event without an id is delivered.
  event_disposition onStreamEvent(std::string_view EventId);

  /// Records that the response is complete.
  void onDone() { Stage = attempt_stage::Done; }

  /// Records that the attempt failed in stage \p Reached and returns the action
  /// to take. \p MayRetry tells whether the retry budget allows a retry.
  retry_decision onLost(attempt_stage Reached, bool MayRetry, instant Now);

  /// Records that the upstream confirmed that it did not run the attempt, and
  /// returns the action to take.
  retry_decision onNotRun(bool MayRetry, instant Now);

  /// Returns the action to take when no upstream is available for another
  /// attempt. \p Reason is the error if no attempt has been started.
  retry_decision onNoUpstream(error_kind Reason) const;

private:
  /// Returns Retry if deadline, budget and attempts allow it, else a refusal
  /// with \p Kind or, past the deadline, with a deadline error.
  retry_decision retryOrRefuse(error_kind Kind, bool MayRetry,
                               instant Now) const;

  std::string RequestId;
  response_options Options;
  std::string AttemptId;
  unsigned Attempts = 0;
  attempt_stage Stage = attempt_stage::NotSent;
  std::uint64_t Delivered = 0;
  bool EverSent = false; ///< an attempt was sent and may have run
};

} // namespace ebonyvale

#endif
