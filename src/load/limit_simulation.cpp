#include "load/limit_simulation.h"

#include "decisions/process/quota_ledger.h"
#include "load/limit_oracle.h"
#include "load/virtual_loop.h"

#include <algorithm>
#include <array>
#include <memory>
#include <optional>
#include <random>
#include <unordered_map>

#include <spdlog/fmt/fmt.h>

namespace ebonyvale {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t Domains = SimulatedDomains;
constexpr std::size_t PerDomain = SimulatedInstancesPerDomain;
constexpr std::size_t Instances = SimulatedInstances;

/// The third domain lies in another region.
constexpr std::size_t FarDomain = 2;
constexpr span_ns DelayInDomain = 300us;
constexpr span_ns DelayInRegion = 1500us;
constexpr span_ns DelayBetweenRegions = 8ms;
constexpr span_ns StoreDelay = 4ms;

constexpr span_ns SimulationLength = 120s;
/// Requests that arrive earlier are not counted.
constexpr span_ns WarmUp = 15s;
/// Time until the load balancer stops sending requests to a crashed instance.
constexpr span_ns BalancerLag = 1s;

/// Fraction of the requests with a long prompt.
constexpr double LongPromptFraction = 0.1;
/// Largest cost of a request with a long prompt, as a fraction of the team's
/// burst.
constexpr double LongPromptBurstFraction = 0.5;
/// Fraction of a request's tokens that its prompt takes.
constexpr double PromptFraction = 0.6;
constexpr double MinTokens = 300;
constexpr double MaxTokens = 3000;

struct simulated_team {
  std::string Name;
  quota_limits Limits;
};

const std::array<simulated_team, 5> SimulatedTeams{{
    {"large-1", {40000, 200000}},
    {"large-2", {20000, 100000}},
    {"middle", {8000, 40000}},
    {"small-1", {4000, 20000}},
    {"small-2", {2000, 20000}},
}};

std::size_t domainOf(std::size_t Instance) { return Instance / PerDomain; }

std::string nameOf(std::size_t Instance) {
  return fmt::format("i{}", Instance);
}

std::size_t instanceOf(const std::string &Name) {
  return static_cast<std::size_t>(Name[1] - '0');
}

span_ns delayBetween(std::size_t From, std::size_t To) {
  if (domainOf(From) == domainOf(To))
    return DelayInDomain;
  const bool IsFar = domainOf(From) == FarDomain || domainOf(To) == FarDomain;
  return IsFar ? DelayBetweenRegions : DelayInRegion;
}

struct simulated_request {
  std::size_t Team;
  token_cost Cost;
  double Used;
  span_ns Duration;
  bool Counted;
};

/// State of one simulation.
class limit_simulation {
public:
  limit_simulation(const limit_scenario &Scenario, limit_method Method,
                   std::uint64_t Seed)
      : Scenario(Scenario), Method(Method), Random(Seed), LinkRandom(Seed + 1) {
    for (const simulated_team &Team : SimulatedTeams) {
      Oracles.emplace_back(Team.Limits);
      StoreBuckets.emplace_back(Team.Limits, 0, instant{});
    }
    for (std::size_t Index = 0; Index < Instances; ++Index)
      startInstance(Index);
  }

  limit_simulation_result run() {
    for (std::size_t Team = 0; Team < SimulatedTeams.size(); ++Team)
      scheduleArrival(Team);
    for (const instance_fault &Crash : Scenario.Crashes)
      scheduleCrash(Crash);
    if (Scenario.Partition.To > Scenario.Partition.From)
      Loop.callAt(instant(Scenario.Partition.From), [this] {
        PartitionOracle.start(Oracles, 1.0 / Domains, Loop.now());
      });
    if (Scenario.HalvedRates.To > Scenario.HalvedRates.From) {
      Loop.callAt(instant(Scenario.HalvedRates.From),
                  [this] { setScale(0.5); });
      Loop.callAt(instant(Scenario.HalvedRates.To), [this] { setScale(1); });
    }
    Loop.runUntil(instant(SimulationLength));
    Result.Seconds = toSeconds(SimulationLength);
    for (const limit_oracle &Oracle : Oracles)
      Result.WorstOverspend =
          std::max(Result.WorstOverspend, Oracle.worstOverspend());
    return Result;
  }

private:
  struct instance_state {
    std::unique_ptr<quota_ledger> Ledger;
    std::uint64_t Incarnation = 0; ///< counts the starts
    bool Up = true;
    std::optional<instant> TickAt; ///< time of the scheduled tick
    /// Requests that are neither admitted nor refused yet.
    std::unordered_map<request_number, simulated_request> Waiting;
    std::array<double, 5> Chunks{}; ///< drawn from the store and unspent
  };

