#include "decisions/process/fleet_simulation.h"

#include <algorithm>
#include <deque>
#include <list>
#include <memory>
#include <queue>
#include <random>

namespace ebonyvale {
namespace {

using namespace std::chrono_literals;

// From the published data sheet of the engines; sizes are in tokens.
constexpr double CacheTokens = 119'004;
constexpr double FirstSegmentTokens = 2520;
constexpr double DocumentTokens = 3780;
constexpr double CopyTokensPerMs = 880;

/// LRU cache of prompt segments.
class lru_cache {
public:
  /// Marks \p Segment as used. Returns whether it is cached.
  bool use(std::uint64_t Segment) {
    const auto Found = std::ranges::find(Segments, Segment, &entry::Segment);
    if (Found == Segments.end())
      return false;
    Segments.splice(Segments.begin(), Segments, Found);
    return true;
  }
  bool has(std::uint64_t Segment) const {
    return std::ranges::find(Segments, Segment, &entry::Segment) !=
           Segments.end();
  }
  void add(std::uint64_t Segment, double Tokens) {
    if (use(Segment))
      return;
    Segments.push_front({Segment, Tokens, 0});
    CachedTokens += Tokens;
  }
  /// Adds \p Change to the number of running requests that use \p Segment.
  /// Segments in use are not evicted.
  void pin(std::uint64_t Segment, int Change) {
    const auto Found = std::ranges::find(Segments, Segment, &entry::Segment);
    if (Found != Segments.end())
      Found->Users += Change;
  }
  /// Evicts unpinned segments until at most \p Capacity tokens are left, if
  /// possible.
  void evictTo(double Capacity) {
    for (auto Oldest = Segments.end();
         CachedTokens > Capacity && Oldest != Segments.begin();) {
      --Oldest;
      if (Oldest->Users > 0)
        continue;
      CachedTokens -= Oldest->Tokens;
      Oldest = Segments.erase(Oldest);
    }
  }

private:
  struct entry {
    std::uint64_t Segment;
    double Tokens;
    int Users;
  };
  std::list<entry> Segments;
  double CachedTokens = 0;
};

struct engine {
  lru_cache Cache;
  instant FreeAt; ///< when the prefill of all prompts so far has ended
  std::size_t Requests = 0;
  std::size_t InFlight = 0; ///< running and waiting
  bool HasNewWeights = false;
  bool Unresponsive = false;
  double Slowness = 1;
  std::vector<instant> EndTimes; ///< of the requests in flight
};

struct prompt {
  std::vector<prompt_segment> Segments;
  std::size_t Instance;
  bool IsHeavy;
};

/// A prompt that is placed again at `At`.
struct retried_prompt {
  instant At;
  prompt Prompt;
};

struct running_request {
  instant EndsAt;
  span_ns FirstTokenAfter;
  span_ns EndsAfter;
  prompt Prompt;
  std::size_t Engine;
  schedule_choice Choice;
  bool operator>(const running_request &Other) const {
    return EndsAt > Other.EndsAt;
  }
};

std::string engineName(std::size_t Index) {
  return "e" + std::to_string(Index);
}

class fleet_simulator {
public:
  fleet_simulator(simulation_policy Policy, const simulated_load &Load)
      : Policy(Policy), Load(Load), Random(Load.Seed), Engines(Load.Engines) {
    std::vector<upstream_entry> Entries;
    for (std::size_t Index = 0; Index < Load.Engines; ++Index) {
      upstream_entry Entry;
      Entry.Id = engineName(Index);
      Entry.Service = "s";
      Entry.Address = "10.0.0.1";
      Entry.Port = static_cast<std::uint16_t>(1000 + Index);
      Entry.Slots = static_cast<std::int64_t>(Load.Slots);
      Entry.Domain = "d";
      if (!Load.IsPlain)
        Entry.Models = {{"m", 1}};
      Entries.push_back(Entry);
    }
    for (std::size_t Index = 0; Index < Load.Engines; ++Index)
      Engines[Index].Slowness =
          Load.MinSlowness +
          (Load.MaxSlowness - Load.MinSlowness) * static_cast<double>(Index) /
              static_cast<double>(std::max<std::size_t>(1, Load.Engines - 1));
    upstream_directory Directory;
    Directory.setAll(Entries, listing_kind::Continuous, instant{});
    for (std::size_t Index = 0; Index < Load.Instances; ++Index) {
      Schedulers.push_back(std::make_unique<upstream_scheduler>(
          Load.SchedulerOptions, "d",
          std::map<std::string, std::string>{{"d", "r"}}));
      Schedulers.back()->setEngine("s", {CacheTokens, CopyTokensPerMs});
      Schedulers.back()->update(Directory);
    }
  }

