#include "decisions/process/release_evidence.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace ebonyvale {
namespace {

/// Shares that the alternatives of a test add to that of a sound version. The
/// least faults that are looked for are the small one on all routes together
/// and the middle one on a single route.
constexpr std::array<double, 3> FailureEffects = {0.02, 0.08, 0.3};
constexpr std::array<double, 3> LatenessEffects = {0.1, 0.3, 0.6};
constexpr std::size_t SmallFault = 0;
constexpr std::size_t MiddleFault = 1;

/// Responses of former versions of the last seconds that count in a rate beside
/// those of the same slice.
constexpr double SliceWeight = 100;
/// Responses, with a quarter of a failure among them, that count before there
/// are any.
constexpr double PriorTrials = 50;
constexpr double PriorFailures = 0.25;
/// Fewest responses of former versions for a comparison of latencies.
constexpr double MinLatencies = 20;
/// Share of the former versions' responses that the bound on latencies is
/// taken from, and by how many classes it exceeds theirs.
constexpr double LatencyQuantile = 0.9;
constexpr std::size_t LateClasses = 2;

/// Bound on the likelihood ratio before any restart of a test.
constexpr double MinBound = 7;
/// Fewest bad responses of a bad version.
constexpr double MinBad = 4;
/// Responses of a half that can confirm what the other one shows.
constexpr double MinHalfTrials = 5;
/// Probability below which a fault of one half is none of the version.
constexpr double OneSidedChance = 0.01;
/// The same, above which the halves agree on a fault.
constexpr double ConfirmedChance = 0.1;
/// How much more one half has to show alone, while the other has hardly any
/// responses.
constexpr double UnconfirmedFactor = 3;
/// Logarithm of the likelihood ratio of each half that confirms a fault.
constexpr double ConfirmedRatio = 2;
/// Deviations of the excess of a sound version that are ignored.
constexpr double ExcessDeviations = 4;
/// Excess that bars the version however few instances are heard.
constexpr double MinExcess = 5;

/// Log likelihood ratio at which a fault is ruled out; tests restart there.
double floorRatio() { return std::log(release_evidence::Miss); }

std::size_t classOf(span_ns Latency) {
  const double Ms = toMs(Latency);
  if (Ms <= response_counts::FirstClassMs)
    return 0;
  const double Class = std::ceil(std::log(Ms / response_counts::FirstClassMs) /
                                 std::log(response_counts::ClassFactor));
  return std::min(static_cast<std::size_t>(Class),
                  response_counts::Classes - 1);
}

void addAll(std::map<std::string, route_counts, std::less<>> &Sum,
            const std::map<std::string, route_counts, std::less<>> &More) {
  for (const auto &[Route, Counts] : More) {
    auto Found = Sum.find(Route);
    if (Found == Sum.end()) {
      const bool Fits = Sum.size() < evidence_summary::MaxRoutes;
      Found = Sum.try_emplace(Fits ? Route
                                   : std::string(evidence_summary::OtherRoutes))
                  .first;
    }
    for (std::size_t Group = 0; Group < Counts.size(); ++Group)
      Found->second[Group].add(Counts[Group]);
  }
}

void raiseAll(std::map<std::string, route_counts, std::less<>> &Known,
              const std::map<std::string, route_counts, std::less<>> &News) {
  for (const auto &[Route, Counts] : News) {
    const auto Found = Known.find(Route);
    if (Found == Known.end() && Known.size() > evidence_summary::MaxRoutes)
      continue;
    route_counts &Raised = Found == Known.end() ? Known[Route] : Found->second;
    for (std::size_t Group = 0; Group < Counts.size(); ++Group)
      Raised[Group].raiseTo(Counts[Group]);
  }
}

double grown(std::uint64_t Now, std::uint64_t Before) {
  return Now > Before ? static_cast<double>(Now - Before) : 0;
}

} // namespace

void response_counts::add(const response_counts &Other) {
  Responses += Other.Responses;
  Failures += Other.Failures;
  for (std::size_t Class = 0; Class < Classes; ++Class)
    Latencies[Class] += Other.Latencies[Class];
}

void response_counts::raiseTo(const response_counts &Other) {
  Responses = std::max(Responses, Other.Responses);
  Failures = std::max(Failures, Other.Failures);
  for (std::size_t Class = 0; Class < Classes; ++Class)
    Latencies[Class] = std::max(Latencies[Class], Other.Latencies[Class]);
}

void release_evidence::onOrder(const release_order &Order, instant Now) {
  if (Service == Order.Service && OrderRevision == Order.Revision)
    return;
  clear();
  Service = Order.Service;
  OrderRevision = Order.Revision;
  BeganAt = Now;
}

void release_evidence::clear() {
  const std::size_t Known = Instances;
  *this = release_evidence();
  Instances = Known;
}

