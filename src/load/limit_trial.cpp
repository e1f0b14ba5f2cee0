#include "load/limit_trial.h"

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

constexpr std::size_t Domains = TrialDomains;
constexpr std::size_t PerDomain = TrialInstancesPerDomain;
constexpr std::size_t Instances = TrialInstances;

/// The third domain lies in the other region.
constexpr std::size_t FarDomain = 2;
constexpr span_ns DelayInDomain = 300us;
constexpr span_ns DelayInRegion = 1500us;
constexpr span_ns DelayBetweenRegions = 8ms;
constexpr span_ns StoreDelay = 4ms;

constexpr span_ns TrialLength = 120s;
/// Arrivals before it only warm the fleet up.
constexpr span_ns WarmUp = 15s;
/// A balancer goes on sending to an instance that has gone for this long.
constexpr span_ns BalancerLag = 1s;

constexpr double LongPromptPart = 0.1;
constexpr double LongPromptBurstPart = 0.5;
/// Part of a request's tokens that its prompt takes.
constexpr double CertainPart = 0.6;
constexpr double LeastTokens = 300;
constexpr double MostTokens = 3000;

struct trial_team {
  std::string Name;
  quota_limits Limits;
};

const std::array<trial_team, 5> TrialTeams{{
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
  const bool Far = domainOf(From) == FarDomain || domainOf(To) == FarDomain;
  return Far ? DelayBetweenRegions : DelayInRegion;
}

struct trial_request {
  std::size_t Team;
  token_cost Cost;
  double Used;
  span_ns Duration;
  bool Counted;
};

/// A whole trial.
class limit_trial {
public:
  limit_trial(const trial_cell &Cell, limit_method Method, std::uint64_t Seed)
      : Cell(Cell), Method(Method), Random(Seed), LinkRandom(Seed + 1) {
    for (const trial_team &Team : TrialTeams) {
      Oracles.emplace_back(Team.Limits);
      StoreBuckets.emplace_back(Team.Limits, 0, instant{});
    }
    for (std::size_t Index = 0; Index < Instances; ++Index)
      startInstance(Index);
  }

  trial_outcome run() {
    for (std::size_t Team = 0; Team < TrialTeams.size(); ++Team)
      scheduleArrival(Team);
    for (const instance_event &Crash : Cell.Crashes)
      scheduleCrash(Crash);
    if (Cell.DomainCut.To > Cell.DomainCut.From)
      Loop.callAt(instant(Cell.DomainCut.From),
                  [this] { Sides.open(Oracles, 1.0 / Domains, Loop.now()); });
    if (Cell.LowerRates.To > Cell.LowerRates.From) {
      Loop.callAt(instant(Cell.LowerRates.From), [this] { setScale(0.5); });
      Loop.callAt(instant(Cell.LowerRates.To), [this] { setScale(1); });
    }
    Loop.runUntil(instant(TrialLength));
    Outcome.Seconds = toSeconds(TrialLength);
    for (const limit_oracle &Oracle : Oracles)
      Outcome.WorstOverspend =
          std::max(Outcome.WorstOverspend, Oracle.worstOverspend());
    return Outcome;
  }

private:
  struct instance_state {
    std::unique_ptr<quota_ledger> Ledger;
    std::uint64_t Life = 0;
    bool Up = true;
    std::optional<instant> TickAt;
    std::unordered_map<request_number, trial_request> Waiting;
    std::array<double, 5> Chunks{}; ///< drawn from the store and unspent
  };

  span_ns elapsed() const { return Loop.now().time_since_epoch(); }

  double uniform(double Low, double High) {
    return std::uniform_real_distribution<double>(Low, High)(Random);
  }

  void startInstance(std::size_t Index) {
    instance_state &State = Fleet[Index];
    ++State.Life;
    State.Up = true;
    State.TickAt.reset();
    quota_ledger_options Rules;
    const bool IsRestart = State.Life > 1;
    // A fleet that starts together has no predecessors.
    const instant From =
        IsRestart ? Loop.now() + Rules.HoldDuration : Loop.now();
    State.Ledger =
        std::make_unique<quota_ledger>(Rules, From, State.Life << 32);
    if (Method == limit_method::Shares)
      State.Ledger->setPeers(peersOf(Index));
    setLimits(Index);
  }

  void setLimits(std::size_t Index) {
    for (const trial_team &Team : TrialTeams) {
      const double Part = Scale / Instances;
      Fleet[Index].Ledger->setTeam(
          Team.Name,
          {{Team.Limits.Rate * Part, Team.Limits.Burst * Part}, false},
          Loop.now());
    }
  }

  void setScale(double Next) {
    // The bound is the higher one until every instance has the new version.
    const bool Lower = Next < Scale;
    Scale = Next;
    if (!Lower)
      setOracleLimits();
    for (std::size_t Index = 0; Index < Instances; ++Index)
      Loop.callAfter(fromSeconds(uniform(0, 1)),
                     [this, Index] { setLimits(Index); });
    if (Lower)
      Loop.callAfter(1001ms, [this] { setOracleLimits(); });
  }

  void setOracleLimits() {
    for (std::size_t Team = 0; Team < TrialTeams.size(); ++Team)
      Oracles[Team].setLimits({TrialTeams[Team].Limits.Rate * Scale,
                               TrialTeams[Team].Limits.Burst * Scale},
                              Loop.now());
  }

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
        (LeastTokens + MostTokens) / 2 * (1 - LongPromptPart) +
        TrialTeams[Team].Limits.Burst * LongPromptBurstPart / 2 *
            LongPromptPart;
    const double Factor = Team == 0 ? Cell.HotTeamFactor : 1;
    const double PerSecond =
        TrialTeams[Team].Limits.Rate * Cell.Demand * Factor / MeanTokens;
    const double Gap = std::exponential_distribution<double>(PerSecond)(Random);
    Loop.callAfter(fromSeconds(Gap), [this, Team] {
      scheduleArrival(Team);
      arrive(Team);
    });
  }

  void arrive(std::size_t Team) {
    trial_request Request;
    Request.Team = Team;
    const bool IsLong = uniform(0, 1) < LongPromptPart;
    Request.Cost.Tokens =
        IsLong ? uniform(LeastTokens,
                         TrialTeams[Team].Limits.Burst * LongPromptBurstPart)
               : uniform(LeastTokens, MostTokens);
    Request.Cost.NonRefundable = Request.Cost.Tokens * CertainPart;
    Request.Used = Request.Cost.Tokens * uniform(CertainPart, 1);
    Request.Duration = fromSeconds(uniform(0.5, 3));
    Request.Counted = elapsed() >= WarmUp;
    const std::size_t Index = chooseInstance();
    if (!Fleet[Index].Up || !Fleet[Index].Ledger)
      return; // within the balancer's lag: no answer, thus no refusal
    deliver(Index, [this, Index, Request] { submit(Index, Request); });
  }

  std::size_t chooseInstance() {
    std::vector<std::size_t> Listed;
    for (std::size_t Index = 0; Index < Instances; ++Index) {
      const bool Known = std::ranges::none_of(
          Cell.Crashes, [this, Index](const instance_event &Crash) {
            return Crash.Instance == Index &&
                   elapsed() >= Crash.Away.From + BalancerLag &&
                   elapsed() < Crash.Away.To;
          });
      const bool Wanted =
          Cell.Spread == caller_spread::Even ||
          (Cell.Spread == caller_spread::OneInstance && Index == 0) ||
          (Cell.Spread == caller_spread::OneDomain && domainOf(Index) == 0);
      if (Known && Wanted)
        Listed.push_back(Index);
    }
    if (Listed.empty())
      return 0;
    return Listed[std::uniform_int_distribution<std::size_t>(0, Listed.size() -
                                                                    1)(Random)];
  }

  /// Runs \p Work on an instance, after its pause if it is paused.
  void deliver(std::size_t Index, std::function<void()> Work) {
    for (const instance_event &Pause : Cell.Pauses)
      if (Pause.Instance == Index && Pause.Away.holds(elapsed())) {
        Loop.callAt(instant(Pause.Away.To), std::move(Work));
        return;
      }
    const std::uint64_t Life = Fleet[Index].Life;
    if (Fleet[Index].Up && Life == Fleet[Index].Life)
      Work();
  }

  void submit(std::size_t Index, const trial_request &Request) {
    instance_state &State = Fleet[Index];
    if (!State.Up)
      return;
    if (Request.Counted)
      ++Outcome.Requests;
    if (Method == limit_method::StoreChunks) {
      submitToChunks(Index, Request);
      return;
    }
    const request_number Number = ++LastNumber;
    State.Waiting.emplace(Number, Request);
    carryOut(Index, State.Ledger->request(Number, TrialTeams[Request.Team].Name,
                                          Request.Cost, Loop.now()));
  }

  void carryOut(std::size_t Index, const std::vector<quota_action> &Actions) {
    for (const quota_action &Action : Actions) {
      if (const auto *Admit = std::get_if<admit_action>(&Action))
        admit(Index, *Admit);
      else if (const auto *Refuse = std::get_if<refuse_action>(&Action))
        refuseWaiting(Index, Refuse->Request);
      else if (const auto *Ask = std::get_if<send_lend_request>(&Action))
        sendAsk(Index, instanceOf(Ask->Peer), Ask->Ask);
      else if (const auto *Return = std::get_if<send_lend_return>(&Action))
        sendReturn(Index, instanceOf(Return->Peer), Return->Return);
    }
    armTick(Index);
  }

  /// Arms one tick; an earlier one than the armed one replaces it.
  void armTick(std::size_t Index) {
    instance_state &State = Fleet[Index];
    const auto Next = State.Ledger->nextTick(Loop.now());
    if (!Next || (State.TickAt && *State.TickAt <= *Next))
      return;
    State.TickAt = *Next;
    Loop.callAt(*Next, [this, Index, Life = State.Life, At = *Next] {
      deliver(Index, [this, Index, Life, At] {
        instance_state &Ticked = Fleet[Index];
        if (Ticked.Life != Life || Ticked.TickAt != At)
          return;
        Ticked.TickAt.reset();
        carryOut(Index, Ticked.Ledger->onTick(Loop.now()));
      });
    });
  }

  void admit(std::size_t Index, const admit_action &Admit) {
    instance_state &State = Fleet[Index];
    const trial_request Request = State.Waiting.at(Admit.Request);
    State.Waiting.erase(Admit.Request);
    limit_oracle &Oracle = Oracles[Request.Team];
    const reservation Central =
        Oracle.onAdmitted(Request.Cost, Request.Used, Loop.now());
    if (Cell.DomainCut.holds(elapsed()))
      Sides.charge(domainOf(Index) == 0, Request.Team, Request.Used,
                   Loop.now());
    const std::uint64_t Life = State.Life;
    Loop.callAfter(Request.Duration, [this, Index, Life, Request, Central,
                                      Local = Admit.Reserved] {
      Oracles[Request.Team].onSettled(Central, Request.Used, Loop.now());
      deliver(Index, [this, Index, Life, Request, Local] {
        if (Fleet[Index].Life == Life)
          Fleet[Index].Ledger->settle(TrialTeams[Request.Team].Name, Local,
                                      Request.Used, Loop.now());
      });
    });
  }

  void refuseWaiting(std::size_t Index, request_number Number) {
    const trial_request Request = Fleet[Index].Waiting.at(Number);
    Fleet[Index].Waiting.erase(Number);
    refuse(Index, Request);
  }

  void refuse(std::size_t Index, const trial_request &Request) {
    if (!Request.Counted)
      return;
    ++Outcome.Refused;
    if (!Oracles[Request.Team].centralAdmits(Request.Cost.Tokens, Loop.now()))
      return;
    ++Outcome.Wrongful;
    const bool Cut = Cell.DomainCut.holds(elapsed());
    if (Cut && !Sides.admits(domainOf(Index) == 0, Request.Team,
                             Request.Cost.Tokens, Loop.now()))
      ++Outcome.Unavoidable;
    else if (Request.Team != 0)
      ++Outcome.OthersWrongful;
  }

  bool isCut(std::size_t From, std::size_t To) const {
    return Cell.DomainCut.holds(elapsed()) &&
           (domainOf(From) == 0) != (domainOf(To) == 0);
  }

  /// Sends a message, unless the link is cut or loses it.
  void send(std::size_t From, std::size_t To, std::function<void()> Receive) {
    ++Outcome.Messages;
    if (isCut(From, To) || std::bernoulli_distribution(Cell.Loss)(LinkRandom))
      return;
    const std::uint64_t Life = Fleet[To].Life;
    Loop.callAfter(delayBetween(From, To),
                   [this, To, Life, Receive = std::move(Receive)] {
                     deliver(To, [this, To, Life, Receive] {
                       if (Fleet[To].Up && Fleet[To].Life == Life)
                         Receive();
                     });
                   });
  }

  void sendAsk(std::size_t From, std::size_t To, const lend_request &Ask) {
    send(From, To, [this, From, To, Ask] {
      const lend_response Reply =
          Fleet[To].Ledger->onLendRequest(nameOf(From), Ask, Loop.now());
      send(To, From, [this, From, To, Reply] {
        carryOut(From, Fleet[From].Ledger->onLendResponse(nameOf(To), Reply,
                                                          Loop.now()));
      });
    });
  }

  void sendReturn(std::size_t From, std::size_t To, const lend_return &Return) {
    send(From, To, [this, From, To, Return] {
      Fleet[To].Ledger->onLendReturn(nameOf(From), Return, Loop.now());
    });
  }

  void scheduleCrash(const instance_event &Crash) {
    Loop.callAt(instant(Crash.Away.From), [this, Index = Crash.Instance] {
      Fleet[Index].Up = false;
      Fleet[Index].Waiting.clear();
      Fleet[Index].Chunks = {};
    });
    Loop.callAt(instant(Crash.Away.To),
                [this, Index = Crash.Instance] { startInstance(Index); });
  }

  /// Baseline: an instance draws a chunk by compare-and-swap when it runs
  /// short, and refuses when the store has none.
  void submitToChunks(std::size_t Index, const trial_request &Request) {
    double &Held = Fleet[Index].Chunks[Request.Team];
    if (Held >= Request.Cost.Tokens) {
      Held -= Request.Cost.Tokens;
      admitFromChunk(Request);
      return;
    }
    // The store stands outside the domain that is cut off.
    const bool IsCutOff =
        Cell.DomainCut.holds(elapsed()) && domainOf(Index) == 0;
    if (Cell.StoreOut.holds(elapsed()) || IsCutOff) {
      refuse(Index, Request);
      return;
    }
    ++Outcome.StoreCalls;
    const std::uint64_t Life = Fleet[Index].Life;
    Loop.callAfter(StoreDelay, [this, Index, Life, Request] {
      if (Fleet[Index].Life != Life || !Fleet[Index].Up)
        return;
      drawChunk(Index, Request);
    });
  }

  void drawChunk(std::size_t Index, const trial_request &Request) {
    double &Held = Fleet[Index].Chunks[Request.Team];
    quota_share &Bucket = StoreBuckets[Request.Team];
    const double OneSecondPart =
        TrialTeams[Request.Team].Limits.Rate / Instances;
    const double Level = Bucket.available(Loop.now());
    const double Drawn =
        std::min(Level, std::max(Request.Cost.Tokens - Held, OneSecondPart));
    const reservation Taken = Bucket.spend({Drawn, Drawn}, Loop.now());
    Bucket.settle(Taken, Drawn, Loop.now());
    Held += Drawn;
    if (Held < Request.Cost.Tokens) {
      refuse(Index, Request);
      return;
    }
    Held -= Request.Cost.Tokens;
    admitFromChunk(Request);
  }

  void admitFromChunk(const trial_request &Request) {
    limit_oracle &Oracle = Oracles[Request.Team];
    const reservation Central =
        Oracle.onAdmitted(Request.Cost, Request.Used, Loop.now());
    Loop.callAfter(Request.Duration, [this, Request, Central] {
      Oracles[Request.Team].onSettled(Central, Request.Used, Loop.now());
    });
  }

  const trial_cell &Cell;
  limit_method Method;
  std::mt19937_64 Random;     ///< of the arrivals, the same for all methods
  std::mt19937_64 LinkRandom; ///< of lost messages
  virtual_loop Loop;
  std::array<instance_state, Instances> Fleet;
  std::vector<limit_oracle> Oracles;
  std::vector<quota_share> StoreBuckets;
  cut_oracle Sides;
  request_number LastNumber = 0;
  double Scale = 1;
  trial_outcome Outcome;
};

} // namespace

double trial_outcome::wrongfulPercent() const {
  constexpr double Percent = 100;
  if (Requests == 0)
    return 0;
  return Percent * static_cast<double>(Wrongful - Unavoidable) /
         static_cast<double>(Requests);
}

trial_outcome runLimitTrial(const trial_cell &Cell, limit_method Method,
                            std::uint64_t Seed) {
  return limit_trial(Cell, Method, Seed).run();
}

} // namespace ebonyvale