  span_ns elapsed() const { return Loop.now().time_since_epoch(); }

  double uniform(double Low, double High) {
    return std::uniform_real_distribution<double>(Low, High)(Random);
  }

  void startInstance(std::size_t Index) {
    instance_state &State = Fleet[Index];
    ++State.Incarnation;
    State.Up = true;
    State.TickAt.reset();
    quota_ledger_options Options;
    const bool IsRestart = State.Incarnation > 1;
    // A restarted process waits until every grant of its predecessor has
    // expired. At the first start there is no predecessor.
    const instant From =
        IsRestart ? Loop.now() + Options.HoldDuration : Loop.now();
    State.Ledger =
        std::make_unique<quota_ledger>(Options, From, State.Incarnation << 32);
    if (Method == limit_method::Shares)
      State.Ledger->setPeers(peersOf(Index));
    setLimits(Index);
  }

  void setLimits(std::size_t Index) {
    for (const simulated_team &Team : SimulatedTeams) {
      const double Fraction = Scale / Instances;
      Fleet[Index].Ledger->setTeam(
          Team.Name,
          {{Team.Limits.Rate * Fraction, Team.Limits.Burst * Fraction}, false},
          Loop.now());
    }
  }

  void setScale(double Next) {
    // The higher limits bound the sum until every instance has the new version,
    // which takes up to one second.
    const bool Lowering = Next < Scale;
    Scale = Next;
    if (!Lowering)
      setOracleLimits();
    for (std::size_t Index = 0; Index < Instances; ++Index)
      Loop.callAfter(fromSeconds(uniform(0, 1)),
                     [this, Index] { setLimits(Index); });
    if (Lowering)
      Loop.callAfter(1001ms, [this] { setOracleLimits(); });
  }

  void setOracleLimits() {
    for (std::size_t Team = 0; Team < SimulatedTeams.size(); ++Team)
      Oracles[Team].setLimits({SimulatedTeams[Team].Limits.Rate * Scale,
                               SimulatedTeams[Team].Limits.Burst * Scale},
                              Loop.now());
  }

  /// Returns the names of all other instances, nearest first.
  static std::vector<std::string> peersOf(std::size_t Index) {
    std::vector<std::size_t> Others;
    Others.reserve(Instances);
    for (std::size_t Other = 0; Other < Instances; ++Other)
      if (Other != Index)
        Others.push_back(Other);
    std::ranges::stable_sort(Others, {}, [Index](std::size_t Other) {
      return delayBetween(Index, Other);
    });
    std::vector<std::string> Names;
    Names.reserve(Instances);
    for (const std::size_t Other : Others)
      Names.push_back(nameOf(Other));
    return Names;
  }

  void scheduleArrival(std::size_t Team) {
    const double MeanTokens =
        (MinTokens + MaxTokens) / 2 * (1 - LongPromptFraction) +
        SimulatedTeams[Team].Limits.Burst * LongPromptBurstFraction / 2 *
            LongPromptFraction;
    const double Factor = Team == 0 ? Scenario.HotTeamFactor : 1;
    const double PerSecond = SimulatedTeams[Team].Limits.Rate *
                             Scenario.Demand * Factor / MeanTokens;
    const double Gap = std::exponential_distribution<double>(PerSecond)(Random);
    Loop.callAfter(fromSeconds(Gap), [this, Team] {
      scheduleArrival(Team);
      arrive(Team);
    });
  }

