/// \file
/// State that all requests of a gateway share, and the hand that carries out
/// the decisions of its ledgers.
#ifndef EBONYVALE_GATEWAY_PROCESS_GATEWAY_CORE_H
#define EBONYVALE_GATEWAY_PROCESS_GATEWAY_CORE_H

#include "decisions/process/crash_watch.h"
#include "decisions/process/evidence.h"
#include "decisions/process/instance_roster.h"
#include "decisions/process/refusal_digest.h"
#include "decisions/process/refusal_ledger.h"
#include "decisions/process/retry_allowance.h"
#include "decisions/process/share_ledger.h"
#include "decisions/process/upstream_directory.h"
#include "decisions/process/upstream_scheduler.h"
#include "gateway/process/event_log.h"
#include "gateway/process/fleet_protocol.h"
#include "gateway/process/gateway_metrics.h"
#include "gateway/process/gateway_settings.h"
#include "net/client_connection.h"
#include "net/timer.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace ebonyvale {

/// A request that waits for tokens.
class token_waiter {
public:
  virtual ~token_waiter() = default;
  virtual void onTokens(const reservation &Reserved) = 0;
  virtual void onNoTokens(const share_refuse &Refusal) = 0;
};

/// Carries messages to peers. Messages may be lost.
class peer_messenger {
public:
  virtual ~peer_messenger() = default;
  virtual void sendAsk(const std::string &Peer, const share_ask &Ask) = 0;
  virtual void sendReturn(const std::string &Peer,
                          const share_return &Return) = 0;
  /// An upstream was lost while it ran a request.
  virtual void sendLoss(request_fingerprint Request, engine_id Upstream) = 0;
  /// An upstream gets no new work for \p For; zero: work may go on.
  virtual void sendPause(const std::string &Upstream, span_ns For) = 0;
  /// An upstream has taken new weights.
  virtual void sendWeights(const std::string &Upstream,
                           const std::string &Model, std::int64_t Version) = 0;
};

/// Translations to the platform in use.
struct platform_protocols {
  const document_reader &Documents;
  const caller_protocol &Callers;
  const upstream_protocol &Upstreams;
};

/// Used from one loop only.
class gateway_core {
public:
  gateway_core(event_base *Base, const gateway_settings &Settings,
               const platform_protocols &Protocols, std::uint64_t Boot);

  event_base *base() const { return Base; }
  const gateway_settings &settings() const { return Settings; }
  const platform_protocols &protocols() const { return Protocols; }
  event_log &log() { return Log; }
  gateway_metrics &counters() { return Metrics; }
  client_connection_pool &links() { return Links; }
  upstream_directory &directory() { return Directory; }
  upstream_scheduler &scheduler() { return Scheduler; }
  instance_roster &roster() { return Roster; }
  const instance_roster &roster() const { return Roster; }
  evidence &proof() { return Proof; }
  const evidence_terms &proofTerms() const { return ProofTerms; }
  share_ledger &shares() { return Shares; }
  crash_watch &crashes() { return Crashes; }
  refusal_ledger &refusals() { return Refusals; }
  refusal_digest &digest() { return Digest; }
  std::uint64_t boot() const { return Boot; }
  std::string_view keySecret() const { return KeySecret; }
  instant started() const { return Started; }

  /// The version in force; null before the first one.
  const routing_table_ptr &routing() const { return Routing; }

  /// Brings a version into force; an older one is ignored.
  void setRouting(routing_table Table, instant Now);

  /// The directory has changed.
  void onDirectory();

  /// The other instances have been read; until then this one owns no part of
  /// the limits, since it cannot know how small its part is.
  void onRosterKnown(instant Now);
  bool rosterKnown() const { return RosterKnown; }

  /// Divides the limits anew when the number of instances has changed.
  void updateShares(instant Now);

  void setMessenger(peer_messenger *Target) { Messenger = Target; }
  peer_messenger *messenger() { return Messenger; }

  std::uint64_t enter() { return ++LastNumber; }
  void requestStarted() { Metrics.OpenRequests.Set(double(++Open)); }
  void requestEnded() { Metrics.OpenRequests.Set(double(--Open)); }
  std::size_t openRequests() const { return Open; }

  /// Asks for tokens; the waiter hears of the outcome, maybe at once.
  void requestTokens(std::uint64_t Number, std::string_view Team, double Tokens,
                     const std::weak_ptr<token_waiter> &Waiter);
  void withdrawTokens(std::uint64_t Number, std::string_view Team);
  void onShareReply(const std::string &Peer, const share_reply &Reply);

  /// The retry budget of a service.
  void countRequest(std::string_view Service, instant Now);
  bool takeRetry(std::string_view Service, instant Now);

  /// An upstream was lost while it may have run a request; tells the peers.
  void reportLoss(request_fingerprint Request, std::string_view Upstream,
                  instant Now);

  /// Records, counts and logs a refusal.
  void recordRefusal(refusal Refusal, std::string_view RequestId, int Status,
                     span_ns RetryAfter);

  /// Port on which this instance hears its peers, once it listens.
  void setPeerPort(std::uint16_t Port) { PeerPort = Port; }
  std::uint16_t peerPort() const { return PeerPort; }

  /// Whether the instance takes new requests.
  bool ready(instant Now) const;
  void setLeaving() { Leaving = true; }
  bool leaving() const { return Leaving; }

private:
  void carryOut(const std::vector<share_action> &Actions);
  void armShareTimer();
  void describeEngines();
  team_limits limitsOf(const team_entry &Team) const;

  event_base *Base;
  const gateway_settings &Settings;
  platform_protocols Protocols;
  std::uint64_t Boot;
  instant Started;
  std::string KeySecret; ///< of this process only; keys never leave it
  event_log Log;
  gateway_metrics Metrics;
  client_connection_pool Links;
  routing_table_ptr Routing;
  upstream_directory Directory;
  upstream_scheduler Scheduler;
  instance_roster Roster;
  evidence Proof;
  evidence_terms ProofTerms;
  share_ledger Shares;
  crash_watch Crashes;
  refusal_ledger Refusals;
  refusal_digest Digest; ///< what the store has not been told of yet
  retry_terms RetryTerms;
  std::map<std::string, retry_allowance, std::less<>> Retries;
  std::unordered_map<std::uint64_t, std::weak_ptr<token_waiter>> Waiters;
  std::size_t Sharers = 0; ///< 0: the limits are not divided yet
  bool RosterKnown = false;
  std::uint64_t LastNumber = 0;
  std::size_t Open = 0;
  peer_messenger *Messenger = nullptr;
  std::uint16_t PeerPort = 0;
  timer ShareTimer;
  bool Leaving = false;
};

/// Number of an upstream in the crash watch, the same on every instance.
engine_id upstreamNumber(std::string_view Upstream);

} // namespace ebonyvale

#endif