  simulation_result run() {
    std::exponential_distribution<double> Interval(Load.PerSecond / 1000);
    instant NextGossip;
    for (instant Now; Now < instant(Load.Length);
         Now += fromMs(Interval(Random))) {
      endRequests(Now);
      for (; NextGossip <= Now; NextGossip += Load.GossipInterval)
        gossip(NextGossip);
      if (Now > instant(Load.Length / 3))
        for (std::size_t Index = 0; Index < Load.EnginesDown; ++Index)
          Engines[Index].Unresponsive = true;
      rolloutWeights(Now);
      for (; !Retries.empty() && Retries.front().At <= Now; Retries.pop_front())
        place(Retries.front().Prompt, Retries.front().At);
      place(makePrompt(), Now);
    }
    for (const engine &Engine : Engines)
      Result.MaxEngineShare =
          std::max(Result.MaxEngineShare,
                   static_cast<double>(Engine.Requests * Engines.size()) /
                       static_cast<double>(
                           std::max<std::size_t>(1, Result.PromptCount)));
    return Result;
  }

private:
  prompt makePrompt() {
    std::uniform_real_distribution<double> Chance(0, 1);
    std::uniform_int_distribution<std::size_t> Document(0, Load.Documents - 1);
    std::uniform_int_distribution<std::size_t> Instance(0, Load.Instances - 1);
    const std::size_t Chosen =
        Chance(Random) < Load.HotFraction ? 0 : Document(Random);
    const std::uint64_t First = 1 + Chosen % Load.DocumentGroups;
    const bool IsLong = Load.LongTokensFactor > 1 && Chance(Random) < 0.5;
    const double OwnTokens =
        Load.OwnTokens * (IsLong ? Load.LongTokensFactor : 1);
    prompt Prompt{
        {{First * 0x9e3779b97f4a7c15, std::int64_t(FirstSegmentTokens)},
         {(1000 + Chosen) * 0xc2b2ae3d27d4eb4f, std::int64_t(DocumentTokens)},
         {++LastUnique * 0x165667b19e3779f9, std::int64_t(OwnTokens)}},
        Instance(Random),
        Load.HeavyFraction > 0 && Chance(Random) < Load.HeavyFraction};
    if (Load.IsPlain)
      Prompt.Segments.clear();
    return Prompt;
  }

  schedule_query queryOf(const prompt &Prompt) const {
    schedule_query Query;
    Query.Service = "s";
    Query.Route = "r";
    Query.Team = Prompt.IsHeavy ? "heavy" : "light";
    Query.TimeLeft = 4s;
    Query.Target = Load.Target;
    if (Load.IsPlain)
      return Query;
    Query.Model = "m";
    Query.Segments = Prompt.Segments;
    for (const prompt_segment &Segment : Prompt.Segments)
      Query.PromptTokens += static_cast<double>(Segment.Tokens);
    Query.ResponseTokens = 10;
    return Query;
  }