  void arrive(std::size_t Team) {
    simulated_request Request;
    Request.Team = Team;
    const bool IsLong = uniform(0, 1) < LongPromptFraction;
    Request.Cost.Tokens =
        IsLong ? uniform(MinTokens, SimulatedTeams[Team].Limits.Burst *
                                        LongPromptBurstFraction)
               : uniform(MinTokens, MaxTokens);
    Request.Cost.NonRefundable = Request.Cost.Tokens * PromptFraction;
    Request.Used = Request.Cost.Tokens * uniform(PromptFraction, 1);
    Request.Duration = fromSeconds(uniform(0.5, 3));
    Request.Counted = elapsed() >= WarmUp;
    const std::size_t Index = chooseInstance();
    if (!Fleet[Index].Up || !Fleet[Index].Ledger)
      return; // crashed but still in rotation: no response, so no refusal
    deliver(Index, [this, Index, Request] { submit(Index, Request); });
  }

  std::size_t chooseInstance() {
    std::vector<std::size_t> Candidates;
    for (std::size_t Index = 0; Index < Instances; ++Index) {
      const bool InRotation = std::ranges::none_of(
          Scenario.Crashes, [this, Index](const instance_fault &Crash) {
            return Crash.Instance == Index &&
                   elapsed() >= Crash.Window.From + BalancerLag &&
                   elapsed() < Crash.Window.To;
          });
      const bool Targeted =
          Scenario.Distribution == caller_distribution::Even ||
          (Scenario.Distribution == caller_distribution::OneInstance &&
           Index == 0) ||
          (Scenario.Distribution == caller_distribution::OneDomain &&
           domainOf(Index) == 0);
      if (InRotation && Targeted)
        Candidates.push_back(Index);
    }
    if (Candidates.empty())
      return 0;
    return Candidates[std::uniform_int_distribution<std::size_t>(
        0, Candidates.size() - 1)(Random)];
  }

  /// Runs \p Callback on an instance, or after the pause if it is paused.
  void deliver(std::size_t Index, std::function<void()> Callback) {
    const std::uint64_t Incarnation = Fleet[Index].Incarnation;
    const auto RunIfUp = [this, Index, Incarnation,
                          Callback = std::move(Callback)] {
      if (Fleet[Index].Up && Incarnation == Fleet[Index].Incarnation)
        Callback();
    };
    for (const instance_fault &Pause : Scenario.Pauses)
      if (Pause.Instance == Index && Pause.Window.contains(elapsed()))
        return Loop.callAt(instant(Pause.Window.To), RunIfUp);
    RunIfUp();
  }

  void submit(std::size_t Index, const simulated_request &Request) {
    instance_state &State = Fleet[Index];
    if (!State.Up)
      return;
    if (Request.Counted)
      ++Result.Requests;
    if (Method == limit_method::StoreChunks) {
      submitWithChunks(Index, Request);
      return;
    }
    const request_number Number = ++LastNumber;
    State.Waiting.emplace(Number, Request);
    perform(Index,
            State.Ledger->request(Number, SimulatedTeams[Request.Team].Name,
                                  Request.Cost, Loop.now()));
  }

  /// Carries out the actions that a ledger has returned.
  void perform(std::size_t Index, const std::vector<quota_action> &Actions) {
    for (const quota_action &Action : Actions) {
      if (const auto *Admit = std::get_if<admit_action>(&Action))
        admit(Index, *Admit);
      else if (const auto *Refuse = std::get_if<refuse_action>(&Action))
        refuseWaiting(Index, Refuse->Request);
      else if (const auto *Lend = std::get_if<send_lend_request>(&Action))
        sendLendRequest(Index, instanceOf(Lend->Peer), Lend->LendRequest);
      else if (const auto *Return = std::get_if<send_lend_return>(&Action))
        sendLendReturn(Index, instanceOf(Return->Peer), Return->Return);
    }
    scheduleTick(Index);
  }

