/// \file
/// Chooses the upstream for a request, or refuses it at once when none can
/// serve it in time.
///
/// Requests for engines share long prompt prefixes, so most of a request's cost
/// depends on where its prompt is cached. Every instance sees only a fraction
/// of the traffic, and upstreams report their load late, with their responses.
/// The scheduler therefore estimates the time to the first token from the work
/// that is queued there (this instance's, the peers' and reported), the prefill
/// of the prompt segments that are not cached, and the network distance.
#ifndef EBONYVALE_DECISIONS_PROCESS_UPSTREAM_SCHEDULER_H
#define EBONYVALE_DECISIONS_PROCESS_UPSTREAM_SCHEDULER_H

#include "common/error_kind.h"
#include "common/instant.h"
#include "decisions/process/brittle_upstreams.h"
#include "decisions/process/cached_segments.h"
#include "decisions/process/learned_costs.h"
#include "decisions/process/peer_loads.h"
#include "decisions/process/release_exposure.h"
#include "decisions/process/unconfirmed_upstreams.h"
#include "decisions/process/upstream_directory.h"
#include "decisions/process/upstream_limits.h"
#include "decisions/process/upstream_paths.h"
#include "decisions/process/upstream_pauses.h"
#include "decisions/process/upstream_speed.h"
#include "decisions/process/upstream_work.h"
#include "decisions/version/announced_weights.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace ebonyvale {

/// A segment of a prompt, identified together with all segments before it.
struct prompt_segment {
  std::uint64_t Chain = 0; ///< hash of cache scope and segments up to this
  std::int64_t Tokens = 0;
};

/// A request to be scheduled.
struct schedule_query {
  std::string_view Service;
  std::string_view Model;    ///< empty for services without models
  std::string_view Route;    ///< empty if unknown
  std::string_view Team;     ///< empty if unknown
  std::string_view Software; ///< required version; empty: any
  /// Upstreams whose entry may be an earlier process's; null: that of none is.
  const unconfirmed_upstreams *Unconfirmed = nullptr;
  std::optional<instant> ListedAt; ///< when the upstreams were last read
  /// Shared prefix segments, followed by the request's own segment.
  std::span<const prompt_segment> Segments;
  double PromptTokens = 0;
  double ResponseTokens = 0; ///< expected
  span_ns TimeLeft{0};       ///< until the deadline
  span_ns Target{0};         ///< time to the first response chunk; 0 for none
  std::span<const std::string> Tried; ///< upstreams that are excluded
  /// Upstreams that are only sent to through a relay.
  std::span<const std::string> Unreached;
  upstream_limits *Limits = nullptr; ///< named by upstreams; null for none
  const upstream_pauses *Pauses = nullptr;    ///< asked for; null for none
  const brittle_upstreams *Brittle = nullptr; ///< null for none
  upstream_paths *Paths = nullptr; ///< null: all upstreams are reached directly
  bool MayRelay = true;            ///< whether it may be sent through a peer
  /// What releases allow; null: all versions of the software.
  const software_choice *Releases = nullptr;
};

/// Load of an upstream, as reported in a response.
struct reported_load {
  std::int64_t Running = 0; ///< requests
  std::int64_t Waiting = 0; ///< requests
  std::int64_t Slots = 0;   ///< requests that can run at once
  /// How long work takes there at present, in percent of the usual time.
  std::int64_t SlownessPercent = UsualSlownessPercent;

  static constexpr std::int64_t UsualSlownessPercent = 100;
};

/// Load that an upstream has reported in a response to this instance.
struct upstream_load_report {
  std::string Upstream;
  reported_load Load;
  instant At;
};

/// Tells peers that a prefix segment is in use on an engine or a cache store.
struct segment_hint {
  std::string Upstream; ///< id of the engine or address of the store
  std::uint64_t Chain = 0;
};

/// Configured properties of a service's engines.
struct engine_spec {
  double CacheTokens = 0;      ///< memory of one engine; 0 if unknown
  double FetchTokensPerMs = 0; ///< copy rate within a domain; 0 for no copies
};