  std::optional<schedule_choice> choose(const prompt &Prompt, instant Now) {
    if (Policy == simulation_policy::Scheduler) {
      const auto Outcome =
          Schedulers[Prompt.Instance]->choose(queryOf(Prompt), Now);
      return Outcome.Choice;
    }
    schedule_choice Choice;
    std::size_t Index = 0;
    if (Policy == simulation_policy::RoundRobin)
      Index = NextEngine++ % Engines.size();
    else if (Policy == simulation_policy::PlainAffinity)
      Index = Prompt.Segments[1].Chain % Engines.size();
    else if (Policy == simulation_policy::Oracle)
      Index = earliestEnd(Prompt, Now);
    else if (Load.IsPlain)
      Index = static_cast<std::size_t>(
          std::ranges::min_element(Engines, {}, &engine::InFlight) -
          Engines.begin());
    else
      Index = static_cast<std::size_t>(
          std::ranges::min_element(Engines, {}, &engine::FreeAt) -
          Engines.begin());
    Choice.Upstream = engineName(Index);
    return Choice;
  }

  /// Returns the tokens of \p Prompt that \p Engine has to prefill.
  double missingTokens(const engine &Engine, const prompt &Prompt) const {
    double Tokens = 0;
    for (const auto &[Chain, Length] : Prompt.Segments)
      if (Tokens > 0 || !Engine.Cache.has(Chain))
        Tokens += static_cast<double>(Length);
    return Tokens;
  }

  std::size_t earliestEnd(const prompt &Prompt, instant Now) const {
    const auto EndAt = [&](const engine &Engine) {
      const instant Start = std::max({Now, Engine.FreeAt, slotFreeAt(Engine)});
      return Start +
             fromMs((missingTokens(Engine, Prompt) / Load.PrefillTokensPerMs +
                     serviceMs(Prompt)) *
                    Engine.Slowness);
    };
    return static_cast<std::size_t>(
        std::ranges::min_element(Engines, {}, EndAt) - Engines.begin());
  }

  double serviceMs(const prompt &Prompt) const {
    return Load.ServiceMs * (Prompt.IsHeavy ? Load.HeavyFactor : 1);
  }

  void place(const prompt &Prompt, instant Now) {
    ++Result.PromptCount;
    const auto Choice = choose(Prompt, Now);
    if (!Choice) {
      ++Result.Refused;
      return;
    }
    const std::size_t Index = std::stoul(Choice->Upstream.substr(1));
    engine &Engine = Engines[Index];
    upstream_scheduler &Scheduler = *Schedulers[Prompt.Instance];
    if (Engine.Unresponsive) {
      if (Policy == simulation_policy::Scheduler)
        Scheduler.onFailure(Choice->Upstream, Now);
      // The prompt is placed again after the connection attempt has timed out.
      return retry(Prompt, Now + 300ms);
    }
    // An engine queues three requests for each slot and rejects further ones.
    constexpr std::size_t MaxInFlightPerSlot = 4;
    if (Engine.InFlight >= MaxInFlightPerSlot * Load.Slots) {
      ++Result.EngineRejections;
      if (Policy == simulation_policy::Scheduler)
        Scheduler.onFull(Choice->Upstream, Now);
      return retry(Prompt, Now + 10ms);
    }
    ++Engine.InFlight;
    ++Engine.Requests;
    countOldWeights(Engine, Now);
    double Prefill =
        Load.IsPlain ? 0 : static_cast<double>(Prompt.Segments.back().Tokens);
    double CopyMs = 0;
    const engine *Source = nullptr;
    for (std::size_t Other = 0; Other < Engines.size(); ++Other)
      if (Choice->FetchFrom == "10.0.0.1:" + std::to_string(1000 + Other))
        Source = &Engines[Other];
    bool PrefixCached = true;
    for (std::size_t Segment = 0; Segment + 1 < Prompt.Segments.size();
         ++Segment) {
      const auto &[Chain, Tokens] = Prompt.Segments[Segment];
      if (PrefixCached && Engine.Cache.use(Chain))
        continue;
      if (Source && Source->Cache.has(Chain)) {
        CopyMs += static_cast<double>(Tokens) / CopyTokensPerMs;
        continue;
      }
      PrefixCached = false;
      Prefill += static_cast<double>(Tokens);
    }
    Result.PrefillTokens += Prefill;
    for (const prompt_segment &Segment : Prompt.Segments) {
      Engine.Cache.add(Segment.Chain, static_cast<double>(Segment.Tokens));
      Engine.Cache.pin(Segment.Chain, 1);
    }
    Engine.Cache.evictTo(CacheTokens);
    instant Start = std::max(Now + fromMs(CopyMs), Engine.FreeAt);
    Start = std::max(Start, slotFreeAt(Engine));
    if (!Load.IsPlain)
      Engine.FreeAt =
          Start + fromMs(Prefill / Load.PrefillTokensPerMs * Engine.Slowness);
    const instant Prefilled = Load.IsPlain ? Start : Engine.FreeAt;
    const span_ns Service = fromMs(serviceMs(Prompt) * Engine.Slowness);
    const instant First =
        Prefilled +
        (Load.IsPlain ? Service : fromMs(Load.FirstTokenMs * Engine.Slowness));
    const instant End = Load.IsPlain ? First : First + Service;
    Result.OnTime += First - Now <= Load.Target ? 1 : 0;
    Result.FirstMs.push_back(toMs(First - Now));
    if (Policy == simulation_policy::Scheduler)
      Scheduler.onSent(*Choice, queryOf(Prompt), Now);
    Engine.EndTimes.push_back(End);
    Running.push({End, First - Now, End - Now, Prompt, Index, *Choice});
  }

