/// \file
/// One request of a caller, from its head to the end of its answer.
#ifndef EBONYVALE_GATEWAY_REQUEST_FORWARD_SESSION_H
#define EBONYVALE_GATEWAY_REQUEST_FORWARD_SESSION_H

#include "decisions/request/forward_admission.h"
#include "decisions/request/forward_flow.h"
#include "decisions/request/sse_events.h"
#include "gateway/process/gateway_core.h"
#include "net/server_connection.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace ebonyvale {

/// What a session needs to tell besides its core.
class session_observer {
public:
  virtual ~session_observer() = default;
  /// An answer told which weights an upstream holds.
  virtual void onUpstreamWeights(std::string_view Upstream,
                                 std::string_view Model,
                                 std::int64_t Version) = 0;
};

/// Keeps itself alive until its answer has ended.
class forward_session final
    : public token_waiter,
      public client_observer,
      public response_observer,
      public std::enable_shared_from_this<forward_session> {
public:
  forward_session(gateway_core &Core, session_observer &Observer,
                  std::shared_ptr<server_connection> Caller,
                  http_request Request);
  ~forward_session() override;

  /// Admits, places and forwards the request, or refuses it.
  void begin();

  // token_waiter
  void onTokens(const reservation &Reserved) override;
  void onNoTokens(const share_refuse &Refusal) override;

  // client_observer
  void onClientDisconnected() override;
  void onClientDrained() override;

  // response_observer
  response_action onResponseHead(const http_head &Head,
                                 bool FirstOnConnection) override;
  void onResponseBody(std::string_view Bytes) override;
  void onResponseEnd() override;
  void onResponseLost(const exchange_loss &Loss) override;

private:
  std::optional<forward_refusal> admit(instant Now);
  void place();
  void send(const schedule_choice &Choice, instant Now);
  schedule_query query(instant Now) const;
  void endAttempt(instant Now);
  void follow(attempt_end End, std::string_view Reason);
  /// The present attempt is of no use although its answer goes on.
  void abandon(std::string_view Reason);
  void finishUnserved(forward_next Next, const forward_refusal &Reason);
  void refuse(const forward_refusal &Reason);
  void passAnswerOn();
  void beginStream();
  bool deliverEvents(std::string_view Bytes);
  void deliver(std::string_view Bytes);
  void noteFirstPart();
  void finish(std::string_view Outcome);
  void onDeadline();
  span_ns timeLeft(instant Now) const { return Deadline - Now; }

  gateway_core &Core;
  session_observer &Observer;
  std::shared_ptr<server_connection> Caller;
  http_request Request;
  caller_request Facts;
  routing_table_ptr Routing;
  const forward_route *Route = nullptr;
  const team_entry *Team = nullptr;
  std::string Service;
  std::string CacheScope;
  std::vector<prompt_part> Parts;
  request_fingerprint Fingerprint = 0;
  instant Arrived;
  instant Deadline;
  std::uint64_t Number = 0;
  bool WaitsForTokens = false;
  std::optional<reservation> Reserved;
  forward_flow Flow{forward_rules{}};
  std::vector<std::string> Tried;

  // The present attempt.
  std::shared_ptr<client_connection> Exchange;
  std::optional<schedule_choice> Choice;
  instant SentAt;
  http_head Answer;
  answer_facts AnswerFacts;
  bool HeadSeen = false;
  std::string Whole; ///< body of an answer that is passed on as a whole

  // The answer to the caller.
  bool Streaming = false;
  bool PassEvents = false; ///< whole events only, so that another may go on
  sse_splitter Splitter;
  std::optional<std::int64_t> LastEvent; ///< delivered, or had by the caller
  bool SawFirstPart = false;
  instant FirstPartAt;
  bool Ended = false;
  timer DeadlineTimer;
  std::shared_ptr<forward_session> Self; ///< held until the answer has ended
};

} // namespace ebonyvale

#endif
