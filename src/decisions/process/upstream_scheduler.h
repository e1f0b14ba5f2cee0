/// \file
/// Chooses the upstream for a request, or refuses it at once when none can
/// serve it in time.
///
/// The load this answers: requests for engines share long prompt prefixes, so
/// that where a prompt is cached decides over most of its cost; every instance
/// sees only its part of the traffic, and upstreams report their load with
/// their answers, late. So the choice weighs time to the first token: work that
/// waits there (own, peers' and reported), reading the missing part of the
/// prompt, and the distance.
#ifndef EBONYVALE_DECISIONS_PROCESS_UPSTREAM_SCHEDULER_H
#define EBONYVALE_DECISIONS_PROCESS_UPSTREAM_SCHEDULER_H

#include "common/error_kind.h"
#include "common/instant.h"
#include "decisions/process/cached_parts.h"
#include "decisions/process/upstream_directory.h"

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

/// One part of a prompt, named together with all parts before it.
struct prompt_part {
  std::uint64_t Chain = 0; ///< hash of cache scope, this part and all before
  std::int64_t Tokens = 0;
};

/// What is to be placed.
struct schedule_query {
  std::string_view Service;
  std::string_view Model;             ///< empty for plain services
  std::span<const prompt_part> Parts; ///< the last one is the request's own
  double PromptTokens = 0;
  double AnswerTokens = 0;
  span_ns TimeLeft{0};
  span_ns Target{0}; ///< to the first part of the answer; 0 for none
  std::span<const std::string> Tried; ///< upstreams that are not used again
};

/// Load as an upstream reports it with an answer.
struct reported_load {
  std::int64_t Running = 0;
  std::int64_t Waiting = 0;
  std::int64_t Slots = 0;
};

/// Work of one instance at one upstream. Sums count from the instance's start,
/// so that a lost message costs nothing.
struct peer_load {
  std::string Upstream;
  std::int64_t InFlight = 0;
  double SentMs = 0; ///< sum of the reading that was sent there
  double HeldTokens = 0;
  double InsertedTokens = 0; ///< brought into its cache since the start
};

/// A shared prompt part that was used somewhere.
struct part_hint {
  std::string Upstream;
  std::uint64_t Chain = 0;
};

/// What is known of a service's engines.
struct engine_terms {
  double CacheTokens = 0;      ///< memory of one engine; 0 where unknown
  double FetchTokensPerMs = 0; ///< copied between engines of a domain; 0: never
};

