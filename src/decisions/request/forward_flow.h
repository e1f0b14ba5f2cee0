/// \file
/// Retries of forwarded requests: after each attempt, retry at another upstream
/// or end with a response that does not deny a possible execution.
#ifndef EBONYVALE_DECISIONS_REQUEST_FORWARD_FLOW_H
#define EBONYVALE_DECISIONS_REQUEST_FORWARD_FLOW_H

#include "common/error_kind.h"
#include "common/instant.h"
#include "decisions/version/routing_table.h"

namespace ebonyvale {

/// How an attempt failed.
enum class attempt_outcome {
  NotSent,     ///< no byte of the request was sent
  NotRun,      ///< the upstream confirmed that it did not run it
  WrongTarget, ///< another process or other weights than addressed
  Lost,        ///< no complete response; it may have run
  ServerError, ///< the upstream ran it and failed
};

/// What to do after a failed attempt.
enum class forward_decision {
  RetryElsewhere, ///< retry at another upstream
  Refuse,         ///< report that the request has not run
  Unknown,        ///< report that the request may have run
  PassThrough,    ///< pass on the upstream's own response
  Truncate,       ///< end the started response so that it is seen as incomplete
};

/// Retry options of one request.
struct forward_options {
  repeat_policy Repeat = repeat_policy::AtMostOnce;
  bool Resumable = false;
  int MaxAttempts = 1;
};

/// Tracks the attempts of one request and decides on retries.
class forward_flow {
public:
  explicit forward_flow(const forward_options &Options) : Options(Options) {}

  /// Records that an attempt was sent.
  void onSent() { ++Sent; }

  /// Records that part of the response was passed on to the caller.
  void onDelivered() { Delivered = true; }

  /// Records whether the last id that was passed on tells where another
  /// upstream goes on; it does not if an event without an id followed.
  void onPlaced(bool IsPlaced) { Placed = IsPlaced; }

  /// Returns whether another upstream may continue what was passed on, if
  /// anything was.
  bool mayContinue() const {
    return !Delivered || (Options.Resumable && Placed);
  }

  /// Records that an attempt failed and returns what to do. \p BudgetLeft tells
  /// whether the retry budget covers another attempt.
  forward_decision onEnd(attempt_outcome Outcome, bool BudgetLeft);

  /// Returns whether MaxAttempts allows another attempt.
  bool hasAttemptsLeft() const { return Sent < Options.MaxAttempts; }

  /// Returns how to end the request when the deadline has passed or no upstream
  /// is left.
  forward_decision failureDecision() const;

  /// Returns whether any attempt may have run the request.
  bool mayHaveRun() const { return MayHaveRun; }

  /// Returns whether part of the response was passed on to the caller.
  bool delivered() const { return Delivered; }

  /// Returns the number of attempts sent.
  int attempts() const { return Sent; }

private:
  forward_options Options;
  int Sent = 0;
  bool MayHaveRun = false;
  bool Delivered = false;
  bool Placed = true;
};

} // namespace ebonyvale

#endif
