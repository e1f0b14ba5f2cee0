/// \file
/// State shared by all requests of a gateway, and execution of the actions that
/// the quota share ledger decides on.
#ifndef EBONYVALE_GATEWAY_PROCESS_GATEWAY_CORE_H
#define EBONYVALE_GATEWAY_PROCESS_GATEWAY_CORE_H

#include "decisions/process/buffer_budget.h"
#include "decisions/process/caller_memory.h"
#include "decisions/process/crash_tracker.h"
#include "decisions/process/fleet_retry_budget.h"
#include "decisions/process/freshness.h"
#include "decisions/process/instance_roster.h"
#include "decisions/process/quota_ledger.h"
#include "decisions/process/refusal_aggregator.h"
#include "decisions/process/refusal_log.h"
#include "decisions/process/response_ends.h"
#include "decisions/process/room_control.h"
#include "decisions/process/segment_quarantine.h"
#include "decisions/process/service_releases.h"
#include "decisions/process/software_history.h"
#include "decisions/process/unknown_fields.h"
#include "decisions/process/upstream_directory.h"
#include "decisions/process/upstream_limits.h"
#include "decisions/process/upstream_paths.h"
#include "decisions/process/upstream_scheduler.h"
#include "decisions/version/routing_history.h"
#include "gateway/process/change_exchange.h"
#include "gateway/process/event_log.h"
#include "gateway/process/fleet_protocol.h"
#include "gateway/process/gateway_metrics.h"
#include "gateway/process/gateway_settings.h"
#include "gateway/process/loss_inquiries.h"
#include "gateway/process/release_exchange.h"
#include "net/client_connection.h"
#include "net/timer.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>