/// Options of the scheduler. Costs are in ms.
struct schedule_options {
  /// Prefill rate of an engine, from its data sheet.
  double PrefillTokensPerMs = 80;
  /// Time of an engine to the first token of an empty prompt, from its data
  /// sheet.
  double FirstTokenMs = 41;
  /// Mean duration of a request to a service without models, from the service's
  /// data sheet.
  double PlainRequestMs = 30;
  /// For which services learned costs replace the rates above.
  cost_learning Learning = cost_learning::Off;
  /// Fraction of the expected rest of the requests at an upstream that counts
  /// as a cost although slots are free: others' requests may be on their way.
  double CrowdWeight = 0.5;
  /// Weight of the prefill of a shared segment that is not cached: it also
  /// delays the prompts queued behind it and evicts other segments.
  double RecomputeWeight = 4;
  /// Fraction of the target up to which the expected time to the first chunk
  /// has no extra cost. Each ms beyond it costs `LateWeight`: saving the
  /// prefill of a cached prompt does not justify a late response.
  double LateThreshold = 0.5;
  double LateWeight = 6;
  /// A request is refused if its first chunk is expected after more than this
  /// many targets and it would wait for more than `MinQueueFraction` of a
  /// target. All requests behind a growing queue would be late; a long prompt
  /// that does not wait is not refused.
  double MaxTargetMultiple = 1;
  double MinQueueFraction = 0.5;
  /// Weight of copying from another engine, which occupies two links.
  double FetchWeight = 1;
  /// Copies between domains and between regions take this many times longer
  /// than within a domain, from the platform's data sheet.
  double DomainFetchFactor = 2;
  double RegionFetchFactor = 10;
  /// Prompts with the same first segment are prefilled on at least this many
  /// engines, and on this fraction of a larger fleet: few, so that copies of
  /// the segment leave room for others, yet enough to spread the load.
  std::size_t EnginesPerFirstSegment = 3;
  double FleetFractionPerFirstSegment = 1.0 / 3;
  /// Round trip to another domain of the region and to another region, from the
  /// platform's data sheet.
  double DomainMs = 4;
  double RegionMs = 16;
  /// Fraction of an engine's memory beyond which requests wait for others to
  /// end.
  double UsableMemoryFraction = 0.85;
  /// Time in which running requests free an engine's whole memory: about the
  /// duration of the response to a long prompt.
  double MemoryWaitMs = 600;
  /// How long the load that a peer or an upstream has reported is used.
  span_ns LoadReportTtl = std::chrono::milliseconds(1500);
  /// Half-life of the lateness that is observed at an engine.
  span_ns LatenessHalfLife = std::chrono::milliseconds(700);
  /// Pause of an upstream after a failure, doubled by each consecutive failure
  /// up to the maximum.
  span_ns FailurePause = std::chrono::milliseconds(400);
  span_ns MaxFailurePause = std::chrono::milliseconds(4000);
  /// Shorter segments are not worth a message to the peers.
  std::int64_t MinHintTokens = 300;
  /// Fraction of an engine's memory that can hold cached segments; running
  /// requests and partly filled blocks take the rest.
  double CacheFraction = 0.95;
  /// Cost of starting on outdated weights once all other engines have newer
  /// ones. It is proportional to the fraction of updated engines, as otherwise
  /// all instances would send every request to the first few at once.
  double OldWeightsMs = 200;
  /// Outdated weights cost nothing for this long, so that a rollout can begin.
  span_ns OldWeightsGrace = std::chrono::milliseconds(1200);
  weights_age_options WeightsAge;
  /// A copy from a store counts as slow if the first chunk arrives this much
  /// later than expected.
  span_ns SlowCopyDelay = std::chrono::milliseconds(250);
  /// How long a store is not used after two consecutive slow copies.
  span_ns StorePause = std::chrono::milliseconds(2500);
};

/// Configured properties of a store that caches prefix segments for engines.
struct cache_store_spec {
  std::string Address; ///< "IP:PORT"
  std::string Domain;
  double FetchTokensPerMs = 0; ///< copy rate within its domain
  double CacheTokens = 0;      ///< capacity
};