void release_evidence::onResponse(std::string_view Route, response_group Group,
                                  const response_outcome &Outcome, instant) {
  auto Found = Own.find(Route);
  if (Found == Own.end()) {
    const bool Fits = Own.size() < evidence_summary::MaxRoutes;
    Found = Own.try_emplace(
                   std::string(Fits ? Route : evidence_summary::OtherRoutes))
                .first;
  }
  response_counts &Counts = Found->second[Group];
  ++Counts.Responses;
  if (Outcome.Failed)
    ++Counts.Failures;
  else if (Outcome.Latency)
    ++Counts.Latencies[classOf(*Outcome.Latency)];
}

evidence_summary release_evidence::ownSummary() const {
  return {Service, OrderRevision, 1, Own};
}

evidence_summary release_evidence::domainSummary() const {
  std::size_t Covered = 1;
  for (const auto &[Name, Peer] : Peers)
    if (TestedAt && *TestedAt - Peer.HeardAt < HeardFor)
      Covered += Peer.Instances;
  return {Service, OrderRevision, Covered, sumOfDomain()};
}

void release_evidence::onPeerSummary(const evidence_source &Source,
                                     const evidence_summary &Summary,
                                     instant Now) {
  if (Summary.Service != Service || Summary.OrderRevision != OrderRevision)
    return;
  source_state *State = nullptr;
  if (Source.IsDomain) {
    if (Domains.size() >= MaxDomains && !Domains.contains(Source.Name))
      return;
    State = &Domains[Source.Name];
  } else {
    const auto Key = std::pair(Source.Name, Source.Boot);
    if (Peers.size() >= MaxPeers && !Peers.contains(Key)) {
      const auto Oldest = std::ranges::min_element(
          Peers, {}, [](const auto &Known) { return Known.second.HeardAt; });
      addAll(Dropped, Oldest->second.Routes);
      Peers.erase(Oldest);
    }
    State = &Peers[Key];
  }
  State->HeardAt = Now;
  State->Instances = Summary.Instances;
  raiseAll(State->Routes, Summary.Routes);
}

release_evidence::counts_by_route release_evidence::sumOfDomain() const {
  counts_by_route Sum = Own;
  addAll(Sum, Dropped);
  for (const auto &[Key, Peer] : Peers)
    addAll(Sum, Peer.Routes);
  return Sum;
}

release_evidence::counts_by_route release_evidence::sumOfAll() const {
  counts_by_route Sum = sumOfDomain();
  for (const auto &[Name, Domain] : Domains)
    addAll(Sum, Domain.Routes);
  return Sum;
}

std::uint64_t release_evidence::newResponses() const {
  std::uint64_t Sum = 0;
  for (const auto &[Route, Test] : Tests)
    Sum += Test.Seen[NewFirst].Responses + Test.Seen[NewSecond].Responses;
  return Sum;
}

double release_evidence::heardShare(instant Now) const {
  std::size_t Heard = 1;
  const auto Count = [&](const source_state &Source) {
    if (Now - Source.HeardAt < HeardFor)
      Heard += Source.Instances;
  };
  for (const auto &[Key, Peer] : Peers)
    Count(Peer);
  for (const auto &[Name, Domain] : Domains)
    Count(Domain);
  return std::min(1.0,
                  static_cast<double>(Heard) /
                      static_cast<double>(std::max<std::size_t>(1, Instances)));
}

void release_evidence::sequential_test::add(
    const slice &Slice, double FormerRate,
    const std::array<double, Alternatives> &Effects) {
  constexpr double MaxRate = 0.95;
  const double Sound = std::min(FormerRate, MaxRate);
  for (std::size_t Part = 0; Part < Parts; ++Part) {
    const double Count = Part == Both
                             ? Slice.Trials[NewFirst] + Slice.Trials[NewSecond]
                             : Slice.Trials[NewFirst + Part];
    const double Fault = Part == Both
                             ? Slice.Bad[NewFirst] + Slice.Bad[NewSecond]
                             : Slice.Bad[NewFirst + Part];
    Trials[Part] += Count;
    Bad[Part] += Fault;
    for (std::size_t Index = 0; Index < Alternatives; ++Index) {
      const double Faulty = Sound + Effects[Index] * (1 - Sound);
      double &Ratio = LogRatios[Part][Index];
      Ratio += Fault * std::log(Faulty / Sound) +
               (Count - Fault) * std::log((1 - Faulty) / (1 - Sound));
      Ratio = std::max(Ratio, floorRatio());
      bool &IsOut = RuledOut[Part][Index];
      IsOut = Ratio <= floorRatio() || (IsOut && Ratio <= 0);
    }
  }
  const double Count = Slice.Trials[NewFirst] + Slice.Trials[NewSecond];
  Excess += Slice.Bad[NewFirst] + Slice.Bad[NewSecond] - Sound * Count;
  Variance += Sound * (1 - Sound) * Count;
}