namespace ebonyvale {

class document_provider;
class origin_task;

/// Is told of configurations that come into force.
class routing_observer {
public:
  virtual ~routing_observer() = default;
  virtual void onRoutingChanged(const routing_table &Table, instant Now) = 0;
};

/// Receives the outcome of a token request.
class token_waiter {
public:
  virtual ~token_waiter() = default;
  virtual void onTokensReserved(const reservation &Reserved) = 0;
  virtual void onTokensRefused(const refuse_action &Refusal) = 0;
};

/// A request that is open until its response has ended.
class open_request {
public:
  virtual ~open_request() = default;
  /// Ends the request, since the process is about to exit.
  virtual void endForStop() = 0;
};

/// What an instance knows of the beginning of streams.
struct stream_history {
  std::uint64_t Version = 0; ///< of the configuration
  /// See `routing_history::noneBefore`.
  std::optional<instant> NoneBefore;
  std::vector<software_history::sole_version> Software;
};

/// Sends messages to peers; delivery is not guaranteed.
class peer_messenger {
public:
  virtual ~peer_messenger() = default;
  virtual void sendLendRequest(const std::string &Peer,
                               const lend_request &Request) = 0;
  virtual void sendLendReturn(const std::string &Peer,
                              const lend_return &Return) = 0;
  /// Reports to all peers that \p Upstream was lost while it ran \p Request.
  /// \p Losses are those of its prompt's segments if the response had not
  /// begun.
  virtual void sendLoss(request_fingerprint Request, lost_process Upstream,
                        std::span<const segment_loss> Losses) = 0;
  /// Reports to all peers that \p Upstream has ended right after a request
  /// that was passed on for one of them.
  virtual void sendEnded(const lost_process &Upstream) = 0;
  /// Reports to all peers that a request with \p Segments was run completely;
  /// \p Request is given if losses of it were remembered.
  virtual void sendSound(std::optional<request_fingerprint> Request,
                         std::span<const segment_id> Segments) = 0;
  /// Asks all peers to send \p Upstream no new requests for \p For; zero ends
  /// the pause.
  virtual void sendPause(const std::string &Upstream, span_ns For) = 0;
  /// Polls \p Peer for changes of the store.
  virtual void sendChangePoll(const std::string &Peer,
                              const change_poll &Poll) = 0;
  /// Answers a poll of \p Peer.
  virtual void sendChanges(const std::string &Peer,
                           const change_response &Response) = 0;
  /// Reports to all peers that \p Upstream has loaded new weights.
  virtual void sendWeights(const std::string &Upstream,
                           const std::string &Model, std::int64_t Version) = 0;
  /// Reports to all peers that an upstream has named a limit, or ended it.
  virtual void sendLimit(const named_limit &Limit) = 0;
  /// Sends the encoded records \p Origins on streams to \p Peer.
  virtual void sendOrigins(const std::string &Peer,
                           std::string_view Origins) = 0;
  /// Asks \p Peer which software version began \p Stream.
  virtual void sendOriginQuestion(const std::string &Peer,
                                  std::uint64_t Stream) = 0;
  /// Answers the question whose message is being handled; nothing if the
  /// version is not known.
  virtual void sendOriginAnswer(std::uint64_t Stream,
                                std::optional<std::string_view> Software) = 0;
  /// Asks \p Peer what can have begun streams before this instance started.
  /// \p Version is the oldest configuration that this one knows. Answers state
  /// \p Number.
  virtual void sendHistoryQuestion(const std::string &Peer,
                                   std::uint64_t Number,
                                   std::uint64_t Version) = 0;
  /// Answers the question \p Number, whose message is being handled.
  virtual void sendHistoryAnswer(std::uint64_t Number,
                                 const stream_history &Known) = 0;
  /// Reports to all peers that a brittle upstream has turned a request away.
  virtual void sendBrittleRefusal(const brittle_refusal &Refusal) = 0;
  /// Reports to all peers that \p Upstream has stated that it leaves.
  virtual void sendLeaving(const upstream_process &Upstream) = 0;
  /// Tells \p Peers of a release.
  virtual void sendRelease(std::span<const std::string_view> Peers,
                           const release_message &Message) = 0;
};

/// Waits for a read of the store.
class read_waiter {
public:
  virtual ~read_waiter() = default;
  /// A read that was sent after the request for it has been applied to the
  /// software history and shows the configuration in force; or there is no such
  /// read in time.
  virtual void onStoreRead(bool IsCurrent) = 0;
};

/// Reads the store for requests that need what it holds now.
class read_barrier {
public:
  virtual ~read_barrier() = default;
  /// Calls \p Waiter once, unless it has been destroyed.
  virtual void awaitRead(const std::weak_ptr<read_waiter> &Waiter) = 0;
};

/// Waits for an upstream to state which process it runs.
class verification_waiter {
public:
  virtual ~verification_waiter() = default;
  /// \p Upstream has answered, or has failed to.
  virtual void onVerified(std::string_view Upstream) = 0;
};

/// Asks upstreams which process they run.
class software_verifier {
public:
  virtual ~software_verifier() = default;
  /// Asks \p Upstream, unless it has just failed to answer. Returns whether an
  /// answer is due; \p Waiter, if there is one, is then called once, from the
  /// event loop. An upstream that is being asked since before \p Since is asked
  /// again after its answer.
  virtual bool verify(std::string_view Upstream,
                      const std::weak_ptr<verification_waiter> &Waiter,
                      instant Since, instant Now) = 0;
};

/// Waits for a response to be judged that ended with its connection.
class end_waiter {
public:
  virtual ~end_waiter() = default;
  virtual void onEndJudged(end_verdict Verdict, end_proof Proof) = 0;
};

/// Finds out whether the processes of upstreams outlive their responses.
class response_end_verifier {
public:
  virtual ~response_end_verifier() = default;
  /// Judges a response of \p Process that has ended at \p Now, whose sender
  /// was running at \p AliveAt. \p Waiter is called at most once, from the
  /// event loop.
  virtual void verifyEnd(const upstream_process &Process, instant AliveAt,
                         std::weak_ptr<end_waiter> Waiter, instant Now) = 0;
  /// Records that the process at the address of \p Listed has stated, in its
  /// entry or a report, that it started at \p Born, in ms since the Unix epoch.
  virtual void onStated(const upstream_process &Listed, std::int64_t Born,
                        instant Now) = 0;
};

/// Adapters to the platform in use.
struct platform_protocols {
  const document_reader &Documents;
  const caller_protocol &Callers;
  const upstream_protocol &Upstreams;
};

/// The shared state of a gateway; used from its event loop only.
class gateway_core {
public:
  gateway_core(event_base *Base, const gateway_settings &Settings,
               const platform_protocols &Protocols, std::uint64_t Boot,
               std::string KeySecret);