  void retry(const prompt &Prompt, instant At) {
    --Result.PromptCount;
    const auto Position =
        std::ranges::upper_bound(Retries, At, {}, &retried_prompt::At);
    Retries.insert(Position, {At, Prompt});
  }

  /// Returns when \p Engine has a free slot, after all requests sent before.
  instant slotFreeAt(const engine &Engine) const {
    if (Engine.EndTimes.size() < Load.Slots)
      return {};
    std::vector<instant> Ends = Engine.EndTimes;
    std::ranges::sort(Ends);
    return Ends[Ends.size() - Load.Slots];
  }

  /// Advances the rollout of new weights, see `simulated_load::NewWeights`.
  void rolloutWeights(instant Now) {
    constexpr std::size_t Batches = 5;
    constexpr span_ns BatchTime = std::chrono::seconds(1);
    const instant RolloutAt = instant(Load.Length / 3);
    if (!Load.NewWeights || Now < RolloutAt)
      return;
    for (std::size_t Batch = NextBatch; Batch <= Batches; ++Batch) {
      if (Now < RolloutAt + BatchTime * static_cast<std::int64_t>(Batch))
        return;
      NextBatch = Batch + 1;
      for (std::size_t Index = 0; Index < Engines.size(); ++Index) {
        const bool Finishes = Batch > 0 && Index % Batches == Batch - 1;
        const bool Starts = Index % Batches == Batch;
        if (Finishes) {
          Engines[Index].HasNewWeights = true;
          Engines[Index].Cache = {};
        }
        for (const auto &Scheduler : Schedulers) {
          if (Batch == 0)
            Scheduler->announcedWeights().onRead("m", 2, Now, Now);
          if (Finishes)
            Scheduler->onWeights(engineName(Index), "m", 2);
          if (Finishes || Starts)
            Scheduler->pause(engineName(Index),
                             Finishes ? Now : Now + BatchTime);
        }
      }
    }
  }

  void countOldWeights(const engine &Engine, instant Now) {
    constexpr span_ns Grace = 1500ms;
    if (Load.NewWeights && !Engine.HasNewWeights &&
        Now >= instant(Load.Length / 3) + Grace)
      ++Result.OnOldWeights;
  }

