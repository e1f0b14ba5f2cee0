#include "decisions/process/upstream_scheduler.h"

#include <algorithm>
#include <limits>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace ebonyvale {
namespace {

/// Minimum Retry-After of a refusal.
constexpr span_ns MinRetryAfter = std::chrono::milliseconds(50);
/// Retry-After where no upstream is expected to become usable.
constexpr span_ns NoUpstreamRetry = std::chrono::milliseconds(500);

cost_attributes attributesOf(const schedule_query &Query) {
  return {std::string(Query.Service), std::string(Query.Route),
          std::string(Query.Team), Query.PromptTokens};
}

bool contains(std::span<const std::string> Names, std::string_view Name) {
  return std::ranges::find(Names, Name) != Names.end();
}

} // namespace

upstream_scheduler::upstream_scheduler(
    schedule_options Options, std::string Domain,
    const std::map<std::string, std::string> &RegionOfDomain)
    : Options(Options), Domain(std::move(Domain)),
      RegionOfDomain(RegionOfDomain.begin(), RegionOfDomain.end()),
      Announced(Options.WeightsAge),
      Costs(Options.Learning,
            {Options.PrefillTokensPerMs, Options.FirstTokenMs}) {}

void upstream_scheduler::update(const upstream_directory &Directory) {
  std::erase_if(
      States, [&](const auto &Known) { return !Directory.find(Known.first); });
  for (const auto &[Id, Entry] : Directory.all()) {
    upstream_state &State = States[Id];
    if (!State.Entry.sameIncarnation(Entry)) {
      // State of an earlier incarnation is invalid, but onEnded is still due
      // for its requests in flight.
      const std::int64_t InFlight = State.InFlight;
      State = {};
      State.InFlight = InFlight;
    }
    State.Entry = Entry;
    State.Service = Costs.service(Entry.Service);
    for (const auto &[Model, Version] : Entry.Models) {
      std::int64_t &Known = State.Weights[Model];
      Known = std::max(Known, Version);
    }
  }
}

upstream_scheduler::upstream_state *
upstream_scheduler::find(std::string_view Upstream) {
  const auto Found = States.find(Upstream);
  return Found == States.end() ? nullptr : &Found->second;
}

schedule_outcome upstream_scheduler::choose(const schedule_query &Query,
                                            instant Now) {
  candidate_set Set = findCandidates(Query, Now);
  if (!Query.Releases)
    return chooseFrom(Set, Query, Now);
  const auto Has = [&Set](software_use Use) {
    return std::ranges::find(Set.Usable, Use, &candidate::Use) !=
           Set.Usable.end();
  };
  if (Has(software_use::Preferred)) {
    candidate_set Preferred = Set;
    std::erase_if(Preferred.Usable, [](const candidate &Candidate) {
      return Candidate.Use != software_use::Preferred;
    });
    schedule_outcome Outcome = chooseFrom(Preferred, Query, Now);
    if (Outcome.Choice)
      return Outcome;
  }
  if (Has(software_use::Preferred) || Has(software_use::Allowed))
    std::erase_if(Set.Usable, [](const candidate &Candidate) {
      return Candidate.Use == software_use::LastResort;
    });
  return chooseFrom(Set, Query, Now);
}