double release_evidence::sequential_test::logRatio(std::size_t Part) const {
  double Sum = 0;
  for (const double Ratio : LogRatios[Part])
    Sum += std::exp(std::min(Ratio, 500.0));
  return std::log(Sum / static_cast<double>(Alternatives));
}

double release_evidence::sequential_test::bound() const {
  // Ville's inequality for each start of the test, of which there is at most
  // one for each response, at the floor.
  return std::max(MinBound, std::log(std::max(1.0, Trials[Both]) / FalseAlarm) +
                                floorRatio());
}

bool release_evidence::sequential_test::isConfirmed() const {
  if (std::min(Trials[0], Trials[1]) >= MinHalfTrials)
    return std::min(logRatio(0), logRatio(1)) >= ConfirmedRatio &&
           splitChance() >= ConfirmedChance;
  return logRatio(Both) >= UnconfirmedFactor * bound();
}

std::size_t release_evidence::sequential_test::betterHalf() const {
  return Bad[0] * Trials[1] < Bad[1] * Trials[0] ? 0 : 1;
}

double release_evidence::sequential_test::splitChance() const {
  const std::size_t Better = betterHalf();
  if (Bad[Both] < MinBad || Trials[Better] < MinHalfTrials)
    return 1;
  const double Share = Trials[Better] / Trials[Both];
  double Tail = 0;
  for (double Few = 0; Few <= Bad[Better] && Tail < ConfirmedChance; ++Few)
    Tail += std::exp(std::lgamma(Bad[Both] + 1) - std::lgamma(Few + 1) -
                     std::lgamma(Bad[Both] - Few + 1) + Few * std::log(Share) +
                     (Bad[Both] - Few) * std::log(1 - Share));
  return Tail;
}

bool release_evidence::sequential_test::isOneSided() const {
  return splitChance() < OneSidedChance;
}

std::optional<std::size_t> release_evidence::lateClass(const route_test &Test) {
  const double All =
      std::accumulate(Test.Latencies.begin(), Test.Latencies.end(), 0.0);
  if (All < MinLatencies)
    return std::nullopt;
  double Below = 0;
  std::size_t Class = 0;
  while (Class + 1 < Test.Latencies.size() &&
         (Below += Test.Latencies[Class]) < LatencyQuantile * All)
    ++Class;
  return Class + LateClasses;
}

void release_evidence::testRoute(const route_counts &Counts, route_test &Test,
                                 double Decay) {
  slice Failures;
  std::array<std::array<double, response_counts::Classes>, 3> Latencies{};
  for (std::size_t Group = 0; Group < Counts.size(); ++Group) {
    const response_counts &Seen = Test.Seen[Group];
    Failures.Trials[Group] = grown(Counts[Group].Responses, Seen.Responses);
    Failures.Bad[Group] = std::min(
        Failures.Trials[Group], grown(Counts[Group].Failures, Seen.Failures));
    for (std::size_t Class = 0; Class < response_counts::Classes; ++Class)
      Latencies[Group][Class] =
          grown(Counts[Group].Latencies[Class], Seen.Latencies[Class]);
  }
  Test.Seen = Counts;
  // Without responses of former versions, the last ones stand for them.
  if (Failures.Trials[FormerVersions] > 0) {
    Test.Trials = Test.Trials * Decay + Failures.Trials[FormerVersions];
    Test.Failed = Test.Failed * Decay + Failures.Bad[FormerVersions];
    for (std::size_t Class = 0; Class < response_counts::Classes; ++Class)
      Test.Latencies[Class] =
          Test.Latencies[Class] * Decay + Latencies[FormerVersions][Class];
  }
  const auto SliceRate = [](double Bad, double Trials, double Recent) {
    return std::max(Recent,
                    (Bad + SliceWeight * Recent) / (Trials + SliceWeight));
  };
  const double Recent =
      (Test.Failed + PriorFailures) / (Test.Trials + PriorTrials);
  const double Always =
      (static_cast<double>(Counts[FormerVersions].Failures) + PriorFailures) /
      (static_cast<double>(Counts[FormerVersions].Responses) + PriorTrials);
  const double FailureRate =
      std::max(Always, SliceRate(Failures.Bad[FormerVersions],
                                 Failures.Trials[FormerVersions], Recent)) +
      FailureTolerance;
  Test.Failures.add(Failures, FailureRate, FailureEffects);
  AllRoutes.Failures.add(Failures, FailureRate, FailureEffects);
  const auto From = lateClass(Test);
  if (!From)
    return;
  const auto Late =
      [&](const std::array<double, response_counts::Classes> &Of) {
        return *From >= Of.size()
                   ? 0.0
                   : std::accumulate(Of.begin() +
                                         static_cast<std::ptrdiff_t>(*From),
                                     Of.end(), 0.0);
      };
  slice Lateness;
  for (std::size_t Group = 0; Group < Counts.size(); ++Group) {
    Lateness.Trials[Group] =
        std::accumulate(Latencies[Group].begin(), Latencies[Group].end(), 0.0);
    Lateness.Bad[Group] = Late(Latencies[Group]);
  }
  const double All =
      std::accumulate(Test.Latencies.begin(), Test.Latencies.end(), 0.0);
  const double LateRate =
      SliceRate(Lateness.Bad[FormerVersions], Lateness.Trials[FormerVersions],
                Late(Test.Latencies) / All) +
      LatenessTolerance;
  Test.Lateness.add(Lateness, LateRate, LatenessEffects);
  AllRoutes.Lateness.add(Lateness, LateRate, LatenessEffects);
}

