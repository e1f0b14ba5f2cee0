#include "decisions/process/fleet_play.h"

#include <algorithm>
#include <deque>
#include <list>
#include <memory>
#include <queue>
#include <random>

namespace ebonyvale {
namespace {

using namespace std::chrono_literals;

// From the engines' data sheet, as the users publish it.
constexpr double ReadTokensPerMs = 81.9;
constexpr double FirstTokenMs = 41;
constexpr double CacheTokens = 119'004;
constexpr double AnswerMs = 160;
constexpr double Aim = 500;
constexpr double FirstPartTokens = 2520;
constexpr double DocumentTokens = 3780;
constexpr double OwnTokens = 2890;
constexpr double CopyTokensPerMs = 880;

/// A cache whose least recently used parts yield to newer ones.
class lru_cache {
public:
  bool use(std::uint64_t Part) {
    const auto Found = std::ranges::find(Segments, Part, &entry::Part);
    if (Found == Segments.end())
      return false;
    Segments.splice(Segments.begin(), Segments, Found);
    return true;
  }
  bool has(std::uint64_t Part) const {
    return std::ranges::find(Segments, Part, &entry::Part) != Segments.end();
  }
  void add(std::uint64_t Part, double Tokens) {
    if (use(Part))
      return;
    Segments.push_front({Part, Tokens, 0});
    Sum += Tokens;
  }
  /// Parts of running requests do not yield.
  void pin(std::uint64_t Part, int Change) {
    const auto Found = std::ranges::find(Segments, Part, &entry::Part);
    if (Found != Segments.end())
      Found->Users += Change;
  }
  void shrinkTo(double Room) {
    for (auto Oldest = Segments.end();
         Sum > Room && Oldest != Segments.begin();) {
      --Oldest;
      if (Oldest->Users > 0)
        continue;
      Sum -= Oldest->Tokens;
      Oldest = Segments.erase(Oldest);
    }
  }

private:
  struct entry {
    std::uint64_t Part;
    double Tokens;
    int Users;
  };
  std::list<entry> Segments;
  double Sum = 0;
};

struct engine {
  lru_cache Cache;
  instant FreeAt; ///< when all prompts sent so far have been read
  std::size_t Requests = 0;
  std::size_t Present = 0; ///< running and waiting
  bool HasNewWeights = false;
  bool Down = false;
  std::vector<instant> Ends; ///< of the requests that are present
};

struct prompt {
  std::vector<prompt_segment> Segments;
  std::size_t Instance;
};

/// A prompt that is placed once more.
struct late_prompt {
  instant At;
  prompt Prompt;
};

struct running {
  instant EndsAt;
  span_ns FirstAfter;
  prompt Prompt;
  std::size_t Engine;
  schedule_choice Choice;
  bool operator>(const running &Other) const { return EndsAt > Other.EndsAt; }
};

std::string engineName(std::size_t Index) {
  return "e" + std::to_string(Index);
}

class fleet_player {
public:
  fleet_player(play_policy Policy, const play_load &Load)
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
      Entry.Models = {{"m", 1}};
      Entries.push_back(Entry);
    }
    upstream_directory Directory;
    Directory.setAll(Entries, listing_kind::Continuous, instant{});
    for (std::size_t Index = 0; Index < Load.Instances; ++Index) {
      Schedulers.push_back(std::make_unique<upstream_scheduler>(
          Load.Terms, "d", std::map<std::string, std::string>{{"d", "r"}}));
      Schedulers.back()->setEngine("s", {CacheTokens, CopyTokensPerMs});
      Schedulers.back()->update(Directory);
    }
  }

  play_result run() {
    std::exponential_distribution<double> Gap(Load.PerSecond / 1000);
    instant NextGossip;
    for (instant Now; Now < instant(Load.Length); Now += fromMs(Gap(Random))) {
      endRuns(Now);
      for (; NextGossip <= Now; NextGossip += Load.PeerDelay)
        gossip(NextGossip);
      if (Now > instant(Load.Length / 3))
        for (std::size_t Index = 0; Index < Load.EnginesDown; ++Index)
          Engines[Index].Down = true;
      rollWeights(Now);
      for (; !Again.empty() && Again.front().At <= Now; Again.pop_front())
        place(Again.front().Prompt, Again.front().At);
      place(makePrompt(), Now);
    }
    for (const engine &Engine : Engines)
      Result.MostOnOneEngine = std::max(
          Result.MostOnOneEngine,
          static_cast<double>(Engine.Requests * Engines.size()) /
              static_cast<double>(std::max<std::size_t>(1, Result.Asked)));
    return Result;
  }

private:
  prompt makePrompt() {
    std::uniform_real_distribution<double> Chance(0, 1);
    std::uniform_int_distribution<std::size_t> Document(0, Load.Documents - 1);
    std::uniform_int_distribution<std::size_t> Instance(0, Load.Instances - 1);
    const std::size_t Chosen =
        Chance(Random) < Load.HotShare ? 0 : Document(Random);
    const std::uint64_t First = 1 + Chosen % Load.Groups;
    return {
        {{First * 0x9e3779b97f4a7c15, std::int64_t(FirstPartTokens)},
         {(1000 + Chosen) * 0xc2b2ae3d27d4eb4f, std::int64_t(DocumentTokens)},
         {++LastOwn * 0x165667b19e3779f9, std::int64_t(OwnTokens)}},
        Instance(Random)};
  }