  /// Schedules the next tick of a ledger. An earlier tick replaces a later one.
  void scheduleTick(std::size_t Index) {
    instance_state &State = Fleet[Index];
    const auto Next = State.Ledger->nextTick(Loop.now());
    if (!Next || (State.TickAt && *State.TickAt <= *Next))
      return;
    State.TickAt = *Next;
    Loop.callAt(
        *Next, [this, Index, Incarnation = State.Incarnation, At = *Next] {
          deliver(Index, [this, Index, Incarnation, At] {
            instance_state &Ticked = Fleet[Index];
            if (Ticked.Incarnation != Incarnation || Ticked.TickAt != At)
              return;
            Ticked.TickAt.reset();
            perform(Index, Ticked.Ledger->onTick(Loop.now()));
          });
        });
  }

  void admit(std::size_t Index, const admit_action &Admit) {
    instance_state &State = Fleet[Index];
    const simulated_request Request = State.Waiting.at(Admit.Request);
    State.Waiting.erase(Admit.Request);
    limit_oracle &Oracle = Oracles[Request.Team];
    const reservation Central =
        Oracle.onAdmitted(Request.Cost, Request.Used, Loop.now());
    if (Scenario.Partition.contains(elapsed()))
      PartitionOracle.charge(domainOf(Index) == 0, Request.Team, Request.Used,
                             Loop.now());
    const std::uint64_t Incarnation = State.Incarnation;
    Loop.callAfter(Request.Duration, [this, Index, Incarnation, Request,
                                      Central, Local = Admit.Reserved] {
      Oracles[Request.Team].onSettled(Central, Request.Used, Loop.now());
      deliver(Index, [this, Index, Incarnation, Request, Local] {
        if (Fleet[Index].Incarnation == Incarnation)
          Fleet[Index].Ledger->settle(SimulatedTeams[Request.Team].Name, Local,
                                      Request.Used, Loop.now());
      });
    });
  }

  void refuseWaiting(std::size_t Index, request_number Number) {
    const simulated_request Request = Fleet[Index].Waiting.at(Number);
    Fleet[Index].Waiting.erase(Number);
    refuse(Index, Request);
  }

  /// Counts a refusal and classifies it by the oracles.
  void refuse(std::size_t Index, const simulated_request &Request) {
    if (!Request.Counted)
      return;
    ++Result.Refused;
    if (!Oracles[Request.Team].centralAdmits(Request.Cost.Tokens, Loop.now()))
      return;
    ++Result.Wrongful;
    const bool DuringPartition = Scenario.Partition.contains(elapsed());
    if (DuringPartition &&
        !PartitionOracle.admits(domainOf(Index) == 0, Request.Team,
                                Request.Cost.Tokens, Loop.now()))
      ++Result.Unavoidable;
    else if (Request.Team != 0)
      ++Result.OthersWrongful;
  }

  bool isPartitioned(std::size_t From, std::size_t To) const {
    return Scenario.Partition.contains(elapsed()) &&
           (domainOf(From) == 0) != (domainOf(To) == 0);
  }

  /// Sends a message between instances. It is lost if a partition separates
  /// them, with probability `LossRate`, and if the receiver crashes or restarts
  /// before it arrives.
  void send(std::size_t From, std::size_t To, std::function<void()> Receive) {
    ++Result.Messages;
    if (isPartitioned(From, To) ||
        std::bernoulli_distribution(Scenario.LossRate)(LinkRandom))
      return;
    const std::uint64_t Incarnation = Fleet[To].Incarnation;
    Loop.callAfter(delayBetween(From, To),
                   [this, To, Incarnation, Receive = std::move(Receive)] {
                     deliver(To, [this, To, Incarnation, Receive] {
                       if (Fleet[To].Up && Fleet[To].Incarnation == Incarnation)
                         Receive();
                     });
                   });
  }

  void sendLendRequest(std::size_t From, std::size_t To,
                       const lend_request &Request) {
    send(From, To, [this, From, To, Request] {
      const lend_response Response =
          Fleet[To].Ledger->onLendRequest(nameOf(From), Request, Loop.now());
      send(To, From, [this, From, To, Response] {
        perform(From, Fleet[From].Ledger->onLendResponse(nameOf(To), Response,
                                                         Loop.now()));
      });
    });
  }