schedule_outcome upstream_scheduler::chooseFrom(const candidate_set &Set,
                                                const schedule_query &Query,
                                                instant Now) {
  schedule_outcome Outcome;
  if (Set.Usable.empty()) {
    Outcome.Refusal = {error_kind::NoUpstream, NoUpstreamRetry};
    if (Set.AvailableAt != instant::max())
      Outcome.Refusal.RetryAfter =
          std::max<span_ns>(MinRetryAfter, Set.AvailableAt - Now);
    return Outcome;
  }
  choice_context Context{homeOf(Query, Set.Usable), holdersOf(Query, Now),
                         updatedFraction(Query.Model, Set.Usable),
                         std::nullopt};
  if (usesLearnedCosts(*Set.Usable.front().State))
    Context.Cost = Costs.expect(attributesOf(Query));
  upstream_state *Best = nullptr;
  estimate BestEstimate;
  std::string_view Relay;
  for (const candidate &Candidate : Set.Usable) {
    upstream_state *State = Candidate.State;
    const estimate Estimate = estimateFor(*State, Query, Context, Now);
    if (Best && Estimate.CostMs >= BestEstimate.CostMs)
      continue;
    const weights_announcement *Newer = firstNewer(*State, Query.Model);
    if (Newer &&
        Now + fromMs(Estimate.FirstChunkMs) > Announced.startBy(*Newer))
      continue;
    Best = State;
    BestEstimate = Estimate;
    Relay = Candidate.Relay;
  }
  if (!Best) {
    Outcome.Refusal = {error_kind::NoUpstream, NoUpstreamRetry};
    return Outcome;
  }
  const double Left = toMs(Query.TimeLeft);
  if (BestEstimate.BacklogMs > Left) {
    Outcome.Refusal.Kind = error_kind::DeadlineTooShort;
    Outcome.Refusal.RetryAfter =
        std::max<span_ns>(MinRetryAfter, fromMs(BestEstimate.BacklogMs - Left));
    return Outcome;
  }
  const double Target = toMs(Query.Target);
  const double Late =
      BestEstimate.FirstChunkMs - Target * Options.MaxTargetMultiple;
  if (Target > 0 && Late > 0 &&
      BestEstimate.WaitMs > Target * Options.MinQueueFraction) {
    Outcome.Refusal.Kind = error_kind::QueueFull;
    Outcome.Refusal.RetryAfter = std::max<span_ns>(MinRetryAfter, fromMs(Late));
    return Outcome;
  }
  schedule_choice Choice;
  Choice.Upstream = Best->Entry.Id;
  Choice.Relay = Relay;
  Choice.ExpectedMs = BestEstimate.FirstChunkMs;
  Choice.BacklogMs = BestEstimate.BacklogMs;
  Choice.LatenessMs = BestEstimate.LatenessMs;
  Choice.EngineHeldTokens = BestEstimate.EngineHeldTokens;
  Choice.MissedTokens = BestEstimate.MissedTokens;
  Choice.CopiedTokens = BestEstimate.Copy.Tokens;
  Choice.FetchFrom = BestEstimate.Copy.From;
  Choice.SaveTo = BestEstimate.SaveTo;
  chooseWeights(*Best, Query.Model, Now, Choice);
  Choice.HeldTokens = BestEstimate.HeldTokens;
  Choice.InsertedTokens = BestEstimate.InsertedTokens;
  Choice.PrefillMs = BestEstimate.PrefillMs;
  Choice.Number = ++LastNumber;
  Choice.Learned = std::move(BestEstimate.Learned);
  if (Choice.Learned)
    Choice.Learned->Attributes = attributesOf(Query);
  Outcome.Choice = std::move(Choice);
  return Outcome;
}

void upstream_scheduler::chooseWeights(const upstream_state &State,
                                       std::string_view Model, instant Now,
                                       schedule_choice &Choice) const {
  Choice.Weights = weightsOf(State, Model);
  const weights_announcement *Newer = firstNewer(State, Model);
  if (!Choice.Weights && !Model.empty()) {
    // The engine refuses the request if it lacks the newest version.
    if (Announced.isAnyRequired(Model, Now))
      Choice.Weights = Announced.newest(Model)->Version;
    else
      Newer = Announced.firstOptional(Model, Now);
  }
  if (!Newer)
    return;
  Choice.OutdatedFor = Announced.age(*Newer, Now);
  Choice.StartBy = Announced.startBy(*Newer);
}

span_ns upstream_scheduler::availableIn(const schedule_query &Query,
                                        instant Now) {
  const candidate_set Set = findCandidates(Query, Now);
  if (!Set.Usable.empty())
    return span_ns(0);
  return Set.AvailableAt == instant::max() ? NoUpstreamRetry
                                           : Set.AvailableAt - Now;
}

bool upstream_scheduler::hasSoftware(const upstream_entry &Entry,
                                     const schedule_query &Query) {
  if (Query.Software.empty())
    return true;
  return Entry.Software == Query.Software &&
         (!Query.Unconfirmed ||
          Query.Unconfirmed->mayBeCurrent(Entry, Query.ListedAt));
}

