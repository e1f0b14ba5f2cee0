#include "decisions/process/upstream_scheduler.h"

#include <algorithm>
#include <limits>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace ebonyvale {
namespace {

double toMs(span_ns Span) {
  return std::chrono::duration<double, std::milli>(Span).count();
}

span_ns fromMs(double Millis) {
  constexpr double NanosPerMs = 1e6;
  return span_ns(static_cast<std::int64_t>(Millis * NanosPerMs));
}

/// Shortest advice to a refused caller.
constexpr span_ns MinRetryAfter = std::chrono::milliseconds(50);
/// Advice where no upstream is known at all.
constexpr span_ns NoUpstreamRetry = std::chrono::milliseconds(500);

} // namespace

upstream_scheduler::upstream_scheduler(
    schedule_terms Terms, std::string Domain,
    std::map<std::string, std::string> RegionOfDomain)
    : Terms(Terms), Domain(std::move(Domain)),
      RegionOfDomain(std::move(RegionOfDomain)) {}

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
  // The shared prefix has one home that all instances agree on without any
  // message (rendezvous hashing).
  std::uint64_t Shared = 0;
  if (Query.Parts.size() > 1)
    Shared = Query.Parts[Query.Parts.size() - 2].Chain;
  else if (!Query.Parts.empty())
    Shared = Query.Parts.front().Chain;
  std::uint64_t HomeRank = 0;
  std::uint64_t Home = 0;
  std::vector<upstream_state *> Candidates;
  bool Known = false;
  instant FreeAt = instant::max();
  for (auto &[Id, State] : States) {
    if (State.Entry.Service != Query.Service || State.Entry.Draining)
      continue;
    if (std::ranges::find(Query.Tried, Id) != Query.Tried.end())
      continue;
    Known = true;
    const std::uint64_t IdHash = XXH3_64bits(Id.data(), Id.size());
    const std::uint64_t Rank =
        XXH3_64bits_withSeed(&Shared, sizeof(Shared), IdHash);
    if (Rank >= HomeRank) {
      HomeRank = Rank;
      Home = IdHash;
    }
    if (!weightsCost(State, Query.Model, Now))
      continue;
    const instant Free = std::max(State.AvoidUntil, State.PausedUntil);
    if (Now < Free) {
      FreeAt = std::min(FreeAt, Free);
      continue;
    }
    Candidates.push_back(&State);
  }
  if (Candidates.empty()) {
    Outcome.Refusal.Kind = error_kind::NoUpstream;
    Outcome.Refusal.RetryAfter =
        Known && FreeAt != instant::max()
            ? std::max<span_ns>(MinRetryAfter, FreeAt - Now)
            : NoUpstreamRetry;
    return Outcome;
  }
  upstream_state *Best = nullptr;
  estimate BestEstimate;
  for (upstream_state *State : Candidates) {
    const estimate Estimate = estimateFor(*State, Query, Home, Now);
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
  Outcome.Choice =
      schedule_choice{Best->Entry.Id, BestEstimate.Ms, BestEstimate.BacklogMs,
                      BestEstimate.MissedTokens};
  return Outcome;
}

double upstream_scheduler::backlog(upstream_state &State, instant Now) const {
  State.BacklogMs =
      std::max(0.0, State.BacklogMs - toMs(Now - State.BacklogAt));
  State.BacklogAt = Now;
  double Sum = State.BacklogMs;
  std::int64_t InFlight = State.InFlight;
  for (const auto &[Name, View] : State.Peers) {
    if (Now - View.At > Terms.LoadTerm)
      continue;
    Sum += std::max(0.0, View.BacklogMs - toMs(Now - View.At));
    InFlight += View.InFlight;
  }
  if (State.Load && Now - State.LoadAt <= Terms.LoadTerm)
    InFlight = std::max(InFlight, State.Load->Running + State.Load->Waiting);
  const auto Slots = std::max<std::int64_t>(1, State.Entry.Slots);
  if (isPlain(State)) {
    // Calls share the slots; what does not fit waits for whole turns.
    const double Turns =
        static_cast<double>(InFlight) / static_cast<double>(Slots);
    return Turns * Terms.PlainWorkMs;
  }
  // Full engines admit a request when another one ends.
  if (InFlight >= Slots)
    Sum += Terms.FirstTokenMs * static_cast<double>(InFlight - Slots + 1);
  return Sum;
}

double upstream_scheduler::distance(const upstream_state &State) const {
  if (State.Entry.Domain == Domain)
    return 0;
  const auto Own = RegionOfDomain.find(Domain);
  const auto Theirs = RegionOfDomain.find(State.Entry.Domain);
  const bool SameRegion = Own != RegionOfDomain.end() &&
                          Theirs != RegionOfDomain.end() &&
                          Own->second == Theirs->second;
  return SameRegion ? Terms.DomainMs : Terms.RegionMs;
}

