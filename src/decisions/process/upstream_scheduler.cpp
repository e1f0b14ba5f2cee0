#include "decisions/process/upstream_scheduler.h"

#include <algorithm>
#include <limits>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace ebonyvale {
namespace {

/// Shortest advice to a refused caller.
constexpr span_ns MinRetryAfter = std::chrono::milliseconds(50);
/// Advice where no upstream is known at all.
constexpr span_ns NoUpstreamRetry = std::chrono::milliseconds(500);

} // namespace

upstream_scheduler::upstream_scheduler(
    schedule_terms Terms, std::string Domain,
    const std::map<std::string, std::string> &RegionOfDomain)
    : Terms(Terms), Domain(std::move(Domain)),
      RegionOfDomain(RegionOfDomain.begin(), RegionOfDomain.end()) {}

void upstream_scheduler::update(const upstream_directory &Directory) {
  std::erase_if(
      States, [&](const auto &Known) { return !Directory.find(Known.first); });
  for (const auto &[Id, Entry] : Directory.all()) {
    upstream_state &State = States[Id];
    if (!State.Entry.sameIncarnation(Entry)) {
      // Nothing of an earlier incarnation holds, but its running requests are
      // still to be ended here.
      const std::int64_t InFlight = State.InFlight;
      State = {};
      State.InFlight = InFlight;
    }
    State.Entry = Entry;
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
  schedule_outcome Outcome;
  const candidate_set Set = findCandidates(Query, Now);
  if (Set.Usable.empty()) {
    Outcome.Refusal = {error_kind::NoUpstream, NoUpstreamRetry};
    if (Set.FreeAt != instant::max())
      Outcome.Refusal.RetryAfter =
          std::max<span_ns>(MinRetryAfter, Set.FreeAt - Now);
    return Outcome;
  }
  const choice_context Context{homeOf(Query, Set.Usable), holdersOf(Query, Now),
                               updatedPart(Query.Model, Set.Usable)};
  upstream_state *Best = nullptr;
  estimate BestEstimate;
  for (upstream_state *State : Set.Usable) {
    const estimate Estimate = estimateFor(*State, Query, Context, Now);
    if (Best && Estimate.Ms >= BestEstimate.Ms)
      continue;
    Best = State;
    BestEstimate = Estimate;
  }
  const double Left = toMs(Query.TimeLeft);
  if (BestEstimate.BacklogMs > Left) {
    Outcome.Refusal.Kind = error_kind::DeadlineTooShort;
    Outcome.Refusal.RetryAfter =
        std::max<span_ns>(MinRetryAfter, fromMs(BestEstimate.BacklogMs - Left));
    return Outcome;
  }
  const double Target = toMs(Query.Target);
  const double Late = BestEstimate.FirstMs - Target * Terms.MostTargets;
  if (Target > 0 && Late > 0 &&
      BestEstimate.WaitMs > Target * Terms.QueuePart) {
    Outcome.Refusal.Kind = error_kind::QueueFull;
    Outcome.Refusal.RetryAfter = std::max<span_ns>(MinRetryAfter, fromMs(Late));
    return Outcome;
  }
  schedule_choice Choice;
  Choice.Upstream = Best->Entry.Id;
  Choice.ExpectedMs = BestEstimate.FirstMs;
  Choice.BacklogMs = BestEstimate.BacklogMs;
  Choice.SurplusMs = BestEstimate.SurplusMs;
  Choice.EngineHeldTokens = BestEstimate.EngineHeldTokens;
  Choice.MissedTokens = BestEstimate.MissedTokens;
  Choice.CopiedTokens = BestEstimate.Copy.Tokens;
  Choice.FetchFrom = BestEstimate.Copy.From;
  Choice.SaveTo = BestEstimate.SaveTo;
  Choice.Weights = weightsOf(*Best, Query.Model);
  Choice.HeldTokens = BestEstimate.HeldTokens;
  Choice.InsertedTokens = BestEstimate.InsertedTokens;
  Choice.WorkMs = BestEstimate.WorkMs;
  Outcome.Choice = std::move(Choice);
  return Outcome;
}

upstream_scheduler::candidate_set
upstream_scheduler::findCandidates(const schedule_query &Query, instant Now) {
  candidate_set Set;
  for (auto &[Id, State] : States) {
    const bool Wanted =
        State.Entry.Service == Query.Service && !State.Entry.Draining &&
        std::ranges::find(Query.Tried, Id) == Query.Tried.end() &&
        weightsCost(State, Query.Model, 0, Now);
    if (!Wanted)
      continue;
    const instant Free = std::max(State.AvoidUntil, State.PausedUntil);
    if (Now < Free)
      Set.FreeAt = std::min(Set.FreeAt, Free);
    else
      Set.Usable.push_back(&State);
  }
  return Set;
}

/// The engine on which a shared prompt is read when none holds it. All
/// instances agree on it without any message (rendezvous hashing). Prompts with
/// the same first part stay on a few engines, or each engine would hold all of
/// the first parts.
const upstream_scheduler::upstream_state *
upstream_scheduler::homeOf(const schedule_query &Query,
                           std::span<upstream_state *const> Usable) const {
  if (Query.Parts.size() < 2)
    return nullptr;
  const std::uint64_t First = Query.Parts.front().Chain;
  const std::uint64_t Shared = Query.Parts[Query.Parts.size() - 2].Chain;
  const auto Rank = [](const upstream_state *State, std::uint64_t Chain) {
    return XXH3_64bits_withSeed(State->Entry.Id.data(), State->Entry.Id.size(),
                                Chain);
  };
  std::vector<const upstream_state *> Group(Usable.begin(), Usable.end());
  const auto FleetPart = static_cast<std::size_t>(
      Terms.FleetPartPerFirstPart * static_cast<double>(Group.size()));
  const std::size_t Size =
      std::min(std::max(Terms.EnginesPerFirstPart, FleetPart), Group.size());
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
  backlog(*State, Now);
  ++State->InFlight;
  State->ChangedAt = Now;
  State->BacklogMs += Choice.WorkMs;
  State->SentMs += Choice.WorkMs;
  State->HeldTokens += Choice.HeldTokens;
  State->InsertedTokens += Choice.InsertedTokens;
  State->Parts.onInserted(Choice.InsertedTokens);
  for (const prompt_part &Part : Query.Parts) {
    const bool IsShared = &Part != &Query.Parts.back();
    if (IsShared && Part.Tokens >= Terms.MinHintTokens)
      Hints.push_back({Choice.Upstream, Part.Chain});
    State->Parts.note(Part.Chain);
  }
  noteStoreUse(Choice, Query);
}

/// A store that was copied from or saved to holds the shared parts from now on.
void upstream_scheduler::noteStoreUse(const schedule_choice &Choice,
                                      const schedule_query &Query) {
  for (cache_store &Store : Stores) {
    const bool Used =
        Choice.Weights && (Choice.SaveTo == Store.Place.Address ||
                           Choice.FetchFrom == Store.Place.Address);
    for (std::size_t Index = 0; Used && Index + 1 < Query.Parts.size();
         ++Index) {
      const std::uint64_t Chain =
          Query.Parts[Index].Chain ^ weightsMark(*Choice.Weights);
      if (Query.Parts[Index].Tokens >= Terms.MinHintTokens)
        Hints.push_back({Store.Place.Address, Chain});
      Store.Parts.note(Chain);
    }
  }
}

void upstream_scheduler::onPeerHint(const part_hint &Hint) {
  if (upstream_state *State = find(Hint.Upstream))
    State->Parts.note(Hint.Chain);
  for (cache_store &Store : Stores)
    if (Store.Place.Address == Hint.Upstream)
      Store.Parts.note(Hint.Chain);
}

void upstream_scheduler::setCacheStores(
    std::span<const cache_store_terms> Places) {
  std::vector<cache_store> Next;
  for (const cache_store_terms &Place : Places) {
    const auto Known =
        std::ranges::find(Stores, Place.Address, [](const cache_store &Store) {
          return Store.Place.Address;
        });
    if (Known != Stores.end())
      Next.push_back(std::move(*Known));
    else
      Next.push_back({Place, cached_parts(), 0, {}});
    Next.back().Place = Place;
    Next.back().Parts.setRoom(Terms.CacheRoom * Place.CacheTokens);
  }
  Stores = std::move(Next);
}

void upstream_scheduler::onFirstPart(const schedule_choice &Choice,
                                     span_ns After, instant Now) {
  if (upstream_state *State = find(Choice.Upstream)) {
    State->SurplusMs = (surplus(*State, Now) +
                        std::max(0.0, toMs(After) - Choice.ExpectedMs)) /
                       2;
    State->SurplusAt = Now;
  }
  for (cache_store &Store : Stores) {
    if (Choice.FetchFrom != Store.Place.Address)
      continue;
    const bool Slow = toMs(After) > Choice.ExpectedMs + toMs(Terms.SlowCopy);
    Store.SlowCopies = Slow ? Store.SlowCopies + 1 : 0;
    if (Store.SlowCopies < 2)
      continue;
    Store.SlowCopies = 0;
    Store.PausedUntil = Now + Terms.StorePause;
    // It may have come back empty.
    Store.Parts.clear();
  }
}

void upstream_scheduler::setEngine(std::string_view Service,
                                   const engine_terms &Engine) {
  Engines[std::string(Service)] = Engine;
}

void upstream_scheduler::onEnded(const schedule_choice &Choice, instant Now) {
  upstream_state *State = find(Choice.Upstream);
  if (!State || State->InFlight == 0)
    return;
  backlog(*State, Now);
  --State->InFlight;
  State->ChangedAt = Now;
  State->HeldTokens = std::max(0.0, State->HeldTokens - Choice.HeldTokens);
  if (State->InFlight == 0)
    State->HeldTokens = 0;
}

void upstream_scheduler::onAnswer(std::string_view Upstream, span_ns,
                                  const std::optional<reported_load> &Load,
                                  instant Now) {
  upstream_state *State = find(Upstream);
  if (!State)
    return;
  State->Failures = 0;
  if (!Load)
    return;
  State->Load = Load;
  State->LoadAt = Now;
}

void upstream_scheduler::onFailure(std::string_view Upstream, instant Now) {
  upstream_state *State = find(Upstream);
  if (!State)
    return;
  constexpr unsigned MaxDoublings = 8;
  const unsigned Doublings = std::min(State->Failures++, MaxDoublings);
  const span_ns Pause = std::min<span_ns>(
      Terms.FailurePause * (1U << Doublings), Terms.MaxFailurePause);
  State->AvoidUntil = std::max(State->AvoidUntil, Now + Pause);
}

void upstream_scheduler::onFull(std::string_view Upstream, instant Now) {
  upstream_state *State = find(Upstream);
  if (!State)
    return;
  /// About the time in which a slot becomes free.
  constexpr span_ns FullPause = std::chrono::milliseconds(60);
  State->AvoidUntil = std::max(State->AvoidUntil, Now + FullPause);
}

void upstream_scheduler::onReplaced(std::string_view Upstream) {
  if (upstream_state *State = find(Upstream)) {
    State->Parts.clear();
    // Until discovery names the process that runs there now.
    State->AvoidUntil = instant::max();
  }
}

void upstream_scheduler::onPeerLoad(std::string_view Peer,
                                    std::span<const peer_load> Loads,
                                    instant Now) {
  for (const peer_load &Load : Loads) {
    upstream_state *State = find(Load.Upstream);
    if (!State)
      continue;
    const auto [Known, New] = State->Peers.try_emplace(std::string(Peer));
    peer_view &View = Known->second;
    // What a peer did before it was first heard is over; one that has started
    // anew counts from zero.
    const auto Since = [New = New](double Sum, double Before) {
      if (New)
        return 0.0;
      return Sum < Before ? Sum : Sum - Before;
    };
    backlog(*State, Now);
    State->BacklogMs += Since(Load.SentMs, View.SentMs);
    State->Parts.onInserted(Since(Load.InsertedTokens, View.InsertedTokens));
    View = {Load.InFlight, Load.HeldTokens, Load.SentMs, Load.InsertedTokens,
            Now};
  }
}

std::vector<peer_load> upstream_scheduler::ownLoad(instant Since) const {
  std::vector<peer_load> Loads;
  for (const auto &[Id, State] : States)
    if (State.InFlight > 0 ||
        (State.ChangedAt >= Since && State.ChangedAt != instant{}))
      Loads.push_back({Id, State.InFlight, State.SentMs, State.HeldTokens,
                       State.InsertedTokens});
  return Loads;
}

std::vector<upstream_view> upstream_scheduler::views(instant Now) const {
  std::vector<upstream_view> Views;
  for (const auto &[Id, State] : States) {
    upstream_view View;
    View.Entry = State.Entry;
    View.Usable = !State.Entry.Draining && Now >= State.AvoidUntil &&
                  Now >= State.PausedUntil;
    View.Failures = State.Failures;
    View.InFlight = State.InFlight;
    for (const auto &[Name, Peer] : State.Peers)
      if (Now - Peer.At <= Terms.LoadTerm)
        View.InFlightOfPeers += Peer.InFlight;
    View.BacklogMs =
        std::max(0.0, State.BacklogMs - toMs(Now - State.BacklogAt));
    if (State.Load)
      View.ReportAge = Now - State.LoadAt;
    View.Weights = State.Weights;
    Views.push_back(std::move(View));
  }
  return Views;
}

void upstream_scheduler::wantWeights(std::string_view Model,
                                     std::int64_t Version, bool FoundAtStart,
                                     instant Now) {
  std::vector<named_weights> &Versions = Named[std::string(Model)];
  if (!Versions.empty() && Version <= Versions.back().Version)
    return;
  const instant LearntAt =
      FoundAtStart ? Now - (Terms.OldWeightsBound - Terms.AssumedLeft) : Now;
  Versions.push_back({std::string(Model), Version, LearntAt, FoundAtStart});
}

std::vector<named_weights>
upstream_scheduler::recentWeights(instant Now) const {
  std::vector<named_weights> Recent;
  for (const auto &[Model, Versions] : Named)
    for (const named_weights &Weights : Versions)
      if (!Weights.Assumed && Now - Weights.LearntAt < Terms.WeightsMemory)
        Recent.push_back(Weights);
  return Recent;
}

void upstream_scheduler::onPeerWeights(const named_weights &Told) {
  std::vector<named_weights> &Versions = Named[Told.Model];
  const auto Place = std::ranges::lower_bound(Versions, Told.Version, {},
                                              &named_weights::Version);
  if (Place == Versions.end() || Place->Version != Told.Version) {
    // The store keeps the newest version only; a new process learns of the ones
    // before it here.
    Versions.insert(Place, Told);
    return;
  }
  if (!Place->Assumed)
    return;
  Place->LearntAt = std::max(Place->LearntAt, Told.LearntAt);
  Place->Assumed = false;
}

void upstream_scheduler::onWeightsUnknown(std::string_view Upstream,
                                          std::string_view Model, instant Now) {
  upstream_state *State = find(Upstream);
  if (!State)
    return;
  State->Weights.erase(std::string(Model));
  State->Parts.clear();
  State->AvoidUntil =
      std::max(State->AvoidUntil, Now + std::chrono::milliseconds(100));
}

void upstream_scheduler::onWeights(std::string_view Upstream,
                                   std::string_view Model,
                                   std::int64_t Version) {
  upstream_state *State = find(Upstream);
  if (!State)
    return;
  std::int64_t &Held = State->Weights[std::string(Model)];
  if (Version <= Held)
    return;
  Held = Version;
  // New weights void the cache.
  State->Parts.clear();
}

void upstream_scheduler::pause(std::string_view Upstream, instant Until) {
  if (upstream_state *State = find(Upstream))
    State->PausedUntil = Until;
}

} // namespace ebonyvale