upstream_scheduler::candidate_set
upstream_scheduler::findCandidates(const schedule_query &Query, instant Now) {
  candidate_set Set;
  std::vector<candidate> Relayed;
  std::optional<relay_set> Relays;
  for (auto &[Id, State] : States) {
    const bool Eligible = State.Entry.Service == Query.Service &&
                          State.Entry.isOpen() &&
                          hasSoftware(State.Entry, Query) &&
                          oldWeightsCostMs(State, Query.Model, 0, Now);
    if (!Eligible)
      continue;
    software_use Use = software_use::Allowed;
    if (Query.Releases)
      Use = Query.Releases->useOf(Query.Service, State.Entry.Software, Id,
                                  /*Continues=*/!Query.Software.empty(), Now);
    if (Use == software_use::Barred)
      continue;
    instant Available = std::max(State.AvoidUntil, State.PausedUntil);
    if (Query.Pauses)
      Available = std::max(Available, Query.Pauses->endOf(State.Entry));
    if (Query.Brittle)
      Available =
          std::max(Available, Query.Brittle->availableAt(State.Entry, Now));
    if (Query.Limits)
      Available = std::max(
          Available, Query.Limits->availableAt(Id, State.Entry.Domain, Now));
    std::string_view Relay;
    if (Query.Paths && Query.Paths->lostSince(State.Entry)) {
      if (!Relays)
        Relays = Query.MayRelay ? Query.Paths->relaysFor(Query.Service, Now)
                                : relay_set();
      Relay = Query.Paths->relayTo(State.Entry, *Relays).value_or("");
      if (Relay.empty())
        Available = std::max(Available, Query.Paths->directFrom(State.Entry));
    }
    // Only a later request may be sent to an upstream that was tried.
    if (contains(Query.Tried, Id) ||
        (Relay.empty() && contains(Query.Unreached, Id)))
      Available = std::max(Available, Now + NoUpstreamRetry);
    if (Now < Available)
      Set.AvailableAt = std::min(Set.AvailableAt, Available);
    else
      (Relay.empty() ? Set.Usable : Relayed).push_back({&State, Relay, Use});
  }
  addRelayed(Query, Relayed, Set);
  return Set;
}

void upstream_scheduler::addRelayed(const schedule_query &Query,
                                    std::span<const candidate> Relayed,
                                    candidate_set &Set) {
  const bool IsIsolated = Set.Usable.empty();
  for (const candidate &Candidate : Relayed) {
    const upstream_state &State = *Candidate.State;
    const bool PeerReachedIt =
        State.Load && !State.LoadIsOwn &&
        State.LoadAt > Query.Paths->lostSince(State.Entry);
    if (IsIsolated || PeerReachedIt)
      Set.Usable.push_back(Candidate);
  }
}

/// Returns the engine that prefills a shared prompt if no engine caches it. All
/// instances compute the same one without communication (rendezvous hashing).
/// Prompts with the same first segment are restricted to a few engines, as
/// otherwise every engine would cache every first segment.
const upstream_scheduler::upstream_state *
upstream_scheduler::homeOf(const schedule_query &Query,
                           std::span<const candidate> Usable) const {
  if (Query.Segments.size() < 2)
    return nullptr;
  const std::uint64_t First = Query.Segments.front().Chain;
  const std::uint64_t Shared = Query.Segments[Query.Segments.size() - 2].Chain;
  const auto Rank = [](const upstream_state *State, std::uint64_t Chain) {
    return XXH3_64bits_withSeed(State->Entry.Id.data(), State->Entry.Id.size(),
                                Chain);
  };
  std::vector<const upstream_state *> Group;
  for (const candidate &Candidate : Usable)
    Group.push_back(Candidate.State);
  const auto FleetFractionSize = static_cast<std::size_t>(
      Options.FleetFractionPerFirstSegment * static_cast<double>(Group.size()));
  const std::size_t Size =
      std::min(std::max(Options.EnginesPerFirstSegment, FleetFractionSize),
               Group.size());
  std::ranges::partial_sort(
      Group, Group.begin() + static_cast<std::ptrdiff_t>(Size),
      [&](const upstream_state *Left, const upstream_state *Right) {
        return Rank(Left, First) > Rank(Right, First);
      });
  return *std::max_element(
      Group.begin(), Group.begin() + static_cast<std::ptrdiff_t>(Size),
      [&](const upstream_state *Left, const upstream_state *Right) {
        return Rank(Left, Shared) < Rank(Right, Shared);
      });
}