void release_evidence::judge(std::string_view Route, const route_test &Test,
                             const sequential_test &Kind,
                             std::string_view Reason, double MostExcess,
                             release_verdict &Result) const {
  const double Ratio = Kind.logRatio(Kind.decidingPart());
  const double Bound = Kind.bound();
  const bool IsTested =
      Ratio >= Bound && Kind.Bad[Both] >= MinBad && Kind.isConfirmed();
  const bool IsExceeded =
      Kind.Excess >=
          std::max(MostExcess, ExcessDeviations * std::sqrt(Kind.Variance)) &&
      !Kind.isOneSided();
  const bool IsBad = IsTested || IsExceeded;
  if (Result.State == evidence_state::Bad ||
      (!IsBad && !Result.Route.empty() &&
       Ratio * Result.Bound <= Result.LogRatio * Bound))
    return;
  if (IsBad)
    Result.State = evidence_state::Bad;
  Result.Route = Route;
  Result.Reason = IsTested || !IsBad ? Reason : "count";
  Result.NewResponses = static_cast<std::uint64_t>(Kind.Trials[Both]);
  Result.NewBad = static_cast<std::uint64_t>(Kind.Bad[Both]);
  Result.OldResponses = Test.Seen[FormerVersions].Responses;
  Result.OldBad = Test.Seen[FormerVersions].Failures;
  Result.LogRatio = Ratio;
  Result.Bound = Bound;
}

const release_verdict &release_evidence::verdict(instant Now) {
  if (Verdict.State == evidence_state::Bad)
    return Verdict;
  const double Decay =
      TestedAt ? std::exp(-toSeconds(Now - *TestedAt) / toSeconds(BaselineTime))
               : 1;
  TestedAt = Now;
  const double MostExcess = std::max(MinExcess, MaxExcess * heardShare(Now));
  const double Seconds = std::max(1.0, toSeconds(Now - BeganAt));
  release_verdict Result;
  bool IsLikelySound = true;
  AllRoutes.Seen = {};
  for (const auto &[Route, Counts] : sumOfAll()) {
    route_test &Test = Tests[Route];
    testRoute(Counts, Test, Decay);
    judge(Route, Test, Test.Failures, "failures", MostExcess, Result);
    judge(Route, Test, Test.Lateness, "lateness", MostExcess, Result);
    double Known = 0;
    for (std::size_t Group = 0; Group < Counts.size(); ++Group) {
      AllRoutes.Seen[Group].add(Counts[Group]);
      Known += static_cast<double>(Counts[Group].Responses);
      if (Group != FormerVersions)
        Result.Exposed += Counts[Group].Responses;
    }
    Result.Requests += static_cast<std::uint64_t>(Known);
    if (Test.Failures.isRuledOut(MiddleFault) &&
        (!lateClass(Test) || Test.Lateness.isRuledOut(MiddleFault)))
      continue;
    IsLikelySound = false;
    Result.UnprovenPerSecond += Known / Seconds;
  }
  judge("all routes", AllRoutes, AllRoutes.Failures, "failures", MostExcess,
        Result);
  judge("all routes", AllRoutes, AllRoutes.Lateness, "lateness", MostExcess,
        Result);
  Result.PerSecond = static_cast<double>(Result.Requests) / Seconds;
  if (Result.State != evidence_state::Bad && !Tests.empty() && IsLikelySound)
    Result.State = AllRoutes.Failures.isRuledOut(SmallFault) &&
                           (AllRoutes.Lateness.Trials[Both] == 0 ||
                            AllRoutes.Lateness.isRuledOut(SmallFault))
                       ? evidence_state::Sound
                       : evidence_state::LikelySound;
  Verdict = Result;
  return Verdict;
}

} // namespace ebonyvale