  void sendLendReturn(std::size_t From, std::size_t To,
                      const lend_return &Return) {
    send(From, To, [this, From, To, Return] {
      Fleet[To].Ledger->onLendReturn(nameOf(From), Return, Loop.now());
    });
  }

  void scheduleCrash(const instance_fault &Crash) {
    Loop.callAt(instant(Crash.Window.From), [this, Index = Crash.Instance] {
      Fleet[Index].Up = false;
      Fleet[Index].Waiting.clear();
      Fleet[Index].Chunks = {};
    });
    Loop.callAt(instant(Crash.Window.To),
                [this, Index = Crash.Instance] { startInstance(Index); });
  }

  /// Baseline: an instance that is short of tokens draws a chunk by a
  /// compare-and-swap in the store, and refuses if the store has too few.
  void submitWithChunks(std::size_t Index, const simulated_request &Request) {
    double &Balance = Fleet[Index].Chunks[Request.Team];
    if (Balance >= Request.Cost.Tokens) {
      Balance -= Request.Cost.Tokens;
      admitFromChunk(Request);
      return;
    }
    // The store lies outside the domain that is cut off.
    const bool IsPartitioned =
        Scenario.Partition.contains(elapsed()) && domainOf(Index) == 0;
    if (Scenario.StoreOutage.contains(elapsed()) || IsPartitioned) {
      refuse(Index, Request);
      return;
    }
    ++Result.StoreCalls;
    const std::uint64_t Incarnation = Fleet[Index].Incarnation;
    Loop.callAfter(StoreDelay, [this, Index, Incarnation, Request] {
      if (Fleet[Index].Incarnation != Incarnation || !Fleet[Index].Up)
        return;
      drawChunk(Index, Request);
    });
  }

  void drawChunk(std::size_t Index, const simulated_request &Request) {
    double &Balance = Fleet[Index].Chunks[Request.Team];
    quota_share &Bucket = StoreBuckets[Request.Team];
    const double OneSecondShare =
        SimulatedTeams[Request.Team].Limits.Rate / Instances;
    const double Level = Bucket.available(Loop.now());
    const double Drawn = std::min(
        Level, std::max(Request.Cost.Tokens - Balance, OneSecondShare));
    const reservation Taken = Bucket.spend({Drawn, Drawn}, Loop.now());
    Bucket.settle(Taken, Drawn, Loop.now());
    Balance += Drawn;
    if (Balance < Request.Cost.Tokens) {
      refuse(Index, Request);
      return;
    }
    Balance -= Request.Cost.Tokens;
    admitFromChunk(Request);
  }

  void admitFromChunk(const simulated_request &Request) {
    limit_oracle &Oracle = Oracles[Request.Team];
    const reservation Central =
        Oracle.onAdmitted(Request.Cost, Request.Used, Loop.now());
    Loop.callAfter(Request.Duration, [this, Request, Central] {
      Oracles[Request.Team].onSettled(Central, Request.Used, Loop.now());
    });
  }

  const limit_scenario &Scenario;
  limit_method Method;
  std::mt19937_64 Random;     ///< for arrivals, which all methods share
  std::mt19937_64 LinkRandom; ///< for lost messages
  virtual_loop Loop;
  std::array<instance_state, Instances> Fleet;
  std::vector<limit_oracle> Oracles;
  std::vector<quota_share> StoreBuckets;
  partition_oracle PartitionOracle;
  request_number LastNumber = 0;
  double Scale = 1; ///< factor of all rates and bursts
  limit_simulation_result Result;
};

} // namespace

double limit_simulation_result::wrongfulPercent() const {
  constexpr double Percent = 100;
  if (Requests == 0)
    return 0;
  return Percent * static_cast<double>(Wrongful - Unavoidable) /
         static_cast<double>(Requests);
}

limit_simulation_result runLimitSimulation(const limit_scenario &Scenario,
                                           limit_method Method,
                                           std::uint64_t Seed) {
  return limit_simulation(Scenario, Method, Seed).run();
}

} // namespace ebonyvale