void upstream_scheduler::onSent(const schedule_choice &Choice,
                                const schedule_query &Query, instant Now) {
  upstream_state *State = find(Choice.Upstream);
  if (!State)
    return;
  advanceBacklog(*State, Now);
  ++State->InFlight;
  State->ChangedAt = Now;
  State->BacklogMs += Choice.PrefillMs;
  State->SentPrefillMs += Choice.PrefillMs;
  State->HeldTokens += Choice.HeldTokens;
  if (Choice.Learned)
    State->Work.onSent(Choice.Number, Choice.Learned->ExpectedMs, Now);
  if (Choice.HeldTokens > 0) {
    constexpr double NewestWeight = 0.05;
    MeanHeldTokens = MeanHeldTokens == 0
                         ? Choice.HeldTokens
                         : MeanHeldTokens + NewestWeight * (Choice.HeldTokens -
                                                            MeanHeldTokens);
  }
  State->InsertedTokens += Choice.InsertedTokens;
  State->Segments.onInserted(Choice.InsertedTokens);
  for (const prompt_segment &Segment : Query.Segments) {
    const bool IsShared = &Segment != &Query.Segments.back();
    if (IsShared && Segment.Tokens >= Options.MinHintTokens)
      Hints.push_back({Choice.Upstream, Segment.Chain});
    State->Segments.onUsed(Segment.Chain);
  }
  recordStoreUse(Choice, Query);
}

/// Records that a store that was copied from or saved to caches the prefix
/// segments.
void upstream_scheduler::recordStoreUse(const schedule_choice &Choice,
                                        const schedule_query &Query) {
  for (cache_store &Store : Stores) {
    const bool Used =
        Choice.Weights && (Choice.SaveTo == Store.Spec.Address ||
                           Choice.FetchFrom == Store.Spec.Address);
    for (std::size_t Index = 0; Used && Index + 1 < Query.Segments.size();
         ++Index) {
      const std::uint64_t Chain =
          Query.Segments[Index].Chain ^ weightsHash(*Choice.Weights);
      if (Query.Segments[Index].Tokens >= Options.MinHintTokens)
        Hints.push_back({Store.Spec.Address, Chain});
      Store.Segments.onUsed(Chain);
    }
  }
}

void upstream_scheduler::onPeerHint(const segment_hint &Hint) {
  if (upstream_state *State = find(Hint.Upstream))
    State->Segments.onUsed(Hint.Chain);
  for (cache_store &Store : Stores)
    if (Store.Spec.Address == Hint.Upstream)
      Store.Segments.onUsed(Hint.Chain);
}

void upstream_scheduler::setCacheStores(
    std::span<const cache_store_spec> Specs) {
  std::vector<cache_store> Next;
  for (const cache_store_spec &Spec : Specs) {
    const auto Known =
        std::ranges::find(Stores, Spec.Address, [](const cache_store &Store) {
          return Store.Spec.Address;
        });
    if (Known != Stores.end())
      Next.push_back(std::move(*Known));
    else
      Next.push_back({Spec, cached_segments(), 0, {}});
    Next.back().Spec = Spec;
    Next.back().Segments.setCapacity(Options.CacheFraction * Spec.CacheTokens);
  }
  Stores = std::move(Next);
}

void upstream_scheduler::onFirstChunk(const schedule_choice &Choice,
                                      span_ns After, instant Now) {
  if (upstream_state *State = find(Choice.Upstream)) {
    State->LatenessMs = (latenessMs(*State, Now) +
                         std::max(0.0, toMs(After) - Choice.ExpectedMs)) /
                        2;
    State->LatenessAt = Now;
  }
  learnFirstChunk(Choice, After);
  for (cache_store &Store : Stores) {
    if (Choice.FetchFrom != Store.Spec.Address)
      continue;
    const bool Slow =
        toMs(After) > Choice.ExpectedMs + toMs(Options.SlowCopyDelay);
    Store.SlowCopies = Slow ? Store.SlowCopies + 1 : 0;
    if (Store.SlowCopies < 2)
      continue;
    Store.SlowCopies = 0;
    Store.PausedUntil = Now + Options.StorePause;
    // The store may have restarted empty.
    Store.Segments.clear();
  }
}

void upstream_scheduler::setEngine(std::string_view Service,
                                   const engine_spec &Engine) {
  Engines[std::string(Service)] = Engine;
}

void upstream_scheduler::onEnded(const schedule_choice &Choice, instant Now) {
  upstream_state *State = find(Choice.Upstream);
  if (!State || State->InFlight == 0)
    return;
  advanceBacklog(*State, Now);
  --State->InFlight;
  State->Work.onEnded(Choice.Number);
  State->ChangedAt = Now;
  State->HeldTokens = std::max(0.0, State->HeldTokens - Choice.HeldTokens);
  if (State->InFlight == 0)
    State->HeldTokens = 0;
}

void upstream_scheduler::onResponse(std::string_view Upstream, span_ns,
                                    const std::optional<reported_load> &Load,
                                    instant Now) {
  upstream_state *State = find(Upstream);
  if (!State)
    return;
  State->Failures = 0;
  if (!Load)
    return;
  recordLoad(*State, *Load, Now);
  State->LoadIsOwn = true;
}