  event_base *base() const { return Base; }
  const gateway_settings &settings() const { return Settings; }
  const platform_protocols &protocols() const { return Protocols; }
  event_log &log() { return Log; }
  gateway_metrics &counters() { return Metrics; }
  client_connection_pool &links() { return Links; }
  buffer_budget &responseBuffers() { return ResponseBuffers; }
  caller_memory &callerMemory() { return CallerMemory; }
  /// Counts a request that was refused unread since memory does not suffice.
  void onMemoryRefusal();
  /// Counts a connection that was closed without a response.
  void onConnectionShed(std::string_view Reason);
  upstream_directory &directory() { return Directory; }
  upstream_scheduler &scheduler() { return Scheduler; }
  upstream_limits &upstreamLimits() { return UpstreamLimits; }
  const upstream_pauses &upstreamPauses() const { return UpstreamPauses; }
  const brittle_upstreams &brittleUpstreams() const { return Brittle; }
  upstream_paths &upstreamPaths() { return UpstreamPaths; }
  service_releases &releases() { return Releases; }
  const service_releases &releases() const { return Releases; }
  room_control &room() { return Room; }
  instance_roster &roster() { return Roster; }
  const instance_roster &roster() const { return Roster; }
  freshness &configFreshness() { return ConfigFreshness; }
  const freshness_options &freshnessOptions() const { return FreshnessOptions; }
  quota_ledger &shares() { return Shares; }
  crash_tracker &crashes() { return Crashes; }
  segment_quarantine &segmentQuarantine() { return SegmentQuarantine; }
  refusal_log &refusals() { return Refusals; }
  /// Returns the refusals that are not written to the store yet.
  refusal_aggregator &unwrittenRefusals() { return UnwrittenRefusals; }
  /// Returns the random number that identifies this run of the process.
  std::uint64_t boot() const { return Boot; }
  /// Returns the secret that callers' keys are hashed with.
  std::string_view keySecret() const { return KeySecret; }
  instant started() const { return Started; }

  /// Returns the configuration in force; null before the first one was read.
  const routing_table_ptr &routing() const { return Routing; }

  /// Brings \p Table into force if its version is newer than the one in force.
  void setRouting(routing_table Table, instant Now);
  void setRoutingObserver(routing_observer *Target) { OnRouting = Target; }

  /// Applies the settings after a change at run time.
  void onSettingsChanged(instant Now);

  /// Updates the scheduler if the directory has changed. To be called before a
  /// choice: the scheduler must know no upstream that the directory lacks.
  void updateScheduler();

  /// Computes the quota shares once the other instances were read from the
  /// store. Before that this instance has none, since their size depends on the
  /// number of instances.
  void onRosterKnown(instant Now);
  bool rosterKnown() const { return RosterKnown; }

  /// Recomputes the quota shares if the number of instances has changed.
  void updateShares(instant Now);

  void setMessenger(peer_messenger *Target) { Messenger = Target; }
  peer_messenger *messenger() { return Messenger; }

  void setChangeExchange(change_exchange *Target) { Changes = Target; }
  change_exchange *changeExchange() { return Changes; }

  void setDocumentProvider(document_provider *Target) { Provider = Target; }
  document_provider *documentProvider() { return Provider; }

  void setReleaseExchange(release_exchange *Target) { OnRelease = Target; }
  release_exchange *releaseExchange() { return OnRelease; }

  void setOrigins(origin_task *Target) { Origins = Target; }
  origin_task *origins() { return Origins; }

  void setVerifier(software_verifier *Target) { Verifier = Target; }

  void setBarrier(read_barrier *Target) { Barrier = Target; }
  /// See `read_barrier::awaitRead`.
  void awaitRead(const std::weak_ptr<read_waiter> &Waiter) {
    Barrier->awaitRead(Waiter);
  }

  void setEndVerifier(response_end_verifier *Target) { EndVerifier = Target; }
  response_end_verifier &endVerifier() { return *EndVerifier; }

  /// Records that the store lists \p Entry.
  void onUpstreamEntry(const upstream_entry &Entry, instant Now);

  software_history &softwareHistory() { return SoftwareHistory; }

