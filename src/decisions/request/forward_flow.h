/// \file
/// What may happen to a forwarded request after each attempt: go on at another
/// upstream, or end with an answer that does not claim too much.
#ifndef EBONYVALE_DECISIONS_REQUEST_FORWARD_FLOW_H
#define EBONYVALE_DECISIONS_REQUEST_FORWARD_FLOW_H

#include "common/error_kind.h"
#include "common/instant.h"
#include "decisions/version/routing_table.h"

namespace ebonyvale {

/// How an attempt ended without an answer for the caller.
enum class attempt_end {
  NotSent,     ///< no byte of the request left
  NotRun,      ///< the upstream proved that it did not run it
  NotMeant,    ///< it was not the process, or not the weights, that was meant
  Lost,        ///< it may have run
  ServerError, ///< the upstream ran it and failed
};

/// What follows.
enum class forward_next {
  TryElsewhere, ///< another attempt may be made
  Refuse,       ///< answer that the request has not run
  Unknown,      ///< answer that it may have run
  PassOn,       ///< give the caller the upstream's own answer
  BreakOff,     ///< the answer has begun; end it visibly incomplete
};

/// Limits of one request.
struct forward_rules {
  repeat_rule Repeat = repeat_rule::AtMostOnce;
  bool Resumable = false;
  int MaxAttempts = 1;
};

/// The attempts of one request.
class forward_flow {
public:
  explicit forward_flow(const forward_rules &Rules) : Rules(Rules) {}

  /// Bytes of an attempt have left.
  void onSent() { ++Sent; }

  /// A part of the answer has been passed on to the caller.
  void onDelivered() { Delivered = true; }

  /// An attempt has ended. \p BudgetLeft: the retry budget covers one more.
  forward_next onEnd(attempt_end End, bool BudgetLeft);

  /// Whether another upstream may get the request.
  bool mayTryAgain() const { return Sent < Rules.MaxAttempts; }

  /// What to answer when time is up or no upstream is left.
  forward_next giveUp() const;

  /// Whether any attempt may have run the request.
  bool mayHaveRun() const { return Ran; }
  bool delivered() const { return Delivered; }
  int attempts() const { return Sent; }

private:
  forward_rules Rules;
  int Sent = 0;
  bool Ran = false;
  bool Delivered = false;
};

} // namespace ebonyvale

#endif