std::vector<upstream_load_report>
upstream_scheduler::ownReportsSince(instant Since) const {
  std::vector<upstream_load_report> Reports;
  for (const auto &[Id, State] : States)
    if (State.Load && State.LoadIsOwn && State.LoadAt >= Since)
      Reports.push_back({Id, *State.Load, State.LoadAt});
  return Reports;
}

void upstream_scheduler::onPeerReport(const upstream_load_report &Report) {
  upstream_state *State = find(Report.Upstream);
  if (!State || (State->Load && State->LoadAt >= Report.At))
    return;
  recordLoad(*State, Report.Load, Report.At);
  State->LoadIsOwn = false;
}

void upstream_scheduler::onFailure(std::string_view Upstream, instant Now) {
  upstream_state *State = find(Upstream);
  if (!State)
    return;
  constexpr unsigned MaxDoublings = 8;
  const unsigned Doublings = std::min(State->Failures++, MaxDoublings);
  const span_ns Pause = std::min<span_ns>(
      Options.FailurePause * (1U << Doublings), Options.MaxFailurePause);
  State->AvoidUntil = std::max(State->AvoidUntil, Now + Pause);
}

void upstream_scheduler::onPathLost(std::string_view Upstream) {
  upstream_state *State = find(Upstream);
  // An upstream that was replaced stays avoided.
  if (!State || State->AvoidUntil == instant::max())
    return;
  State->Failures = 0;
  State->AvoidUntil = {};
}

void upstream_scheduler::onFull(std::string_view Upstream, instant Now) {
  upstream_state *State = find(Upstream);
  if (!State)
    return;
  // About the time in which a slot becomes free.
  constexpr span_ns FullPause = std::chrono::milliseconds(60);
  State->AvoidUntil = std::max(State->AvoidUntil, Now + FullPause);
}

void upstream_scheduler::onReplaced(std::string_view Upstream) {
  if (upstream_state *State = find(Upstream)) {
    State->Segments.clear();
    // Ends when discovery lists the process that runs there now.
    State->AvoidUntil = instant::max();
  }
}

void upstream_scheduler::onPeerLoad(std::string_view Peer,
                                    std::span<const peer_load> Loads,
                                    instant Now) {
  const auto Number =
      PeerNumbers
          .try_emplace(std::string(Peer),
                       static_cast<std::uint32_t>(PeerNumbers.size()))
          .first->second;
  for (const peer_load &Load : Loads) {
    upstream_state *State = find(Load.Upstream);
    if (!State)
      continue;
    advanceBacklog(*State, Now);
    const auto Added = State->Peers.onReport(Number, Load, Now);
    State->BacklogMs += Added.PrefillMs;
    State->Segments.onInserted(Added.InsertedTokens);
  }
}

std::vector<peer_load> upstream_scheduler::ownLoadsSince(instant Since,
                                                         instant Now) const {
  std::vector<peer_load> Loads;
  for (const auto &[Id, State] : States)
    if (State.InFlight > 0 ||
        (State.ChangedAt >= Since && State.ChangedAt != instant{}))
      Loads.push_back({Id, State.InFlight, State.SentPrefillMs,
                       State.HeldTokens, State.InsertedTokens,
                       ownRestMs(State, Now)});
  return Loads;
}

std::vector<upstream_view> upstream_scheduler::views(instant Now) {
  std::vector<upstream_view> Views;
  for (auto &[Id, State] : States) {
    upstream_view View;
    View.Entry = State.Entry;
    View.Usable = State.Entry.isOpen() && Now >= State.AvoidUntil &&
                  Now >= State.PausedUntil;
    View.Failures = State.Failures;
    View.InFlight = State.InFlight;
    State.Peers.expire(Now, Options.LoadReportTtl);
    View.InFlightOfPeers = State.Peers.inFlight();
    View.BacklogMs =
        std::max(0.0, State.BacklogMs - toMs(Now - State.BacklogAt));
    if (State.Load)
      View.ReportAge = Now - State.LoadAt;
    View.UsesLearnedCosts = usesLearnedCosts(State);
    View.Slowness = State.Speed.slowness(Now);
    View.LearnedSlowness = State.Speed.learned(Now);
    View.RestMs = ownRestMs(State, Now).value_or(0);
    View.Weights = State.Weights;
    Views.push_back(std::move(View));
  }
  return Views;
}

} // namespace ebonyvale