  /// Records that the list of upstreams was read anew at \p Now.
  void onUpstreamsListed(instant Now) {
    SoftwareHistory.onGap(Now);
    UpstreamsListedAt = Now;
  }
  /// Records that the list of upstreams was current at \p At. That is when the
  /// store was asked, since an answer may arrive long after it was given.
  void onUpstreamsConfirmed(instant At);
  std::optional<instant> upstreamsConfirmedAt() const {
    return UpstreamsConfirmedAt;
  }
  /// Returns the upstreams whose software is not certain. That a service has
  /// had one version proves nothing of a process that is not listed yet.
  const unconfirmed_upstreams &unconfirmedUpstreams() const {
    return Unconfirmed;
  }
  /// Records that \p Upstream may have restarted with other software.
  void onSoftwareUncertain(const upstream_process &Upstream,
                           std::string_view Reason, instant Now);
  /// Asks \p Upstream which process it runs. Returns whether an answer is due,
  /// see `software_verifier`.
  bool verifyUpstream(std::string_view Upstream,
                      const std::weak_ptr<verification_waiter> &Waiter,
                      instant Now);
  /// Asks \p Upstream to which process the connections lead that were opened by
  /// \p OpenedAt.
  void verifyConnections(std::string_view Upstream, instant OpenedAt,
                         instant Now);
  /// Returns whether a request can be sent that certainly runs at the process
  /// of \p Entry: a connection to it is idle.
  bool isProven(const upstream_entry &Entry) const;
  /// Returns whether a response to a request that was sent under \p Entry, on a
  /// connection to the process with the start \p ServerStart (0: not known), is
  /// certainly of the process of \p Entry.
  bool isFromProcessOf(const upstream_entry &Entry,
                       std::int64_t ServerStart) const {
    return Unconfirmed.statesStart(Entry) ? ServerStart == Entry.Born
                                          : isListed(Entry);
  }
  /// Records that the process at the address of \p Listed has stated its start,
  /// see `unconfirmed_upstreams::onStarted`.
  start_evidence onUpstreamStarted(const upstream_process &Listed,
                                   std::int64_t Born, instant SentAt);
  /// Records that \p Listed has responded and stated no start.
  void onUpstreamStartless(const upstream_process &Listed);
  /// See `unconfirmed_upstreams::isListed`.
  bool isListed(const upstream_entry &Entry) const {
    return Unconfirmed.isListed(Entry, UpstreamsConfirmedAt);
  }

  /// Records that no instance has served before this one.
  void onFirstInstance();
  /// Returns the configuration about which peers are to be asked: the oldest
  /// one since which all are known. Nothing if the possible origins of all
  /// streams that may be resumed are known.
  std::optional<std::uint64_t> versionToAskAbout(instant Now) const;
  /// Returns what this instance knows, for a peer that knows the configurations
  /// from \p Version on.
  stream_history historySince(std::uint64_t Version, instant Now) const;
  /// Records what a peer knows that was asked at \p AskedAt.
  void onPeerHistory(const stream_history &Known, instant AskedAt);

  /// Returns the only software version that can have begun a stream of
  /// \p Service that is resumed at \p Now, or nothing if that is not certain.
  std::optional<std::string> onlySoftware(std::string_view Service,
                                          instant Now) const;

  /// Returns whether no stream of \p Path of \p Host that is resumed at \p Now
  /// can have begun at another service than \p Service.
  bool ledOnlyTo(std::string_view Service, std::string_view Host,
                 std::string_view Path, instant Now) const;

  /// Returns a request number that is unique in the process.
  std::uint64_t nextRequestNumber() { return ++LastNumber; }
  void requestStarted(open_request *Request);
  void requestEnded(open_request *Request);
  std::size_t openRequests() const { return OpenRequests.size(); }
  /// Ends all open requests.
  void endOpenRequests();
  void relayStarted() { ++OpenRelays; }
  void relayEnded() { --OpenRelays; }
  /// Returns the number of requests that are passed on for peers.
  std::size_t openRelays() const { return OpenRelays; }

  /// Requests \p Tokens of \p Team's limits. \p Waiter is called once with the
  /// outcome, possibly before the function returns.
  void requestTokens(std::uint64_t Number, std::string_view Team, double Tokens,
                     const std::weak_ptr<token_waiter> &Waiter);

  /// Cancels a pending token request; its waiter is not called.
  void withdrawTokens(std::uint64_t Number, std::string_view Team);

  /// Handles the response of \p Peer to a request to borrow tokens.
  void onLendResponse(const std::string &Peer, const lend_response &Response);

