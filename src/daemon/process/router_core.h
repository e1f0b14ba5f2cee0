/// \file
/// State shared by the components of one daemon. Executes the actions that the
/// scheduling and quota decisions return.
#ifndef EBONYVALE_DAEMON_PROCESS_ROUTER_CORE_H
#define EBONYVALE_DAEMON_PROCESS_ROUTER_CORE_H

#include "daemon/process/daemon_settings.h"
#include "daemon/process/metrics.h"
#include "daemon/process/tracing.h"
#include "decisions/process/caller_memory.h"
#include "decisions/process/crash_tracker.h"
#include "decisions/process/dispatcher.h"
#include "decisions/process/engine_table.h"
#include "decisions/process/quota_ledger.h"
#include "decisions/process/refusal_log.h"
#include "decisions/process/retry_budget.h"
#include "decisions/version/configuration.h"
#include "net/timer.h"
#include "net/upstream_exchange.h"

#include <map>
#include <memory>
#include <string>
#include <unordered_map>

namespace ebonyvale {

/// Receives the decisions about one request.
class request_observer {
public:
  virtual ~request_observer() = default;
  /// Called when the team's limits admit the request.
  virtual void onAdmitted(const reservation &Reserved) = 0;
  /// Called when the team's limits do not admit the request.
  virtual void onAdmissionRefused(const refuse_action &Refusal) = 0;
  /// Called to send the request to the upstream in \p Start.
  virtual void onDispatchStarted(const dispatch_start &Start) = 0;
  /// Called when no upstream can run the request.
  virtual void onDispatchRefused(const dispatch_refuse &Refusal) = 0;

  /// Called when a new configuration takes effect while the request is open.
  virtual void onConfigurationChange(const configuration &Config) = 0;
};

/// Sends messages to other instances.
class peer_message_sender {
public:
  virtual ~peer_message_sender() = default;
  /// Asks \p Peer to lend tokens.
  virtual void sendLendRequest(const std::string &Peer,
                               const lend_request &Request) = 0;
  /// Returns unused borrowed tokens to \p Peer, or reports that all are spent.
  virtual void sendLendReturn(const std::string &Peer,
                              const lend_return &Return) = 0;
  /// Reports a quarantined request to all peers.
  virtual void sendQuarantine(request_fingerprint Request) = 0;
  /// Reports that the prefix starting with the piece \p FirstPiece was placed
  /// on \p Engine.
  virtual void sendHint(piece_hash FirstPiece, const std::string &Engine) = 0;
};

/// Receives events that must be passed on to other instances.
class core_observer {
public:
  virtual ~core_observer() = default;
  /// Called when a new configuration version has taken effect.
  virtual void onVersionChange() = 0;
  /// Called when a request has been refused.
  virtual void onRefusal(const refusal &Refusal) = 0;
};

/// Holds the daemon's state and connects requests with admission, scheduling
/// and peers. Not thread-safe: all members are used from one event loop.
class router_core {
public:
  /// \p BootId distinguishes processes that ran under the same instance name.
  router_core(event_base *Base, const daemon_settings &Settings,
              std::uint64_t BootId);

  const daemon_settings &settings() const { return Settings; }
  event_base *base() const { return Base; }
  evhttp_connection_pool &connections() { return Connections; }
  metrics &counters() { return Metrics; }
  const opentracing::Tracer &tracer() const { return *Tracer; }
  engine_table &engines() { return Engines; }
  refusal_log &refusals() { return Refusals; }
  crash_tracker &crashes() { return Crashes; }
  quota_ledger &shares() { return Shares; }
  std::uint64_t bootId() const { return BootId; }
  caller_memory &callerMemory() { return CallerMemory; }

  /// Returns the current configuration; null before the first version.
  const configuration_ptr &currentConfig() const { return Config; }

  /// Makes \p Next the current configuration. Ignores it unless it is newer.
  void setConfiguration(configuration_ptr Next, const clock_reading &At);

  /// Sets whether this instance owns a quota share. Without one it can only
  /// admit requests with tokens borrowed from peers.
  void setOwnsQuotaShare(bool Owns);