  void endRequests(instant Now) {
    while (!Running.empty() && Running.top().EndsAt <= Now) {
      const running_request Done = Running.top();
      Running.pop();
      --Engines[Done.Engine].InFlight;
      std::erase_if(Engines[Done.Engine].EndTimes,
                    [Now](instant End) { return End <= Now; });
      for (const prompt_segment &Segment : Done.Prompt.Segments)
        Engines[Done.Engine].Cache.pin(Segment.Chain, -1);
      if (Policy != simulation_policy::Scheduler)
        continue;
      upstream_scheduler &Scheduler = *Schedulers[Done.Prompt.Instance];
      if (Load.StatesLoad)
        Scheduler.onResponse(Done.Choice.Upstream, Done.EndsAfter,
                             loadOf(Engines[Done.Engine]), Done.EndsAt);
      Scheduler.onFirstChunk(Done.Choice, Done.FirstTokenAfter, Done.EndsAt);
      Scheduler.onServed(Done.Choice, Done.FirstTokenAfter, Done.EndsAfter,
                         Done.EndsAt);
      Scheduler.onEnded(Done.Choice, Done.EndsAt);
    }
  }

  reported_load loadOf(const engine &Engine) const {
    constexpr double Percent = 100;
    const std::size_t Running = std::min(Engine.InFlight, Load.Slots);
    return {static_cast<std::int64_t>(Running),
            static_cast<std::int64_t>(Engine.InFlight - Running),
            static_cast<std::int64_t>(Load.Slots),
            static_cast<std::int64_t>(Percent * Engine.Slowness)};
  }

  void gossip(instant Now) {
    if (Policy != simulation_policy::Scheduler)
      return;
    for (std::size_t From = 0; From < Schedulers.size(); ++From) {
      const auto Loads = Schedulers[From]->ownLoadsSince(
          Now - Load.GossipInterval *
                    static_cast<std::int64_t>(
                        2 * (1 + Schedulers.size() / Load.GossipPeers)),
          Now);
      const auto Hints = Schedulers[From]->takeHints();
      const auto Summaries = Schedulers[From]->costs().takeSummaries();
      const std::size_t Others = Schedulers.size() - 1;
      for (std::size_t Sent = 0; Sent < std::min(Load.GossipPeers, Others);
           ++Sent) {
        const std::size_t To =
            (From + 1 + NextPeer++ % Others) % Schedulers.size();
        Schedulers[To]->onPeerLoad("i" + std::to_string(From), Loads, Now);
        for (const segment_hint &Hint : Hints)
          Schedulers[To]->onPeerHint(Hint);
        for (const cost_summary &Summary : Summaries)
          Schedulers[To]->costs().onPeerSummary(Summary);
      }
    }
  }

  simulation_policy Policy;
  simulated_load Load;
  std::mt19937 Random;
  std::vector<engine> Engines;
  std::vector<std::unique_ptr<upstream_scheduler>> Schedulers;
  std::priority_queue<running_request, std::vector<running_request>,
                      std::greater<>>
      Running;
  std::deque<retried_prompt> Retries; ///< by time
  std::uint64_t LastUnique = 0;
  std::size_t NextEngine = 0;
  std::size_t NextPeer = 0;
  std::size_t NextBatch = 0; ///< first whose rollout has not started
  simulation_result Result;
};

} // namespace

double simulation_result::firstMs(double Fraction) {
  if (FirstMs.empty())
    return 0;
  const auto Position =
      FirstMs.begin() + static_cast<std::ptrdiff_t>(
                            Fraction * static_cast<double>(FirstMs.size() - 1));
  std::ranges::nth_element(FirstMs, Position);
  return *Position;
}

simulation_result simulateFleet(simulation_policy Policy,
                                const simulated_load &Load) {
  return fleet_simulator(Policy, Load).run();
}

} // namespace ebonyvale