/// Terms of the estimates.
struct schedule_terms {
  /// Prompt tokens that an engine reads in a ms; from the engines' data sheet.
  double PrefillTokensPerMs = 80;
  /// Time of an engine to the first token of an empty prompt; data sheet.
  double FirstTokenMs = 41;
  /// Mean work of a plain call in ms, from the service's data sheet.
  double PlainWorkMs = 30;
  /// Reading a shared part again also delays the prompts behind it and evicts
  /// other parts, so it is weighed this many times.
  double RecomputeWeight = 4;
  /// Part of the target within which an answer is safely expected in time, and
  /// the weight of each ms beyond it: what is spared by a cached prompt is not
  /// worth a late answer.
  double SafeTarget = 0.5;
  double LateWeight = 6;
  /// A request is refused where its first part is expected later than this many
  /// targets, and more than `QueuePart` of a target is waiting: behind a queue
  /// that may grow everybody is late, and a long prompt alone is no queue.
  double MostTargets = 1;
  double QueuePart = 0.5;
  /// A part that is copied from another engine occupies two links.
  double FetchWeight = 1;
  /// Copies between domains and between regions take longer by this; platform.
  double DomainFetchFactor = 2;
  double RegionFetchFactor = 10;
  /// Engines on which prompts with the same first part are read: few, so that
  /// its copies leave room for others, yet enough to share the load. At least
  /// so many, and this part of a larger fleet.
  std::size_t EnginesPerFirstPart = 3;
  double FleetPartPerFirstPart = 1.0 / 3;
  /// Added for another domain of the region, and for another region: a round
  /// trip, from the platform's data sheet.
  double DomainMs = 4;
  double RegionMs = 16;
  /// Part of an engine's memory beyond which requests wait for each other.
  double UsableMemory = 0.85;
  /// Time in which running requests free an engine's whole memory: about the
  /// length of an answer to a long prompt.
  double MemoryWaitMs = 600;
  /// How long a peer's report and an answer's load count.
  span_ns LoadTerm = std::chrono::milliseconds(1500);
  /// What late answers told of an engine counts half after it.
  span_ns SurplusHalfLife = std::chrono::milliseconds(700);
  /// An upstream that failed gets no work for this long, doubled by each
  /// further failure in a row.
  span_ns FailurePause = std::chrono::milliseconds(400);
  span_ns MaxFailurePause = std::chrono::milliseconds(4000);
  /// Shorter parts are not worth a message to the peers.
  std::int64_t MinHintTokens = 300;
  /// Part of an engine's memory in which cached parts last; running requests
  /// and partly filled blocks take the rest.
  double CacheRoom = 0.95;
  /// Cost in ms of starting on weights that are no longer the newest, once all
  /// other engines have newer ones. It grows with their number: all instances
  /// would send everything to the first few at once.
  double OldWeightsMs = 200;
  /// Old weights cost nothing within it, so that a rollout can begin.
  span_ns OldWeightsGrace = std::chrono::milliseconds(1200);
  /// No request begins on weights for longer than this after the first newer
  /// ones were learnt of.
  span_ns OldWeightsBound = std::chrono::milliseconds(8000);
  /// How long peers are told of a version: an engine that was away may still
  /// lack it.
  span_ns WeightsMemory = std::chrono::seconds(30);
  /// What a new process leaves of the bound above for versions that it finds at
  /// its start; the rules hold for it from 3 s after the start on.
  span_ns AssumedLeft = std::chrono::milliseconds(2800);
  /// Copies from a store that end later than expected by this much.
  span_ns SlowCopy = std::chrono::milliseconds(250);
  /// A store with two slow copies in a row is left alone for this long.
  span_ns StorePause = std::chrono::milliseconds(2500);
};

/// A store of cached parts beside the engines.
struct cache_store_terms {
  std::string Address; ///< "IP:PORT"
  std::string Domain;
  double FetchTokensPerMs = 0; ///< copied inside its domain
  double CacheTokens = 0;
};

/// A version of a model's weights that operators have named.
struct named_weights {
  std::string Model;
  std::int64_t Version = 0;
  instant LearntAt;
  bool Assumed = false; ///< when it was named is not known
};

/// A choice with the figures behind it, for the log.
struct schedule_choice {
  std::string Upstream;
  double ExpectedMs = 0;       ///< to the first part of the answer
  double BacklogMs = 0;        ///< of that, work that waits there
  double SurplusMs = 0;        ///< of that, what late answers told
  double EngineHeldTokens = 0; ///< by running requests, without this one
  double MissedTokens = 0;     ///< shared, not believed to be there
  double CopiedTokens = 0;     ///< of those, copied instead of read
  std::string FetchFrom;       ///< "IP:PORT" to copy from; empty for none
  std::string SaveTo; ///< "IP:PORT" of a store that lacks parts, or empty
  std::optional<std::int64_t> Weights; ///< that the upstream has, if known
  double HeldTokens = 0;               ///< memory that the request takes
  double InsertedTokens = 0;           ///< brought into the engine's cache
  double WorkMs = 0;                   ///< reading of its prompt
};

/// What is believed of an upstream, for operators.
struct upstream_view {
  upstream_entry Entry;
  bool Usable = false; ///< neither avoided, paused nor leaving
  unsigned Failures = 0;
  std::int64_t InFlight = 0;        ///< sent from here
  std::int64_t InFlightOfPeers = 0; ///< as they said lately
  double BacklogMs = 0;
  std::optional<span_ns> ReportAge; ///< of the load that it told itself
  std::map<std::string, std::int64_t, std::less<>> Weights;
};