/// The learned part of an estimate, from which the outcome is learned in turn.
struct learned_estimate {
  cost_attributes Attributes;
  /// Expected service time at an upstream of usual speed.
  std::optional<expected_cost> Cost;
  double ExpectedMs = 0; ///< with the prefill, at an upstream of usual speed
  double Slowness = 1;   ///< of the upstream
  double WaitMs = 0;     ///< until the request starts, also for copies
  double DistanceMs = 0;
  double PrefilledTokens = 0;
  double Occupied = 0; ///< fraction of the slots that others take
};

/// The chosen upstream and the estimates behind the choice, which are logged.
struct schedule_choice {
  std::string Upstream;
  std::string Relay;           ///< peer to send through; empty: directly
  double ExpectedMs = 0;       ///< time to the first response chunk
  double BacklogMs = 0;        ///< of that, work queued there
  double LatenessMs = 0;       ///< of that, recent lateness there
  double EngineHeldTokens = 0; ///< memory of the other requests there
  double MissedTokens = 0;     ///< in prefix segments not cached there
  double CopiedTokens = 0;     ///< of those, copied instead of prefilled
  std::string FetchFrom;       ///< "IP:PORT" to copy from; empty for none
  std::string SaveTo; ///< "IP:PORT" of a store that lacks segments, or empty
  std::optional<std::int64_t> Weights; ///< version that it requires, if any
  /// Time for which the weights count as outdated; nothing if they are current.
  std::optional<span_ns> OutdatedFor;
  /// Latest time at which the request may begin on outdated weights.
  std::optional<instant> StartBy;
  double HeldTokens = 0;     ///< memory that the request takes
  double InsertedTokens = 0; ///< added to the engine's cache
  double PrefillMs = 0;      ///< prefill time of the prompt
  std::uint64_t Number = 0;  ///< of the choice, on this instance
  /// What was learned of such requests and of the upstream, if that is used for
  /// the service.
  std::optional<learned_estimate> Learned;
};

/// State of an upstream as this instance knows it, for operators.
struct upstream_view {
  upstream_entry Entry;
  bool Usable = false; ///< neither draining, leaving nor paused
  unsigned Failures = 0;
  std::int64_t InFlight = 0;        ///< sent by this instance
  std::int64_t InFlightOfPeers = 0; ///< sum of current peer reports
  double BacklogMs = 0;             ///< prefill time queued there
  std::optional<span_ns> ReportAge; ///< of the load that it last reported
  bool UsesLearnedCosts = false;
  double Slowness = 1;        ///< expected of work that begins now
  double LearnedSlowness = 1; ///< part of it that responses have shown
  double RestMs = 0; ///< expected rest of the requests of this instance
  std::map<std::string, std::int64_t, std::less<>> Weights;
};

/// Reason for which no upstream was chosen.
struct schedule_refusal {
  error_kind Kind = error_kind::NoUpstream;
  span_ns RetryAfter{0};
};

/// Result of scheduling a request.
struct schedule_outcome {
  std::optional<schedule_choice> Choice;
  schedule_refusal Refusal; ///< valid if there is no choice
};

/// Estimates the load and the cache contents of all upstreams and schedules the
/// requests of one instance. Calls for unknown upstreams have no effect.
class upstream_scheduler {
public:
  /// \p Domain is the failure domain of this instance.
  upstream_scheduler(schedule_options Options, std::string Domain,
                     const std::map<std::string, std::string> &RegionOfDomain);

  /// Changes the age from which on outdated weights are not used.
  void setMaxWeightsAge(span_ns Age) { Announced.setMaxAge(Age); }

  /// Applies the discovered upstreams. Drops upstreams that are no longer
  /// listed and the state of earlier incarnations.
  void update(const upstream_directory &Directory);

  /// Returns the upstream with the lowest cost for a request, or a refusal if
  /// none is usable or none can serve it in time.
  schedule_outcome choose(const schedule_query &Query, instant Now);

  /// Returns after which time a new request like \p Query may find a usable
  /// upstream; zero if there is one.
  span_ns availableIn(const schedule_query &Query, instant Now);

