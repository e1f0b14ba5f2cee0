/// \file
/// One request of a caller, from its head to the end of its response.
#ifndef EBONYVALE_GATEWAY_REQUEST_FORWARD_SESSION_H
#define EBONYVALE_GATEWAY_REQUEST_FORWARD_SESSION_H

#include "decisions/process/response_activity.h"
#include "decisions/request/forward_admission.h"
#include "decisions/request/forward_flow.h"
#include "decisions/request/sse_events.h"
#include "gateway/process/gateway_core.h"
#include "gateway/process/origin_task.h"
#include "gateway/request/relay_protocol.h"
#include "gateway/request/response_buffer.h"
#include "net/server_connection.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace ebonyvale {

/// Receives the weights versions that responses of upstreams state.
class session_observer {
public:
  virtual ~session_observer() = default;
  /// A response of \p Upstream stated that it holds \p Version of \p Model.
  virtual void onUpstreamWeights(std::string_view Upstream,
                                 std::string_view Model,
                                 std::int64_t Version) = 0;
};

/// Whether the loss of a response suggests that the request crashed its
/// upstream.
enum class crash_evidence {
  None,
  Unexplained, ///< the connection may have been idle for too long
  Lost,        ///< the upstream was lost while it may have run the request
};

/// Forwards one request to an upstream, retries it at others where that is
/// allowed, and responds to the caller. Keeps itself alive until the response
/// has ended.
class forward_session final
    : public open_request,
      public token_waiter,
      public origin_waiter,
      public read_waiter,
      public verification_waiter,
      public end_waiter,
      public client_observer,
      public response_observer,
      public std::enable_shared_from_this<forward_session> {
public:
  forward_session(gateway_core &Core, session_observer &Observer,
                  std::shared_ptr<server_connection> Caller,
                  http_request Request);
  ~forward_session() override;

  /// Admits, schedules and forwards the request, or refuses it.
  void begin();

  // open_request
  void endForStop() override;

  // token_waiter
  void onTokensReserved(const reservation &Reserved) override;
  void onTokensRefused(const refuse_action &Refusal) override;

  // origin_waiter
  void onOrigin(const std::optional<stream_writer> &Known) override;

  // read_waiter
  void onStoreRead(bool IsCurrent) override;

  // verification_waiter
  void onVerified(std::string_view Upstream) override;

  // end_waiter
  void onEndJudged(end_verdict Verdict, end_proof Proof) override;

  // client_observer
  void onClientDisconnected() override;
  void onClientDrained() override;

  // response_observer
  void onConnectionOpened() override;
  response_action onResponseHead(const http_head &Head,
                                 bool FirstOnConnection) override;
  void onResponseBody(std::string_view Bytes) override;
  void onResponseEnd() override;
  void onResponseLost(const exchange_loss &Loss) override;

private:
  /// Checks the request and sets its route, team, deadline and prompt segments.
  /// Returns the reason if it is refused.
  std::optional<forward_refusal> admit(instant Now);
  /// Finds out which software version began the stream that the request
  /// resumes, if it resumes one, and schedules the request.
  void findOrigin();
  /// Takes the origin of the stream, which no instance has recorded, from what
  /// the route has led to lately. Refuses the request and returns nothing if
  /// that leaves several.
  std::optional<std::string> onlyOrigin(instant Now);
  /// Goes on with the stream that \p Software began.
  void continueStream(std::string Software);
  /// Asks the upstream of \p Chosen, which is to continue the stream, for the
  /// process that it runs. Returns whether an answer is due.
  bool askForProof(const schedule_choice &Chosen, instant Now);
  /// Returns whether the stream would go on at \p Chosen without it being known
  /// which process runs there.
  bool lacksProof(const schedule_choice &Chosen) const;
  /// Records which software version has begun the stream.
  void recordOrigin(instant Now);
  /// Returns whether `StreamSoftware` certainly began the stream, as it was
  /// then or as the upstream has stated since.
  bool isOriginCertain() const {
    return OriginCertain || (OriginConfirmed && *OriginConfirmed);
  }
  /// Chooses an upstream and sends the request, or refuses it.
  void schedule();
  /// Returns the reason if the service has no room for the request, which
  /// \p Chosen is to run.
  std::optional<forward_refusal> askForRoom(const schedule_choice &Chosen,
                                            instant Now);
  /// Returns the team's priority, or else the route's; 0 is the most urgent.
  int priority() const {
    return Team && Team->Priority ? *Team->Priority : Route->Priority;
  }
  void send(const schedule_choice &Choice, instant Now);
  schedule_query makeQuery(instant Now) const;
  /// Returns what a request for which no upstream was chosen has asked for.
  std::string scheduleDetail() const;
  /// Returns after which time a new request may be served that this one's
  /// upstreams have not.
  span_ns retryAfter(instant Now) const;
  /// Tells the scheduler how long the current response, which is complete,
  /// took.
  void recordCost(instant Now);
  /// Frees the capacity that the current attempt holds at its upstream.
  void endAttempt(instant Now);
  /// Handles the head of an upstream's response, which came directly or through
  /// a relay.
  response_action onUpstreamHead(const http_head &Head, bool FirstOnConnection,
                                 instant Now);
  /// Handles the end of the current attempt: retries, forwards the upstream's
  /// own response or refuses.
  void onAttemptEnd(attempt_outcome End, std::string_view Reason);
  /// Cancels the current attempt, for whose response no buffer is left.
  void refuseBuffer();
  /// Cancels the current attempt, whose response is unusable though not ended.
  void abortAttempt(std::string_view Reason);
  /// Returns whether the current response, whose end was read, is a stream that
  /// its upstream broke off.
  bool isBrokenStream() const;
  /// Handles the current response, which is complete.
  void completeResponse();
  /// Cancels the current attempt, if there is one. Returns whether there was.
  bool cancelAttempt();
  /// Handles a response that was lost after the request was sent.
  void loseAttempt(std::string_view Reason, crash_evidence Evidence);
  /// Has it found out whether the upstream has ended with the current attempt.
  void inquireLoss(instant Now);
  /// Returns how far the lost attempt had come, or nothing if a part of the
  /// response had arrived.
  std::optional<loss_stage> lossStage() const;
  /// Returns why the request must not be sent to an upstream: it crashes those
  /// that run it, or a segment of its prompt does.
  std::optional<forward_refusal>
  quarantine(std::optional<span_ns> SegmentsBlockedFor, instant Now) const;
  /// Returns whether the current attempt is sent through a peer.
  bool isRelayed() const { return Choice && !Choice->Relay.empty(); }
  /// Handles an attempt for which the relay has no response of an upstream.
  void onRelayOutcome(relay_outcome Outcome);
  /// Handles the loss of the connection to the relay.
  void onRelayLost(const exchange_loss &Loss);
  /// Handles an attempt that was not sent through the relay.
  void onRelayFailed(relay_failure Failure, std::string_view Reason);
  /// Handles the response of an upstream that did not run the request.
  void onNotRun();
  /// Abandons the current attempt if it has not begun: its engine's weights
  /// have been replaced for too long.
  void onStartDeadline();
  /// Ends without a successful response: refuses, or closes the connection if a
  /// response has begun.
  void fail(forward_decision Next, const forward_refusal &Reason);
  void refuse(const forward_refusal &Reason);
  /// Returns whether the upstream has restarted with another software version
  /// since the request was sent.
  bool isSoftwareReplaced() const;
  void forwardResponse();
  void beginStream();
  /// Forwards the events that \p Bytes complete. Returns false if an event does
  /// not follow the last one delivered or is too long.
  bool deliverEvents(std::string_view Bytes);
  /// Forwards \p Bytes, which count as a part of the response.
  void deliver(std::string_view Bytes);
  /// Forwards \p Bytes, and stops reading while the caller does.
  void passOn(std::string_view Bytes);
  /// Records what the current response, which is complete, says of the version
  /// of its upstream's software.
  void recordOutcome(bool Failed, std::optional<span_ns> Latency, instant Now);
  /// Records the same of an attempt that is ended by the deadline.
  void recordUnfinished(instant Now);
  /// Records once in each attempt that its response has begun.
  void recordResponseBegun();
  /// Records the time to the first bytes of the response, once.
  void recordFirstBytes();
  void finish(std::string_view Outcome);
  void onDeadline();
  /// Cancels the current attempt, if there is one, and ends the request.
  void giveUp(const forward_refusal &Reason, instant Now);
  span_ns timeLeft(instant Now) const { return Deadline - Now; }

  gateway_core &Core;
  session_observer &Observer;
  std::shared_ptr<server_connection> Caller;
  http_request Request;
  caller_request ParsedRequest;
  routing_table_ptr Routing;
  const forward_route *Route = nullptr;
  const team_entry *Team = nullptr;
  std::string Service;
  std::string CacheScope;
  std::vector<prompt_segment> PromptSegments;
  std::vector<segment_id> Segments; ///< of the prompt, whatever precedes them
  request_fingerprint Fingerprint = 0;
  instant ArrivedAt;
  instant Deadline;
  std::uint64_t SessionNumber = 0;
  bool AwaitingTokens = false;
  std::optional<reservation> Reserved;
  forward_flow Flow{forward_options{}};
  std::vector<std::string> Tried;
  /// Could not be connected to, or did not state their process.
  std::vector<std::string> Unreached;
  int RelayFailures = 0; ///< attempts that relays did not send

  // The current attempt.
  std::shared_ptr<client_connection> Exchange;
  std::optional<schedule_choice> Choice;
  upstream_process Target;
  instant SentAt;
  response_activity Activity;
  http_head Response;
  std::optional<relay_outcome> RelayOutcome;
  response_info ResponseInfo;
  bool HeadReceived = false;
  bool BodyReceived = false;  ///< of this attempt, at least a byte
  bool ResponseBegun = false; ///< an event, or a byte of another body
  /// The caller can tell by the response itself where it ends.
  bool HasCallerFraming = true;
  bool AwaitingEnd = false;         ///< until the response's end is judged
  bool ReusedConnection = false;    ///< that was lost in this attempt
  bool ReadingPaused = false;       ///< since the caller did not read
  std::size_t RefusalBodyBytes = 0; ///< of a response that states "not run"
  timer RefusalTimer;               ///< ends the wait for the rest of it
  timer StartTimer;                 ///< until the request must have begun
  response_buffer ResponseBody;     ///< body of a response that is not streamed

  // The response to the caller.
  bool Streaming = false;
  /// Forward whole events only, so that another upstream can resume the stream.
  bool ForwardWholeEvents = false;
  sse_splitter Splitter;
  buffer_lease PartialEvent;         ///< the bytes that `Splitter` holds
  event_boundary_tracker Boundaries; ///< of the current upstream's stream
  /// Version that began the stream, once that is known. Only upstreams with it
  /// may continue the stream.
  std::string StreamSoftware;
  std::string AttemptSoftware; ///< of the current attempt's upstream
  /// Whether the current attempt's upstream was not slow from its start, and
  /// has the shared segments of the prompt cached.
  bool CountsLatency = false;
  std::optional<span_ns> FirstByteAfter; ///< of the current attempt's response
  /// Whether that was certain when the stream began.
  bool OriginCertain = true;
  /// Whether it has become so since; null if that is not awaited.
  std::shared_ptr<const bool> OriginConfirmed;
  /// End of the wait for upstreams to state their process, since the last
  /// attempt.
  std::optional<instant> VerifyUntil;
  std::string AskedUpstream; ///< while it is asked for its process
  timer VerifyTimer;
  /// Last event that was delivered, or that the caller already had.
  std::optional<std::int64_t> LastEvent;
  bool FirstBytesSeen = false;
  instant FirstBytesAt;
  bool Ended = false;
  timer DeadlineTimer;
  /// Keeps the session alive until the response has ended.
  std::shared_ptr<forward_session> Self;
};

} // namespace ebonyvale

#endif