/// Why nothing was chosen.
struct schedule_refusal {
  error_kind Kind = error_kind::NoUpstream;
  span_ns RetryAfter{0};
};

/// Either of the two.
struct schedule_outcome {
  std::optional<schedule_choice> Choice;
  schedule_refusal Refusal;
};

/// The scheduler of one instance.
class upstream_scheduler {
public:
  upstream_scheduler(schedule_terms Terms, std::string Domain,
                     const std::map<std::string, std::string> &RegionOfDomain);

  /// Takes the discovered upstreams; forgets those that are gone and what was
  /// known of earlier incarnations.
  void update(const upstream_directory &Directory);

  schedule_outcome choose(const schedule_query &Query, instant Now);

  /// Work was sent; pair with one `onEnded`.
  void onSent(const schedule_choice &Choice, const schedule_query &Query,
              instant Now);
  void onEnded(const schedule_choice &Choice, instant Now);

  /// An answer began, \p After the request was sent.
  void onAnswer(std::string_view Upstream, span_ns After,
                const std::optional<reported_load> &Load, instant Now);
  /// The upstream failed a request or could not be reached.
  void onFailure(std::string_view Upstream, instant Now);
  /// The upstream said that it is full.
  void onFull(std::string_view Upstream, instant Now);
  /// Another process answers at the address.
  void onReplaced(std::string_view Upstream);

  /// What a peer sees; replaces what it said before.
  void onPeerLoad(std::string_view Peer, std::span<const peer_load> Loads,
                  instant Now);
  /// What this instance tells its peers: the upstreams that run work of its own
  /// now, or whose figures have changed since \p Since.
  std::vector<peer_load> ownLoad(instant Since) const;

  /// All upstreams by their names.
  std::vector<upstream_view> views(instant Now) const;

  /// Takes what the configuration says of a service's engines.
  void setEngine(std::string_view Service, const engine_terms &Engine);

  /// Takes the stores of cached parts that the configuration names.
  void setCacheStores(std::span<const cache_store_terms> Stores);

  /// The first part of an answer has come.
  void onFirstPart(const schedule_choice &Choice, span_ns After, instant Now);

  /// Parts that this instance has used since the last call.
  std::vector<part_hint> takeHints() { return std::exchange(Hints, {}); }
  void onPeerHint(const part_hint &Hint);

  /// The operators have named weights. A process that finds them there at its
  /// start cannot know since when, and takes them for nearly due.
  void wantWeights(std::string_view Model, std::int64_t Version,
                   bool FoundAtStart, instant Now);

  /// Versions named lately, for peers that have started since.
  std::vector<named_weights> recentWeights(instant Now) const;
  void onPeerWeights(const named_weights &Weights);

