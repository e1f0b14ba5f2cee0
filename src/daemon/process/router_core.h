/// \file
/// The state of one daemon and the hand that carries out its decisions.
#ifndef EBONYVALE_DAEMON_PROCESS_ROUTER_CORE_H
#define EBONYVALE_DAEMON_PROCESS_ROUTER_CORE_H

#include "daemon/process/daemon_settings.h"
#include "daemon/process/metrics.h"
#include "daemon/process/tracing.h"
#include "decisions/process/crash_watch.h"
#include "decisions/process/dispatcher.h"
#include "decisions/process/engine_table.h"
#include "decisions/process/refusal_ledger.h"
#include "decisions/process/retry_budget.h"
#include "decisions/process/share_ledger.h"
#include "decisions/version/configuration.h"
#include "net/timer.h"
#include "net/upstream_exchange.h"

#include <map>
#include <memory>
#include <string>
#include <unordered_map>

namespace ebonyvale {

/// A request as the core sees it: told of decisions that come later.
class request_party {
public:
  virtual ~request_party() = default;
  virtual void onAdmitted(const reservation &Reserved) = 0;
  virtual void onLimited(const share_refuse &Refusal) = 0;
  virtual void onStarted(const dispatch_start &Start) = 0;
  virtual void onNotStarted(const dispatch_refuse &Refusal) = 0;

  /// A version came into force while the request runs.
  virtual void onConfiguration(const configuration &Config) = 0;
};

/// Sends messages between share ledgers.
class share_messenger {
public:
  virtual ~share_messenger() = default;
  virtual void sendAsk(const std::string &Peer, const share_ask &Ask) = 0;
  virtual void sendReturn(const std::string &Peer,
                          const share_return &Return) = 0;
  virtual void sendQuarantine(request_fingerprint Request) = 0;
  virtual void sendHint(piece_hash Front, const std::string &Engine) = 0;
};

/// Hears of what other instances have to be told.
class core_observer {
public:
  virtual ~core_observer() = default;
  virtual void onVersion() = 0;
  virtual void onRefusal(const refusal &Refusal) = 0;
};

/// Owned by the daemon's task; all of its members are used from one loop.
class router_core {
public:
  /// \p Boot tells apart processes that ran under the same name.
  router_core(event_base *Base, const daemon_settings &Settings,
              std::uint64_t Boot);

  const daemon_settings &settings() const { return Settings; }
  event_base *base() const { return Base; }
  evhttp_connection_pool &connections() { return Connections; }
  metrics &counters() { return Metrics; }
  const opentracing::Tracer &tracer() const { return *Tracer; }
  engine_table &engines() { return Engines; }
  refusal_ledger &refusals() { return Refusals; }
  crash_watch &crashes() { return Crashes; }
  share_ledger &shares() { return Shares; }
  std::uint64_t boot() const { return Boot; }

  /// The version in force; null before the first one.
  const configuration_ptr &inForce() const { return Config; }

  /// Brings a version into force. Older versions are ignored.
  void setConfiguration(configuration_ptr Next, const clock_reading &At);

  /// Whether this instance owns a part of the limits; without one it admits
  /// only what peers lend.
  void setOwnsSlot(bool Owns);

  /// Carries messages to the peers' ledgers; null while there is none.
  void setMessenger(share_messenger *Target) { Messenger = Target; }

  void setObserver(core_observer *Target) { Observer = Target; }

  /// Registers a request under a new number.
  std::uint64_t enter(const std::weak_ptr<request_party> &Party);
  void leave(std::uint64_t Number);
  std::size_t openRequests() const { return Parties.size(); }

  /// Asks for tokens; the party hears of the outcome, maybe at once.
  void requestTokens(std::uint64_t Number, std::string_view Team,
                     const token_cost &Cost);
  void withdrawTokens(std::uint64_t Number, std::string_view Team);

  /// Asks for an upstream; the party hears of the outcome, maybe at once.
  void submit(dispatch_request Request);
  void withdrawSubmission(std::uint64_t Number);

  /// A started request has ended after using \p Tokens.
  void endWork(std::uint64_t Number, double Tokens);

  /// An upstream was lost or refused a connection.
  void reportFailure(engine_id Engine);

  /// What an answer said of the cache.
  void reportUsage(const dispatch_start &Start, std::size_t Cached) {
    Dispatcher.onUsage(Start, Cached);
  }

  /// Tells the peers that a request is quarantined.
  void tellQuarantine(request_fingerprint Request) {
    if (Messenger)
      Messenger->sendQuarantine(Request);
  }

  /// Whether the budgets of the team allow another attempt; takes it.
  bool tryRetry(const std::string &Team);
  void countAttempt(const std::string &Team);

  /// Records a refusal and returns it with its reference.
  const refusal &recordRefusal(refusal Refusal);

  /// Messages of peers.
  void onPlacementHint(piece_hash Front, std::string_view Engine);
  share_reply onShareAsk(std::string_view Peer, const share_ask &Ask);
  void onShareReply(const std::string &Peer, const share_reply &Reply);

  /// Whether the process is stopping, and since when it takes no requests.
  bool ready() const { return Config && !Leaving; }
  void setLeaving() { Leaving = true; }
  bool refusesNew() const { return RefusesNew; }
  void setRefusesNew() { RefusesNew = true; }

private:
  void carryOut(const std::vector<share_action> &Actions);
  void carryOut(const dispatch_actions &Actions);
  std::shared_ptr<request_party> party(std::uint64_t Number) const;
  void armShareTimer(instant Now);
  void applyLimits(instant Now);

  event_base *Base;
  const daemon_settings &Settings;
  std::uint64_t Boot;
  metrics Metrics;
  std::shared_ptr<opentracing::Tracer> Tracer;
  configuration_ptr Config;
  engine_table Engines;
  dispatcher Dispatcher;
  share_ledger Shares;
  refusal_ledger Refusals;
  crash_watch Crashes;
  std::map<std::string, retry_budget, std::less<>> RetryBudgets;
  std::unordered_map<std::uint64_t, std::weak_ptr<request_party>> Parties;
  std::uint64_t LastNumber = 0;
  share_messenger *Messenger = nullptr;
  core_observer *Observer = nullptr;
  timer ShareTimer;
  evhttp_connection_pool Connections;
  bool OwnsSlot = true;
  bool Leaving = false;
  bool RefusesNew = false;
};

} // namespace ebonyvale

#endif
