/// \file
/// Base class of the sessions that handle one request of a caller each.
#ifndef EBONYVALE_DAEMON_REQUEST_CALLER_SESSION_H
#define EBONYVALE_DAEMON_REQUEST_CALLER_SESSION_H

#include "daemon/process/router_core.h"
#include "decisions/request/caller_check.h"
#include "decisions/request/response_flow.h"
#include "net/response_writer.h"
#include "net/timer.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace ebonyvale {

/// Handles what requests to engines and to plain upstreams have in common: the
/// reply to the caller, admission by tokens, dispatch, retries, the deadline
/// and refusals. A session keeps itself alive until its response has ended.
class caller_session : public request_observer,
                       public response_writer_observer,
                       public exchange_observer,
                       public std::enable_shared_from_this<caller_session> {
public:
  caller_session(router_core &Core, evhttp_request *Request,
                 configuration_ptr Config, const caller_grant &Grant,
                 std::string Route, span_ns Deadline);

  /// Keeps the memory of the request, as received and copied, counted until the
  /// session ends.
  void holdMemory(buffer_lease Memory) {
    RequestMemory.emplace(std::move(Memory));
  }

  /// Registers the request with the core and requests its tokens. A request
  /// without a team, on an open route, is dispatched at once.
  void begin(const token_cost &Cost);

  // request_observer
  void onAdmitted(const reservation &Reserved) override;
  void onAdmissionRefused(const refuse_action &Refusal) override;
  void onDispatchStarted(const dispatch_start &Start) override;
  void onDispatchRefused(const dispatch_refuse &Refusal) override;
  void onConfigurationChange(const configuration &Config) override;

  // response_writer_observer
  void onClientDisconnected() override;
  void onDrained() override;

  // exchange_observer
  void onLost(exchange_stage Stage) override;

protected:
  /// Builds the dispatch request; called once per attempt.
  virtual dispatch_request makeDispatchRequest() = 0;
  /// Builds the HTTP request of the current attempt.
  virtual outgoing_request makeUpstreamRequest(const dispatch_start &Start) = 0;
  /// Marks a response that has begun as interrupted, since it can no longer
  /// become a refusal.
  virtual void sendInterruption(const refusal &Refusal) = 0;
  /// Returns the tokens used so far, to settle the reservation with.
  virtual double usedTokens() const = 0;

  /// Returns the options for retrying and resuming the request; `startFlow`
  /// adds the deadline.
  virtual response_options flowOptions() const = 0;

  /// Sends \p Bytes of the stream to the caller. Pauses reading from the
  /// upstream while more than `StreamBufferBytes` are unsent.
  void deliver(std::string_view Bytes);

  /// Appends to a response that is sent only when complete. Drops the exchange
  /// and refuses the request when \p Buffer exceeds `AnswerBytes`.
  void bufferResponse(std::string_view Bytes, std::string &Buffer);

  /// Ends the session after the complete response has been sent.
  void succeed();

  /// Records a refusal, sends it, or interrupts the stream that has begun, and
  /// ends the session.
  void refuse(error_kind Kind, std::string Detail = {},
              span_ns RetryAfter = span_ns(0), quota_figures Figures = {});

  /// Executes a decision of `response_flow` after a failed attempt.
  void execute(const retry_decision &Decision);

  /// Ends the current attempt as failed at \p Stage, reports the failure of the
  /// upstream and then retries, refuses or interrupts the response.
  void failAttempt(exchange_stage Stage);

  /// Reports the end of the current attempt to the core, if one is running.
  void endAttempt();

  /// Adds the current attempt's upstream to those that further attempts avoid.
  void avoidUpstream() { Failed.push_back(Start.Engine); }

  /// Avoids the current attempt's upstream and reports its failure to the core.
  void reportUpstreamFailure();

  /// Returns the trace context to send with the current attempt.
  std::string traceparent() const {
    return contextOf(*AttemptSpan).traceparent();
  }

  response_flow &flow() { return Flow; }
  clock_reading startedAt() const { return Started; }
  router_core &core() { return Core; }
  response_writer &reply() { return Reply; }
  const configuration &config() const { return *Config; }
  const caller_grant &grant() const { return Grant; }
  const std::string &team() const { return Team; }
  const dispatch_start &dispatchStart() const { return Start; }
  span_ns timeLeft() const;
  std::uint64_t number() const { return Number; }
  const std::vector<engine_id> &failedUpstreams() const { return Failed; }
  instant deadline() const { return Deadline; }
  void setFingerprint(request_fingerprint Value) { Fingerprint = Value; }

  /// Returns whether earlier runs of the same request coincided with the loss
  /// of an upstream.
  bool isSuspected();

  /// Takes one retry from the budget; returns false when none is left.
  bool spendRetry();

  /// Cancels the current exchange, if any, without further callbacks.
  void dropExchange();

private:
  enum class phase { AwaitingTokens, Queued, AtUpstream, Ended };

  bool mayHaveRun() const;
  void submit();
  void end();
  void onDeadline();
  void startFlow();

  router_core &Core;
  configuration_ptr Config;
  caller_grant Grant;
  std::string Team;
  std::string Route;
  clock_reading Started;
  instant Deadline;
  std::uint64_t Number = 0;
  phase Phase = phase::AwaitingTokens;
  response_writer Reply;
  std::optional<buffer_lease> RequestMemory;
  buffer_lease ResponseMemory; ///< of the body that is buffered
  std::optional<reservation> Reserved;
  std::unique_ptr<opentracing::Span> RequestSpan;
  std::unique_ptr<opentracing::Span> AttemptSpan;
  response_flow Flow;
  dispatch_start Start{};
  bool Running = false; ///< the current attempt counts as in flight
  std::shared_ptr<upstream_exchange> Exchange;
  std::vector<engine_id> Failed;
  std::optional<request_fingerprint> Fingerprint;
  timer DeadlineTimer;
  /// Keeps the session alive until its end.
  std::shared_ptr<caller_session> Self;
};

} // namespace ebonyvale

#endif