  /// Records that a request was sent. Each call must be paired with one call of
  /// `onEnded`.
  void onSent(const schedule_choice &Choice, const schedule_query &Query,
              instant Now);
  /// Records that a request has ended, successfully or not.
  void onEnded(const schedule_choice &Choice, instant Now);

  /// Records that a response has begun, \p After the request was sent.
  void onResponse(std::string_view Upstream, span_ns After,
                  const std::optional<reported_load> &Load, instant Now);
  /// Records that an upstream failed a request or could not be reached, and
  /// pauses it.
  void onFailure(std::string_view Upstream, instant Now);
  /// Records that this instance has lost its path to an upstream: what failed
  /// there so far tells nothing about the upstream.
  void onPathLost(std::string_view Upstream);
  /// Records that an upstream refused a request because it is full.
  void onFull(std::string_view Upstream, instant Now);
  /// Records that another process responds at the upstream's address. The
  /// upstream is not used until discovery lists the new process.
  void onReplaced(std::string_view Upstream);

  /// Records the loads that a peer has reported. Each replaces the peer's
  /// previous report on that upstream.
  void onPeerLoad(std::string_view Peer, std::span<const peer_load> Loads,
                  instant Now);
  /// Returns the loads that this instance reports to peers: of the upstreams
  /// that run its requests, or whose load has changed since \p Since.
  std::vector<peer_load> ownLoadsSince(instant Since, instant Now) const;

  /// Returns what upstreams have reported to this instance after \p Since.
  std::vector<upstream_load_report> ownReportsSince(instant Since) const;
  /// Records what an upstream has reported to a peer.
  void onPeerReport(const upstream_load_report &Report);
  /// Sets whether there are peers that do not report their loads to this
  /// instance. Requests that an upstream reports beyond the known ones are then
  /// theirs.
  void setUnknownPeers(bool Exist) { UnknownPeers = Exist; }

  /// Returns all upstreams, ordered by id.
  std::vector<upstream_view> views(instant Now);

  /// Sets the configured properties of a service's engines.
  void setEngine(std::string_view Service, const engine_spec &Engine);

  /// Sets the configured cache stores. Keeps the state of those already known.
  void setCacheStores(std::span<const cache_store_spec> Stores);

  /// Records that the first chunk of a response has arrived, \p After the
  /// request was sent.
  void onFirstChunk(const schedule_choice &Choice, span_ns After, instant Now);

  /// Records that the upstream has served a request completely: the first chunk
  /// has come \p FirstChunkAfter, the end \p After the request was sent. Must
  /// not be called where the caller has held up the response.
  void onServed(const schedule_choice &Choice, span_ns FirstChunkAfter,
                span_ns After, instant Now);

  /// Returns what has been learned of costs.
  learned_costs &costs() { return Costs; }

  /// Returns the prefix segments that this instance has used since the last
  /// call.
  std::vector<segment_hint> takeHints() { return std::exchange(Hints, {}); }
  /// Records a prefix segment that a peer has used.
  void onPeerHint(const segment_hint &Hint);

  /// Returns the versions that operators want deployed.
  announced_weights &announcedWeights() { return Announced; }