  schedule_query queryOf(const prompt &Prompt) const {
    schedule_query Query;
    Query.Service = "s";
    Query.Model = "m";
    Query.Segments = Prompt.Segments;
    Query.PromptTokens = FirstPartTokens + DocumentTokens + OwnTokens;
    Query.AnswerTokens = 10;
    Query.TimeLeft = 4s;
    Query.Target = 500ms;
    return Query;
  }

  std::optional<schedule_choice> choose(const prompt &Prompt, instant Now) {
    if (Policy == play_policy::Scheduler) {
      const auto Outcome =
          Schedulers[Prompt.Instance]->choose(queryOf(Prompt), Now);
      return Outcome.Choice;
    }
    schedule_choice Choice;
    std::size_t Index = 0;
    if (Policy == play_policy::RoundRobin)
      Index = Turn++ % Engines.size();
    else if (Policy == play_policy::PlainAffinity)
      Index = Prompt.Segments[1].Chain % Engines.size();
    else // exact and fresh knowledge, better than any instance can have
      Index = static_cast<std::size_t>(
          std::ranges::min_element(Engines, {}, &engine::FreeAt) -
          Engines.begin());
    Choice.Upstream = engineName(Index);
    return Choice;
  }

  void place(const prompt &Prompt, instant Now) {
    ++Result.Asked;
    const auto Choice = choose(Prompt, Now);
    if (!Choice) {
      ++Result.Refused;
      return;
    }
    const std::size_t Index = std::stoul(Choice->Upstream.substr(1));
    engine &Engine = Engines[Index];
    upstream_scheduler &Scheduler = *Schedulers[Prompt.Instance];
    if (Engine.Down) {
      if (Policy == play_policy::Scheduler)
        Scheduler.onFailure(Choice->Upstream, Now);
      // The connection attempt times out, then another engine is tried.
      return askAgain(Prompt, Now + 300ms);
    }
    // An engine lets three times as many wait as it runs, and refuses the rest.
    constexpr std::size_t PresentPerSlot = 4;
    if (Engine.Present >= PresentPerSlot * Load.Slots) {
      ++Result.Full;
      if (Policy == play_policy::Scheduler)
        Scheduler.onFull(Choice->Upstream, Now);
      return askAgain(Prompt, Now + 10ms);
    }
    ++Engine.Present;
    ++Engine.Requests;
    noteWeights(Engine, Now);
    double Read = OwnTokens;
    double CopyMs = 0;
    const engine *Source = nullptr;
    for (std::size_t Other = 0; Other < Engines.size(); ++Other)
      if (Choice->FetchFrom == "10.0.0.1:" + std::to_string(1000 + Other))
        Source = &Engines[Other];
    bool Unbroken = true;
    for (std::size_t Part = 0; Part < 2; ++Part) {
      const auto &[Chain, Tokens] = Prompt.Segments[Part];
      if (Unbroken && Engine.Cache.use(Chain))
        continue;
      if (Source && Source->Cache.has(Chain)) {
        CopyMs += static_cast<double>(Tokens) / CopyTokensPerMs;
        continue;
      }
      Unbroken = false;
      Read += static_cast<double>(Tokens);
    }
    Result.TokensRead += Read;
    for (const prompt_segment &Part : Prompt.Segments) {
      Engine.Cache.add(Part.Chain, static_cast<double>(Part.Tokens));
      Engine.Cache.pin(Part.Chain, 1);
    }
    Engine.Cache.shrinkTo(CacheTokens);
    instant Start = std::max(Now + fromMs(CopyMs), Engine.FreeAt);
    Start = std::max(Start, slotFreeAt(Engine));
    Engine.FreeAt = Start + fromMs(Read / ReadTokensPerMs);
    const instant First = Engine.FreeAt + fromMs(FirstTokenMs);
    Result.InAim += First - Now <= fromMs(Aim) ? 1 : 0;
    if (Policy == play_policy::Scheduler)
      Scheduler.onSent(*Choice, queryOf(Prompt), Now);
    Engine.Ends.push_back(First + fromMs(AnswerMs));
    Running.push(
        {First + fromMs(AnswerMs), First - Now, Prompt, Index, *Choice});
  }