  /// Counts a request to \p Service, which extends its retry budget.
  void countRequest(std::string_view Service, instant Now);

  /// Takes a retry from the budget of \p Service; returns false if it is spent.
  bool takeRetry(std::string_view Service, instant Now);

  /// Records that \p Upstream was lost while it may have run \p Request, and
  /// reports it to the peers. \p Segments are those of its prompt, and \p Stage
  /// is given if the response had not begun. For \p IsInferred see
  /// `lost_process`.
  void reportLoss(request_fingerprint Request, const upstream_process &Upstream,
                  std::span<const segment_id> Segments,
                  std::optional<loss_stage> Stage, bool IsInferred,
                  instant Now);

  /// Losses of which it is being found out whether they are crashes.
  loss_inquiries &lossInquiries() { return LossInquiries; }

  /// Records that a peer has lost the upstream with the hash \p Upstream while
  /// it ran a request.
  void onPeerLoss(engine_id Upstream, instant Now);

  /// Records that \p Request with the prompt segments \p Segments was run
  /// completely, and reports it to the peers if it or a segment was suspected.
  void reportCompletion(request_fingerprint Request,
                        std::span<const segment_id> Segments, instant Now);

  /// Logs the segments that have been quarantined since the last call.
  void logQuarantinedSegments();

  /// Records the limit that \p Response of \p Upstream names, if any.
  /// The request was sent at \p SentAt.
  void onUpstreamLimit(std::string_view Upstream, const response_info &Response,
                       instant SentAt, instant Now);
  /// Records a limit that a peer has learned of.
  void onPeerLimit(const named_limit &Limit, instant Now);
  /// Records what \p Response, to a request that was sent to \p Upstream,
  /// states about the upstream itself.
  void onUpstreamStatement(const upstream_process &Upstream,
                           const response_info &Response, instant Now);
  /// Records that \p Upstream has turned a request away for want of room.
  void onUpstreamFull(const upstream_process &Upstream, instant Now);
  /// Records the load that \p Upstream has reported at \p At, to this instance
  /// or to a peer.
  void onUpstreamLoad(std::string_view Upstream, const reported_load &Load,
                      instant At);
  /// Records that a brittle upstream has turned a request of a peer away.
  void onPeerRefused(const brittle_refusal &Refusal, instant Now);
  /// Counts fields that \p Source has stated and the adapter does not know.
  void onUnknownFields(std::string_view Source,
                       std::span<const std::string> Names);
  const unknown_fields &unknownFields() const { return UnknownFields; }
  /// Records that a peer has learned that \p Upstream leaves.
  void onPeerLeaving(const upstream_process &Upstream, instant Now);
  /// Passes the instances that share the limits of upstreams on, and forgets
  /// limits that nothing confirms.
  void updateUpstreamLimits(instant Now);

  /// Records that no connection to \p Upstream could be opened.
  void onConnectFailed(const upstream_process &Upstream, loss_reason Reason,
                       instant Now);
  /// Records that \p Upstream was reached directly.
  void onUpstreamReached(const upstream_process &Upstream, instant Now);
  /// Records that a connection to \p Upstream was lost within an exchange.
  void onConnectionLost(const upstream_process &Upstream, instant Now);
  /// Returns whether this instance reaches no engine, but peers may.
  bool isCutFromEngines(instant Now) const;
  /// Returns the endpoint of the relay \p Peer, if it is listed.
  std::optional<endpoint> relayEndpoint(std::string_view Peer) const;
  /// Passes the peers that can be relays on.
  void updateRelays();

  /// Records, counts and logs a refusal.
  void recordRefusal(refusal Refusal, std::string_view RequestId, int Status,
                     span_ns RetryAfter);

  /// Sets the UDP port that the peer endpoint is bound to.
  void setPeerPort(std::uint16_t Port) { PeerPort = Port; }
  std::uint16_t peerPort() const { return PeerPort; }
  /// Sets the TCP port on which this instance passes on requests of peers.
  void setRelayPort(std::uint16_t Port) { RelayPort = Port; }
  std::uint16_t relayPort() const { return RelayPort; }