  /// Records the version seen in a response or a report. A newer version
  /// invalidates the cache.
  void onWeights(std::string_view Upstream, std::string_view Model,
                 std::int64_t Version);
  /// Records that an upstream refused a request because its weights differ from
  /// the expected version.
  void onWeightsMismatch(std::string_view Upstream, std::string_view Model,
                         instant Now);
  /// Stops scheduling to an upstream until \p Until, while it loads new
  /// weights.
  void pause(std::string_view Upstream, instant Until);

private:
  struct upstream_state {
    upstream_entry Entry;
    std::int64_t InFlight = 0;
    /// Outstanding prefill time of the requests from all instances, as of
    /// `BacklogAt`. It decreases in real time, times the upstream's speed.
    double BacklogMs = 0;
    instant BacklogAt;
    double LatenessMs = 0; ///< as of `LatenessAt`
    instant LatenessAt;
    double HeldTokens = 0; ///< memory of this instance's requests in flight
    std::optional<reported_load> Load;
    instant LoadAt;
    bool LoadIsOwn = false; ///< reported to this instance, not to a peer
    peer_loads Peers;
    service_costs *Service = nullptr; ///< in `Costs`; null for none
    upstream_speed Speed;
    upstream_work Work; ///< of this instance's requests in flight
    unsigned Failures = 0;
    instant AvoidUntil;
    instant PausedUntil;
    cached_segments Segments;
    double InsertedTokens = 0; ///< by this instance since its start
    double SentPrefillMs = 0;  ///< by this instance since its start
    instant ChangedAt;         ///< when a request was last sent or ended
    std::map<std::string, std::int64_t, std::less<>> Weights;
  };
  struct cache_store {
    cache_store_spec Spec;
    cached_segments Segments;
    unsigned SlowCopies = 0; ///< consecutive
    instant PausedUntil;
  };
  /// A copy of the segments that follow those cached by the target engine.
  struct copy_plan {
    std::string From; ///< "IP:PORT"; empty for no copy
    double Tokens = 0;
    double DurationMs = 0;
  };
  /// An engine and the number of consecutive leading prefix segments that it
  /// probably caches.
  struct segment_holder {
    const upstream_state *State = nullptr;
    std::size_t SegmentCount = 0;
  };
  /// An upstream that a request may be sent to.
  struct candidate {
    upstream_state *State = nullptr;
    std::string_view Relay; ///< peer to send through; empty: directly
    software_use Use = software_use::Allowed;
  };
  /// The usable upstreams for a request.
  struct candidate_set {
    std::vector<candidate> Usable;
    instant AvailableAt = instant::max(); ///< end of the shortest pause
  };
  /// Inputs that the estimates of all engines share for one request.
  struct choice_context {
    const upstream_state *Home = nullptr; ///< see `homeOf`
    std::vector<segment_holder> Holders;
    double UpdatedFraction = 0; ///< of usable engines, with newest weights
    std::optional<expected_cost> Cost; ///< learned of such requests
  };
  /// Estimated cost of running a request on an upstream.
  struct estimate {
    double CostMs = 0;       ///< weighted, with the cost for other requests
    double FirstChunkMs = 0; ///< time to the first response chunk
    double WaitMs = 0;       ///< of that, until the request starts
    double BacklogMs = 0;
    double LatenessMs = 0;
    double EngineHeldTokens = 0;
    double MissedTokens = 0;
    std::optional<learned_estimate> Learned;
    double PrefillMs = 0;
    double HeldTokens = 0;
    double InsertedTokens = 0;
    copy_plan Copy;
    std::string SaveTo;
  };