  /// Sets the sender of peer messages. While it is null, messages are dropped.
  void setMessenger(peer_message_sender *Target) { Messenger = Target; }

  /// Sets the observer; null for none.
  void setObserver(core_observer *Target) { Observer = Target; }

  /// Registers an open request and returns its number.
  std::uint64_t registerRequest(const std::weak_ptr<request_observer> &Request);
  void unregisterRequest(std::uint64_t Number);
  std::size_t openRequests() const { return Requests.size(); }

  /// Requests tokens from the team's limits. The observer of the request is
  /// notified of the outcome, possibly before this returns.
  void requestTokens(std::uint64_t Number, std::string_view Team,
                     const token_cost &Cost);

  /// Cancels a pending `requestTokens`.
  void withdrawTokens(std::uint64_t Number, std::string_view Team);

  /// Submits a request for scheduling. Its observer is notified of the outcome,
  /// possibly before this returns.
  void submit(dispatch_request Request);

  /// Cancels a submission that has not been dispatched.
  void withdrawSubmission(std::uint64_t Number);

  /// Reports that a dispatched request has ended after using \p Tokens.
  void finishRequest(std::uint64_t Number, double Tokens);

  /// Reports that \p Engine was lost or refused a connection. It receives no
  /// requests for a while.
  void reportFailure(engine_id Engine);

  /// Reports that the engine found \p Cached of the request's pieces in its
  /// cache.
  void reportCacheHits(const dispatch_start &Start, std::size_t Cached) {
    Dispatcher.onUsage(Start, Cached);
  }

  /// Reports to all peers that \p Request is quarantined.
  void announceQuarantine(request_fingerprint Request) {
    if (Messenger)
      Messenger->sendQuarantine(Request);
  }

  /// Takes one retry from the team's retry budget. Returns false when the
  /// budget is exhausted.
  bool tryRetry(const std::string &Team);

  /// Credits the team's retry budget for a first attempt.
  void countFirstAttempt(const std::string &Team);

  /// Records, logs and counts a refusal. Returns it with its reference.
  const refusal &recordRefusal(refusal Refusal);

  /// Handles a peer's hint that it placed a prefix on \p Engine.
  void onPlacementHint(piece_hash FirstPiece, std::string_view Engine);

  /// Handles a peer's request to borrow tokens and returns the response.
  lend_response onLendRequest(std::string_view Peer,
                              const lend_request &Request);

  /// Handles a peer's response to a request to borrow tokens.
  void onLendResponse(const std::string &Peer, const lend_response &Response);

  /// Returns whether the readiness probe succeeds: a configuration is loaded
  /// and the process is not stopping.
  bool ready() const { return Config && !Leaving; }

  /// Turns readiness off. Requests are still accepted, since callers notice the
  /// change with a delay.
  void setLeaving() { Leaving = true; }

  /// Returns whether new requests are refused because the process is stopping.
  bool refusesNewRequests() const { return RefusesNewRequests; }
  void setRefusesNewRequests() { RefusesNewRequests = true; }

private:
  void execute(const std::vector<quota_action> &Actions);
  void execute(const dispatch_actions &Actions);
  std::shared_ptr<request_observer> findRequest(std::uint64_t Number) const;
  void armShareTimer(instant Now);
  void applyLimits(instant Now);

  event_base *Base;
  const daemon_settings &Settings;
  std::uint64_t BootId;
  metrics Metrics;
  caller_memory CallerMemory;
  std::shared_ptr<opentracing::Tracer> Tracer;
  configuration_ptr Config;
  engine_table Engines;
  dispatcher Dispatcher;
  quota_ledger Shares;
  refusal_log Refusals;
  crash_tracker Crashes;
  std::map<std::string, retry_budget, std::less<>> RetryBudgets;
  std::unordered_map<std::uint64_t, std::weak_ptr<request_observer>> Requests;
  std::uint64_t LastRequestNumber = 0;
  peer_message_sender *Messenger = nullptr;
  core_observer *Observer = nullptr;
  timer ShareTimer;
  evhttp_connection_pool Connections;
  bool OwnsQuotaShare = true;
  bool Leaving = false;
  bool RefusesNewRequests = false;
};

} // namespace ebonyvale

#endif