  /// Returns whether the instance can serve requests: it has a configuration
  /// fresh enough to accept keys, knows its peers and some upstream, and is not
  /// stopping.
  bool ready(instant Now) const { return unreadyReason(Now).empty(); }
  /// Returns why the instance is not ready; empty if it is.
  std::string_view unreadyReason(instant Now) const;
  /// Logs whether the instance is ready, if that has changed.
  void recordReadiness(instant Now);
  void setLeaving() { Leaving = true; }
  bool leaving() const { return Leaving; }

private:
  bool onLeaving(const upstream_process &Upstream, bool FromPeer, instant Now);
  void onBrittleStated(const upstream_process &Upstream,
                       const response_info &Response, instant Now);
  void onPauseAsked(const upstream_process &Upstream,
                    const response_info &Response, instant Now);
  void onLimitChanged(std::string_view Upstream, std::optional<double> Before,
                      bool FromPeer, instant Now);
  /// Executes the actions of the quota share ledger.
  void execute(const std::vector<quota_action> &Actions);
  /// Returns the retry budget of \p Service.
  fleet_retry_budget &retryBudget(std::string_view Service);
  void armShareTimer();
  /// Logs the services whose room has become short or enough.
  void logRoomChanges(instant Now);
  void updateEngineOptions();
  team_limits limitsOf(const team_entry &Team) const;
  /// Returns how long ago a configuration or a listing may have been followed
  /// under which a resumed stream has begun.
  span_ns originPeriod() const;

  event_base *Base;
  const gateway_settings &Settings;
  platform_protocols Protocols;
  std::uint64_t Boot;
  instant Started;
  std::string KeySecret; ///< random per process; hashed keys never leave it
  event_log Log;
  gateway_metrics Metrics;
  client_connection_pool Links;
  buffer_budget ResponseBuffers;
  caller_memory CallerMemory;
  routing_table_ptr Routing;
  routing_history RoutingHistory;
  routing_observer *OnRouting = nullptr;
  upstream_directory Directory;
  software_history SoftwareHistory;
  unconfirmed_upstreams Unconfirmed;
  std::optional<instant> UpstreamsConfirmedAt;
  instant UpstreamsListedAt; ///< the last complete listing
  instant RoutingGapAt;      ///< the last gap of the configurations
  upstream_scheduler Scheduler;
  upstream_limits UpstreamLimits;
  upstream_pauses UpstreamPauses;
  brittle_upstreams Brittle;
  upstream_paths UpstreamPaths;
  service_releases Releases;
  room_control Room;
  unknown_fields UnknownFields;
  /// Generation of the directory that the scheduler knows.
  std::uint64_t ScheduledGeneration = 0;
  instance_roster Roster;
  freshness ConfigFreshness;
  freshness_options FreshnessOptions;
  quota_ledger Shares;
  crash_tracker Crashes;
  segment_quarantine SegmentQuarantine;
  loss_inquiries LossInquiries{*this};
  refusal_log Refusals;
  refusal_aggregator UnwrittenRefusals;
  retry_options RetryOptions;
  std::map<std::string, fleet_retry_budget, std::less<>> Retries;
  std::unordered_map<std::uint64_t, std::weak_ptr<token_waiter>> Waiters;
  /// Number of instances that the limits are divided by; 0: not divided yet.
  std::size_t DividedBy = 0;
  bool RosterKnown = false;
  /// See `recordReadiness`; nothing was recorded at first.
  std::optional<std::string_view> RecordedReason;
  std::uint64_t LastNumber = 0;
  std::unordered_set<open_request *> OpenRequests;
  std::size_t OpenRelays = 0;
  peer_messenger *Messenger = nullptr;
  software_verifier *Verifier = nullptr;
  read_barrier *Barrier = nullptr;
  response_end_verifier *EndVerifier = nullptr;
  origin_task *Origins = nullptr;
  change_exchange *Changes = nullptr;
  document_provider *Provider = nullptr;
  release_exchange *OnRelease = nullptr;
  std::uint16_t PeerPort = 0;
  std::uint16_t RelayPort = 0;
  std::uint64_t RelayGeneration = 0; ///< of the roster that the paths know
  timer ShareTimer;
  timer RoomTimer;
  bool Leaving = false;
};

/// Returns the hash that identifies \p Upstream in the crash tracker; it is the
/// same on every instance.
engine_id upstreamHash(std::string_view Upstream);

} // namespace ebonyvale

#endif
