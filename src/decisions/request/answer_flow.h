/// \file
/// The course of one answer over one or several attempts: which pieces are
/// delivered, when to try again, and what a loss means for the caller.
#ifndef EBONYVALE_DECISIONS_REQUEST_ANSWER_FLOW_H
#define EBONYVALE_DECISIONS_REQUEST_ANSWER_FLOW_H

#include "common/error_kind.h"
#include "common/instant.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace ebonyvale {

/// How far an attempt has come.
enum class attempt_stage {
  NotSent,   ///< no byte has left; "not run" is true
  Sent,      ///< the upstream may have the request
  Answering, ///< the head of its answer has arrived
  Done,
};

/// What the route allows.
struct flow_rules {
  bool Repeatable = true; ///< may run more than once
  bool Resumable = false; ///< a stream that can go on elsewhere
  unsigned MaxAttempts = 3;
  instant Deadline;
};

/// What to do with a piece of an answer.
enum class piece_verdict {
  Deliver,
  DropCrossed, ///< belongs to another attempt or request
  DropRepeat,  ///< has been delivered already
  Gap,         ///< pieces before it are missing; the attempt is lost
};

/// What follows the loss of an attempt.
struct flow_step {
  enum class action { Retry, Refuse, Interrupt };
  action Action = action::Refuse;
  error_kind Kind{}; ///< for Refuse and Interrupt
};

/// Decides about one answer.
class answer_flow {
public:
  /// \p RequestId must be unique in the fleet; attempts are named after it.
  answer_flow(std::string RequestId, flow_rules Rules)
      : RequestId(std::move(RequestId)), Rules(Rules) {}

  /// Starts the next attempt and returns its id.
  const std::string &begin();

  /// Id of the present attempt.
  const std::string &attemptId() const { return AttemptId; }

  /// Number of attempts begun.
  unsigned attempts() const { return Attempts; }

  /// Number of pieces delivered; a resumed stream starts behind them.
  std::uint64_t delivered() const { return Delivered; }

  /// Whether an earlier attempt may have run, so that "not run" must not be
  /// said although nothing is at an upstream now.
  bool mayHaveRun() const { return EverSent; }

  /// The upstream's head arrived. False when it answers another attempt.
  bool onHead(std::string_view EchoedId);

  /// Judges a piece with the event id "attempt:sequence"; the first piece of
  /// an answer has sequence 1.
  piece_verdict onPiece(std::string_view EventId);

  /// The answer is whole.
  void onDone() { Stage = attempt_stage::Done; }

  /// The attempt was lost after it had reached \p Reached. \p MayRetry says
  /// whether the retry budget allows another attempt.
  flow_step onLost(attempt_stage Reached, bool MayRetry, instant Now);

  /// The upstream proved that it did not run the attempt.
  flow_step onNotRun(bool MayRetry, instant Now);

  /// No upstream is left for another attempt.
  flow_step onNoUpstream(error_kind Reason) const;

private:
  flow_step retryOr(error_kind Kind, bool MayRetry, instant Now) const;

  std::string RequestId;
  flow_rules Rules;
  std::string AttemptId;
  unsigned Attempts = 0;
  attempt_stage Stage = attempt_stage::NotSent;
  std::uint64_t Delivered = 0;
  bool EverSent = false; ///< some attempt may have run
};

} // namespace ebonyvale

#endif
