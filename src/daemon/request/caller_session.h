/// \file
/// One request of a caller, from its head to the end of its answer.
#ifndef EBONYVALE_DAEMON_REQUEST_CALLER_SESSION_H
#define EBONYVALE_DAEMON_REQUEST_CALLER_SESSION_H

#include "daemon/process/router_core.h"
#include "decisions/request/answer_flow.h"
#include "decisions/request/caller_check.h"
#include "net/response_writer.h"
#include "net/timer.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace ebonyvale {

/// What sessions to engines and to plain upstreams have in common: the
/// caller's side, the wait for tokens and for an upstream, the deadline and
/// the refusal. A session keeps itself alive until its answer has ended.
class caller_session : public request_party,
                       public response_writer_observer,
                       public exchange_observer,
                       public std::enable_shared_from_this<caller_session> {
public:
  caller_session(router_core &Core, evhttp_request *Request,
                 configuration_ptr Config, const caller_grant &Grant,
                 std::string Route, span_ns Deadline);

  /// Takes the request into the core and asks for its tokens, or goes on at
  /// once when the route is open to all.
  void begin(const token_cost &Cost);

  // request_party
  void onAdmitted(const reservation &Reserved) override;
  void onLimited(const share_refuse &Refusal) override;
  void onStarted(const dispatch_start &Start) override;
  void onNotStarted(const dispatch_refuse &Refusal) override;
  void onConfiguration(const configuration &Config) override;

  // response_writer_observer
  void onClientDisconnected() override;
  void onDrained() override;

  // exchange_observer
  void onLost(exchange_stage Stage) override;

protected:
  /// What the upstreams are asked for; called for every attempt.
  virtual dispatch_request makeSubmission() = 0;
  /// The request of the present attempt.
  virtual outgoing_request makeRequest(const dispatch_start &Start) = 0;
  /// Called when the answer has begun and cannot become a refusal any more.
  virtual void sendInterruption(const refusal &Refusal) = 0;
  /// Tokens used so far, for settling.
  virtual double usedTokens() const = 0;

  /// Rules of the attempts.
  virtual flow_rules rules() const = 0;

  /// Passes bytes on to the caller and slows the upstream if need be.
  void deliver(std::string_view Bytes);

  /// Adds bytes to an answer that is held until it is whole; refuses when it
  /// is over the bound.
  void collect(std::string_view Bytes, std::string &Whole);

  /// The answer is whole and has been handed to the caller.
  void succeed();

  /// Answers with a refusal, or interrupts an answer that has begun.
  void refuse(error_kind Kind, std::string Detail = {},
              span_ns RetryAfter = span_ns(0), limit_figures Figures = {});

  /// Carries out what the flow decided after a lost attempt.
  void follow(const flow_step &Step);

  /// Gives the present attempt up and carries out what follows.
  void loseAttempt(exchange_stage Stage);

  /// Ends the present attempt's work at its upstream.
  void endAttempt();

  /// Prefers other upstreams for further attempts.
  void avoidUpstream() { Failed.push_back(Start.Engine); }

  /// Takes the present attempt's upstream for lost.
  void blameUpstream();

  /// Trace context for the present attempt's upstream.
  std::string traceparent() const {
    return contextOf(*AttemptSpan).traceparent();
  }

  answer_flow &flow() { return Flow; }
  clock_reading startedAt() const { return Started; }
  router_core &core() { return Core; }
  response_writer &reply() { return Reply; }
  const configuration &config() const { return *Config; }
  const caller_grant &grant() const { return Grant; }
  const std::string &team() const { return Team; }
  const dispatch_start &attemptStart() const { return Start; }
  span_ns timeLeft() const;
  std::uint64_t number() const { return Number; }
  const std::vector<engine_id> &failedUpstreams() const { return Failed; }
  instant deadline() const { return Deadline; }
  void setFingerprint(request_fingerprint Value) { Fingerprint = Value; }
  bool suspected();
  bool retryAllowed();
  void dropExchange();

private:
  enum class phase { Limits, Queue, Upstream, Ended };

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
  phase Phase = phase::Limits;
  response_writer Reply;
  std::optional<reservation> Reserved;
  std::unique_ptr<opentracing::Span> RequestSpan;
  std::unique_ptr<opentracing::Span> AttemptSpan;
  answer_flow Flow;
  dispatch_start Start{};
  bool Running = false; ///< counted as work at its upstream
  std::shared_ptr<upstream_exchange> Exchange;
  std::vector<engine_id> Failed;
  std::optional<request_fingerprint> Fingerprint;
  timer DeadlineTimer;
  std::shared_ptr<caller_session> Self; ///< held until the answer has ended
};

} // namespace ebonyvale

#endif