  void askAgain(const prompt &Prompt, instant At) {
    --Result.Asked;
    const auto Behind =
        std::ranges::upper_bound(Again, At, {}, &late_prompt::At);
    Again.insert(Behind, {At, Prompt});
  }

  /// When the engine can run one more, with all that is sent to it before.
  instant slotFreeAt(engine &Engine) const {
    if (Engine.Ends.size() < Load.Slots)
      return {};
    std::ranges::sort(Engine.Ends);
    return Engine.Ends[Engine.Ends.size() - Load.Slots];
  }

  /// Moves on with the weights; see `play_load::NewWeights`.
  void rollWeights(instant Now) {
    constexpr std::size_t Groups = 5;
    constexpr span_ns GroupTime = std::chrono::seconds(1);
    const instant Named = instant(Load.Length / 3);
    if (!Load.NewWeights || Now < Named)
      return;
    for (std::size_t Group = GroupsDone; Group <= Groups; ++Group) {
      if (Now < Named + GroupTime * static_cast<std::int64_t>(Group))
        return;
      GroupsDone = Group + 1;
      for (std::size_t Index = 0; Index < Engines.size(); ++Index) {
        const bool Finishes = Group > 0 && Index % Groups == Group - 1;
        const bool Begins = Index % Groups == Group;
        if (Finishes) {
          Engines[Index].HasNewWeights = true;
          Engines[Index].Cache = {};
        }
        for (const auto &Scheduler : Schedulers) {
          if (Group == 0)
            Scheduler->onWeightsAnnounced("m", 2, /*FoundAtStart=*/false, Now);
          if (Finishes)
            Scheduler->onWeights(engineName(Index), "m", 2);
          if (Finishes || Begins)
            Scheduler->pause(engineName(Index),
                             Finishes ? Now : Now + GroupTime);
        }
      }
    }
  }

  void noteWeights(const engine &Engine, instant Now) {
    constexpr span_ns Grace = 1500ms;
    if (Load.NewWeights && !Engine.HasNewWeights &&
        Now >= instant(Load.Length / 3) + Grace)
      ++Result.Outdated;
  }

  void endRuns(instant Now) {
    while (!Running.empty() && Running.top().EndsAt <= Now) {
      const running Done = Running.top();
      Running.pop();
      --Engines[Done.Engine].Present;
      std::erase_if(Engines[Done.Engine].Ends,
                    [Now](instant End) { return End <= Now; });
      for (const prompt_segment &Part : Done.Prompt.Segments)
        Engines[Done.Engine].Cache.pin(Part.Chain, -1);
      if (Policy != play_policy::Scheduler)
        continue;
      upstream_scheduler &Scheduler = *Schedulers[Done.Prompt.Instance];
      Scheduler.onFirstChunk(Done.Choice, Done.FirstAfter, Done.EndsAt);
      Scheduler.onEnded(Done.Choice, Done.EndsAt);
    }
  }

  void gossip(instant Now) {
    if (Policy != play_policy::Scheduler)
      return;
    for (std::size_t From = 0; From < Schedulers.size(); ++From) {
      const auto Loads = Schedulers[From]->ownLoadsSince(
          Now -
          Load.PeerDelay * static_cast<std::int64_t>(
                               2 * (1 + Schedulers.size() / Load.PeersTold)));
      const auto Hints = Schedulers[From]->takeHints();
      const std::size_t Others = Schedulers.size() - 1;
      for (std::size_t Told = 0; Told < std::min(Load.PeersTold, Others);
           ++Told) {
        const std::size_t To =
            (From + 1 + NextTold++ % Others) % Schedulers.size();
        Schedulers[To]->onPeerLoad("i" + std::to_string(From), Loads, Now);
        for (const segment_hint &Hint : Hints)
          Schedulers[To]->onPeerHint(Hint);
      }
    }
  }

  play_policy Policy;
  play_load Load;
  std::mt19937 Random;
  std::vector<engine> Engines;
  std::vector<std::unique_ptr<upstream_scheduler>> Schedulers;
  std::priority_queue<running, std::vector<running>, std::greater<>> Running;
  std::deque<late_prompt> Again; ///< by their instants
  std::uint64_t LastOwn = 0;
  std::size_t Turn = 0;
  std::size_t NextTold = 0;
  std::size_t GroupsDone = 0; ///< whose turn to take new weights has begun
  play_result Result;
};

} // namespace

play_result playFleet(play_policy Policy, const play_load &Load) {
  return fleet_player(Policy, Load).run();
}

} // namespace ebonyvale