  /// Weights seen in an answer or a report.
  void onWeights(std::string_view Upstream, std::string_view Model,
                 std::int64_t Version);
  /// The upstream refused for having other weights than it was believed to.
  void onWeightsUnknown(std::string_view Upstream, std::string_view Model,
                        instant Now);
  /// The upstream takes new weights until \p Until and gets no work.
  void pause(std::string_view Upstream, instant Until);

private:
  struct peer_view {
    std::int64_t InFlight = 0;
    double HeldTokens = 0;
    double SentMs = 0;
    double InsertedTokens = 0;
    instant At;
  };
  struct upstream_state {
    upstream_entry Entry;
    std::int64_t InFlight = 0;
    /// Reading that all instances sent and that is not done yet, as of
    /// `BacklogAt`; the engine works it off in real time.
    double BacklogMs = 0;
    instant BacklogAt;
    double SurplusMs = 0; ///< as of `SurplusAt`
    instant SurplusAt;
    double HeldTokens = 0;
    std::optional<reported_load> Load;
    instant LoadAt;
    std::map<std::string, peer_view, std::less<>> Peers;
    unsigned Failures = 0;
    instant AvoidUntil;
    instant PausedUntil;
    cached_parts Parts;
    double InsertedTokens = 0; ///< by this instance, since its start
    double SentMs = 0;         ///< likewise
    instant ChangedAt;         ///< when work was sent or ended last
    std::map<std::string, std::int64_t, std::less<>> Weights;
  };
  struct cache_store {
    cache_store_terms Place;
    cached_parts Parts;
    unsigned SlowCopies = 0; ///< in a row
    instant PausedUntil;
  };
  /// A copy of the parts behind those that an engine holds itself.
  struct copy_plan {
    std::string From;
    double Tokens = 0;
    double Ms = 0;
  };
  /// An engine and how many shared parts it is believed to hold, from the first
  /// one on.
  struct part_holder {
    const upstream_state *State = nullptr;
    std::size_t Parts = 0;
  };
  struct candidate_set {
    std::vector<upstream_state *> Usable;
    instant FreeAt = instant::max(); ///< when another one can be used
  };
  /// What all engines are weighed with for one request.
  struct choice_context {
    const upstream_state *Home = nullptr;
    std::vector<part_holder> Holders;
    double UpdatedPart = 0; ///< of the usable engines, on the newest weights
  };
  struct estimate {
    double Ms = 0;      ///< with what it costs other requests
    double FirstMs = 0; ///< to the first part of the answer
    double WaitMs = 0;  ///< of that, before its own work begins
    double BacklogMs = 0;
    double SurplusMs = 0;
    double EngineHeldTokens = 0;
    double MissedTokens = 0;
    double WorkMs = 0;
    double HeldTokens = 0;
    double InsertedTokens = 0;
    copy_plan Copy;
    std::string SaveTo;
  };

  upstream_state *find(std::string_view Upstream);
  double backlog(upstream_state &State, instant Now) const;
  double surplus(const upstream_state &State, instant Now) const;
  double heldTokens(const upstream_state &State, instant Now) const;
  double cacheTokens(const upstream_state &State) const;
  double memoryWait(const upstream_state &State, double Needed,
                    instant Now) const;
  std::vector<part_holder> holdersOf(const schedule_query &Query,
                                     instant Now) const;
  copy_plan planCopy(const upstream_state &Target, const schedule_query &Query,
                     std::size_t Held, std::span<const part_holder> Holders,
                     instant Now) const;
  static std::uint64_t weightsMark(std::int64_t Version);
  void noteStoreUse(const schedule_choice &Choice, const schedule_query &Query);
  void considerCopy(const copy_plan &Offer, const schedule_query &Query,
                    std::size_t Held, copy_plan &Best) const;
  double copyFactor(std::string_view From, std::string_view To) const;
  std::string storeLacking(const upstream_state &Target,
                           const schedule_query &Query, instant Now) const;
  static std::optional<std::int64_t> weightsOf(const upstream_state &State,
                                               std::string_view Model);
  double distance(const upstream_state &State) const;
  bool sameRegion(std::string_view Left, std::string_view Right) const;
  candidate_set findCandidates(const schedule_query &Query, instant Now);
  const upstream_state *homeOf(const schedule_query &Query,
                               std::span<upstream_state *const> Usable) const;
  double updatedPart(std::string_view Model,
                     std::span<upstream_state *const> Usable) const;
  estimate estimateFor(upstream_state &State, const schedule_query &Query,
                       const choice_context &Context, instant Now) const;
  std::optional<double> weightsCost(const upstream_state &State,
                                    std::string_view Model, double UpdatedPart,
                                    instant Now) const;
  bool isPlain(const upstream_state &State) const {
    return State.Entry.Models.empty();
  }

  schedule_terms Terms;
  std::string Domain;
  std::map<std::string, std::string, std::less<>> RegionOfDomain;
  std::map<std::string, upstream_state, std::less<>> States;
  std::map<std::string, engine_terms, std::less<>> Engines;
  /// By model, all versions in the order in which they were named.
  std::map<std::string, std::vector<named_weights>, std::less<>> Named;
  std::vector<cache_store> Stores;
  std::vector<part_hint> Hints;
};

} // namespace ebonyvale

#endif