upstream_scheduler::estimate
upstream_scheduler::estimateFor(upstream_state &State,
                                const schedule_query &Query, std::uint64_t Home,
                                instant Now) const {
  estimate Estimate;
  Estimate.BacklogMs = backlog(State, Now);
  Estimate.Ms = Estimate.BacklogMs + distance(State);
  if (isPlain(State)) {
    Estimate.Ms += Terms.PlainWorkMs;
    return Estimate;
  }
  const std::string &Id = State.Entry.Id;
  const bool IsHome = XXH3_64bits(Id.data(), Id.size()) == Home;
  double Tokens = Query.PromptTokens;
  bool Unbroken = true;
  for (const prompt_part &Part : Query.Parts) {
    const auto Found = State.Parts.find(Part.Chain);
    const bool Believed =
        Found != State.Parts.end() && Now - Found->second < Terms.CacheTerm;
    // The last part is the request's own; nobody else can have brought it.
    const bool IsShared = &Part != &Query.Parts.back();
    Unbroken = Unbroken && (Believed || (IsHome && IsShared));
    if (Unbroken)
      Tokens -= static_cast<double>(Part.Tokens);
    else if (IsShared)
      Estimate.MissedTokens += static_cast<double>(Part.Tokens);
  }
  Estimate.Ms +=
      Terms.FirstTokenMs + std::max(0.0, Tokens) / Terms.PrefillTokensPerMs;
  Estimate.Ms += *weightsCost(State, Query.Model, Now);
  return Estimate;
}

/// Nothing where the upstream's weights are too old to be used at all.
std::optional<double>
upstream_scheduler::weightsCost(const upstream_state &State,
                                std::string_view Model, instant Now) const {
  const auto Newest = Wanted.find(Model);
  if (Newest == Wanted.end())
    return 0;
  const auto Held = State.Weights.find(Model);
  if (Held == State.Weights.end() || Held->second >= Newest->second.Version)
    return 0;
  const span_ns Age = Now - Newest->second.LearntAt;
  if (Age > Terms.OldWeightsBound)
    return std::nullopt;
  return Age > Terms.OldWeightsGrace ? Terms.OldWeightsMs : 0;
}

void upstream_scheduler::onSent(const schedule_choice &Choice,
                                const schedule_query &Query, instant Now) {
  upstream_state *State = find(Choice.Upstream);
  if (!State)
    return;
  backlog(*State, Now);
  ++State->InFlight;
  double Tokens = Query.PromptTokens;
  for (const prompt_part &Part : Query.Parts)
    if (&Part != &Query.Parts.back())
      Tokens -= static_cast<double>(Part.Tokens);
  Tokens = std::max(0.0, Tokens) + Choice.MissedTokens;
  State->BacklogMs += Tokens / Terms.PrefillTokensPerMs;
  remember(*State, Query.Parts, Now);
}

void upstream_scheduler::remember(upstream_state &State,
                                  std::span<const prompt_part> Parts,
                                  instant Now) const {
  for (const prompt_part &Part : Parts)
    State.Parts[Part.Chain] = Now;
  if (State.Parts.size() <= Terms.MaxParts)
    return;
  std::erase_if(State.Parts, [&](const auto &Part) {
    return Now - Part.second > Terms.CacheTerm / 2;
  });
}

void upstream_scheduler::onEnded(std::string_view Upstream, instant Now) {
  upstream_state *State = find(Upstream);
  if (!State || State->InFlight == 0)
    return;
  backlog(*State, Now);
  --State->InFlight;
  if (State->InFlight == 0)
    State->BacklogMs = 0;
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
  for (auto &[Id, State] : States)
    if (const auto Found = State.Peers.find(Peer); Found != State.Peers.end())
      State.Peers.erase(Found);
  for (const peer_load &Load : Loads)
    if (upstream_state *State = find(Load.Upstream))
      State->Peers.insert_or_assign(
          std::string(Peer), peer_view{Load.InFlight, Load.BacklogMs, Now});
}

std::vector<peer_load> upstream_scheduler::ownLoad(instant Now) {
  std::vector<peer_load> Loads;
  for (auto &[Id, State] : States) {
    backlog(State, Now);
    if (State.InFlight > 0)
      Loads.push_back({Id, State.InFlight, State.BacklogMs});
  }
  return Loads;
}

void upstream_scheduler::wantWeights(std::string_view Model,
                                     std::int64_t Version, instant Now) {
  wanted_weights &Entry = Wanted[std::string(Model)];
  if (Version > Entry.Version)
    Entry = {Version, Now};
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