  upstream_state *find(std::string_view Upstream);
  /// Subtracts the prefill done since the last call.
  static void advanceBacklog(upstream_state &State, instant Now);
  /// Returns the time until a request that is sent now would start.
  double updateBacklog(upstream_state &State, instant Now) const;
  /// Returns how many requests run or wait at an upstream.
  std::int64_t inFlight(const upstream_state &State, instant Now) const;
  /// Returns the expected rest of all requests at an upstream, at usual speed.
  double restMs(const upstream_state &State, instant Now) const;
  /// Returns the mean time that a request takes a slot, or nothing if that is
  /// not known yet.
  std::optional<double> meanServiceMs(const upstream_state &State) const;
  /// Returns the fraction of an upstream's slots that are taken.
  double occupied(const upstream_state &State, instant Now) const;
  /// Returns the expected rest of this instance's requests, if learned costs
  /// are used for the upstream.
  std::optional<double> ownRestMs(const upstream_state &State,
                                  instant Now) const;
  /// Returns the mean time in which running requests end, from learned costs.
  std::optional<double> memoryRestMs(const upstream_state &State,
                                     instant Now) const;
  /// Returns the cost of the requests at an upstream with free slots.
  double crowdMs(const upstream_state &State, instant Now) const;
  learned_estimate learnedEstimate(const upstream_state &State,
                                   const choice_context &Context, double WaitMs,
                                   instant Now) const;
  void learnFirstChunk(const schedule_choice &Choice, span_ns After);
  /// Returns the wait for a slot, from learned costs.
  double slotWaitMs(const upstream_state &State, instant Now) const;
  /// Returns the factor by which work at an upstream takes longer than usual.
  static double slownessOf(const upstream_state &State, instant Now);
  static bool usesLearnedCosts(const upstream_state &State) {
    return State.Service && State.Service->isUsed();
  }
  first_chunk_rates ratesOf(const upstream_state &State, instant Now) const;
  void recordLoad(upstream_state &State, const reported_load &Load, instant At);
  double latenessMs(const upstream_state &State, instant Now) const;
  double heldTokens(const upstream_state &State, instant Now) const;
  /// Returns the expected number of requests of unknown peers.
  double requestsOfUnknownPeers(const upstream_state &State, instant Now) const;
  double cacheTokens(const upstream_state &State) const;
  double memoryWaitMs(const upstream_state &State, double Needed,
                      instant Now) const;
  std::vector<segment_holder> holdersOf(const schedule_query &Query,
                                        instant Now) const;
  copy_plan planCopy(const upstream_state &Target, const schedule_query &Query,
                     std::size_t CachedCount,
                     std::span<const segment_holder> Holders,
                     instant Now) const;
  static std::uint64_t weightsHash(std::int64_t Version);
  void recordStoreUse(const schedule_choice &Choice,
                      const schedule_query &Query);
  void keepCheaperCopy(const copy_plan &Candidate, const schedule_query &Query,
                       std::size_t CachedCount, double PrefillTokensPerMs,
                       copy_plan &Best) const;
  double copyFactor(std::string_view From, std::string_view To) const;
  std::string storeMissingSegments(const upstream_state &Target,
                                   const schedule_query &Query,
                                   instant Now) const;
  static std::optional<std::int64_t> weightsOf(const upstream_state &State,
                                               std::string_view Model);
  double distanceMs(const upstream_state &State) const;
  bool sameRegion(std::string_view Left, std::string_view Right) const;
  candidate_set findCandidates(const schedule_query &Query, instant Now);
  /// Chooses among the upstreams of \p Set.
  schedule_outcome chooseFrom(const candidate_set &Set,
                              const schedule_query &Query, instant Now);
  static bool hasSoftware(const upstream_entry &Entry,
                          const schedule_query &Query);
  /// Adds the upstreams that are reached through a relay: all \p Relayed ones
  /// if no other is usable, else those that peers have recently reached.
  static void addRelayed(const schedule_query &Query,
                         std::span<const candidate> Relayed,
                         candidate_set &Set);
  /// Sets the version that the request requires, and until when it may begin.
  void chooseWeights(const upstream_state &State, std::string_view Model,
                     instant Now, schedule_choice &Choice) const;
  const upstream_state *homeOf(const schedule_query &Query,
                               std::span<const candidate> Usable) const;
  double updatedFraction(std::string_view Model,
                         std::span<const candidate> Usable) const;
  estimate estimateFor(upstream_state &State, const schedule_query &Query,
                       const choice_context &Context, instant Now) const;
  /// Returns the oldest announced version that is newer than the weights of
  /// \p State, or null.
  const weights_announcement *firstNewer(const upstream_state &State,
                                         std::string_view Model) const;
  std::optional<double> oldWeightsCostMs(const upstream_state &State,
                                         std::string_view Model,
                                         double UpdatedFraction,
                                         instant Now) const;
  bool isPlain(const upstream_state &State) const {
    return State.Entry.Models.empty();
  }

  schedule_options Options;
  std::string Domain;
  std::map<std::string, std::string, std::less<>> RegionOfDomain;
  std::map<std::string, upstream_state, std::less<>> States;
  std::map<std::string, engine_spec, std::less<>> Engines;
  announced_weights Announced;
  learned_costs Costs;
  std::uint64_t LastNumber = 0; ///< of a choice
  std::vector<cache_store> Stores;
  std::vector<segment_hint> Hints;
  bool UnknownPeers = false;
  /// Moving average of the memory that a request to an engine takes.
  double MeanHeldTokens = 0;
  /// Numbers of the peers that have reported, by name.
  std::map<std::string, std::uint32_t, std::less<>> PeerNumbers;
};

} // namespace ebonyvale

#endif
